package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/micaline/internal/settings"
)

// idleMargin is how long before a backend may close an idle connection it is no longer used: a request that
// crosses the close ends as a reset, and a reset may have run.
const idleMargin = 500 * time.Millisecond

// errSocketLimit says that the agent's own share of sockets is in use.
var errSocketLimit = errors.New("no socket left for backends")

// ownShortage says whether an error is the agent's own want of sockets.
func ownShortage(err error) bool {
	return errors.Is(err, errSocketLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	to     *target
	stall  time.Duration    // how long the next byte is waited for; 0: as long as it takes
	timing bool             // a read deadline is set
	mu     sync.Mutex       // guards over, and the deadline against it
	over   bool             // its request's time is over: nothing is waited for any more
	halted bool             // nothing is waited for at present
	limit  io.LimitedReader // bounds what one answer may hold, headers included
	br     *bufio.Reader
	since  time.Time // idle since then
}

// Read reads. Danger: its deadline may pass while the agent gets no processor, and what the backend had said in time would be
// taken for silence.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.arm(); err != nil {
		return 0, err
	}
	return readWaiting(c.Conn, b)
}

// pool keeps the connections to all backends. net/http's own transport is no match for it: that sends again by
// itself on a stale connection and does not tell whether a request's last byte went out, on which it hangs
// whether the request may have run.
type pool struct {
	net            Network
	connectTimeout time.Duration
	idleClose      time.Duration // 0: never
	most           int           // connections, idle and in use
	room           atomic.Int64  // bytes left for streams
	written        atomic.Int64  // attempts whose last byte went out
	late           *lateness     // the agent's own
	log            *slog.Logger

	mu      sync.Mutex
	targets map[*target]struct{} // those not retired
	open    int
}

// target is a backend's process at an address, and the idle connections to it. Danger: another process may come up
// at the address of one that has gone; were the connections kept by address, those of the old would be taken for the
// new one's, and closed with the old would be the new one's.
type target struct {
	addr    string
	start   time.Duration // of the process
	idle    []*conn       // the most recently used last
	retired bool          // no connection is put back
}

// newPool returns a pool of so many connections at most, with room for so many bytes of streams.
func newPool(net Network, s *settings.Settings, most int, room int64, log *slog.Logger) *pool {
	p := &pool{
		net: net, connectTimeout: s.ConnectTimeout, idleClose: s.Module.IdleClose, most: most,
		targets: map[*target]struct{}{}, late: newLateness(s, net), log: log,
	}
	p.room.Store(room)
	return p
}

// reserve takes so many bytes of the room for streams, if they are there. Danger: as many streams as there are connections
// would not fit into the memory.
func (p *pool) reserve(n int64) bool {
	if p.room.Add(-n) >= 0 {
		return true
	}
	p.room.Add(n)
	return false
}

// free gives them back.
func (p *pool) free(n int64) { p.room.Add(n) }

// resize changes how many connections there may be; idle ones that are over it go when one is wanted.
func (p *pool) resize(most int) {
	p.mu.Lock()
	p.most = most
	p.mu.Unlock()
}

// target returns a new target.
func (p *pool) target(addr string, start time.Duration) *target {
	t := &target{addr: addr, start: start}
	p.mu.Lock()
	p.targets[t] = struct{}{}
	p.mu.Unlock()
	return t
}

// retire closes the idle connections to a target, and those in use once they are back.
func (p *pool) retire(t *target) {
	p.mu.Lock()
	t.retired = true
	delete(p.targets, t)
	p.mu.Unlock()
	p.closeIdle(t)
}

// isRetired says whether a target is.
func (p *pool) isRetired(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.retired
}

// get returns a connection to a target: the idle one that was used last, or a new one.
func (p *pool) get(ctx context.Context, t *target) (*conn, error) {
	for {
		c := p.takeIdle(t)
		if c == nil {
			return p.dial(ctx, t)
		}
		if !p.expired(c) && p.net.Quiet(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *pool) takeIdle(t *target) *conn {
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

func (p *pool) expired(c *conn) bool {
	return p.idleClose > 0 && time.Since(c.since) > p.idleClose-min(idleMargin, p.idleClose/4)
}

// dial opens a connection. When the agent's sockets are used up, the one that has been idle longest makes room.
func (p *pool) dial(ctx context.Context, t *target) (*conn, error) {
	p.mu.Lock()
	var victim *conn
	if p.open >= p.most {
		of := p.longestIdle()
		if of == nil {
			p.mu.Unlock()
			return nil, errSocketLimit
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
	raw, err := p.net.Dial(ctx, t.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, to: t}
	c.limit.R = c
	c.br = bufio.NewReader(&c.limit)
	return c, nil
}

// longestIdle finds the target whose first connection has been idle longest.
func (p *pool) longestIdle() (longest *target) {
	for t := range p.targets {
		if len(t.idle) > 0 && (longest == nil || t.idle[0].since.Before(longest.idle[0].since)) {
			longest = t
		}
	}
	return longest
}

// put gives a connection back for the next request.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if c.to.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.since = time.Now()
	c.to.idle = append(c.to.idle, c)
	p.mu.Unlock()
}

// discard closes a connection that is in nobody's list.
func (p *pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes the idle connections to a target.
func (p *pool) closeIdle(t *target) {
	p.mu.Lock()
	dropped := t.idle
	t.idle = nil
	p.open -= len(dropped)
	p.mu.Unlock()
	for _, c := range dropped {
		c.Close()
	}
}

// close retires all targets: what is idle closes now, what is in use once it is back.
func (p *pool) close() {
	p.mu.Lock()
	targets := slices.Collect(maps.Keys(p.targets))
	p.mu.Unlock()
	for _, t := range targets {
		p.retire(t)
	}
}

// sweep closes what has been idle for too long to be used again.
func (p *pool) sweep() {
	var dropped []*conn
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
