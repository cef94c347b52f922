package registry

// Revisions numbers the changes of a Table at a control-plane node. An agent that reconnects is
// then sent only what has changed since its last revision. After a partition or a stall all agents
// reconnect at once, and sending every station to every agent would be the largest load that a
// control-plane node ever has. The zero value is at revision 0, which no agent can have reached.
type Revisions struct {
	current   uint64 // current revision
	removedAt uint64 // when a station was last removed; older revisions need the complete list
	agents    map[string]*agentRevisions
}

// agentRevisions holds the revisions at which an agent's status last changed.
type agentRevisions struct {
	updated         uint64 // the agent sent a new version of its station
	lost, recovered uint64 // contact with the agent was lost, and was regained
	recoveredBefore uint64 // value of recovered when contact was lost
}

func (a *agentRevisions) isLost() bool { return a.lost > a.recovered }

// sameStatusAt reports whether the agent's lost state is certainly the same now as at an earlier
// revision.
func (a *agentRevisions) sameStatusAt(revision uint64) bool {
	switch {
	case a.lost <= revision:
		return a.recovered <= revision
	case a.isLost():
		return false
	default: // lost and recovered since the revision; in contact from recoveredBefore until lost
		return a.recoveredBefore <= revision
	}
}

// Current returns the current revision.
func (r *Revisions) Current() uint64 { return r.current }

// advance begins a new revision and returns the agent's entry.
func (r *Revisions) advance(agent string) *agentRevisions {
	if r.agents == nil {
		r.agents = map[string]*agentRevisions{}
	}
	revs := r.agents[agent]
	if revs == nil {
		revs = &agentRevisions{}
		r.agents[agent] = revs
	}
	r.current++
	return revs
}

// RecordUpdate records that an agent has sent a new version of its station.
func (r *Revisions) RecordUpdate(agent string) { revs := r.advance(agent); revs.updated = r.current }

// RecordLost records that contact with an agent was lost.
func (r *Revisions) RecordLost(agent string) {
	if revs := r.advance(agent); !revs.isLost() {
		revs.lost, revs.recoveredBefore = r.current, revs.recovered
	}
}

// RecordRecovered records that contact with a lost agent was regained.
func (r *Revisions) RecordRecovered(agent string) {
	revs := r.advance(agent)
	revs.recovered = r.current
}

// RecordRemoval records that stations were removed, and drops the agents that no longer exist.
func (r *Revisions) RecordRemoval(exists func(agent string) bool) {
	r.current++
	r.removedAt = r.current
	for agent := range r.agents {
		if !exists(agent) {
			delete(r.agents, agent)
		}
	}
}

// ChangedSince returns the agents whose stations have changed since a revision. It returns false if
// the complete list has to be sent.
func (r *Revisions) ChangedSince(revision uint64) (agents []string, ok bool) {
	if revision == 0 || revision > r.current || revision < r.removedAt {
		return nil, false
	}
	for agent, revs := range r.agents {
		if revs.updated > revision || !revs.sameStatusAt(revision) {
			agents = append(agents, agent)
		}
	}
	return agents, true
}
