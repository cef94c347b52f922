package seenids

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An id is known for one generation at least and for two at most, however the time is cut into
// steps, and neither generation holds more than it may while Full is obeyed.
func TestSet(t *testing.T) {
	const lasts, most = 30 * time.Second, 20
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Duration(0)
	s, added := New(now, lasts, most), map[string]time.Duration{}
	for n := range 5000 {
		now += time.Duration(rng.Int64N(int64(4 * time.Second)))
		if rng.IntN(200) == 0 {
			now += 2 * lasts
		}
		s.Advance(now)
		if id := strconv.Itoa(n); !s.Full() {
			s.Add(id)
			added[id] = now
		}
		for id, at := range added {
			known := s.Contains(id)
			require.True(t, known || now-at >= lasts, "%s is forgotten after %v", id, now-at)
			require.False(t, known && now-at > 2*lasts, "%s is known after %v", id, now-at)
			if !known {
				delete(added, id)
			}
		}
		require.LessOrEqual(t, max(len(s.generations[0]), len(s.generations[1])), most)
	}
}
