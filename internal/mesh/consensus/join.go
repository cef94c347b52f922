package consensus

import "slices"

// sortedUnique returns a sorted copy without duplicates.
func sortedUnique(values []string) []string {
	values = slices.Clone(values)
	slices.Sort(values)
	return slices.Compact(values)
}

// hasLostDisk reports whether this node's address belongs to a voter with a different disk. While
// no members are known, every seed counts as such a voter.
func (m *Machine) hasLostDisk() bool {
	members := m.log.latestConfiguration().members
	if len(members.Voters) == 0 {
		return slices.Contains(m.seeds, m.self)
	}
	return !m.isVoter() && slices.ContainsFunc(members.allVoters(), func(v Member) bool { return v.Address == m.self })
}

func (m *Machine) learnAddresses(addresses []string) {
	for _, address := range addresses {
		if address != m.self && !slices.Contains(m.knownAddresses, address) && len(m.knownAddresses) < maxKnownAddresses {
			m.knownAddresses = append(m.knownAddresses, address)
		}
	}
}

// requestJoin asks to be replicated to: it sends a Join message to the leader if that is known,
// otherwise to all addresses that may know it.
func (m *Machine) requestJoin() {
	m.joinBackoff = min(max(2*m.joinBackoff, minJoinBackoff), maxJoinBackoff)
	m.nextJoin = m.now + m.joinBackoff
	if m.leader.Address != "" && m.now-m.lastLeaderContact >= maxElectionTimeout {
		m.leader = Member{}
		m.role = follower
		m.failReads(ErrNoLeader)
	}
	if m.isDeparting() {
		return
	}
	if m.leader.Address != "" {
		m.sendJoin(m.leader.Address)
		return
	}
	m.broadcastJoin()
}

// broadcastJoin sends a Join message to all known addresses, voters or not. A voter that finds no
// leader does this too: while it was away, all voters that it knows may have been replaced, or the
// change that made it a voter may never have been committed. No election would end either
// situation.
func (m *Machine) broadcastJoin() {
	for _, v := range m.log.latestConfiguration().members.allVoters() {
		if v.Address != m.self && !slices.Contains(m.knownAddresses, v.Address) {
			m.sendJoin(v.Address)
		}
	}
	for _, address := range m.knownAddresses {
		m.sendJoin(address)
	}
}

func (m *Machine) sendJoin(address string) {
	m.lastJoinSent = m.now
	m.send(Message{Kind: Join, To: address, MembersAt: m.log.latestConfiguration().place})
}

// handleJoin adds a learner. Join messages may be old. One from a disk that no longer exists does
// no harm, since only learners that respond are promoted.
func (m *Machine) handleJoin(msg Message) {
	if m.role != leader {
		m.sendHint(msg.From)
		return
	}
	if m.peerFor(msg) != nil {
		m.sendHint(msg.From)
		return
	}
	hasOtherDisk := func(p *progress) bool { return p.isLearner && p.member.Address == msg.From }
	if i := slices.IndexFunc(m.peers, hasOtherDisk); i >= 0 {
		if m.now-m.peers[i].lastContact < peerTimeout {
			return
		}
		m.peers = slices.Delete(m.peers, i, i+1)
	}
	learners := 0
	for _, p := range m.peers {
		if p.isLearner {
			learners++
		}
	}
	if learners >= maxLearners || msg.From == m.self {
		return
	}
	m.peers = append(m.peers, &progress{member: Member{msg.From, msg.Disk}, isLearner: true, lastContact: m.now, learnerSinceRound: m.heartbeatRound,
		nextIndex: m.log.lastIndex() + 1})
	m.heartbeatRound++
}

// sendHint tells a node that is not a member, or does not know the leader, the configuration and
// the leader that this node knows.
func (m *Machine) sendHint(to string) {
	config := m.log.latestConfiguration()
	if config.place.Index == 0 {
		return
	}
	members := config.members
	m.send(Message{Kind: Hint, To: to, Members: &members, MembersAt: config.place, Leader: m.leader.Address})
}

// handleHint learns addresses, the leader, and whether a newer configuration excludes this node.
func (m *Machine) handleHint(msg Message) {
	if msg.Members == nil {
		return
	}
	for _, v := range msg.Members.allVoters() {
		m.learnAddresses([]string{v.Address})
	}
	if _, ok := msg.Members.findVoter(m.self, m.diskID, m.founder); !ok && m.role != leader && m.log.latestConfiguration().place.before(msg.MembersAt) {
		if m.excludedAt.before(msg.MembersAt) {
			m.excludedAt = msg.MembersAt
		}
		if m.role != follower {
			m.becomeFollower(m.hardState.Term)
		}
	}
	if !m.canCampaign() && m.leader.Address == "" && msg.Leader != "" && msg.Leader != m.self &&
		m.now-m.lastJoinSent >= heartbeatInterval/2 {
		m.sendJoin(msg.Leader)
	}
}
