package limit

import "math"

const (
	initialReports = 30     // reports whose mean settles the estimate
	driftWeight    = 0.0005 // weight of each later report
	maxGrowth      = 4      // upper bound of a report, as a multiple of the estimate plus 1
)

// Parallelism learns how many requests a server processes at once when it is just busy, from the
// reports of busy servers. The zero value knows nothing.
//
// By Little's law, a server's throughput times its response time is the number of requests in it,
// and where response times include queueing, that counts waiting requests too. An estimate that
// followed such reports would take congestion for capacity, send more, and be told of more.
// Therefore the first reports settle it, and later ones hardly change it, as the machines stay the
// same. The very first alone would not do: an agent that gets few reports would depend on chance.
type Parallelism struct {
	Configured float64 // a known value, or 0 to learn it
	mean       float64
	reports    int
}

// Observe adds a report of a server with at least two requests: requests served per second, service
// time in seconds, and requests in flight, which bound the requests being processed. Other reports
// are ignored.
func (p *Parallelism) Observe(rate, serviceTime, inFlight float64) {
	busy := rate * serviceTime
	if inFlight < 2 || !(busy > 0) {
		return
	}
	p.reports++
	weight := driftWeight
	if p.reports <= initialReports {
		weight = 1 / float64(p.reports)
	}
	p.mean += weight * (min(busy, inFlight, maxGrowth*(p.mean+1)) - p.mean)
}

// Known says whether there was any usable report.
func (p *Parallelism) Known() bool { return p.reports > 0 }

// Mean returns the learned mean of requests in processing, 0 if nothing is known.
func (p *Parallelism) Mean() float64 { return p.mean }

// Slots returns the number of requests that a server processes in parallel, a whole number of at
// least 1 if it is learned. It is one value for all kinds of machine. If it were learned for each
// kind, it would be too low for a kind that is sent little, which would then look overloaded and be
// sent even less.
func (p *Parallelism) Slots() float64 {
	if p.Configured > 0 {
		return p.Configured
	}
	return max(1, math.Floor(p.mean+0.5))
}
