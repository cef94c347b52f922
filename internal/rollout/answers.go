package rollout

import (
	"time"

	"example.org/micaline/internal/change"
)

// What instances say to a rollout.

// Answered takes in an instance's answer.
func (r *Rollout) RecordAnswer(now time.Duration, name string, a change.Answer) {
	m := r.byName[name]
	if m == nil || !m.asked {
		return // of a process of this manager that has ended
	}
	m.asked = false
	if m.seen.Epoch != a.Epoch {
		m.seen = Observation{} // what was seen before is of another process
	}
	t := m.current()
	t.RecordAnswer(a)
	if t.Refused && !m.Backing && m.Epoch != a.Epoch {
		t.Refused = false // it has begun anew since the change was planned, on which that was based
	}
	r.note(m)
	if a.Fenced {
		r.Supersede(now, a.Err.Error())
	}
	r.settleRestored(m, a)
}

// settleRestored begins a change anew that the manager before this one had asked an instance to apply, and of which the
// same process of the instance says now that it has not and never will.
func (r *Rollout) settleRestored(m *Member, a change.Answer) {
	if !m.restored || m.Target.State == change.Unknown {
		return
	}
	m.restored = false
	t := &m.Target
	if r.Status == Running && t.State == change.NotDone && !t.Refused && a.Result.Outcome == change.Unchanged && m.Epoch == a.Epoch {
		r.tryAgain(m)
	}
}

// Supersede ends all sending: another manager has the fleet.
func (r *Rollout) Supersede(now time.Duration, why string) {
	if r.Status.Finished() || r.Status == Superseded {
		return
	}
	r.Status, r.Reason, r.Ended, r.header = Superseded, why, now, true
}

// Silent takes in that a request was not answered in time, or its connection ended.
func (r *Rollout) RecordNoAnswer(name, why string) {
	m := r.byName[name]
	if m == nil || !m.asked {
		return
	}
	m.asked = false
	m.current().RecordNoAnswer(why)
	r.note(m)
}

// Looked takes in what an instance shows, and returns a question to it where what became of a commit is not known, or a
// prepare may have been left there.
func (r *Rollout) Observe(now time.Duration, name string, l Observation) (out []OutgoingRequest) {
	m := r.byName[name]
	if m == nil {
		return nil
	}
	m.seen, m.seenAt = l, now
	if r.Status == Superseded || m.asked {
		return nil
	}
	if m.Target.State == change.Planned && m.Epoch != l.Epoch {
		// Another process before its turn: it has nothing of what the one before had. It goes back to that all the same.
		m.Epoch, m.Base = l.Epoch, l.Revision
		r.note(m)
	}
	if t := m.current(); t.State == change.Unknown || t.Loose {
		out = r.send(out, m, m.current().Resolve(), m.Backing)
	}
	return out
}
