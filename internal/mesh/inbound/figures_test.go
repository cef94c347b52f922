package inbound

import (
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestColdPeak checks that the cold_peak metric is the highest number of dispatches in any span of
// warmupWindow, even if that span is long over when the metrics are read.
func TestColdPeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{WarmupRate: rapid.Float64Range(1, 20).Draw(t, "per_s"), WarmupExcess: 1.5, WarmupMargin: 5, Warmup: time.Hour}
		gate := NewGate(0, rules)
		now := 2 * time.Second // past the first window, in which a cold backend gets nothing
		gate.ProbeSucceeded(now, 0, transport.Backend{ID: "b", Capacity: 1000, ColdLeft: time.Hour, Calls: 1})
		var dispatches []time.Duration
		peak := 0
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			if ticket, failure := gate.Admit(now, &transport.Request{Target: "b", Aim: time.Second}); ticket == nil && failure == nil {
				dispatches = append(dispatches, now)
				n := 0
				for _, at := range dispatches {
					if at > now-warmupWindow {
						n++
					}
				}
				peak = max(peak, n)
				gate.Complete(now, 0, true, true)
			}
		}
		var set meshmetrics.Set
		gate.addMetrics(now, &set)
		got := map[string]float64{}
		for _, s := range set.Samples {
			key := s.Name
			if len(s.Labels) > 0 {
				key += s.Labels[1]
			}
			got[key] = s.Value
		}
		require.EqualValues(t, peak, got["micaline_mesh_gate_cold_peak"])
		require.LessOrEqual(t, got["micaline_mesh_gate_cold_peak"], got["micaline_mesh_gate_cold_bound"])
		require.EqualValues(t, 1, got["micaline_mesh_gate_backend_statecold"])
	})
}
