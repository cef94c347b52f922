package controlplane

import (
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshmetrics"
)

// figures adds what there is to count of the window of maintenance that is not over.
func (d *windowDriver) figures(f *meshmetrics.Set) {
	step, left, late, waits := 0, 0, 0.0, false
	if w := d.core.table.windowsNow.Load().Current(); w != nil {
		step, waits = w.Step, w.Waits != ""
		if view := d.view.Load(); view != nil && w.Step > 0 {
			left = len(view.Left)
		}
		if now := d.core.clock.Now(); now > w.Start && now < w.End && !w.Clear && w.Phase != maintenance.PhaseReturning {
			late = (now - w.Start).Seconds()
		}
	}
	f.Add("micaline_mesh_core_window_step", float64(step))
	f.Flag("micaline_mesh_core_window_waits", waits)
	f.Add("micaline_mesh_core_window_left", float64(left))
	f.Add("micaline_mesh_core_window_late_seconds", late)
}
