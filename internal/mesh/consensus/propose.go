package consensus

import (
	"slices"
	"time"
)

// pendingProposal is a proposal of this node whose outcome is open. The outcome is certain once its
// entry is applied, or once an entry is applied whose term is later than the one in which the
// proposal was given to the leader. A proposal that is not in the log by then can't be added any
// more, because terms never decrease along the log.
type pendingProposal struct {
	id            uint64
	forwardedTerm uint64
	command       []byte
	retried       bool // it was rejected once and forwarded to another leader
	sentAt        time.Duration
}

// pendingRead is a read of this node that has not completed.
type pendingRead struct {
	id        uint64
	sentAt    time.Duration
	confirmed bool
	readIndex uint64 // index that has to be applied before the read completes
}

// leaderRead is a read that waits for the leader's confirmation.
type leaderRead struct {
	from          string
	origin, id    uint64
	requiredRound uint64 // heartbeat round that a majority has to acknowledge
}

// proposalWindow records which proposals of one process a leader has handled, accepted or not, so
// that a duplicated message has no second effect.
type proposalWindow struct {
	incarnation uint64
	highestID   uint64
	seenBits    [16]uint64 // a bit for each of the last 1024 IDs
}

// recordNew records a proposal ID and reports whether it is new. An ID that is too old for the
// window counts as handled.
func (w *proposalWindow) recordNew(id uint64) bool {
	const windowSize = 1024
	for w.highestID < id {
		w.highestID++
		if id-w.highestID < windowSize {
			w.seenBits[w.highestID%windowSize/64] &^= 1 << (w.highestID % 64)
		} else {
			w.highestID = id - windowSize
		}
	}
	if id+windowSize <= w.highestID {
		return false
	}
	bit := uint64(1) << (id % 64)
	if w.seenBits[id%windowSize/64]&bit != 0 {
		return false
	}
	w.seenBits[id%windowSize/64] |= bit
	return true
}

// recordProposal records a proposal of a process and reports whether it is new.
func (m *Machine) recordProposal(incarnation, id uint64) bool {
	i := slices.IndexFunc(m.proposalWindows, func(w proposalWindow) bool { return w.incarnation == incarnation })
	if i < 0 {
		if len(m.proposalWindows) == maxProposalWindows {
			m.proposalWindows = m.proposalWindows[1:]
		}
		m.proposalWindows = append(m.proposalWindows, proposalWindow{incarnation: incarnation})
		i = len(m.proposalWindows) - 1
	}
	return m.proposalWindows[i].recordNew(id)
}

// Propose appends a command to the log through the leader. IDs increase by one, and proposals and
// reads share one sequence.
func (m *Machine) Propose(id uint64, command []byte) {
	switch {
	case len(m.pendingProposals) >= maxPendingRequests || m.role == leader && m.isUncommittedLimitReached():
		m.completions = append(m.completions, Completion{ID: id, Err: ErrBusy})
		return
	case m.leader.Address == "" || m.role == leader && m.transferee != nil:
		m.completions = append(m.completions, Completion{ID: id, Err: ErrNoLeader})
		return
	}
	m.pendingProposals = append(m.pendingProposals, pendingProposal{id: id, command: command})
	m.forwardProposal(&m.pendingProposals[len(m.pendingProposals)-1])
}

// forwardProposal hands a proposal to the leader.
func (m *Machine) forwardProposal(p *pendingProposal) {
	p.forwardedTerm, p.sentAt = m.hardState.Term, m.now
	if m.role == leader {
		m.appendCommand(m.incarnation, p.id, p.command)
		return
	}
	m.send(Message{Kind: Forward, To: m.leader.Address, ToDisk: m.leader.Disk, Origin: m.incarnation, ID: p.id, Command: p.command,
		LeaderTime: m.leaderTenure})
}

func (m *Machine) appendCommand(origin, id uint64, command []byte) {
	m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Origin: origin, ID: id, Command: command})
}

// isUncommittedLimitReached reports whether the uncommitted entries have reached their size limit.
func (m *Machine) isUncommittedLimitReached() bool {
	return m.log.bytesBetween(m.commitIndex, m.log.lastIndex()) >= maxUncommittedBytes
}

// Cancel drops a proposal or a read whose caller has given up.
func (m *Machine) Cancel(id uint64) {
	m.pendingProposals = slices.DeleteFunc(m.pendingProposals, func(p pendingProposal) bool { return p.id == id })
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(r pendingRead) bool { return r.id == id })
}

// handleForward appends the proposal of another node, if it is for the current term and not stale.
//
// A rejection is sent only if no message with this proposal can have been accepted or ever will be.
// That is certain for this machine, which remembers all proposals that it has handled, and an
// earlier machine on this disk can't have led in a term after the one in which this machine was
// created. In all other cases no reply is sent, and the proposing node learns the outcome from the
// log.
func (m *Machine) handleForward(msg Message) {
	if msg.Term > m.hardState.Term || !m.recordProposal(msg.Origin, msg.ID) {
		return
	}
	if m.role == leader && msg.Term == m.hardState.Term && m.transferee == nil && !m.isUncommittedLimitReached() && !m.isStale(msg) {
		m.appendCommand(msg.Origin, msg.ID, msg.Command)
		return
	}
	if msg.Term > m.initialTerm && msg.ToDisk == m.diskID {
		m.send(replyTo(msg, Message{Kind: ForwardReject, Origin: msg.Origin, ID: msg.ID, About: msg.Term}))
	}
}

// handleForwardReject forwards a rejected proposal once more if there is another leader by now, and
// otherwise fails it.
func (m *Machine) handleForwardReject(msg Message) {
	i := slices.IndexFunc(m.pendingProposals, func(p pendingProposal) bool { return p.id == msg.ID && p.forwardedTerm == msg.About })
	if i < 0 || msg.Origin != m.incarnation {
		return
	}
	p := &m.pendingProposals[i]
	if !p.retried && m.leader.Address != "" && m.leader.Address != msg.From && (m.role != leader || m.transferee == nil && !m.isUncommittedLimitReached()) {
		p.retried = true
		m.forwardProposal(p)
		return
	}
	m.completions = append(m.completions, Completion{ID: p.id, Err: ErrNoLeader})
	m.pendingProposals = slices.Delete(m.pendingProposals, i, i+1)
}

// completeProposals completes the proposals whose outcome is decided by an entry that was applied.
func (m *Machine) completeProposals(e Entry) {
	if e.Origin == m.incarnation {
		i := slices.IndexFunc(m.pendingProposals, func(p pendingProposal) bool { return p.id == e.ID })
		if i >= 0 {
			m.completions = append(m.completions, Completion{ID: e.ID, Index: e.Index})
			m.pendingProposals = slices.Delete(m.pendingProposals, i, i+1)
		}
	}
	m.pendingProposals = slices.DeleteFunc(m.pendingProposals, func(p pendingProposal) bool {
		if p.forwardedTerm >= e.Term {
			return false
		}
		m.completions = append(m.completions, Completion{ID: p.id, Err: ErrNoLeader})
		return true
	})
}

// Read requests a confirmation that the local table is current.
func (m *Machine) Read(id uint64) {
	switch {
	case len(m.pendingReads) >= maxPendingRequests:
		m.completions = append(m.completions, Completion{ID: id, Err: ErrBusy})
	case m.leader.Address == "":
		m.completions = append(m.completions, Completion{ID: id, Err: ErrNoLeader})
	default:
		m.pendingReads = append(m.pendingReads, pendingRead{id: id})
		m.requestReadIndex(&m.pendingReads[len(m.pendingReads)-1])
	}
}

func (m *Machine) requestReadIndex(r *pendingRead) {
	r.sentAt = m.now
	msg := Message{Kind: ReadIndex, From: m.self, To: m.leader.Address, Origin: m.incarnation, ID: r.id}
	if m.role == leader {
		m.handleReadIndex(msg)
		return
	}
	m.send(msg)
}

// resendPending repeats requests to the leader that were sent at least minAge ago. The leader
// deduplicates proposals, so repeating them has no second effect. A proposal that was given to the
// leader of an earlier term is not repeated: its outcome follows from the log.
func (m *Machine) resendPending(minAge time.Duration) {
	for i := range m.pendingReads {
		if r := &m.pendingReads[i]; !r.confirmed && m.now-r.sentAt >= minAge {
			m.requestReadIndex(r)
		}
	}
	for i := range m.pendingProposals {
		if p := &m.pendingProposals[i]; p.forwardedTerm == m.hardState.Term && m.role != leader && m.now-p.sentAt >= minAge {
			m.forwardProposal(p)
		}
	}
}

// failReads fails the reads that are not confirmed yet.
func (m *Machine) failReads(err error) {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(r pendingRead) bool {
		if !r.confirmed {
			m.completions = append(m.completions, Completion{ID: r.id, Err: err})
		}
		return !r.confirmed
	})
}

// handleReadIndex accepts a read as the leader. It is answered once a majority has acknowledged a
// heartbeat round that started after the read arrived: only that shows that no other leader has
// been elected meanwhile.
func (m *Machine) handleReadIndex(msg Message) {
	if m.role != leader || len(m.leaderReads) >= maxLeaderReads {
		m.send(Message{Kind: ReadIndexReply, To: msg.From, Origin: msg.Origin, ID: msg.ID, Reject: true})
		return
	}
	m.leaderReads = append(m.leaderReads, leaderRead{msg.From, msg.Origin, msg.ID, m.heartbeatRound + 1})
	m.confirmReads()
}

// confirmReads answers the reads whose heartbeat round is acknowledged, with the current commit
// index. That index may miss entries committed by earlier leaders until an entry of the current
// term is committed, so reads wait for that.
func (m *Machine) confirmReads() {
	if m.role != leader || m.commitIndex < m.termStartIndex || len(m.leaderReads) == 0 {
		return
	}
	confirmed := m.log.latestConfiguration().members.quorumValue(func(v Member) uint64 {
		if m.isSelf(v) {
			return m.heartbeatRound
		}
		if p := m.voterProgress(v); p != nil {
			return p.ackedRound
		}
		return 0
	})
	m.leaderReads = slices.DeleteFunc(m.leaderReads, func(r leaderRead) bool {
		if r.requiredRound > confirmed {
			return false
		}
		if r.from == m.self {
			m.setReadIndex(r.id, m.commitIndex)
		} else {
			m.send(Message{Kind: ReadIndexReply, To: r.from, Origin: r.origin, ID: r.id, Index: m.commitIndex})
		}
		return true
	})
}

func (m *Machine) handleReadIndexReply(msg Message) {
	if msg.Origin != m.incarnation {
		return
	}
	if !msg.Reject {
		m.setReadIndex(msg.ID, msg.Index)
		return
	}
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(r pendingRead) bool {
		rejected := r.id == msg.ID && !r.confirmed && m.leader.Address == msg.From
		if rejected {
			m.completions = append(m.completions, Completion{ID: r.id, Err: ErrNoLeader})
		}
		return rejected
	})
}

// setReadIndex records the leader's confirmation of a read.
func (m *Machine) setReadIndex(id, index uint64) {
	for i := range m.pendingReads {
		if r := &m.pendingReads[i]; r.id == id && !r.confirmed {
			r.confirmed, r.readIndex = true, index
		}
	}
}

// completeReads completes the confirmed reads whose read index is applied.
func (m *Machine) completeReads() {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(r pendingRead) bool {
		ready := r.confirmed && r.readIndex <= m.appliedIndex
		if ready {
			m.completions = append(m.completions, Completion{ID: r.id})
		}
		return ready
	})
}
