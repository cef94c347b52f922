package solvay

import (
	"time"

	"example.org/micaline/internal/brentei"
	"example.org/micaline/internal/fanes"
)

// Figures adds what the gate and its host count.
func (h *Host) Figures(f *fanes.Set) {
	f.Add("altavia_gate_handed_total", float64(h.Handed.Load()))
	f.Add("altavia_gate_answered_total", float64(h.Answered.Load()))
	f.Add("altavia_gate_failed_total", float64(h.Failed.Load()))
	h.With(func(now time.Duration, g *Gate) bool {
		g.figures(now, f)
		return false
	})
}

func (g *Gate) figures(now time.Duration, f *fanes.Set) {
	g.step(now)
	for reason, name := range brentei.Reasons() {
		f.Add("altavia_gate_refused_total", float64(g.Refused[reason]), name) // also 0: the first is seen as a rise
	}
	capacity := 0
	if g.backend != nil {
		capacity = g.backend.Capacity
	}
	f.Add("altavia_gate_in_flight", float64(g.inFlight))
	f.Add("altavia_gate_waiting", float64(len(g.waiting)))
	f.Add("altavia_gate_capacity", float64(capacity))
	f.Add("altavia_gate_cold_peak", float64(max(g.peaks[0], g.peaks[1])))
	bound := 0.0
	if g.rules.WarmupPerS > 0 {
		bound = g.rules.WarmupPerS*g.rules.Excess + g.rules.Margin
	}
	f.Add("altavia_gate_cold_bound", bound)
	f.OneOf("altavia_gate_backend_state", g.state(), fanes.Backends)
}

// state is one word of fanes.Backends. What shuts the gate stands before what only slows it.
func (g *Gate) state() string {
	switch {
	case g.backend == nil:
		return "none"
	case g.rules.Blind:
		return "blind"
	case g.backend.Draining:
		return "draining"
	case g.rules.Evacuated:
		return "evacuated"
	case g.cold > g.now:
		return "cold"
	}
	return "ready"
}
