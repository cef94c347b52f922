package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

const (
	helloTimeout     = 5 * time.Second // limit for receiving the Hello on a new connection
	acceptRetryDelay = 50 * time.Millisecond
)

// Server accepts connections from other processes of the mesh and passes each to the handler of its
// use.
type Server struct {
	// Handlers serve connections, by Hello.Use. A connection is closed when its handler returns.
	Handlers map[string]func(Hello, *Conn)
}

// Serve accepts connections until the listener is closed. Accept fails temporarily when no file
// descriptors are left. Serve retries then, because a process that stopped accepting would stay
// unreachable.
func (s *Server) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			go s.serve(raw)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (s *Server) serve(raw net.Conn) {
	if socket, ok := raw.(syscall.Conn); ok && tcp.HungUp(socket) {
		raw.Close() // cheaper than reading the Hello; there are thousands after a stall of the process
		return
	}
	SetUserTimeout(raw)
	conn := NewConn(raw)
	defer conn.Close()
	var hello Hello
	raw.SetReadDeadline(time.Now().Add(helloTimeout))
	if conn.Receive(&hello) != nil || hello.Version != ProtocolVersion {
		return
	}
	raw.SetReadDeadline(time.Time{})
	if handle := s.Handlers[hello.Use]; handle != nil {
		handle(hello, conn)
	}
}
