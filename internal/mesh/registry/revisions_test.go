package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWhatChangedSinceIsEnough has agents come and go at random, and somebody who heard all up to
// any earlier moment come to the same knowledge by what Since names.
func TestWhatChangedSinceIsEnough(t *testing.T) {
	type known struct {
		word int
		lost bool
	}
	resumed, spared := 0, 0
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 8))
		var r Revisions
		table := map[string]known{}
		moments := map[uint64]map[string]known{}
		for range 60 {
			agent := fmt.Sprint(rng.IntN(5))
			k, there := table[agent]
			switch do := rng.IntN(8); {
			case do < 3 || !there:
				if k.lost {
					r.RecordRecovered(agent)
				}
				r.RecordUpdate(agent)
				table[agent] = known{word: k.word + 1}
			case do < 5 && !k.lost:
				r.RecordLost(agent)
				table[agent] = known{k.word, true}
			case do < 7 && k.lost:
				r.RecordRecovered(agent)
				table[agent] = known{k.word, false}
			case do == 7 && k.lost && rng.IntN(4) == 0:
				delete(table, agent)
				r.RecordRemoval(func(a string) bool { _, ok := table[a]; return ok })
			}
			moments[r.Current()] = maps.Clone(table)
			for at, have := range moments {
				agents, ok := r.ChangedSince(at)
				if !ok {
					continue
				}
				resumed++
				spared += len(table) - len(agents)
				have = maps.Clone(have)
				for _, a := range agents {
					have[a] = table[a]
				}
				require.Equal(t, table, have, "seed %d: from %d to %d", seed, at, r.Current())
			}
		}
	}
	require.Greater(t, resumed, 5000)
	require.Greater(t, spared, 5000)
	var r Revisions
	_, ok := r.ChangedSince(0)
	require.False(t, ok)
	_, ok = r.ChangedSince(7)
	require.False(t, ok, "a revision of another core process")
}
