package api

import (
	"io"
	"log"
	"net"
	"sync"
)

var quiet = log.New(io.Discard, "", 0)

// entries are the open connections of a server.
type entries struct {
	mu        sync.Mutex
	strangers []*entry // the oldest first
	known     int
}

// entry is one connection.
type entry struct {
	net.Conn
	all    *entries
	known  bool
	closed bool
}

// lobby accepts connections as strangers.
type lobby struct {
	net.Listener
	entries *entries
}

func (l *lobby) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.entries.add(c), nil
}

// add takes a connection in. Danger: thousands that say nothing would take the sockets of data.
func (e *entries) add(c net.Conn) *entry {
	n := &entry{Conn: c, all: e}
	var oldest *entry
	e.mu.Lock()
	if len(e.strangers) >= mostStrangers {
		oldest = e.strangers[0]
	}
	e.strangers = append(e.strangers, n)
	e.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return n
}

// letIn notes that a connection is of somebody who is known. It says false where there are too many.
func (e *entries) letIn(n *entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.known || n.closed {
		return true
	}
	if e.known >= mostConns {
		return false
	}
	e.known++
	n.known = true
	e.drop(n)
	return true
}

// drop takes one from the strangers. The mutex is held.
func (e *entries) drop(n *entry) {
	for i, s := range e.strangers {
		if s == n {
			e.strangers = append(e.strangers[:i], e.strangers[i+1:]...)
			return
		}
	}
}

func (n *entry) Close() error {
	n.all.mu.Lock()
	if !n.closed {
		n.closed = true
		if n.known {
			n.all.known--
		} else {
			n.all.drop(n)
		}
	}
	n.all.mu.Unlock()
	return n.Conn.Close()
}
