package scaletest

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

// As package sidecar has them.
const (
	greetTimeout = 5 * time.Second
	heartbeat    = 500 * time.Millisecond
	feedTimeout  = 1700 * time.Millisecond
	redialMin    = 100 * time.Millisecond
	redialMax    = time.Second
)

// fleet is all hollow agents.
type fleet struct {
	run  *run
	all  []*hollow
	up   atomic.Uint64 // bytes
	down atomic.Uint64

	messUp, messDown atomic.Uint64

	mu     sync.Mutex // guards what follows
	from   time.Time
	want   uint64 // index that is waited for
	took   []time.Duration
	watch  map[string]uint64 // agent -> its life that is to be known as lost, or to be known
	lost   bool              // which of the two
	learnt []time.Duration
}

// hollow is an agent without gate and sender.
type hollow struct {
	fleet   *fleet
	n       int
	ip      string
	stop    context.CancelFunc
	mute    atomic.Bool // without power: neither tells nor hears
	station atomic.Pointer[transport.Station]

	mu     sync.Mutex // guards what follows
	have   uint64     // index of the configuration
	newest uint64     // index that was told of
	asked  time.Time
	feeds  [cores]link
	seen   map[string]uint64 // agents that were heard of, with their lives
	learnt map[string]bool   // of the fleet's watch
}

// link is what a hollow agent holds of a core machine.
type link struct {
	up   bool
	want chan uint64
	lost map[string]bool

	process uint64 // number of the core process
	resume  transport.Resume
}

func newFleet(r *run) *fleet {
	f := &fleet{run: r}
	for n := range r.Agents {
		f.all = append(f.all, &hollow{fleet: f, n: n, ip: r.hollowIP(n), seen: map[string]uint64{}, learnt: map[string]bool{}})
	}
	return f
}

func (f *fleet) start() {
	for _, h := range f.all {
		h.start()
	}
}

// start begins a life.
func (h *hollow) start() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.mute.Store(false)
	life := uint64(time.Now().UnixNano())
	h.mu.Lock()
	h.have, h.newest, h.asked = 0, 0, time.Time{}
	clear(h.seen)
	h.mu.Unlock()
	h.station.Store(&transport.Station{Agent: h.ip, Gate: inner(h.ip), Zone: zoneName(h.n), Life: life, Seq: 1, Open: true,
		Backend: &transport.Backend{ID: fmt.Sprintf("i-%08x", uint32(life)^uint32(h.n)), Service: serviceName(h.n % h.fleet.run.Services),
			Address: h.ip + ":8628", Zone: zoneName(h.n), Version: "v1", Capacity: agentWidth, Calls: 1}})
	for i := range cores {
		h.mu.Lock()
		h.feeds[i] = link{want: make(chan uint64, 1), lost: map[string]bool{}}
		h.mu.Unlock()
		go h.keep(ctx, i)
	}
}

func (h *hollow) keep(ctx context.Context, core int) {
	wait := redialMin
	for ctx.Err() == nil {
		if h.serve(ctx, core) {
			wait = redialMin
		}
		h.mu.Lock()
		h.feeds[core].up = false
		h.mu.Unlock()
		pause(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, redialMax)
	}
}

// counted counts what passes.
type counted struct {
	net.Conn
	f *fleet
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.down.Add(uint64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.f.up.Add(uint64(n))
	return n, err
}

// serve keeps one feed until it breaks.
func (h *hollow) serve(ctx context.Context, core int) (heard bool) {
	raw, err := net.DialTimeout("tcp4", inner(h.fleet.run.coreIP(core)), 600*time.Millisecond)
	if err != nil {
		return false
	}
	transport.Bound(raw)
	c := transport.NewConn(counted{raw, h.fleet})
	defer c.Close()
	if c.Send(transport.Hello{Version: transport.Version, Use: transport.FeedUse, From: control(h.ip)}, nil) != nil {
		return false
	}
	ended, greeted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var d transport.Down
			patience := greetTimeout
			if heard {
				patience = feedTimeout
			}
			c.SetReadDeadline(time.Now().Add(patience))
			if c.Receive(&d) != nil {
				return
			}
			if _, err := c.Body(d.Raw, 64<<20); err != nil {
				return
			}
			if !heard {
				heard = true
				close(greeted)
			}
			h.fleet.messDown.Add(1)
			h.hear(core, &d)
			if h.mute.Load() {
				<-ctx.Done()
				return
			}
		}
	}()
	defer func() { c.Close(); <-ended }()
	select {
	case <-greeted:
	case <-ended:
	case <-ctx.Done():
	}
	up := transport.Up{Station: h.station.Load(), Have: h.index(), Fresh: 1, Resume: h.resume(core)}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	h.mu.Lock()
	want := h.feeds[core].want
	h.mu.Unlock()
	for {
		if !h.mute.Load() {
			c.SetWriteDeadline(time.Now().Add(feedTimeout))
			if c.Send(&up, nil) != nil {
				return heard
			}
			h.fleet.messUp.Add(1)
		}
		up = transport.Up{}
		select {
		case <-ctx.Done():
			return heard
		case <-ended:
			if h.mute.Load() {
				<-ctx.Done()
			}
			return heard
		case up.Want = <-want:
		case <-beat.C:
		}
	}
}

// hear takes in what a core machine says.
func (h *hollow) hear(core int, d *transport.Down) {
	h.mu.Lock()
	h.feeds[core].up = true
	if d.Core != 0 {
		h.feeds[core].process = d.Core
	}
	if d.Revision != 0 {
		h.feeds[core].resume = transport.Resume{Core: h.feeds[core].process, Revision: d.Revision}
	}
	if d.Whole { // what this core machine does not tell of again, it does not hold against anybody's loss
		clear(h.feeds[core].lost)
		for _, agent := range h.fleet.watched() {
			h.feeds[core].lost[agent] = true
		}
	}
	h.take(d)
	for i := range d.Stations {
		s := &d.Stations[i]
		h.seen[s.Station.Agent] = max(h.seen[s.Station.Agent], s.Station.Life)
		if s.Lost {
			h.feeds[core].lost[s.Station.Agent] = true
		} else {
			delete(h.feeds[core].lost, s.Station.Agent)
		}
	}
	stations := d.Stations
	h.mu.Unlock()
	for i := range stations {
		h.fleet.learn(h, stations[i].Station.Agent)
	}
}

// resume is what the agent has heard of a core process.
func (h *hollow) resume(core int) transport.Resume {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.feeds[core].resume
}

// take follows the configuration's index as package sidecar does, and asks one core machine for the whole where steps don't lead on.
func (h *hollow) take(d *transport.Down) {
	h.newest = max(h.newest, d.Index)
	index := h.have
	for _, s := range d.Steps {
		if s.Before == index {
			index = s.Index
		}
	}
	if d.Raw > 0 {
		index, h.asked = max(index, d.Index), time.Time{}
	}
	if index > h.have {
		h.have = index
		h.fleet.reach(index)
	}
	if h.newest <= h.have || time.Since(h.asked) < heartbeat {
		return
	}
	at := rand.N(cores)
	for i := range cores {
		f := &h.feeds[(at+i)%cores]
		if !f.up {
			continue
		}
		select {
		case f.want <- h.newest:
			h.asked = time.Now()
			return
		default:
		}
	}
}

func (h *hollow) index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.have
}

// linked says whether it hears all core machines.
func (h *hollow) linked() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.feeds {
		if !h.feeds[i].up {
			return false
		}
	}
	return true
}

// known is how many agents it has heard of.
func (h *hollow) known() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

// knows says whether it takes an agent for lost, which is that all core machines that it hears say so, or knows a life of it.
func (h *hollow) knows(agent string, life uint64, lost bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !lost {
		return h.seen[agent] >= life
	}
	for i := range h.feeds {
		if h.feeds[i].up && !h.feeds[i].lost[agent] {
			return false
		}
	}
	return true
}

// settle waits until all agents that have power are as they should be.
func (f *fleet) settle(ctx context.Context, as func(*hollow) bool) error {
	end := time.Now().Add(settleFor)
	for {
		missing := 0
		for _, h := range f.all {
			if !h.mute.Load() && !as(h) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return oops.Errorf("%d agents of %d are not there after %s", missing, len(f.all), settleFor)
		}
		pause(ctx, 20*time.Millisecond)
	}
}

func (f *fleet) newest() (index uint64) {
	for _, h := range f.all {
		index = max(index, h.index())
	}
	return index
}

// expect begins to note when agents reach an index.
func (f *fleet) expect(index uint64, from time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.want, f.from, f.took = index, from, nil
}

func (f *fleet) reach(index uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.want != 0 && index >= f.want {
		f.took = append(f.took, time.Since(f.from))
	}
}

func (f *fleet) reached() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.took
}

// look begins to note when agents learn of others: that they are lost, or of their lives from now on.
func (f *fleet) look(agents []*hollow, lost bool) {
	now := time.Now()
	for _, h := range f.all {
		h.mu.Lock()
		clear(h.learnt)
		h.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from, f.lost, f.learnt, f.watch = now, lost, nil, map[string]uint64{}
	for _, h := range agents {
		f.watch[h.ip] = uint64(now.UnixNano())
	}
}

// watched are the agents that are looked for.
func (f *fleet) watched() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.watch))
}

func (f *fleet) learn(h *hollow, agent string) {
	f.mu.Lock()
	life, watched := f.watch[agent]
	lost := f.lost
	f.mu.Unlock()
	if !watched || h.mute.Load() || !h.knows(agent, life, lost) {
		return
	}
	h.mu.Lock()
	first := !h.learnt[agent]
	h.learnt[agent] = true
	h.mu.Unlock()
	if first {
		f.mu.Lock()
		f.learnt = append(f.learnt, time.Since(f.from))
		f.mu.Unlock()
	}
}

// learned waits until all agents with power have learnt all that is looked for.
func (f *fleet) learned(ctx context.Context) (samples, error) {
	agents := f.watched()
	err := f.settle(ctx, func(h *hollow) bool {
		for _, agent := range agents {
			h.mu.Lock()
			learnt := h.learnt[agent]
			h.mu.Unlock()
			if learnt {
				continue
			}
			if f.learn(h, agent); !h.knows(agent, f.watch[agent], f.lost) {
				return false // a feed that ends makes no news, so it is looked for as well
			}
		}
		return true
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watch = nil
	return f.learnt, err
}
