package rules

import (
	"fmt"
	"time"
)

func (c *Checker) attempt(r Record) *attempt {
	k := c.calls[r.Call]
	if k == nil {
		return nil
	}
	for i := range k.attempts {
		if a := &k.attempts[i]; a.arrived.Backend == r.Backend && a.arrived.Attempt == r.Attempt {
			return a
		}
	}
	return nil
}

func (c *Checker) arrived(r Record) {
	k := c.calls[r.Call]
	if k == nil {
		// Calls are remembered for longer than anything may be sent for them.
		c.find(Lost, false, "it was sent on though no client has asked for it", &r)
		return
	}
	sent := c.sent(&r)
	// The agent hears of a client that has gone later than the client goes.
	if f := k.final; f != nil && sent > f.At+c.terms.Lag+c.terms.Slack {
		c.find(Lost, false, "it was sent on after it had ended", c.story(k, f, &r)...)
	}
	c.repeated(k, &r)
	if b := c.agent(k.asked.Agent).barred[r.Backend]; b != nil {
		if late := sent - b.At - c.terms.DrainGrace - c.terms.Slack; late > 0 {
			c.find(Drain, false, fmt.Sprintf("sent %v after the grace to a backend that operators took out", late), b, &k.asked, &r)
		}
	}
	if t := c.known(k.asked.Agent, r.Backend); t.drains >= 0 {
		due := t.drains + c.terms.DrainGrace + c.terms.Slack
		if late := sent - due; late > 0 {
			c.find(Drain, false, fmt.Sprintf("sent %v after the grace to a backend that is %s", late, t.State),
				&t.Record, &k.asked, &r)
		} else if r.First > due {
			c.find(Drain, true, "it may have been sent within the grace", &t.Record, &r)
		}
	}
	if b := c.backends[r.Backend]; b != nil && r.At < b.started.At+b.started.WarmAfter {
		for len(b.arrivals) > 0 && b.arrivals[0].At < r.At-c.terms.OverloadFor {
			b.arrivals = b.arrivals[1:]
		}
		r.Agent = k.asked.Agent
		b.arrivals = append(b.arrivals, r)
	}
	k.attempts = append(k.attempts, attempt{arrived: r})
}

// repeated judges a further attempt of a call by those before it that may have run.
func (c *Checker) repeated(k *call, r *Record) {
	class := c.terms.Classes[k.asked.Class]
	for i := range k.attempts {
		a := &k.attempts[i]
		if a.rejected != 0 && a.rejected <= r.First {
			continue // it never ran, and its agent may have known
		}
		switch {
		case class.Effect == Unsafe:
			c.find(Twice, false, "it was sent again though it may have run", c.story(k, r)...)
			return
		case class.Effect == Keyed && !c.sameGroup(class.Scope, a.arrived.Backend, r.Backend):
			c.find(Twice, false, "it was sent again outside the group that drops its repeats", c.story(k, r)...)
			return
		case class.Effect == Keyed && c.sent(r) > a.arrived.First+class.Window+c.terms.Slack:
			c.find(Twice, false, "it was sent again when its repeats were no longer dropped", c.story(k, r)...)
			return
		}
	}
}

func (c *Checker) sameGroup(s Scope, x, y string) bool {
	a, b := c.backends[x], c.backends[y]
	if s == All || a == nil || b == nil || x == y {
		return true
	}
	if s == Zone {
		return a.started.Zone == b.started.Zone
	}
	return a.started.Cell == b.started.Cell
}

// ran counts effects. What ran in two calls is the agents' doing only if the client asked again because it was told
// that it may.
func (c *Checker) ran(r Record) {
	k := c.calls[r.Call]
	if k == nil || c.terms.Classes[k.asked.Class].Effect == Safe {
		return
	}
	o := c.operations[k.asked.Operation]
	if o == nil {
		return
	}
	r.Operation, r.Class, r.Agent = k.asked.Operation, k.asked.Class, k.asked.Agent
	for i := range o.ran {
		before := &o.ran[i]
		earlier := c.calls[before.Call]
		switch {
		case before.Call == r.Call:
			// What was sent in time may have been held up until its repeats were no longer dropped.
			heldUp := c.terms.Classes[r.Class].Effect == Keyed && c.link(r.Backend).heldUp(before.At, 0)
			c.find(Twice, heldUp, "it ran twice", c.story(k, before, &r)...)
		case earlier == nil:
			c.find(Twice, true, "it ran twice, and why its client asked again is not known", before, &r)
		case earlier.final != nil && (earlier.final.Status == 429 || earlier.final.Status == 503):
			c.find(Twice, false, "it ran twice, as the client was told that it may ask again", append(c.story(earlier, earlier.final), c.story(k, &r)...)...)
		default:
			continue // the client has asked again on its own account
		}
		break
	}
	o.ran = append(o.ran, r)
}

// known is what an agent has been told of a backend, or counts as told since discovery has had it to tell for so long.
func (c *Checker) known(name, backend string) told {
	t, heard := c.agent(name).told[backend]
	if !heard {
		t.drains = -1
	}
	l, listed := c.listed[backend]
	if t.drains >= 0 || !listed || l.State == Ready || heard && t.Process > l.Process || c.listDown || c.terms.ToldWithin == 0 {
		return t
	}
	deemed := max(l.At, c.listUp) + c.terms.ToldWithin
	if deemed > c.now {
		return t
	}
	return told{Record: l, drains: deemed}
}

func (c *Checker) told(r Record) {
	a := c.agent(r.Agent)
	before, known := a.told[r.Backend]
	t := told{Record: r, since: r.At, drains: -1}
	if known && before.Process == r.Process {
		t.since = before.since
	}
	if r.State != Ready {
		if t.drains = r.At; known && before.drains >= 0 && before.Process == r.Process {
			t.drains = before.drains // it has known since then
		}
	}
	a.told[r.Backend] = t
}

// fell judges who has pushed a cold backend over: the agents, if two thirds of the work came from such as had been
// told of its start.
func (c *Checker) fell(r Record) {
	b := c.backends[r.Backend]
	if b == nil {
		c.find(Cold, true, "a backend fell of whose start there is no record", &r)
		return
	}
	var all, knew time.Duration
	evidence := []*Record{&b.started, &r}
	for i := range b.arrivals {
		a := &b.arrivals[i]
		if a.At < r.At-c.terms.OverloadFor {
			continue
		}
		all += a.Work
		if t, ok := c.agent(a.Agent).told[r.Backend]; ok && t.Process == b.started.Process && t.since <= a.At {
			knew += a.Work
		}
		if len(evidence) < mostFindings {
			evidence = append(evidence, a)
		}
	}
	if 3*knew < 2*all {
		return
	}
	s := &b.started
	age := float64(r.At-s.At) / float64(max(1, s.WarmAfter))
	room := c.terms.OverloadFactor * s.Capacity * min(1, s.ColdFrom+(1-s.ColdFrom)*age) * c.terms.OverloadFor.Seconds()
	c.find(Cold, false, fmt.Sprintf("it was sent %.2f s of work within %v and had room for %.2f s; %.2f s came from agents that knew of its start",
		all.Seconds(), c.terms.OverloadFor, room, knew.Seconds()), evidence...)
}
