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

// addMetrics adds the metrics of the duties.
func (h *dutyHolder) addMetrics(metrics *meshmetrics.Set) {
	ledger := h.core.table.publishedDuties.Load().Usage
	metrics.Add("micaline_mesh_core_duty_fence", float64(h.heldEpoch.Load()), duties.UsageReport)
	for i, counter := range []*atomic.Uint64{&h.accepted, &h.fenced, &h.unknown} {
		metrics.Add("micaline_mesh_core_duty_calls_total", float64(counter.Load()), duties.UsageReport, meshmetrics.DutyCalls[i])
	}
	metrics.Add("micaline_mesh_core_usage_waiting", float64(len(ledger.Open)))
	metrics.Add("micaline_mesh_core_usage_behind_seconds", h.reportLag(ledger).Seconds())
	metrics.Add("micaline_mesh_core_usage_lost_total", float64(ledger.GaveUp+ledger.Missed))
}

// reportLag returns the time since the end of the oldest window without an accepted report.
func (h *dutyHolder) reportLag(ledger *usage.Ledger) time.Duration {
	oldest := ledger.Through + 1
	switch {
	case ledger.Through == 0:
		return 0
	case len(ledger.Open) > 0:
		oldest = ledger.Open[0].Window
	}
	return max(0, h.core.clock.Now()-meshtime.WindowEnd(oldest, h.core.settings.Bounds.ReportWindow))
}

// state returns the current state of the duties.
func (h *dutyHolder) state() []transport.DutyState {
	table := h.core.table.publishedDuties.Load()
	ledger := table.Usage
	state := transport.DutyState{Duty: duties.UsageReport, Through: ledger.Through, Waiting: len(ledger.Open), Behind: h.reportLag(ledger),
		Taken: ledger.Taken, Lost: ledger.GaveUp + ledger.Missed}
	if duty := table.Leases.Duties[duties.UsageReport]; duty != nil {
		state.Holder, state.Fence, state.Renewed, state.Term, state.Why = duty.Holder, duty.Epoch, duty.Renewed, duty.Term, duty.Why
	}
	for _, move := range table.Leases.History {
		state.History = append(state.History, transport.DutyMove{Number: move.Number, Duty: move.Duty, Holder: move.Holder, Fence: move.Epoch, Why: move.Why})
	}
	return []transport.DutyState{state}
}
