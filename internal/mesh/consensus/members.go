package consensus

import (
	"slices"
)

func sorted(s []string) []string {
	s = slices.Clone(s)
	slices.Sort(s)
	return slices.Compact(s)
}

// forgot tells that our address is that of a member whose disk isn't ours.
func (m *Machine) forgot() bool {
	members := m.log.current().members
	if len(members.Voters) == 0 {
		return slices.Contains(m.seeds, m.self)
	}
	return !m.isVoter() && slices.ContainsFunc(members.Voters, func(v Member) bool { return v.Address == m.self })
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
	if m.leader.Address != "" {
		m.askToJoin(m.leader.Address)
		return
	}
	for _, v := range m.log.current().members.Voters {
		if v.Address != m.self && !slices.Contains(m.known, v.Address) {
			m.askToJoin(v.Address)
		}
	}
	for _, a := range m.known {
		m.askToJoin(a)
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
	if slices.ContainsFunc(m.peers, func(p *progress) bool { return p.is(msg) }) {
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
	for _, v := range msg.Members.Voters {
		m.learnAddresses([]string{v.Address})
	}
	if _, ok := msg.Members.find(m.self, m.disk, m.founder); !ok && m.role != leader && m.log.current().at.before(msg.MembersAt) {
		if m.outside.before(msg.MembersAt) {
			m.outside = msg.MembersAt
		}
		if m.role != follower {
			m.follow(m.hard.Term, Member{})
		}
	}
	if !m.mayCampaign() && m.leader.Address == "" && msg.Leader != "" && msg.Leader != m.self &&
		m.now-m.joinedAt >= heartbeat/2 {
		m.askToJoin(msg.Leader)
	}
}

// plan is what a leader does about the members, one change at a time and each only after the one
// before holds.
func (m *Machine) plan() {
	current := m.log.current()
	if m.role != leader || m.commit < m.opened || current.at.Index > m.commit || m.moving != nil {
		return
	}
	voters, target := current.members.Voters, current.members.Target
	if bound := m.bound(voters); bound != nil {
		m.change(bound, target)
		return
	}
	var ready []*progress
	for _, p := range m.peers {
		if p.learner && p.round > p.since && m.now-p.heard < healthy && p.match+caughtUp >= m.log.last() {
			ready = append(ready, p)
		}
	}
	for _, p := range ready { // a voter's successor on a new disk: the old one comes never again
		for i, v := range voters {
			if v.Address == p.member.Address && v.Disk != p.member.Disk {
				m.remove(voters, i, target)
				return
			}
		}
	}
	var worst int
	var unheard bool
	for i, v := range voters {
		for _, p := range m.peers {
			if p.member == v && m.now-p.heard >= m.replace {
				worst, unheard = i, true
			}
		}
	}
	switch {
	case len(voters) > target && unheard:
		m.remove(voters, worst, target)
	case len(voters) > target:
		for i := len(voters) - 1; i >= 0; i-- {
			if !voters[i].is(m.self, m.disk, m.founder) {
				m.remove(voters, i, target)
				return
			}
		}
	case len(ready) > 0 && (len(voters) < target || unheard):
		p := ready[0]
		if i := slices.IndexFunc(ready, func(p *progress) bool { return p.member.Address == m.removed }); i >= 0 {
			p = ready[i]
		}
		m.changeIfHealthy(append(slices.Clone(voters), p.member), target)
	}
}

// bound are the voters with the numbers of the disks that are only now known; nil if there is none.
func (m *Machine) bound(voters []Member) []Member {
	next := slices.Clone(voters)
	for i, v := range next {
		if v.Disk != 0 {
			continue
		}
		if v.is(m.self, m.disk, m.founder) {
			next[i].Disk = m.disk
		}
		for _, p := range m.peers {
			if p.member == v && p.disk != 0 {
				next[i].Disk = p.disk
			}
		}
	}
	if slices.Equal(next, voters) {
		return nil
	}
	return next
}

func (m *Machine) remove(voters []Member, i, target int) {
	m.removed = voters[i].Address
	m.changeIfHealthy(slices.Delete(slices.Clone(voters), i, i+1), target)
}

// changeIfHealthy changes the members if a majority of the new ones is there: otherwise nothing
// would be committed after.
func (m *Machine) changeIfHealthy(voters []Member, target int) {
	heard := 0
	for _, v := range voters {
		if v.is(m.self, m.disk, m.founder) || slices.ContainsFunc(m.peers, func(p *progress) bool {
			return p.member == v && m.now-p.heard < healthy
		}) {
			heard++
		}
	}
	if heard >= (Members{Voters: voters}).majority() {
		m.change(voters, target)
	}
}

func (m *Machine) change(voters []Member, target int) {
	next := &Members{Voters: voters, Target: target, Mesh: m.log.current().members.Mesh}
	m.log.append(Entry{Index: m.log.last() + 1, Term: m.hard.Term, Members: next})
	m.setPeers()
}
