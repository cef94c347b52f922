package rollout

import (
	"slices"
	"time"

	"example.org/micaline/internal/change"
)

// What operators order of a rollout.

// Abort has the rollout halt. What is prepared ends, and what is applied stays.
func (r *Rollout) Abort(now time.Duration) error {
	if r.Status != Running && r.Status != RollingBack {
		return ErrNotRunning
	}
	r.Status, r.Reason, r.Ended, r.header = Halted, "aborted by an operator", now, true
	return nil
}

// Resume goes on with a halted rollout, or one that was superseded, if this manager has a newer number now; one that was being
// taken back goes on with that. Those of the present wave that did not apply the change are tried again, or left out.
func (r *Rollout) Resume(now time.Duration, leave bool) error {
	if r.Status != Halted && r.Status != Superseded {
		return ErrNotHalted
	}
	if slices.ContainsFunc(r.members, func(m *Member) bool { return m.Backing }) {
		// What was halted is the taking back. To bring out what some have given back would tell them as having it.
		r.Reason = ""
		r.rollback()
		return nil
	}
	for _, m := range r.members {
		t := &m.Target
		died := t.State == change.Done && m.seen.Epoch != "" && m.seen.Epoch != t.Epoch
		silent := t.State == change.Done && (m.seenAt < r.Baking || m.seen.Epoch == "")
		switch {
		case m.asked || m.Wave > r.Wave || t.State == change.Planned || t.State == change.Done && !died && !silent:
		case leave:
			m.Left = true
			r.note(m)
		case t.State == change.NotDone || t.State == change.Superseded || died:
			r.tryAgain(m)
		}
	}
	r.Status, r.Reason, r.Ended, r.Since, r.Baking, r.header = Running, "", 0, now, 0, true
	return nil
}

// Rollback takes back what was applied.
func (r *Rollout) Rollback(now time.Duration) error {
	if r.Status == RolledBack || r.Status == RollingBack {
		return ErrAlreadyRolledBack
	}
	for _, m := range r.members {
		// A taking back that failed is tried again under another id.
		if m.Backing && !m.asked && m.Back.State.Final() && m.Back.State != change.Done && m.Back.State != change.Unknown {
			m.Back, m.BackTry = change.Target{}, m.BackTry+1
			r.note(m)
		}
	}
	r.Reason = "rolled back by an operator"
	r.rollback()
	return nil
}
