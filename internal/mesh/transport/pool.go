package transport

import (
	"context"
	"sync"
	"time"
)

// Endpoint identifies one process of a gate. A later process at the same address does not know
// about requests to an earlier one. A connection that survived a power loss there would break when
// the next request is sent on it, so connections are not reused across incarnations.
type Endpoint struct {
	Address string
	Life    uint64
}

// Pool keeps connections for exchanges, grouped by gate process. All exported fields must be set
// before its first use.
type Pool struct {
	ControlAddress string        // of this process
	ConnectTimeout time.Duration // limit for opening a connection
	IdleTimeout    time.Duration // how long an idle connection is kept
	MaxIdlePerGate int           // idle connections kept per gate process

	mu     sync.Mutex
	idle   map[Endpoint][]idleConn
	open   int
	dialed uint64
}

type idleConn struct {
	conn      *Conn
	idleSince time.Time
}

// Get returns the most recently used idle connection to a gate, or opens one within the timeout.
func (p *Pool) Get(gate Endpoint, timeout time.Duration) (*Conn, error) {
	for {
		conn, ok := p.popIdle(gate)
		if !ok {
			break
		}
		if conn.Buffered() == 0 && conn.IsQuiet() {
			return conn, nil
		}
		p.Discard(conn)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, p.ConnectTimeout))
	defer cancel()
	conn, err := Dial(ctx, UseExchange, p.ControlAddress, gate.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.dialed++
	p.mu.Unlock()
	return conn, nil
}

func (p *Pool) popIdle(gate Endpoint) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[gate]
	if len(conns) == 0 {
		return nil, false
	}
	newest := conns[len(conns)-1]
	p.idle[gate] = conns[:len(conns)-1]
	return newest.conn, true
}

// Put returns a connection on which no reply is outstanding. It is closed if it has unread data, or
// if enough connections are idle.
func (p *Pool) Put(gate Endpoint, conn *Conn) {
	if conn.Buffered() > 0 {
		p.Discard(conn)
		return
	}
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[Endpoint][]idleConn{}
	}
	full := len(p.idle[gate]) >= p.MaxIdlePerGate
	if !full {
		p.idle[gate] = append(p.idle[gate], idleConn{conn, time.Now()})
	}
	p.mu.Unlock()
	if full {
		p.Discard(conn)
	}
}

// Discard closes a connection that was returned by Get.
func (p *Pool) Discard(conn *Conn) {
	conn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Sweep closes connections that were idle for longer than IdleTimeout.
func (p *Pool) Sweep(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for gate, conns := range p.idle {
		n := 0
		for n < len(conns) && now.Sub(conns[n].idleSince) > p.IdleTimeout {
			expired = append(expired, conns[n].conn)
			n++
		}
		if n == len(conns) {
			delete(p.idle, gate)
		} else {
			p.idle[gate] = append(conns[:0:0], conns[n:]...)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		p.Discard(conn)
	}
}

// Counts returns how many connections are open and how many were opened in total.
func (p *Pool) Counts() (open int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}
