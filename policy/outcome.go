package policy

// What became of attempts: answers, failures and silence.

import (
	"time"

	"example.org/micaline/internal/ewma"
)

const (
	fullFor       = 3.0 // usual answers' time that a server which was full stays passed by
	patience      = 3.0 // usual answers' time until an attempt counts as hanging,
	leastPatience = 4   // at least this part of the aim: quick answers come in bursts
)

func (b *Balancer) onOutcome(ev *Event) {
	r := b.open[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].out {
		return
	}
	a := &r.attempts[ev.Attempt]
	s := a.server
	a.out, a.spent, a.ran = false, ev.ReachedServer, ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != NotSent
	r.out--
	s.inFlight -= r.held
	if a.checks > 0 {
		s.silent--
	}
	b.report(s, ev.Load, ev.AgentDelay)
	// Danger: what the agent is late with would be learnt of the server. It took at least the rest, and is believed the
	// less, the more is in doubt.
	past, late := (b.now - a.sent).Seconds(), max(0, ev.AgentDelay.Seconds())
	at, sure := max(0, past-late), 1-min(1, late/max(past, 1e-9))
	b.judge(r.class, a, ev.Outcome, at/r.class.Aim.Seconds(), sure)
	if ev.Outcome == OK {
		b.observe(r.class, s, at, sure)
	}
	if r.draws = 0; b.set.Gates && ev.Outcome == Full {
		s.health[r.class.index].Full = b.now + ev.RetryAfter
	}
	switch {
	case ev.Final || ev.Outcome == OK || r.ended:
		b.end(r, false)
	case r.out > 0:
	case ev.Outcome == Timeout || b.now >= r.aim || !b.place(r): // a further attempt, if it is worth one
		b.end(r, true)
	}
}

// judge draws the conclusions from an outcome: the part of the aim that it took, and how sure that is.
func (b *Balancer) judge(c *class, a *attempt, how Outcome, part, sure float64) {
	s := a.server
	h := &s.health[c.index]
	if how == OK || how == Error || how == Reset {
		h.Ended(how == OK)
		b.rate(s)
	}
	switch how {
	case OK:
		s.used = b.now
		h.Served()
		if b.set.Reports == ReportsOff {
			s.room.Answered(part, s.inFlight+1+int(s.others), a.sent, b.now)
			b.room.Add(s.room.Limit(), ewma.FleetGain)
		} else if !s.tellsQueue() {
			// Where queues are reported those have said it: one costly request is no crowd.
			b.pressure.Move(part, sure)
		}
	case Timeout:
		b.slower(s, ewma.MaxSlow/2, ewma.Gain*sure)
		if s.used <= a.sent && sure > 0.5 {
			b.silent(c, a, 1)
		}
	case Full:
		// Danger: a server that turns requests away has few in flight and would win every pair. One that tells
		// its load may have reasons of its own to; were that taken for a crowd, its rejections alone would have
		// all requests shed from idle servers. What such a server holds is judged whenever it is drawn.
		b.passBy(a)
		if b.set.Reports == ReportsOff {
			s.room.Congested(a.sent, b.now)
		}
	case Error:
		// Danger: a quick error looks like a quick answer. It teaches no speed and counts against the server.
		b.failed(c, s, "errors")
	case Reset, ConnectFailed:
		if b.doubt(c, s) < 1 {
			if how == Reset {
				b.failed(c, s, "connections")
			} else { // danger: it takes no more connections, and those out for it would make others take more
				b.passBy(a)
			}
			return
		}
		for i := range b.classes { // no class is served over connections that break
			b.blame(&b.classes[i], s, 1, "connections")
		}
	}
}

// passBy leaves a server without room alone for a while. Danger: attempts that were out together fail together, and say
// no more than the first of them.
func (b *Balancer) passBy(a *attempt) {
	if b.set.Gates {
		return // the gate has said for how long, and to which class
	}
	if s := a.server; a.sent >= s.full {
		s.full = b.now + seconds(fullFor*b.service.V)
	}
}

// patient is how long a server's silence is no sign.
func (c *class) patient() time.Duration { return max(seconds(patience*c.usual.V), c.Aim/leastPatience) }

// again sends a second copy of a request whose attempt is silent, while one may still be in time. Danger: servers may
// swallow some requests and answer others, and only silence tells. Where many are late copies would add to it: then
// patience outlasts the aim, pairs are crowded and the retry budget ends.
func (b *Balancer) again(r *request) {
	if r.class.Effect != SideEffect && r.out == 1 && r.asked == nil && b.now+seconds(r.class.usual.V) < r.aim {
		r.draws = 0
		b.place(r)
	}
}

func (b *Balancer) onTimer(ev *Event) {
	switch token := ev.Token; token >> 56 << 56 {
	case tokenAsk:
		b.act(Action{Kind: ActSubscribe})
	case tokenWait:
		b.resume(func(r *request) bool { return r.id == RequestID(token) })
	case tokenCheck:
		n := int(token >> 32 & 0xff)
		if r := b.open[RequestID(token)]; r != nil && n < len(r.attempts) && r.attempts[n].out {
			if r.held == 0 || ev.AgentDelay > r.class.patient()/4 { // danger: answers lie unread, or it has hardly been sent
				b.act(Action{Kind: ActTimer, Token: token, Wait: r.class.patient()})
				return
			}
			// Danger: a costly request, or one on a connection that has gone dead, is no silence of its server,
			// which answers others meanwhile.
			a, answers := &r.attempts[n], r.attempts[n].server.used > r.attempts[n].sent
			much := a.blamed
			if !answers {
				much = min(much+0.5*b.doubt(r.class, a.server), 1)
			}
			b.silent(r.class, a, much)
			if a.checks == 0 {
				a.server.silent++
			}
			if a.checks++; a.blamed < 1 && (!answers || a.checks < 2) {
				b.act(Action{Kind: ActTimer, Token: token, Wait: r.class.patient()})
			}
			if a.checks > 1 || a.lost() || b.set.ProbeFee > 0 && a.server.loadAt <= a.sent {
				b.again(r)
			}
		}
	}
}
