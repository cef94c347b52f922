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

// connLimiter is a net.Listener that limits the number of client connections. At the limit it
// closes the connection that has been without a request longest to make room for a new one; if
// there is none, the new connection waits. If it only stopped accepting, clients that hold idle
// connections could lock out all others. If it went by the data already read, it would close
// connections whose requests a suspended agent has not read yet, and those requests would be lost.
type connLimiter struct {
	net.Listener
	maxConns int

	mu        sync.Mutex
	openConns int
	idleConns list.List     // of *clientConn: without a complete request, the longest first
	roomFreed chan struct{} // closed when there may be room; created by an Accept that waits
	closed    bool
}

// maxRequestReadTime limits the time from the first byte of a request until its header and the
// buffered part of its body have arrived: the time for the header, 1 s for a body of 64 KiB at
// 64 kB/s, and another 1 s in case the agent is delayed.
const maxRequestReadTime = readHeaderTimeout + 2*time.Second

// evictionRetryInterval is how often a waiting Accept looks again for a connection to evict.
const evictionRetryInterval = 20 * time.Millisecond

// clientConn is a connection of a client. The fields that are neither atomic nor used only by
// net/http's goroutine for the connection are guarded by the mutex of the connLimiter.
type clientConn struct {
	net.Conn
	hangupWatcher *hangup.Watcher
	idleElement   *list.Element // in idleConns; nil while a request is being served
	closed        bool          // by evict or by the HTTP server
	evicting      atomic.Bool   // its read deadline was set to close it, unless a request has arrived
	firstByteAt   atomic.Int64  // first byte of the request, Unix nanoseconds; 0: none was read
	idleSince     time.Time     // when it connected or its last request ended
	header        []byte        // data read since idleSince, up to the body
	inBody        atomic.Bool   // the header is complete; what follows is the body or read ahead
	writeDeadline time.Time     // the write deadline in effect
}

// Read implements io.Reader. It still reads data that arrived before the deadline if the deadline
// passes while the agent waits for the processor. Otherwise a request that arrived in the meantime
// would be lost with the connection.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := tcp.ReadWaiting(c.Conn, b)
	if firstByte := c.firstByteAt.Load(); n == 0 && firstByte > 0 && c.evicting.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		// The connection was selected for eviction just after a part of its request had been read.
		// It gets as much time as any request.
		if deadline := time.Unix(0, firstByte).Add(maxRequestReadTime); time.Now().Before(deadline) {
			c.Conn.SetReadDeadline(deadline)
			n, err = tcp.ReadWaiting(c.Conn, b)
		}
	}
	if n > 0 {
		c.hangupWatcher.RecordReadAhead()
	}
	if c.inBody.Load() || n == 0 {
		return n, err
	}
	// net/http reports StateActive only once the header is complete.
	c.firstByteAt.CompareAndSwap(0, time.Now().UnixNano())
	if len(c.header) == 0 && !bytes.Contains(b[:n], headerTerminator) {
		// net/http measures the time for a header from when the connection became idle. Without a
		// new deadline, a slow header that starts late would be cut off.
		c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
	c.header = append(c.header, b[:min(n, maxHeaderBytes-len(c.header))]...)
	return n, err
}

// namesContentLength reports whether the header of the current chunked request also has a
// Content-Length field. known is false if the header was read together with the previous request.
func (c *clientConn) namesContentLength() (named, known bool) {
	header := c.header
	if i := bytes.Index(header, []byte("\n\r\n")); i >= 0 {
		header = header[:i+1]
	} else if i := bytes.Index(header, []byte("\n\n")); i >= 0 {
		header = header[:i+1]
	}
	header = bytes.ToLower(header)
	return bytes.Contains(header, []byte("\ncontent-length")), bytes.Contains(header, []byte("\ntransfer-encoding"))
}

// Write implements io.Writer. It sets a write deadline, because a client that does not read would
// keep its answer open forever. Setting a deadline costs as much as a short write, so the previous
// one is reused while more than half of its time is left.
func (c *clientConn) Write(b []byte) (int, error) {
	if now := time.Now(); c.writeDeadline.Sub(now) < writeTimeout/2 {
		c.writeDeadline = now.Add(writeTimeout)
		c.Conn.SetWriteDeadline(c.writeDeadline) // fails only if the Write below fails too
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side. net/http needs it to close a connection after an answer to a
// request that it has not read completely: otherwise the client's further data would cause a reset,
// which destroys the answer.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Accept returns the next connection once there is room for it. It must not be called concurrently.
func (l *connLimiter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, hangupWatcher: hangup.New(conn)}
	for {
		roomFreed := l.tryAdmit(c)
		if roomFreed == nil {
			return c, nil
		}
		select {
		case <-roomFreed:
		case <-time.After(evictionRetryInterval):
		}
		l.mu.Lock()
		closed := l.closed
		l.mu.Unlock()
		if closed {
			conn.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends a waiting Accept.
func (l *connLimiter) Close() error {
	l.mu.Lock()
	l.closed = true
	l.notifyRoomFreed()
	l.mu.Unlock()
	return l.Listener.Close()
}

// notifyRoomFreed wakes a waiting Accept. The caller holds the mutex.
func (l *connLimiter) notifyRoomFreed() {
	if l.roomFreed != nil {
		close(l.roomFreed)
		l.roomFreed = nil
	}
}

// tryAdmit counts a new connection and returns nil. If there is no room and no connection to evict,
// it returns a channel that is closed when there may be room.
func (l *connLimiter) tryAdmit(c *clientConn) (roomFreed <-chan struct{}) {
	l.mu.Lock()
	var victim *clientConn
	if l.openConns >= l.maxConns {
		if victim = l.evictionCandidate(); victim == nil {
			defer l.mu.Unlock()
			if l.roomFreed == nil {
				l.roomFreed = make(chan struct{})
			}
			return l.roomFreed
		}
		l.evict(victim)
	}
	l.openConns++
	c.idleSince = time.Now()
	c.idleElement = l.idleConns.PushBack(c)
	l.mu.Unlock()
	return nil
}

// evict closes a connection without a complete request to make room. Data that the connection's
// goroutine has taken from the socket but not recorded yet is not visible here, and closing the
// connection would lose it. Therefore evict only wakes that goroutine with a past read deadline,
// and net/http closes the connection if there is nothing to read. A connection whose request is too
// slow is closed at once. The caller holds the mutex.
func (l *connLimiter) evict(c *clientConn) {
	tooSlow := c.firstByteAt.Load() > 0
	l.openConns--
	l.notifyRoomFreed()
	l.idleConns.Remove(c.idleElement)
	c.idleElement = nil
	c.evicting.Store(true)
	if tooSlow {
		c.closed = true
		c.Close()
		return
	}
	c.SetReadDeadline(time.Unix(1, 0)) // it fails only on a closed connection
}

// evictionCandidate returns the connection to be evicted: the one that has been without a request
// longest, or one whose request exceeds maxRequestReadTime. It returns nil if there is none. The
// caller holds the mutex.
func (l *connLimiter) evictionCandidate() *clientConn {
	now := time.Now()
	for e := l.idleConns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if firstByte := c.firstByteAt.Load(); firstByte > 0 && now.Sub(time.Unix(0, firstByte)) > maxRequestReadTime || c.nothingReceived() {
			return c
		}
	}
	return nil
}

// nothingReceived reports whether no data of a request has arrived, neither read nor waiting in the
// socket.
func (c *clientConn) nothingReceived() bool {
	if c.firstByteAt.Load() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	return !ok || tcp.Quiet(socket)
}

// headerTerminator is the end of a request header.
var headerTerminator = []byte("\r\n\r\n")

// maxIdleHeaderBuffer is the capacity of the header buffer that an idle connection may keep, in
// bytes.
const maxIdleHeaderBuffer = 1 << 10

// minIdleAge is how long closeIdle spares an idle connection, because its next request may be on
// its way.
const minIdleAge = 200 * time.Millisecond

// closeIdle closes the connections on which no request has arrived.
func (l *connLimiter) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.idleConns.Front(); e != nil; {
		c := e.Value.(*clientConn)
		e = e.Next()
		if time.Since(c.idleSince) >= minIdleAge && c.nothingReceived() {
			l.evict(c)
		}
	}
}

// setMaxConns changes the limit. Connections over the new limit are evicted as they become idle and
// room is needed.
func (l *connLimiter) setMaxConns(maxConns int) {
	l.mu.Lock()
	l.maxConns = maxConns
	l.mu.Unlock()
}

// release takes a closed connection out of the count. The caller holds the mutex.
func (l *connLimiter) release(c *clientConn) {
	if c.closed {
		return
	}
	if c.closed = true; c.evicting.Load() {
		return
	}
	l.openConns--
	l.notifyRoomFreed()
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// beginRequest records that a complete request has arrived, which protects the connection from
// eviction. It returns false if the connection is closed already. Such a request must not be
// forwarded, as its answer could not be sent.
func (l *connLimiter) beginRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
	return !c.closed
}

// trackState is the ConnState hook of the HTTP server.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.firstByteAt.Store(0)
		c.inBody.Store(false)
		c.idleSince = time.Now()
		if c.header = c.header[:0]; cap(c.header) > maxIdleHeaderBuffer {
			c.header = nil
		}
		if c.evicting.CompareAndSwap(true, false) && !c.closed {
			l.openConns++ // a request arrived in spite of the eviction and was answered
		}
		if c.idleElement != nil {
			l.idleConns.MoveToBack(c.idleElement)
		} else if !c.closed {
			c.idleElement = l.idleConns.PushBack(c)
			l.notifyRoomFreed()
		}
	case http.StateClosed:
		l.release(c)
	}
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// withConn adds the client connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the client connection of a request.
func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }
