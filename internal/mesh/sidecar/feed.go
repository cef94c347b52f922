package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	heartbeat = 500 * time.Millisecond  // of a feed on which there is nothing to say
	muteFor   = 1700 * time.Millisecond // until a feed is given up: three heartbeats
	dialFor   = 600 * time.Millisecond
	againLow  = 100 * time.Millisecond // until a feed is opened anew, doubling
	againHigh = time.Second
	mostFeeds = 9
	askAgain  = 1500 * time.Millisecond // for the whole configuration, elsewhere: sooner, one on its way over a busy link is sent twice
	mostWhole = 32 << 20                // bytes of a configuration
)

// feed is the link to one core machine.
type feed struct {
	core  string
	stop  context.CancelFunc
	woken chan struct{}
	up    chan transport.Up // answers to beats that came over it
	heard time.Time         // when the core machine last said anything; the owner's
	want  atomic.Uint64     // to be asked for: the whole configuration, of this index or a later one
	alive bool              // the core machine has been heard over the present connection; the owner's
}

func (f *feed) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// follow opens feeds to the core machines that are known and gives up those that are not any more.
func (a *Agent) follow() {
	want := slices.Clone(a.cores)
	for _, seed := range a.set.Seeds {
		if !slices.Contains(want, seed) && (len(a.cores) == 0 || len(want) < mostFeeds) {
			want = append(want, seed)
		}
	}
	for core, f := range a.feeds {
		if !slices.Contains(want, core) {
			f.stop()
			delete(a.feeds, core)
			a.table.Down(core)
		}
	}
	for _, core := range want {
		if a.feeds[core] == nil && len(a.feeds) < mostFeeds {
			ctx, stop := context.WithCancel(context.Background())
			f := &feed{core: core, stop: stop, woken: make(chan struct{}, 1), up: make(chan transport.Up, 16)}
			a.feeds[core] = f
			go a.keep(ctx, f)
		}
	}
}

// keep has a feed open as far as that can be had.
func (a *Agent) keep(ctx context.Context, f *feed) {
	wait := againLow
	for ctx.Err() == nil {
		dialing, cancel := context.WithTimeout(ctx, dialFor)
		c, err := transport.Dial(dialing, transport.FeedUse, a.set.Control, Inner(a.set, f.core))
		cancel()
		if err == nil {
			if a.serve(ctx, f, c) {
				wait = againLow
			}
			c.Close()
			a.do(func() {
				a.table.Down(f.core)
				a.dirty, f.alive = true, false
				if a.asking == f {
					a.asking = nil
					a.lack()
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, againHigh)
	}
}

// serve tells and hears until the feed breaks. It says whether anything was heard.
func (a *Agent) serve(ctx context.Context, f *feed, c *transport.Conn) (heard bool) {
	ended := make(chan struct{})
	done := make(chan bool, 1)
	go func() {
		any := false
		for {
			c.SetReadDeadline(time.Now().Add(muteFor))
			var d transport.Down
			if c.Receive(&d) != nil {
				break
			}
			whole, err := c.Body(d.Raw, mostWhole)
			if err != nil {
				break
			}
			any = true
			a.do(func() { a.hear(f, &d, whole) })
		}
		close(ended)
		done <- any
	}()
	defer func() {
		c.Close()
		heard = <-done
	}()
	said := (*transport.Station)(nil)
	fresh := uint64(1)
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		var up transport.Up
		if s := a.station.Load(); s != said {
			said, up.Station = s, s
			up.Have = a.have.Load()
		}
		up.Want = f.want.Swap(0)
		if up.Fresh = fresh; fresh != 0 {
			fresh = 0
		}
		select {
		case u := <-f.up:
			up.Handed, up.Status = u.Handed, u.Status
		default:
		}
		c.SetWriteDeadline(time.Now().Add(muteFor))
		if c.Send(&up, nil) != nil {
			return
		}
		beat.Reset(heartbeat)
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-f.woken:
		case <-beat.C:
		}
	}
}

// hear takes in what a core machine says.
func (a *Agent) hear(f *feed, d *transport.Down, whole []byte) {
	if a.feeds[f.core] != f {
		return
	}
	f.heard = time.Now()
	a.told = f.heard
	f.alive = true
	if d.MinLife >= a.life {
		// Danger: the time of day jumps, and who heard an earlier life of ours by a later time would take us for that one.
		a.life = d.MinLife + 1
		a.named()
		a.say()
	}
	a.take(f, d, whole)
	if d.Stations != nil || d.Whole {
		if a.table.Hear(a.now(), f.core, d.Whole, d.Stations) {
			a.dirty = true
		}
	}
	if d.Fresh != 0 {
		a.shown = f.heard
		if !a.current {
			a.current, a.least = true, d.Index
		}
	}
	if a.current && !a.proven && a.index >= a.least {
		a.proven, a.dirty = true, true
	}
	if len(d.Cores) > 0 && !slices.Equal(d.Cores, a.cores) {
		a.cores = slices.Clone(d.Cores)
		a.follow()
	}
	if d.Beat != nil {
		status := a.beat(d.Beat.ID, d.Beat.Leave, d.Beat.Body)
		select {
		case f.up <- transport.Up{Handed: d.Number, Status: status}:
			f.wake()
		default: // it asks again
		}
	}
}
