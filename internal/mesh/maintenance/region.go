package maintenance

import (
	"cmp"
	"maps"
	"slices"
)

// RegionPlan says what the loss of some zones would mean as things stand.
type RegionPlan struct {
	Region   string        `json:"region,omitempty"`
	Zones    []string      `json:"zones"`
	Services []ServicePlan `json:"services"`       // the fullest first
	Core     string        `json:"core,omitempty"` // why the core machines could not agree; empty: they could
}

// ServicePlan is what the loss would mean for a service.
type ServicePlan struct {
	Share
	Lost    float64        `json:"lost"`              // requests in work in the zones that are lost
	To      []ZoneCapacity `json:"to"`                // where they would go
	Refused float64        `json:"refused"`           // part of all that there would be no room for
	First   []RankedRoute  `json:"first,omitempty"`   // routes in the order in which they are refused, where some are
	Unready int            `json:"unready,omitempty"` // backends elsewhere that are lost or leave, and are not counted on
}

// ZoneRoom is what a zone that stays has for a service.
type ZoneCapacity struct {
	Zone string  `json:"zone"`
	Room int     `json:"room"` // that its backends work on at once
	Load float64 `json:"load"` // requests in work, now
}

// RouteOrder is a route and its rank; higher ones are refused first.
type RankedRoute struct {
	Route string `json:"route"`
	Rank  int    `json:"rank"`
}

// RouteOf is a route as the plan needs it.
type Route struct {
	Name     string
	Rank     int
	Services []string
}

// PlanRegion says what the loss of zones would mean. The design joins the lower load over speed, so
// what is lost goes where there is room, and evens out; what there is no room for is refused by rank.
func PlanRegion(zones []string, backends []Backend, routes []Route) *RegionPlan {
	plan := &RegionPlan{Zones: zones, Services: []ServicePlan{}}
	for _, share := range Forecast(&Window{Zones: zones}, backends) {
		s := ServicePlan{Share: share}
		s.place(zones, backends)
		if s.Refused = max(0, 1-1/max(share.After, 1)); share.Room == 0 {
			s.Refused = 1
		}
		if s.Refused > 0 {
			s.First = refusedFirst(share.Service, routes)
		}
		plan.Services = append(plan.Services, s)
	}
	return plan
}

// place fills in what is lost, and where there is room.
func (s *ServicePlan) place(zones []string, backends []Backend) {
	rooms := map[string]*ZoneCapacity{}
	for i := range backends {
		b := &backends[i]
		switch {
		case b.Service != s.Service:
		case slices.Contains(zones, b.Zone):
			s.Lost += b.Load
		case !b.Ready:
			s.Unready++
		default:
			room := rooms[b.Zone]
			if room == nil {
				room = &ZoneCapacity{Zone: b.Zone}
				rooms[b.Zone] = room
			}
			room.Room, room.Load = room.Room+b.Capacity, room.Load+b.Load
		}
	}
	s.To = []ZoneCapacity{}
	for _, zone := range slices.Sorted(maps.Keys(rooms)) {
		s.To = append(s.To, *rooms[zone])
	}
}

// refusedFirst are the routes to a service, the least urgent first.
func refusedFirst(service string, routes []Route) []RankedRoute {
	var order []RankedRoute
	for i := range routes {
		if r := &routes[i]; slices.Contains(r.Services, service) {
			order = append(order, RankedRoute{r.Name, r.Rank})
		}
	}
	slices.SortFunc(order, func(a, b RankedRoute) int { return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.Route, b.Route)) })
	return order
}
