package transport

import (
	"context"
	"sync"
	"time"
)

// Endpoint is one life of a gate's process. Danger: the next one at the address knows nothing of
// what was asked of this one, and a connection that outlives a loss of power there breaks under the
// first request that is sent on it.
type Endpoint struct {
	Address string
	Life    uint64
}

// Pool keeps connections for exchanges, by the life of the gate. All fields are set before its
// first use.
type Pool struct {
	ControlAddress string        // own control address
	ConnectTimeout time.Duration // for a connection to come up
	IdleTimeout    time.Duration // how long one is kept idle
	MaxIdlePerGate int           // connections kept idle for each gate

	mu   sync.Mutex
	idle map[Endpoint][]kept
	open int
	made uint64
}

type kept struct {
	c     *Conn
	since time.Time
}

// Get returns a connection to a gate: the one used last, or a new one, if that comes up in time.
func (p *Pool) Get(gate Endpoint, within time.Duration) (*Conn, error) {
	for {
		k, ok := p.take(gate)
		if !ok {
			break
		}
		if k.Buffered() == 0 && k.IsQuiet() {
			return k, nil
		}
		p.Discard(k)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(within, p.ConnectTimeout))
	defer cancel()
	c, err := Dial(ctx, UseExchange, p.ControlAddress, gate.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.made++
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) take(gate Endpoint) (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[gate]
	if len(list) == 0 {
		return nil, false
	}
	k := list[len(list)-1]
	p.idle[gate] = list[:len(list)-1]
	return k.c, true
}

// Put gives a connection back on which nothing is due. One with bytes that nobody has read is
// closed.
func (p *Pool) Put(gate Endpoint, c *Conn) {
	if c.Buffered() > 0 {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[Endpoint][]kept{}
	}
	full := len(p.idle[gate]) >= p.MaxIdlePerGate
	if !full {
		p.idle[gate] = append(p.idle[gate], kept{c, time.Now()})
	}
	p.mu.Unlock()
	if full {
		p.Discard(c)
	}
}

// Discard closes a connection that is not in the pool.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Sweep closes what has been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*Conn
	p.mu.Lock()
	for gate, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].since) > p.IdleTimeout {
			old = append(old, list[n].c)
			n++
		}
		if n == len(list) {
			delete(p.idle, gate)
		} else {
			p.idle[gate] = append(list[:0:0], list[n:]...)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.Discard(c)
	}
}

// Counts says how many connections are open and how many were made.
func (p *Pool) Counts() (open int, made uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.made
}
