package main

import (
	"cmp"
	"slices"
	"strconv"

	"example.org/micaline/internal/mesh/transport"
)

// server is what there is to tell of a backend.
type server struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Address  string  `json:"address"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	ColdS    float64 `json:"cold_s"`
	Agent    string  `json:"agent"`
}

// serverOf is the backend of a station, nil if it has none.
func serverOf(h *transport.StationStatus) *server {
	b := h.Station.Backend
	if b == nil {
		return nil
	}
	s := &server{ID: b.ID, Service: b.Service, Zone: b.Zone, Version: b.Version, Address: b.Address, Capacity: b.Capacity,
		State: "ready", ColdS: b.ColdLeft.Seconds(), Agent: h.Station.Agent}
	switch {
	case h.Lost:
		s.State = "lost"
	case b.Draining:
		s.State = "draining"
	case !h.Station.Open:
		s.State = "shut"
	case b.ColdLeft > 0:
		s.State = "cold"
	}
	return s
}

func (c *command) servers() error {
	s, err := c.survey(false)
	if err != nil {
		return err
	}
	list := []*server{}
	for i := range s.Agents {
		if one := serverOf(&s.Agents[i].Heard); one != nil {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.ID, y.ID))
	})
	if c.json {
		return c.printJSON(list)
	}
	var rows [][]string
	for _, b := range list {
		rows = append(rows, []string{b.Service, b.ID, b.Zone, b.State, b.Version, strconv.Itoa(b.Capacity), b.Address, b.Agent})
	}
	c.table("SERVICE ID ZONE STATE VERSION CAPACITY ADDRESS AGENT", rows)
	return nil
}
