package outbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"example.org/micaline/internal/hangup"
)

const (
	headerTimeout  = 30 * time.Second // for a request's headers to be complete
	idleTimeout    = 75 * time.Second // until a client's connection without a request is closed
	maxHeaderBytes = 64 << 10
)

// Server accepts the connections of a sender's clients.
type Server struct{ http.Server }

// NewServer returns a server that cancels a request when its client closes the connection.
func NewServer(s *Sender) *Server {
	return &Server{http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // net/http would answer "OPTIONS *" with a 200 that no backend gave
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}}
}

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(clientListener{l}) }

// connContextKey is the key of the client's connection in a request's context.
type connContextKey struct{}

// hangupWatchOf returns the watch of the connection that a request came over, nil if the connection
// can't be watched.
func hangupWatchOf(r *http.Request) *hangup.Watcher {
	if c, ok := r.Context().Value(connContextKey{}).(*clientConn); ok {
		return c.watch
	}
	return nil
}

// clientListener accepts connections that detect when the client closes them.
type clientListener struct{ net.Listener }

func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, watch: hangup.New(c)}, nil
}

// clientConn is a client's connection, with a watch that detects when the client closes it.
type clientConn struct {
	net.Conn
	watch *hangup.Watcher
}

// Read reads from the connection and notifies the watch.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.watch.RecordReadAhead()
	}
	return n, err
}

// CloseWrite closes the sending side of the connection. Without it, net/http can't end a connection
// properly after answering a request that it has not read whole: the client's next bytes would
// cause a reset that destroys the response.
func (c *clientConn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
