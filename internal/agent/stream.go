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

// Bodies longer than maxBufferedBody are streamed: they are forwarded while they arrive. See
// docs/design/operating.md.

const (
	// maxBufferedBody is the size in bytes up to which a body is buffered. A buffered request can
	// be sent again, and a buffered answer is passed on only once it is known to be complete.
	maxBufferedBody = 64 << 10
	// maxBody is the largest body of a request or an answer, in bytes.
	maxBody = 40 << 20
	// streamBufferSize is the size in bytes of the buffer through which a stream is copied.
	streamBufferSize = 32 << 10
	// memoryPerStream is the memory that a stream reserves, in bytes: for the buffered beginning of
	// the body and the copy buffer.
	memoryPerStream = maxBufferedBody + streamBufferSize

	// A client that sends a request's body at less than minUploadRate, in bytes per second, is cut
	// off. Only the time spent waiting for the body counts, and uploadGrace is added to it. The
	// slowest permitted clients send at twice this rate, which leaves a margin.
	minUploadRate = 32 << 10
	uploadGrace   = 2 * time.Second

	answerStallTimeout = 250 * time.Millisecond // for the next byte of an answer that is buffered
	streamStallTimeout = 10 * time.Second       // for a backend to send or accept the next streamed byte
	bufferingTime      = 100 * time.Millisecond // for the beginning of an answer of unknown or large size
)

// errUploadFailed is the error of a request body that is not read completely: the client has
// disconnected, sends too slowly or sends more than maxBody bytes, or reading was interrupted.
var errUploadFailed = errors.New("the request's body does not come")

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// uploadPace measures how fast a request body arrives.
type uploadPace struct {
	waited   time.Duration // total time spent waiting for the body
	received int64         // bytes
}

// timeLeft returns how much longer the body may be waited for.
func (p *uploadPace) timeLeft() time.Duration {
	return uploadGrace + time.Duration(float64(p.received)/minUploadRate*float64(time.Second)) - p.waited
}

// maxUploadTime returns how long a body of the given size may take to arrive. A body of unknown
// size (below 0) counts as one of the maximum size.
func maxUploadTime(size int64) time.Duration {
	if size < 0 {
		size = maxBody
	}
	return uploadGrace + time.Duration(float64(size)/minUploadRate*float64(time.Second))
}

// uploadStream reads a request's body from the client. The first maxBufferedBody bytes are buffered
// by readBuffered, and the rest is forwarded to a backend by forwardTo.
type uploadStream struct {
	body io.Reader
	conn *clientConn
	size int64 // bytes of the whole body; -1: not known before its end

	budget     time.Duration        // time for the answer, from the last byte of the body on
	onComplete func() time.Duration // is called after the last byte, and returns the remaining time

	forwarding atomic.Bool   // whether bytes may have been read that are not buffered
	complete   atomic.Bool   // whether the last byte has been read
	failed     chan struct{} // closed when the client has disconnected, is too slow or sends too much

	readMu  sync.Mutex // held during a read
	pace    uploadPace
	stopMu  sync.Mutex // guards stopped, and keeps Read from replacing interrupt's deadline
	stopped bool       // whether reads fail
}

// Read implements io.Reader. It waits no longer than the pace of the client allows. Its error is
// io.EOF at the end of the body, or wraps errUploadFailed.
func (u *uploadStream) Read(b []byte) (n int, err error) {
	u.readMu.Lock()
	defer u.readMu.Unlock()
	u.stopMu.Lock()
	if u.stopped {
		u.stopMu.Unlock()
		return 0, errUploadFailed
	}
	start := time.Now()
	u.conn.SetReadDeadline(start.Add(u.pace.timeLeft()))
	u.stopMu.Unlock()
	n, err = u.body.Read(b)
	u.pace.waited += time.Since(start)
	if u.pace.received += int64(n); u.pace.received > maxBody && err == nil {
		err = errUploadFailed
	}
	switch {
	case err == io.EOF:
		// From now on net/http reads the connection to detect that the client disconnects, for as
		// long as the answer takes.
		u.conn.SetReadDeadline(time.Time{})
		u.complete.Store(true)
	case err != nil:
		err = errors.Join(errUploadFailed, err)
		u.stopMu.Lock()
		defer u.stopMu.Unlock()
		if !u.stopped { // otherwise interrupt has caused the error
			u.stopped = true
			close(u.failed)
		}
	}
	return n, err
}

// readBuffered reads the part of the body that is buffered, which is all of a short body.
func (u *uploadStream) readBuffered() (body []byte, err error) {
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
	// Of a body of exactly maxBufferedBody bytes, only io.EOF has not been read yet.
	if int64(len(body)) == u.size && !u.complete.Load() {
		if _, err := u.Read(make([]byte, 1)); err != io.EOF {
			return nil, errUploadFailed
		}
	}
	return body, nil
}

// hasFailed reports whether the client has disconnected, is too slow or sends too much.
func (u *uploadStream) hasFailed() bool {
	select {
	case <-u.failed:
		return true
	default:
		return false
	}
}

// stop interrupts reading, and returns once no read is running.
func (u *uploadStream) stop() {
	u.interrupt()
	u.readMu.Lock() // every read holds readMu, so none is running now
	defer u.readMu.Unlock()
}

// interrupt makes a running read and all later ones fail, unless the body is complete.
func (u *uploadStream) interrupt() {
	if u.complete.Load() {
		return
	}
	u.stopMu.Lock()
	defer u.stopMu.Unlock()
	u.stopped = true
	u.conn.SetReadDeadline(time.Unix(1, 0))
}

// forwardTo forwards the rest of the body to a backend as it arrives. Its error wraps
// errUploadFailed if the client caused it.
func (u *uploadStream) forwardTo(c *connpool.Conn) error {
	u.forwarding.Store(true)
	var dst io.Writer = c
	var chunked io.WriteCloser
	if u.size < 0 {
		chunked = httputil.NewChunkedWriter(c)
		dst = chunked
	}
	buf := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := u.Read(buf[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(streamStallTimeout))
			if _, err := dst.Write(buf[:n]); err != nil {
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
	if chunked != nil {
		if err := chunked.Close(); err != nil { // writes the last chunk
			return err
		}
		if _, err := io.WriteString(c, "\r\n"); err != nil { // ends the message without trailers
			return err
		}
	}
	return c.SetWriteDeadline(time.Time{})
}

// downloadStream reads the rest of an answer's body, after its buffered beginning, from a backend.
// It owns the connection until release.
type downloadStream struct {
	backends *backendClient
	conn     *connpool.Conn
	body     io.Reader
	size     int64 // bytes of the whole body; -1: not known before its end
	received int64 // bytes, including the buffered ones
	reusable bool  // whether the connection can be reused once the answer is read to its end
}

// Read implements io.Reader. It fails for a body of more than maxBody bytes.
func (d *downloadStream) Read(b []byte) (n int, err error) {
	n, err = d.body.Read(b)
	if d.received += int64(n); d.received > maxBody && err == nil {
		err = errors.New("the answer's body is too long")
	}
	return n, err
}

// release returns the connection to the pool and frees the memory of the stream. If the answer is
// not complete, the connection is closed, which tells the backend that it can stop.
func (d *downloadStream) release(complete bool) {
	c := d.conn
	c.StallTimeout = 0
	// Bytes after an answer, such as a duplicate of it, would be read as the answer to the next
	// request, so a connection that has any is not reused.
	if complete && d.reusable && c.Reader.Buffered() == 0 && c.ArmReadDeadline() == nil {
		d.backends.Put(c)
	} else {
		d.backends.Discard(c)
	}
	d.backends.freeStreamMemory(memoryPerStream)
}

// forwardTo forwards the answer to a client as it arrives. It reports whether the answer was
// forwarded completely, and if not, whether that is the client's fault and not the backend's.
func (d *downloadStream) forwardTo(w http.ResponseWriter) (complete, clientFault bool) {
	controller := http.NewResponseController(w)
	buf := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buf)
	if controller.Flush() != nil {
		return false, true
	}
	for {
		n, err := d.Read(buf[:])
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return false, true
			}
			if controller.Flush() != nil {
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

// discard releases an answer that is not sent to a client.
func (a *answer) discard() {
	if a.bodyStream != nil {
		a.bodyStream.release(false)
	}
}
