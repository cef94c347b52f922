package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// expectedStation is a simple model of what a table should know about one agent.
type expectedStation struct {
	newest       *transport.Station
	receivedAt   time.Duration   // when the newest version arrived
	lastAlive    time.Duration   // when a connected source last reported it as not lost
	lostBySource map[string]bool // by source
}

// state returns whether all connected sources that know the station report it as lost, and whether
// at least one of them reports it as alive.
func (e *expectedStation) state(up map[string]bool) (lost, alive bool) {
	for source, reportedLost := range e.lostBySource {
		lost, alive = lost || up[source], alive || up[source] && !reportedLost
	}
	return lost && !alive, alive
}

// randomStatuses draws a report of a source. The content of a station depends only on its life and
// sequence number, so it is the same whichever source passes it on.
func randomStatuses(rng *rand.Rand, source string, step int) (statuses []transport.StationStatus) {
	for agent := range 4 {
		if rng.IntN(3) > 0 && (source != SelfSource || agent == 0) {
			life, seq := uint64(1+rng.IntN(3)), uint64(1+rng.IntN(step+1))
			statuses = append(statuses, transport.StationStatus{Lost: source != SelfSource && rng.IntN(3) > 0, Station: transport.Station{Agent: fmt.Sprint("a", agent),
				Life: life, Seq: seq, Backend: &transport.Backend{ColdLeft: time.Duration((life*7+seq*1300)%5000) * time.Millisecond}}})
		}
	}
	return statuses
}

// TestTable simulates sources that connect, disconnect, report complete and partial lists, and lose
// agents. Tables that received the same reports must be equal, whatever the order. An agent is lost
// only if every connected source that knows it reports so. A station is dropped after ForgetAfter,
// no earlier, and never while no control-plane node is connected. The remaining warm-up time
// decreases. Faults here would break these rules of the mesh: DRAIN and EVAC (no requests to a
// backend that shuts down or to an evacuated zone) beyond the gate, FAILBACK (the pace at which
// senders load a cold backend), RECOVER and DENIED (backends that are no longer used).
func TestTable(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTableSimulation(require.New(t), rand.New(rand.NewPCG(seed, 3)), counts) })
	}
	require.Greater(t, min(counts["forgotten"], counts["lost true"], counts["lost false"]), 100, "the simulation causes too few events: %v", counts)
}

func runTableSimulation(assert *require.Assertions, rng *rand.Rand, counts map[string]int) {
	tables, now, up, expected := [2]*Table{New(), New()}, time.Hour, map[string]bool{}, map[string]*expectedStation{}
	forBoth := func(f func(t *Table)) { f(tables[0]); f(tables[1]) }
	takeDown := func(source string) {
		forBoth(func(t *Table) { t.MarkSourceDown(source) })
		up[source] = false
	}
	verify := func() {
		forBoth(func(t *Table) { t.Expire(now) })
		assert.Equal(tables[0].All(now), tables[1].All(now), "tables that received the same reports differ")
		for agent, station := range expected {
			lost, alive := station.state(up)
			if alive || !up["core0"] && !up["core1"] && !up["core2"] {
				station.lastAlive = now
			}
			status, exists := tables[0].Status(now, agent)
			assert.Equal(exists, now-station.lastAlive <= ForgetAfter, "%s is dropped too early or too late, or without contact to the mesh", agent)
			if !exists {
				counts["forgotten"]++
				delete(expected, agent)
				continue
			}
			counts[fmt.Sprint("lost ", lost)]++
			assert.Equal(lost, status.Lost, "the lost state of %s is wrong", agent)
			assert.False(station.newest.Newer(&status.Station) || status.Station.Newer(station.newest), "the table has an older version of %s", agent)
			assert.Equal(max(0, station.newest.Backend.ColdLeft-(now-station.receivedAt)), status.Station.Backend.ColdLeft, "the remaining warm-up time of %s does not decrease", agent)
		}
	}
	for step := range 300 {
		now += time.Duration(rng.IntN(1000)) * time.Millisecond
		sources := []string{"core0", "core1", "core2", SelfSource}
		rng.Shuffle(3, func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
		switch rng.IntN(8) {
		case 0:
			takeDown(sources[0])
		case 1:
			if rng.IntN(4) == 0 { // a long time without any report
				now += time.Duration(rng.IntN(30)) * time.Second
			} else if rng.IntN(10) == 0 { // all sources disconnect for a long time
				for range rng.IntN(60) {
					takeDown(sources[rng.IntN(3)])
					now += time.Second
					verify()
				}
			}
		case 2:
			agent, life := fmt.Sprint("a", rng.IntN(4)), uint64(1+rng.IntN(3))
			forBoth(func(t *Table) { t.MarkLost(sources[0], agent, life) })
			up[sources[0]] = true
			if station := expected[agent]; station != nil && station.newest.Life == life {
				station.lostBySource[sources[0]] = true
			}
		default: // two sources report; each table receives them in a different order
			var merges [2]func(t *Table)
			for i, source := range []string{sources[0], sources[1+rng.IntN(3)]} {
				statuses, complete := randomStatuses(rng, source, step), source != SelfSource && rng.IntN(3) == 0
				merges[i] = func(t *Table) { t.Merge(now, source, complete, statuses) }
				up[source] = true
				for _, station := range expected {
					if complete {
						delete(station.lostBySource, source)
					}
				}
				for _, status := range statuses {
					station := expected[status.Station.Agent]
					if station == nil {
						station = &expectedStation{lastAlive: now, lostBySource: map[string]bool{}}
						expected[status.Station.Agent] = station
					}
					if status.Station.Newer(station.newest) {
						station.newest, station.receivedAt = &status.Station, now
					}
					if station.lostBySource[source] = status.Lost; !status.Lost {
						station.lastAlive = now
					}
				}
			}
			for i, t := range tables {
				merges[i](t)
				merges[1-i](t)
			}
		}
		verify()
	}
}
