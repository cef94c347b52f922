// Package connpool is a pool of connections to backends, for requests where it matters whether they
// may have run.
//
// A Pool has a limit on its connections. A Target is a backend process at an address. A Conn
// belongs to one target and carries one request at a time. Get returns the most recently used idle
// connection or dials a new one. Put returns a connection to the pool, and Discard closes one that
// can't carry another request. An idle connection is closed when its backend may soon close it,
// when another connection needs its socket, or when its target is retired because the process is
// gone. Connections in use are then closed when they are put back.
//
// The pool guarantees that the number of open connections stays within the limit, that a connection
// never leads to another process than that of its target, that a connection which the backend has
// visibly closed is not reused, and that no request is sent again automatically. The transport of
// net/http does not fit: it resends requests on stale connections and does not tell whether the
// last byte of a request was sent, which decides whether the request may have run.
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

// idleMargin is how long before the backend's idle timeout a connection is no longer used. A
// request that crosses the close ends as a reset, after which it may or may not have run.
const idleMargin = 500 * time.Millisecond

// ErrSocketLimit reports that all connections of the pool are in use.
var ErrSocketLimit = errors.New("no socket left for backends")

// IsSocketShortage reports whether an error of Get is a local lack of sockets, which says nothing
// about the backend.
func IsSocketShortage(err error) bool {
	return errors.Is(err, ErrSocketLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Options configures a Pool.
type Options struct {
	Network            Network
	ConnectTimeout     time.Duration
	BackendIdleTimeout time.Duration // idle time after which backends close; 0: never
	MaxConns           int           // limit on open connections, idle ones included
}

// Pool keeps the connections to all backends. It is safe for concurrent use and has no goroutines
// or timers of its own.
type Pool struct {
	network            Network
	connectTimeout     time.Duration
	backendIdleTimeout time.Duration

	mu        sync.Mutex
	maxConns  int
	targets   map[*Target]struct{} // targets that are not retired
	openConns int                  // connections that are idle, in use or being dialled
}

// Target is a backend process at an address, with the idle connections to it. Connections are kept
// by process and not by address, because a new process may start at the address of one that is
// gone. By address, connections to the old process would be used for the new one, and closing the
// old ones would also close those to the new process.
type Target struct {
	Addr         string
	ProcessStart time.Duration // start time of the process
	idle         []*Conn       // oldest first
	retired      bool          // connections are closed instead of put back
}

// New returns a pool without connections.
func New(o Options) *Pool {
	return &Pool{
		network: o.Network, connectTimeout: o.ConnectTimeout, backendIdleTimeout: o.BackendIdleTimeout, maxConns: o.MaxConns, targets: map[*Target]struct{}{},
	}
}

// SetMaxConns changes the limit on open connections. Idle connections above a lower limit are
// closed only when a new connection is needed.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	p.maxConns = maxConns
	p.mu.Unlock()
}

// NewTarget returns a new target. It must be retired when its process is gone.
func (p *Pool) NewTarget(addr string, processStart time.Duration) *Target {
	t := &Target{Addr: addr, ProcessStart: processStart}
	p.mu.Lock()
	p.targets[t] = struct{}{}
	p.mu.Unlock()
	return t
}

// Retire closes the idle connections to a target. Connections in use are closed when they are put
// back.
func (p *Pool) Retire(t *Target) {
	p.mu.Lock()
	t.retired = true
	delete(p.targets, t)
	p.mu.Unlock()
	p.closeIdle(t)
}

// Retired reports whether a target is retired.
func (p *Pool) Retired(t *Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.retired
}

// Get returns the most recently used idle connection to a target, or a new one. The context bounds
// only the time to connect and does not affect the connection afterwards.
func (p *Pool) Get(ctx context.Context, t *Target) (*Conn, error) {
	if c := p.GetIdle(t); c != nil {
		return c, nil
	}
	return p.dial(ctx, t)
}

// GetIdle returns the most recently used idle connection to a target, or nil if there is none.
func (p *Pool) GetIdle(t *Target) *Conn {
	for {
		c := p.popIdle(t)
		if c == nil || !p.idleExpired(c) && p.network.Quiet(c.Conn) {
			return c
		}
		p.Discard(c)
	}
}

// popIdle removes the most recently used idle connection from its target.
func (p *Pool) popIdle(t *Target) *Conn {
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

// idleExpired reports whether the backend may soon close an idle connection.
func (p *Pool) idleExpired(c *Conn) bool {
	return p.backendIdleTimeout > 0 && time.Since(c.idleSince) > p.backendIdleTimeout-min(idleMargin, p.backendIdleTimeout/4)
}

// dial opens a connection. At the connection limit it first closes the connection that has been
// idle for the longest time.
func (p *Pool) dial(ctx context.Context, t *Target) (*Conn, error) {
	p.mu.Lock()
	var evicted *Conn
	if p.openConns >= p.maxConns {
		evictFrom := p.longestIdle()
		if evictFrom == nil {
			p.mu.Unlock()
			return nil, ErrSocketLimit
		}
		evicted = evictFrom.idle[0]
		evictFrom.idle = slices.Delete(evictFrom.idle, 0, 1)
		p.openConns--
	}
	p.openConns++
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	raw, err := p.network.Dial(ctx, t.Addr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	c := &Conn{Conn: raw, target: t}
	c.answerLimit.R = c
	c.Reader = bufio.NewReader(&c.answerLimit)
	return c, nil
}

// longestIdle returns the target that has the connection with the longest idle time.
func (p *Pool) longestIdle() (longest *Target) {
	for t := range p.targets {
		if len(t.idle) > 0 && (longest == nil || t.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = t
		}
	}
	return longest
}

// Put returns a connection to the pool. The last answer must have been read completely, and no
// deadline may be set.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if c.target.retired {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
	p.mu.Unlock()
}

// Discard closes a connection that Get has returned. It is called instead of Put.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// closeIdle closes all idle connections to a target.
func (p *Pool) closeIdle(t *Target) {
	p.mu.Lock()
	idle := t.idle
	t.idle = nil
	p.openConns -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Close retires all targets. Idle connections are closed now, others when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	targets := slices.Collect(maps.Keys(p.targets))
	p.mu.Unlock()
	for _, t := range targets {
		p.Retire(t)
	}
}

// CloseExpired closes connections that have been idle for too long to be used again. The caller
// decides when to call it, so that an empty pool causes no work.
func (p *Pool) CloseExpired() {
	var expired []*Conn
	p.mu.Lock()
	for t := range p.targets {
		for len(t.idle) > 0 && p.idleExpired(t.idle[0]) {
			expired = append(expired, t.idle[0])
			t.idle = slices.Delete(t.idle, 0, 1)
		}
	}
	p.openConns -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
