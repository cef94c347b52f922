// Package connpool is a connection pool to backends, for requests of which it matters whether they
// may have run.
//
// There is a pool, which has so many sockets at most; targets, each a backend's process at an
// address; and connections, each to one target, which carry one request at a time. A connection is
// dialled or taken up again by Get, the one that was used last first, and given back by Put, or
// closed by Discard where it can't carry another request. One that is idle waits for the next
// request, until its backend might close it, room is wanted for another, or its target is retired:
// the process has gone, and what is in use closes once it is back.
//
// Promised is that no more connections are open than sockets are allowed, that nobody gets one to
// another process, nor one that its backend is seen to have closed, and that nothing is sent again
// by itself. net/http's own transport is no match for it: that sends again on a stale connection
// and does not tell whether a request's last byte went out, on which it hangs whether the request
// may have run.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"
)

// idleMargin is how long before a backend may close an idle connection it is no longer used: a
// request that crosses the close ends as a reset, and a reset may have run.
const idleMargin = 500 * time.Millisecond

// ErrSocketLimit says that the pool's own share of sockets is in use.
var ErrSocketLimit = errors.New("no socket left for backends")

// IsShortage says whether an error of Get is the own want of sockets, by which nothing is known of
// the backend.
func IsSocketShortage(err error) bool {
	return errors.Is(err, ErrSocketLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Options is all that a Pool is told at its start.
type Options struct {
	Network            Network
	ConnectTimeout     time.Duration
	BackendIdleTimeout time.Duration // a backend closes what is idle for so long; 0: never
	MaxConns           int           // connections, idle and in use
}

// Pool keeps the connections to all backends. It is safe for concurrent use, and has no goroutine
// or timer of its own.
type Pool struct {
	net            Network
	connectTimeout time.Duration
	idleClose      time.Duration

	mu      sync.Mutex
	most    int
	targets map[*Target]struct{} // those not retired
	open    int
}

// Target is a backend's process at an address, and the idle connections to it. Danger: another
// process may come up at the address of one that has gone; were the connections kept by address,
// those of the old would be taken for the new one's, and closed with the old would be the new
// one's.
type Target struct {
	Addr         string
	ProcessStart time.Duration // of the process
	idle         []*Conn       // the most recently used last
	retired      bool          // no connection is put back
}

// New returns a pool without connections.
func New(o Options) *Pool {
	return &Pool{
		net: o.Network, connectTimeout: o.ConnectTimeout, idleClose: o.BackendIdleTimeout, most: o.MaxConns, targets: map[*Target]struct{}{},
	}
}

// Resize changes how many connections there may be; idle ones that are over it go when one is
// wanted.
func (p *Pool) SetMaxConns(most int) {
	p.mu.Lock()
	p.most = most
	p.mu.Unlock()
}

// Target returns a new target, to be retired when its process has gone.
func (p *Pool) NewTarget(addr string, start time.Duration) *Target {
	t := &Target{Addr: addr, ProcessStart: start}
	p.mu.Lock()
	p.targets[t] = struct{}{}
	p.mu.Unlock()
	return t
}

// Retire closes the idle connections to a target, and those in use once they are back.
func (p *Pool) Retire(t *Target) {
	p.mu.Lock()
	t.retired = true
	delete(p.targets, t)
	p.mu.Unlock()
	p.closeIdle(t)
}

// Retired says whether a target is.
func (p *Pool) Retired(t *Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.retired
}

// Get returns a connection to a target: the idle one that was used last, or a new one. The context
// bounds how long it is waited for and has no part in the connection afterwards.
func (p *Pool) Get(ctx context.Context, t *Target) (*Conn, error) {
	if c := p.GetIdle(t); c != nil {
		return c, nil
	}
	return p.dial(ctx, t)
}

// GetIdle returns the idle connection to a target that was used last, nil if there is none.
func (p *Pool) GetIdle(t *Target) *Conn {
	for {
		c := p.takeIdle(t)
		if c == nil || !p.expired(c) && p.net.Quiet(c.Conn) {
			return c
		}
		p.Discard(c)
	}
}

func (p *Pool) takeIdle(t *Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(t.idle) == 0 {
		return nil
	}
	last := len(t.idle) - 1
	c := t.idle[last]
	t.idle[last] = nil
	t.idle = t.idle[:last]
	return c
}

func (p *Pool) expired(c *Conn) bool {
	return p.idleClose > 0 && time.Since(c.since) > p.idleClose-min(idleMargin, p.idleClose/4)
}

// dial opens a connection. When the sockets are used up, the one that has been idle longest makes
// room.
func (p *Pool) dial(ctx context.Context, t *Target) (*Conn, error) {
	p.mu.Lock()
	var victim *Conn
	if p.open >= p.most {
		of := p.longestIdle()
		if of == nil {
			p.mu.Unlock()
			return nil, ErrSocketLimit
		}
		victim = of.idle[0]
		of.idle = slices.Delete(of.idle, 0, 1)
		p.open--
	}
	p.open++
	p.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	raw, err := p.net.Dial(ctx, t.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &Conn{Conn: raw, to: t}
	c.limit.R = c
	c.Reader = bufio.NewReader(&c.limit)
	return c, nil
}

// longestIdle finds the target whose first connection has been idle longest.
func (p *Pool) longestIdle() (longest *Target) {
	for t := range p.targets {
		if len(t.idle) > 0 && (longest == nil || t.idle[0].since.Before(longest.idle[0].since)) {
			longest = t
		}
	}
	return longest
}

// Put gives a connection back for the next request. Nothing of the last one may be left on it, nor
// any deadline.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if c.to.retired {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	c.since = time.Now()
	c.to.idle = append(c.to.idle, c)
	p.mu.Unlock()
}

// Discard closes a connection that Get has returned, in place of Put.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes the idle connections to a target.
func (p *Pool) closeIdle(t *Target) {
	p.mu.Lock()
	dropped := t.idle
	t.idle = nil
	p.open -= len(dropped)
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// Close retires all targets: what is idle closes now, what is in use once it is back.
func (p *Pool) Close() {
	p.mu.Lock()
	targets := slices.Collect(maps.Keys(p.targets))
	p.mu.Unlock()
	for _, t := range targets {
		p.Retire(t)
	}
}

// Sweep closes what has been idle for too long to be used again. The caller says when: a pool of
// nothing has no work.
func (p *Pool) CloseExpired() {
	var dropped []*Conn
	p.mu.Lock()
	for t := range p.targets {
		for len(t.idle) > 0 && p.expired(t.idle[0]) {
			dropped = append(dropped, t.idle[0])
			t.idle = slices.Delete(t.idle, 0, 1)
		}
	}
	p.open -= len(dropped)
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}
