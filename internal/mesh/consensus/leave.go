package consensus

import (
	"slices"
	"time"
)

const (
	leaveWithin     = 3 * time.Second        // after this a node leaves as it stands
	leaveVoteWithin = 900 * time.Millisecond // after this a leader gives away leadership alone
	leaveEvery      = 100 * time.Millisecond // between two requests to the leader
	leaveCounts     = 2 * healthy            // after the last request, a node counts as staying

	// learnersJoinWithin is when all learners have found a new leader: until then it can't say that
	// nobody can take a vote.
	learnersJoinWithin = electionMax + joinEvery/2
)

// departure is how far a node is that was told to go.
type departure struct {
	asked, done      bool
	voteUntil, until time.Duration
	repeatAt         time.Duration
	noSuccessor      bool // seen as the leader: nothing is left to do once another one leads
}

// Leave begins to give away what this node holds: its vote, where a learner stands by, and its
// leadership. Left tells when it may end. It goes on answering until then, so that nobody waits for
// it in between.
func (m *Machine) Leave() {
	if m.isDeparting() {
		return
	}
	m.departure = departure{asked: true, voteUntil: m.now + leaveVoteWithin, until: m.now + leaveWithin, repeatAt: m.now}
	m.advanceDeparture()
}

// Left tells that this node may end: it holds no vote by what is committed, or nobody can take it.
func (m *Machine) Left() bool { return m.departure.asked && m.departure.done }

func (m *Machine) isDeparting() bool { return m.departure.asked && !m.departure.done }

func (m *Machine) advanceDeparture() {
	d := &m.departure
	switch {
	case !m.isDeparting():
		return
	case m.now >= d.until || m.role != leader && (d.noSuccessor || m.isOutByCommitted()):
		m.tellLeaving() // danger: who is out, and runs on, would be given a vote again
		d.done = true
		return
	case m.role == leader:
		m.departAsLeader()
	case m.now >= d.repeatAt:
		m.tellLeaving()
	}
	if m.now >= d.repeatAt {
		d.repeatAt = m.now + leaveEvery
	}
}

// tellLeaving tells the leader, if there is another, that this node is not to be counted on.
func (m *Machine) tellLeaving() {
	if m.role != leader && m.leader.Address != "" {
		m.send(Message{Kind: Leave, To: m.leader.Address})
	}
}

// departAsLeader has a learner take the vote first: those who stay hold all that was acknowledged
// once that is committed. Where no learner stands by, it gives away leadership alone.
func (m *Machine) departAsLeader() {
	switch {
	case m.transferee != nil || m.log.current().members.joint():
	case m.now < m.departure.voteUntil && m.successorStands():
		m.planMembers()
	default:
		m.departure.noSuccessor = m.now < m.departure.voteUntil && m.ledLong()
		m.departure.done = !m.TransferLeadership()
	}
}

func (m *Machine) ledLong() bool { return m.now-m.ledSince >= learnersJoinWithin }

// successorStands tells whether a learner is there that can take a vote.
func (m *Machine) successorStands() bool { return slices.ContainsFunc(m.peers, m.mayBecomeReady) }

// isOutByCommitted tells that the configuration which is committed holds, and we aren't in it.
func (m *Machine) isOutByCommitted() bool {
	current := m.log.current()
	return current.at.Index != 0 && current.at.Index <= m.commit && !m.mayCampaign()
}

// onLeave hears that a voter is about to end.
func (m *Machine) onLeave(msg Message) {
	current := m.log.current()
	if m.role != leader || m.commit < m.opened {
		return
	}
	_, isMember := current.members.find(msg.From, msg.Disk, msg.Founder)
	if !isMember && current.at.Index <= m.commit {
		m.send(Message{Kind: LeaveReply, To: msg.From})
	}
	p := m.peerOf(msg)
	if p == nil {
		return
	}
	p.leavingUntil = m.now + leaveCounts
	if !p.learner && !current.members.joint() && !m.successorStands() && m.ledLong() {
		m.send(Message{Kind: LeaveReply, To: msg.From, Reject: true})
		return
	}
	m.planMembers()
}

// onLeaveReply hears that we are out, or that nobody can take our vote: either way nothing is left
// to wait for.
func (m *Machine) onLeaveReply(msg Message) {
	if msg.Term == m.hard.Term && m.role != leader {
		m.departure.done = m.departure.asked
	}
}
