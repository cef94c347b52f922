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

// line is one connection of a plant: the far end closes or speaks as it likes.
type line struct {
	net.Conn
	plant  *plant
	addr   string
	closed bool // by the pool
	noisy  bool // the far end has closed it or sent something
}

func (l *line) Close() error {
	if !l.closed {
		l.closed = true
		l.plant.open--
	}
	return nil
}

func (l *line) SetDeadline(time.Time) error     { return nil }
func (l *line) SetReadDeadline(time.Time) error { return nil }

// plant is a Network that counts what is open.
type plant struct {
	open, dialled, most int
	fails               error
}

func (p *plant) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := cmp.Or(p.fails, ctx.Err()); err != nil {
		return nil, err
	}
	p.open++
	p.dialled++
	p.most = max(p.most, p.open)
	return &line{plant: p, addr: addr}, nil
}

func (p *plant) Quiet(c net.Conn) bool { l := c.(*line); return !l.noisy && !l.closed }

func far(c *Conn) *line { return c.Conn.(*line) }

func get(t *testing.T, p *Pool, to *Target) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), to)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A process at the address of one that has gone has connections of its own: those of the old one
// close, the one in use when it is back, and the new one's stay when the old one is forgotten.
func TestNewTargetAtAnOldAddress(t *testing.T) {
	n := &plant{}
	p := New(Options{Network: n, MaxConns: 4, ConnectTimeout: time.Second})
	old := p.NewTarget("x", 1)
	idle, inUse := get(t, p, old), get(t, p, old)
	p.Put(idle)
	next := p.NewTarget("x", 2)
	own := get(t, p, next)
	if own == idle {
		t.Fatal("a connection to the old process")
	}
	p.Put(own)
	if p.Retire(old); !far(idle).closed || far(inUse).closed || far(own).closed || !p.Retired(old) || p.Retired(next) {
		t.Errorf("idle %+v, in use %+v, of the next %+v", far(idle), far(inUse), far(own))
	}
	if p.Put(inUse); !far(inUse).closed || len(old.idle) != 0 || len(next.idle) != 1 || p.open != 1 || len(p.targets) != 1 {
		t.Errorf("%d idle to the old one, %d to the new one, %d open", len(old.idle), len(next.idle), p.open)
	}
	if p.Close(); p.open != 0 || n.open != 0 || len(p.targets) != 0 {
		t.Errorf("%d open, %d counted, %d targets at the end", n.open, p.open, len(p.targets))
	}
}

// What may be closed by the backend before a request has crossed is not used, and is swept away;
// nor is what it has closed.
func TestIdleConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &plant{}
		p := New(Options{Network: n, MaxConns: 4, ConnectTimeout: time.Second, BackendIdleTimeout: 30 * time.Second})
		to := p.NewTarget("x", 0)
		for i, end := range []func(c *Conn){
			func(*Conn) { time.Sleep(30*time.Second - idleMargin/2) }, // no sweep has come
			func(c *Conn) {
				time.Sleep(30*time.Second - idleMargin/2)
				if p.CloseExpired(); !far(c).closed || p.open != 0 {
					t.Error("not swept")
				}
			},
			func(c *Conn) {
				if p.closeIdle(to); !far(c).closed {
					t.Error("not closed")
				}
			},
			func(c *Conn) { far(c).noisy = true },
			func(c *Conn) {
				time.Sleep(30*time.Second - 2*idleMargin)
				if p.CloseExpired(); get(t, p, to) != c {
					t.Error("not used again, though there is time")
				}
				p.Put(c)
			},
		} {
			c := get(t, p, to)
			if n.dialled != i+1 {
				t.Errorf("%d connections after %d that ended", n.dialled, i)
			}
			p.Put(c)
			end(c)
		}
		if p.open != 1 || n.open != 1 {
			t.Errorf("%d connections are counted as open, %d are", p.open, n.open)
		}
	})
}

// The connection that was used last is the least likely to be closed by the backend.
func TestNewestConnectionFirst(t *testing.T) {
	p := New(Options{Network: &plant{}, MaxConns: 4, ConnectTimeout: time.Second})
	x := p.NewTarget("x", 0)
	older, newer := get(t, p, x), get(t, p, x)
	p.Put(older)
	p.Put(newer)
	if get(t, p, x) != newer || get(t, p, x) != older || p.takeIdle(x) != nil {
		t.Error("not the one used last first")
	}
}

// What never came up holds no socket.
func TestDialThatFails(t *testing.T) {
	n := &plant{fails: errors.New("nobody there")}
	p := New(Options{Network: n, MaxConns: 1, ConnectTimeout: time.Second})
	to := p.NewTarget("x", 0)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for _, ctx := range []context.Context{t.Context(), over} {
		if _, err := p.Get(ctx, to); !errors.Is(err, n.fails) || IsSocketShortage(err) || p.open != 0 {
			t.Errorf("%v, %d counted as open", err, p.open)
		}
	}
	n.fails = nil
	get(t, p, to)
	if _, err := p.Get(t.Context(), to); !IsSocketShortage(err) {
		t.Errorf("a second socket where there is one: %v", err)
	}
}

// Under random load no more sockets are open than are allowed, the count of them is right, nobody
// gets a connection to another process, one that has closed or one that somebody holds; and no room
// is missing while idle connections could make it.
func TestRandomLoad(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			n := &plant{}
			most := 1 + rng.IntN(8)
			p := New(Options{Network: n, MaxConns: most, ConnectTimeout: time.Second, BackendIdleTimeout: 10 * time.Second})
			targets, held := []*Target(nil), []*Conn(nil)
			short := 0
			for range 3000 {
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				switch k := rng.IntN(20); {
				case k == 0 || len(targets) == 0:
					targets = append(targets, p.NewTarget(string(rune('a'+rng.IntN(3))), time.Duration(rng.IntN(100))))
				case k == 1:
					i := rng.IntN(len(targets))
					p.Retire(targets[i])
					targets = slices.Delete(targets, i, i+1)
				case k == 2:
					p.CloseExpired()
				case k == 3 && rng.IntN(10) == 0:
					most = 1 + rng.IntN(8)
					p.SetMaxConns(most)
				case k < 11:
					to := targets[rng.IntN(len(targets))]
					before := n.open
					n.most = before
					c, err := p.Get(t.Context(), to)
					if n.most > max(most, before) { // after Resize there may be more for a while, but not ever more
						t.Fatalf("%d open at once of %d", n.most, most)
					}
					switch {
					case errors.Is(err, ErrSocketLimit):
						if short++; len(held) < most {
							t.Fatalf("no socket with %d of %d in use", len(held), most)
						}
					case err != nil:
						t.Fatal(err)
					case c.to != to || far(c).addr != to.Addr || far(c).closed || far(c).noisy || slices.Contains(held, c):
						t.Fatalf("got %+v", far(c))
					default:
						held = append(held, c)
					}
				case len(held) > 0:
					i := rng.IntN(len(held))
					c := held[i]
					held = slices.Delete(held, i, i+1)
					if rng.IntN(4) == 0 {
						p.Discard(c)
						break
					}
					p.Put(c)
					far(c).noisy = rng.IntN(5) == 0
				}
				idle := 0
				for to := range p.targets {
					idle += len(to.idle)
				}
				if p.open != n.open || p.open != idle+len(held) {
					t.Fatalf("%d counted, %d open, %d idle, %d held", p.open, n.open, idle, len(held))
				}
			}
			if p.Close(); n.open != len(held) {
				t.Fatalf("%d open at the end, %d held", n.open, len(held))
			}
			if short == 0 && most < 3 {
				t.Error("the sockets were never used up")
			}
		})
	}
}
