package site

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/micaline/policy"
)

// Full is the part of their room up to which servers answer in time: beyond, what waits grows without end.
const Full = 0.9

// Demand is what has been asked of late, for a Plan and a Door.
type Demand struct {
	Classes []ClassDemand
	Over    []AccountDemand // accounts that ask for more than their share
	Retries float64         // share of the work that clients' marked retries ask for
}

// ClassDemand is what is asked of one class.
type ClassDemand struct {
	Name   string
	Effect policy.Effect
	Worth  float64
	Work   float64 // of one request, in seconds of a server's
	Share  float64 // of the work of all
}

// AccountDemand is what an account asks for beyond its portion.
type AccountDemand struct {
	Name   string
	Beyond float64 // share of the work of all
}

// Plan says what the loss of a site would mean.
type Plan struct {
	Site   string
	State  State
	Share  float64 // of the work, that it carries
	After  float64 // part of their room that the others would be used to; infinite where there is none
	Moves  []Move  // where its work would go
	Refuse float64 // share of the work that would be refused
	First  []Refused
}

// Move is a part of the work that would go to a site.
type Move struct {
	Site  string
	Share float64 // of the work of all
	After float64 // part of its room that it would be used to
}

// Refused is a part of the work that would be refused, in the order in which it would be.
type Refused struct {
	What  string
	Share float64 // of the work of all that it asks for
	Part  float64 // of this that would be refused
}

// plan is a Plan without what is refused. Where a site is no longer used, what it carried before counts.
func (m *Machine) plan(lost int) Plan {
	p := Plan{Site: m.set.Names[lost], State: m.sites[lost].state, After: math.Inf(1)}
	held, room, own := 0.0, 0.0, 0.0
	for i := range m.sites {
		u, r := m.sustains(i)
		if held += u; i == lost {
			own = u
		} else if s := &m.sites[i]; s.state != CutOff {
			room += r
		}
	}
	if s := &m.sites[lost]; !s.open() && s.state != Returning {
		// What it carried has gone to the others, or been refused.
		own, held = s.lastUse, max(held, s.lastUse/max(s.share, 1e-9))
	}
	if held > 0 {
		p.Share = own / held
	}
	if room <= 0 {
		if p.Refuse = 1; held == 0 {
			p.Refuse = 0
		}
		return p
	}
	p.After = held / room
	p.Refuse = max(0, 1-Full/max(p.After, 1e-9))
	// It goes where there is room: the decision module joins the shorter wait, which evens out the parts of their room that
	// servers are used to.
	carried := held * (1 - p.Refuse)
	for i := range m.sites {
		u, r := m.sustains(i)
		if i == lost || r == 0 || m.sites[i].state == CutOff || held == 0 {
			continue
		}
		p.Moves = append(p.Moves, Move{m.set.Names[i], max(0, carried*r/room-u) / held, carried / room})
	}
	return p
}

// Plan says what the loss of each site would mean, or means.
func (m *Machine) Plan(now time.Duration, d *Demand) []Plan {
	m.now = max(now, m.now)
	var plans []Plan
	for i := range m.sites {
		p := m.plan(i)
		p.First = d.Order()
		d.cut(p.First, p.Refuse)
		plans = append(plans, p)
	}
	return plans
}

// Order is what is refused where there is not room for all, the first first: second tries of clients, which ask for what has
// been refused once; what accounts ask for beyond their portions; then classes, the least worth for a second's work first, those with
// effects that must not happen twice last of all.
func (d *Demand) Order() []Refused {
	order := []Refused{{What: "retries", Share: d.Retries}}
	for _, a := range d.Over {
		order = append(order, Refused{What: "account " + a.Name + " beyond its share", Share: a.Beyond})
	}
	for _, c := range d.byClass() {
		order = append(order, Refused{What: "class " + d.Classes[c].Name, Share: d.Classes[c].Share})
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
		return cmp.Or(cmp.Compare(last(a), last(b)), cmp.Compare(a.Worth/max(a.Work, 1e-6), b.Worth/max(b.Work, 1e-6)))
	})
	return at
}

// cut fills in which part of each is refused so that the sum is a share of all.
func (d *Demand) cut(order []Refused, share float64) {
	for i := range order {
		r := &order[i]
		if r.Share <= 0 {
			continue
		}
		// What was refused before as a retry, or for its account, is no longer asked for by its class.
		r.Part = min(1, max(0, share/r.Share))
		share -= r.Part * r.Share
	}
}

// View is a site for people to read.
type View struct {
	Name       string
	State      State
	Since      time.Duration
	Servers    int           // ready
	Used       int           // of these, let in
	Held, Room float64       // in work at these, and what they serve at once
	Retry      time.Duration // when a lost site is asked again; 0: it is not lost
	Until      time.Duration // taken out by hand until then; 0: it is not
	Times      int           // that it was lost of late
	Pacer      *Word         // what its pacer says, if it is followed
}

// View returns the sites and the latest changes, the newest last.
func (m *Machine) View() ([]View, []Change) {
	var views []View
	for i := range m.sites {
		s := &m.sites[i]
		v := View{Name: m.set.Names[i], State: s.state, Since: s.since, Servers: len(s.servers), Times: s.times, Pacer: m.pacer(s)}
		for _, o := range s.servers {
			if o.in {
				v.Used++
			}
		}
		v.Held, v.Room = m.carries(i)
		switch s.state {
		case Lost:
			v.Retry = s.retry
		case Out:
			v.Until = s.until
		}
		views = append(views, v)
	}
	return views, m.history
}

// Withdrawn is the share of the sites of which no server, or not every one, is used.
func (m *Machine) Withdrawn() float64 {
	n := 0
	for i := range m.sites {
		if !m.sites[i].open() {
			n++
		}
	}
	return float64(n) / float64(len(m.sites))
}
