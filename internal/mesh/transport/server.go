package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

const (
	helloTimeout = 5 * time.Second // until who dialed must have said what for
	acceptPause  = 50 * time.Millisecond
)

// Server takes connections of the mesh's processes and hands each to who serves its use.
type Server struct {
	// Uses serve a connection by the use that its Hello names, until they return; then it is closed.
	Handlers map[string]func(Hello, *Conn)
}

// Serve accepts until the listener is closed. Danger: accepting fails for a while where descriptors
// run out, and a process that stopped then would be out of reach for good.
func (s *Server) Serve(l net.Listener) {
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			go s.serve(raw)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptPause)
		}
	}
}

func (s *Server) serve(raw net.Conn) {
	if t, ok := raw.(syscall.Conn); ok && tcp.HungUp(t) {
		raw.Close() // cheaper than to read its Hello: after a stall of the process there are thousands
		return
	}
	SetUserTimeout(raw)
	c := NewConn(raw)
	defer c.Close()
	var hello Hello
	raw.SetReadDeadline(time.Now().Add(helloTimeout))
	if c.Receive(&hello) != nil || hello.Version != ProtocolVersion {
		return
	}
	raw.SetReadDeadline(time.Time{})
	if serve := s.Handlers[hello.Use]; serve != nil {
		serve(hello, c)
	}
}
