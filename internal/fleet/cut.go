package fleet

import (
	"context"
	"slices"

	"example.org/micaline/internal/rules"
	"example.org/micaline/internal/scenario"
	"example.org/micaline/internal/standin/network"
)

// zones are the scenario's, in the order in which agents are spread over them.
func (f *fleet) zones() (zones []string) {
	for _, b := range f.Scenario.Backends {
		if !slices.Contains(zones, b.Zone) {
			zones = append(zones, b.Zone)
		}
	}
	return zones
}

// zone is where an agent is, and with it its clients.
func (f *fleet) zone(a *proc) string {
	zones := f.zones()
	return zones[a.rank%len(zones)]
}

// cut cuts a site off from another one or from all: its backends, its agents and their clients. Discovery is reached all
// the while.
func (f *fleet) cut(day context.Context, ft *scenario.Fault) {
	where := map[string]string{} // zones by names and addresses
	f.mu.Lock()
	for _, b := range f.backends {
		where[b.now.Addr()] = b.now.Config().Zone
	}
	f.mu.Unlock()
	for i, a := range f.agents {
		zone := f.zone(a)
		where[a.name], where[a.addr], where[f.clientsName(i)] = zone, zone, zone
	}
	apart := func(from, to string) bool {
		x, y := where[from], where[to]
		return x != y && x != "" && y != "" && (x == ft.Zone || y == ft.Zone) && (ft.Other == "" || x == ft.Other || y == ft.Other)
	}
	for _, b := range f.backends {
		if zone := b.now.Config().Zone; zone == ft.Zone || ft.Other == "" || zone == ft.Other {
			f.log.Add(rules.Record{Kind: rules.Troubled, Backend: b.now.Name()})
			defer f.log.Add(rules.Record{Kind: rules.Mended, Backend: b.now.Name()})
		}
	}
	if f.Scenario.Clients.Elsewhere {
		for _, a := range f.agents {
			f.log.Add(rules.Record{Kind: rules.Troubled, Agent: a.name})
			defer f.log.Add(rules.Record{Kind: rules.Mended, Agent: a.name})
		}
	}
	leaves := func(from string) bool { return where[from] == ft.Zone }
	undo := []func(){
		f.Network.Apply(network.Rule{
			Match: func(from, to string) bool { return apart(from, to) && leaves(from) },
			Change: func(c *network.Conditions) {
				c.Cut = c.Cut || ft.Way == ""
				c.StallUp, c.StallDown = c.StallUp || ft.Way == "out", c.StallDown || ft.Way == "in"
			},
		}),
		f.Network.Apply(network.Rule{
			Match: func(from, to string) bool { return apart(from, to) && !leaves(from) },
			Change: func(c *network.Conditions) {
				c.Cut = c.Cut || ft.Way == ""
				c.StallUp, c.StallDown = c.StallUp || ft.Way == "in", c.StallDown || ft.Way == "out"
			},
		}),
	}
	sleep(day, ft.For.D())
	for _, u := range undo {
		u()
	}
}
