package consensus

import (
	"slices"
	"time"
)

// pending is a proposal of this node. Its fate is known for certain once it is applied, or once an
// entry of a later term than the one in which it was given to the leader is: what isn't there by
// then can't come any more, since terms never go back along the log.
type pendingProposal struct {
	id            uint64
	forwardedTerm uint64
	command       []byte
	retried       bool // it was refused once
	sentAt        time.Duration
}

// pendingRead is a read of this node.
type pendingRead struct {
	id        uint64
	sentAt    time.Duration
	confirmed bool
	readIndex uint64 // to be applied
}

// read is one that a leader confirms.
type leaderRead struct {
	from          string
	origin, id    uint64
	requiredRound uint64 // round of heartbeats
}

// origin remembers which proposals of one process a leader has dealt with, whichever way, so that a
// message which comes twice has no second effect.
type proposalWindow struct {
	incarnation uint64
	highestID   uint64
	seenBits    [16]uint64
}

// fresh tells whether a number is new, and remembers it. Those that are too old to tell are not.
func (o *proposalWindow) recordNew(id uint64) bool {
	const window = 1024
	for o.highestID < id {
		o.highestID++
		if id-o.highestID < window {
			o.seenBits[o.highestID%window/64] &^= 1 << (o.highestID % 64)
		} else {
			o.highestID = id - window
		}
	}
	if id+window <= o.highestID {
		return false
	}
	bit := uint64(1) << (id % 64)
	if o.seenBits[id%window/64]&bit != 0 {
		return false
	}
	o.seenBits[id%window/64] |= bit
	return true
}

func (m *Machine) recordProposal(life, id uint64) bool {
	i := slices.IndexFunc(m.proposalWindows, func(o proposalWindow) bool { return o.incarnation == life })
	if i < 0 {
		if len(m.proposalWindows) == maxProposalWindows {
			m.proposalWindows = m.proposalWindows[1:]
		}
		m.proposalWindows = append(m.proposalWindows, proposalWindow{incarnation: life})
		i = len(m.proposalWindows) - 1
	}
	return m.proposalWindows[i].recordNew(id)
}

// Propose has a command appended. Numbers go up by one, for proposals and reads together.
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

// forward gives a proposal to the leader.
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

// full tells that too much waits to be committed.
func (m *Machine) isUncommittedLimitReached() bool {
	return m.log.bytesBetween(m.commitIndex, m.log.lastIndex()) >= maxUncommittedBytes
}

// Cancel forgets a proposal or a read that nobody waits for.
func (m *Machine) Cancel(id uint64) {
	m.pendingProposals = slices.DeleteFunc(m.pendingProposals, func(p pendingProposal) bool { return p.id == id })
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool { return a.id == id })
}

// onForward appends what another node proposes, in the term it believes in and not long ago. A refusal is certain
// only if no message with this proposal can have been or will be taken: all of this life are
// remembered, and an earlier life on this disk wasn't a leader in a later term than this one began
// in. Otherwise there is no answer, and the log will tell.
func (m *Machine) handleForward(msg Message) {
	if msg.Term > m.hardState.Term || !m.recordProposal(msg.Origin, msg.ID) {
		return
	}
	if m.role == leader && msg.Term == m.hardState.Term && m.transferee == nil && !m.isUncommittedLimitReached() && !m.isStale(msg) {
		m.appendCommand(msg.Origin, msg.ID, msg.Command)
		return
	}
	if msg.Term > m.initialTerm && msg.ToDisk == m.diskID {
		m.send(Message{Kind: ForwardReject, To: msg.From, Origin: msg.Origin, ID: msg.ID, About: msg.Term})
	}
}

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

// onApplied settles proposals by an entry that is applied.
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

// Read asks for a proof that the table here is current.
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

func (m *Machine) requestReadIndex(a *pendingRead) {
	a.sentAt = m.now
	msg := Message{Kind: ReadIndex, From: m.self, To: m.leader.Address, Origin: m.incarnation, ID: a.id}
	if m.role == leader {
		m.handleReadIndex(msg)
		return
	}
	m.send(msg)
}

// resendPending gives the leader again what it was given longer ago than this. It tells proposals
// apart, so they have no second effect; one that was given to a leader of an earlier term waits for
// the log instead.
func (m *Machine) resendPending(ago time.Duration) {
	for i := range m.pendingReads {
		if a := &m.pendingReads[i]; !a.confirmed && m.now-a.sentAt >= ago {
			m.requestReadIndex(a)
		}
	}
	for i := range m.pendingProposals {
		if p := &m.pendingProposals[i]; p.forwardedTerm == m.hardState.Term && m.role != leader && m.now-p.sentAt >= ago {
			m.forwardProposal(p)
		}
	}
}

func (m *Machine) failReads(err error) {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		if !a.confirmed {
			m.completions = append(m.completions, Completion{ID: a.id, Err: err})
		}
		return !a.confirmed
	})
}

// onReadAsk takes a read, as a leader. It is answered once a round of heartbeats that begins after
// it has been acknowledged by a majority: until then there may be another leader by now.
func (m *Machine) handleReadIndex(msg Message) {
	if m.role != leader || len(m.leaderReads) >= maxLeaderReads {
		m.send(Message{Kind: ReadIndexReply, To: msg.From, Origin: msg.Origin, ID: msg.ID, Reject: true})
		return
	}
	m.leaderReads = append(m.leaderReads, leaderRead{msg.From, msg.Origin, msg.ID, m.heartbeatRound + 1})
	m.confirmReads()
}

// confirmReads answers the reads whose round is acknowledged, with the commit of now, which isn't
// known to be that of all before an entry of this term is committed.
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
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		refused := a.id == msg.ID && !a.confirmed && m.leader.Address == msg.From
		if refused {
			m.completions = append(m.completions, Completion{ID: a.id, Err: ErrNoLeader})
		}
		return refused
	})
}

func (m *Machine) setReadIndex(id, index uint64) {
	for i := range m.pendingReads {
		if a := &m.pendingReads[i]; a.id == id && !a.confirmed {
			a.confirmed, a.readIndex = true, index
		}
	}
}

func (m *Machine) completeReads() {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		ready := a.confirmed && a.readIndex <= m.appliedIndex
		if ready {
			m.completions = append(m.completions, Completion{ID: a.id})
		}
		return ready
	})
}
