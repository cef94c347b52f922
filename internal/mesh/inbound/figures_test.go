package inbound

import (
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The figure that warns of the warm-up bound is the most that any second had, however long ago
// within its time figures are asked for.
func TestColdPeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{WarmupRate: rapid.Float64Range(1, 20).Draw(t, "per_s"), WarmupExcess: 1.5, WarmupMargin: 5, Warmup: time.Hour}
		g := NewGate(0, rules)
		now := 2 * time.Second // past the span in which what an earlier process did is not known
		g.ProbeSucceeded(now, 0, transport.Backend{ID: "b", Capacity: 1000, ColdLeft: time.Hour, Calls: 1})
		var handed []time.Duration
		most := 0
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			if ticket, f := g.Admit(now, &transport.Request{Target: "b", Aim: time.Second}); ticket == nil && f == nil {
				handed = append(handed, now)
				n := 0
				for _, at := range handed {
					if at > now-span {
						n++
					}
				}
				most = max(most, n)
				g.Complete(now, 0, true, true)
			}
		}
		var f meshmetrics.Set
		g.figures(now, &f)
		got := map[string]float64{}
		for _, s := range f.Samples {
			key := s.Name
			if len(s.Labels) > 0 {
				key += s.Labels[1]
			}
			got[key] = s.Value
		}
		require.EqualValues(t, most, got["micaline_mesh_gate_cold_peak"])
		require.LessOrEqual(t, got["micaline_mesh_gate_cold_peak"], got["micaline_mesh_gate_cold_bound"])
		require.EqualValues(t, 1, got["micaline_mesh_gate_backend_statecold"])
	})
}
