package agent

import (
	"context"
	"net"
	"syscall"
)

// Network is what the agent reaches backends and discovery through. Its clock needs no such twin: whoever wants a
// virtual one runs the agent in a bubble of testing/synctest.
type Network interface {
	// Dial opens a connection to an address, host and port. The context bounds how long it may take to come up and
	// has no part in the connection afterwards.
	Dial(ctx context.Context, addr string) (net.Conn, error)
	// Quiet says that an idle connection of Dial's can carry a request: the other side has neither closed it nor
	// sent what nobody asked for. It never waits.
	Quiet(c net.Conn) bool
}

// TCP is the Network of the machine.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Quiet looks into the socket, which is cheaper than a reset: a request written to a closed connection may have run.
func (TCP) Quiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && quiet
}
