package site

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/micaline/policy"
)

// Full is the part of their room up to which servers answer in time: beyond, what waits grows without end.
const MaxUtilization = 0.9

// Demand is what has been asked of late, for a Plan and a Door.
type Demand struct {
	Classes           []ClassDemand
	AccountsOverShare []AccountDemand // accounts that ask for more than their share
	RetryShare        float64         // share of the work that clients' marked retries ask for
}

// ClassDemand is what is asked of one class.
type ClassDemand struct {
	Name              string
	Effect            policy.Effect
	Worth             float64
	SecondsPerRequest float64 // of one request, in seconds of a server's
	WorkShare         float64 // of the work of all
}

// AccountDemand is what an account asks for beyond its portion.
type AccountDemand struct {
	Name        string
	ExcessShare float64 // share of the work of all
}

// Plan says what the loss of a site would mean.
type LossImpact struct {
	Site        string
	State       State
	LoadShare   float64     // of the work, that it carries
	Utilization float64     // part of their room that the others would be used to; infinite where there is none
	Shifts      []LoadShift // where its work would go
	ShedShare   float64     // share of the work that would be refused
	Shed        []ShedItem
}

// Move is a part of the work that would go to a site.
type LoadShift struct {
	Site        string
	Share       float64 // of the work of all
	Utilization float64 // part of its room that it would be used to
}

// Refused is a part of the work that would be refused, in the order in which it would be.
type ShedItem struct {
	Name         string
	Share        float64 // of the work of all that it asks for
	ShedFraction float64 // of this that would be refused
}

// plan is a Plan without what is refused. Where a site is no longer used, what it carried before counts.
func (m *Monitor) plan(lost int) LossImpact {
	p := LossImpact{Site: m.set.Names[lost], State: m.sites[lost].state, Utilization: math.Inf(1)}
	held, room, own := 0.0, 0.0, 0.0
	for i := range m.sites {
		u, r := m.sustains(i)
		if held += u; i == lost {
			own = u
		} else if s := &m.sites[i]; s.state != AgentIsolated {
			room += r
		}
	}
	if s := &m.sites[lost]; !s.open() && s.state != Recovering {
		// What it carried has gone to the others, or been refused.
		own, held = s.lastUse, max(held, s.lastUse/max(s.share, 1e-9))
	}
	if held > 0 {
		p.LoadShare = own / held
	}
	if room <= 0 {
		if p.ShedShare = 1; held == 0 {
			p.ShedShare = 0
		}
		return p
	}
	p.Utilization = held / room
	p.ShedShare = max(0, 1-MaxUtilization/max(p.Utilization, 1e-9))
	// It goes where there is room: the decision module joins the shorter wait, which evens out the parts of their room that
	// servers are used to.
	carried := held * (1 - p.ShedShare)
	for i := range m.sites {
		u, r := m.sustains(i)
		if i == lost || r == 0 || m.sites[i].state == AgentIsolated || held == 0 {
			continue
		}
		p.Shifts = append(p.Shifts, LoadShift{m.set.Names[i], max(0, carried*r/room-u) / held, carried / room})
	}
	return p
}

// Plan says what the loss of each site would mean, or means.
func (m *Monitor) LossImpacts(now time.Duration, d *Demand) []LossImpact {
	m.now = max(now, m.now)
	var plans []LossImpact
	for i := range m.sites {
		p := m.plan(i)
		p.Shed = d.ShedOrder()
		d.cut(p.Shed, p.ShedShare)
		plans = append(plans, p)
	}
	return plans
}

// Order is what is refused where there is not room for all, the first first: second tries of clients, which ask for what has
// been refused once; what accounts ask for beyond their portions; then classes, the least worth for a second's work first, those with
// effects that must not happen twice last of all.
func (d *Demand) ShedOrder() []ShedItem {
	order := []ShedItem{{Name: "retries", Share: d.RetryShare}}
	for _, a := range d.AccountsOverShare {
		order = append(order, ShedItem{Name: "account " + a.Name + " beyond its share", Share: a.ExcessShare})
	}
	for _, c := range d.byClass() {
		order = append(order, ShedItem{Name: "class " + d.Classes[c].Name, Share: d.Classes[c].WorkShare})
	}
	return order
}

// byClass are the positions of classes in the order in which they are refused.
func (d *Demand) byClass() []int {
	at := make([]int, len(d.Classes))
	for i := range at {
		at[i] = i
	}
	slices.SortStableFunc(at, func(x, y int) int {
		a, b := &d.Classes[x], &d.Classes[y]
		last := func(c *ClassDemand) int {
			if c.Effect == policy.SideEffect {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(last(a), last(b)), cmp.Compare(a.Worth/max(a.SecondsPerRequest, 1e-6), b.Worth/max(b.SecondsPerRequest, 1e-6)))
	})
	return at
}

// cut fills in which part of each is refused so that the sum is a share of all.
func (d *Demand) cut(order []ShedItem, share float64) {
	for i := range order {
		r := &order[i]
		if r.Share <= 0 {
			continue
		}
		// What was refused before as a retry, or for its account, is no longer asked for by its class.
		r.ShedFraction = min(1, max(0, share/r.Share))
		share -= r.ShedFraction * r.Share
	}
}

// View is a site for people to read.
type Status struct {
	Name               string
	State              State
	Since              time.Duration
	Servers            int           // ready
	Admitted           int           // of these, let in
	InFlight, Capacity float64       // in work at these, and what they serve at once
	RetryAt            time.Duration // when a lost site is asked again; 0: it is not lost
	EvacuatedUntil     time.Duration // taken out by hand until then; 0: it is not
	RecentLosses       int           // that it was lost of late
	Pacer              *PacerStatus  // what its pacer says, if it is followed
}

// View returns the sites and the latest changes, the newest last.
func (m *Monitor) Snapshot() ([]Status, []Transition) {
	var views []Status
	for i := range m.sites {
		s := &m.sites[i]
		v := Status{Name: m.set.Names[i], State: s.state, Since: s.since, Servers: len(s.servers), RecentLosses: s.times, Pacer: m.pacer(s)}
		for _, o := range s.servers {
			if o.in {
				v.Admitted++
			}
		}
		v.InFlight, v.Capacity = m.carries(i)
		switch s.state {
		case Lost:
			v.RetryAt = s.retry
		case Evacuated:
			v.EvacuatedUntil = s.until
		}
		views = append(views, v)
	}
	return views, m.history
}

// Withdrawn is the share of the sites of which no server, or not every one, is used.
func (m *Monitor) WithdrawnShare() float64 {
	n := 0
	for i := range m.sites {
		if !m.sites[i].open() {
			n++
		}
	}
	return float64(n) / float64(len(m.sites))
}
