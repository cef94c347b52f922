package policy

// He and Down's line variant: a class's line, and what is drawn from it. docs/design.md lists the exceptions.

import (
	"cmp"
	"math"
	"slices"

	"example.org/micaline/internal/weighted"
)

const (
	dedicated       = 0.1 // p: a little blind traffic keeps agents from moving as one
	agentsPerServer = 15  // agents that share a server: fewer spread unevenly, more know it worse
	requestsEach    = 10  // requests in retrySpan for each server of the line: busier agents use more servers
	shortestLine    = 6   // servers on a line at least: two may be out and pairs still differ
	coldMargin      = 0.5 // of overloadFactor that a cold server is sent; the rest is for peaks
)

// eligible is placement: whether a class may ever go to a server.
func (c *class) eligible(s *server) bool {
	return (c.Zones == nil || slices.Contains(c.Zones, s.Zone)) &&
		(c.Kinds == nil || slices.Contains(c.Kinds, s.Kind))
}

// rebuild makes a class's line, the first open to it on this agent's ring, and the sums that its draws use.
func (b *Balancer) rebuild(c *class, l *line) {
	l.epoch, l.next, l.servers = b.epoch, math.MaxInt64, l.servers[:0]
	// Danger: agents x servers connections fill all tables; many teach little, few are overloaded.
	size := max(shortestLine, agentsPerServer*len(b.ring)/b.set.Agents,
		b.budget.Taken(b.now-seconds(retrySpan))/requestsEach)
	if b.set.Gates {
		size = len(b.ring) // gates keep few connections to servers, however many agents there are
	}
	for _, s := range b.ring {
		until := s.health[c.index].Until
		switch {
		case s.State != Ready || !c.eligible(s) || l == &c.home && s.Zone != b.set.Zone:
		case until > b.now:
			l.next = min(l.next, until)
		case len(l.servers) < size:
			l.servers = append(l.servers, s)
		}
	}
	// Neighbours are of like size: ties are broken evenly and would blur unlike speeds.
	slices.SortStableFunc(l.servers, func(x, y *server) int { return cmp.Compare(x.pace.Base, y.pace.Base) })
	var full, cold float64
	l.speeds, l.pass, l.mu = l.speeds[:0], l.pass[:0], l.mu[:0]
	for _, s := range l.servers {
		w := b.warmth(s)
		s.built, full = b.weight(s), full+b.speed(s)
		l.mu, l.speeds = append(l.mu, s.built), l.speeds.Add(s.built)
		if w < 1 {
			cold += s.built
			l.next = min(l.next, b.now+b.set.WarmAfter/64)
		}
	}
	sum := l.speeds.Span(0, len(l.servers))
	l.usualSum = max(full, l.usualSum*0.99)
	l.pairs = weighted.Pairs(l.mu, l.pairs[:0])
	for j, s := range l.servers {
		pass := 1.0
		if w := b.warmth(s); w < 1 && !b.set.Gates {
			// Danger: all agents together push it over. Even if it wins each of its pairs, and what it turns
			// away comes again, it gets its present share of this agent's traffic.
			inflow := (dedicated*s.built + (1-dedicated)*l.pairs.Span(j-1, j+1)) / sum
			again := 1 + (draws-1)*cold/sum
			pass = min(1, coldMargin*b.set.OverloadFactor*w*b.speed(s)/l.usualSum/(inflow*again))
		}
		l.pass = append(l.pass, pass)
	}
}

// home says whether a request is drawn from its own zone's servers for now.
func (b *Balancer) home(r *request) bool { return b.set.PreferLocalZone && r.draws < homeDraws }

// draw picks a dedicated server (c is nil), or a pair. Both are nil when no server is ready.
func (b *Balancer) draw(r *request) (a, c *server) {
	of, l := r.class, &r.class.line
	if b.home(r) {
		l = &of.home
	}
	if l.epoch != b.epoch || b.now >= l.next {
		b.rebuild(of, l)
	}
	if l == &of.home && len(l.servers) == 0 {
		r.draws = homeDraws
		return b.draw(r)
	}
	switch n := len(l.servers); {
	case r.remembered(b.now) > 0:
		return b.mates(r)
	case n == 0:
		return nil, nil
	case n == 1 || b.rng.Float64() < dedicated:
		return l.servers[l.speeds.Pick(b.rng.Float64())], nil
	}
	j := l.pairs.Pick(b.rng.Float64())
	return l.servers[j], l.servers[j+1]
}

// mates draws a pair of those who know the key of a request that may have run: most pairs of the line hold none.
func (b *Balancer) mates(r *request) (a, c *server) {
	open, speeds := []*server(nil), weighted.Sums(nil)
	for _, s := range r.class.line.servers {
		if b.may(r, s) {
			open, speeds = append(open, s), speeds.Add(s.built)
		}
	}
	if len(open) == 0 {
		return nil, nil
	}
	j := speeds.Pick(b.rng.Float64())
	return open[j], append(open, nil)[j+1]
}

// shorter puts the shorter expected wait of a pair, in flight over speed, first; ties at random.
func (b *Balancer) shorter(a, c *server) (first, second *server) {
	if c == nil {
		return a, nil
	}
	x, y := b.held(a)*c.built, b.held(c)*a.built
	if x < y || x == y && b.rng.IntN(2) == 0 {
		return a, c
	}
	return c, a
}
