package registry

// Revisions numbers the changes of a Table at a core machine, so that an agent which comes back over
// a new connection is told what has changed since, and not all that there is again: after a cut or a
// stall all agents come back at once, and all words to all of them were the most that a core machine
// ever had to do. The zero value is at revision 0, of which nobody can be.
type Revisions struct {
	now     uint64
	removed uint64 // when a station was last removed: who has heard less must hear all
	marks   map[string]*marks
}

// marks are the revisions at which an agent's station last changed.
type marks struct {
	said       uint64 // a new word of itself
	lost, back uint64 // it became lost, and was heard again
	backBefore uint64 // heard again, before it became lost
}

func (m *marks) isLost() bool { return m.lost > m.back }

// as says whether it is certain that the agent is as lost or heard as it was at a revision.
func (m *marks) as(at uint64) bool {
	switch {
	case m.lost <= at:
		return m.back <= at
	case m.isLost():
		return false
	default: // lost since, and back: before that it had been heard from backBefore on
		return m.backBefore <= at
	}
}

// Now is the present revision.
func (r *Revisions) Current() uint64 { return r.now }

func (r *Revisions) of(agent string) *marks {
	if r.marks == nil {
		r.marks = map[string]*marks{}
	}
	m := r.marks[agent]
	if m == nil {
		m = &marks{}
		r.marks[agent] = m
	}
	r.now++
	return m
}

// Said notes that an agent has said a new word of itself.
func (r *Revisions) RecordUpdate(agent string) { m := r.of(agent); m.said = r.now }

// Lost notes that an agent is lost.
func (r *Revisions) RecordLost(agent string) {
	if m := r.of(agent); !m.isLost() {
		m.lost, m.backBefore = r.now, m.back
	}
}

// Back notes that an agent that was lost is heard again.
func (r *Revisions) RecordRecovered(agent string) { m := r.of(agent); m.back = r.now }

// Removed notes that stations were removed, and keeps what there is of the others.
func (r *Revisions) RecordRemoval(there func(agent string) bool) {
	r.now++
	r.removed = r.now
	for agent := range r.marks {
		if !there(agent) {
			delete(r.marks, agent)
		}
	}
}

// Since returns the agents of which somebody who has heard all up to a revision has to hear. It
// reports false where all has to be told.
func (r *Revisions) ChangedSince(revision uint64) (agents []string, ok bool) {
	if revision == 0 || revision > r.now || revision < r.removed {
		return nil, false
	}
	for agent, m := range r.marks {
		if m.said > revision || !m.as(revision) {
			agents = append(agents, agent)
		}
	}
	return agents, true
}
