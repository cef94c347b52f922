package consensus

import (
	"fmt"
	"slices"
)

// Voters change by joint configurations. The leader appends one that holds the incoming and the
// outgoing voters; from then on whatever needs a quorum needs a majority of both. Once it is
// committed, the leader appends the incoming voters alone. A leader that finds a joint configuration
// finishes it.
//
// Why no survivors that were enough before are too few in between: a joint configuration is entered
// only with majorities of both sets in touch, and is left with a majority of the incoming voters
// that hold all that was committed before. Say one of three is lost and a learner takes its place.
// The two others are a majority of the outgoing voters, as before, and of the incoming ones, so as
// long as they are enough the change goes on or waits, but stops nothing. Once the final
// configuration is committed, two of the three that are now there are enough.

// planMembers is what a leader does about the members. A change begins only after the one before is
// committed and after an entry of the leader's own term is: before, it isn't known which
// configuration holds.
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

// finishChange ends a joint configuration. A leader that isn't among the incoming voters hands
// leadership to one that is, since it could not commit its own leaving as a voter.
func (m *Machine) finishJointChange(members Members) {
	if !slices.ContainsFunc(members.Voters, m.isSelf) {
		m.TransferLeadership()
		return
	}
	members.Old = nil
	m.appendMembers(members)
}

// nextVoters are the voters as they should be by now. Votes are given to learners in the zones that
// have the fewest.
func (m *Machine) desiredVoters(members Members) []Member {
	ready := m.readyLearners()
	take := func(i int) Member {
		v := ready[i]
		ready = slices.Delete(ready, i, i+1)
		return v
	}
	next := slices.Clone(members.Voters)
	for i, v := range next { // the disk is gone, and its successor listens at the address
		if at := slices.IndexFunc(ready, func(r Member) bool { return r.Address == v.Address }); at >= 0 {
			next[i] = take(at)
		}
	}
	for len(next) > max(members.Target, 1) {
		next = m.removeLeastUseful(next)
	}
	for i, v := range next {
		if !m.isPresumedLost(v) && !m.isLeaving(v) {
			continue
		}
		if at := m.indexInLeastCrowdedZone(ready, slices.Delete(slices.Clone(next), i, i+1)); at >= 0 {
			next[i] = take(at)
		}
	}
	for len(next) < members.Target && len(ready) > 0 {
		next = append(next, take(m.indexInLeastCrowdedZone(ready, next)))
	}
	if sameVoters(next, members.Voters) && !slices.ContainsFunc(next, func(v Member) bool { return !m.isReachable(v) }) {
		return m.rebalanceZones(next, ready)
	}
	return next
}

// withoutLeastUseful leaves out a voter: one that is unheard, else one that is leaving, else the
// last that isn't this node.
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

// readyLearners are the learners that answered just now and hold all that was committed a heartbeat
// ago. What is committed at this moment is one round trip further, always, while many propose.
func (m *Machine) readyLearners() []Member {
	var ready []Member
	for _, p := range m.peers {
		if m.isActiveLearner(p) && p.ackedRound > p.learnerSinceRound && p.matchIndex >= m.commitAtPreviousHeartbeat {
			ready = append(ready, p.member)
		}
	}
	return ready
}

// mayBecomeReady tells whether a peer is a learner that is there to stay.
func (m *Machine) isActiveLearner(p *progress) bool {
	return p.isLearner && m.now >= p.leavingUntil && m.now-p.lastContact < peerTimeout
}

func (m *Machine) isSelf(v Member) bool { return v.matches(m.self, m.diskID, m.founder) }

// voter is what a leader knows of another voter; nil if there is nothing, as of itself.
func (m *Machine) voterProgress(v Member) *progress {
	for _, p := range m.peers {
		if p.member == v && !p.isLearner {
			return p
		}
	}
	return nil
}

// inTouch tells whether a node answered just now, as a voter or as a learner.
func (m *Machine) isReachable(v Member) bool {
	return m.isSelf(v) || slices.ContainsFunc(m.peers, func(p *progress) bool {
		return p.member == v && m.now-p.lastContact < peerTimeout
	})
}

func (m *Machine) isPresumedLost(v Member) bool {
	p := m.voterProgress(v)
	return p != nil && m.now-p.lastContact >= m.replaceAfter
}

func (m *Machine) isLeaving(v Member) bool {
	if m.isSelf(v) {
		return m.isDeparting()
	}
	p := m.voterProgress(v)
	return p != nil && m.now < p.leavingUntil
}

// withKnownDisks are the voters with the numbers of the disks that are only now known.
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

func sameVoters(a, b []Member) bool {
	isIn := func(set []Member) func(Member) bool {
		return func(v Member) bool { return slices.Contains(set, v) }
	}
	return len(a) == len(b) && !slices.ContainsFunc(a, func(v Member) bool { return !isIn(b)(v) })
}

// appendMembers appends a configuration, which counts from here on.
func (m *Machine) appendMembers(next Members) {
	m.validateChange(m.log.latestConfiguration(), next)
	m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Members: &next})
	m.updatePeers()
}

// checkChange panics unless any two quorums of a configuration and the next have a disk in common.
func (m *Machine) validateChange(current configuration, next Members) {
	if current.place.Index > m.commitIndex || m.commitIndex < m.termStartIndex {
		panic(fmt.Sprintf("consensus: members change at %d, and those of %d are not committed", m.log.lastIndex()+1, current.place.Index))
	}
	from := current.members
	addresses := func(voters []Member) []string {
		var all []string
		for _, v := range voters {
			all = append(all, v.Address)
		}
		return all
	}
	enters := !from.isJoint() && next.isJoint() && slices.Equal(next.Old, from.Voters)
	ends := from.isJoint() && !next.isJoint() && slices.Equal(next.Voters, from.Voters)
	names := !from.isJoint() && !next.isJoint() && slices.Equal(addresses(next.Voters), addresses(from.Voters))
	if !enters && !ends && !names || len(next.Voters) == 0 {
		panic(fmt.Sprintf("consensus: members change from %v to %v", from, next))
	}
}
