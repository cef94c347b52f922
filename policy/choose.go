package policy

import (
	"math"
	"slices"

	"example.org/micaline/internal/limit"
)

const (
	maxDraws          = 3    // draws before a request is refused,
	maxLocalDraws     = 2    // after this many in the agent's own zone with PreferLocalZone
	queueFactor       = 2.2  // waiting requests over the root of parallelism: with more, servers become congested,
	queueFactorAlone  = 3.0  // the same for a lone agent, which knows of all requests
	reportHalfLife    = 6.0  // service times in which a report loses half its weight: queues change as fast
	minProbeMissRate  = 0.01 // lowest miss rate that probes are weighed by: misses show only after congestion has begun
	capacityFoundLoad = 0.4  // load signal of a request that found capacity: one that found none outweighs five
)

// outstanding estimates the requests at a server: its report, decaying to the mean, or the agents' attempts if higher.
func (b *Balancer) outstanding(s *server) float64 {
	outstanding, own := b.parallelism.Mean(), float64(s.inFlight)+s.peerInFlight
	if s.load.Known && s.load.InFlight >= 0 {
		// Lost attempts stay in flight until they time out, and would make their server look busy. A fresh report is
		// trusted about overdue attempts, but not about those that are on their way.
		reportWeight := math.Exp2(-(b.now - s.reportedAt).Seconds() / (reportHalfLife * b.serviceSeconds(s)))
		outstanding += (s.load.InFlight - outstanding + float64(s.sentSinceReport)) * reportWeight
		own -= reportWeight * float64(s.overdue)
	}
	return max(outstanding, own)
}

// serviceSeconds is how long a server takes for a request of typical size.
func (b *Balancer) serviceSeconds(s *server) float64 {
	if s.load.ServiceTime > 0 {
		return b.fleet.Kind(s.Kind).ServiceTime.Value * s.speed.Slowdown
	}
	return b.serviceTime.Value / (1 + b.queueRatio.Value) * s.speed.Slowdown
}

// overloaded says that a request would be late at the server, or add to its congestion. A server whose estimate shows
// a free slot is not overloaded: without new requests an old report would keep it unused for good.
func (b *Balancer) overloaded(r *request, s *server) bool {
	outstanding, parallelism := b.outstanding(s), b.parallelism.Slots()
	switch {
	case s.probePending || b.now < max(s.avoidUntil, s.health[r.class.index].EjectedUntil): // unanswered, full or ejected
		return true
	case b.cfg.Gates: // gates know their capacity, and queue requests by worth
		return b.now < s.health[r.class.index].FullUntil || b.localOnly(r) && (outstanding >= parallelism || r.hasTried(s))
	case b.cfg.Reports == ReportsOff:
		return outstanding >= b.concurrencyLimit(s)
	case !s.load.Known || outstanding < parallelism:
		return false
	}
	wait, timeLeft := (outstanding+1)/parallelism*b.serviceSeconds(s), (r.targetTime - b.now).Seconds()
	return b.reportsLoad(s) && outstanding >= parallelism+b.queueFactor*math.Sqrt(parallelism) || wait > timeLeft
}

// hasTried says whether the server has had the request: a server that failed it once is likely to fail it again.
func (r *request) hasTried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// concurrencyLimit limits the attempts of all agents at a server to the mean of their limits. By its own alone, an
// agent that sends little, and so learns late, would yield. An unknown limit is the servers' mean, at first infinite.
func (b *Balancer) concurrencyLimit(s *server) float64 {
	concurrency, own := s.concurrency.Current(), float64(s.inFlight)+1
	if !s.concurrency.Known() {
		concurrency = max(concurrency, b.concurrency.Value)
	}
	if s.peerInFlight > 0 {
		return (own*concurrency + s.peerInFlight*s.peerLimit) / (own + s.peerInFlight)
	}
	return concurrency
}

// dispatch sends a request, or lets it wait for a probe. It returns false if there is no capacity.
func (b *Balancer) dispatch(r *request) bool {
	drawLimit := maxDraws
	if b.cfg.PreferLocalZone {
		drawLimit += maxLocalDraws
	}
	for ; r.draws < drawLimit; r.draws++ {
		if r.candidateA, r.candidateB = b.drawCandidates(r); r.candidateA == nil {
			return false
		}
		if r.probesAwaited = 0; b.sendToCandidate(r) {
			return true
		}
	}
	return false
}

// sendToCandidate sends to the better of the drawn pair, or to the other if that one is overloaded or cold.
func (b *Balancer) sendToCandidate(r *request) bool {
	first, second := b.orderByWait(r.candidateA, r.candidateB)
	allOverloaded := true
	for _, s := range [2]*server{first, second} {
		if s == nil || !b.awaitProbe(r, s) && b.overloaded(r, s) {
			continue
		}
		allOverloaded = false
		if r.awaitedProbe != nil || b.send(r, s) {
			if b.cfg.Reports == ReportsOff {
				b.updateShedding(capacityFoundLoad) // else only requests without capacity would count
			}
			return true
		}
	}
	// A pair that is avoided after a rejection is no sign of overload: if each draw counted it, refusals would go on.
	if allOverloaded && b.now >= first.avoidUntil {
		load := 1.0
		if r.draws < maxDraws-1 { // another pair may have capacity; among many agents it is soon used up
			load = limit.ShedSetpoint + (1-limit.ShedSetpoint)*b.peerUncertainty
		}
		b.updateShedding(load)
	}
	return false
}

// awaitProbe probes a request's server and lets the request wait for it. If probes have a fee, the agents together pay
// more than they save, so requests are probed for only in proportion to those that are being missed.
func (b *Balancer) awaitProbe(r *request, s *server) bool {
	probeValue := max(b.missRate, minProbeMissRate, s.health[r.class.index].FailureScore) // failed servers are on trial
	if !b.cfg.Probes || b.cfg.Reports == ReportsOff || b.now >= r.deadline || r.probesAwaited > 1 ||
		s.load.Known && s.reportedAt+2*b.cfg.Tick >= b.now || b.cfg.ProbeFee*b.rng.Float64() > probeValue {
		return false // waiting for probes past the deadline loses the request
	}
	r.awaitedProbe, r.probesAwaited = s, r.probesAwaited+1
	b.awaitingProbe = append(b.awaitingProbe, r)
	if !s.probePending {
		s.probePending = true
		b.emit(Action{Kind: ActProbe, Server: s.ID})
	}
	b.emit(Action{Kind: ActTimer, Token: timerProbe | uint64(r.id), Wait: min(6*b.cfg.Tick, r.deadline-b.now)})
	return true
}

func (b *Balancer) onProbeResult(ev *Event) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if s.probePending = false; ev.Outcome == OK {
		b.applyReport(s, ev.Load, ev.AgentDelay)
	}
	b.resumeAfterProbe(func(r *request) bool { return r.awaitedProbe == s })
}

func (b *Balancer) resumeAfterProbe(due func(*request) bool) {
	for _, r := range slices.Clone(b.awaitingProbe) {
		if !due(r) {
			continue
		}
		b.awaitingProbe = slices.DeleteFunc(b.awaitingProbe, func(o *request) bool { return o == r })
		if r.candidateA.probePending && (r.candidateB == nil || r.candidateB.probePending) {
			r.awaitedProbe.probePending = false // if no probe is answered, all requests would be refused
		}
		if r.awaitedProbe = nil; r.ended || b.sendToCandidate(r) {
			continue
		}
		if r.draws++; !b.dispatch(r) {
			b.finish(r, true)
		}
	}
}
