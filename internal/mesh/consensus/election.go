package consensus

import (
	"fmt"
	"slices"
	"time"
)

func (m *Machine) isVoter() bool {
	_, ok := m.log.current().members.find(m.self, m.disk, m.founder)
	return ok
}

// mayCampaign tells whether we are a member, by all we know.
func (m *Machine) mayCampaign() bool { return m.isVoter() && !m.log.current().at.before(m.outside) }

func (m *Machine) resetElection() {
	low, high := electionMin, electionMax
	if m.led == (Hard{}) { // after all were down at once nobody leads before somebody asks; a leader would be heard by those asked
		// Danger: on a slow machine several ask at once, again and again, if they don't give one another more time.
		low, high = min(low, firstMin<<m.tries), min(high, firstMax<<m.tries)
		m.tries = min(m.tries+1, mostTries)
	}
	m.electionAt = m.now + low + time.Duration(m.rng.Int64N(int64(high-low)))
}

// hearsLeader tells whether a leader was heard so lately that an election would only disturb.
func (m *Machine) hearsLeader() bool {
	return m.role == leader || m.leader.Address != "" && m.now-m.heard < electionMin
}

// follow enters a term as a follower, or stays in it as one. Who leads may be unknown yet.
func (m *Machine) follow(term uint64) {
	if term < m.hard.Term {
		panic(fmt.Sprintf("consensus: term goes from %d to %d", m.hard.Term, term))
	}
	if term > m.hard.Term {
		m.hard, m.hardDirty = Hard{Term: term}, true
		m.leader, m.leaderTime = Member{}, 0
	}
	if m.role == leader {
		m.peers, m.reads, m.transferee = nil, nil, nil
	}
	if m.role != follower {
		m.resetElection()
	}
	m.role, m.votes = follower, nil
}

// followLeader follows the leader that a message is from.
func (m *Machine) followLeader(msg Message) {
	m.follow(msg.Term)
	m.hearLeader(msg.LeaderTime)
	if by := (Member{msg.From, msg.Disk}); m.leader != by {
		m.ledBy(by)
		m.resendPending(0)
	}
}

// ledBy notes who leads. That there is one leader a term at most is what all else hangs on.
func (m *Machine) ledBy(by Member) {
	if m.led.Term == m.hard.Term && m.led.Vote != by {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %v and %v", m.hard.Term, m.led.Vote, by))
	}
	m.led = Hard{Term: m.hard.Term, Vote: by}
	m.leader = by
	m.changes++
}

// campaign asks for votes. A preCandidate only asks whether it would get them, so that who is cut
// off doesn't raise the terms of all when it comes back.
func (m *Machine) campaign(as role) {
	m.resetElection()
	m.role, m.votes, m.leader = as, nil, Member{}
	m.failReads(ErrNoLeader)
	kind, reply, term := PreVote, PreVoteReply, m.hard.Term+1
	if as == candidate {
		kind, reply = Vote, VoteReply
		m.hard, m.hardDirty = Hard{Term: term, Vote: Member{m.self, m.disk}}, true
		m.leaderTime = 0
	}
	c := m.log.current()
	for _, v := range c.members.all() {
		msg := Message{Kind: kind, To: v.Address, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm(),
			MembersAt: c.at}
		switch {
		case v.Address == m.self && !m.isSelf(v): // the disk that was here before ours
		case m.isSelf(v):
			m.promise(Message{Kind: reply, To: m.self, Term: term})
		case as == candidate: // whoever asks for votes has voted for itself
			m.promise(msg)
		default:
			m.send(msg)
		}
	}
	if as == preCandidate && m.now-m.heard >= askAllAfter {
		m.askAllToJoin()
	}
}

func (m *Machine) onVote(msg Message) {
	c := m.log.current()
	if _, ok := c.members.find(msg.From, msg.Disk, msg.Founder); !ok && msg.MembersAt.before(c.at) {
		m.hint(msg.From) // it was taken out; its term is of no interest
		return
	}
	recent := msg.LogTerm > m.log.lastTerm() || msg.LogTerm == m.log.lastTerm() && msg.Index >= m.log.last()
	if msg.Kind == PreVote {
		grant := msg.Term > m.hard.Term && recent && !m.hearsLeader()
		reply := Message{Kind: PreVoteReply, To: msg.From, Reject: !grant}
		if grant {
			reply.Term = msg.Term
		}
		m.send(reply)
		return
	}
	if msg.Term > m.hard.Term {
		m.follow(msg.Term)
	}
	by := Member{msg.From, msg.Disk}
	if msg.Term < m.hard.Term || !recent || m.hard.Vote != (Member{}) && m.hard.Vote != by {
		m.send(Message{Kind: VoteReply, To: msg.From, Reject: true})
		return
	}
	if m.hard.Vote != by {
		m.hard.Vote, m.hardDirty = by, true
	}
	m.role, m.votes = follower, nil
	m.resetElection()
	m.promise(Message{Kind: VoteReply, To: msg.From})
}

func (m *Machine) onVoteReply(msg Message) {
	if msg.Reject {
		if msg.Term > m.hard.Term {
			m.follow(msg.Term)
		}
		return
	}
	pre := msg.Kind == PreVoteReply
	if pre && (m.role != preCandidate || msg.Term != m.hard.Term+1) ||
		!pre && (m.role != candidate || msg.Term != m.hard.Term) {
		return
	}
	members := m.log.current().members
	v, ok := members.find(msg.From, msg.Disk, msg.Founder)
	if !ok || slices.Contains(m.votes, v) {
		return
	}
	m.votes = append(m.votes, v)
	if !members.quorum(func(v Member) bool { return slices.Contains(m.votes, v) }) {
		return
	}
	if pre {
		m.campaign(candidate)
		return
	}
	m.lead()
}

// lead begins to lead. The entry that opens the term commits what is left of earlier terms, since
// those are not committed by counting.
func (m *Machine) lead() {
	before, votes := m.led.Vote, m.votes
	m.ledBy(Member{m.self, m.disk})
	m.role, m.votes = leader, nil
	m.peers, m.reads, m.transferee = nil, nil, nil
	m.setPeers()
	m.countSilenceOf(before, votes)
	m.opened = m.log.last() + 1
	m.log.append(Entry{Index: m.opened, Term: m.hard.Term})
	m.beatAt = m.now + heartbeat
	m.commitAtBeat, m.commitBefore, m.ledSince = m.opened, m.opened, m.now
	m.resendPending(0)
}

// countSilenceOf has the leader of before count as unheard since it was last heard, and not only
// since the election that its loss led to.
func (m *Machine) countSilenceOf(before Member, votes []Member) {
	for _, p := range m.peers {
		isBefore := p.member == before || p.member.Disk == 0 && p.member.Address == before.Address
		if isBefore && !slices.Contains(votes, p.member) {
			p.heard = m.heard
		}
	}
}

// transferTarget is the voter that has most, of those that are there and stay; nil if there is none.
// Of a joint configuration, only an incoming voter can finish the change.
func (m *Machine) transferTarget() *progress {
	var to *progress
	incoming := m.log.current().members.Voters
	for _, p := range m.peers {
		fits := !p.learner && m.now >= p.leavingUntil && m.now-p.heard < healthy && slices.Contains(incoming, p.member)
		if fits && (to == nil || p.match > to.match) {
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
	m.transferee, m.transferUntil = to, m.now+electionMin
	m.sendTimeoutNow()
	return true
}

func (m *Machine) sendTimeoutNow() {
	if m.transferee != nil && m.transferee.match == m.log.last() {
		m.send(Message{Kind: TimeoutNow, To: m.transferee.member.Address})
	}
}
