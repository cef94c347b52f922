// Package registry keeps the membership of the mesh: which agents exist, and which backend runs
// beside each of them. An agent is the sidecar process on a machine.
//
// Each agent is the only source of information about itself and its backend, a Station, and sends
// it to all control-plane nodes. Of two versions from one agent the newer one wins (Station.Newer),
// so tables that received the same versions are equal, whatever the order of arrival. A
// control-plane node adds whether it is in contact with the agent. A Table merges the reports of
// several sources: at a control-plane node the agents themselves, at an agent the control-plane
// nodes.
//
// A Table guarantees:
//
//   - A station counts as lost only while every connected source that knows it reports it as lost.
//     A single control-plane node that is cut off, or one that has just started and knows no
//     stations yet, therefore removes nobody.
//   - A station that no source has reported alive for ForgetAfter is dropped, so the size of the
//     table is bounded by the number of machines.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// ForgetAfter is how long a station is kept that no source reports, or that all sources report as
// lost.
const ForgetAfter = 20 * time.Second

// MaxStations limits the number of stations. It exceeds the number of agents that the mesh
// supports.
const MaxStations = 4096

// SelfSource is the source name under which an agent reports its own station. It reports no other
// stations, so it does not count as contact with the mesh.
const SelfSource = "self"

// Table merges the reports of several sources. It is not safe for concurrent use.
type Table struct {
	stations map[string]*stationEntry
	sources  map[string]*source
}

type stationEntry struct {
	transport.Station
	receivedAt time.Duration // when this version was received
	lastAlive  time.Duration // when a source last reported the agent as not lost
}

type source struct {
	up          bool            // the source is connected
	lostByAgent map[string]bool // agents that the source reports, and whether it reports them as lost
}

// New returns an empty table.
func New() *Table { return &Table{stations: map[string]*stationEntry{}, sources: map[string]*source{}} }

// markSourceUp records that a source is connected, and returns its entry.
func (t *Table) markSourceUp(name string) *source {
	src := t.sources[name]
	if src == nil {
		src = &source{lostByAgent: map[string]bool{}}
		t.sources[name] = src
	}
	src.up = true
	return src
}

func (t *Table) isUp(name string) bool {
	src := t.sources[name]
	return src != nil && src.up
}

// Merge adds the reports of a source and returns whether the table may have changed. If complete is
// set, the reports replace all earlier ones of the source.
func (t *Table) Merge(now time.Duration, source string, complete bool, statuses []transport.StationStatus) (changed bool) {
	changed = !t.isUp(source) // the earlier reports of the source count again
	src := t.markSourceUp(source)
	if complete {
		clear(src.lostByAgent)
	}
	for i := range statuses {
		status := &statuses[i]
		entry := t.stations[status.Station.Agent]
		if entry == nil {
			if len(t.stations) >= MaxStations {
				continue
			}
			entry = &stationEntry{lastAlive: now}
			t.stations[status.Station.Agent] = entry
			changed = true
		}
		if wasLost := t.isLost(status.Station.Agent); status.Station.Newer(&entry.Station) {
			entry.Station, entry.receivedAt, changed = status.Station, now, true
			src.lostByAgent[status.Station.Agent] = status.Lost
		} else if src.lostByAgent[status.Station.Agent] = status.Lost; wasLost != t.isLost(status.Station.Agent) {
			changed = true
		}
		if !status.Lost {
			entry.lastAlive = now
		}
	}
	return changed || complete
}

// MarkSourceDown records that a source is disconnected. Its stations remain, but its reports of
// whether an agent is lost no longer count.
func (t *Table) MarkSourceDown(source string) {
	if src := t.sources[source]; src != nil {
		src.up = false
	}
}

// MarkLost records that a source has lost contact with one incarnation of an agent. The source
// counts as connected from then on.
func (t *Table) MarkLost(source, agent string, life uint64) (changed bool) {
	entry, src := t.stations[agent], t.markSourceUp(source)
	if entry == nil || entry.Life != life {
		return false
	}
	wasLost := t.isLost(agent)
	src.lostByAgent[agent] = true
	return wasLost != t.isLost(agent)
}

// isLost reports whether all connected sources that know the agent report it as lost.
func (t *Table) isLost(agent string) bool {
	reported := false
	for _, src := range t.sources {
		if lost, known := src.lostByAgent[agent]; known && src.up {
			if !lost {
				return false
			}
			reported = true
		}
	}
	return reported
}

// Expire drops stations that no source has reported alive for ForgetAfter.
func (t *Table) Expire(now time.Duration) (changed bool) {
	connected := false
	for name, src := range t.sources {
		connected = connected || src.up && name != SelfSource
	}
	if !connected {
		// Time without contact does not count. Otherwise an agent that is cut off would drop
		// stations that it could still use, at the latest when it reconnects to a control-plane
		// node that does not know all stations yet.
		for _, entry := range t.stations {
			entry.lastAlive = now
		}
		return false
	}
	for agent, entry := range t.stations {
		alive := false
		for _, src := range t.sources {
			lost, known := src.lostByAgent[agent]
			alive = alive || src.up && known && !lost
		}
		if alive {
			entry.lastAlive = now
		} else if now-entry.lastAlive > ForgetAfter {
			delete(t.stations, agent)
			for _, src := range t.sources {
				delete(src.lostByAgent, agent)
			}
			changed = true
		}
	}
	return changed
}

// Station returns the latest version of an agent's station, or nil if the agent is not known.
func (t *Table) Station(agent string) *transport.Station {
	if entry := t.stations[agent]; entry != nil {
		station := entry.Station
		return &station
	}
	return nil
}

// statusAt returns the status of a station as of now. The remaining warm-up time was correct when
// it was received, so the time since then is subtracted. If it were passed on unchanged, a backend
// would look cold forever to those who receive the status late.
func (t *Table) statusAt(now time.Duration, entry *stationEntry) transport.StationStatus {
	status := transport.StationStatus{Station: entry.Station, Lost: t.isLost(entry.Agent)}
	if backend := status.Station.Backend; backend != nil && backend.ColdLeft > 0 {
		aged := *backend
		aged.ColdLeft = max(0, backend.ColdLeft-(now-entry.receivedAt))
		status.Station.Backend = &aged
	}
	return status
}

// All returns the status of all stations as of now, sorted by agent.
func (t *Table) All(now time.Duration) []transport.StationStatus {
	all := make([]transport.StationStatus, 0, len(t.stations))
	for _, entry := range t.stations {
		all = append(all, t.statusAt(now, entry))
	}
	slices.SortFunc(all, func(x, y transport.StationStatus) int { return cmp.Compare(x.Station.Agent, y.Station.Agent) })
	return all
}

// Agents returns the agents of all stations, in no particular order.
func (t *Table) Agents() []string { return slices.Collect(maps.Keys(t.stations)) }

// Status returns the status of one station as of now.
func (t *Table) Status(now time.Duration, agent string) (transport.StationStatus, bool) {
	entry := t.stations[agent]
	if entry == nil {
		return transport.StationStatus{}, false
	}
	return t.statusAt(now, entry), true
}
