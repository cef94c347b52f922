package sidecar

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
)

const (
	heartbeat   = 500 * time.Millisecond  // of a feed on which there is nothing to say
	feedTimeout = 1700 * time.Millisecond // of silence, until a feed is given up: three heartbeats
	// Of the first word of a core machine. One that stands still accepts all the same: to wait costs
	// nothing, and each connection that is given up is one more that it finds when it goes on.
	greetTimeout = 5 * time.Second
	dialTimeout  = 600 * time.Millisecond
	redialMin    = 100 * time.Millisecond // until a feed is opened anew, doubling
	redialMax    = time.Second

	mostFeeds = 9
	askAgain  = 1500 * time.Millisecond // for the whole configuration, elsewhere
	// Of one that arrives, until it is asked for elsewhere: each that is sent twice makes busy links
	// busier, so one that passes at all is waited for.
	arriveWithin = 8 * time.Second
	mostWhole    = 32 << 20 // bytes of a configuration
)

// feed is the link to one core machine.
type feed struct {
	core     string
	stop     context.CancelFunc
	woken    chan struct{}
	up       chan transport.AgentUpdate // answers to beats that came over it
	heard    time.Time                  // when the core machine last said anything; the owner's
	since    atomic.Uint64              // with want: what the agent has, or 0 if it does not trust it
	want     atomic.Uint64              // to be asked for: the whole configuration, of this index or a later one
	arriving atomic.Bool                // raw bytes of a configuration are on their way
	alive    bool                       // the core machine has been heard over the present connection; the owner's
	index    uint64                     // of the configuration there, as told last; the owner's
	cores    []string                   // members of the agreement, as told last; the owner's

	offset atomic.Int64 // of the mesh's time, as it tells, from this process's own, ns
	timed  atomic.Bool  // it has told a time

	process uint64                                // number of the core process that it hears; the owner's
	resume  atomic.Pointer[transport.ResumePoint] // what has been heard of all stations; nil: not all
}

func (f *feed) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// follow opens feeds to the core machines that are known and gives up those that are not any more.
func (a *Agent) follow() {
	want := wantedCores(a.told(), a.set.Seeds, mostFeeds)
	for core, f := range a.feeds {
		if !slices.Contains(want, core) {
			f.stop()
			delete(a.feeds, core)
			a.table.MarkSourceDown(core)
		}
	}
	for _, core := range want {
		if a.feeds[core] == nil {
			ctx, stop := context.WithCancel(context.Background())
			f := &feed{core: core, stop: stop, woken: make(chan struct{}, 1), up: make(chan transport.AgentUpdate, 16)}
			a.feeds[core] = f
			go a.keep(ctx, f)
		}
	}
}

// told are the lists of members that hold: those of the core machines that are heard, or, where
// none is, the last ones.
func (a *Agent) told() [][]string {
	var lists [][]string
	for _, f := range a.feeds {
		if f.alive && len(f.cores) > 0 {
			lists = append(lists, f.cores)
		}
	}
	if len(lists) > 0 {
		a.members = lists
	}
	return a.members
}

// hearStations takes in what a core machine says of agents.
func (a *Agent) hearStations(f *feed, d *transport.CoreUpdate) {
	if d.Core != 0 {
		f.process = d.Core
	}
	if d.Whole {
		f.resume.Store(nil)
	}
	if d.Stations == nil && !d.Whole && d.Revision == 0 {
		return
	}
	if a.table.Merge(a.now(), f.core, d.Whole, d.Stations) {
		a.dirty = true
	}
	if d.Revision != 0 {
		f.resume.Store(&transport.ResumePoint{Core: f.process, Revision: d.Revision})
	}
}

// wantedCores returns the core machines that an agent keeps feeds to: all that any list names, those
// named most often first, and the seeds as far as there is room.
//
// Danger: a core machine that is cut off from the others goes on to name the members of before the
// cut. A rule by which one list replaces the other would let it lead the agent away from those that
// hold the newest configuration.
func wantedCores(lists [][]string, seeds []string, most int) []string {
	named := map[string]int{}
	for _, list := range lists {
		for _, core := range list {
			named[core]++
		}
	}
	want := slices.SortedFunc(maps.Keys(named), func(x, y string) int {
		return cmp.Or(cmp.Compare(named[y], named[x]), cmp.Compare(x, y))
	})
	for _, seed := range seeds {
		if named[seed] == 0 && !slices.Contains(want, seed) {
			want = append(want, seed)
		}
	}
	return want[:min(len(want), most)]
}

// keep has a feed open as far as that can be had.
func (a *Agent) keep(ctx context.Context, f *feed) {
	wait := redialMin
	for ctx.Err() == nil {
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := transport.Dial(dialing, transport.UseFeed, a.set.Control, InternalAddress(a.set, f.core))
		cancel()
		if err == nil {
			if a.serve(ctx, f, c) {
				wait = redialMin
			}
			c.Close()
			a.do(func() { a.broken(f) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, redialMax)
	}
}

// broken takes in that the connection of a feed has ended.
func (a *Agent) broken(f *feed) {
	f.alive, f.index = false, 0
	if a.feeds[f.core] != f {
		return
	}
	a.table.MarkSourceDown(f.core)
	a.dirty = true
	a.follow()
	if a.asking == f {
		a.asking = nil
		a.askWhole()
	}
}

// serve says and hears until the feed breaks. It says whether anything was heard. The core machine
// speaks first: who has not heard it has nothing to say, as it may be one that stands still while
// its kernel accepts.
func (a *Agent) serve(ctx context.Context, f *feed, c *transport.Conn) (heard bool) {
	greeted, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		a.receive(f, c, greeted)
	}()
	defer func() {
		c.Close()
		<-ended
		select {
		case <-greeted:
			heard = true
		default:
		}
	}()
	select {
	case <-ctx.Done():
	case <-ended:
	case <-greeted:
		a.send(ctx, f, c, ended)
	}
	return
}

// receive takes in what the core machine says until the connection breaks or it is silent for too
// long. Greeted is closed once it has said anything.
func (a *Agent) receive(f *feed, c *transport.Conn, greeted chan struct{}) {
	patience := greetTimeout
	for first := true; ; first, patience = false, feedTimeout {
		c.SetReadDeadline(time.Now().Add(patience))
		var d transport.CoreUpdate
		if c.Receive(&d) != nil {
			return
		}
		f.arriving.Store(d.Raw > 0)
		whole, err := c.ReceiveChunked(d.Raw, mostWhole, feedTimeout)
		if err == nil && d.Deflated {
			whole, err = transport.Decompress(whole, mostWhole)
		}
		f.arriving.Store(false)
		if err != nil {
			return
		}
		if first {
			close(greeted)
		}
		if d.Clock != 0 {
			f.offset.Store(int64(time.Duration(d.Clock) - a.clock.Local()))
			f.timed.Store(true)
		}
		a.usage.DiscardThrough(d.Settled)
		a.do(func() { a.hear(f, &d, whole) })
	}
}

// send says what the core machine has not been told yet, and a heartbeat where there is nothing.
func (a *Agent) send(ctx context.Context, f *feed, c *transport.Conn, ended chan struct{}) {
	said := (*transport.Station)(nil)
	fresh := uint64(1)
	usage, work := &usageTeller{counter: a.usage}, &workTeller{}
	resume := f.resume.Load()
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		var up transport.AgentUpdate
		if s := a.station.Load(); s != said {
			said, up.Station = s, s
			up.Have = a.have.Load()
		}
		if up.Want = f.want.Swap(0); up.Want != 0 {
			up.Since, up.Deflate = f.since.Load(), true
		}
		if up.Fresh = fresh; fresh != 0 {
			fresh = 0
			if resume != nil {
				up.Resume = *resume
			}
		}
		select {
		case u := <-f.up:
			up.Handed, up.Status = u.Handed, u.Status
		default:
		}
		usage.tells(a, &up)
		up.Work = work.next(a, time.Now())
		c.SetWriteDeadline(time.Now().Add(feedTimeout))
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
func (a *Agent) hear(f *feed, d *transport.CoreUpdate, whole []byte) {
	if a.feeds[f.core] != f {
		return
	}
	f.heard = time.Now()
	a.heard = f.heard
	f.alive = true
	f.index = max(f.index, d.Index)
	if d.MinLife >= a.life {
		// Danger: the time of day jumps, and who heard an earlier life of ours by a later time would take us for that one.
		a.life = d.MinLife + 1
		a.named()
		a.say()
	}
	a.take(f, d, whole)
	a.hearStations(f, d)
	if d.Fresh != 0 {
		a.shown = f.heard
		if !a.current {
			a.current, a.least = true, d.Index
		}
	}
	if a.current && !a.proven && a.index >= a.least {
		a.proven, a.dirty = true, true
	}
	if len(d.Cores) > 0 {
		f.cores = slices.Clone(d.Cores)
		a.follow()
	}
	if d.Beat != nil {
		call := inbound.RelayedHeartbeat
		if d.Beat.Leave {
			call = inbound.RelayedDeregistration
		}
		status := a.beat(d.Beat.ID, call, d.Beat.Body)
		select {
		case f.up <- transport.AgentUpdate{Handed: d.Number, Status: status}:
			f.wake()
		default: // it asks again
		}
	}
}
