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

// timerGranularity is what timers are rounded up to. Timers that fall due together cost a single
// wake-up.
const timerGranularity = 20 * time.Millisecond

// backendTarget is a backend that requests may be sent to, with its gate.
type backendTarget struct {
	id              policy.ServerID
	gateAddress     string
	backendID       string // id of the backend's process
	gateIncarnation uint64 // number of the gate's process, higher for a later one
	agent           string // IP address of the agent that runs the gate
	zone            int
	local           bool          // the gate is on this machine
	announcementSeq uint64        // sequence number of the agent's announcement that described the backend
	warmupLeft      time.Duration // remaining warm-up time at that announcement
	warmupStart     time.Duration // when the warm-up began, on the balancer's clock; negative: long ago
}

// balancedRequest is a request that a balancer decides about.
type balancedRequest struct {
	id          policy.RequestID
	candidates  int             // backends to choose from when the request began
	actionReady chan struct{}   // signalled when actions is no longer empty
	actions     []policy.Action // to be carried out by the request's goroutine
	// startHedge starts an attempt beside one that is in flight. It is called with the balancer's
	// lock held.
	startHedge func(policy.Action, *backendTarget)
}

// serviceBalancer runs the decision module, a policy.Balancer, for one service. It is protected by
// a mutex and has no goroutine of its own: the goroutine of each request delivers the events and
// carries out the actions, which saves two goroutine switches for each of them.
type serviceBalancer struct {
	service     string
	classes     []policy.Class
	concurrency int // requests that a backend works on at once
	warmup      time.Duration
	clockStart  time.Time // when the balancer's clock shows one second
	log         func(string)

	mu       sync.Mutex
	balancer *policy.Balancer
	requests map[policy.RequestID]*balancedRequest
	targets  map[policy.ServerID]*backendTarget
	lastID   policy.RequestID
	timers   timerHeap
	wakeup   *time.Timer
	wakeupAt time.Duration // when wakeup fires, on the balancer's clock; 0: it is not set

	actionBuffer []policy.Action // reused for the actions of each event
}

func newServiceBalancer(service string, settings policy.Settings, log func(string)) (*serviceBalancer, error) {
	balancer, err := policy.New(settings, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", service, err)
	}
	return &serviceBalancer{service: service, classes: settings.Classes, concurrency: int(settings.Width), warmup: settings.WarmAfter, clockStart: time.Now(), log: log, balancer: balancer,
		requests: map[policy.RequestID]*balancedRequest{}, targets: map[policy.ServerID]*backendTarget{}}, nil
}

// now reads the balancer's clock. It starts at one second, because to the policy a start time of 0
// means long ago.
func (b *serviceBalancer) now() time.Duration { return time.Since(b.clockStart) + time.Second }

// setTargets replaces the backends that requests may be sent to.
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
		case target.warmupLeft > 0: // the warm-up began when this much of it was left
			target.warmupStart = max(1, now-max(0, b.warmup-target.warmupLeft))
		default:
			// A new start time tells the policy that this is another process. The failures of the
			// previous one, mostly broken connections, would otherwise keep it out.
			target.warmupStart = min(now-2*b.warmup-1, -1)
		}
		byID[target.id] = target
		entries = append(entries, policy.ServerEntry{ID: target.id, Zone: target.zone, State: policy.Ready, Weight: 1, Start: target.warmupStart, Key: uint32(target.id)})
	}
	b.targets = byID
	b.handleEvent(policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: entries})
}

// beginRequest registers a request. Its first action is there when the function returns.
func (b *serviceBalancer) beginRequest(class int, remaining time.Duration, startHedge func(policy.Action, *backendTarget)) *balancedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.lastID++; b.requests[b.lastID] != nil || b.lastID == 0; b.lastID++ {
	}
	request := &balancedRequest{id: b.lastID, candidates: len(b.targets), actionReady: make(chan struct{}, 1), startHedge: startHedge}
	b.requests[request.id] = request
	b.handleEvent(policy.Event{Kind: policy.EventRequest, Request: request.id, Class: class, TimeLeft: remaining})
	return request
}

// nextAction removes and returns the next action for a request, if there is one, and the target
// that it names.
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

// reportOutcome reports how an attempt ended, and whether the request has its final response.
func (b *serviceBalancer) reportOutcome(request *balancedRequest, attempt int, server policy.ServerID, outcome policy.Outcome, load policy.Load, retryAfter time.Duration, reachedBackend, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handleEvent(policy.Event{Kind: policy.EventOutcome, Request: request.id, Attempt: attempt, Server: server, Outcome: outcome, Load: load, RetryAfter: retryAfter, ReachedServer: reachedBackend, Final: answered})
}

// endRequest ends the actions for a request: it has been answered, or its client has left. Attempts
// that are still in flight are reported as they end.
func (b *serviceBalancer) endRequest(request *balancedRequest, clientLeft bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if clientLeft {
		b.handleEvent(policy.Event{Kind: policy.EventClientGone, Request: request.id})
	}
	delete(b.requests, request.id)
	for len(b.timers) > 0 && b.isStale(&b.timers[0]) {
		heap.Pop(&b.timers)
	}
	b.armWakeup()
}

// handleEvent delivers an event to the policy and hands out the resulting actions. The lock is
// held.
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

// isStale reports whether a timer belongs to a request that has ended. The top byte of a token is
// its kind; only kind 1 belongs to no request.
func (b *serviceBalancer) isStale(t *timer) bool {
	kind := t.token >> 56
	return kind != 1 && b.requests[policy.RequestID(t.token)] == nil
}

// armWakeup sets the wake-up for the timer that is due first. The lock is held.
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

// fireTimers delivers the timers that are due.
func (b *serviceBalancer) fireTimers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wakeupAt = 0
	now := b.now()
	for len(b.timers) > 0 && (b.timers[0].dueAt <= now || b.isStale(&b.timers[0])) {
		t := heap.Pop(&b.timers).(timer)
		if !b.isStale(&t) {
			b.handleEvent(policy.Event{Kind: policy.EventTimer, Token: t.token, AgentDelay: max(0, now-t.dueAt)})
		}
	}
	b.armWakeup()
}

// policyLoad translates a gate's report about its backend into the policy's terms, where -1 stands
// for unknown.
func policyLoad(l *transport.Load) policy.Load {
	if l.Recent <= 0 {
		return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), ServiceTime: -1, Rate: -1, ErrorRate: -1}
	}
	return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), ServiceTime: l.Recent, Rate: l.Rate, ErrorRate: l.Errors}
}

// timer is a timer event that the policy has asked for.
type timer struct {
	dueAt time.Duration
	token uint64
}

// timerHeap orders timers by the time that they are due. It implements heap.Interface.
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
