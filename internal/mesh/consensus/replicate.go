package consensus

import (
	"fmt"
	"slices"
	"time"
)

type stage uint8

const (
	probing    stage = iota // one message at a time, until it is known where the logs agree
	streaming               // as much as may be in flight
	installing              // a snapshot is under way, in chunks
)

// progress is what a leader knows of a peer.
type progress struct {
	member   Member
	learner  bool
	disk     uint64 // heard, of a member that is known by disk 0; 0 if not yet
	stage    stage
	probed   bool // the one message is under way
	match    uint64
	next     uint64
	told     uint64 // commit
	heard    time.Duration
	round    uint64   // of heartbeats, acknowledged,
	sent     uint64   // and sent
	since    uint64   // the round at which it became a learner
	transfer transfer // while installing

	leavingUntil time.Duration // it said that it is about to end
}

// is tells whether a reply comes from this peer. A member by disk 0 is the first disk that was
// heard of it.
func (p *progress) is(msg Message) bool {
	return p.member.is(msg.From, msg.Disk, msg.Founder) && (p.disk == 0 || p.disk == msg.Disk)
}

// replier is the peer that answers this leader, in this term; nil if there is none.
func (m *Machine) replier(msg Message) *progress {
	if m.role != leader || msg.Term != m.hard.Term {
		return nil
	}
	return m.peerOf(msg)
}

// peerOf is the peer that a message is from; nil if there is none.
func (m *Machine) peerOf(msg Message) *progress {
	for _, p := range m.peers {
		if p.is(msg) {
			return p
		}
	}
	return nil
}

// setPeers brings the peers in line with the members. A voter that is taken out and still there
// goes on as a learner, so that it hears of that, and stands by.
func (m *Machine) setPeers() {
	var peers []*progress
	members := m.log.current().members
	for _, v := range members.all() {
		if v.Address == m.self { // ourselves, or the disk that was here before ours
			continue
		}
		i := slices.IndexFunc(m.peers, func(p *progress) bool {
			return p.member == v || p.member.Address == v.Address && p.member.Disk == 0 && p.disk == v.Disk
		})
		p := &progress{heard: m.now, next: m.log.last() + 1}
		if i >= 0 {
			p = m.peers[i]
		}
		p.member, p.learner = v, false
		peers = append(peers, p)
	}
	for _, p := range m.peers {
		atAddress := func(q *progress) bool { return q.member.Address == p.member.Address }
		switch {
		case slices.Contains(peers, p):
		case p.learner:
			peers = append(peers, p)
		case m.now-p.heard < healthy && !slices.ContainsFunc(peers, atAddress):
			p.learner = true
			peers = append(peers, p)
		}
	}
	m.peers = peers
}

// beat is a leader's heartbeat. A leader that hasn't heard a majority for long stands back, so that
// those who ask it go elsewhere.
func (m *Machine) beat() {
	stalled := m.now - m.beatAt
	m.beatAt = m.now + heartbeat
	if !m.quorumHeard(electionMax) {
		m.follow(m.hard.Term)
		m.leader = Member{}
		m.failReads(ErrNoLeader)
		return
	}
	if stalled >= m.replace/2 {
		m.forgive(stalled)
	}
	m.peers = slices.DeleteFunc(m.peers, func(p *progress) bool {
		return p.learner && m.now-p.heard > unheardFactor*m.replace
	})
	if m.transferee != nil && m.now >= m.transferUntil {
		m.transferee = nil
	}
	m.sendTimeoutNow()
	m.round++
	m.commitBefore, m.commitAtBeat = m.commitAtBeat, m.commit
	for _, p := range m.peers {
		if m.now-p.heard >= healthy && p.stage == streaming {
			p.stage, p.next = probing, p.match+1
		}
		p.probed = false
		if p.stage == installing && m.now-p.heard >= healthy {
			p.stage, p.transfer = probing, transfer{}
		}
	}
	m.planMembers()
}

// quorumHeard tells whether a quorum was heard within a time.
func (m *Machine) quorumHeard(within time.Duration) bool {
	return m.log.current().members.quorum(func(v Member) bool {
		p := m.voter(v)
		return m.isSelf(v) || p != nil && m.now-p.heard <= within
	})
}

// forgive doesn't count against the others the time in which this node itself stood still.
func (m *Machine) forgive(stalled time.Duration) {
	for _, p := range m.peers {
		p.heard = min(p.heard+stalled, m.now)
	}
}

// superseded tells that a voter's disk is gone: its successor answers at the address.
func (m *Machine) superseded(p *progress) bool {
	return slices.ContainsFunc(m.peers, func(q *progress) bool {
		return q != p && q.member.Address == p.member.Address && q.round > q.since && q.heard >= p.heard
	})
}

// replicate sends to all peers what they need.
func (m *Machine) replicate() {
	if slices.ContainsFunc(m.reads, func(r read) bool { return r.need > m.round }) {
		m.round++
		m.confirmReads() // it may be that nobody else is needed
	}
	for _, p := range m.peers {
		if p.learner || !m.superseded(p) {
			m.sendTo(p)
		}
	}
}

func (m *Machine) sendTo(p *progress) {
	if p.stage == probing && p.probed {
		return
	}
	if p.stage != installing && p.next <= m.log.base {
		if m.now-p.heard < healthy { // to who is down, a snapshot would only be traffic
			m.beginTransfer(p)
			return
		}
		p.next = m.log.base + 1
	}
	if p.stage == installing {
		m.sendChunk(p)
		if p.sent < m.round { // only a heartbeat, at the one index where all logs agree
			p.sent = m.round
			m.send(Message{Kind: Append, To: p.member.Address, ToDisk: p.member.Disk, Sequence: m.round, LeaderTime: m.leadingFor()})
		}
		return
	}
	for {
		quiet := m.now-p.heard >= healthy // who is down gets heartbeats alone
		full := m.log.bytes(p.match, p.next-1) >= mostInFlight
		most := m.sendable(p)
		more := p.next <= most && !quiet && !full
		if !more && p.sent >= m.round && p.told >= min(m.commit, p.next-1) {
			return
		}
		if !more && quiet && p.sent >= m.round {
			return
		}
		term, _ := m.log.term(p.next - 1)
		msg := Message{Kind: Append, To: p.member.Address, ToDisk: p.member.Disk, Index: p.next - 1, LogTerm: term,
			Commit: m.commit, Sequence: m.round, LeaderTime: m.leadingFor()}
		if more {
			msg.Entries = m.log.between(p.next-1, most, mostMessage)
		}
		msg.Quiet = !more && p.stage == streaming && p.sent >= m.round
		m.send(msg)
		p.sent, p.told = m.round, m.commit
		if p.stage == probing {
			p.probed = true
			return
		}
		p.next += uint64(len(msg.Entries))
	}
}

// sendable is how far a peer may hold the log. A learner gets committed entries alone: a voter that
// is taken out still votes by the joint configuration it knows, and if it held a final one that no
// incoming voter has kept, it could be neither elected nor vote for those who can be.
func (m *Machine) sendable(p *progress) uint64 {
	if p.learner {
		return m.commit
	}
	return m.log.last()
}

func (m *Machine) onAppend(msg Message) {
	if !m.acceptLeader(msg) {
		return
	}
	prev, entries := msg.Index, msg.Entries
	if prev < m.log.base { // what we no longer hold is committed, so it agrees
		skip := min(m.log.base-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev += skip
		if prev < m.log.base {
			m.acknowledge(msg, m.commit)
			return
		}
		msg.LogTerm = m.log.baseTerm
	}
	if term, ok := m.log.term(prev); !ok || term != msg.LogTerm {
		if ok && prev <= m.commit {
			panic(fmt.Sprintf("consensus: entry %d is committed in term %d, and the leader of term %d has it of term %d",
				prev, term, msg.Term, msg.LogTerm))
		}
		m.disagree(msg, prev)
		return
	}
	for i, e := range entries {
		if term, ok := m.log.term(e.Index); ok && term == e.Term {
			continue
		} else if ok {
			m.cut(e.Index)
		}
		for _, e := range entries[i:] {
			m.log.append(e)
		}
		break
	}
	agreed := prev + uint64(len(entries))
	if to := min(msg.Commit, agreed); to > m.commit {
		m.commitTo(to)
	}
	if !msg.Quiet {
		m.acknowledge(msg, agreed)
	}
}

// acceptLeader tells whether a leader's message counts, and follows it.
func (m *Machine) acceptLeader(msg Message) bool {
	if msg.Term < m.hard.Term {
		// Without the round: the sender may lead again by now, in this very term, and would take it
		// for one of today's.
		m.send(Message{Kind: AppendReply, To: msg.From, Reject: true})
		return false
	}
	if m.role == leader && msg.Term == m.hard.Term {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and we", msg.Term, msg.From))
	}
	m.followLeader(msg)
	m.heard = m.now
	m.resetElection()
	if m.mayCampaign() {
		m.resendPending(resendAfter)
		return true
	}
	if msg.ToDisk == m.disk {
		m.adopted = m.now
		m.joinAt, m.joinWait = m.now+electionMax, 0
	} else if m.now-m.joinedAt >= heartbeat {
		m.joinAt = m.now
	}
	m.resendPending(resendAfter)
	return true
}

// acknowledge promises that the log agrees with the leader's up to an index. It stands for what it
// promised this leader before and waits for the same sync: however long that takes, one is kept.
func (m *Machine) acknowledge(msg Message, index uint64) {
	reply := Message{Kind: AppendReply, To: msg.From, Term: m.hard.Term, Index: index, Sequence: msg.Sequence}
	if m.answersEarly() {
		early := reply
		early.Index = min(index, m.synced)
		m.send(early)
	}
	if i := len(m.held) - 1; i >= 0 {
		if last := m.held[i]; last.Kind == AppendReply && last.To == reply.To && last.Term == reply.Term {
			reply.Index, reply.Sequence = max(last.Index, index), max(last.Sequence, msg.Sequence)
			m.held = m.held[:i]
		}
	}
	m.promise(reply)
}

// answersEarly tells whether a leader is answered before the sync that is under way is done, with
// what was on the disk before: without that, disks that are all slow at once, as when all write a
// snapshot, would cost a leader its quorum. The term has to be on the disk as well, or a leader of
// an earlier one could take back, after a crash, what was acknowledged. A disk that doesn't answer
// for long counts as lost, so that another can take its place.
func (m *Machine) answersEarly() bool {
	took := m.now - m.savingSince
	return m.saving && took >= heartbeat && took < stalledAfter && m.syncedTerm == m.hard.Term
}

// disagree tells the leader where to look next: at our end, or before the term that doesn't fit.
func (m *Machine) disagree(msg Message, prev uint64) {
	to := m.log.last()
	if term, ok := m.log.term(prev); ok {
		to = prev - 1
		for t, ok := m.log.term(to); ok && t == term && to > m.commit; t, ok = m.log.term(to) {
			to--
		}
	}
	m.send(Message{Kind: AppendReply, To: msg.From, Reject: true, Index: to, About: prev, Sequence: msg.Sequence})
}

func (m *Machine) onAppendReply(msg Message) {
	if msg.Term > m.hard.Term {
		m.follow(msg.Term)
		return
	}
	p := m.replier(msg)
	if p == nil {
		return
	}
	p.heard, p.disk, p.round = m.now, msg.Disk, max(p.round, msg.Sequence)
	m.peers = slices.DeleteFunc(m.peers, func(q *progress) bool { // an old Join of a disk that is there no more
		return q != p && q.learner && q.member.Address == p.member.Address && p.round > q.since
	})
	if msg.Reject {
		if prev := msg.About; prev == p.next-1 && p.stage == probing || p.stage == streaming && prev > p.match {
			p.stage, p.probed = probing, false
			p.next = max(min(prev, msg.Index+1), p.match+1)
		}
		m.confirmReads()
		return
	}
	if msg.Index > m.log.last() {
		panic(fmt.Sprintf("consensus: %v acknowledges %d, and the log ends at %d", p.member, msg.Index, m.log.last()))
	}
	p.match = max(p.match, msg.Index)
	p.next = max(p.next, p.match+1)
	if p.stage == probing && msg.Index >= p.next-1 || p.stage == installing && p.match >= p.transfer.snapshot.Index {
		p.stage, p.next, p.transfer = streaming, p.match+1, transfer{}
	}
	m.advanceCommit()
	m.confirmReads()
	if p == m.transferee {
		m.sendTimeoutNow()
	}
	if p.learner {
		m.planMembers()
	}
}

// advanceCommit commits what a quorum has synced, once that reaches this term.
func (m *Machine) advanceCommit() {
	index := m.log.current().members.quorumValue(func(v Member) uint64 {
		if m.isSelf(v) {
			return m.synced
		}
		if p := m.voter(v); p != nil {
			return p.match
		}
		return 0
	})
	if index <= m.commit {
		return
	}
	if term, _ := m.log.term(index); term != m.hard.Term {
		return
	}
	m.commitTo(index)
	m.confirmReads()
	m.planMembers()
}
