package policy

import (
	"cmp"
	"math"
	"slices"

	"example.org/micaline/internal/weighted"
)

const (
	singleDrawShare   = 0.1 // share of requests sent to one server drawn by weight, without a choice: prevents herding
	agentsPerServer   = 15  // agents that share a server: fewer spread load unevenly, more learn too little of each server
	requestsPerServer = 10  // requests in retryWindow for each server of a pool: busier agents use larger pools
	minPoolSize       = 6   // servers in a pool: with two ejected the pairs still differ
	coldLoadShare     = 0.5 // part of OverloadFactor that a cold server is sent; the rest is for peaks
)

// eligible applies placement: whether the class may ever be sent to the server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) && (c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// rebuildPool fills a pool with the first eligible servers on this agent's ring, and the sums that draws use.
func (b *Balancer) rebuildPool(c *class, p *pool) {
	p.epoch, p.validUntil, p.servers = b.epoch, math.MaxInt64, p.servers[:0]
	// Large pools use up connection tables and teach an agent little of each server; small pools become overloaded.
	size := max(minPoolSize, agentsPerServer*len(b.ring)/b.cfg.Agents,
		b.retryBudget.RequestsSince(b.now-seconds(retryWindow))/requestsPerServer)
	if b.cfg.Gates {
		size = len(b.ring) // gates keep few connections to servers, however many agents there are
	}
	for _, s := range b.ring {
		until := s.health[c.index].EjectedUntil
		switch {
		case s.State != Ready || !c.eligible(s) || p == &c.localPool && s.Zone != b.cfg.Zone:
		case until > b.now:
			p.validUntil = min(p.validUntil, until)
		case len(p.servers) < size:
			p.servers = append(p.servers, s)
		}
	}
	// Neighbors have similar speeds: ties in a pair are broken evenly, which would ignore a difference in speed.
	slices.SortStableFunc(p.servers, func(x, y *server) int { return cmp.Compare(x.speed.BaseSpeed, y.speed.BaseSpeed) })
	var warmSum, coldSum float64
	p.weightSums, p.admitChance, p.weights = p.weightSums[:0], p.admitChance[:0], p.weights[:0]
	for _, s := range p.servers {
		w := b.warmFraction(s)
		s.poolWeight, warmSum = b.drawWeight(s), warmSum+b.warmSpeed(s)
		p.weights, p.weightSums = append(p.weights, s.poolWeight), p.weightSums.Append(s.poolWeight)
		if w < 1 {
			coldSum += s.poolWeight
			p.validUntil = min(p.validUntil, b.now+b.cfg.WarmAfter/64)
		}
	}
	weightSum := p.weightSums.RangeSum(0, len(p.servers))
	p.peakSpeed = max(warmSum, p.peakSpeed*0.99)
	p.pairSums = weighted.PairWeights(p.weights, p.pairSums[:0])
	for j, s := range p.servers {
		admitChance := 1.0
		if w := b.warmFraction(s); w < 1 && !b.cfg.Gates {
			// All agents together could overload a cold server. Even if it wins each of its pairs, and what is not
			// admitted is drawn again, it gets no more than its current share of this agent's traffic.
			trafficShare := (singleDrawShare*s.poolWeight + (1-singleDrawShare)*p.pairSums.RangeSum(j-1, j+1)) / weightSum
			retryFactor := 1 + (maxDraws-1)*coldSum/weightSum
			admitChance = min(1, coldLoadShare*b.cfg.OverloadFactor*w*b.warmSpeed(s)/p.peakSpeed/(trafficShare*retryFactor))
		}
		p.admitChance = append(p.admitChance, admitChance)
	}
}

func (b *Balancer) localOnly(r *request) bool {
	return b.cfg.PreferLocalZone && r.draws < maxLocalDraws
}

// drawCandidates draws a single server (candidateB is nil) or a pair. Both are nil when no server is ready.
func (b *Balancer) drawCandidates(r *request) (candidateA, candidateB *server) {
	requestClass, p := r.class, &r.class.pool
	if b.localOnly(r) {
		p = &requestClass.localPool
	}
	if p.epoch != b.epoch || b.now >= p.validUntil {
		b.rebuildPool(requestClass, p)
	}
	if p == &requestClass.localPool && len(p.servers) == 0 {
		r.draws = maxLocalDraws
		return b.drawCandidates(r)
	}
	switch n := len(p.servers); {
	case r.dedupTimeLeft(b.now) > 0:
		return b.drawKeyHolders(r)
	case n == 0:
		return nil, nil
	case n == 1 || b.rng.Float64() < singleDrawShare:
		return p.servers[p.weightSums.Pick(b.rng.Float64())], nil
	}
	j := p.pairSums.Pick(b.rng.Float64())
	return p.servers[j], p.servers[j+1]
}

// drawKeyHolders draws a pair that drops repeats of a request that may have run: few pairs of the pool do.
func (b *Balancer) drawKeyHolders(r *request) (candidateA, candidateB *server) {
	holders, weightSums := []*server(nil), weighted.PrefixSums(nil)
	for _, s := range r.class.pool.servers {
		if b.maySend(r, s) {
			holders, weightSums = append(holders, s), weightSums.Append(s.poolWeight)
		}
	}
	if len(holders) == 0 {
		return nil, nil
	}
	j := weightSums.Pick(b.rng.Float64())
	return holders[j], append(holders, nil)[j+1]
}

// orderByWait returns the server with the shorter expected wait, outstanding over weight, first; ties at random.
func (b *Balancer) orderByWait(candidateA, candidateB *server) (first, second *server) {
	if candidateB == nil {
		return candidateA, nil
	}
	waitA, waitB := b.outstanding(candidateA)*candidateB.poolWeight, b.outstanding(candidateB)*candidateA.poolWeight
	if waitA < waitB || waitA == waitB && b.rng.IntN(2) == 0 {
		return candidateA, candidateB
	}
	return candidateB, candidateA
}
