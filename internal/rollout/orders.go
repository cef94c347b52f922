package rollout

import (
	"slices"
	"time"

	"example.org/micaline/internal/change"
)

// This file has the orders of operators to a rollout.

// Abort halts the rollout. Prepared changes are aborted, and applied changes stay.
func (r *Rollout) Abort(now time.Duration) error {
	if r.Status != Running && r.Status != RollingBack {
		return ErrNotRunning
	}
	r.Status, r.Reason, r.Ended, r.headerUnsaved = Halted, "aborted by an operator", now, true
	return nil
}

// Resume continues a halted rollout, or a superseded one once this manager has a newer fencing
// token. A rollback that was halted continues as a rollback. Otherwise the instances of the waves
// so far that did not apply the change are retried, or excluded if exclude is set.
func (r *Rollout) Resume(now time.Duration, exclude bool) error {
	if r.Status != Halted && r.Status != Superseded {
		return ErrNotHalted
	}
	if slices.ContainsFunc(r.members, func(m *Member) bool { return m.Backing }) {
		// A rollback was halted. Continuing the waves would count reverted instances as having the
		// change.
		r.Reason = ""
		r.beginRollback()
		return nil
	}
	for _, m := range r.members {
		t := &m.Target
		processEnded := t.State == change.Done && m.observed.Epoch != "" && m.observed.Epoch != t.Epoch
		unobserved := t.State == change.Done && (m.observedAt < r.Baking || m.observed.Epoch == "")
		switch {
		case m.requestOpen || m.Wave > r.Wave || t.State == change.Planned || t.State == change.Done && !processEnded && !unobserved:
		case exclude:
			m.Left = true
			r.markUnsaved(m)
		case t.State == change.NotDone || t.State == change.Superseded || processEnded:
			r.retry(m)
		}
	}
	r.Status, r.Reason, r.Ended, r.Since, r.Baking, r.headerUnsaved = Running, "", 0, now, 0, true
	return nil
}

// Rollback starts to revert the change on all instances that have applied it.
func (r *Rollout) Rollback(now time.Duration) error {
	if r.Status == RolledBack || r.Status == RollingBack {
		return ErrAlreadyRolledBack
	}
	for _, m := range r.members {
		// A revert that failed is retried with a new id.
		if m.Backing && !m.requestOpen && m.Back.State.Final() && m.Back.State != change.Done && m.Back.State != change.Unknown {
			m.Back, m.BackTry = change.Target{}, m.BackTry+1
			r.markUnsaved(m)
		}
	}
	r.Reason = "rolled back by an operator"
	r.beginRollback()
	return nil
}
