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
const grain = 20 * time.Millisecond

// target is a backend that requests may be sent to.
type target struct {
	id      policy.ServerID
	gate    string
	backend string // id of its life
	life    uint64 // of its gate
	agent   string
	zone    int
	local   bool          // beside this agent
	told    uint64        // number of its gate's word
	cold    time.Duration // that was left of its warm-up then
	start   time.Duration // on the chooser's clock, when its warm-up began; 0: long ago
}

// call is a request that the chooser decides about.
type call struct {
	id    policy.RequestID
	open  int           // backends to choose from at its begin
	ready chan struct{} // signalled when there is an order
	order []policy.Action
	again func(policy.Action, *target) // starts an attempt beside one that is out; the chooser's lock is held
}

// chooser runs the decision module for one service. It is a mutex and no goroutine of its own: a request's own goroutine brings
// its events and carries out its orders, which spares two changes of goroutine each.
type chooser struct {
	service string
	classes []policy.Class
	width   int // requests that a backend works on at once
	warmup  time.Duration
	began   time.Time
	log     func(string)

	mu      sync.Mutex
	module  *policy.Balancer
	calls   map[policy.RequestID]*call
	targets map[policy.ServerID]*target
	next    policy.RequestID
	timers  timers
	timer   *time.Timer
	due     time.Duration // of the timer, 0 if it is not set
	actions []policy.Action
}

func newChooser(service string, set policy.Settings, log func(string)) (*chooser, error) {
	module, err := policy.New(set, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", service, err)
	}
	return &chooser{service: service, classes: set.Classes, width: int(set.Width), warmup: set.WarmAfter, began: time.Now(), log: log, module: module,
		calls: map[policy.RequestID]*call{}, targets: map[policy.ServerID]*target{}}, nil
}

func (c *chooser) now() time.Duration { return time.Since(c.began) + time.Second } // never 0, which is long ago

// setTargets tells the module which backends are ready.
func (c *chooser) setTargets(list []*target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := make([]policy.ServerEntry, 0, len(list))
	now := c.now()
	fresh := make(map[policy.ServerID]*target, len(list))
	for _, t := range list {
		old := c.targets[t.id]
		switch {
		case old != nil && old.backend == t.backend && old.life == t.life && (t.told == old.told || t.cold == 0 && old.start < 0):
			t.start = old.start
		case t.cold > 0: // it began to warm up when this much was left of its time
			t.start = max(1, now-max(0, c.warmup-t.cold))
		default: // danger: what was learnt of another life, by broken connections mostly, would keep this one out
			t.start = min(now-2*c.warmup-1, -1)
		}
		fresh[t.id] = t
		entries = append(entries, policy.ServerEntry{ID: t.id, Zone: t.zone, State: policy.Ready, Weight: 1, Start: t.start, Key: uint32(t.id)})
	}
	c.targets = fresh
	c.handle(policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: entries})
}

// begin takes a request in; its first order is there when it returns.
func (c *chooser) begin(class int, left time.Duration, again func(policy.Action, *target)) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.next++; c.calls[c.next] != nil || c.next == 0; c.next++ {
	}
	k := &call{id: c.next, open: len(c.targets), ready: make(chan struct{}, 1), again: again}
	c.calls[k.id] = k
	c.handle(policy.Event{Kind: policy.EventRequest, Request: k.id, Class: class, TimeLeft: left})
	return k
}

// take returns the next order of a call, if there is one, and the target that it names.
func (c *chooser) take(k *call) (a policy.Action, t *target, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(k.order) == 0 {
		return a, nil, false
	}
	a = k.order[0]
	k.order = k.order[1:]
	if a.Kind == policy.ActSend {
		t = c.targets[a.Server]
	}
	return a, t, true
}

// outcome says how an attempt ended, and whether the request has its answer already.
func (c *chooser) outcome(k *call, attempt int, s policy.ServerID, how policy.Outcome, load policy.Load, after time.Duration, arrived, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(policy.Event{Kind: policy.EventOutcome, Request: k.id, Attempt: attempt, Server: s, Outcome: how, Load: load, RetryAfter: after, ReachedServer: arrived, Final: closed})
}

// forget ends a call's orders: it has its answer, or its client has left and nothing more is owed.
// Attempts that are out are still told to the module.
func (c *chooser) forget(k *call, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if left {
		c.handle(policy.Event{Kind: policy.EventClientGone, Request: k.id})
	}
	delete(c.calls, k.id)
	for len(c.timers) > 0 && c.stale(&c.timers[0]) {
		heap.Pop(&c.timers)
	}
	c.arm()
}

// handle brings an event to the module and hands out what it orders. The lock is held.
func (c *chooser) handle(ev policy.Event) {
	c.actions = c.module.Handle(c.now(), ev, c.actions[:0])
	for i := range c.actions {
		a := c.actions[i]
		switch a.Kind {
		case policy.ActSend, policy.ActRefuse, policy.ActFail:
			k := c.calls[a.Request]
			if k == nil {
				continue
			}
			if a.Kind == policy.ActSend && ev.Kind == policy.EventTimer {
				k.again(a, c.targets[a.Server])
				continue
			}
			k.order = append(k.order, a)
			select {
			case k.ready <- struct{}{}:
			default:
			}
		case policy.ActTimer:
			at := (c.now() + a.Wait + grain - 1) / grain * grain
			heap.Push(&c.timers, timer{at, a.Token})
		case policy.ActLog:
			c.log(a.Text)
		}
	}
	c.arm()
}

// stale says whether a timer is of a call that has its answer.
func (c *chooser) stale(t *timer) bool {
	kind := t.token >> 56
	return kind != 1 && c.calls[policy.RequestID(t.token)] == nil
}

// arm sets the timer for what falls due first. The lock is held.
func (c *chooser) arm() {
	if len(c.timers) == 0 {
		return
	}
	at := c.timers[0].at
	if c.due != 0 && c.due <= at {
		return
	}
	c.due = at
	wait := max(0, at-c.now())
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.fire)
	} else {
		c.timer.Reset(wait)
	}
}

func (c *chooser) fire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = 0
	now := c.now()
	for len(c.timers) > 0 && (c.timers[0].at <= now || c.stale(&c.timers[0])) {
		t := heap.Pop(&c.timers).(timer)
		if !c.stale(&t) {
			c.handle(policy.Event{Kind: policy.EventTimer, Token: t.token, AgentDelay: max(0, now-t.at)})
		}
	}
	c.arm()
}

// loadOf translates what a gate knows of its backend.
func loadOf(l *transport.Load) policy.Load {
	if l.Recent <= 0 {
		return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), ServiceTime: -1, Rate: -1, ErrorRate: -1}
	}
	return policy.Load{Known: true, InFlight: float64(l.InFlight), Queue: float64(l.Waiting), ServiceTime: l.Recent, Rate: l.Rate, ErrorRate: l.Errors}
}

type timer struct {
	at    time.Duration
	token uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
