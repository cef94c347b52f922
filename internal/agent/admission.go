package agent

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/micaline/internal/hangup"
	"example.org/micaline/internal/tcp"
)

// admission holds the connections of clients. There is room for so many; when it is short, the one that has been
// without a request longest goes, and where there is none a newcomer waits. Danger: a listener that merely stops
// accepting lets clients that keep silent connections shut out all others; one that goes by what has been read ends
// those whose requests an agent without processor has not come to yet, and they are lost.
type connLimiter struct {
	net.Listener
	maxConns int

	mu        sync.Mutex
	openConns int
	silent    list.List     // of *clientConn: those without a whole request, the longest first
	less      chan struct{} // closed once there may be room, made by whoever waits for that
	ended     bool
}

// slowest is how long a client may take from a request's first byte until all of it is here that is kept: the time for its head,
// 1 s for 64 KiB of body at 64 kB a second, and as much again for an agent that is late.
const slowest = readHeaderTimeout + 2*time.Second

// lookAgain is how soon connections are looked at again for one that can make room.
const lookAgain = 20 * time.Millisecond

// clientConn is one of them. Its fields are guarded by the admission's mutex.
type clientConn struct {
	net.Conn
	hangupWatcher *hangup.Watcher
	place         *list.Element // among the silent; nil while a request is open
	closed        bool          // to make room, or by its server
	leaving       atomic.Bool   // it makes room, unless a request has come: its reader finds out
	busy          atomic.Int64  // when the first of a request came, Unix nanoseconds; 0: nothing has
	since         time.Time     // it is idle
	head          []byte        // what has come since then, up to the body
	inBody        atomic.Bool   // the head has come; net/http may look for the next request before its handler says so
	writeBy       time.Time     // the deadline that is set
}

// Read reads. Danger: the deadline of an idle connection may pass while the agent gets no processor, and a request that came
// in the meantime would be lost with the connection. What has come by then is read.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := tcp.ReadWaiting(c.Conn, b)
	if first := c.busy.Load(); n == 0 && first > 0 && c.leaving.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		// It was to make room when a part of its request had just been read: it has the time that any has.
		if until := time.Unix(0, first).Add(slowest); time.Now().Before(until) {
			c.Conn.SetReadDeadline(until)
			n, err = tcp.ReadWaiting(c.Conn, b)
		}
	}
	if n > 0 {
		c.hangupWatcher.RecordReadAhead()
	}
	if c.inBody.Load() || n == 0 {
		return n, err
	}
	c.busy.CompareAndSwap(0, time.Now().UnixNano()) // net/http tells that only once the head is whole
	if len(c.head) == 0 && !bytes.Contains(b[:n], headEnd) {
		// Danger: net/http counts a head's time from when the connection became idle, and one that comes slowly late in that
		// time would be cut off.
		c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
	c.head = append(c.head, b[:min(n, maxHeaderBytes-len(c.head))]...)
	return n, err
}

// saysLength says whether the chunked request whose head has come names a Content-Length too. It is not known where the head
// came with the request before.
func (c *clientConn) namesContentLength() (says, known bool) {
	head := c.head
	if i := bytes.Index(head, []byte("\n\r\n")); i >= 0 {
		head = head[:i+1]
	} else if i := bytes.Index(head, []byte("\n\n")); i >= 0 {
		head = head[:i+1]
	}
	head = bytes.ToLower(head)
	return bytes.Contains(head, []byte("\ncontent-length")), bytes.Contains(head, []byte("\ntransfer-encoding"))
}

// Write writes. Danger: a client that reads nothing would hold its answer for good. A deadline for each answer costs as much as
// a short write, so one is used while half of it is left.
func (c *clientConn) Write(b []byte) (int, error) {
	if now := time.Now(); c.writeBy.Sub(now) < writeTimeout/2 {
		c.writeBy = now.Add(writeTimeout)
		c.Conn.SetWriteDeadline(c.writeBy) // where there is none to set the connection is gone, and writing tells
	}
	return c.Conn.Write(b)
}

// CloseWrite ends what the agent sends. Danger: without it net/http can't end a connection behind the answer to a
// request that it has not read, and the client's next bytes would make a reset of it that destroys the answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Accept returns the next connection, once there is room for it. Serve calls it from one goroutine.
func (a *connLimiter) Accept() (net.Conn, error) {
	conn, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, hangupWatcher: hangup.New(conn)}
	for {
		less := a.admit(c)
		if less == nil {
			return c, nil
		}
		select {
		case <-less:
		case <-time.After(lookAgain):
		}
		a.mu.Lock()
		ended := a.ended
		a.mu.Unlock()
		if ended {
			conn.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close ends the listening, and the wait of a newcomer.
func (a *connLimiter) Close() error {
	a.mu.Lock()
	a.ended = true
	a.makeRoom()
	a.mu.Unlock()
	return a.Listener.Close()
}

// makeRoom wakes who waits for room. The mutex is held.
func (a *connLimiter) makeRoom() {
	if a.less != nil {
		close(a.less)
		a.less = nil
	}
}

// admit takes a connection in. Where there is no room, it returns what is closed once there may be.
func (a *connLimiter) admit(c *clientConn) (less <-chan struct{}) {
	a.mu.Lock()
	var victim *clientConn
	if a.openConns >= a.maxConns {
		if victim = a.spare(); victim == nil {
			defer a.mu.Unlock()
			if a.less == nil {
				a.less = make(chan struct{})
			}
			return a.less
		}
		a.leave(victim)
	}
	a.openConns++
	c.since = time.Now()
	c.place = a.silent.PushBack(c)
	a.mu.Unlock()
	return nil
}

// leave has a connection end on which nothing is. Danger: what has left the socket and is not noted yet can't be seen from here, and to
// close the connection would lose it. So its reader is woken, and ends it if there is nothing to be read. The mutex is held.
func (a *connLimiter) leave(c *clientConn) {
	slow := c.busy.Load() > 0
	a.openConns--
	a.makeRoom()
	a.silent.Remove(c.place)
	c.place = nil
	c.leaving.Store(true)
	if slow {
		c.closed = true
		c.Close()
		return
	}
	c.SetReadDeadline(time.Unix(1, 0)) // where that fails the connection is gone
}

// spare returns the connection that makes room: the longest without a request, or one whose request comes more slowly than
// any may. The mutex is held.
func (a *connLimiter) spare() *clientConn {
	now := time.Now()
	for e := a.silent.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if first := c.busy.Load(); first > 0 && now.Sub(time.Unix(0, first)) > slowest || c.quiet() {
			return c
		}
	}
	return nil
}

// quiet says that nothing of a request has come, read or not.
func (c *clientConn) quiet() bool {
	if c.busy.Load() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	return !ok || tcp.Quiet(sys)
}

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// usualHead is how much room for a head an idle connection holds, in bytes.
const usualHead = 1 << 10

// newest is how long a connection that is idle is left alone: its request may be on its way.
const newest = 200 * time.Millisecond

// endIdle closes the connections on which nothing is, nor waits to be read.
func (a *connLimiter) closeIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for e := a.silent.Front(); e != nil; {
		c := e.Value.(*clientConn)
		e = e.Next()
		if time.Since(c.since) >= newest && c.quiet() {
			a.leave(c)
		}
	}
}

// resize changes how many connections there may be. What is over it goes as it becomes silent and room is wanted.
func (a *connLimiter) setMaxConns(most int) {
	a.mu.Lock()
	a.maxConns = most
	a.mu.Unlock()
}

// release takes a connection out of the count. The mutex is held.
func (a *connLimiter) release(c *clientConn) {
	if c.closed {
		return
	}
	if c.closed = true; c.leaving.Load() {
		return
	}
	a.openConns--
	a.makeRoom()
	if c.place != nil {
		a.silent.Remove(c.place)
		c.place = nil
	}
}

// take notes that a whole request has come on a connection, which is closed to make room no more. It is false if
// the connection has been: what nobody can be told of must not be sent on.
func (a *connLimiter) beginRequest(c *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.place != nil {
		a.silent.Remove(c.place)
		c.place = nil
	}
	return !c.closed
}

// noteState follows what net/http makes of a connection.
func (a *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.busy.Store(0)
		c.inBody.Store(false)
		c.since = time.Now()
		if c.head = c.head[:0]; cap(c.head) > usualHead {
			c.head = nil
		}
		if c.leaving.CompareAndSwap(true, false) && !c.closed {
			a.openConns++ // a request had come after all, and is answered
		}
		if c.place != nil {
			a.silent.MoveToBack(c.place)
		} else if !c.closed {
			c.place = a.silent.PushBack(c)
			a.makeRoom()
		}
	case http.StateClosed:
		a.release(c)
	}
}

// connKey is the context's key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }
