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
	sweepInterval       = time.Second
	lateWarningInterval = 10 * time.Second // between warnings that the agent itself is delayed
	maxRecentCallIDs    = 4096             // ids of ended requests kept in each of two generations
)

// clock returns the Unix time but never goes back: it adds the elapsed monotonic time to the wall
// clock time of its start.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// input is an occurrence passed to the loop: an event for the decision module and the data that the
// module does not need.
type input struct {
	event          policy.Event
	call           *call    // EventRequest, EventBodyReceived and EventClientGone
	answer         answer   // EventOutcome with the outcome OK
	members        []member // EventList
	deliveringCall *call    // the call whose handler delivers the input; nil: none

	sentAt, backendTime time.Duration // EventOutcome: start of the attempt, and lower bound of the time at the backend
	answeredAt          time.Duration // EventProbeResult: earliest possible arrival time
}

// call is a request of a client. Its handler and the loop share it.
type call struct {
	callID        string        // chosen by the client
	class, tenant int           // indexes in the settings
	retry         bool          // the client marks the request as a retry
	deadline      time.Duration // on the loop's clock
	message       message
	answers       chan answer // has room for the one answer, so that the loop never blocks on a handler
	inlineAttempt func()      // attempt that the handler is to run itself; nil: none
	hangupWatcher *hangup.Watcher

	id policy.RequestID // assigned by the loop
}

// answer is the response to a client.
type answer struct {
	status      int
	retryAfter  time.Duration // value of the Retry-After header; 0: no header
	contentType string
	body        []byte
	bodyStream  *downloadStream // remaining body after the given part; nil: the body is complete
}

// request is the loop's state of a call. It is kept until the call is answered and no attempt is in
// flight.
type request struct {
	*call
	module         *module
	startedAt      time.Duration        // when the request or, if it is streamed, its last byte arrived
	attemptCancels []context.CancelFunc // cancel functions of all attempts so far
	sentAttempts   []sentAttempt        // attempts in flight; empty if sites are not monitored
	inFlight       int                  // number of attempts in flight
	lastOutcome    policy.Outcome       // of the attempt that ended last
	ended          bool                 // answered, or the client is gone

	refusalReason string // why the request was refused before it reached a module; empty: it was not
}

// module is a decision module. There is only one, except after new decision settings: then the
// previous module finishes its open requests.
type module struct {
	Decider
	openRequests int  // open requests that it decides about
	retired      bool // it gets no new requests
}

// queuedEvent is an event to be handled by a module.
type queuedEvent struct {
	module *module
	event  policy.Event
}

// loop owns the decision modules and the state of all requests. It alone decides how a request
// ends: handlers, attempts and discovery send it inputs and share nothing else with it. Inputs are
// processed one at a time in the goroutine that delivers them. Passing them to a goroutine of the
// loop would cost a thread wake-up when processors are idle, and a wait in the run queue when they
// are not.
type loop struct {
	send func(input) // processes an input; does nothing once the loop has ended

	mu             sync.Mutex // guards the fields below
	ctx            context.Context
	ended          bool
	deliveringCall *call // call whose handler delivers the current input; nil: none
	wakeTimer      *time.Timer
	wakeAt         time.Duration // when wakeTimer is due, on the loop's clock; 0: it is not set

	settings       *settings.Settings
	clock          clock
	current        *module         // gets the new requests
	modules        []*module       // current, and its predecessors that still have open requests
	moduleSettings policy.Settings // settings of the current module
	backends       *backendClient
	lagMonitor     *lagMonitor
	subscribe      func()       // asks discovery for the server list and its changes
	broadcast      func([]byte) // sends a message to all other agents
	log            *slog.Logger
	done           chan struct{} // closed when run returns
	ready          atomic.Bool   // a server list with at least one backend has arrived

	servers         serverIDs
	targets         map[policy.ServerID]*connpool.Target
	requests        map[policy.RequestID]*request
	callIDs         callIDs
	lastID          policy.RequestID
	listedServers   map[policy.ServerID]policy.ServerEntry // last entries received from discovery
	holds           handover.Register                      // held out by operators, or recently back
	onHoldChange    func()                                 // called when an operator has changed a hold
	counts          counts
	levelController *level.Controller // nil: no reduced service levels are configured
	levelInterval   time.Duration     // between updates of the service level
	listReceivedAt  time.Duration     // when discovery last sent a list, on the loop's clock
	lastLevelCounts counts            // counts at the last update of the service level
	sites           *sites            // nil: sites are not monitored
	timers          timerHeap
	eventQueue      []queuedEvent   // events that modules are still to handle
	actionBuffer    []policy.Action // reused by each call of handle
}

// newLoop returns a loop that does not run yet. It fails if the decision module rejects its
// settings or the service levels do not fit the classes.
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
		ctx:       context.Background(), wakeTimer: time.NewTimer(time.Hour),
		done:     make(chan struct{}),
		servers:  serverIDs{ids: map[string]policy.ServerID{}, names: map[policy.ServerID]string{}},
		targets:  map[policy.ServerID]*connpool.Target{},
		requests: map[policy.RequestID]*request{},
		callIDs:  callIDs{open: map[string]struct{}{}, recent: map[string]struct{}{}},
	}
	l.send = l.receive
	var lastWarnedAt atomic.Int64 // Unix nanoseconds
	l.lagMonitor.onLateTick = func(delay time.Duration) {
		// The next tick may run while this one still waits for a processor.
		last, now := lastWarnedAt.Load(), time.Now().UnixNano()
		if now-last >= int64(lateWarningInterval) && lastWarnedAt.CompareAndSwap(last, now) {
			l.log.Warn("the agent itself was late", "by", delay.Round(time.Millisecond))
		}
	}
	l.wakeTimer.Stop()
	if c := &cfg.Levels; c.Enabled() {
		service := level.Service{}
		for i, name := range cfg.Settings.Classes {
			service.Classes = append(service.Classes, level.Class{Name: name, Effect: cfg.Settings.Module.Classes[i].Effect})
		}
		for _, t := range cfg.Settings.Module.Tenants {
			service.Portions = append(service.Portions, t.Portion)
		}
		if err := c.ValidateFor(&service); err != nil {
			return nil, fmt.Errorf("levels.%w", err)
		}
		l.listReceivedAt, l.levelInterval = l.clock.now(), c.Every.D()
		l.levelController = level.New(c, &service, cfg.Seed, l.listReceivedAt)
	}
	l.sites = newSites(cfg, l.clock.now())
	return l, nil
}

// receive processes an input.
func (l *loop) receive(in input) {
	l.lagMonitor.waitForProcessor()
	l.withLock(func() {
		l.deliveringCall = in.deliveringCall
		l.processInput(l.ctx, in)
		l.deliveringCall = nil
	})
}

// withLock calls f between two inputs, and reports whether it did. It does not once the loop has
// ended.
func (l *loop) withLock(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() {
		// End the process with a panic in a new goroutine. net/http recovers a panic of a handler's
		// goroutine, and the process must not go on with a half-processed input.
		if p := recover(); p != nil {
			go panic(fmt.Sprintf("%v\n%s", p, debug.Stack()))
			select {}
		}
	}()
	if l.ended {
		return false
	}
	f()
	if len(l.timers) > 0 && (l.wakeAt == 0 || l.timers[0].due < l.wakeAt) {
		l.wakeAt = l.timers[0].due
		l.wakeTimer.Reset(l.wakeAt - l.clock.now())
	}
	return true
}

// run fires timers and does the periodic work until the context ends, which also ends the loop.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.wakeTimer.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var siteTicks <-chan time.Time
	if l.sites != nil {
		t := time.NewTicker(siteInterval)
		defer t.Stop()
		siteTicks = t.C
	}
	var levelTicks <-chan time.Time // nil, and never ready, if there are no service levels
	if l.levelController != nil {
		t := time.NewTicker(l.levelInterval)
		defer t.Stop()
		levelTicks = t.C
	}
	for {
		task := l.fireTimers
		select {
		case <-l.wakeTimer.C:
		case <-sweep.C:
			task = func() {
				l.backends.CloseExpired()
				l.callIDs.rotate()
				l.expireHolds(ctx)
			}
		case <-levelTicks:
			task = l.updateLevel
		case <-siteTicks:
			task = l.evaluateSites
		case <-ctx.Done():
			l.withLock(func() { l.ended = true })
			return
		}
		l.lagMonitor.waitForProcessor()
		l.withLock(task)
	}
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers() {
	l.wakeAt = 0
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(timer)
		if slices.Contains(l.modules, t.module) {
			l.handle(l.ctx, t.module, policy.Event{Kind: policy.EventTimer, Token: t.token, AgentDelay: l.lagMonitor.ownDelay()})
		}
	}
}

// processInput updates the loop's state from an input and lets the module handle its event.
func (l *loop) processInput(ctx context.Context, in input) {
	ev := in.event
	switch ev.Kind {
	case policy.EventList:
		ev.Servers = l.updateServers(in.members)
		l.updateSiteServers(ev.ListMode, ev.Servers)
		for i := range ev.Servers {
			ev.Servers[i] = l.effectiveEntry(ev.Servers[i])
		}
		l.handleAll(ctx, ev)
		if ev.ListMode != policy.ListFailed {
			l.listReceivedAt = l.clock.now()
			l.removeGone(ev.ListMode, ev.Servers)
			l.ready.Store(len(l.targets) > 0 || l.ready.Load())
		}
	case policy.EventRequest:
		if !l.callIDs.reserve(in.call.callID) {
			l.counts.classes[in.call.class].failed++
			in.call.answers <- answer{status: http.StatusConflict, contentType: "text/plain", body: []byte(callIDHeader + " is in use\n")}
			return
		}
		in.call.id = l.newRequestID()
		r := &request{call: in.call, module: l.current, startedAt: l.clock.now()}
		l.requests[in.call.id] = r
		l.lagMonitor.requestStarted()
		r.module.openRequests++
		l.counts.requests++
		ev.Request, ev.Class, ev.Tenant, ev.Retry = in.call.id, in.call.class, in.call.tenant, in.call.retry
		ev.TimeLeft, ev.BodyPending = in.call.deadline-l.clock.now(), in.call.message.upload != nil
		if l.sites != nil {
			l.sites.demandMeter.RecordRequest(r.class, r.tenant, r.retry)
		}
		if a, refused := l.checkLevel(r); refused {
			l.answerClient(r, a)
			l.forgetIfDone(r)
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
		if r == nil || r.ended { // already answered: the answer and the client's close crossed
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
		l.forgetIfDone(r)
	case policy.EventOutcome:
		r := l.requests[ev.Request]
		ev.AgentDelay = max(0, l.clock.now()-in.sentAt-in.backendTime)
		r.attemptCancels[ev.Attempt]()
		r.inFlight--
		r.lastOutcome = ev.Outcome
		l.recordSiteOutcome(r, &ev)
		if ev.Outcome == policy.OK && !l.answerClient(r, in.answer) {
			in.answer.discard()
		}
		ev.Final = r.ended
		l.handle(ctx, r.module, ev)
		l.forgetIfDone(r)
	case policy.EventProbeResult:
		ev.AgentDelay = max(0, l.clock.now()-in.answeredAt)
		if l.sites != nil {
			l.sites.ReportProbe(l.clock.now(), ev.Server, ev.Outcome == policy.OK)
		}
		l.handleAll(ctx, ev)
	default:
		l.handleAll(ctx, ev)
	}
}

// newRequestID returns an id that no request has at present.
func (l *loop) newRequestID() policy.RequestID {
	for {
		l.lastID++
		if l.requests[l.lastID] == nil {
			return l.lastID
		}
	}
}

// answerClient gives the client its answer and reports whether it did. It does not if the request
// is answered already or the client is gone.
func (l *loop) answerClient(r *request, a answer) bool {
	if r.ended {
		return false
	}
	r.ended = true
	l.counts.recordEnd(r, a.status, l.clock.now(), l.moduleSettings.Classes[r.class].Aim)
	r.answers <- a
	return true
}

// forgetIfDone removes a request that has ended and has no attempt in flight.
func (l *loop) forgetIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		if l.requests[r.id] == nil {
			return // already removed
		}
		delete(l.requests, r.id)
		l.lagMonitor.requestEnded()
		l.callIDs.release(r.callID)
		if r.module.openRequests--; r.module.retired && r.module.openRequests == 0 {
			l.modules = slices.DeleteFunc(l.modules, func(m *module) bool { return m == r.module })
		}
	}
}

// callIDs holds the ids that clients gave to the open requests and to those that ended recently.
// Backends and clients identify requests by these ids: a second request under the same id would be
// served with the answer of the first one, or be run as its retry.
type callIDs struct {
	open, recent, older map[string]struct{}
}

// reserve adds an id and reports whether it was free.
func (c *callIDs) reserve(id string) bool {
	for _, ids := range []map[string]struct{}{c.open, c.recent, c.older} {
		if _, found := ids[id]; found {
			return false
		}
	}
	c.open[id] = struct{}{}
	return true
}

// release records that the request with an id has ended.
func (c *callIDs) release(id string) {
	delete(c.open, id)
	if c.recent[id] = struct{}{}; len(c.recent) >= maxRecentCallIDs {
		c.rotate()
	}
}

// rotate forgets the ids that were released before the previous rotation.
func (c *callIDs) rotate() { c.recent, c.older = map[string]struct{}{}, c.recent }

// updateServers records the addresses of the list members and converts the members to entries for
// the module.
func (l *loop) updateServers(members []member) []policy.ServerEntry {
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
			Key:    serverKey(m.ID),
		}
		l.listedServers[e.ID] = e
		entries = append(entries, e)
		if e.State == policy.Gone {
			continue // removed after the module has handled the list
		}
		oldTarget := l.targets[e.ID]
		if oldTarget != nil && oldTarget.Addr == m.HostPort && oldTarget.ProcessStart == e.Start {
			continue
		}
		if oldTarget != nil {
			l.backends.Retire(oldTarget)
		}
		l.targets[e.ID] = l.backends.NewTarget(m.HostPort, e.Start)
	}
	return entries
}

// serverKey returns the key of a backend in messages to other agents, which assign other IDs to it.
// It is the 32-bit FNV-1a hash of its name.
func serverKey(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// removeGone removes the addresses and idle connections of the backends that are gone according to
// a list.
func (l *loop) removeGone(mode policy.ListMode, entries []policy.ServerEntry) {
	remains := make(map[policy.ServerID]bool, len(entries))
	for _, e := range entries {
		remains[e.ID] = e.State != policy.Gone
	}
	for id := range l.servers.names {
		if present, listed := remains[id]; present || !listed && mode == policy.ListDelta {
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
