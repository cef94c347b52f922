package consensus

import (
	"fmt"
	"slices"
	"time"
)

type replicationState uint8

const (
	probing         replicationState = iota // one message at a time, to find where the logs match
	replicating                             // entries without waiting, up to maxInFlightBytes
	sendingSnapshot                         // a snapshot is sent in chunks
)

// progress is what a leader knows about a peer.
type progress struct {
	member    Member
	isLearner bool
	// Disk number that the peer has reported, for a member that is listed with disk 0; 0: none yet.
	discoveredDisk    uint64
	state             replicationState
	probeSent         bool   // while probing: the message is in flight
	matchIndex        uint64 // last index at which the logs are known to match
	nextIndex         uint64 // index of the next entry to send
	sentCommit        uint64 // commit index that was sent last
	lastContact       time.Duration
	ackedRound        uint64           // last heartbeat round that the peer acknowledged
	sentRound         uint64           // last heartbeat round that was sent
	learnerSinceRound uint64           // heartbeat round in which it became a learner
	transfer          snapshotTransfer // while sendingSnapshot

	leavingUntil time.Duration // until then the peer counts as leaving, as it announced
}

// matchesSender reports whether a message was sent by this peer. For a member that is listed with
// disk 0, that is the disk that was first heard at its address.
func (p *progress) matchesSender(msg Message) bool {
	return p.member.matches(msg.From, msg.Disk, msg.Founder) && (p.discoveredDisk == 0 || p.discoveredDisk == msg.Disk)
}

// peerForReply returns the peer that sent a reply to this leader in the current term, or nil.
func (m *Machine) peerForReply(msg Message) *progress {
	if m.role != leader || msg.Term != m.hardState.Term {
		return nil
	}
	return m.peerFor(msg)
}

// peerFor returns the peer that sent a message, or nil.
func (m *Machine) peerFor(msg Message) *progress {
	for _, p := range m.peers {
		if p.matchesSender(msg) {
			return p
		}
	}
	return nil
}

// updatePeers makes the peers match the current configuration. A voter that was removed and is
// still reachable is kept as a learner, so that it hears of its removal and can become a voter
// again.
func (m *Machine) updatePeers() {
	var peers []*progress
	members := m.log.latestConfiguration().members
	for _, v := range members.allVoters() {
		if v.Address == m.self { // this node, or the lost disk that was at its address before
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
		hasSameAddress := func(q *progress) bool { return q.member.Address == p.member.Address }
		switch {
		case slices.Contains(peers, p):
		case p.isLearner:
			peers = append(peers, p)
		case m.now-p.lastContact < peerTimeout && !slices.ContainsFunc(peers, hasSameAddress):
			p.isLearner = true
			peers = append(peers, p)
		}
	}
	m.peers = peers
}

// startHeartbeatRound runs at each heartbeat interval. A leader that has not heard from a majority
// for maxElectionTimeout steps down, so that its clients turn to another node.
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

// hasQuorumContact reports whether a quorum was heard within the given time.
func (m *Machine) hasQuorumContact(within time.Duration) bool {
	return m.log.latestConfiguration().members.hasQuorum(func(v Member) bool {
		p := m.voterProgress(v)
		return m.isSelf(v) || p != nil && m.now-p.lastContact <= within
	})
}

// discountStall makes up for a pause of this process: the time during which the leader itself was
// stalled is not counted as silence of its peers.
func (m *Machine) discountStall(stalled time.Duration) {
	for _, p := range m.peers {
		p.lastContact = min(p.lastContact+stalled, m.now)
	}
}

// isSuperseded reports whether the disk of a voter is lost, because a learner with another disk
// responds at the same address.
func (m *Machine) isSuperseded(p *progress) bool {
	return slices.ContainsFunc(m.peers, func(q *progress) bool {
		return q != p && q.member.Address == p.member.Address && q.ackedRound > q.learnerSinceRound && q.lastContact >= p.lastContact
	})
}

// replicate sends each peer the messages it needs.
func (m *Machine) replicate() {
	if slices.ContainsFunc(m.leaderReads, func(r leaderRead) bool { return r.requiredRound > m.heartbeatRound }) {
		m.heartbeatRound++
		m.confirmReads() // a single voter needs no acknowledgement of others
	}
	for _, p := range m.peers {
		if p.isLearner || !m.isSuperseded(p) {
			m.replicateTo(p)
		}
	}
}

// replicateTo sends a peer entries, a chunk of a snapshot or a heartbeat, whichever is due.
func (m *Machine) replicateTo(p *progress) {
	if p.state == probing && p.probeSent {
		return
	}
	if p.state != sendingSnapshot && p.nextIndex <= m.log.baseIndex {
		// A peer that is down gets no snapshot, which would only cause traffic.
		if m.now-p.lastContact < peerTimeout {
			m.beginSnapshotTransfer(p)
			return
		}
		p.nextIndex = m.log.baseIndex + 1
	}
	if p.state == sendingSnapshot {
		m.sendChunk(p)
		// A heartbeat without entries, at index 0, where all logs match.
		if p.sentRound < m.heartbeatRound {
			p.sentRound = m.heartbeatRound
			m.send(Message{Kind: AppendEntries, To: p.member.Address, ToDisk: p.member.Disk, Sequence: m.heartbeatRound, LeaderTime: m.ownTenure()})
		}
		return
	}
	for {
		isUnreachable := m.now-p.lastContact >= peerTimeout // unreachable peers get only heartbeats
		isWindowFull := m.log.bytesBetween(p.matchIndex, p.nextIndex-1) >= maxInFlightBytes
		lastSendable := m.lastSendableIndex(p)
		hasEntries := p.nextIndex <= lastSendable && !isUnreachable && !isWindowFull
		if !hasEntries && p.sentRound >= m.heartbeatRound && p.sentCommit >= min(m.commitIndex, p.nextIndex-1) {
			return
		}
		if !hasEntries && isUnreachable && p.sentRound >= m.heartbeatRound {
			return
		}
		term, _ := m.log.termAt(p.nextIndex - 1)
		msg := Message{Kind: AppendEntries, To: p.member.Address, ToDisk: p.member.Disk, Index: p.nextIndex - 1, LogTerm: term,
			Commit: m.commitIndex, Sequence: m.heartbeatRound, LeaderTime: m.ownTenure()}
		if hasEntries {
			msg.Entries = m.log.entriesBetween(p.nextIndex-1, lastSendable, maxMessageBytes)
		}
		msg.Quiet = !hasEntries && p.state == replicating && p.sentRound >= m.heartbeatRound
		m.send(msg)
		p.sentRound, p.sentCommit = m.heartbeatRound, m.commitIndex
		if p.state == probing {
			p.probeSent = true
			return
		}
		p.nextIndex += uint64(len(msg.Entries))
	}
}

// lastSendableIndex returns the last index that may be sent to a peer. Learners get only committed
// entries: a removed voter still votes by the joint configuration that it knows. If it held a final
// configuration that no incoming voter has stored, it could neither be elected nor vote for those
// that can.
func (m *Machine) lastSendableIndex(p *progress) uint64 {
	if p.isLearner {
		return m.commitIndex
	}
	return m.log.lastIndex()
}

// handleAppend appends the entries of a leader, if the log matches the leader's before them.
func (m *Machine) handleAppend(msg Message) {
	if !m.acceptLeader(msg) {
		return
	}
	prevIndex, entries := msg.Index, msg.Entries
	if prevIndex < m.log.baseIndex { // entries that are compacted away are committed, so they match
		skipped := min(m.log.baseIndex-prevIndex, uint64(len(entries)))
		entries = entries[skipped:]
		prevIndex += skipped
		if prevIndex < m.log.baseIndex {
			m.acknowledge(msg, m.commitIndex)
			return
		}
		msg.LogTerm = m.log.baseTerm
	}
	if term, ok := m.log.termAt(prevIndex); !ok || term != msg.LogTerm {
		if ok && prevIndex <= m.commitIndex {
			panic(fmt.Sprintf("consensus: entry %d is committed in term %d, but the leader of term %d has it of term %d",
				prevIndex, term, msg.Term, msg.LogTerm))
		}
		m.rejectAppend(msg, prevIndex)
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
	matchIndex := prevIndex + uint64(len(entries))
	if newCommitIndex := min(msg.Commit, matchIndex); newCommitIndex > m.commitIndex {
		m.commitTo(newCommitIndex)
	}
	if !msg.Quiet {
		m.acknowledge(msg, matchIndex)
	}
}

// acceptLeader reports whether a message of a leader is current, and follows that leader if so.
func (m *Machine) acceptLeader(msg Message) bool {
	if msg.Term < m.hardState.Term {
		// The reply leaves out the heartbeat round: the sender may be leading again in the current
		// term, and would count the round as one of that term.
		m.send(replyTo(msg, Message{Kind: AppendEntriesReply, Reject: true}))
		return false
	}
	if m.role == leader && msg.Term == m.hardState.Term {
		panic(fmt.Sprintf("consensus: two leaders in term %d: %s and this node", msg.Term, msg.From))
	}
	m.followLeader(msg)
	m.lastLeaderContact = m.now
	m.resetElectionTimer()
	if !m.canCampaign() && !m.isForOtherDisk(msg) {
		m.nextJoin, m.joinBackoff = m.now+maxElectionTimeout, 0
	}
	m.resendPending(resendTimeout)
	return true
}

// acknowledge promises that the log matches the leader's up to an index. It replaces an earlier
// acknowledgement to the same leader that waits for the same sync, so that only one is kept however
// long the sync takes.
func (m *Machine) acknowledge(msg Message, index uint64) {
	reply := replyTo(msg, Message{Kind: AppendEntriesReply, Term: m.hardState.Term, Index: index, Sequence: msg.Sequence})
	if m.acknowledgesEarly() {
		early := reply
		early.Index = min(index, m.syncedIndex)
		m.send(early)
	}
	if i := len(m.awaitingSave) - 1; i >= 0 {
		if previous := m.awaitingSave[i]; previous.Kind == AppendEntriesReply && previous.To == reply.To && previous.Term == reply.Term {
			reply.Index, reply.Sequence = max(previous.Index, index), max(previous.Sequence, msg.Sequence)
			m.awaitingSave = m.awaitingSave[:i]
		}
	}
	m.sendAfterSync(reply)
}

// acknowledgesEarly reports whether to reply to the leader before the sync in progress ends, with
// the index that is already on disk. Without this, disks that are all slow at the same time, as
// when every node writes a snapshot, would cost the leader its quorum. The current term has to be
// on disk too: otherwise a leader of an earlier term could, after a crash, overwrite what was
// acknowledged. A disk that stalls for syncStallTimeout counts as lost, so that another node can
// take its place.
func (m *Machine) acknowledgesEarly() bool {
	elapsed := m.now - m.saveStartedAt
	return m.saveInProgress && elapsed >= heartbeatInterval && elapsed < syncStallTimeout && m.syncedTerm == m.hardState.Term
}

// rejectAppend tells the leader at which index to probe next: the end of this log, or the entry
// before the conflicting term.
func (m *Machine) rejectAppend(msg Message, prevIndex uint64) {
	probeIndex := m.log.lastIndex()
	if term, ok := m.log.termAt(prevIndex); ok {
		probeIndex = prevIndex - 1
		for t, ok := m.log.termAt(probeIndex); ok && t == term && probeIndex > m.commitIndex; t, ok = m.log.termAt(probeIndex) {
			probeIndex--
		}
	}
	m.send(replyTo(msg, Message{Kind: AppendEntriesReply, Reject: true, Index: probeIndex, About: prevIndex, Sequence: msg.Sequence}))
}

// handleAppendReply advances a peer's progress, or goes back to probing if the logs did not match.
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
	// Drops a learner that joined from the same address, but whose disk no longer exists.
	m.peers = slices.DeleteFunc(m.peers, func(q *progress) bool {
		return q != p && q.isLearner && q.member.Address == p.member.Address && p.ackedRound > q.learnerSinceRound
	})
	if msg.Reject {
		if prevIndex := msg.About; prevIndex == p.nextIndex-1 && p.state == probing || p.state == replicating && prevIndex > p.matchIndex {
			p.state, p.probeSent = probing, false
			p.nextIndex = max(min(prevIndex, msg.Index+1), p.matchIndex+1)
		}
		m.confirmReads()
		return
	}
	if msg.Index > m.log.lastIndex() {
		panic(fmt.Sprintf("consensus: %v acknowledges entry %d, but the log ends at %d", p.member, msg.Index, m.log.lastIndex()))
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

// advanceCommit commits the entries that a quorum has synced, once they include one of the current
// term.
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
