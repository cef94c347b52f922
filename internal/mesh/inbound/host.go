package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/mesh/flightrecorder"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
)

const (
	mostConns = 1024            // to the backend: far above what any takes at once
	idleClose = 9 * time.Second // backends close what is idle for ten, and some sooner
)

// Host runs a Gate: it serves exchanges and hands over to the backend over connections of its own.
type Host struct {
	pool       *connpool.Pool
	mostAnswer int64
	mostBody   int64
	budget     *transport.ByteBudget // for bodies
	uploads    chan struct{}         // long bodies on their way
	began      time.Time
	news       func() // others should hear of the backend; called without the lock
	observe    func(BackendChange)

	mu       sync.Mutex
	gate     *Gate
	target   *connpool.Target // the life of the backend that targetID names
	targetID string
	runs     map[string]*run // what the backend has in work, by try

	sessions sync.Map // of senders: *session to nil
	usage    *usage.Counter

	Traces flightrecorder.Ring // of what was refused or broke here

	// Counters.
	Dispatched, Answered, Failed atomic.Uint64
	open                         atomic.Bool
}

// Observe has each change of the backend told to a function, which is called without the lock. It
// must be called before the host is used.
func (h *Host) ObserveBackend(f func(BackendChange)) { h.observe = f }

// CountUsage has what the backend begins counted by tenant. It must be called before the host is used.
func (h *Host) CountUsage(by *usage.Counter) { h.usage = by }

// NewHost returns a host whose backend has not been heard.
func NewHost(r Rules, mostBody int64, budget *transport.ByteBudget, news func()) *Host {
	h := &Host{budget: budget, began: time.Now(), mostAnswer: mostBody, mostBody: mostBody, news: news, runs: map[string]*run{},
		observe: func(BackendChange) {}}
	h.gate = NewGate(0, r)
	h.uploads = make(chan struct{}, uploadSlots(r.LinkBitsPerSecond))
	h.pool = connpool.New(connpool.Options{Network: connpool.TCP{}, ConnectTimeout: connectTime, BackendIdleTimeout: idleClose, MaxConns: mostConns})
	h.open.Store(true)
	return h
}

func (h *Host) now() time.Duration { return time.Since(h.began) }

// With runs a function on the gate; if it says so, others hear of the backend.
func (h *Host) WithGate(f func(now time.Duration, g *Gate) (news bool)) {
	h.mu.Lock()
	news := f(h.now(), h.gate)
	changes := h.gate.takeChanges()
	h.mu.Unlock()
	for _, c := range changes {
		h.observe(c)
	}
	if news {
		h.news()
	}
}

// admit waits for a slot, and says how long.
func (h *Host) admit(caller *Caller, a *transport.Request) (address string, waited time.Duration, f *transport.Failure) {
	if !h.open.Load() {
		return "", 0, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Draining}
	}
	h.mu.Lock()
	t, f := h.gate.Admit(h.now(), a)
	if f != nil {
		h.mu.Unlock()
		return "", 0, f
	}
	address = h.gate.lives.serving.Address
	if t == nil {
		h.mu.Unlock()
		return address, 0, nil
	}
	began := time.Now()
	granted := make(chan *transport.Failure, 1)
	t.OnDecision = func(ok bool, f *transport.Failure) { granted <- f }
	h.mu.Unlock()
	left := make(chan struct{})
	stop := caller.whenLeft(func() { close(left) })
	defer stop()
	timer := time.NewTimer(a.Patient)
	defer timer.Stop()
	select {
	case f = <-granted:
		return address, time.Since(began), h.keep(caller, a, f)
	case <-timer.C:
		f = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: a.Patient}
	case <-left:
		f = cancelled(transport.NotRun)
	}
	h.mu.Lock()
	abandoned := h.gate.Abandon(h.now(), t, f.Reason)
	h.mu.Unlock()
	if abandoned {
		return "", time.Since(began), f
	}
	return address, time.Since(began), h.keep(caller, a, <-granted)
}

// keep gives a slot that was waited for back if the caller has gone meanwhile.
func (h *Host) keep(caller *Caller, a *transport.Request, f *transport.Failure) *transport.Failure {
	if f != nil || !caller.isGone() {
		return f
	}
	h.WithGate(func(now time.Duration, g *Gate) bool { g.Cancel(now, a, false); return false })
	return cancelled(transport.NotRun)
}

func (h *Host) reply(f *transport.Failure) *transport.Reply {
	return &transport.Reply{Verdict: f.Verdict, Reason: f.Reason, After: f.RetryAfter, Load: h.Load()}
}

// Load is what others are told of the backend.
func (h *Host) Load() transport.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Load(h.now())
}

// Close has it take nothing more; what it has in hand goes on.
func (h *Host) StopAccepting() { h.open.Store(false) }

// Open says whether it takes requests.
func (h *Host) Accepting() bool { return h.open.Load() }

// Tick lets time pass.
func (h *Host) Tick() {
	h.WithGate(func(now time.Duration, g *Gate) bool { return g.Tick(now) })
	h.pool.CloseExpired()
	now := time.Now()
	h.sessions.Range(func(s, _ any) bool {
		s.(*session).probe(now)
		return true
	})
}

// Held is how many requests it has in hand.
func (h *Host) Outstanding() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.inFlight + len(h.gate.waiting)
}
