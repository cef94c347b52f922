package inbound

import (
	"cmp"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Ticket is the place of a request in the queue of a gate.
type Ticket struct {
	priority  priority
	deadline  time.Duration // arrival time plus the request's target latency
	tryID     string
	unsafe    bool
	waiting   bool
	createdAt time.Duration
	// OnDecision is called once, when a queued request is dispatched (ok) or refused (failure f).
	OnDecision func(ok bool, f *transport.Failure)
}

// priority orders the queue. Calls made by backends come first, because another backend's request
// holds a slot while it waits for them. Requests that can still meet their target latency follow,
// then those that cannot. Within a priority the earlier deadline goes first.
type priority uint8

const (
	priorityInner priority = iota
	priorityInTime
	priorityLate
)

func (t *Ticket) compare(other *Ticket) int {
	return cmp.Or(cmp.Compare(t.priority, other.priority), cmp.Compare(t.deadline, other.deadline))
}

// Admit decides about a request. It returns nil, nil if the request may be dispatched at once, a
// ticket if it has to wait, or a failure if it is refused.
func (g *Gate) Admit(now time.Duration, req *transport.Request) (*Ticket, *transport.Failure) {
	g.advance(now)
	if failure := g.checkAdmissible(req); failure != nil {
		return nil, g.countRefusal(failure)
	}
	ticket := &Ticket{priority: priorityInTime, deadline: now + req.Aim, tryID: req.Try, unsafe: req.Unsafe, createdAt: now}
	if req.Inner {
		ticket.priority = priorityInner
	} else if req.Aim.Seconds() < g.meanLatency {
		ticket.priority = priorityLate
	}
	if len(g.queue) == 0 && g.hasCapacity() {
		if failure := g.dispatch(ticket); failure != nil {
			return nil, g.countRefusal(failure)
		}
		return nil, nil
	}
	// A wait beyond the patience of the request is useless: another gate may have room now.
	position := len(g.queue)
	for position > 0 && ticket.compare(g.queue[position-1]) < 0 {
		position--
	}
	maxQueue := queuePerSlot * max(1, g.instances.serving.Capacity)
	fullFailure := &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: max(g.queueWait(1), g.queueWait(position+1)-req.Patient)}
	if g.queueWait(position+1) > req.Patient || position >= maxQueue {
		return nil, g.countRefusal(fullFailure)
	}
	// Evicts the last request in the queue, or several if the capacity has shrunk.
	for n := len(g.queue); n >= maxQueue; n = len(g.queue) {
		last := g.queue[n-1]
		g.queue = g.queue[:n-1]
		g.resolve(last, g.countRefusal(fullFailure))
	}
	ticket.waiting = true
	if ticket.unsafe { // a second request with this id is refused while this one is queued
		g.unsafeIDs.Add(ticket.tryID)
	}
	g.queue = slices.Insert(g.queue, position, ticket)
	return ticket, nil
}

// Abandon removes a ticket whose wait took too long or whose caller is gone. It returns false if
// the ticket was dispatched or refused in the meantime.
func (g *Gate) Abandon(now time.Duration, ticket *Ticket, reason transport.Reason) bool {
	g.advance(now)
	if !ticket.waiting {
		return false
	}
	g.endWait(ticket, false)
	g.queue = slices.DeleteFunc(g.queue, func(other *Ticket) bool { return other == ticket })
	g.Refused[reason]++
	return true
}

// endWait marks a ticket as no longer waiting. If it was not dispatched, its id may be used again.
func (g *Gate) endWait(ticket *Ticket, dispatched bool) {
	if ticket.waiting = false; ticket.unsafe && !dispatched {
		g.unsafeIDs.Remove(ticket.tryID)
	}
}

// resolve ends the wait of a ticket and reports the decision: dispatched if failure is nil,
// otherwise refused.
func (g *Gate) resolve(ticket *Ticket, failure *transport.Failure) {
	g.endWait(ticket, failure == nil)
	ticket.OnDecision(failure == nil, failure)
}

// dispatchQueued dispatches queued requests while there is capacity.
func (g *Gate) dispatchQueued() {
	for len(g.queue) > 0 && g.instances.serving != nil && g.hasCapacity() {
		ticket := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		failure := g.dispatch(ticket)
		if failure != nil {
			failure = g.countRefusal(failure)
		}
		g.resolve(ticket, failure)
	}
}

// queueWait estimates how long the n-th request in the queue waits.
func (g *Gate) queueWait(n int) time.Duration {
	return time.Duration(float64(n) / float64(max(1, g.instances.serving.Capacity)) * g.meanLatency * float64(time.Second))
}

func (g *Gate) refuseQueued(failure *transport.Failure) {
	for _, ticket := range g.queue {
		g.resolve(ticket, g.countRefusal(failure))
	}
	g.queue = g.queue[:0]
}
