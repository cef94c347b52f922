package connpool

import (
	"context"
	"net"
	"syscall"

	"example.org/micaline/internal/tcp"
)

// Network opens connections and checks them. A test replaces it by a simulated network. Time needs
// no such interface, since tests run in a testing/synctest bubble.
type Network interface {
	// Dial opens a connection to a host and port. The context bounds only the time to connect and
	// does not affect the open connection.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Quiet reports whether an idle connection from Dial can carry a request: the peer has neither
	// closed it nor sent unexpected data. It never blocks.
	Quiet(c net.Conn) bool
}

// TCP is the Network of the operating system.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := tcp.Dial(ctx, addr)
	if err != nil {
		return nil, err // without this, the interface would hold a nil connection
	}
	return c, nil
}

// Quiet implements Network by peeking at the socket.
func (TCP) Quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	return ok && tcp.Quiet(sys)
}
