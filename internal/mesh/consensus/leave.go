package consensus

import (
	"slices"
	"time"
)

const (
	leaveTimeout        = 3 * time.Second        // after this a node leaves as it stands
	voteTransferTimeout = 900 * time.Millisecond // after this a leader gives away leadership alone
	leaveRetryInterval  = 100 * time.Millisecond // between two requests to the leader
	leavingExpiry       = 2 * peerTimeout        // after the last request, a node counts as staying

	// learnersJoinWithin is when all learners have found a new leader: until then it can't say that
	// nobody can take a vote.
	learnerJoinTimeout = maxElectionTimeout + maxJoinBackoff/2
)

// departure is how far a node is that was told to go.
type departure struct {
	requested, finished    bool
	voteDeadline, deadline time.Duration
	nextRequest            time.Duration
	noSuccessor            bool // seen as the leader: nothing is left to do once another one leads
}

// Leave begins to give away what this node holds: its vote, where a learner stands by, and its
// leadership. Left tells when it may end. It goes on answering until then, so that nobody waits for
// it in between.
func (m *Machine) Leave() {
	if m.isDeparting() {
		return
	}
	m.departure = departure{requested: true, voteDeadline: m.now + voteTransferTimeout, deadline: m.now + leaveTimeout, nextRequest: m.now}
	m.advanceDeparture()
}

// Left tells that this node may end: it holds no vote by what is committed, or nobody can take it.
func (m *Machine) HasLeft() bool { return m.departure.requested && m.departure.finished }

func (m *Machine) isDeparting() bool { return m.departure.requested && !m.departure.finished }

func (m *Machine) advanceDeparture() {
	d := &m.departure
	switch {
	case !m.isDeparting():
		return
	case m.now >= d.deadline || m.role != leader && (d.noSuccessor || m.isRemoved()):
		m.sendLeave() // danger: who is out, and runs on, would be given a vote again
		d.finished = true
		return
	case m.role == leader:
		m.departAsLeader()
	case m.now >= d.nextRequest:
		m.sendLeave()
	}
	if m.now >= d.nextRequest {
		d.nextRequest = m.now + leaveRetryInterval
	}
}

// tellLeaving tells the leader, if there is another, that this node is not to be counted on.
func (m *Machine) sendLeave() {
	if m.role != leader && m.leader.Address != "" {
		m.send(Message{Kind: Leave, To: m.leader.Address})
	}
}

// departAsLeader has a learner take the vote first: those who stay hold all that was acknowledged
// once that is committed. Where no learner stands by, it gives away leadership alone.
func (m *Machine) departAsLeader() {
	switch {
	case m.transferee != nil || m.log.latestConfiguration().members.isJoint():
	case m.now < m.departure.voteDeadline && m.hasSuccessor():
		m.reconcileMembers()
	default:
		m.departure.noSuccessor = m.now < m.departure.voteDeadline && m.learnersHadTimeToJoin()
		m.departure.finished = !m.TransferLeadership()
	}
}

func (m *Machine) learnersHadTimeToJoin() bool { return m.now-m.leaderSince >= learnerJoinTimeout }

// successorStands tells whether a learner is there that can take a vote.
func (m *Machine) hasSuccessor() bool { return slices.ContainsFunc(m.peers, m.isActiveLearner) }

// isOutByCommitted tells that the configuration which is committed holds, and we aren't in it.
func (m *Machine) isRemoved() bool {
	current := m.log.latestConfiguration()
	return current.place.Index != 0 && current.place.Index <= m.commitIndex && !m.canCampaign()
}

// onLeave hears that a voter is about to end.
func (m *Machine) handleLeave(msg Message) {
	current := m.log.latestConfiguration()
	if m.role != leader || m.commitIndex < m.termStartIndex {
		return
	}
	_, isMember := current.members.findVoter(msg.From, msg.Disk, msg.Founder)
	if !isMember && current.place.Index <= m.commitIndex {
		m.send(Message{Kind: LeaveReply, To: msg.From})
	}
	p := m.peerFor(msg)
	if p == nil {
		return
	}
	p.leavingUntil = m.now + leavingExpiry
	if !p.isLearner && !current.members.isJoint() && !m.hasSuccessor() && m.learnersHadTimeToJoin() {
		m.send(Message{Kind: LeaveReply, To: msg.From, Reject: true})
		return
	}
	m.reconcileMembers()
}

// onLeaveReply hears that we are out, or that nobody can take our vote: either way nothing is left
// to wait for.
func (m *Machine) handleLeaveReply(msg Message) {
	if msg.Term == m.hardState.Term && m.role != leader {
		m.departure.finished = m.departure.requested
	}
}
