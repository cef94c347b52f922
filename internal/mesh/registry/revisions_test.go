package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWhatChangedSinceIsEnough makes agents appear, disappear and change at random. A receiver that
// was up to date at any earlier revision must reach the current state by updating only the agents
// that ChangedSince returns.
func TestWhatChangedSinceIsEnough(t *testing.T) {
	type state struct {
		version int
		lost    bool
	}
	resumed, skipped := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		var r Revisions
		table := map[string]state{}
		snapshots := map[uint64]map[string]state{}
		for range 60 {
			agent := fmt.Sprint(rng.IntN(5))
			current, exists := table[agent]
			switch choice := rng.IntN(8); {
			case choice < 3 || !exists:
				if current.lost {
					r.RecordRecovered(agent)
				}
				r.RecordUpdate(agent)
				table[agent] = state{version: current.version + 1}
			case choice < 5 && !current.lost:
				r.RecordLost(agent)
				table[agent] = state{current.version, true}
			case choice < 7 && current.lost:
				r.RecordRecovered(agent)
				table[agent] = state{current.version, false}
			case choice == 7 && current.lost && rng.IntN(4) == 0:
				delete(table, agent)
				r.RecordRemoval(func(a string) bool { _, ok := table[a]; return ok })
			}
			snapshots[r.Current()] = maps.Clone(table)
			for revision, caughtUp := range snapshots {
				changed, ok := r.ChangedSince(revision)
				if !ok {
					continue
				}
				resumed++
				skipped += len(table) - len(changed)
				caughtUp = maps.Clone(caughtUp)
				for _, agent := range changed {
					caughtUp[agent] = table[agent]
				}
				require.Equal(t, table, caughtUp, "seed %d: from %d to %d", seed, revision, r.Current())
			}
		}
	}
	require.Greater(t, resumed, 5000)
	require.Greater(t, skipped, 5000)
	var r Revisions
	_, ok := r.ChangedSince(0)
	require.False(t, ok)
	_, ok = r.ChangedSince(7)
	require.False(t, ok, "a revision of another control-plane process")
}
