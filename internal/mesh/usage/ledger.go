package usage

import (
	"fmt"
	"slices"
)

// MaxOpenReports limits the number of reports that wait for the platform. Beyond that, the oldest
// report is discarded.
const MaxOpenReports = 256

// Report has the counts of a window by tenant. It never changes.
type Report struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// Ledger is the replicated state of the reports. It is deterministic: copies that apply the same
// operations in the same order are equal. The zero value is empty.
type Ledger struct {
	Through int64     `json:"through"`          // last final window; 0 if there is none
	Open    []*Report `json:"open,omitempty"`   // not accepted by the platform yet; ordered by window
	Taken   uint64    `json:"taken,omitempty"`  // number of accepted reports
	GaveUp  uint64    `json:"gave_up"`          // number of reports discarded, as too many were open
	Missed  uint64    `json:"missed,omitempty"` // windows without a report, as their counts were lost
}

// Finalize makes a report final. It fails if the window or a later one is final already, so a
// report never changes, even if another node has different counts.
func (l *Ledger) Finalize(r *Report) error {
	switch {
	case r == nil || r.Window <= 0:
		return fmt.Errorf("window: it is missing")
	case r.Window <= l.Through:
		return fmt.Errorf("window: %d is final, as are all up to %d", r.Window, l.Through)
	}
	if l.Through > 0 {
		l.Missed += uint64(r.Window - l.Through - 1)
	}
	l.Through = r.Window
	if len(l.Open) >= MaxOpenReports {
		l.Open = slices.Delete(slices.Clone(l.Open), 0, 1)
		l.GaveUp++
	}
	l.Open = append(slices.Clip(l.Open), r)
	return nil
}

// MarkAccepted records that the platform has accepted the report of a window.
func (l *Ledger) MarkAccepted(window int64) error {
	i := slices.IndexFunc(l.Open, func(r *Report) bool { return r.Window == window })
	if i < 0 {
		return fmt.Errorf("window: no report of %d is open", window)
	}
	l.Open = slices.Delete(slices.Clone(l.Open), i, i+1)
	l.Taken++
	return nil
}

// Clone returns a ledger that can change independently. The reports are shared.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Open = slices.Clone(l.Open)
	return &c
}
