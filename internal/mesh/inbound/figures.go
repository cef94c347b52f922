package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// AddMetrics adds the metrics of the gate and its host to the set.
func (h *Host) AddMetrics(set *meshmetrics.Set) {
	set.Add("micaline_mesh_gate_handed_total", float64(h.Dispatched.Load()))
	set.Add("micaline_mesh_gate_answered_total", float64(h.Answered.Load()))
	set.Add("micaline_mesh_gate_failed_total", float64(h.Failed.Load()))
	h.WithGate(func(now time.Duration, gate *Gate) bool {
		gate.addMetrics(now, set)
		return false
	})
}

func (g *Gate) addMetrics(now time.Duration, set *meshmetrics.Set) {
	g.advance(now)
	for reason, name := range transport.ReasonNames() {
		// Zeros are exported too, so that the first refusal shows as an increase.
		set.Add("micaline_mesh_gate_refused_total", float64(g.Refused[reason]), name)
	}
	for cause, name := range causeNames {
		set.Add("micaline_mesh_gate_backend_changes_total", float64(g.BackendChanges[cause]), name)
	}
	set.Add("micaline_mesh_gate_late_calls_total", float64(g.StaleHeartbeats))
	capacity := 0
	if g.instances.serving != nil {
		capacity = g.instances.serving.Capacity
	}
	set.Add("micaline_mesh_gate_in_flight", float64(g.inFlight))
	set.Add("micaline_mesh_gate_waiting", float64(len(g.queue)))
	set.Add("micaline_mesh_gate_capacity", float64(capacity))
	set.Add("micaline_mesh_gate_cold_peak", float64(max(g.coldPeaks[0], g.coldPeaks[1])))
	warmupBound := 0.0
	if g.rules.WarmupRate > 0 {
		warmupBound = g.rules.WarmupRate*g.rules.WarmupExcess + g.rules.WarmupMargin
	}
	set.Add("micaline_mesh_gate_cold_bound", warmupBound)
	set.OneOf("micaline_mesh_gate_backend_state", g.state(), meshmetrics.Backends)
}

// state returns one of meshmetrics.Backends. A state that closes the gate takes precedence over one
// that only slows it down.
func (g *Gate) state() string {
	switch {
	case g.instances.serving == nil && g.instances.unconfirmed != nil:
		return "unproven"
	case g.instances.serving == nil:
		return "none"
	case g.rules.NoConfig:
		return "blind"
	case g.instances.serving.Draining:
		return "draining"
	case g.rules.Evacuated:
		return "evacuated"
	case g.coldUntil > g.now:
		return "cold"
	}
	return "ready"
}
