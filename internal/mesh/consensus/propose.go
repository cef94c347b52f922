package consensus

import (
	"slices"
	"time"
)

// pending is a proposal of this node. Its fate is known for certain once it is applied, or once an
// entry of a later term than the one in which it was given to the leader is: what isn't there by
// then can't come any more, since terms never go back along the log.
type pending struct {
	id      uint64
	term    uint64
	command []byte
	again   bool // it was refused once
	sent    time.Duration
}

// pendingRead is a read of this node.
type pendingRead struct {
	id    uint64
	sent  time.Duration
	known bool
	index uint64 // to be applied
}

// read is one that a leader confirms.
type read struct {
	from       string
	origin, id uint64
	need       uint64 // round of heartbeats
}

// origin remembers which proposals of one process a leader has dealt with, whichever way, so that a
// message which comes twice has no second effect.
type origin struct {
	life uint64
	high uint64
	bits [16]uint64
}

// fresh tells whether a number is new, and remembers it. Those that are too old to tell are not.
func (o *origin) fresh(id uint64) bool {
	const window = 1024
	for o.high < id {
		o.high++
		if id-o.high < window {
			o.bits[o.high%window/64] &^= 1 << (o.high % 64)
		} else {
			o.high = id - window
		}
	}
	if id+window <= o.high {
		return false
	}
	bit := uint64(1) << (id % 64)
	if o.bits[id%window/64]&bit != 0 {
		return false
	}
	o.bits[id%window/64] |= bit
	return true
}

func (m *Machine) fresh(life, id uint64) bool {
	i := slices.IndexFunc(m.seen, func(o origin) bool { return o.life == life })
	if i < 0 {
		if len(m.seen) == mostOrigins {
			m.seen = m.seen[1:]
		}
		m.seen = append(m.seen, origin{life: life})
		i = len(m.seen) - 1
	}
	return m.seen[i].fresh(id)
}

// Propose has a command appended. Numbers go up by one, for proposals and reads together.
func (m *Machine) Propose(id uint64, command []byte) {
	switch {
	case len(m.pending) >= mostPending || m.role == leader && m.full():
		m.done = append(m.done, Done{ID: id, Err: ErrBusy})
		return
	case m.leader.Address == "" || m.role == leader && m.transferee != nil:
		m.done = append(m.done, Done{ID: id, Err: ErrNoLeader})
		return
	}
	m.pending = append(m.pending, pending{id: id, command: command})
	m.forward(&m.pending[len(m.pending)-1])
}

// forward gives a proposal to the leader.
func (m *Machine) forward(p *pending) {
	p.term, p.sent = m.hard.Term, m.now
	if m.role == leader {
		m.appendCommand(m.life, p.id, p.command)
		return
	}
	m.send(Message{Kind: Forward, To: m.leader.Address, ToDisk: m.leader.Disk, Origin: m.life, ID: p.id, Command: p.command,
		LeaderTime: m.leaderTime})
}

func (m *Machine) appendCommand(origin, id uint64, command []byte) {
	m.log.append(Entry{Index: m.log.last() + 1, Term: m.hard.Term, Origin: origin, ID: id, Command: command})
}

// full tells that too much waits to be committed.
func (m *Machine) full() bool { return m.log.bytes(m.commit, m.log.last()) >= mostOpen }

// Cancel forgets a proposal or a read that nobody waits for.
func (m *Machine) Cancel(id uint64) {
	m.pending = slices.DeleteFunc(m.pending, func(p pending) bool { return p.id == id })
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool { return a.id == id })
}

// onForward appends what another node proposes, in the term it believes in and not long ago. A refusal is certain
// only if no message with this proposal can have been or will be taken: all of this life are
// remembered, and an earlier life on this disk wasn't a leader in a later term than this one began
// in. Otherwise there is no answer, and the log will tell.
func (m *Machine) onForward(msg Message) {
	if msg.Term > m.hard.Term || !m.fresh(msg.Origin, msg.ID) {
		return
	}
	if m.role == leader && msg.Term == m.hard.Term && m.transferee == nil && !m.full() && !m.isStale(msg) {
		m.appendCommand(msg.Origin, msg.ID, msg.Command)
		return
	}
	if msg.Term > m.began && msg.ToDisk == m.disk {
		m.send(Message{Kind: Refuse, To: msg.From, Origin: msg.Origin, ID: msg.ID, About: msg.Term})
	}
}

func (m *Machine) onRefuse(msg Message) {
	i := slices.IndexFunc(m.pending, func(p pending) bool { return p.id == msg.ID && p.term == msg.About })
	if i < 0 || msg.Origin != m.life {
		return
	}
	p := &m.pending[i]
	if !p.again && m.leader.Address != "" && m.leader.Address != msg.From && (m.role != leader || m.transferee == nil && !m.full()) {
		p.again = true
		m.forward(p)
		return
	}
	m.done = append(m.done, Done{ID: p.id, Err: ErrNoLeader})
	m.pending = slices.Delete(m.pending, i, i+1)
}

// onApplied settles proposals by an entry that is applied.
func (m *Machine) onApplied(e Entry) {
	if e.Origin == m.life {
		i := slices.IndexFunc(m.pending, func(p pending) bool { return p.id == e.ID })
		if i >= 0 {
			m.done = append(m.done, Done{ID: e.ID, Index: e.Index})
			m.pending = slices.Delete(m.pending, i, i+1)
		}
	}
	m.pending = slices.DeleteFunc(m.pending, func(p pending) bool {
		if p.term >= e.Term {
			return false
		}
		m.done = append(m.done, Done{ID: p.id, Err: ErrNoLeader})
		return true
	})
}

// Read asks for a proof that the table here is current.
func (m *Machine) Read(id uint64) {
	switch {
	case len(m.pendingReads) >= mostPending:
		m.done = append(m.done, Done{ID: id, Err: ErrBusy})
	case m.leader.Address == "":
		m.done = append(m.done, Done{ID: id, Err: ErrNoLeader})
	default:
		m.pendingReads = append(m.pendingReads, pendingRead{id: id})
		m.forwardRead(&m.pendingReads[len(m.pendingReads)-1])
	}
}

func (m *Machine) forwardRead(a *pendingRead) {
	a.sent = m.now
	msg := Message{Kind: ReadAsk, From: m.self, To: m.leader.Address, Origin: m.life, ID: a.id}
	if m.role == leader {
		m.onReadAsk(msg)
		return
	}
	m.send(msg)
}

// resendPending gives the leader again what it was given longer ago than this. It tells proposals
// apart, so they have no second effect; one that was given to a leader of an earlier term waits for
// the log instead.
func (m *Machine) resendPending(ago time.Duration) {
	for i := range m.pendingReads {
		if a := &m.pendingReads[i]; !a.known && m.now-a.sent >= ago {
			m.forwardRead(a)
		}
	}
	for i := range m.pending {
		if p := &m.pending[i]; p.term == m.hard.Term && m.role != leader && m.now-p.sent >= ago {
			m.forward(p)
		}
	}
}

func (m *Machine) failReads(err error) {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		if !a.known {
			m.done = append(m.done, Done{ID: a.id, Err: err})
		}
		return !a.known
	})
}

// onReadAsk takes a read, as a leader. It is answered once a round of heartbeats that begins after
// it has been acknowledged by a majority: until then there may be another leader by now.
func (m *Machine) onReadAsk(msg Message) {
	if m.role != leader || len(m.reads) >= mostReads {
		m.send(Message{Kind: ReadReply, To: msg.From, Origin: msg.Origin, ID: msg.ID, Reject: true})
		return
	}
	m.reads = append(m.reads, read{msg.From, msg.Origin, msg.ID, m.round + 1})
	m.confirmReads()
}

// confirmReads answers the reads whose round is acknowledged, with the commit of now, which isn't
// known to be that of all before an entry of this term is committed.
func (m *Machine) confirmReads() {
	if m.role != leader || m.commit < m.opened || len(m.reads) == 0 {
		return
	}
	confirmed := m.log.current().members.quorumValue(func(v Member) uint64 {
		if m.isSelf(v) {
			return m.round
		}
		if p := m.voter(v); p != nil {
			return p.round
		}
		return 0
	})
	m.reads = slices.DeleteFunc(m.reads, func(r read) bool {
		if r.need > confirmed {
			return false
		}
		if r.from == m.self {
			m.knowRead(r.id, m.commit)
		} else {
			m.send(Message{Kind: ReadReply, To: r.from, Origin: r.origin, ID: r.id, Index: m.commit})
		}
		return true
	})
}

func (m *Machine) onReadReply(msg Message) {
	if msg.Origin != m.life {
		return
	}
	if !msg.Reject {
		m.knowRead(msg.ID, msg.Index)
		return
	}
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		refused := a.id == msg.ID && !a.known && m.leader.Address == msg.From
		if refused {
			m.done = append(m.done, Done{ID: a.id, Err: ErrNoLeader})
		}
		return refused
	})
}

func (m *Machine) knowRead(id, index uint64) {
	for i := range m.pendingReads {
		if a := &m.pendingReads[i]; a.id == id && !a.known {
			a.known, a.index = true, index
		}
	}
}

func (m *Machine) finishReads() {
	m.pendingReads = slices.DeleteFunc(m.pendingReads, func(a pendingRead) bool {
		ready := a.known && a.index <= m.applied
		if ready {
			m.done = append(m.done, Done{ID: a.id})
		}
		return ready
	})
}
