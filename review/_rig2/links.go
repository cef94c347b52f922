package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// link carries what one machine says to a core machine. While it is cut it refuses: connections are
// reset, those that were open and those that are tried.
type link struct {
	from, to *machine
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// linkCores gives each machine spare ports of its own, so that what it dials at a core machine is a
// port of a link. It has to be called before the processes start.
func (g *rig) linkCores() error {
	for i, m := range g.machines() {
		m.spare = sparePort + 20*i
	}
	for _, from := range g.machines() {
		for _, to := range g.cores {
			if from == to {
				continue
			}
			listener, err := net.Listen("tcp4", to.at(from.spare))
			if err != nil {
				return fmt.Errorf("link from %s to %s: %w", from.name, to.name, err)
			}
			l := &link{from: from, to: to, listener: listener, target: to.at(to.spare)}
			g.links = append(g.links, l)
			go l.serve()
		}
	}
	return nil
}

func (l *link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(conn)
	}
}

// keep takes in a connection of the link. It returns false, and resets the connection, during a cut.
func (l *link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		reset(conn)
		return false
	}
	l.conns = append(l.conns, conn)
	return true
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (l *link) carry(conn net.Conn) {
	defer conn.Close()
	if !l.keep(conn) {
		return
	}
	onward, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer onward.Close()
	if !l.keep(onward) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pump(onward, conn) })
	both.Go(func() { pump(conn, onward) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(c net.Conn) bool { return c == conn || c == onward })
}

// pump copies one direction until it ends, and then ends the connection.
func pump(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for _, conn := range l.conns {
			reset(conn)
		}
		l.conns = nil
	}
}

func (l *link) close() {
	l.listener.Close()
	l.set(true)
}

// cutCore cuts two groups of core machines from each other, or joins them. All other machines reach both.
func (g *rig) cutCore(one, other []*machine, cut bool) {
	for _, l := range g.links {
		if slices.Contains(one, l.from) && slices.Contains(other, l.to) || slices.Contains(other, l.from) && slices.Contains(one, l.to) {
			l.set(cut)
		}
	}
}
