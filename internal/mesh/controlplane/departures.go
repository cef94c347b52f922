package controlplane

import "example.org/micaline/internal/mesh/transport"

// mostDepartures bounds the ids that are kept: a call that was acknowledged is sent again within
// seconds.
const mostDepartures = 1024

// departures are the ids of backends that have left, by the word of the agents beside them. The
// zero value is empty. A core machine that has heard of no departure can't confirm one: it may be
// cut off from the agent, or have started a moment ago.
type departures struct {
	ids  map[string]bool
	ring []string // the ids, in the order in which they go
	next int
}

// note takes in that an agent says a new word of itself. A new life of the agent that knows no
// backend yet says nothing of the one that an earlier life knew.
func (d *departures) note(before, now *transport.Station) {
	if before == nil || before.Backend == nil || before.Life != now.Life || !now.Newer(before) {
		return
	}
	if now.Backend == nil || now.Backend.ID != before.Backend.ID {
		d.add(before.Backend.ID)
	}
}

func (d *departures) add(id string) {
	if d.ids == nil {
		d.ids = map[string]bool{}
	}
	if d.ids[id] {
		return
	}
	if len(d.ring) < mostDepartures {
		d.ring = append(d.ring, id)
	} else {
		delete(d.ids, d.ring[d.next])
		d.ring[d.next] = id
		d.next = (d.next + 1) % mostDepartures
	}
	d.ids[id] = true
}

func (d *departures) has(id string) bool { return d.ids[id] }
