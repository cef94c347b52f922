package seenids

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSet checks that an id is remembered for at least one lifetime and at most two, however time
// is divided into steps, and that no generation exceeds its limit while Full is respected.
func TestSet(t *testing.T) {
	const lifetime, maxIDs = 30 * time.Second, 20
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	set, addedAt := New(now, lifetime, maxIDs), map[string]time.Duration{}
	for n := range 5000 {
		now += time.Duration(rng.Int64N(int64(4 * time.Second)))
		if rng.IntN(200) == 0 {
			now += 2 * lifetime
		}
		set.Advance(now)
		if id := strconv.Itoa(n); !set.Full() {
			set.Add(id)
			addedAt[id] = now
		}
		for id, at := range addedAt {
			known := set.Contains(id)
			require.True(t, known || now-at >= lifetime, "%s was forgotten after %v", id, now-at)
			require.False(t, known && now-at > 2*lifetime, "%s is still remembered after %v", id, now-at)
			if !known {
				delete(addedAt, id)
			}
		}
		require.LessOrEqual(t, max(len(set.generations[0]), len(set.generations[1])), maxIDs)
	}
}
