package connpool

import (
	"context"
	"net"
	"syscall"

	"example.org/micaline/internal/tcp"
)

// Network is what connections go through. Its clock needs no such twin: whoever wants a virtual one
// runs the caller in a bubble of testing/synctest.
type Network interface {
	// Dial opens a connection to an address, host and port. The context bounds how long it may take
	// to come up and has no part in the connection afterwards.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Quiet says that an idle connection of Dial's can carry a request: the other side has neither
	// closed it nor sent what nobody asked for. It never waits.
	Quiet(c net.Conn) bool
}

// TCP is the Network of the machine.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := tcp.Dial(ctx, addr)
	if err != nil {
		return nil, err // and no interface that holds a nil connection
	}
	return c, nil
}

// Quiet looks into the socket.
func (TCP) Quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	return ok && tcp.Quiet(sys)
}
