package consensus

import "slices"

// Status returns the current state of the node.
func (m *Machine) Status() Status {
	s := Status{Leader: m.leader.Address, Term: m.hardState.Term, Commit: m.commitIndex, Applied: m.appliedIndex, LeaderChanges: m.leaderChanges, ForeignMessages: m.foreignMessages,
		OtherDiskMessages: m.otherDiskMessages}
	members := m.log.latestConfiguration().members
	for _, v := range members.Voters {
		s.Members = append(s.Members, v.Address)
	}
	for _, v := range members.Old {
		if !slices.Contains(members.Voters, v) {
			s.Outgoing = append(s.Outgoing, v.Address)
		}
	}
	for _, p := range m.peers {
		switch {
		case p.isLearner:
			s.Learners = append(s.Learners, p.member.Address)
		case m.role == leader && m.now-p.lastContact >= peerTimeout:
			s.Unreachable = append(s.Unreachable, p.member.Address)
		}
	}
	switch {
	case m.role == leader:
		s.Role, s.Zones = "leader", m.zones
	case !m.canCampaign():
		s.Role = "learner"
		if m.hasLostDisk() {
			s.Role = "recovering"
		}
	case m.role == follower:
		s.Role = "follower"
	default:
		s.Role = "candidate"
	}
	return s
}
