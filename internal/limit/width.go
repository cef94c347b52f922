package limit

import "math"

const (
	settled  = 30     // reports whose mean settles a width
	drift    = 0.0005 // weight of each report after that
	outliers = 4      // times what is known that a report may tell at most
)

// Width learns how many requests a server serves at once when it is just busy, from what busy servers report. The zero
// value knows nothing.
//
// By Little's law a server's throughput times its response time is what it has in work, and where responses take as long as
// the queue lets them, what waits is counted as well. Danger: a width that follows such reports takes a jam for room, sends
// more, and is told of more. So the first reports settle it, and later ones, which are of machines that did not change,
// hardly move it. Were the first alone to settle it, an agent that gets few reports would go by chance.
type Width struct {
	Told    float64 // so many, as somebody knows; 0: to be learnt
	mean    float64
	reports int
}

// Report takes in a report of a server that holds more than one request: how many it serves in a second, how long each
// takes in seconds, and how many it holds, which it can't have in work more of. Others say nothing of a width.
func (w *Width) Report(rate, took, held float64) {
	inWork := rate * took
	if held < 2 || !(inWork > 0) {
		return
	}
	w.reports++
	weight := drift
	if w.reports <= settled {
		weight = 1 / float64(w.reports)
	}
	w.mean += weight * (min(inWork, held, outliers*(w.mean+1)) - w.mean)
}

// Known says whether any report has told of it.
func (w *Width) Known() bool { return w.reports > 0 }

// Mean is how many requests a busy server has in work, 0 while nothing is known.
func (w *Width) Mean() float64 { return w.mean }

// Requests is a whole number, at least 1. Danger: were it learnt for each kind of machine, one that is sent little would
// look narrow, so crowded, and be sent less.
func (w *Width) Requests() float64 {
	if w.Told > 0 {
		return w.Told
	}
	return max(1, math.Floor(w.mean+0.5))
}
