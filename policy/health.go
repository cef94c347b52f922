package policy

import "example.org/micaline/internal/outlier"

const failureScoreSoonAfterAnswer = 0.34 // three in a row eject

// addFailure counts an error or broken connection, unless the server answers most of what it is sent.
func (b *Balancer) addFailure(c *class, s *server, reason string) {
	if failureWeight := b.failureWeight(c, s); failureWeight == 1 || s.health[c.index].Failing() {
		b.addFailureScore(c, s, failureWeight, reason)
	}
}

// failureWeight is the score of one failure. A busy agent sees single failures all the time: ejecting for each, even
// between answers, would remove half of the healthy servers and overload the rest.
func (b *Balancer) failureWeight(c *class, s *server) float64 {
	if s.answeredAt > 0 && b.now-s.answeredAt < c.Aim {
		return failureScoreSoonAfterAnswer
	}
	return 1
}

// addSilence raises the failure score for an attempt's silence to the given value.
func (b *Balancer) addSilence(c *class, a *attempt, score float64) {
	if b.cfg.Reports == ReportsOff {
		a.server.concurrency.OnCongestion(a.sent, b.now)
	}
	b.addFailureScore(c, a.server, score-a.failureScore, "silence")
	a.failureScore = score
}

// addFailureScore counts failures, and ejects a server for the class alone: it may serve the others well.
func (b *Balancer) addFailureScore(c *class, s *server, score float64, reason string) {
	h := &s.health[c.index]
	if !h.AddFailure(score, b.now) || s.State != Ready {
		return
	}
	ejected, total := 1, 0
	for _, o := range b.ring {
		if o.State == Ready && c.eligible(o) {
			total++
			if o.health[c.index].IsEjected(b.now) {
				ejected++
			}
		}
	}
	if outlier.TooManyEjected(ejected, total) {
		return
	}
	duration := h.Eject(b.now, c.Aim, b.rng.Float64())
	b.epoch++
	b.log("server %d ejected for class %d for %.1f s: %s", s.ID, c.index, duration, reason)
}
