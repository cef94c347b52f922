package consensus

import "slices"

func sortedUnique(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return slices.Compact(s)
}

// lostDisk tells that our address is that of a voter whose disk isn't ours.
func (m *Machine) hasLostDisk() bool {
	members := m.log.latestConfiguration().members
	if len(members.Voters) == 0 {
		return slices.Contains(m.seeds, m.self)
	}
	return !m.isVoter() && slices.ContainsFunc(members.allVoters(), func(v Member) bool { return v.Address == m.self })
}

func (m *Machine) learnAddresses(addresses []string) {
	for _, a := range addresses {
		if a != m.self && !slices.Contains(m.knownAddresses, a) && len(m.knownAddresses) < maxKnownAddresses {
			m.knownAddresses = append(m.knownAddresses, a)
		}
	}
}

// join asks to be replicated to: the leader if it is known, otherwise all addresses that may know
// it.
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

// askAllToJoin asks everybody that we know of, voters or not. A voter that finds no leader does so
// too: all voters that it knows may have been replaced while it was away, or the change that made
// it one was never committed, and then no election ends that.
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

// onJoin takes in a learner. Join messages may be old: one that names a disk which is there no more
// does no harm, since only a learner that answers is taken further.
func (m *Machine) handleJoin(msg Message) {
	if m.role != leader {
		m.sendHint(msg.From)
		return
	}
	if m.peerFor(msg) != nil {
		m.sendHint(msg.From)
		return
	}
	isOther := func(p *progress) bool { return p.isLearner && p.member.Address == msg.From }
	if i := slices.IndexFunc(m.peers, isOther); i >= 0 {
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

// hint tells a node that is no member, or doesn't know the leader, what we know.
func (m *Machine) sendHint(to string) {
	c := m.log.latestConfiguration()
	if c.place.Index == 0 {
		return
	}
	members := c.members
	m.send(Message{Kind: Hint, To: to, Members: &members, MembersAt: c.place, Leader: m.leader.Address})
}

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
