// Package tcp opens connections as the agent needs them, and looks into those that are idle.
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

// Dial opens a connection without keep-alive probes, which do not notice a machine that has vanished in time to matter.
func Dial(ctx context.Context, addr string) (*net.TCPConn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// Quiet says that the other side of an idle connection has neither closed it nor sent what nobody asked for, or nobody has
// read. It looks into the socket, which is cheaper than a reset: a request written to a closed connection may have run.
func Quiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && RawQuiet(raw)
}

// RawQuiet is Quiet for a connection that is asked often.
func RawQuiet(raw syscall.RawConn) bool {
	quiet := false
	// Control: a call that waits in Read keeps other readers out until something comes.
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && quiet
}

// Ended says that the other side of a connection has closed it, and that all it sent before has been
// read.
func Ended(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || ended
}

// HungUp says that the other side of a connection has closed it, also where there is something left
// to read.
func HungUp(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err != nil || RawHungUp(raw)
}

// RawHungUp is HungUp for a connection that is asked often.
func RawHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(fd uintptr) { hungUp = isHungUp(fd) })
	return err != nil || hungUp
}

// AwaitHangUp waits until the other side has closed a connection, without reading from it. It fails
// once the connection's read deadline has passed. Nobody else can read meanwhile.
func AwaitHangUp(raw syscall.RawConn) error { return raw.Read(isHungUp) }

// isHungUp looks at the next byte first, as most connections have none: to ask for the state of a
// socket takes longer, and only that tells of a close behind bytes that nobody has read.
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

// waiter is a connection that is no socket and gives what it has received, whatever its deadline.
type waiter interface{ Waiting(b []byte) int }

// ReadWaiting reads, behind the deadline too what had come by then.
func ReadWaiting(c net.Conn, b []byte) (n int, err error) {
	if n, err = c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	late := 0
	switch c := c.(type) {
	case waiter:
		late = c.Waiting(b)
	case syscall.Conn:
		late = Waiting(c, b)
	}
	if late > 0 {
		return late, nil
	}
	return n, err
}

// Inherit returns a listener on a socket that other processes hold too.
func Inherit(file *os.File) (net.Listener, error) {
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("a listener of %s, not of TCP", l.Addr().Network())
	}
	raw, err := t.SyscallConn()
	if err != nil {
		l.Close()
		return nil, err
	}
	return &inherited{t, raw}, nil
}

type inherited struct {
	*net.TCPListener
	raw syscall.RawConn
}

// Accept returns the next connection. Danger: whether a call waits is a flag of the socket, not of the descriptor, and who
// starts another process with it may clear it. Accept would then wait in the kernel, where Close can't end it.
func (l *inherited) Accept() (net.Conn, error) {
	var err error
	if wrong := l.raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) }); wrong != nil || err != nil {
		return nil, errors.Join(wrong, err)
	}
	return l.TCPListener.Accept()
}
