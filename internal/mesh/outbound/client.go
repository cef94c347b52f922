package outbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

const (
	headWait  = 30 * time.Second // until the head of a request is whole
	idleWait  = 75 * time.Second // until a client's connection without a request is closed
	mostBytes = 64 << 10         // of a request's head
)

// Server takes the requests of the clients of a sender.
type Server struct{ http.Server }

// NewServer returns a server whose requests end with their clients' connections.
func NewServer(s *Sender) *Server {
	return &Server{http.Server{
		Handler: s, ReadHeaderTimeout: headWait, IdleTimeout: idleWait, MaxHeaderBytes: mostBytes,
		DisableGeneralOptionsHandler: true, // danger: its 200 would be none of a backend's
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
	}}
}

// Serve takes clients until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(clientListener{l}) }

// clientKey is where a request's context holds its client's connection.
type clientKey struct{}

// clientOf is the connection that a request came over; nil: it is none that can be looked into.
func clientOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(clientKey{}).(*clientConn)
	return c
}

type clientListener struct{ net.Listener }

// Accept returns a connection that can be looked into, where it is one of TCP.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			return &clientConn{TCPConn: t, raw: raw}, nil
		}
	}
	return c, err
}

// clientConn is a client's connection.
//
// While a request is served net/http reads ahead, and ends the request's context when it finds the
// end of the connection. It stops at the first byte of a next request, though, and would not see
// the close behind it. From that byte on the connection is watched here.
type clientConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu       sync.Mutex
	left     func()        // to be told that the client has left; nil: no request is served
	watching chan struct{} // closed when the watch is over; nil: there is none
}

// hungUp says whether the client has closed the connection, also where that waits unread.
func (c *clientConn) hungUp() bool { return c != nil && tcp.RawHungUp(c.raw) }

// Read reads, and watches the connection if it brings something while a request is served.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.readAhead()
	}
	return n, err
}

// serving has the client's leave told, from when its request is whole until the function that is
// returned is called.
func (c *clientConn) serving(left func()) (stop func()) {
	if c == nil {
		return func() {}
	}
	c.mu.Lock()
	c.left = left
	c.mu.Unlock()
	return c.served
}

// readAhead takes in that bytes of a next request have come.
func (c *clientConn) readAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == nil || c.watching != nil {
		return
	}
	left, over := c.left, make(chan struct{})
	c.watching = over
	go func() {
		defer close(over)
		if tcp.AwaitHangUp(c.raw) == nil {
			left()
		}
	}()
}

// served ends the watch, so that the connection can be read again.
func (c *clientConn) served() {
	c.mu.Lock()
	watching := c.watching
	c.left, c.watching = nil, nil
	c.mu.Unlock()
	if watching == nil {
		return
	}
	c.SetReadDeadline(time.Unix(1, 0))
	<-watching
	c.SetReadDeadline(time.Time{})
}
