package consensus

import (
	"fmt"
	"slices"
	"time"
)

func (m *Machine) isVoter() bool {
	_, ok := m.log.latestConfiguration().members.findVoter(m.self, m.diskID, m.founder)
	return ok
}

// mayCampaign tells whether we are a member, by all we know.
func (m *Machine) canCampaign() bool {
	return m.isVoter() && !m.log.latestConfiguration().place.before(m.excludedAt)
}

func (m *Machine) resetElectionTimer() {
	low, high := minElectionTimeout, maxElectionTimeout
	if m.lastLeader == (Hard{}) { // after all were down at once nobody leads before somebody asks; a leader would be heard by those asked
		// Danger: on a slow machine several ask at once, again and again, if they don't give one another more time.
		low, high = min(low, minFirstElectionTimeout<<m.timeoutDoublings), min(high, maxFirstElectionTimeout<<m.timeoutDoublings)
		m.timeoutDoublings = min(m.timeoutDoublings+1, maxTimeoutDoublings)
	}
	m.electionDeadline = m.now + low + time.Duration(m.rng.Int64N(int64(high-low)))
}

// hearsLeader tells whether a leader was heard so lately that an election would only disturb.
func (m *Machine) hasActiveLeader() bool {
	return m.role == leader || m.leader.Address != "" && m.now-m.lastLeaderContact < minElectionTimeout
}

// follow enters a term as a follower, or stays in it as one. Who leads may be unknown yet.
func (m *Machine) becomeFollower(term uint64) {
	if term < m.hardState.Term {
		panic(fmt.Sprintf("consensus: term goes from %d to %d", m.hardState.Term, term))
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

// followLeader follows the leader that a message is from.
func (m *Machine) followLeader(msg Message) {
	m.becomeFollower(msg.Term)
	m.recordLeaderTenure(msg.LeaderTime)
	if by := (Member{msg.From, msg.Disk}); m.leader != by {
		m.setLeader(by)
		m.resendPending(0)
	}
}

// ledBy notes who leads. That there is one leader a term at most is what all else hangs on.
func (m *Machine) setLeader(by Member) {
	if m.lastLeader.Term == m.hardState.Term && m.lastLeader.Vote != by {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %v and %v", m.hardState.Term, m.lastLeader.Vote, by))
	}
	m.lastLeader = Hard{Term: m.hardState.Term, Vote: by}
	m.leader = by
	m.leaderChanges++
}

// campaign asks for votes. A preCandidate only asks whether it would get them, so that who is cut
// off doesn't raise the terms of all when it comes back.
func (m *Machine) campaign(as role) {
	m.resetElectionTimer()
	m.role, m.votes, m.leader = as, nil, Member{}
	m.failReads(ErrNoLeader)
	kind, reply, term := PreVote, PreVoteReply, m.hardState.Term+1
	if as == candidate {
		kind, reply = Vote, VoteReply
		m.hardState, m.hardStateDirty = Hard{Term: term, Vote: Member{m.self, m.diskID}}, true
		m.leaderTenure = 0
	}
	c := m.log.latestConfiguration()
	for _, v := range c.members.allVoters() {
		msg := Message{Kind: kind, To: v.Address, Term: term, Index: m.log.lastIndex(), LogTerm: m.log.lastTerm(),
			MembersAt: c.place}
		switch {
		case v.Address == m.self && !m.isSelf(v): // the disk that was here before ours
		case m.isSelf(v):
			m.sendAfterSync(Message{Kind: reply, To: m.self, Term: term})
		case as == candidate: // whoever asks for votes has voted for itself
			m.sendAfterSync(msg)
		default:
			m.send(msg)
		}
	}
	if as == preCandidate && m.now-m.lastLeaderContact >= joinBroadcastDelay {
		m.broadcastJoin()
	}
}

func (m *Machine) handleVote(msg Message) {
	c := m.log.latestConfiguration()
	if _, ok := c.members.findVoter(msg.From, msg.Disk, msg.Founder); !ok && msg.MembersAt.before(c.place) {
		m.sendHint(msg.From) // it was taken out; its term is of no interest
		return
	}
	recent := msg.LogTerm > m.log.lastTerm() || msg.LogTerm == m.log.lastTerm() && msg.Index >= m.log.lastIndex()
	if msg.Kind == PreVote {
		grant := msg.Term > m.hardState.Term && recent && !m.hasActiveLeader()
		reply := Message{Kind: PreVoteReply, To: msg.From, Reject: !grant}
		if grant {
			reply.Term = msg.Term
		}
		m.send(reply)
		return
	}
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term)
	}
	by := Member{msg.From, msg.Disk}
	if msg.Term < m.hardState.Term || !recent || m.hardState.Vote != (Member{}) && m.hardState.Vote != by {
		m.send(Message{Kind: VoteReply, To: msg.From, Reject: true})
		return
	}
	if m.hardState.Vote != by {
		m.hardState.Vote, m.hardStateDirty = by, true
	}
	m.role, m.votes = follower, nil
	m.resetElectionTimer()
	m.sendAfterSync(Message{Kind: VoteReply, To: msg.From})
}

func (m *Machine) handleVoteReply(msg Message) {
	if msg.Reject {
		if msg.Term > m.hardState.Term {
			m.becomeFollower(msg.Term)
		}
		return
	}
	pre := msg.Kind == PreVoteReply
	if pre && (m.role != preCandidate || msg.Term != m.hardState.Term+1) ||
		!pre && (m.role != candidate || msg.Term != m.hardState.Term) {
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
	if pre {
		m.campaign(candidate)
		return
	}
	m.becomeLeader()
}

// lead begins to lead. The entry that opens the term commits what is left of earlier terms, since
// those are not committed by counting.
func (m *Machine) becomeLeader() {
	before, votes := m.lastLeader.Vote, m.votes
	m.setLeader(Member{m.self, m.diskID})
	m.role, m.votes = leader, nil
	m.peers, m.leaderReads, m.transferee = nil, nil, nil
	m.updatePeers()
	m.backdatePreviousLeader(before, votes)
	m.termStartIndex = m.log.lastIndex() + 1
	m.log.append(Entry{Index: m.termStartIndex, Term: m.hardState.Term})
	m.nextHeartbeat = m.now + heartbeatInterval
	m.commitAtLastHeartbeat, m.commitAtPreviousHeartbeat, m.leaderSince = m.termStartIndex, m.termStartIndex, m.now
	m.resendPending(0)
}

// countSilenceOf has the leader of before count as unheard since it was last heard, and not only
// since the election that its loss led to.
func (m *Machine) backdatePreviousLeader(before Member, votes []Member) {
	for _, p := range m.peers {
		isBefore := p.member == before || p.member.Disk == 0 && p.member.Address == before.Address
		if isBefore && !slices.Contains(votes, p.member) {
			p.lastContact = m.lastLeaderContact
		}
	}
}

// transferTarget is the voter that has most, of those that are there and stay; nil if there is none.
// Of a joint configuration, only an incoming voter can finish the change.
func (m *Machine) transferTarget() *progress {
	var to *progress
	incoming := m.log.latestConfiguration().members.Voters
	for _, p := range m.peers {
		fits := !p.isLearner && m.now >= p.leavingUntil && m.now-p.lastContact < peerTimeout && slices.Contains(incoming, p.member)
		if fits && (to == nil || p.matchIndex > to.matchIndex) {
			to = p
		}
	}
	return to
}

// TransferLeadership begins to transfer leadership, if we lead and there is somebody to take it. It
// tells whether it did.
func (m *Machine) TransferLeadership() bool {
	if m.role != leader {
		return false
	}
	to := m.transferTarget()
	if to == nil {
		return false
	}
	m.transferee, m.transferDeadline = to, m.now+minElectionTimeout
	m.sendTimeoutNow()
	return true
}

func (m *Machine) sendTimeoutNow() {
	if m.transferee != nil && m.transferee.matchIndex == m.log.lastIndex() {
		m.send(Message{Kind: TimeoutNow, To: m.transferee.member.Address})
	}
}
