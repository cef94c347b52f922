package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/transport"
)

// Figures adds what the gate and its host count.
func (h *Host) AddMetrics(f *meshmetrics.Set) {
	f.Add("micaline_mesh_gate_handed_total", float64(h.Dispatched.Load()))
	f.Add("micaline_mesh_gate_answered_total", float64(h.Answered.Load()))
	f.Add("micaline_mesh_gate_failed_total", float64(h.Failed.Load()))
	h.WithGate(func(now time.Duration, g *Gate) bool {
		g.figures(now, f)
		return false
	})
}

func (g *Gate) figures(now time.Duration, f *meshmetrics.Set) {
	g.step(now)
	for reason, name := range transport.ReasonNames() {
		f.Add("micaline_mesh_gate_refused_total", float64(g.Refused[reason]), name) // also 0: the first is seen as a rise
	}
	for cause, name := range causeNames {
		f.Add("micaline_mesh_gate_backend_changes_total", float64(g.BackendChanges[cause]), name)
	}
	f.Add("micaline_mesh_gate_late_calls_total", float64(g.StaleHeartbeats))
	capacity := 0
	if g.lives.serving != nil {
		capacity = g.lives.serving.Capacity
	}
	f.Add("micaline_mesh_gate_in_flight", float64(g.inFlight))
	f.Add("micaline_mesh_gate_waiting", float64(len(g.waiting)))
	f.Add("micaline_mesh_gate_capacity", float64(capacity))
	f.Add("micaline_mesh_gate_cold_peak", float64(max(g.peaks[0], g.peaks[1])))
	bound := 0.0
	if g.rules.WarmupRate > 0 {
		bound = g.rules.WarmupRate*g.rules.WarmupExcess + g.rules.WarmupMargin
	}
	f.Add("micaline_mesh_gate_cold_bound", bound)
	f.OneOf("micaline_mesh_gate_backend_state", g.state(), meshmetrics.Backends)
}

// state is one word of meshmetrics.Backends. What shuts the gate stands before what only slows it.
func (g *Gate) state() string {
	switch {
	case g.lives.serving == nil && g.lives.unproven != nil:
		return "unproven"
	case g.lives.serving == nil:
		return "none"
	case g.rules.NoConfig:
		return "blind"
	case g.lives.serving.Draining:
		return "draining"
	case g.rules.Evacuated:
		return "evacuated"
	case g.cold > g.now:
		return "cold"
	}
	return "ready"
}
