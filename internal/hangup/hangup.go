// Package hangup detects that the client of a request has closed its connection.
//
// net/http reads ahead while a request is served and cancels the request's context when it finds
// the end of the connection. It detects two kinds of close too late. It stops reading at the first
// byte of a pipelined request, so a close after that byte is found only once the current request is
// answered. And after the process was suspended, new work for the request may start before the
// waiting close is read.
//
// A Watcher detects both. From the first byte that was read ahead, it waits for the end of the
// connection itself, and it checks the socket when ClientClosed is called.
//
// A client that closes only its sending side can't be told from one that is gone until something is
// written to it. Both count as closed: a client that wants its answers does not need to close
// before they have arrived (RFC 9112, section 9.6), while work for a client that is gone takes
// capacity from others.
package hangup

import (
	"net"
	"sync"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

// Watcher watches one client connection. A nil Watcher, as for a connection that is not a socket,
// detects nothing.
type Watcher struct {
	conn net.Conn
	raw  syscall.RawConn

	mu       sync.Mutex
	onClose  func()        // called when the client has closed; nil: no request is being served
	waitDone chan struct{} // closed when the wait for the end is over; nil: no wait is running
}

// New returns a Watcher for a connection, or nil if the connection is not a socket.
func New(c net.Conn) *Watcher {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return &Watcher{conn: c, raw: raw}
}

// ClientClosed reports whether the client has closed the connection, even if unread data precedes
// the close.
func (w *Watcher) ClientClosed() bool { return w != nil && tcp.RawHungUp(w.raw) }

// NotifyOnClose arranges that onClose is called at most once when the client closes the connection.
// It is to be called when the request is complete. Until the returned function is called, the
// connection may only be read ahead.
func (w *Watcher) NotifyOnClose(onClose func()) (stop func()) {
	if w == nil {
		return func() {}
	}
	w.mu.Lock()
	w.onClose = onClose
	w.mu.Unlock()
	return w.stopNotifying
}

// RecordReadAhead records that data was read ahead from the connection, and begins to wait for its
// end.
func (w *Watcher) RecordReadAhead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.onClose == nil || w.waitDone != nil {
		return
	}
	onClose, done := w.onClose, make(chan struct{})
	w.waitDone = done
	go func() {
		defer close(done)
		if tcp.AwaitHangUp(w.raw) == nil {
			onClose()
		}
	}()
}

// stopNotifying ends the wait, so that the connection can be read again.
func (w *Watcher) stopNotifying() {
	w.mu.Lock()
	waitDone := w.waitDone
	w.onClose, w.waitDone = nil, nil
	w.mu.Unlock()
	if waitDone == nil {
		return
	}
	w.conn.SetReadDeadline(time.Unix(1, 0))
	<-waitDone
	w.conn.SetReadDeadline(time.Time{})
}
