package consensus

import (
	"fmt"
	"slices"
)

// Voters change through joint configurations. The leader appends a configuration that contains the
// incoming and the outgoing voters. From then on everything that needs a quorum needs a majority of
// both sets. Once this configuration is committed, the leader appends one that contains only the
// incoming voters. A leader that finds a joint configuration in its log completes the change.
//
// A change never raises the number of survivors that the mesh needs. A joint configuration is
// entered only when majorities of both sets are reachable, and it is left with a majority of the
// incoming voters that hold everything that was committed before. For example, one of three voters
// is lost and a learner replaces it. The two remaining voters are a majority of the outgoing
// voters, as before, and also of the incoming ones. As long as they are up, the change either
// proceeds or waits, and it blocks nothing. Once the final configuration is committed, any two of
// the three new voters are enough.

// reconcileMembers starts or continues a configuration change if one is needed. A change starts
// only after the previous one is committed and an entry of the leader's own term is committed:
// before that it is unknown which configuration is in effect.
func (m *Machine) reconcileMembers() {
	current := m.log.latestConfiguration()
	if m.role != leader || m.commitIndex < m.termStartIndex || current.place.Index > m.commitIndex || m.transferee != nil {
		return
	}
	members := current.members
	if members.isJoint() {
		m.finishJointChange(members)
		return
	}
	next := members
	next.Voters, next.Target = m.withDiscoveredDisks(members.Voters), max(members.Target, m.targetVoters)
	if !slices.Equal(next.Voters, members.Voters) || next.Target != members.Target {
		m.appendMembers(next) // the same machines, so no quorum changes
		return
	}
	next.Voters, next.Old = m.desiredVoters(members), members.Voters
	if !sameVoters(next.Voters, members.Voters) && next.hasQuorum(m.isReachable) {
		m.appendMembers(next)
	}
}

// finishJointChange ends a joint configuration. A leader that is not among the incoming voters
// transfers leadership to one that is, because it could not commit its own removal as a voter.
func (m *Machine) finishJointChange(members Members) {
	if !slices.ContainsFunc(members.Voters, m.isSelf) {
		m.TransferLeadership()
		return
	}
	members.Old = nil
	m.appendMembers(members)
}

// desiredVoters returns the voters that the mesh should have now. Learners in the zones with the
// fewest voters are promoted first.
func (m *Machine) desiredVoters(members Members) []Member {
	ready := m.readyLearners()
	promote := func(i int) Member {
		v := ready[i]
		ready = slices.Delete(ready, i, i+1)
		return v
	}
	next := slices.Clone(members.Voters)
	for i, v := range next { // a disk was lost, and its replacement responds at the same address
		if index := slices.IndexFunc(ready, func(r Member) bool { return r.Address == v.Address }); index >= 0 {
			next[i] = promote(index)
		}
	}
	for len(next) > max(members.Target, 1) {
		next = m.removeLeastUseful(next)
	}
	for i, v := range next {
		if !m.isPresumedLost(v) && !m.isLeaving(v) {
			continue
		}
		if index := m.indexInLeastCrowdedZone(ready, slices.Delete(slices.Clone(next), i, i+1)); index >= 0 {
			next[i] = promote(index)
		}
	}
	for len(next) < members.Target && len(ready) > 0 {
		next = append(next, promote(m.indexInLeastCrowdedZone(ready, next)))
	}
	if sameVoters(next, members.Voters) && !slices.ContainsFunc(next, func(v Member) bool { return !m.isReachable(v) }) {
		return m.rebalanceZones(next, ready)
	}
	return next
}

// removeLeastUseful removes one voter: one that is presumed lost, otherwise one that is leaving,
// otherwise the last one that is not this node.
func (m *Machine) removeLeastUseful(voters []Member) []Member {
	i := slices.IndexFunc(voters, m.isPresumedLost)
	if i < 0 {
		i = slices.IndexFunc(voters, m.isLeaving)
	}
	if i < 0 {
		i = len(voters) - 1
		if m.isSelf(voters[i]) {
			i--
		}
	}
	return slices.Delete(voters, i, i+1)
}

// readyLearners returns the learners that are reachable and hold everything that was committed one
// heartbeat ago. The current commit index is no usable bound: under a steady load of proposals it
// is always one round trip ahead of them.
func (m *Machine) readyLearners() []Member {
	var ready []Member
	for _, p := range m.peers {
		if m.isActiveLearner(p) && p.ackedRound > p.learnerSinceRound && p.matchIndex >= m.commitAtPreviousHeartbeat {
			ready = append(ready, p.member)
		}
	}
	return ready
}

// isActiveLearner reports whether a peer is a reachable learner that is not leaving.
func (m *Machine) isActiveLearner(p *progress) bool {
	return p.isLearner && m.now >= p.leavingUntil && m.now-p.lastContact < peerTimeout
}

func (m *Machine) isSelf(v Member) bool { return v.matches(m.self, m.diskID, m.founder) }

// voterProgress returns the progress of another voter; nil for this node and for unknown voters.
func (m *Machine) voterProgress(v Member) *progress {
	for _, p := range m.peers {
		if p.member == v && !p.isLearner {
			return p
		}
	}
	return nil
}

// isReachable reports whether a node has responded recently, as a voter or as a learner.
func (m *Machine) isReachable(v Member) bool {
	return m.isSelf(v) || slices.ContainsFunc(m.peers, func(p *progress) bool {
		return p.member == v && m.now-p.lastContact < peerTimeout
	})
}

// isPresumedLost reports whether another voter was silent for so long that it should be replaced.
func (m *Machine) isPresumedLost(v Member) bool {
	p := m.voterProgress(v)
	return p != nil && m.now-p.lastContact >= m.replaceAfter
}

// isLeaving reports whether a voter has announced that it is about to leave.
func (m *Machine) isLeaving(v Member) bool {
	if m.isSelf(v) {
		return m.isDeparting()
	}
	p := m.voterProgress(v)
	return p != nil && m.now < p.leavingUntil
}

// withDiscoveredDisks returns the voters with disk number 0 replaced by the real number where that
// has become known.
func (m *Machine) withDiscoveredDisks(voters []Member) []Member {
	next := slices.Clone(voters)
	for i, v := range next {
		if v.Disk != 0 {
			continue
		}
		if m.isSelf(v) {
			next[i].Disk = m.diskID
		} else if p := m.voterProgress(v); p != nil && p.discoveredDisk != 0 {
			next[i].Disk = p.discoveredDisk
		}
	}
	return next
}

// sameVoters reports whether two sets of voters are equal, in any order.
func sameVoters(a, b []Member) bool {
	isIn := func(set []Member) func(Member) bool {
		return func(v Member) bool { return slices.Contains(set, v) }
	}
	return len(a) == len(b) && !slices.ContainsFunc(a, func(v Member) bool { return !isIn(b)(v) })
}

// appendMembers appends a configuration to the log, which takes effect immediately.
func (m *Machine) appendMembers(next Members) {
	m.validateChange(m.log.latestConfiguration(), next)
	m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Members: &next})
	m.updatePeers()
}

// validateChange panics unless every quorum of the current configuration shares a disk with every
// quorum of the next one.
func (m *Machine) validateChange(current configuration, next Members) {
	if current.place.Index > m.commitIndex || m.commitIndex < m.termStartIndex {
		panic(fmt.Sprintf("consensus: configuration change at %d before the configuration of entry %d or an entry of this term is committed", m.log.lastIndex()+1, current.place.Index))
	}
	previous := current.members
	addresses := func(voters []Member) []string {
		var all []string
		for _, v := range voters {
			all = append(all, v.Address)
		}
		return all
	}
	entersJoint := !previous.isJoint() && next.isJoint() && slices.Equal(next.Old, previous.Voters)
	leavesJoint := previous.isJoint() && !next.isJoint() && slices.Equal(next.Voters, previous.Voters)
	changesDisksOnly := !previous.isJoint() && !next.isJoint() && slices.Equal(addresses(next.Voters), addresses(previous.Voters))
	if !entersJoint && !leavesJoint && !changesDisksOnly || len(next.Voters) == 0 {
		panic(fmt.Sprintf("consensus: invalid configuration change from %v to %v", previous, next))
	}
}
