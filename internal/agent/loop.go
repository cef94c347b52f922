package agent

import (
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/handover"
	"example.org/micaline/internal/hangup"
	"example.org/micaline/internal/level"
	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

const (
	sweepEvery = time.Second
	lateEvery  = 10 * time.Second // between lines of the agent's own lateness
	mostRecent = 4096             // ids of ended requests that are known, twice
)

// clock tells the time since 1970 and never runs backwards: the wall's time at the start, and what has passed.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// input is what has happened, on its way to the loop: an event for the module and what it has no use for.
type input struct {
	event          policy.Event
	call           *call    // of EventRequest and EventHangup
	answer         answer   // of EventOutcome, if it is OK
	members        []member // of EventList
	deliveringCall *call    // whose handler brings it, and carries out one attempt for it

	sent, took time.Duration // of EventOutcome: when it was decided, and how long it was at the backend, at least
	seen       time.Duration // of EventProbed: when the answer was, less what may be the agent's own lateness
}

// call is a client's request, which the client's handler shares with the loop.
type call struct {
	callID        string // the client's
	class, tenant int
	retry         bool
	deadline      time.Duration // of the clock
	message       message
	answers       chan answer // holds one, so that the loop never waits for a handler
	inlineAttempt func()      // for the handler to carry out, if set
	hangupWatcher *hangup.Watcher

	id policy.RequestID // the loop's
}

// answer is what a client gets.
type answer struct {
	status      int
	retryAfter  time.Duration // 0: no advice
	contentType string
	body        []byte
	bodyStream  *downloadStream // behind the body; nil: nothing
}

// request is what the loop knows of a call until it is answered and its attempts are back.
type request struct {
	*call
	module         *module
	startedAt      time.Duration        // of the clock
	attemptCancels []context.CancelFunc // to give each up
	tries          []try                // where they went; nothing where no sites are watched
	inFlight       int                  // attempts out
	last           policy.Outcome       // of the attempts that are back
	ended          bool                 // answered, or its client is gone

	refusedBy string // what refused it before a module saw it
}

// module is a decision module. There is one, but for the time after a change of what is decided by: then the one before
// finishes the requests that it has.
type module struct {
	Decider
	openRequests int  // requests that it decides for
	retired      bool // it gets no new ones
}

// decision is an event on its way to a module.
type decision struct {
	to    *module
	event policy.Event
}

// loop owns the module and the state of all requests. It alone decides how a request ends: handlers, attempts
// and discovery send it inputs and share nothing else with it. One input is taken in at a time, by whoever brings it:
// handing it to another goroutine costs a wake-up of a thread where processors idle, and a turn in their queue where not.
type loop struct {
	send func(input) // takes an input in, unless the loop has ended

	mu    sync.Mutex // guards what follows
	ctx   context.Context
	ended bool
	by    *call // whose handler brings the present input
	wake  *time.Timer
	armed time.Duration // of the clock, when wake is due; 0: it is not

	settings       *settings.Settings
	clock          clock
	current        *module         // gets new requests
	modules        []*module       // it, and those before it that are not done
	moduleSettings policy.Settings // of the current one
	backends       *backendClient
	lagMonitor     *lagMonitor
	subscribe      func()       // asks discovery for the list
	broadcast      func([]byte) // tells all other agents
	log            *slog.Logger
	done           chan struct{} // closed when run returns
	ready          atomic.Bool   // a list has come

	servers       serverIDs
	targets       map[policy.ServerID]*connpool.Target
	requests      map[policy.RequestID]*request
	callIDs       callIDs
	lastID        policy.RequestID
	listedServers map[policy.ServerID]policy.ServerEntry // as discovery tells
	holds         handover.Register                      // what operators have said of backends
	onHoldChange  func()                                 // operators have said something
	counts        counts
	levels        *level.Controller // nil: there are none
	every         time.Duration     // between looks at their figures
	heard         time.Duration     // of the clock, when discovery last told anything
	looked        counts            // as the levels last saw them
	sites         *sites            // nil: they are not watched
	timers        timers
	events        []decision // to be handed over
	actions       []policy.Action
}

func newLoop(cfg *Config, backends *backendClient, log *slog.Logger) (*loop, error) {
	decider, err := cfg.buildDecider()
	if err != nil {
		return nil, err
	}
	first := &module{Decider: decider}
	l := &loop{
		settings: &cfg.Settings, clock: backends.lagMonitor.timeSource, lagMonitor: backends.lagMonitor, current: first, modules: []*module{first}, moduleSettings: cfg.Settings.Module, backends: backends, log: log,
		listedServers: map[policy.ServerID]policy.ServerEntry{}, holds: handover.Register{}, onHoldChange: func() {},
		counts:    newCounts(len(cfg.Settings.Classes)),
		broadcast: func([]byte) {},
		ctx:       context.Background(), wake: time.NewTimer(time.Hour),
		done:     make(chan struct{}),
		servers:  serverIDs{ids: map[string]policy.ServerID{}, names: map[policy.ServerID]string{}},
		targets:  map[policy.ServerID]*connpool.Target{},
		requests: map[policy.RequestID]*request{},
		callIDs:  callIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}},
	}
	l.send = l.receive
	var told atomic.Int64 // Unix nanoseconds
	l.lagMonitor.tell = func(by time.Duration) {
		// Danger: the next beat may come while this one still waits for a processor.
		last, now := told.Load(), time.Now().UnixNano()
		if now-last >= int64(lateEvery) && told.CompareAndSwap(last, now) {
			l.log.Warn("the agent itself was late", "by", by.Round(time.Millisecond))
		}
	}
	l.wake.Stop()
	if c := &cfg.Levels; c.Enabled() {
		over := level.Service{}
		for i, name := range cfg.Settings.Classes {
			over.Classes = append(over.Classes, level.Class{Name: name, Effect: cfg.Settings.Module.Classes[i].Effect})
		}
		for _, t := range cfg.Settings.Module.Tenants {
			over.Portions = append(over.Portions, t.Portion)
		}
		if err := c.ValidateFor(&over); err != nil {
			return nil, fmt.Errorf("levels.%w", err)
		}
		l.heard, l.every = l.clock.now(), c.Every.D()
		l.levels = level.New(c, &over, cfg.Seed, l.heard)
	}
	l.sites = newSites(cfg, l.clock.now())
	return l, nil
}

// receive takes an input in.
func (l *loop) receive(in input) {
	l.lagMonitor.wait()
	l.withLock(func() {
		l.by = in.deliveringCall
		l.processInput(l.ctx, in)
		l.by = nil
	})
}

// locked calls a function between two inputs, and says whether it has: not once the loop has ended.
func (l *loop) withLock(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		// Danger: the goroutine may be one whose panics net/http survives, and half a decision must not be lived with.
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("%v\n%s", p, debug.Stack()))
			select {}
		}
	}()
	if l.ended {
		return false
	}
	f()
	if len(l.timers) > 0 && (l.armed == 0 || l.timers[0].due < l.armed) {
		l.armed = l.timers[0].due
		l.wake.Reset(l.armed - l.clock.now())
	}
	return true
}

// run handles timers until the context ends, and then the loop has ended.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.wake.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var siteLooks <-chan time.Time
	if l.sites != nil {
		t := time.NewTicker(siteEvery)
		defer t.Stop()
		siteLooks = t.C
	}
	var looks <-chan time.Time // at the figures of the level; never where there are none
	if l.levels != nil {
		t := time.NewTicker(l.every)
		defer t.Stop()
		looks = t.C
	}
	for {
		due := l.fireTimers
		select {
		case <-l.wake.C:
		case <-sweep.C:
			due = func() {
				l.backends.CloseExpired()
				l.callIDs.age()
				l.endHolds(ctx)
			}
		case <-looks:
			due = l.lookAtLevel
		case <-siteLooks:
			due = l.lookAtSites
		case <-ctx.Done():
			l.withLock(func() { l.ended = true })
			return
		}
		l.lagMonitor.wait()
		l.withLock(due)
	}
}

// fireTimers hands over the timers that are due.
func (l *loop) fireTimers() {
	l.armed = 0
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(timer)
		if slices.Contains(l.modules, t.module) {
			l.handle(l.ctx, t.module, policy.Event{Kind: policy.EventTimer, Token: t.token, AgentDelay: l.lagMonitor.ownDelay()})
		}
	}
}

// take brings an input's facts up to date and hands its event to the module.
func (l *loop) processInput(ctx context.Context, in input) {
	ev := in.event
	switch ev.Kind {
	case policy.EventList:
		ev.Servers = l.entries(in.members)
		l.listSites(ev.ListMode, ev.Servers)
		for i := range ev.Servers {
			ev.Servers[i] = l.effectiveEntry(ev.Servers[i])
		}
		l.handleAll(ctx, ev)
		if ev.ListMode != policy.ListFailed {
			l.heard = l.clock.now()
			l.forgetGone(ev.ListMode, ev.Servers)
			l.ready.Store(len(l.targets) > 0 || l.ready.Load())
		}
	case policy.EventRequest:
		if !l.callIDs.take(in.call.callID) {
			l.counts.classes[in.call.class].failed++
			in.call.answers <- answer{status: http.StatusConflict, contentType: "text/plain", body: []byte(callIDHeader + " is in use\n")}
			return
		}
		in.call.id = l.newID()
		r := &request{call: in.call, module: l.current, startedAt: l.clock.now()}
		l.requests[in.call.id] = r
		l.lagMonitor.begin()
		r.module.openRequests++
		l.counts.requests++
		ev.Request, ev.Class, ev.Tenant, ev.Retry = in.call.id, in.call.class, in.call.tenant, in.call.retry
		ev.TimeLeft, ev.BodyPending = in.call.deadline-l.clock.now(), in.call.message.upload != nil
		if l.sites != nil {
			l.sites.meter.RecordRequest(r.class, r.tenant, r.retry)
		}
		if a, refused := l.judge(r); refused {
			l.end(r, a)
			l.forget(r)
			return
		}
		l.handle(ctx, r.module, ev)
	case policy.EventBodyReceived:
		r := l.requests[in.call.id]
		if r == nil || r.ended {
			return
		}
		r.startedAt = l.clock.now()
		r.deadline = r.startedAt + r.message.upload.budget
		ev.Request, ev.TimeLeft = r.id, r.message.upload.budget
		l.handle(ctx, r.module, ev)
	case policy.EventClientGone:
		r := l.requests[in.call.id]
		if r == nil || r.ended { // it crossed the answer, if there was one
			select {
			case a := <-in.call.answers:
				a.discard()
			default:
			}
			return
		}
		r.ended = true
		l.counts.clientGone++
		ev.Request = r.id
		l.handle(ctx, r.module, ev)
		l.forget(r)
	case policy.EventOutcome:
		r := l.requests[ev.Request]
		ev.AgentDelay = max(0, l.clock.now()-in.sent-in.took)
		r.attemptCancels[ev.Attempt]()
		r.inFlight--
		r.last = ev.Outcome
		l.heardOf(r, &ev)
		if ev.Outcome == policy.OK && !l.end(r, in.answer) {
			in.answer.discard()
		}
		ev.Final = r.ended
		l.handle(ctx, r.module, ev)
		l.forget(r)
	case policy.EventProbeResult:
		ev.AgentDelay = max(0, l.clock.now()-in.seen)
		if l.sites != nil {
			l.sites.ReportProbe(l.clock.now(), ev.Server, ev.Outcome == policy.OK)
		}
		l.handleAll(ctx, ev)
	default:
		l.handleAll(ctx, ev)
	}
}

func (l *loop) newID() policy.RequestID {
	for {
		l.lastID++
		if l.requests[l.lastID] == nil {
			return l.lastID
		}
	}
}

// end gives the client its answer, unless it has one or is gone.
func (l *loop) end(r *request, a answer) bool {
	if r.ended {
		return false
	}
	r.ended = true
	l.counts.end(r, a.status, l.clock.now(), l.moduleSettings.Classes[r.class].Aim)
	r.answers <- a
	return true
}

// forget drops a request of which nothing more is to be heard.
func (l *loop) forget(r *request) {
	if r.ended && r.inFlight == 0 {
		if l.requests[r.id] == nil {
			return // it has been
		}
		delete(l.requests, r.id)
		l.lagMonitor.end()
		l.callIDs.release(r.callID)
		if r.module.openRequests--; r.module.retired && r.module.openRequests == 0 {
			l.modules = slices.DeleteFunc(l.modules, func(m *module) bool { return m == r.module })
		}
	}
}

// callIDs knows the clients' ids of the open requests and of those that ended a short while ago. Danger: backends
// and clients tell requests apart by them, so a second request under an id would be served with the first one's
// answer, or run as its repeat.
type callIDs struct {
	open, recent, older map[string]struct{}
}

// take notes an id, unless it is known.
func (c *callIDs) take(id string) bool {
	for _, known := range []map[string]struct{}{c.open, c.recent, c.older} {
		if _, taken := known[id]; taken {
			return false
		}
	}
	c.open[id] = struct{}{}
	return true
}

// release notes that the request with an id has ended.
func (c *callIDs) release(id string) {
	delete(c.open, id)
	if c.recent[id] = struct{}{}; len(c.recent) >= mostRecent {
		c.age()
	}
}

// age forgets what was known at the last call but one.
func (c *callIDs) age() { c.recent, c.older = map[string]struct{}{}, c.recent }

// entries notes where the members of a list are and turns them into the module's terms.
func (l *loop) entries(members []member) []policy.ServerEntry {
	entries := make([]policy.ServerEntry, 0, len(members))
	for _, m := range members {
		e := policy.ServerEntry{
			ID:     l.servers.idFor(m.ID),
			Zone:   slices.Index(l.settings.Zones, m.Locality),
			Kind:   slices.Index(l.settings.Kinds, m.Flavor),
			Cell:   m.Cell,
			State:  stateByPhase[m.Phase],
			Weight: m.Size,
			Start:  time.Duration(math.Round(m.UpSince * float64(time.Millisecond))),
			Key:    keyOf(m.ID),
		}
		l.listedServers[e.ID] = e
		entries = append(entries, e)
		if e.State == policy.Gone {
			continue // forgotten once the module has heard of it
		}
		old := l.targets[e.ID]
		if old != nil && old.Addr == m.HostPort && old.ProcessStart == e.Start {
			continue
		}
		if old != nil {
			l.backends.Retire(old)
		}
		l.targets[e.ID] = l.backends.NewTarget(m.HostPort, e.Start)
	}
	return entries
}

// keyOf names a backend to other agents, whose numbers for it are others. FNV-1a, 32 bits.
func keyOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// forgetGone drops the addresses and idle connections of the backends that a list has shown to be gone.
func (l *loop) forgetGone(mode policy.ListMode, entries []policy.ServerEntry) {
	stays := make(map[policy.ServerID]bool, len(entries))
	for _, e := range entries {
		stays[e.ID] = e.State != policy.Gone
	}
	for id := range l.servers.names {
		if here, listed := stays[id]; here || !listed && mode == policy.ListDelta {
			continue
		}
		if t := l.targets[id]; t != nil {
			l.backends.Retire(t)
			delete(l.targets, id)
		}
		l.servers.release(id)
		delete(l.listedServers, id)
	}
}
