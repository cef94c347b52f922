package usage

import (
	"fmt"
	"slices"
)

// MostOpen reports may wait for the platform; beyond it the oldest is given up.
const MaxOpenReports = 256

// Report is what is said of a window. It never changes.
type Report struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// Ledger is what has been fixed: a machine whose copies are the same wherever the same was applied in
// the same order. The zero value is empty.
type Ledger struct {
	Through int64     `json:"through"`          // the last window that is fixed; 0: none
	Open    []*Report `json:"open,omitempty"`   // that the platform has not taken yet, by window
	Taken   uint64    `json:"taken,omitempty"`  // how many it has
	GaveUp  uint64    `json:"gave_up"`          // how many were given up, as too many waited
	Missed  uint64    `json:"missed,omitempty"` // windows that were never fixed, as their counts were lost
}

// Fix makes a report final. It is refused if the window, or a later one, is fixed already: what the
// report says never changes, whoever counts again.
func (l *Ledger) Finalize(r *Report) error {
	switch {
	case r == nil || r.Window <= 0:
		return fmt.Errorf("window: there is none")
	case r.Window <= l.Through:
		return fmt.Errorf("window: %d is fixed, up to %d", r.Window, l.Through)
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

// Take takes in that the platform has a report.
func (l *Ledger) MarkAccepted(window int64) error {
	i := slices.IndexFunc(l.Open, func(r *Report) bool { return r.Window == window })
	if i < 0 {
		return fmt.Errorf("window: no report of %d waits", window)
	}
	l.Open = slices.Delete(slices.Clone(l.Open), i, i+1)
	l.Taken++
	return nil
}

// Clone returns a ledger that changes by itself; the reports are shared.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Open = slices.Clone(l.Open)
	return &c
}
