package outbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"example.org/micaline/internal/hangup"
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
func clientOf(r *http.Request) *hangup.Watcher {
	if c, ok := r.Context().Value(clientKey{}).(*clientConn); ok {
		return c.watch
	}
	return nil
}

type clientListener struct{ net.Listener }

// Accept returns a connection that is watched.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, watch: hangup.New(c)}, nil
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	watch *hangup.Watcher
}

// Read reads, and has the watch know.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.watch.RecordReadAhead()
	}
	return n, err
}

// CloseWrite ends what the sender sends. Danger: without it net/http can't end a connection behind
// the answer to a request that it has not read, and the client's next bytes would make a reset of it
// that destroys the answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
