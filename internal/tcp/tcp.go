// Package tcp opens connections as the agent needs them, and looks into those that are idle.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Dial opens a connection without keep-alive probes, which do not notice a machine that has vanished in time to matter.
func Dial(ctx context.Context, addr string) (*net.TCPConn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Quiet says that the other side of an idle connection has neither closed it nor sent what nobody asked for. It looks
// into the socket, which is cheaper than a reset: a request written to a closed connection may have run.
func Quiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err == nil && quiet
}

// Waiting reads what a connection has received, without waiting, whatever its deadline. It returns how many bytes there
// were, 0 also if the connection has ended.
func Waiting(c syscall.Conn, b []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// Control, as Read would mind the deadline.
	raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT) })
	return max(n, 0)
}
