package maintenance

import (
	"cmp"
	"maps"
	"slices"
)

// RegionPlan describes the effects that the loss of some zones would have now.
type RegionPlan struct {
	Region   string        `json:"region,omitempty"`
	Zones    []string      `json:"zones"`
	Services []ServicePlan `json:"services"`       // the highest utilization first
	Core     string        `json:"core,omitempty"` // why the quorum would be lost; empty if it would not
}

// ServicePlan describes the effects on a service.
type ServicePlan struct {
	Share
	Lost    float64        `json:"lost"`              // requests in progress in the lost zones
	To      []ZoneCapacity `json:"to"`                // zones that would take over the load
	Refused float64        `json:"refused"`           // fraction of requests that exceed the capacity
	First   []RankedRoute  `json:"first,omitempty"`   // routes in the order of refusal, if any
	Unready int            `json:"unready,omitempty"` // remaining backends that add no capacity: lost or draining
}

// ZoneCapacity is the capacity for a service in a remaining zone.
type ZoneCapacity struct {
	Zone string  `json:"zone"`
	Room int     `json:"room"` // requests that its backends handle at once
	Load float64 `json:"load"` // requests in progress now
}

// RankedRoute is a route and its rank. Routes with higher ranks are refused first.
type RankedRoute struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
}

// Route is the part of a route's configuration that a plan needs.
type Route struct {
	Name     string
	Rank     int
	Services []string
}

// PlanRegion returns the effects of losing zones. Agents prefer lower load to lower latency, so the
// lost load moves to zones with free capacity and evens out. Requests beyond the capacity are
// refused by rank.
func PlanRegion(zones []string, backends []Backend, routes []Route) *RegionPlan {
	plan := &RegionPlan{Zones: zones, Services: []ServicePlan{}}
	for _, share := range Forecast(&Window{Zones: zones}, backends) {
		s := ServicePlan{Share: share}
		s.fillCapacities(zones, backends)
		if s.Refused = max(0, 1-1/max(share.After, 1)); share.Room == 0 {
			s.Refused = 1
		}
		if s.Refused > 0 {
			s.First = refusalOrder(share.Service, routes)
		}
		plan.Services = append(plan.Services, s)
	}
	return plan
}

// fillCapacities sets the lost load, the capacities of the remaining zones, and Unready.
func (s *ServicePlan) fillCapacities(zones []string, backends []Backend) {
	capacities := map[string]*ZoneCapacity{}
	for i := range backends {
		b := &backends[i]
		switch {
		case b.Service != s.Service:
		case slices.Contains(zones, b.Zone):
			s.Lost += b.Load
		case !b.Ready:
			s.Unready++
		default:
			capacity := capacities[b.Zone]
			if capacity == nil {
				capacity = &ZoneCapacity{Zone: b.Zone}
				capacities[b.Zone] = capacity
			}
			capacity.Room, capacity.Load = capacity.Room+b.Capacity, capacity.Load+b.Load
		}
	}
	s.To = []ZoneCapacity{}
	for _, zone := range slices.Sorted(maps.Keys(capacities)) {
		s.To = append(s.To, *capacities[zone])
	}
}

// refusalOrder returns the routes to a service, the least urgent first.
func refusalOrder(service string, routes []Route) []RankedRoute {
	var order []RankedRoute
	for i := range routes {
		if r := &routes[i]; slices.Contains(r.Services, service) {
			order = append(order, RankedRoute{r.Name, r.Rank})
		}
	}
	slices.SortFunc(order, func(a, b RankedRoute) int { return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Route, b.Route)) })
	return order
}
