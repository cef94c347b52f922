// Package tcp opens TCP connections and examines the state of their sockets without blocking.
package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dial opens a connection without keep-alive probes, because they detect the loss of a machine too
// late to be useful.
func Dial(ctx context.Context, addr string) (*net.TCPConn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Quiet reports whether an idle connection is open and has no unread bytes, so that a request may be
// written to it. A request on a connection that the peer has closed could not be repeated, because it
// may have run.
func Quiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && RawQuiet(raw)
}

// RawQuiet is Quiet for a connection that is checked often.
func RawQuiet(raw syscall.RawConn) bool {
	quiet := false
	// Control, because a reader that waits in Read would block this call.
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && quiet
}

// HungUp reports whether the peer has closed a connection, even if unread bytes precede the close.
func HungUp(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err != nil || RawHungUp(raw)
}

// RawHungUp is HungUp for a connection that is checked often.
func RawHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(fd uintptr) { hungUp = isHungUp(fd) })
	return err != nil || hungUp
}

// AwaitHangUp waits until the peer has closed a connection, and reads nothing from it. It returns an
// error once the connection's read deadline has passed. Other readers of the connection are blocked
// meanwhile.
func AwaitHangUp(raw syscall.RawConn) error { return raw.Read(isHungUp) }

// isHungUp reports whether the peer has closed a socket. It peeks at the next byte first, because most
// sockets have none and a poll takes longer. Only the poll detects a close behind unread bytes.
func isHungUp(fd uintptr) bool {
	var b [1]byte
	switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false
	case err != nil, n == 0:
		return true
	}
	poll := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll[:], 0)
	return err == nil && n == 1 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Waiting reads the bytes that a connection has received, without blocking and regardless of its
// deadline. It returns their number, which is 0 as well if the connection has ended.
func Waiting(c syscall.Conn, b []byte) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// Control, because Read fails once the deadline has passed.
	raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT) })
	return max(n, 0)
}

// waiter is implemented by connections that are not sockets but can do what Waiting does.
type waiter interface{ Waiting(b []byte) int }

// ReadWaiting reads like c.Read. If the deadline has passed, it returns the bytes that were received
// before.
func ReadWaiting(c net.Conn, b []byte) (n int, err error) {
	if n, err = c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	received := 0
	switch c := c.(type) {
	case waiter:
		received = c.Waiting(b)
	case syscall.Conn:
		received = Waiting(c, b)
	}
	if received > 0 {
		return received, nil
	}
	return n, err
}

// Inherit returns a listener on a socket that this process shares with others.
func Inherit(file *os.File) (net.Listener, error) {
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("the inherited listener is of network %s, not tcp", l.Addr().Network())
	}
	raw, err := t.SyscallConn()
	if err != nil {
		l.Close()
		return nil, err
	}
	return &inherited{t, raw}, nil
}

// inherited is a listener whose socket is shared with other processes.
type inherited struct {
	*net.TCPListener
	raw syscall.RawConn
}

// Accept returns the next connection. It makes the socket non-blocking first: that is a flag of the
// socket, not of the descriptor, and a process that passes the socket on may clear it. Accept would
// then block in the kernel, where Close can't interrupt it.
func (l *inherited) Accept() (net.Conn, error) {
	var setErr error
	controlErr := l.raw.Control(func(fd uintptr) { setErr = syscall.SetNonblock(int(fd), true) })
	if err := errors.Join(controlErr, setErr); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}
