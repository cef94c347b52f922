package policy

import (
	"time"

	"example.org/micaline/internal/ewma"
)

const (
	avoidServiceTimes  = 3.0 // typical service times for which a server without capacity is avoided
	silenceLatencies   = 3.0 // typical latencies until a silent attempt is overdue,
	silenceTargetParts = 4   // but at least the target latency divided by this: quick answers come in bursts
)

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return
	}
	a := &r.attempts[ev.Attempt]
	s := a.server
	a.pending, a.reachedServer, a.mayHaveRun = false, ev.ReachedServer,
		ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != NotSent
	r.pending--
	s.inFlight -= r.inFlightWeight
	if a.silenceChecks > 0 {
		s.overdue--
	}
	b.applyReport(s, ev.Load, ev.AgentDelay)
	// Delay in the agent is not the server's: an answer took at least the rest, and counts less if much is in doubt.
	elapsed, agentDelay := (b.now - a.sent).Seconds(), max(0, ev.AgentDelay.Seconds())
	latency, confidence := max(0, elapsed-agentDelay), 1-min(1, agentDelay/max(elapsed, 1e-9))
	b.learnFromOutcome(r.class, a, ev.Outcome, latency/r.class.Aim.Seconds(), confidence)
	if ev.Outcome == OK {
		b.observeLatency(r.class, s, latency, confidence)
	}
	if r.draws = 0; b.cfg.Gates && ev.Outcome == Full {
		s.health[r.class.index].FullUntil = b.now + ev.RetryAfter
	}
	switch {
	case ev.Final || ev.Outcome == OK || r.ended:
		b.finish(r, false)
	case r.pending > 0:
	case ev.Outcome == Timeout || b.now >= r.targetTime || !b.dispatch(r): // a retry, if it can succeed
		b.finish(r, true)
	}
}

// learnFromOutcome learns about the server. latencyRatio is latency over target, and confidence (0 to 1) its weight.
func (b *Balancer) learnFromOutcome(c *class, a *attempt, outcome Outcome, latencyRatio, confidence float64) {
	s := a.server
	h := &s.health[c.index]
	if outcome == OK || outcome == Error || outcome == Reset {
		h.AddOutcome(outcome == OK)
		b.invalidatePools(s)
	}
	switch outcome {
	case OK:
		s.answeredAt = b.now
		h.AddSuccess()
		if b.cfg.Reports == ReportsOff {
			s.concurrency.OnAnswer(latencyRatio, s.inFlight+1+int(s.peerInFlight), a.sent, b.now)
			b.concurrency.Add(s.concurrency.Current(), ewma.FleetGain)
		} else if !s.reportsQueue() {
			b.shedder.Update(latencyRatio, confidence) // reported queues tell more: one slow request is no overload
		}
	case Timeout:
		b.observeSlowdown(s, ewma.MaxSlowdown/2, ewma.ServerGain*confidence)
		if s.answeredAt <= a.sent && confidence > 0.5 {
			b.addSilence(c, a, 1)
		}
	case Full:
		// A rejecting server has few in flight and would win every pair. With reports its load is checked at each draw:
		// it may reject for other reasons, and to count that as overload would shed requests though servers are idle.
		b.avoidServer(a)
		if b.cfg.Reports == ReportsOff {
			s.concurrency.OnCongestion(a.sent, b.now)
		}
	case Error: // a fast error looks like a fast answer: it teaches no speed, and counts as a failure
		b.addFailure(c, s, "errors")
	case Reset, ConnectFailed:
		if b.failureWeight(c, s) < 1 {
			if outcome == Reset {
				b.addFailure(c, s, "connections")
			} else { // it accepts no more connections; ejecting it would leave more to the others
				b.avoidServer(a)
			}
			return
		}
		for i := range b.classes { // no class is served over broken connections
			b.addFailureScore(&b.classes[i], s, 1, "connections")
		}
	}
}

// avoidServer avoids a server without capacity for a while. Attempts in flight together fail together: they count once.
func (b *Balancer) avoidServer(a *attempt) {
	if b.cfg.Gates {
		return // the gate has said for how long, and for which class
	}
	if s := a.server; a.sent >= s.avoidUntil {
		s.avoidUntil = b.now + seconds(avoidServiceTimes*b.serviceTime.Value)
	}
}

func (c *class) silenceTimeout() time.Duration {
	return max(seconds(silenceLatencies*c.typicalLatency.Value), c.Aim/silenceTargetParts)
}

// hedge sends a second copy of a silent request that may still be in time, as servers may lose single requests. Copies
// do not add to an overload: the silence timeout is then too long, pairs are overloaded and the retry budget is spent.
func (b *Balancer) hedge(r *request) {
	if r.class.Effect != SideEffect && r.pending == 1 && r.awaitedProbe == nil &&
		b.now+seconds(r.class.typicalLatency.Value) < r.targetTime {
		r.draws = 0
		b.dispatch(r)
	}
}

func (b *Balancer) onTimer(ev *Event) {
	switch token := ev.Token; token >> 56 << 56 {
	case timerSubscribe:
		b.emit(Action{Kind: ActSubscribe})
	case timerProbe:
		b.resumeAfterProbe(func(r *request) bool { return r.id == RequestID(token) })
	case timerSilence:
		index := int(token >> 32 & 0xff)
		if r := b.requests[RequestID(token)]; r != nil && index < len(r.attempts) && r.attempts[index].pending {
			if r.inFlightWeight == 0 || ev.AgentDelay > r.class.silenceTimeout()/4 { // body not sent, or answers still unread
				b.emit(Action{Kind: ActTimer, Token: token, Wait: r.class.silenceTimeout()})
				return
			}
			a, answering := &r.attempts[index], r.attempts[index].server.answeredAt > r.attempts[index].sent
			score := a.failureScore
			if !answering { // else the request is slow, or its connection is dead
				score = min(score+0.5*b.failureWeight(r.class, a.server), 1)
			}
			b.addSilence(r.class, a, score)
			if a.silenceChecks == 0 {
				a.server.overdue++
			}
			if a.silenceChecks++; a.failureScore < 1 && (!answering || a.silenceChecks < 2) {
				b.emit(Action{Kind: ActTimer, Token: token, Wait: r.class.silenceTimeout()})
			}
			if a.silenceChecks > 1 || a.presumedLost() || b.cfg.ProbeFee > 0 && a.server.reportedAt <= a.sent {
				b.hedge(r)
			}
		}
	}
}
