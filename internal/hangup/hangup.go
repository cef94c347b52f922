// Package hangup tells a server that the client of a request has closed its connection.
//
// net/http reads ahead while a request is served, and ends the request's context when it finds the
// end of the connection. Two closes it doesn't see in time. It stops reading at the first byte of a
// next request, so a close behind that is found only once the request is answered. And after the
// process stood still, what a close should keep from being begun may be begun first.
//
// A Watch sees both: from the first byte that is read ahead on it waits for the end of the
// connection itself, and it looks into the socket when it is asked.
//
// A client that closes only its own side of the connection looks the same as one that is gone, until
// something is written to it. Both have left: nobody who reads answers to HTTP/1.1 needs to do so
// before they have come (RFC 9112, 9.6), while work that is done for nobody costs others theirs.
package hangup

import (
	"net"
	"sync"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
)

// Watch is of one connection of a client. A nil Watch, of what is no socket, sees nothing.
type Watcher struct {
	conn net.Conn
	raw  syscall.RawConn

	mu       sync.Mutex
	left     func()        // to be told that the client has left; nil: no request is served
	watching chan struct{} // closed when the wait for the end is over; nil: there is none
}

// New returns a watch of a connection; nil if it is no socket.
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

// HungUp says whether the client has closed the connection, also where that waits unread.
func (w *Watcher) ClientClosed() bool { return w != nil && tcp.RawHungUp(w.raw) }

// Serving has the client's leave told, once at most, from when its request is whole until the
// function that is returned is called. Until then nothing may be read but ahead.
func (w *Watcher) NotifyOnClose(left func()) (stop func()) {
	if w == nil {
		return func() {}
	}
	w.mu.Lock()
	w.left = left
	w.mu.Unlock()
	return w.served
}

// ReadAhead takes in that something was read from the connection.
func (w *Watcher) RecordReadAhead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left == nil || w.watching != nil {
		return
	}
	left, over := w.left, make(chan struct{})
	w.watching = over
	go func() {
		defer close(over)
		if tcp.AwaitHangUp(w.raw) == nil {
			left()
		}
	}()
}

// served ends the wait, so that the connection can be read again.
func (w *Watcher) served() {
	w.mu.Lock()
	watching := w.watching
	w.left, w.watching = nil, nil
	w.mu.Unlock()
	if watching == nil {
		return
	}
	w.conn.SetReadDeadline(time.Unix(1, 0))
	<-watching
	w.conn.SetReadDeadline(time.Time{})
}
