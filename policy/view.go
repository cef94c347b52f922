package policy

import "time"

// ServerView is what a Balancer knows of a server, for display. No decision depends on it.
type ServerView struct {
	ServerEntry
	Speed            float64       // learned, relative to the Balancer's other servers
	WarmFraction     float64       // share of its capacity that it has by now while it warms up, from 0 to 1
	InFlight         int           // own attempts in flight
	Overdue          int           // of these, attempts without an answer for longer than the silence timeout
	Outstanding      float64       // estimated number of requests at the server
	ConcurrencyLimit float64       // requests that it serves in parallel, estimated; without reports, limit on attempts
	ReportAge        time.Duration // since its last report; negative if there is none
	AvoidedFor       time.Duration // how long it is still avoided for lack of capacity
	Ejected          []Ejection    // by class, where it is ejected now
}

// Ejection is a class that a server is ejected from.
type Ejection struct {
	Class       int
	Remaining   time.Duration // time until it ends
	Consecutive int           // ejections in a row
}

// View returns what the Balancer knows of each server at a time, in the order of its ring.
func (b *Balancer) View(now time.Duration) []ServerView {
	b.now = max(now, b.now)
	views := make([]ServerView, 0, len(b.ring))
	for _, s := range b.ring {
		v := ServerView{
			ServerEntry: s.ServerEntry, Speed: b.warmSpeed(s), WarmFraction: b.warmFraction(s),
			InFlight: s.inFlight, Overdue: s.overdue, Outstanding: b.outstanding(s),
			ConcurrencyLimit: b.parallelism.Slots(), ReportAge: -1, AvoidedFor: max(0, s.avoidUntil-b.now),
		}
		if b.cfg.Reports == ReportsOff {
			v.ConcurrencyLimit = b.concurrencyLimit(s)
		}
		if s.load.Known {
			v.ReportAge = b.now - s.reportedAt
		}
		for c, h := range s.health {
			if h.IsEjected(b.now) {
				v.Ejected = append(v.Ejected, Ejection{c, h.EjectedUntil - b.now, h.Ejections})
			}
		}
		views = append(views, v)
	}
	return views
}

// EachServerLoad calls f for each server with what other agents need to know of it: this agent's
// attempts in flight and the limit that it has learned.
func (b *Balancer) EachServerLoad(f func(e *ServerEntry, ownAttempts int, limit float64)) {
	for _, s := range b.ring {
		f(&s.ServerEntry, s.inFlight, s.concurrency.Current())
	}
}

// Pressure returns the share of ordinary requests that the Balancer currently sheds, which may be
// above 1: tenants within their share and requests of high worth are shed less.
func (b *Balancer) Pressure() float64 { return b.shedder.ShedRatio() }

var outcomeNames = [...]string{
	OK: "ok", Error: "error", Full: "rejected", Timeout: "timeout", ConnectFailed: "connect failed", Reset: "reset",
	Cancelled: "cancelled", NotSent: "not sent",
}

func (o Outcome) String() string { return outcomeNames[o] }

// RetryBudget returns how many retries were sent in the window of the retry budget, and how many it
// allows there.
func (b *Balancer) RetryBudget(now time.Duration) (spent int, allowed float64) {
	return b.retryBudget.Usage(max(b.now, now), b.cfg.ExtraWindow, b.cfg.ExtraFloor, b.cfg.ExtraRatio)
}
