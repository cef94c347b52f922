package agent

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/connpool"
)

// Bodies that are too long to be kept whole pass through: docs/design/operating.md.

const (
	// keep is how much of a body is kept whole, in bytes: what is sent again, or not passed on before it is known to be good.
	maxBufferedBody = 64 << 10
	// mostBody bounds bodies in both directions, in bytes.
	mostBody = 40 << 20
	// streamBuffer is what a stream moves at once, in bytes.
	streamBuffer = 32 << 10
	// streamRoom is what a stream takes of the room that all share, in bytes.
	streamRoom = maxBufferedBody + streamBuffer

	// A request's body comes at leastRate at least, in bytes a second, of the time that is spent waiting for it, and
	// some time of grace: clients may be as slow as twice that.
	leastRate   = 32 << 10
	uploadGrace = 2 * time.Second

	answerStall = 250 * time.Millisecond // until the next byte of an answer that is read whole
	streamStall = 10 * time.Second       // until a backend gives, or takes, the next byte of what passes through
	settle      = 100 * time.Millisecond // for an answer without a length to be whole
)

// errClient says that a request's body does not come to its end: its client has gone or dawdles.
var errClient = errors.New("the request's body does not come")

var buffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// pace bounds how long a body may be waited for.
type uploadPace struct {
	waited   time.Duration
	received int64 // bytes
}

// left is how much longer the next bytes may be waited for.
func (p *uploadPace) timeLeft() time.Duration {
	return uploadGrace + time.Duration(float64(p.received)/leastRate*float64(time.Second)) - p.waited
}

// longest is how long a body of a size may take to come; one of no known size is as long as may be.
func maxUploadTime(size int64) time.Duration {
	if size < 0 {
		size = mostBody
	}
	return uploadGrace + time.Duration(float64(size)/leastRate*float64(time.Second))
}

// upload is a request's body on its way from the client, behind what of it is kept.
type upload struct {
	body io.Reader
	conn *clientConn
	size int64 // bytes of the whole body; -1: not known before its end

	budget     time.Duration        // for the answer, from the last byte on
	onComplete func() time.Duration // is to be told of the last byte, and returns how much time is left

	forwarding atomic.Bool   // bytes have been read that are not kept
	complete   atomic.Bool   // its last byte is here
	failed     chan struct{} // closed when the client has gone or dawdles

	readMu  sync.Mutex // held while it is read
	pace    uploadPace
	stopMu  sync.Mutex // guards stopped, and the deadline against it
	stopped bool
}

// Read reads what has come, and waits no longer than the client's pace allows. Its error is io.EOF at the end, or wraps
// errClient.
func (u *upload) Read(b []byte) (n int, err error) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.stopMu.Lock()
	if u.stopped {
		u.stopMu.Unlock()
		return 0, errClient
	}
	begun := time.Now()
	u.conn.SetReadDeadline(begun.Add(u.pace.timeLeft()))
	u.stopMu.Unlock()
	n, err = u.body.Read(b)
	u.pace.waited += time.Since(begun)
	if u.pace.received += int64(n); u.pace.received > mostBody && err == nil {
		err = errClient
	}
	switch {
	case err == io.EOF:
		// From here on the connection is watched for a client that goes, for as long as the answer takes.
		u.conn.SetReadDeadline(time.Time{})
		u.complete.Store(true)
	case err != nil:
		err = errors.Join(errClient, err)
		u.stopMu.Lock()
		defer u.stopMu.Unlock()
		if !u.stopped { // else it has not failed by itself
			u.stopped = true
			close(u.failed)
		}
	}
	return n, err
}

// kept reads what of the body is kept, which is all of a short one.
func (u *upload) readBuffered() (body []byte, err error) {
	if u.size == 0 {
		u.complete.Store(true)
		u.conn.SetReadDeadline(time.Time{})
		return nil, nil
	}
	body = make([]byte, 0, min(max(u.size, 512), 4<<10))
	for !u.complete.Load() && len(body) < maxBufferedBody {
		body = slices.Grow(body, 1)
		n, err := u.Read(body[len(body):min(cap(body), maxBufferedBody)])
		body = body[:len(body)+n]
		if err != nil && err != io.EOF {
			return nil, err
		}
	}
	if int64(len(body)) == u.size && !u.complete.Load() { // as long as is kept: its end is here, and not told yet
		if _, err := u.Read(make([]byte, 1)); err != io.EOF {
			return nil, errClient
		}
	}
	return body, nil
}

// hasFailed says whether its client has gone or dawdles.
func (u *upload) hasFailed() bool {
	select {
	case <-u.failed:
		return true
	default:
		return false
	}
}

// stop ends reading, and returns when nobody reads any more.
func (u *upload) stop() {
	u.interrupt()
	u.readMu.Lock() // held by whoever reads: once it is had, nobody does
	defer u.readMu.Unlock()
}

// interrupt ends reading.
func (u *upload) interrupt() {
	if u.complete.Load() {
		return
	}
	u.stopMu.Lock()
	defer u.stopMu.Unlock()
	u.stopped = true
	u.conn.SetReadDeadline(time.Unix(1, 0))
}

// pump passes the rest of the body on, each byte as it comes. Its error wraps errClient if it is the client's.
func (u *upload) pump(c *connpool.Conn) error {
	u.forwarding.Store(true)
	var to io.Writer = c
	var chunks io.WriteCloser
	if u.size < 0 {
		chunks = httputil.NewChunkedWriter(c)
		to = chunks
	}
	buf := buffers.Get().(*[streamBuffer]byte)
	defer buffers.Put(buf)
	for {
		n, err := u.Read(buf[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(streamStall))
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if chunks != nil {
		if err := chunks.Close(); err != nil { // the last chunk,
			return err
		}
		if _, err := io.WriteString(c, "\r\n"); err != nil { // and that no trailers follow
			return err
		}
	}
	return c.SetWriteDeadline(time.Time{})
}

// download is an answer's body on its way from a backend.
type downloadStream struct {
	backends *backendClient
	conn     *connpool.Conn
	body     io.Reader
	size     int64 // bytes of the whole body; -1: not known before its end
	received int64
	reusable bool // its connection, if the answer is read to its end
}

// Read reads what has come.
func (d *downloadStream) Read(b []byte) (n int, err error) {
	n, err = d.body.Read(b)
	if d.received += int64(n); d.received > mostBody && err == nil {
		err = errors.New("an answer that does not end")
	}
	return n, err
}

// end gives back what the answer holds. Its backend hears so that it may stop, if it has not ended.
func (d *downloadStream) release(whole bool) {
	c := d.conn
	c.StallTimeout = 0
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	if whole && d.reusable && c.Reader.Buffered() == 0 && c.ArmReadDeadline() == nil {
		d.backends.Put(c)
	} else {
		d.backends.Discard(c)
	}
	d.backends.freeStreamMemory(streamRoom)
}

// pass passes an answer on as it comes, and says whether it did to the end, and whose fault it is if not.
func (d *downloadStream) forwardTo(w http.ResponseWriter) (whole, client bool) {
	to := http.NewResponseController(w)
	buf := buffers.Get().(*[streamBuffer]byte)
	defer buffers.Put(buf)
	if to.Flush() != nil {
		return false, true
	}
	for {
		n, err := d.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return false, true
			}
			if to.Flush() != nil {
				return false, true
			}
		}
		if err == io.EOF {
			return true, false
		}
		if err != nil {
			return false, false
		}
	}
}

// drop lets go of an answer that nobody gets.
func (a *answer) discard() {
	if a.bodyStream != nil {
		a.bodyStream.release(false)
	}
}
