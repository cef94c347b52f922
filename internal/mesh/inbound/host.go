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
	maxBackendConns = 1024            // to the backend; far above any backend's concurrency
	idleTimeout     = 9 * time.Second // backends close idle connections after ten seconds, some earlier
)

// Host runs a Gate. It serves the exchanges of senders and forwards requests to the backend over
// its own connection pool.
type Host struct {
	pool             *connpool.Pool
	maxResponseBytes int64
	maxBodyBytes     int64
	bodyBudget       *transport.ByteBudget // memory for request bodies
	uploadSemaphore  chan struct{}         // one slot for each upload in progress
	startedAt        time.Time
	announce         func() // announces the backend to other agents; called without the lock
	onBackendChange  func(BackendChange)

	mu       sync.Mutex
	gate     *Gate
	target   *connpool.Target // connections to the instance targetID
	targetID string
	runs     map[string]*backendRun // requests running at the backend, by Try-Id

	sessions sync.Map // connections of senders: *session to nil
	usage    *usage.Counter

	Traces flightrecorder.Ring // of requests that were refused or failed here

	// Counters of dispatched requests and of those that were answered or failed.
	Dispatched, Answered, Failed atomic.Uint64
	accepting                    atomic.Bool
}

// ObserveBackend registers a function that is called with each change of the backend, without the
// lock. It must be called before the host is used.
func (h *Host) ObserveBackend(f func(BackendChange)) { h.onBackendChange = f }

// CountUsage registers a counter for the requests of each tenant that begin to run. It must be
// called before the host is used.
func (h *Host) CountUsage(counter *usage.Counter) { h.usage = counter }

// NewHost returns a host that knows no backend yet. The announce function is called when other
// agents have to learn about a change of the backend.
func NewHost(rules Rules, maxBodyBytes int64, budget *transport.ByteBudget, announce func()) *Host {
	h := &Host{bodyBudget: budget, startedAt: time.Now(), maxResponseBytes: maxBodyBytes, maxBodyBytes: maxBodyBytes, announce: announce, runs: map[string]*backendRun{},
		onBackendChange: func(BackendChange) {}}
	h.gate = NewGate(0, rules)
	h.uploadSemaphore = make(chan struct{}, uploadSlots(rules.LinkBitsPerSecond))
	h.pool = connpool.New(connpool.Options{Network: connpool.TCP{}, ConnectTimeout: connectTimeout, BackendIdleTimeout: idleTimeout, MaxConns: maxBackendConns})
	h.accepting.Store(true)
	return h
}

func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// WithGate calls f with the gate locked. If f returns true, the backend is announced to other
// agents.
func (h *Host) WithGate(f func(now time.Duration, g *Gate) (announce bool)) {
	h.mu.Lock()
	announce := f(h.now(), h.gate)
	changes := h.gate.popChanges()
	h.mu.Unlock()
	for _, change := range changes {
		h.onBackendChange(change)
	}
	if announce {
		h.announce()
	}
}

// admit waits for a slot and returns the backend's address and how long it waited.
func (h *Host) admit(caller *Caller, req *transport.Request) (address string, waited time.Duration, failure *transport.Failure) {
	if !h.accepting.Load() {
		return "", 0, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Draining}
	}
	h.mu.Lock()
	ticket, failure := h.gate.Admit(h.now(), req)
	if failure != nil {
		h.mu.Unlock()
		return "", 0, failure
	}
	address = h.gate.instances.serving.Address
	if ticket == nil {
		h.mu.Unlock()
		return address, 0, nil
	}
	queuedAt := time.Now()
	decision := make(chan *transport.Failure, 1)
	ticket.OnDecision = func(ok bool, failure *transport.Failure) { decision <- failure }
	h.mu.Unlock()
	gone := make(chan struct{})
	stop := caller.afterGone(func() { close(gone) })
	defer stop()
	timer := time.NewTimer(req.Patient)
	defer timer.Stop()
	select {
	case failure = <-decision:
		return address, time.Since(queuedAt), h.confirmSlot(caller, req, failure)
	case <-timer.C:
		failure = &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: req.Patient}
	case <-gone:
		failure = cancelledFailure(transport.NotRun)
	}
	h.mu.Lock()
	abandoned := h.gate.Abandon(h.now(), ticket, failure.Reason)
	h.mu.Unlock()
	if abandoned {
		return "", time.Since(queuedAt), failure
	}
	return address, time.Since(queuedAt), h.confirmSlot(caller, req, <-decision)
}

// confirmSlot returns a slot that was granted after a wait if the caller is gone by now.
func (h *Host) confirmSlot(caller *Caller, req *transport.Request, failure *transport.Failure) *transport.Failure {
	if failure != nil || !caller.pollGone() {
		return failure
	}
	h.WithGate(func(now time.Duration, g *Gate) bool { g.Cancel(now, req, false); return false })
	return cancelledFailure(transport.NotRun)
}

func (h *Host) failureReply(failure *transport.Failure) *transport.Reply {
	return &transport.Reply{Verdict: failure.Verdict, Reason: failure.Reason, After: failure.RetryAfter, Load: h.Load()}
}

// Load returns the load that is reported to senders.
func (h *Host) Load() transport.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.Load(h.now())
}

// StopAccepting makes the host refuse new requests. Requests in progress continue.
func (h *Host) StopAccepting() { h.accepting.Store(false) }

// Accepting reports whether the host accepts requests.
func (h *Host) Accepting() bool { return h.accepting.Load() }

// Tick must be called regularly. It detects a silent backend, closes idle connections and updates
// the keep-alive probing of senders.
func (h *Host) Tick() {
	h.WithGate(func(now time.Duration, g *Gate) bool { return g.Tick(now) })
	h.pool.CloseExpired()
	now := time.Now()
	h.sessions.Range(func(s, _ any) bool {
		s.(*session).updateProbing(now)
		return true
	})
}

// Outstanding is the number of requests that are queued or in flight.
func (h *Host) Outstanding() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gate.inFlight + len(h.gate.queue)
}
