package outbound

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// grain is what timers are rounded up to, so that several fall due at once: each wake-up costs.
const timerGranularity = 20 * time.Millisecond

// target is a backend that requests may be sent to.
type backendTarget struct {
	id              policy.ServerID
	gateAddress     string
	backendID       string // id of its life
	gateIncarnation uint64 // of its gate
	agent           string
	zone            int
	local           bool          // beside this agent
	announcementSeq uint64        // number of its gate's word
	warmupLeft      time.Duration // that was left of its warm-up then
	warmupStart     time.Duration // on the chooser's clock, when its warm-up began; 0: long ago
}

// call is a request that the chooser decides about.
type balancedRequest struct {
	id          policy.RequestID
	candidates  int           // backends to choose from at its begin
	actionReady chan struct{} // signalled when there is an order
	actions     []policy.Action
	startHedge  func(policy.Action, *backendTarget) // starts an attempt beside one that is out; the chooser's lock is held
}

// chooser runs the decision module for one service. It is a mutex and no goroutine of its own: a request's own goroutine brings
// its events and carries out its orders, which spares two changes of goroutine each.
type serviceBalancer struct {
	service     string
	classes     []policy.Class
	concurrency int // requests that a backend works on at once
	warmup      time.Duration
	clockStart  time.Time
	log         func(string)

	mu           sync.Mutex
	balancer     *policy.Balancer
	requests     map[policy.RequestID]*balancedRequest
	targets      map[policy.ServerID]*backendTarget
	lastID       policy.RequestID
	timers       timerHeap
	wakeup       *time.Timer
	wakeupAt     time.Duration // of the timer, 0 if it is not set
	actionBuffer []policy.Action
}

func newServiceBalancer(service string, settings policy.Settings, log func(string)) (*serviceBalancer, error) {
	balancer, err := policy.New(settings, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", service, err)
	}
	return &serviceBalancer{service: service, classes: settings.Classes, concurrency: int(settings.Width), warmup: settings.WarmAfter, clockStart: time.Now(), log: log, balancer: balancer,
		requests: map[policy.RequestID]*balancedRequest{}, targets: map[policy.ServerID]*backendTarget{}}, nil
}

func (b *serviceBalancer) now() time.Duration { return time.Since(b.clockStart) + time.Second } // never 0, which is long ago

// setTargets tells the module which backends are ready.
func (b *serviceBalancer) setTargets(targets []*backendTarget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := make([]policy.ServerEntry, 0, len(targets))
	now := b.now()
	byID := make(map[policy.ServerID]*backendTarget, len(targets))
	for _, target := range targets {
		previous := b.targets[target.id]
		switch {
		case previous != nil && previous.backendID == target.backendID && previous.gateIncarnation == target.gateIncarnation && (target.announcementSeq == previous.announcementSeq || target.warmupLeft == 0 && previous.warmupStart < 0):
			target.warmupStart = previous.warmupStart
		case target.warmupLeft > 0: // it began to warm up when this much was left of its time
			target.warmupStart = max(1, now-max(0, b.warmup-target.warmupLeft))
		default: // danger: what was learnt of another life, by broken connections mostly, would keep this one out
			target.warmupStart = min(now-2*b.warmup-1, -1)
		}
		byID[target.id] = target
		entries = append(entries, policy.ServerEntry{ID: target.id, Zone: target.zone, State: policy.Ready, Weight: 1, Start: target.warmupStart, Key: uint32(target.id)})
	}
	b.targets = byID
	b.handleEvent(policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: entries})
}

// begin takes a request in; its first order is there when it returns.
func (b *serviceBalancer) beginRequest(class int, remaining time.Duration, startHedge func(policy.Action, *backendTarget)) *balancedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.lastID++; b.requests[b.lastID] != nil || b.lastID == 0; b.lastID++ {
	}
	request := &balancedRequest{id: b.lastID, candidates: len(b.targets), actionReady: make(chan struct{}, 1), startHedge: startHedge}
	b.requests[request.id] = request
	b.handleEvent(policy.Event{Kind: policy.EventRequest, Request: request.id, Class: class, Left: remaining})
	return request
}

// take returns the next order of a call, if there is one, and the target that it names.
func (b *serviceBalancer) nextAction(request *balancedRequest) (action policy.Action, target *backendTarget, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(request.actions) == 0 {
		return action, nil, false
	}
	action = request.actions[0]
	request.actions = request.actions[1:]
	if action.Kind == policy.ActSend {
		target = b.targets[action.Server]
	}
	return action, target, true
}

// outcome says how an attempt ended, and whether the request has its answer already.
func (b *serviceBalancer) reportOutcome(request *balancedRequest, attempt int, server policy.ServerID, outcome policy.Outcome, load policy.Load, retryAfter time.Duration, reachedBackend, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleEvent(policy.Event{Kind: policy.EventOutcome, Request: request.id, Attempt: attempt, Server: server, Outcome: outcome, Load: load, After: retryAfter, Arrived: reachedBackend, Closed: answered})
}

// forget ends a call's orders: it has its answer, or its client has left and nothing more is owed.
// Attempts that are out are still told to the module.
func (b *serviceBalancer) endRequest(request *balancedRequest, clientLeft bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if clientLeft {
		b.handleEvent(policy.Event{Kind: policy.EventHangup, Request: request.id})
	}
	delete(b.requests, request.id)
	for len(b.timers) > 0 && b.isStale(&b.timers[0]) {
		heap.Pop(&b.timers)
	}
	b.armWakeup()
}

// handle brings an event to the module and hands out what it orders. The lock is held.
func (b *serviceBalancer) handleEvent(event policy.Event) {
	b.actionBuffer = b.balancer.Handle(b.now(), event, b.actionBuffer[:0])
	for i := range b.actionBuffer {
		action := b.actionBuffer[i]
		switch action.Kind {
		case policy.ActSend, policy.ActRefuse, policy.ActFail:
			request := b.requests[action.Request]
			if request == nil {
				continue
			}
			if action.Kind == policy.ActSend && event.Kind == policy.EventTimer {
				request.startHedge(action, b.targets[action.Server])
				continue
			}
			request.actions = append(request.actions, action)
			select {
			case request.actionReady <- struct{}{}:
			default:
			}
		case policy.ActTimer:
			dueAt := (b.now() + action.Wait + timerGranularity - 1) / timerGranularity * timerGranularity
			heap.Push(&b.timers, timer{dueAt, action.Token})
		case policy.ActLog:
			b.log(action.Text)
		}
	}
	b.armWakeup()
}

// stale says whether a timer is of a call that has its answer.
func (b *serviceBalancer) isStale(t *timer) bool {
	kind := t.token >> 56
	return kind != 1 && b.requests[policy.RequestID(t.token)] == nil
}

// arm sets the timer for what falls due first. The lock is held.
func (b *serviceBalancer) armWakeup() {
	if len(b.timers) == 0 {
		return
	}
	dueAt := b.timers[0].dueAt
	if b.wakeupAt != 0 && b.wakeupAt <= dueAt {
		return
	}
	b.wakeupAt = dueAt
	wait := max(0, dueAt-b.now())
	if b.wakeup == nil {
		b.wakeup = time.AfterFunc(wait, b.fireTimers)
	} else {
		b.wakeup.Reset(wait)
	}
}

func (b *serviceBalancer) fireTimers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeupAt = 0
	now := b.now()
	for len(b.timers) > 0 && (b.timers[0].dueAt <= now || b.isStale(&b.timers[0])) {
		t := heap.Pop(&b.timers).(timer)
		if !b.isStale(&t) {
			b.handleEvent(policy.Event{Kind: policy.EventTimer, Token: t.token, Late: max(0, now-t.dueAt)})
		}
	}
	b.armWakeup()
}

// loadOf translates what a gate knows of its backend.
func policyLoad(l *transport.Load) policy.Load {
	if l.Recent <= 0 {
		return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), Recent: -1, Rate: -1, Errors: -1}
	}
	return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), Recent: l.Recent, Rate: l.Rate, Errors: l.Errors}
}

type timer struct {
	dueAt time.Duration
	token uint64
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueAt < t[j].dueAt }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
