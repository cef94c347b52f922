package controlplane

import (
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshmetrics"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
)

// figures adds what there is to count of duties.
func (h *dutyHolder) figures(f *meshmetrics.Set) {
	ledger := h.core.table.dutiesNow.Load().Usage
	f.Add("micaline_mesh_core_duty_fence", float64(h.epoch.Load()), duties.UsageReport)
	for i, n := range []*atomic.Uint64{&h.taken, &h.refused, &h.unclear} {
		f.Add("micaline_mesh_core_duty_calls_total", float64(n.Load()), duties.UsageReport, meshmetrics.DutyCalls[i])
	}
	f.Add("micaline_mesh_core_usage_waiting", float64(len(ledger.Open)))
	f.Add("micaline_mesh_core_usage_behind_seconds", h.behind(ledger).Seconds())
	f.Add("micaline_mesh_core_usage_lost_total", float64(ledger.GaveUp+ledger.Missed))
}

// behind is how long ago the oldest window ended that the platform has no report of.
func (h *dutyHolder) behind(ledger *usage.Ledger) time.Duration {
	oldest := ledger.Through + 1
	switch {
	case ledger.Through == 0:
		return 0
	case len(ledger.Open) > 0:
		oldest = ledger.Open[0].Window
	}
	return max(0, h.core.clock.Now()-meshtime.WindowEnd(oldest, h.core.set.Bounds.ReportWindow))
}

// state tells how the duties stand.
func (h *dutyHolder) state() []transport.DutyState {
	table := h.core.table.dutiesNow.Load()
	ledger := table.Usage
	s := transport.DutyState{Duty: duties.UsageReport, Through: ledger.Through, Waiting: len(ledger.Open), Behind: h.behind(ledger),
		Taken: ledger.Taken, Lost: ledger.GaveUp + ledger.Missed}
	if d := table.Leases.Duties[duties.UsageReport]; d != nil {
		s.Holder, s.Fence, s.Renewed, s.Term, s.Why = d.Holder, d.Epoch, d.Renewed, d.Term, d.Why
	}
	for _, m := range table.Leases.History {
		s.History = append(s.History, transport.DutyMove{Number: m.Number, Duty: m.Duty, Holder: m.Holder, Fence: m.Epoch, Why: m.Why})
	}
	return []transport.DutyState{s}
}
