package consensus

import (
	"fmt"
	"slices"
	"time"
)

// isVoter reports whether the latest configuration contains this disk.
func (m *Machine) isVoter() bool {
	_, ok := m.log.latestConfiguration().members.findVoter(m.self, m.diskID, m.founder)
	return ok
}

// canCampaign reports whether this node is a voter and has not been told of a newer configuration
// that excludes it.
func (m *Machine) canCampaign() bool {
	return m.isVoter() && !m.log.latestConfiguration().place.before(m.excludedAt)
}

// resetElectionTimer restarts the election timeout at a random length.
func (m *Machine) resetElectionTimer() {
	low, high := minElectionTimeout, maxElectionTimeout
	// The first timeouts are short: after all nodes were down at once, no node leads until one
	// campaigns. If there is a leader, the other voters hear it and refuse their votes.
	if m.lastLeader == (Hard{}) {
		// Each attempt doubles the timeouts: on slow machines several nodes would otherwise
		// campaign at the same time again and again.
		low, high = min(low, minFirstElectionTimeout<<m.timeoutDoublings), min(high, maxFirstElectionTimeout<<m.timeoutDoublings)
		m.timeoutDoublings = min(m.timeoutDoublings+1, maxTimeoutDoublings)
	}
	m.electionDeadline = m.now + low + time.Duration(m.rng.Int64N(int64(high-low)))
}

// hasActiveLeader reports whether a leader was heard so recently that an election would only
// disrupt it.
func (m *Machine) hasActiveLeader() bool {
	return m.role == leader || m.leader.Address != "" && m.now-m.lastLeaderContact < minElectionTimeout
}

// becomeFollower enters a term as a follower, or remains one in the current term. The leader of the
// term may still be unknown.
func (m *Machine) becomeFollower(term uint64) {
	if term < m.hardState.Term {
		panic(fmt.Sprintf("consensus: term can't decrease from %d to %d", m.hardState.Term, term))
	}
	if term > m.hardState.Term {
		m.hardState, m.hardStateDirty = Hard{Term: term}, true
		m.leader, m.leaderTenure = Member{}, 0
	}
	if m.role == leader {
		m.peers, m.leaderReads, m.transferee = nil, nil, nil
	}
	if m.role != follower {
		m.resetElectionTimer()
	}
	m.role, m.votes = follower, nil
}

// followLeader becomes a follower of the leader that sent a message.
func (m *Machine) followLeader(msg Message) {
	m.becomeFollower(msg.Term)
	m.recordLeaderTenure(msg.LeaderTime)
	if sender := (Member{msg.From, msg.Disk}); m.leader != sender {
		m.setLeader(sender)
		m.resendPending(0)
	}
}

// setLeader records the leader of the current term. It panics if the term already has another one:
// all guarantees rest on having at most one leader per term.
func (m *Machine) setLeader(newLeader Member) {
	if m.lastLeader.Term == m.hardState.Term && m.lastLeader.Vote != newLeader {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %v and %v", m.hardState.Term, m.lastLeader.Vote, newLeader))
	}
	m.lastLeader = Hard{Term: m.hardState.Term, Vote: newLeader}
	m.leader = newLeader
	m.leaderChanges++
}

// campaign starts an election. A preCandidate only asks whether it would get the votes, so that a
// node that was partitioned does not raise the term of the others when it returns.
func (m *Machine) campaign(newRole role) {
	m.resetElectionTimer()
	m.role, m.votes, m.leader = newRole, nil, Member{}
	m.failReads(ErrNoLeader)
	kind, reply, term := PreVote, PreVoteReply, m.hardState.Term+1
	if newRole == candidate {
		kind, reply = Vote, VoteReply
		m.hardState, m.hardStateDirty = Hard{Term: term, Vote: Member{m.self, m.diskID}}, true
		m.leaderTenure = 0
	}
	config := m.log.latestConfiguration()
	for _, v := range config.members.allVoters() {
		msg := Message{Kind: kind, To: v.Address, Term: term, Index: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
			MembersAt: config.place}
		switch {
		case v.Address == m.self && !m.isSelf(v): // the lost disk that was at this address before
		case m.isSelf(v):
			m.sendAfterSync(Message{Kind: reply, To: m.self, Term: term})
		// The request implies that this node has voted for itself, so it waits for the sync.
		case newRole == candidate:
			m.sendAfterSync(msg)
		default:
			m.send(msg)
		}
	}
	if newRole == preCandidate && m.now-m.lastLeaderContact >= joinBroadcastDelay {
		m.broadcastJoin()
	}
}

// handleVote answers a vote or pre-vote request.
func (m *Machine) handleVote(msg Message) {
	config := m.log.latestConfiguration()
	if _, ok := config.members.findVoter(msg.From, msg.Disk, msg.Founder); !ok && msg.MembersAt.before(config.place) {
		m.sendHint(msg.From) // the sender was removed; its term is ignored
		return
	}
	upToDate := msg.LogTerm > m.log.lastTerm() || msg.LogTerm == m.log.lastTerm() && msg.Index >= m.log.lastIndex()
	if msg.Kind == PreVote {
		grant := msg.Term > m.hardState.Term && upToDate && !m.hasActiveLeader()
		reply := replyTo(msg, Message{Kind: PreVoteReply, Reject: !grant})
		if grant {
			reply.Term = msg.Term
		}
		m.send(reply)
		return
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term)
	}
	sender := Member{msg.From, msg.Disk}
	if msg.Term < m.hardState.Term || !upToDate || m.hardState.Vote != (Member{}) && m.hardState.Vote != sender {
		m.send(replyTo(msg, Message{Kind: VoteReply, Reject: true}))
		return
	}
	if m.hardState.Vote != sender {
		m.hardState.Vote, m.hardStateDirty = sender, true
	}
	m.role, m.votes = follower, nil
	m.resetElectionTimer()
	m.sendAfterSync(replyTo(msg, Message{Kind: VoteReply}))
}

// handleVoteReply counts a vote, and becomes a candidate or leader once a quorum has granted it.
func (m *Machine) handleVoteReply(msg Message) {
	if msg.Reject {
		if msg.Term > m.hardState.Term {
			m.becomeFollower(msg.Term)
		}
		return
	}
	isPreVote := msg.Kind == PreVoteReply
	if isPreVote && (m.role != preCandidate || msg.Term != m.hardState.Term+1) ||
		!isPreVote && (m.role != candidate || msg.Term != m.hardState.Term) {
		return
	}
	members := m.log.latestConfiguration().members
	v, ok := members.findVoter(msg.From, msg.Disk, msg.Founder)
	if !ok || slices.Contains(m.votes, v) {
		return
	}
	m.votes = append(m.votes, v)
	if !members.hasQuorum(func(v Member) bool { return slices.Contains(m.votes, v) }) {
		return
	}
	if isPreVote {
		m.campaign(candidate)
		return
	}
	m.becomeLeader()
}

// becomeLeader makes this node the leader. It appends an empty entry of the new term, which also
// commits the entries left from earlier terms, because those are never committed by counting
// replicas.
func (m *Machine) becomeLeader() {
	previousLeader, votes := m.lastLeader.Vote, m.votes
	m.setLeader(Member{m.self, m.diskID})
	m.role, m.votes = leader, nil
	m.peers, m.leaderReads, m.transferee = nil, nil, nil
	m.updatePeers()
	m.backdatePreviousLeader(previousLeader, votes)
	m.termStartIndex = m.log.lastIndex() + 1
	m.log.append(Entry{Index: m.termStartIndex, Term: m.hardState.Term})
	m.nextHeartbeat = m.now + heartbeatInterval
	m.commitAtLastHeartbeat, m.commitAtPreviousHeartbeat, m.leaderSince = m.termStartIndex, m.termStartIndex, m.now
	m.resendPending(0)
}

// backdatePreviousLeader counts the silence of the previous leader from when it was last heard
// rather than from the election that its loss caused. That does not apply if it voted in this
// election.
func (m *Machine) backdatePreviousLeader(previousLeader Member, votes []Member) {
	for _, p := range m.peers {
		isPreviousLeader := p.member == previousLeader || p.member.Disk == 0 && p.member.Address == previousLeader.Address
		if isPreviousLeader && !slices.Contains(votes, p.member) {
			p.lastContact = m.lastLeaderContact
		}
	}
}

// transferTarget returns the reachable voter that is not leaving and has the most entries, or nil
// if there is none. In a joint configuration only an incoming voter qualifies, since only that can
// finish the change.
func (m *Machine) transferTarget() *progress {
	var target *progress
	incoming := m.log.latestConfiguration().members.Voters
	for _, p := range m.peers {
		isEligible := !p.isLearner && m.now >= p.leavingUntil && m.now-p.lastContact < peerTimeout && slices.Contains(incoming, p.member)
		if isEligible && (target == nil || p.matchIndex > target.matchIndex) {
			target = p
		}
	}
	return target
}

// TransferLeadership starts to transfer leadership to another voter. It reports whether it did,
// which requires that this node leads and that a suitable voter is reachable.
func (m *Machine) TransferLeadership() bool {
	if m.role != leader {
		return false
	}
	target := m.transferTarget()
	if target == nil {
		return false
	}
	m.transferee, m.transferDeadline = target, m.now+minElectionTimeout
	m.sendTimeoutNow()
	return true
}

// sendTimeoutNow tells the transferee to campaign as soon as it holds the whole log.
func (m *Machine) sendTimeoutNow() {
	if m.transferee != nil && m.transferee.matchIndex == m.log.lastIndex() {
		m.send(Message{Kind: TimeoutNow, To: m.transferee.member.Address, ToDisk: m.transferee.member.Disk})
	}
}
