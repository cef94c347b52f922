// Package registry is the registry: which agents there are, and which backend stands beside each.
//
// Each agent is the only source of what there is to say of itself and its backend, a Station, which it says to all core machines;
// of two words of one agent the later counts (Station.Newer), so tables that have heard the same words are the same, in whatever
// order they came. A core machine adds whether it hears the agent now. A Table merges what several sources tell: at a core machine
// the agents themselves, at an agent the core machines.
//
// What it promises: a station counts as lost only while every source that is up and knows it says so, so that one core machine that
// is cut off takes nobody out; a source that has just come, and knows nobody yet, takes nobody out either; and what nobody has told
// of for Forget is dropped, so that the table is bounded by the machines that there are.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Forget is how long a station is kept that no source tells of, or that is lost for all.
const ForgetAfter = 20 * time.Second

// Most is how many stations are kept: more than the agents that the mesh is made for.
const MaxStations = 4096

// Self is the source that an agent is of its own station. It tells of nobody else, so it is no sign of being in touch.
const SelfSource = "self"

// Table merges the words of sources. It is not safe for concurrent use.
type Table struct {
	stations map[string]*entry
	sources  map[string]*source
}

type entry struct {
	transport.Station
	told time.Duration // when it was said
	seen time.Duration // when a source last had it as not lost
}

type source struct {
	up    bool
	heard map[string]bool // agents it tells of: whether they are lost to it
}

// New returns an empty table.
func New() *Table { return &Table{stations: map[string]*entry{}, sources: map[string]*source{}} }

func (t *Table) source(name string) *source {
	s := t.sources[name]
	if s == nil {
		s = &source{heard: map[string]bool{}}
		t.sources[name] = s
	}
	s.up = true
	return s
}

func (t *Table) isUp(name string) bool {
	s := t.sources[name]
	return s != nil && s.up
}

// Hear takes in what a source tells. Whole says that it tells of all that it knows.
func (t *Table) Merge(now time.Duration, from string, whole bool, heard []transport.StationStatus) (changed bool) {
	changed = !t.isUp(from) // what it told before counts again
	s := t.source(from)
	if whole {
		clear(s.heard)
	}
	for i := range heard {
		h := &heard[i]
		e := t.stations[h.Station.Agent]
		if e == nil {
			if len(t.stations) >= MaxStations {
				continue
			}
			e = &entry{seen: now}
			t.stations[h.Station.Agent] = e
			changed = true
		}
		if old := t.lost(h.Station.Agent); h.Station.Newer(&e.Station) {
			e.Station, e.told, changed = h.Station, now, true
			s.heard[h.Station.Agent] = h.Lost
		} else if s.heard[h.Station.Agent] = h.Lost; old != t.lost(h.Station.Agent) {
			changed = true
		}
		if !h.Lost {
			e.seen = now
		}
	}
	return changed || whole
}

// Down takes in that a source is out of reach: what it told holds on, but its word that somebody is lost does not count.
func (t *Table) MarkSourceDown(from string) {
	if s := t.sources[from]; s != nil {
		s.up = false
	}
}

// Lost says that a source lost an agent's present life.
func (t *Table) MarkLost(from, agent string, life uint64) (changed bool) {
	e, s := t.stations[agent], t.source(from)
	if e == nil || e.Life != life {
		return false
	}
	old := t.lost(agent)
	s.heard[agent] = true
	return old != t.lost(agent)
}

// lost says whether all sources that are up and know an agent say that it is lost.
func (t *Table) lost(agent string) bool {
	told := false
	for _, s := range t.sources {
		if lost, known := s.heard[agent]; known && s.up {
			if !lost {
				return false
			}
			told = true
		}
	}
	return told
}

// Step forgets what nobody has told of for long.
func (t *Table) Expire(now time.Duration) (changed bool) {
	inTouch := false
	for name, s := range t.sources {
		inTouch = inTouch || s.up && name != SelfSource
	}
	if !inTouch {
		// Danger: who is cut off would forget all that it could still use, or would as soon as a core machine is back that
		// does not know all yet: this time does not count.
		for _, e := range t.stations {
			e.seen = now
		}
		return false
	}
	for agent, e := range t.stations {
		here := false
		for _, s := range t.sources {
			lost, known := s.heard[agent]
			here = here || s.up && known && !lost
		}
		if here {
			e.seen = now
		} else if now-e.seen > ForgetAfter {
			delete(t.stations, agent)
			for _, s := range t.sources {
				delete(s.heard, agent)
			}
			changed = true
		}
	}
	return changed
}

// Station returns what is known of an agent, nil if nothing is.
func (t *Table) Station(agent string) *transport.Station {
	if e := t.stations[agent]; e != nil {
		s := e.Station
		return &s
	}
	return nil
}

// heard is a station as of now. Danger: what is left of a warm-up was left when it was said; passed on as it was, a backend would be
// cold for ever to who hears of it late.
func (t *Table) heard(now time.Duration, e *entry) transport.StationStatus {
	h := transport.StationStatus{Station: e.Station, Lost: t.lost(e.Agent)}
	if b := h.Station.Backend; b != nil && b.ColdLeft > 0 {
		since := *b
		since.ColdLeft = max(0, b.ColdLeft-(now-e.told))
		h.Station.Backend = &since
	}
	return h
}

// All returns all stations, as of now, in the order of their agents.
func (t *Table) All(now time.Duration) []transport.StationStatus {
	all := make([]transport.StationStatus, 0, len(t.stations))
	for _, e := range t.stations {
		all = append(all, t.heard(now, e))
	}
	slices.SortFunc(all, func(x, y transport.StationStatus) int { return cmp.Compare(x.Station.Agent, y.Station.Agent) })
	return all
}

// Agents names the agents of all stations, in no order.
func (t *Table) Agents() []string { return slices.Collect(maps.Keys(t.stations)) }

// Of returns one station as All does.
func (t *Table) Status(now time.Duration, agent string) (transport.StationStatus, bool) {
	e := t.stations[agent]
	if e == nil {
		return transport.StationStatus{}, false
	}
	return t.heard(now, e), true
}
