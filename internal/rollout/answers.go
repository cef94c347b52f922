package rollout

import (
	"time"

	"example.org/micaline/internal/change"
)

// This file has the events of a rollout: answers, missing answers and observations of instances.

// RecordAnswer records the answer of an instance to the open request.
func (r *Rollout) RecordAnswer(now time.Duration, name string, a change.Answer) {
	m := r.byName[name]
	if m == nil || !m.requestOpen {
		return // the answer is to a request of an earlier manager process
	}
	m.requestOpen = false
	if m.observed.Epoch != a.Epoch {
		m.observed = Observation{} // the last observation was of another process
	}
	t := m.activeTarget()
	t.RecordAnswer(a)
	if t.Refused && !m.Backing && m.Epoch != a.Epoch {
		t.Refused = false // the instance has restarted, so the refusal may come from the base revision
	}
	r.markUnsaved(m)
	if a.Fenced {
		r.Supersede(now, a.Err.Error())
	}
	r.resolveRestored(m, a)
}

// resolveRestored retries a change whose commit was open when the previous manager process ended,
// if the same process of the instance now reports that the change was not applied and never will
// be.
func (r *Rollout) resolveRestored(m *Member, a change.Answer) {
	if !m.commitUnresolved || m.Target.State == change.Unknown {
		return
	}
	m.commitUnresolved = false
	t := &m.Target
	if r.Status == Running && t.State == change.NotDone && !t.Refused && a.Result.Outcome == change.Unchanged && m.Epoch == a.Epoch {
		r.retry(m)
	}
}

// Supersede ends the rollout in this manager, because a newer manager has taken over the fleet.
func (r *Rollout) Supersede(now time.Duration, reason string) {
	if r.Status.Finished() || r.Status == Superseded {
		return
	}
	r.Status, r.Reason, r.Ended, r.headerUnsaved = Superseded, reason, now, true
}

// RecordNoAnswer records that the open request timed out or its connection ended.
func (r *Rollout) RecordNoAnswer(name, reason string) {
	m := r.byName[name]
	if m == nil || !m.requestOpen {
		return
	}
	m.requestOpen = false
	m.activeTarget().RecordNoAnswer(reason)
	r.markUnsaved(m)
}

// Observe records the state that an instance reports. It returns a request that resolves the change
// on the instance if the outcome of a commit is unknown or a prepared change may be left there.
func (r *Rollout) Observe(now time.Duration, name string, observation Observation) (requests []OutgoingRequest) {
	m := r.byName[name]
	if m == nil {
		return nil
	}
	m.observed, m.observedAt = observation, now
	if r.Status == Superseded || m.requestOpen {
		return nil
	}
	if m.Target.State == change.Planned && m.Epoch != observation.Epoch {
		// The instance has restarted before its wave. The new process does not have the document of
		// the previous one, but a rollback still restores that document.
		m.Epoch, m.Base = observation.Epoch, observation.Revision
		r.markUnsaved(m)
	}
	if t := m.activeTarget(); t.State == change.Unknown || t.Loose {
		requests = r.appendRequest(requests, m, m.activeTarget().Resolve(), m.Backing)
	}
	return requests
}
