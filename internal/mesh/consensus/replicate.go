package consensus

import (
	"fmt"
	"slices"
	"time"
)

type replicationState uint8

const (
	probing         replicationState = iota // one message at a time, until it is known where the logs agree
	replicating                             // as much as may be in flight
	sendingSnapshot                         // a snapshot is under way, in chunks
)

// progress is what a leader knows of a peer.
type progress struct {
	member            Member
	isLearner         bool
	discoveredDisk    uint64 // heard, of a member that is known by disk 0; 0 if not yet
	state             replicationState
	probeSent         bool // the one message is under way
	matchIndex        uint64
	nextIndex         uint64
	sentCommit        uint64 // commit
	lastContact       time.Duration
	ackedRound        uint64           // of heartbeats, acknowledged,
	sentRound         uint64           // and sent
	learnerSinceRound uint64           // the round at which it became a learner
	transfer          snapshotTransfer // while installing

	leavingUntil time.Duration // it said that it is about to end
}

// is tells whether a reply comes from this peer. A member by disk 0 is the first disk that was
// heard of it.
func (p *progress) matchesSender(msg Message) bool {
	return p.member.matches(msg.From, msg.Disk, msg.Founder) && (p.discoveredDisk == 0 || p.discoveredDisk == msg.Disk)
}

// replier is the peer that answers this leader, in this term; nil if there is none.
func (m *Machine) peerForReply(msg Message) *progress {
	if m.role != leader || msg.Term != m.hardState.Term {
		return nil
	}
	return m.peerFor(msg)
}

// peerOf is the peer that a message is from; nil if there is none.
func (m *Machine) peerFor(msg Message) *progress {
	for _, p := range m.peers {
		if p.matchesSender(msg) {
			return p
		}
	}
	return nil
}

// setPeers brings the peers in line with the members. A voter that is taken out and still there
// goes on as a learner, so that it hears of that, and stands by.
func (m *Machine) updatePeers() {
	var peers []*progress
	members := m.log.latestConfiguration().members
	for _, v := range members.allVoters() {
		if v.Address == m.self { // ourselves, or the disk that was here before ours
			continue
		}
		i := slices.IndexFunc(m.peers, func(p *progress) bool {
			return p.member == v || p.member.Address == v.Address && p.member.Disk == 0 && p.discoveredDisk == v.Disk
		})
		p := &progress{lastContact: m.now, nextIndex: m.log.lastIndex() + 1}
		if i >= 0 {
			p = m.peers[i]
		}
		p.member, p.isLearner = v, false
		peers = append(peers, p)
	}
	for _, p := range m.peers {
		atAddress := func(q *progress) bool { return q.member.Address == p.member.Address }
		switch {
		case slices.Contains(peers, p):
		case p.isLearner:
			peers = append(peers, p)
		case m.now-p.lastContact < peerTimeout && !slices.ContainsFunc(peers, atAddress):
			p.isLearner = true
			peers = append(peers, p)
		}
	}
	m.peers = peers
}

// beat is a leader's heartbeat. A leader that hasn't heard a majority for long stands back, so that
// those who ask it go elsewhere.
func (m *Machine) startHeartbeatRound() {
	stalled := m.now - m.nextHeartbeat
	m.nextHeartbeat = m.now + heartbeatInterval
	if !m.hasQuorumContact(maxElectionTimeout) {
		m.becomeFollower(m.hardState.Term)
		m.leader = Member{}
		m.failReads(ErrNoLeader)
		return
	}
	if stalled >= m.replaceAfter/2 {
		m.discountStall(stalled)
	}
	m.peers = slices.DeleteFunc(m.peers, func(p *progress) bool {
		return p.isLearner && m.now-p.lastContact > learnerTimeoutFactor*m.replaceAfter
	})
	if m.transferee != nil && m.now >= m.transferDeadline {
		m.transferee = nil
	}
	m.sendTimeoutNow()
	m.heartbeatRound++
	m.commitAtPreviousHeartbeat, m.commitAtLastHeartbeat = m.commitAtLastHeartbeat, m.commitIndex
	for _, p := range m.peers {
		if m.now-p.lastContact >= peerTimeout && p.state == replicating {
			p.state, p.nextIndex = probing, p.matchIndex+1
		}
		p.probeSent = false
		if p.state == sendingSnapshot && m.now-p.lastContact >= peerTimeout {
			p.state, p.transfer = probing, snapshotTransfer{}
		}
	}
	m.reconcileMembers()
}

// quorumHeard tells whether a quorum was heard within a time.
func (m *Machine) hasQuorumContact(within time.Duration) bool {
	return m.log.latestConfiguration().members.hasQuorum(func(v Member) bool {
		p := m.voterProgress(v)
		return m.isSelf(v) || p != nil && m.now-p.lastContact <= within
	})
}

// forgive doesn't count against the others the time in which this node itself stood still.
func (m *Machine) discountStall(stalled time.Duration) {
	for _, p := range m.peers {
		p.lastContact = min(p.lastContact+stalled, m.now)
	}
}

// superseded tells that a voter's disk is gone: its successor answers at the address.
func (m *Machine) isSuperseded(p *progress) bool {
	return slices.ContainsFunc(m.peers, func(q *progress) bool {
		return q != p && q.member.Address == p.member.Address && q.ackedRound > q.learnerSinceRound && q.lastContact >= p.lastContact
	})
}

// replicate sends to all peers what they need.
func (m *Machine) replicate() {
	if slices.ContainsFunc(m.leaderReads, func(r leaderRead) bool { return r.requiredRound > m.heartbeatRound }) {
		m.heartbeatRound++
		m.confirmReads() // it may be that nobody else is needed
	}
	for _, p := range m.peers {
		if p.isLearner || !m.isSuperseded(p) {
			m.replicateTo(p)
		}
	}
}

func (m *Machine) replicateTo(p *progress) {
	if p.state == probing && p.probeSent {
		return
	}
	if p.state != sendingSnapshot && p.nextIndex <= m.log.baseIndex {
		if m.now-p.lastContact < peerTimeout { // to who is down, a snapshot would only be traffic
			m.beginSnapshotTransfer(p)
			return
		}
		p.nextIndex = m.log.baseIndex + 1
	}
	if p.state == sendingSnapshot {
		m.sendChunk(p)
		if p.sentRound < m.heartbeatRound { // only a heartbeat, at the one index where all logs agree
			p.sentRound = m.heartbeatRound
			m.send(Message{Kind: AppendEntries, To: p.member.Address, ToDisk: p.member.Disk, Sequence: m.heartbeatRound, LeaderTime: m.ownTenure()})
		}
		return
	}
	for {
		quiet := m.now-p.lastContact >= peerTimeout // who is down gets heartbeats alone
		full := m.log.bytesBetween(p.matchIndex, p.nextIndex-1) >= maxInFlightBytes
		most := m.lastSendableIndex(p)
		more := p.nextIndex <= most && !quiet && !full
		if !more && p.sentRound >= m.heartbeatRound && p.sentCommit >= min(m.commitIndex, p.nextIndex-1) {
			return
		}
		if !more && quiet && p.sentRound >= m.heartbeatRound {
			return
		}
		term, _ := m.log.termAt(p.nextIndex - 1)
		msg := Message{Kind: AppendEntries, To: p.member.Address, ToDisk: p.member.Disk, Index: p.nextIndex - 1, LogTerm: term,
			Commit: m.commitIndex, Sequence: m.heartbeatRound, LeaderTime: m.ownTenure()}
		if more {
			msg.Entries = m.log.entriesBetween(p.nextIndex-1, most, maxMessageBytes)
		}
		msg.Quiet = !more && p.state == replicating && p.sentRound >= m.heartbeatRound
		m.send(msg)
		p.sentRound, p.sentCommit = m.heartbeatRound, m.commitIndex
		if p.state == probing {
			p.probeSent = true
			return
		}
		p.nextIndex += uint64(len(msg.Entries))
	}
}

// sendable is how far a peer may hold the log. A learner gets committed entries alone: a voter that
// is taken out still votes by the joint configuration it knows, and if it held a final one that no
// incoming voter has kept, it could be neither elected nor vote for those who can be.
func (m *Machine) lastSendableIndex(p *progress) uint64 {
	if p.isLearner {
		return m.commitIndex
	}
	return m.log.lastIndex()
}

func (m *Machine) handleAppend(msg Message) {
	if !m.acceptLeader(msg) {
		return
	}
	prev, entries := msg.Index, msg.Entries
	if prev < m.log.baseIndex { // what we no longer hold is committed, so it agrees
		skip := min(m.log.baseIndex-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev += skip
		if prev < m.log.baseIndex {
			m.acknowledge(msg, m.commitIndex)
			return
		}
		msg.LogTerm = m.log.baseTerm
	}
	if term, ok := m.log.termAt(prev); !ok || term != msg.LogTerm {
		if ok && prev <= m.commitIndex {
			panic(fmt.Sprintf("consensus: entry %d is committed in term %d, and the leader of term %d has it of term %d",
				prev, term, msg.Term, msg.LogTerm))
		}
		m.rejectAppend(msg, prev)
		return
	}
	for i, e := range entries {
		if term, ok := m.log.termAt(e.Index); ok && term == e.Term {
			continue
		} else if ok {
			m.truncateFrom(e.Index)
		}
		for _, e := range entries[i:] {
			m.log.append(e)
		}
		break
	}
	agreed := prev + uint64(len(entries))
	if to := min(msg.Commit, agreed); to > m.commitIndex {
		m.commitTo(to)
	}
	if !msg.Quiet {
		m.acknowledge(msg, agreed)
	}
}

// acceptLeader tells whether a leader's message counts, and follows it.
func (m *Machine) acceptLeader(msg Message) bool {
	if msg.Term < m.hardState.Term {
		// Without the round: the sender may lead again by now, in this very term, and would take it
		// for one of today's.
		m.send(Message{Kind: AppendEntriesReply, To: msg.From, Reject: true})
		return false
	}
	if m.role == leader && msg.Term == m.hardState.Term {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and we", msg.Term, msg.From))
	}
	m.followLeader(msg)
	m.lastLeaderContact = m.now
	m.resetElectionTimer()
	if m.canCampaign() {
		m.resendPending(resendTimeout)
		return true
	}
	if msg.ToDisk == m.diskID {
		m.lastReplicatedTo = m.now
		m.nextJoin, m.joinBackoff = m.now+maxElectionTimeout, 0
	} else if m.now-m.lastJoinSent >= heartbeatInterval {
		m.nextJoin = m.now
	}
	m.resendPending(resendTimeout)
	return true
}

// acknowledge promises that the log agrees with the leader's up to an index. It stands for what it
// promised this leader before and waits for the same sync: however long that takes, one is kept.
func (m *Machine) acknowledge(msg Message, index uint64) {
	reply := Message{Kind: AppendEntriesReply, To: msg.From, Term: m.hardState.Term, Index: index, Sequence: msg.Sequence}
	if m.acknowledgesEarly() {
		early := reply
		early.Index = min(index, m.syncedIndex)
		m.send(early)
	}
	if i := len(m.awaitingSave) - 1; i >= 0 {
		if last := m.awaitingSave[i]; last.Kind == AppendEntriesReply && last.To == reply.To && last.Term == reply.Term {
			reply.Index, reply.Sequence = max(last.Index, index), max(last.Sequence, msg.Sequence)
			m.awaitingSave = m.awaitingSave[:i]
		}
	}
	m.sendAfterSync(reply)
}

// answersEarly tells whether a leader is answered before the sync that is under way is done, with
// what was on the disk before: without that, disks that are all slow at once, as when all write a
// snapshot, would cost a leader its quorum. The term has to be on the disk as well, or a leader of
// an earlier one could take back, after a crash, what was acknowledged. A disk that doesn't answer
// for long counts as lost, so that another can take its place.
func (m *Machine) acknowledgesEarly() bool {
	took := m.now - m.saveStartedAt
	return m.saveInProgress && took >= heartbeatInterval && took < syncStallTimeout && m.syncedTerm == m.hardState.Term
}

// disagree tells the leader where to look next: at our end, or before the term that doesn't fit.
func (m *Machine) rejectAppend(msg Message, prev uint64) {
	to := m.log.lastIndex()
	if term, ok := m.log.termAt(prev); ok {
		to = prev - 1
		for t, ok := m.log.termAt(to); ok && t == term && to > m.commitIndex; t, ok = m.log.termAt(to) {
			to--
		}
	}
	m.send(Message{Kind: AppendEntriesReply, To: msg.From, Reject: true, Index: to, About: prev, Sequence: msg.Sequence})
}

func (m *Machine) handleAppendReply(msg Message) {
	if msg.Term > m.hardState.Term {
		m.becomeFollower(msg.Term)
		return
	}
	p := m.peerForReply(msg)
	if p == nil {
		return
	}
	p.lastContact, p.discoveredDisk, p.ackedRound = m.now, msg.Disk, max(p.ackedRound, msg.Sequence)
	m.peers = slices.DeleteFunc(m.peers, func(q *progress) bool { // an old Join of a disk that is there no more
		return q != p && q.isLearner && q.member.Address == p.member.Address && p.ackedRound > q.learnerSinceRound
	})
	if msg.Reject {
		if prev := msg.About; prev == p.nextIndex-1 && p.state == probing || p.state == replicating && prev > p.matchIndex {
			p.state, p.probeSent = probing, false
			p.nextIndex = max(min(prev, msg.Index+1), p.matchIndex+1)
		}
		m.confirmReads()
		return
	}
	if msg.Index > m.log.lastIndex() {
		panic(fmt.Sprintf("consensus: %v acknowledges %d, and the log ends at %d", p.member, msg.Index, m.log.lastIndex()))
	}
	p.matchIndex = max(p.matchIndex, msg.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if p.state == probing && msg.Index >= p.nextIndex-1 || p.state == sendingSnapshot && p.matchIndex >= p.transfer.snapshot.Index {
		p.state, p.nextIndex, p.transfer = replicating, p.matchIndex+1, snapshotTransfer{}
	}
	m.advanceCommit()
	m.confirmReads()
	if p == m.transferee {
		m.sendTimeoutNow()
	}
	if p.isLearner {
		m.reconcileMembers()
	}
}

// advanceCommit commits what a quorum has synced, once that reaches this term.
func (m *Machine) advanceCommit() {
	index := m.log.latestConfiguration().members.quorumValue(func(v Member) uint64 {
		if m.isSelf(v) {
			return m.syncedIndex
		}
		if p := m.voterProgress(v); p != nil {
			return p.matchIndex
		}
		return 0
	})
	if index <= m.commitIndex {
		return
	}
	if term, _ := m.log.termAt(index); term != m.hardState.Term {
		return
	}
	m.commitTo(index)
	m.confirmReads()
	m.reconcileMembers()
}
