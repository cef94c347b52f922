package consensus

import (
	"slices"
	"time"
)

const (
	// After this time a node leaves even if no learner has taken over its vote.
	leaveTimeout = 3 * time.Second
	// After this time a leader no longer waits for a learner to take over its vote, and only
	// transfers leadership.
	voteTransferTimeout = 900 * time.Millisecond
	leaveRetryInterval  = 100 * time.Millisecond // between two Leave messages to the leader
	// Without another Leave message for this long, a node counts as staying.
	leavingExpiry = 2 * peerTimeout

	// learnerJoinTimeout is the time in which all learners have found a new leader. Until then the
	// leader can't know that no learner is able to take over a vote.
	learnerJoinTimeout = maxElectionTimeout + maxJoinBackoff/2
)

// departure is the progress of a node that was told to leave.
type departure struct {
	requested, finished    bool
	voteDeadline, deadline time.Duration // for its vote to be taken over, and for everything
	nextRequest            time.Duration // when the next Leave message is due
	// Set while leading: no learner can take over the vote, so nothing is left to do once another
	// node leads.
	noSuccessor bool
}

// Leave starts to hand over this node's vote, if a learner can take it, and its leadership.
// HasLeft reports when the node may be stopped. Until then it continues to respond, so that no other
// node has to wait for it.
func (m *Machine) Leave() {
	if m.isDeparting() {
		return
	}
	m.departure = departure{requested: true, voteDeadline: m.now + voteTransferTimeout, deadline: m.now + leaveTimeout, nextRequest: m.now}
	m.advanceDeparture()
}

// HasLeft reports whether this node may be stopped: the committed configuration gives it no vote, no
// other node can take over what it holds, or leaveTimeout has passed.
func (m *Machine) HasLeft() bool { return m.departure.requested && m.departure.finished }

func (m *Machine) isDeparting() bool { return m.departure.requested && !m.departure.finished }

// advanceDeparture takes the next step of leaving that is due.
func (m *Machine) advanceDeparture() {
	d := &m.departure
	switch {
	case !m.isDeparting():
		return
	case m.now >= d.deadline || m.role != leader && (d.noSuccessor || m.isRemoved()):
		m.sendLeave() // without this, a removed node that keeps running would be made a voter again
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

// sendLeave tells the leader, if that is another node, that this node is about to leave.
func (m *Machine) sendLeave() {
	if m.role != leader && m.leader.Address != "" {
		m.send(Message{Kind: Leave, To: m.leader.Address})
	}
}

// departAsLeader lets a learner take over the vote first: once that change is committed, the
// remaining voters hold everything that was acknowledged. Without a suitable learner it only
// transfers leadership.
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

// hasSuccessor reports whether a learner is available that can take over a vote.
func (m *Machine) hasSuccessor() bool { return slices.ContainsFunc(m.peers, m.isActiveLearner) }

// isRemoved reports whether the latest configuration in the log is committed, and it or a newer one
// that this node was told of excludes this node.
func (m *Machine) isRemoved() bool {
	current := m.log.latestConfiguration()
	return current.place.Index != 0 && current.place.Index <= m.commitIndex && !m.canCampaign()
}

// handleLeave processes the announcement of a node that it is about to leave.
func (m *Machine) handleLeave(msg Message) {
	current := m.log.latestConfiguration()
	if m.role != leader || m.commitIndex < m.termStartIndex {
		return
	}
	_, isMember := current.members.findVoter(msg.From, msg.Disk, msg.Founder)
	if !isMember && current.place.Index <= m.commitIndex {
		m.send(replyTo(msg, Message{Kind: LeaveReply}))
	}
	p := m.peerFor(msg)
	if p == nil {
		return
	}
	p.leavingUntil = m.now + leavingExpiry
	if !p.isLearner && !current.members.isJoint() && !m.hasSuccessor() && m.learnersHadTimeToJoin() {
		m.send(replyTo(msg, Message{Kind: LeaveReply, Reject: true}))
		return
	}
	m.reconcileMembers()
}

// handleLeaveReply ends the wait of a departing node: it is no longer a voter, or no learner
// can take over its vote.
func (m *Machine) handleLeaveReply(msg Message) {
	if msg.Term == m.hardState.Term && m.role != leader {
		m.departure.finished = m.departure.requested
	}
}
