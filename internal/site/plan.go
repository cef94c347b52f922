package site

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/micaline/policy"
)

// MaxUtilization is the share of their capacity up to which servers answer in time. Beyond it,
// queues grow without limit.
const MaxUtilization = 0.9

// Demand is the recent demand for work, from which LossImpacts and ShedOrder are computed.
type Demand struct {
	Classes           []ClassDemand
	AccountsOverShare []AccountDemand // accounts that exceed their guaranteed share
	RetryShare        float64         // share of the work that clients' marked retries cause
}

// ClassDemand is the demand for one class of requests.
type ClassDemand struct {
	Name              string
	Effect            policy.Effect
	Worth             float64 // value of one request, relative to the other classes
	SecondsPerRequest float64 // time that one request occupies a server
	WorkShare         float64 // share of all work
}

// AccountDemand is the demand of an account beyond its guaranteed share.
type AccountDemand struct {
	Name        string
	ExcessShare float64 // share of all work
}

// LossImpact describes what the loss of a site would mean, or means if the site is already
// withdrawn.
type LossImpact struct {
	Site        string
	State       State
	LoadShare   float64     // share of the total load that the site carries
	Utilization float64     // utilization of the other sites; infinite if they have no capacity
	Shifts      []LoadShift // where the load of the site would go
	ShedShare   float64     // share of the load that would be refused
	Shed        []ShedItem
}

// LoadShift is the load that would move to one of the other sites.
type LoadShift struct {
	Site        string
	Share       float64 // share of the total load that would move there
	Utilization float64 // share of the site's capacity that would be used
}

// ShedItem is a part of the demand that would be refused. Items are listed in the order in which
// they are refused.
type ShedItem struct {
	Name         string
	Share        float64 // share of all work that this item asks for
	ShedFraction float64 // fraction of the item that would be refused
}

// lossImpact returns the impact of losing a site, without the shed items. If the site is already
// withdrawn, its load before that counts.
func (m *Monitor) lossImpact(lost int) LossImpact {
	impact := LossImpact{Site: m.settings.Names[lost], State: m.sites[lost].state, Utilization: math.Inf(1)}
	totalInFlight, otherCapacity, lostInFlight := 0.0, 0.0, 0.0
	for i := range m.sites {
		inFlight, capacity := m.sustainedLoad(i)
		if totalInFlight += inFlight; i == lost {
			lostInFlight = inFlight
		} else if s := &m.sites[i]; s.state != AgentIsolated {
			otherCapacity += capacity
		}
	}
	if s := &m.sites[lost]; !s.fullyAdmitted() && s.state != Recovering {
		// The load of a withdrawn site has moved to the other sites or is refused.
		lostInFlight, totalInFlight = s.lastInFlight, max(totalInFlight, s.lastInFlight/max(s.lastLoadShare, 1e-9))
	}
	if totalInFlight > 0 {
		impact.LoadShare = lostInFlight / totalInFlight
	}
	if otherCapacity <= 0 {
		if impact.ShedShare = 1; totalInFlight == 0 {
			impact.ShedShare = 0
		}
		return impact
	}
	impact.Utilization = totalInFlight / otherCapacity
	impact.ShedShare = max(0, 1-MaxUtilization/max(impact.Utilization, 1e-9))
	// Load goes where there is free capacity: the decision module prefers the server with the
	// shorter wait, which evens out the utilization of the servers.
	accepted := totalInFlight * (1 - impact.ShedShare)
	for i := range m.sites {
		inFlight, capacity := m.sustainedLoad(i)
		if i == lost || capacity == 0 || m.sites[i].state == AgentIsolated || totalInFlight == 0 {
			continue
		}
		impact.Shifts = append(impact.Shifts, LoadShift{m.settings.Names[i], max(0, accepted*capacity/otherCapacity-inFlight) / totalInFlight, accepted / otherCapacity})
	}
	return impact
}

// LossImpacts returns the impact of losing each site.
func (m *Monitor) LossImpacts(now time.Duration, demand *Demand) []LossImpact {
	m.now = max(now, m.now)
	var impacts []LossImpact
	for i := range m.sites {
		impact := m.lossImpact(i)
		impact.Shed = demand.ShedOrder()
		demand.allocate(impact.Shed, impact.ShedShare)
		impacts = append(impacts, impact)
	}
	return impacts
}

// ShedOrder returns the order in which work is refused when there is not enough capacity. Retries
// of clients come first, because they ask again for what was already refused. Then follows what
// accounts request beyond their guaranteed shares, then the classes by increasing worth per second
// of work, with the classes whose requests must not run twice last.
func (d *Demand) ShedOrder() []ShedItem {
	order := []ShedItem{{Name: "retries", Share: d.RetryShare}}
	for _, a := range d.AccountsOverShare {
		order = append(order, ShedItem{Name: "account " + a.Name + " beyond its share", Share: a.ExcessShare})
	}
	for _, c := range d.classShedOrder() {
		order = append(order, ShedItem{Name: "class " + d.Classes[c].Name, Share: d.Classes[c].WorkShare})
	}
	return order
}

// classShedOrder returns the positions of the classes in the order in which they are refused.
func (d *Demand) classShedOrder() []int {
	classes := make([]int, len(d.Classes))
	for i := range classes {
		classes[i] = i
	}
	slices.SortStableFunc(classes, func(x, y int) int {
		a, b := &d.Classes[x], &d.Classes[y]
		shedLast := func(c *ClassDemand) int {
			if c.Effect == policy.SideEffect {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(shedLast(a), shedLast(b)), cmp.Compare(a.Worth/max(a.SecondsPerRequest, 1e-6), b.Worth/max(b.SecondsPerRequest, 1e-6)))
	})
	return classes
}

// allocate sets the fraction of each item that is refused so that the sum is the given share of all
// work.
func (d *Demand) allocate(order []ShedItem, remaining float64) {
	for i := range order {
		item := &order[i]
		if item.Share <= 0 {
			continue
		}
		// Work that was already refused as a retry or for its account is no longer part of its
		// class.
		item.ShedFraction = min(1, max(0, remaining/item.Share))
		remaining -= item.ShedFraction * item.Share
	}
}

// Status is the state of a site for display to operators.
type Status struct {
	Name               string
	State              State
	Since              time.Duration // when the site entered its state
	Servers            int           // number of ready servers
	Admitted           int           // number of ready servers that the agent may use
	InFlight, Capacity float64       // of the admitted servers
	RetryAt            time.Duration // when a lost site is next retried; 0: it is not lost
	EvacuatedUntil     time.Duration // end of an evacuation; 0: it is not evacuated
	RecentLosses       int           // number of losses, reduced over time in good health
	Pacer              *PacerStatus  // status of the site's pacer; nil: none is followed
}

// Snapshot returns the status of all sites and the latest transitions, oldest first.
func (m *Monitor) Snapshot() ([]Status, []Transition) {
	var statuses []Status
	for i := range m.sites {
		s := &m.sites[i]
		status := Status{Name: m.settings.Names[i], State: s.state, Since: s.since, Servers: len(s.servers), RecentLosses: s.recentLosses, Pacer: m.currentPacerStatus(s)}
		for _, srv := range s.servers {
			if srv.admitted {
				status.Admitted++
			}
		}
		status.InFlight, status.Capacity = m.currentLoad(i)
		switch s.state {
		case Lost:
			status.RetryAt = s.retryAt
		case Evacuated:
			status.EvacuatedUntil = s.evacuatedUntil
		}
		statuses = append(statuses, status)
	}
	return statuses, m.history
}

// WithdrawnShare returns the share of the sites that have withdrawn servers.
func (m *Monitor) WithdrawnShare() float64 {
	withdrawn := 0
	for i := range m.sites {
		if !m.sites[i].fullyAdmitted() {
			withdrawn++
		}
	}
	return float64(withdrawn) / float64(len(m.sites))
}
