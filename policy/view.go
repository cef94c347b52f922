package policy

import "time"

// ServerView is what a Balancer makes of a server, for people to read. Nothing is decided by it.
type ServerView struct {
	ServerEntry
	Speed            float64       // learnt, against other servers of this Balancer
	WarmFraction     float64       // part of its capacity that it has by now, from 0 to 1
	InFlight         int           // own attempts out
	Overdue          int           // of these, those that have been silent for longer than usual
	Outstanding      float64       // requests that it holds, as far as is known
	ConcurrencyLimit float64       // requests that it serves at once, as far as is known
	ReportAge        time.Duration // since its last report; negative if there is none
	AvoidedFor       time.Duration // that it is still passed by for want of room
	Ejected          []Ejection    // by class, where it is ejected now
}

// Ejection is one class that a server is ejected from.
type Ejection struct {
	Class       int
	Remaining   time.Duration // still
	Consecutive int           // in a row
}

// View returns what the Balancer makes of each server at a time, in the order of its ring.
func (b *Balancer) View(now time.Duration) []ServerView {
	b.now = max(now, b.now)
	views := make([]ServerView, 0, len(b.ring))
	for _, s := range b.ring {
		v := ServerView{
			ServerEntry: s.ServerEntry, Speed: b.speed(s), WarmFraction: b.warmth(s), InFlight: s.inFlight, Overdue: s.silent,
			Outstanding: b.held(s), ConcurrencyLimit: b.width.Requests(), ReportAge: -1, AvoidedFor: max(0, s.full-b.now),
		}
		if b.set.Reports == ReportsOff {
			v.ConcurrencyLimit = b.limit(s)
		}
		if s.load.Known {
			v.ReportAge = b.now - s.loadAt
		}
		for c, h := range s.health {
			if h.Out(b.now) {
				v.Ejected = append(v.Ejected, Ejection{c, h.Until - b.now, h.Times})
			}
		}
		views = append(views, v)
	}
	return views
}

// Shares calls a function for each server with what there is to tell other agents of it: the attempts of ours that are
// out, and the limit that we have learnt.
func (b *Balancer) EachServerLoad(f func(e *ServerEntry, out int, limit float64)) {
	for _, s := range b.ring {
		f(&s.ServerEntry, s.inFlight, s.room.Limit())
	}
}

// Pressure is the share of the usual requests that the Balancer sheds at present, above 1 where more asks than that.
func (b *Balancer) Pressure() float64 { return b.pressure.Shed() }

var outcomeNames = [...]string{
	OK: "ok", Error: "error", Full: "rejected", Timeout: "timeout", ConnectFailed: "connect failed", Reset: "reset",
	Cancelled: "cancelled", NotSent: "not sent",
}

func (o Outcome) String() string { return outcomeNames[o] }

// Budget is how many attempts beyond each request's first were made in the window of the retry budget, and how many it allows
// in it.
func (b *Balancer) RetryBudget(now time.Duration) (spent int, allowed float64) {
	return b.budget.Spent(max(b.now, now), b.set.ExtraWindow, b.set.ExtraFloor, b.set.ExtraRatio)
}
