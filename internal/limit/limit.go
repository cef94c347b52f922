// Package limit learns and keeps limits: how many requests one caller may have out at a server that tells nothing of its
// load, and how many attempts it may make beyond each request's first. It does no I/O and has no clock: the caller says
// when things happened.
package limit

import "time"

const (
	start    = 6.0   // requests at first: a lightly used server is not to be held back by learning
	least    = 1.0   // or nothing would ever tell that a server is quick again
	most     = 256.0 // keeps an idle server's limit from growing without bound
	unlike   = 10.0  // times that one request may cost more than another
	quickest = 1e-3  // of the wanted time: what is quicker is as quick
	rise     = 0.5   // at least, for each answer in time, until congestion is met for the first time
	decrease = 0.8   // what remains after congestion
	late     = 0.75  // of the wanted time: an answer that took more says that the server is congested
)

// Concurrency is how many requests may be out at one server. The zero value is that of a server of which nothing is
// known.
//
// It is the additive increase and multiplicative decrease of Chiu and Jain ("Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance in Computer Networks", 1989), with a slow start as in RFC 5681, section 3.1: callers
// that share a server and never talk to one another come to fair parts of what it can do in time. Congestion is an
// answer that used up much of the time it was wanted in, or none.
type Concurrency struct {
	limit   float64 // 0: start
	met     bool    // congestion, so that the slow start is over
	lowered time.Duration
}

// Limit is at least 1.
func (c *Concurrency) Limit() float64 {
	if c.limit == 0 {
		return start
	}
	return c.limit
}

// Known says whether anything has told of it.
func (c *Concurrency) Known() bool { return c.limit > 0 }

// Answered takes in an answer: the part that it took of the time it was wanted in, how many requests were out, itself
// among them, when it was sent, and when it came.
func (c *Concurrency) Answered(part float64, out int, sent, now time.Duration) {
	if part > late {
		c.Congested(sent, now)
		return
	}
	limit := c.Limit()
	if c.limit = limit; float64(out) < limit/2 {
		return // danger: a limit that does not bind would grow by answers that say nothing of it
	}
	if c.met {
		limit += 1 / limit
	} else {
		// A server that takes turns takes so many times longer with so many times more out. Danger: half a request for each
		// answer would refuse for seconds what a quick server has room for.
		limit = max(limit+rise, float64(out)*late/(unlike*max(part, quickest)))
	}
	c.limit = min(limit, most)
}

// Congested lowers the limit for a request sent at a time. Danger: what was out together is late together, and says no
// more than the first of it; only what was sent after the limit was lowered says that it is still too high.
func (c *Concurrency) Congested(sent, now time.Duration) {
	if c.met && sent < c.lowered {
		return
	}
	c.limit, c.met, c.lowered = max(c.Limit()*decrease, least), true, now
}
