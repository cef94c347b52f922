package consensus

import (
	"hash/crc32"
	"time"
)

// A snapshot goes in chunks, each sent once the one before is acknowledged: it bounds what is under
// way, lets heartbeats through, and goes on where it was cut. A chunk belongs to one snapshot of one
// leader in one term, and one of another is never put behind it. What the follower has received it
// promises only when all of it is on its disk.

// transfer is a snapshot that a leader sends to a peer. It is the same one until it has arrived,
// also when a newer one is taken: else a slow peer would begin again and again.
type transfer struct {
	snapshot *Snapshot
	sum      uint32
	offset   uint64        // acknowledged
	sentAt   time.Duration // the chunk behind that
	waits    bool          // for the acknowledgement of that chunk
}

// transferID tells which snapshot a chunk is of.
type transferID struct {
	leader Member
	term   uint64 // of the leader
	at     Place
	size   uint64
	sum    uint32
}

// incoming is a snapshot that is being received.
type incoming struct {
	transferID
	data []byte
}

func (m *Machine) beginTransfer(p *progress) {
	p.stage, p.sent, p.told = installing, m.round, m.commit
	p.transfer = transfer{snapshot: m.snapshot, sum: crc32.Checksum(m.snapshot.Data, castagnoli)}
	m.sendChunk(p)
}

// sendChunk sends the next chunk, or the last one again if it was not acknowledged in time.
func (m *Machine) sendChunk(p *progress) {
	t := &p.transfer
	if t.waits && m.now-t.sentAt < chunkWait {
		return
	}
	t.waits, t.sentAt = true, m.now
	part := *t.snapshot
	size := uint64(len(part.Data))
	part.Data = part.Data[t.offset:min(t.offset+uint64(m.chunk), size)]
	m.send(Message{Kind: Install, To: p.member.Address, ToDisk: p.member.Disk, Snapshot: &part, Sequence: m.round,
		Offset: t.offset, Size: size, Sum: t.sum})
}

func (m *Machine) onInstallReply(msg Message) {
	p := m.replier(msg)
	if p == nil {
		return
	}
	p.heard = m.now
	t := &p.transfer
	if p.stage != installing || msg.Index != t.snapshot.Index || msg.LogTerm != t.snapshot.Term ||
		msg.Offset >= uint64(len(t.snapshot.Data)) {
		return
	}
	if msg.Offset != t.offset || !t.waits {
		t.offset, t.waits = msg.Offset, false
	}
}

func (m *Machine) onInstall(msg Message) {
	s := msg.Snapshot
	if s == nil || msg.Size > mostSnapshot || !m.acceptLeader(msg) {
		return
	}
	if s.Index <= m.commit {
		m.acknowledge(msg, m.commit)
		return
	}
	if term, ok := m.log.term(s.Index); ok && term == s.Term { // the entries are here; they only weren't known to hold
		m.commitTo(s.Index)
		m.acknowledge(msg, s.Index)
		return
	}
	if data, complete := m.receive(msg); complete {
		whole := *s
		whole.Data = data
		m.install(&whole)
		m.acknowledge(msg, s.Index)
	}
}

// receive puts a chunk behind those that have come, and returns the data once it is whole. It tells
// the leader where to go on.
func (m *Machine) receive(msg Message) (data []byte, complete bool) {
	s := msg.Snapshot
	id := transferID{Member{msg.From, msg.Disk}, msg.Term, Place{s.Term, s.Index}, msg.Size, msg.Sum}
	in := m.incoming
	if in == nil || in.transferID != id {
		if in != nil && in.term == id.term && id.at.before(in.at) {
			return nil, false // late: the leader sends a newer one by now
		}
		in = &incoming{transferID: id, data: make([]byte, 0, msg.Size)}
		m.incoming = in
	}
	if msg.Offset == uint64(len(in.data)) && msg.Offset+uint64(len(s.Data)) <= msg.Size {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) == msg.Size {
		m.incoming = nil
		if crc32.Checksum(in.data, castagnoli) == msg.Sum {
			return in.data, true
		}
		in.data = nil
	}
	m.send(Message{Kind: InstallReply, To: msg.From, Index: s.Index, LogTerm: s.Term, Offset: uint64(len(in.data)),
		Sequence: msg.Sequence})
	return nil, false
}

// install puts a snapshot in place of the log and the table. Nothing of it is on the disk yet, nor
// in the Save that may be under way.
func (m *Machine) install(s *Snapshot) {
	m.log.reset(s)
	m.snapshot, m.restore, m.baseDirty = s, s, true
	m.handed, m.savedTo, m.synced = s.Index, 0, 0
	m.commit, m.applied = s.Index, s.Index
	for _, p := range m.pending { // their fate is behind the snapshot
		m.done = append(m.done, Done{ID: p.id, Err: ErrUnknown})
	}
	m.pending = nil
}

func (m *Machine) compactDue() bool {
	if m.applied < m.tableAt {
		return false
	}
	from := m.log.base
	if m.snapshot != nil {
		from = max(from, m.snapshot.Index)
	}
	return m.applied-from >= m.compact || m.log.bytes(from, m.applied) >= compactBytes
}

// asOfApplied is a snapshot as of the last entry that was applied.
func (m *Machine) asOfApplied(data []byte) *Snapshot {
	term, _ := m.log.term(m.applied)
	members := m.log.at(m.applied)
	return &Snapshot{Index: m.applied, Term: term, Members: members.members, MembersAt: members.at, Data: data}
}

// Compact hands over the table's snapshot as of the last entry that was applied.
func (m *Machine) Compact(data []byte) {
	m.snapshot = m.asOfApplied(data)
	to := m.applied
	for to > m.log.base && m.applied-to < m.compact/2 && m.log.bytes(to-1, m.applied) <= compactBytes/2 {
		to--
	}
	m.log.compact(min(to, m.neededFrom(to)))
	m.handed = max(m.handed, m.log.base)
	m.baseDirty = true
}

// neededFrom is where the log has to begin so that those who are being sent an older snapshot find
// there what comes after it. They don't hold up a log that grows long.
func (m *Machine) neededFrom(to uint64) uint64 {
	for _, p := range m.peers {
		if p.stage != installing {
			continue
		}
		if at := p.transfer.snapshot.Index; at < to && m.log.bytes(max(at, m.log.base), m.applied) <= compactBytes {
			to = at
		}
	}
	return to
}
