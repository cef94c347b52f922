// Package limit learns and enforces limits on one caller's requests: how many it may have in flight
// at a server that reports no load, how many requests to shed under overload, and how many retries
// it may send. It does no I/O and has no clock: the caller passes the time.
package limit

import "time"

const (
	initialLimit    = 6.0   // requests: learning must not hold back a lightly used server
	minLimit        = 1.0   // requests: without any, a server that is fast again would go unnoticed
	maxLimit        = 256.0 // requests: keeps an idle server's limit from growing without bound
	maxCostRatio    = 10.0  // largest ratio of the costs of two requests
	minLatencyRatio = 1e-3  // of the target latency: faster answers count as this fast
	slowStartStep   = 0.5   // least increase for each answer in time, until the first congestion
	decreaseFactor  = 0.8   // factor on the limit at congestion
	congestedRatio  = 0.75  // of the target latency: a slower answer is a sign of congestion
)

// ConcurrencyLimit learns how many requests may be in flight at one server. The zero value is for
// an unknown server.
//
// It uses the additive increase and multiplicative decrease of Chiu and Jain ("Analysis of the
// Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), with a
// slow start as in RFC 5681, section 3.1. Callers that share a server without communicating
// converge to fair shares of what it can serve in time. The sign of congestion is an answer that
// took much of its target latency, or a missing answer.
type ConcurrencyLimit struct {
	limit         float64 // 0 for initialLimit
	pastSlowStart bool    // the first congestion was seen
	loweredAt     time.Duration
}

// Current returns the limit, which is at least 1.
func (c *ConcurrencyLimit) Current() float64 {
	if c.limit == 0 {
		return initialLimit
	}
	return c.limit
}

// Known says whether the limit has been learned from any answer or congestion.
func (c *ConcurrencyLimit) Known() bool { return c.limit > 0 }

// OnAnswer adjusts the limit to an answer. It takes the latency over the target latency, the number
// of requests in flight including this one, and the times at which the request was sent and
// answered.
func (c *ConcurrencyLimit) OnAnswer(latencyRatio float64, inFlight int, sent, now time.Duration) {
	if latencyRatio > congestedRatio {
		c.OnCongestion(sent, now)
		return
	}
	limit := c.Current()
	if c.limit = limit; float64(inFlight) < limit/2 {
		return // an unused limit would grow by answers that say nothing about it
	}
	if c.pastSlowStart {
		limit += 1 / limit
	} else {
		// With round-robin scheduling in the server, latency grows in proportion to the requests in
		// flight. Steps of slowStartStep alone would refuse requests for seconds although a fast
		// server has capacity.
		limit = max(limit+slowStartStep, float64(inFlight)*congestedRatio/(maxCostRatio*max(latencyRatio, minLatencyRatio)))
	}
	c.limit = min(limit, maxLimit)
}

// OnCongestion lowers the limit for a request that was sent at the given time. Requests that were
// in flight together are late together and count once: only one that was sent after the limit was
// lowered shows that it is still too high.
func (c *ConcurrencyLimit) OnCongestion(sent, now time.Duration) {
	if c.pastSlowStart && sent < c.loweredAt {
		return
	}
	c.limit, c.pastSlowStart, c.loweredAt = max(c.Current()*decreaseFactor, minLimit), true, now
}
