package consensus

import "slices"

func sorted(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return slices.Compact(s)
}

// lostDisk tells that our address is that of a voter whose disk isn't ours.
func (m *Machine) lostDisk() bool {
	members := m.log.current().members
	if len(members.Voters) == 0 {
		return slices.Contains(m.seeds, m.self)
	}
	return !m.isVoter() && slices.ContainsFunc(members.all(), func(v Member) bool { return v.Address == m.self })
}

func (m *Machine) learnAddresses(addresses []string) {
	for _, a := range addresses {
		if a != m.self && !slices.Contains(m.known, a) && len(m.known) < mostKnown {
			m.known = append(m.known, a)
		}
	}
}

// join asks to be replicated to: the leader if it is known, otherwise all addresses that may know
// it.
func (m *Machine) join() {
	m.joinWait = min(max(2*m.joinWait, joinFirst), joinEvery)
	m.joinAt = m.now + m.joinWait
	if m.leader.Address != "" && m.now-m.heard >= electionMax {
		m.leader = Member{}
		m.role = follower
		m.failReads(ErrNoLeader)
	}
	if m.isDeparting() {
		return
	}
	if m.leader.Address != "" {
		m.askToJoin(m.leader.Address)
		return
	}
	m.askAllToJoin()
}

// askAllToJoin asks everybody that we know of, voters or not. A voter that finds no leader does so
// too: all voters that it knows may have been replaced while it was away, or the change that made
// it one was never committed, and then no election ends that.
func (m *Machine) askAllToJoin() {
	for _, v := range m.log.current().members.all() {
		if v.Address != m.self && !slices.Contains(m.known, v.Address) {
			m.askToJoin(v.Address)
		}
	}
	for _, address := range m.known {
		m.askToJoin(address)
	}
}

func (m *Machine) askToJoin(address string) {
	m.joinedAt = m.now
	m.send(Message{Kind: Join, To: address, MembersAt: m.log.current().at})
}

// onJoin takes in a learner. Join messages may be old: one that names a disk which is there no more
// does no harm, since only a learner that answers is taken further.
func (m *Machine) onJoin(msg Message) {
	if m.role != leader {
		m.hint(msg.From)
		return
	}
	if m.peerOf(msg) != nil {
		m.hint(msg.From)
		return
	}
	isOther := func(p *progress) bool { return p.learner && p.member.Address == msg.From }
	if i := slices.IndexFunc(m.peers, isOther); i >= 0 {
		if m.now-m.peers[i].heard < healthy {
			return
		}
		m.peers = slices.Delete(m.peers, i, i+1)
	}
	learners := 0
	for _, p := range m.peers {
		if p.learner {
			learners++
		}
	}
	if learners >= mostLearners || msg.From == m.self {
		return
	}
	m.peers = append(m.peers, &progress{member: Member{msg.From, msg.Disk}, learner: true, heard: m.now, since: m.round,
		next: m.log.last() + 1})
	m.round++
}

// hint tells a node that is no member, or doesn't know the leader, what we know.
func (m *Machine) hint(to string) {
	c := m.log.current()
	if c.at.Index == 0 {
		return
	}
	members := c.members
	m.send(Message{Kind: Hint, To: to, Members: &members, MembersAt: c.at, Leader: m.leader.Address})
}

func (m *Machine) onHint(msg Message) {
	if msg.Members == nil {
		return
	}
	for _, v := range msg.Members.all() {
		m.learnAddresses([]string{v.Address})
	}
	if _, ok := msg.Members.find(m.self, m.disk, m.founder); !ok && m.role != leader && m.log.current().at.before(msg.MembersAt) {
		if m.outside.before(msg.MembersAt) {
			m.outside = msg.MembersAt
		}
		if m.role != follower {
			m.follow(m.hard.Term)
		}
	}
	if !m.mayCampaign() && m.leader.Address == "" && msg.Leader != "" && msg.Leader != m.self &&
		m.now-m.joinedAt >= heartbeat/2 {
		m.askToJoin(msg.Leader)
	}
}
