package connpool

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// fakeConn is a connection of a fakeNetwork. Tests set dirty to simulate a close or data by the
// backend.
type fakeConn struct {
	net.Conn
	network *fakeNetwork
	addr    string
	closed  bool // the pool has closed it
	dirty   bool // the backend has closed it or sent data
}

func (c *fakeConn) Close() error {
	if !c.closed {
		c.closed = true
		c.network.open--
	}
	return nil
}

func (c *fakeConn) SetDeadline(time.Time) error     { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error { return nil }

// fakeNetwork is a Network that counts its open connections.
type fakeNetwork struct {
	open, dialled, maxOpen int
	dialErr                error
}

func (n *fakeNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := cmp.Or(n.dialErr, ctx.Err()); err != nil {
		return nil, err
	}
	n.open++
	n.dialled++
	n.maxOpen = max(n.maxOpen, n.open)
	return &fakeConn{network: n, addr: addr}, nil
}

func (n *fakeNetwork) Quiet(c net.Conn) bool {
	fake := c.(*fakeConn)
	return !fake.dirty && !fake.closed
}

// fakeOf returns the fake connection inside a Conn.
func fakeOf(c *Conn) *fakeConn { return c.Conn.(*fakeConn) }

func mustGet(t *testing.T, p *Pool, target *Target) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A new process at the address of an old one has its own connections. When the old target is
// retired, its idle connections are closed, those in use are closed when they are put back, and the
// new ones stay open.
func TestNewTargetAtAnOldAddress(t *testing.T) {
	network := &fakeNetwork{}
	p := New(Options{Network: network, MaxConns: 4, ConnectTimeout: time.Second})
	old := p.NewTarget("x", 1)
	idle, inUse := mustGet(t, p, old), mustGet(t, p, old)
	p.Put(idle)
	next := p.NewTarget("x", 2)
	nextConn := mustGet(t, p, next)
	if nextConn == idle {
		t.Fatal("got a connection to the old process")
	}
	p.Put(nextConn)
	if p.Retire(old); !fakeOf(idle).closed || fakeOf(inUse).closed || fakeOf(nextConn).closed || !p.Retired(old) || p.Retired(next) {
		t.Errorf("idle %+v, in use %+v, to the new process %+v", fakeOf(idle), fakeOf(inUse), fakeOf(nextConn))
	}
	if p.Put(inUse); !fakeOf(inUse).closed || len(old.idle) != 0 || len(next.idle) != 1 || p.openConns != 1 || len(p.targets) != 1 {
		t.Errorf("%d idle connections to the old process, %d to the new one, %d open", len(old.idle), len(next.idle), p.openConns)
	}
	if p.Close(); p.openConns != 0 || network.open != 0 || len(p.targets) != 0 {
		t.Errorf("%d open, %d counted, %d targets after Close", network.open, p.openConns, len(p.targets))
	}
}

// A connection that the backend has closed, or may close before a request arrives, is not used
// again. CloseExpired closes connections of the second kind.
func TestIdleConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &fakeNetwork{}
		p := New(Options{Network: network, MaxConns: 4, ConnectTimeout: time.Second, BackendIdleTimeout: 30 * time.Second})
		target := p.NewTarget("x", 0)
		for i, end := range []func(c *Conn){
			func(*Conn) { time.Sleep(30*time.Second - idleMargin/2) }, // CloseExpired not called
			func(c *Conn) {
				time.Sleep(30*time.Second - idleMargin/2)
				if p.CloseExpired(); !fakeOf(c).closed || p.openConns != 0 {
					t.Error("CloseExpired did not close it")
				}
			},
			func(c *Conn) {
				if p.closeIdle(target); !fakeOf(c).closed {
					t.Error("closeIdle did not close it")
				}
			},
			func(c *Conn) { fakeOf(c).dirty = true },
			func(c *Conn) {
				time.Sleep(30*time.Second - 2*idleMargin)
				if p.CloseExpired(); mustGet(t, p, target) != c {
					t.Error("not reused, although the idle timeout is far enough away")
				}
				p.Put(c)
			},
		} {
			c := mustGet(t, p, target)
			if network.dialled != i+1 {
				t.Errorf("%d connections dialled after %d have ended", network.dialled, i)
			}
			p.Put(c)
			end(c)
		}
		if p.openConns != 1 || network.open != 1 {
			t.Errorf("%d connections counted as open, %d are open", p.openConns, network.open)
		}
	})
}

// The most recently used connection is the least likely to be closed by the backend.
func TestNewestConnectionFirst(t *testing.T) {
	p := New(Options{Network: &fakeNetwork{}, MaxConns: 4, ConnectTimeout: time.Second})
	target := p.NewTarget("x", 0)
	older, newer := mustGet(t, p, target), mustGet(t, p, target)
	p.Put(older)
	p.Put(newer)
	if mustGet(t, p, target) != newer || mustGet(t, p, target) != older || p.popIdle(target) != nil {
		t.Error("did not get the most recently used connection first")
	}
}

// A failed dial must not count as an open connection.
func TestDialThatFails(t *testing.T) {
	network := &fakeNetwork{dialErr: errors.New("connection refused")}
	p := New(Options{Network: network, MaxConns: 1, ConnectTimeout: time.Second})
	target := p.NewTarget("x", 0)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{t.Context(), cancelled} {
		if _, err := p.Get(ctx, target); !errors.Is(err, network.dialErr) || IsSocketShortage(err) || p.openConns != 0 {
			t.Errorf("%v, %d counted as open", err, p.openConns)
		}
	}
	network.dialErr = nil
	mustGet(t, p, target)
	if _, err := p.Get(t.Context(), target); !IsSocketShortage(err) {
		t.Errorf("a second connection with a limit of one: %v", err)
	}
}

// Under random load the number of open connections stays within the limit and is counted correctly.
// A caller never gets a connection to another process, a closed one or one that is in use. Get does
// not fail for lack of sockets while idle connections can be closed instead.
func TestRandomLoad(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			network := &fakeNetwork{}
			maxConns := 1 + rng.IntN(8)
			p := New(Options{Network: network, MaxConns: maxConns, ConnectTimeout: time.Second, BackendIdleTimeout: 10 * time.Second})
			targets, inUse := []*Target(nil), []*Conn(nil)
			shortages := 0
			for range 3000 {
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				switch action := rng.IntN(20); {
				case action == 0 || len(targets) == 0:
					targets = append(targets, p.NewTarget(string(rune('a'+rng.IntN(3))), time.Duration(rng.IntN(100))))
				case action == 1:
					i := rng.IntN(len(targets))
					p.Retire(targets[i])
					targets = slices.Delete(targets, i, i+1)
				case action == 2:
					p.CloseExpired()
				case action == 3 && rng.IntN(10) == 0:
					maxConns = 1 + rng.IntN(8)
					p.SetMaxConns(maxConns)
				case action < 11:
					target := targets[rng.IntN(len(targets))]
					before := network.open
					network.maxOpen = before
					c, err := p.Get(t.Context(), target)
					// After SetMaxConns has lowered the limit, more may stay open, but their number
					// must not grow.
					if network.maxOpen > max(maxConns, before) {
						t.Fatalf("%d connections open at once, the limit is %d", network.maxOpen, maxConns)
					}
					switch {
					case errors.Is(err, ErrSocketLimit):
						if shortages++; len(inUse) < maxConns {
							t.Fatalf("no socket left with %d of %d in use", len(inUse), maxConns)
						}
					case err != nil:
						t.Fatal(err)
					case c.target != target || fakeOf(c).addr != target.Addr || fakeOf(c).closed || fakeOf(c).dirty || slices.Contains(inUse, c):
						t.Fatalf("got an unusable connection %+v", fakeOf(c))
					default:
						inUse = append(inUse, c)
					}
				case len(inUse) > 0:
					i := rng.IntN(len(inUse))
					c := inUse[i]
					inUse = slices.Delete(inUse, i, i+1)
					if rng.IntN(4) == 0 {
						p.Discard(c)
						break
					}
					p.Put(c)
					fakeOf(c).dirty = rng.IntN(5) == 0
				}
				idle := 0
				for target := range p.targets {
					idle += len(target.idle)
				}
				if p.openConns != network.open || p.openConns != idle+len(inUse) {
					t.Fatalf("%d counted, %d open, %d idle, %d in use", p.openConns, network.open, idle, len(inUse))
				}
			}
			if p.Close(); network.open != len(inUse) {
				t.Fatalf("%d open at the end, %d in use", network.open, len(inUse))
			}
			if shortages == 0 && maxConns < 3 {
				t.Error("the connection limit was never reached")
			}
		})
	}
}
