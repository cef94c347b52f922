package inbound

import (
	"cmp"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Ticket is a request's place at the gate.
type Ticket struct {
	order      order
	due        time.Duration // its aim
	try        string
	unsafe     bool
	waiting    bool
	began      time.Duration
	OnDecision func(ok bool, f *transport.Failure) // called when a waiting ticket's turn has come, or never will
}

// order is who goes first: what backends call, as a run of another waits for it and holds a slot; then what may yet be in time, then
// what is late; of each the one that is due first.
type order uint8

const (
	inner order = iota
	inTime
	late
)

func (t *Ticket) before(o *Ticket) int {
	return cmp.Or(cmp.Compare(t.order, o.order), cmp.Compare(t.due, o.due))
}

// Admit decides about a request: it may be handed over at once (nil, nil), waits (a ticket), or is refused.
func (g *Gate) Admit(now time.Duration, a *transport.Request) (*Ticket, *transport.Failure) {
	g.step(now)
	if f := g.may(a); f != nil {
		return nil, g.refuse(f)
	}
	t := &Ticket{order: inTime, due: now + a.Aim, try: a.Try, unsafe: a.Unsafe, began: now}
	if a.Inner {
		t.order = inner
	} else if a.Aim.Seconds() < g.recent {
		t.order = late
	}
	if len(g.waiting) == 0 && g.hasCapacity() {
		if f := g.dispatch(t); f != nil {
			return nil, g.refuse(f)
		}
		return nil, nil
	}
	// What it would wait for is no use to it: others may have room now.
	i := len(g.waiting)
	for i > 0 && t.before(g.waiting[i-1]) < 0 {
		i--
	}
	most := queueSlots * max(1, g.lives.serving.Capacity)
	full := &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: max(g.wait(1), g.wait(i+1)-a.Patient)}
	if g.wait(i+1) > a.Patient || i >= most {
		return nil, g.refuse(full)
	}
	for n := len(g.waiting); n >= most; n = len(g.waiting) { // the last gives way; several if the backend takes fewer now
		last := g.waiting[n-1]
		g.waiting = g.waiting[:n-1]
		g.settle(last, g.refuse(full))
	}
	t.waiting = true
	if t.unsafe { // the same id has no other place here
		g.ids.Add(t.try)
	}
	g.waiting = slices.Insert(g.waiting, i, t)
	return t, nil
}

// Abandon takes a ticket back that has waited for too long, or whose caller has gone. It says false if its turn has come meanwhile.
func (g *Gate) Abandon(now time.Duration, t *Ticket, why transport.Reason) bool {
	g.step(now)
	if !t.waiting {
		return false
	}
	g.unqueue(t, false)
	g.waiting = slices.DeleteFunc(g.waiting, func(o *Ticket) bool { return o == t })
	g.Refused[why]++
	return true
}

// unqueue ends a ticket's wait. What was not handed over may come again.
func (g *Gate) unqueue(t *Ticket, handed bool) {
	if t.waiting = false; t.unsafe && !handed {
		g.ids.Remove(t.try)
	}
}

// settle ends a ticket's wait and tells its holder: it is handed over, or refused.
func (g *Gate) settle(t *Ticket, f *transport.Failure) {
	g.unqueue(t, f == nil)
	t.OnDecision(f == nil, f)
}

// next hands over those who wait, as far as there is room.
func (g *Gate) next() {
	for len(g.waiting) > 0 && g.lives.serving != nil && g.hasCapacity() {
		t := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		f := g.dispatch(t)
		if f != nil {
			f = g.refuse(f)
		}
		g.settle(t, f)
	}
}

// wait is how long the n-th of those who wait will.
func (g *Gate) wait(n int) time.Duration {
	return time.Duration(float64(n) / float64(max(1, g.lives.serving.Capacity)) * g.recent * float64(time.Second))
}

func (g *Gate) refuseWaiting(f *transport.Failure) {
	for _, t := range g.waiting {
		g.settle(t, g.refuse(f))
	}
	g.waiting = g.waiting[:0]
}
