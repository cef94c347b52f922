package controlplane

import (
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshmetrics"
)

// addMetrics adds the metrics of the current maintenance window.
func (d *windowDriver) addMetrics(metrics *meshmetrics.Set) {
	step, remaining, late, blocked := 0, 0, 0.0, false
	if window := d.core.table.publishedWindows.Load().Current(); window != nil {
		step, blocked = window.Step, window.Waits != ""
		if view := d.view.Load(); view != nil && window.Step > 0 {
			remaining = len(view.Remaining)
		}
		if now := d.core.clock.Now(); now > window.Start && now < window.End && !window.Clear && window.Phase != maintenance.PhaseReturning {
			late = (now - window.Start).Seconds()
		}
	}
	metrics.Add("micaline_mesh_core_window_step", float64(step))
	metrics.Flag("micaline_mesh_core_window_waits", blocked)
	metrics.Add("micaline_mesh_core_window_left", float64(remaining))
	metrics.Add("micaline_mesh_core_window_late_seconds", late)
}
