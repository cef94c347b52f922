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
type snapshotTransfer struct {
	snapshot    *Snapshot
	checksum    uint32
	ackedOffset uint64        // acknowledged
	chunkSentAt time.Duration // the chunk behind that
	awaitingAck bool          // for the acknowledgement of that chunk
}

// transferID tells which snapshot a chunk is of.
type transferID struct {
	leader   Member
	term     uint64 // of the leader
	place    Place
	size     uint64
	checksum uint32
}

// incoming is a snapshot that is being received.
type incomingSnapshot struct {
	transferID
	data []byte
}

func (m *Machine) beginSnapshotTransfer(p *progress) {
	p.state, p.sentRound, p.sentCommit = sendingSnapshot, m.heartbeatRound, m.commitIndex
	p.transfer = snapshotTransfer{snapshot: m.snapshot, checksum: crc32.Checksum(m.snapshot.Data, castagnoli)}
	m.sendChunk(p)
}

// sendChunk sends the next chunk, or the last one again if it was not acknowledged in time.
func (m *Machine) sendChunk(p *progress) {
	t := &p.transfer
	if t.awaitingAck && m.now-t.chunkSentAt < chunkAckTimeout {
		return
	}
	t.awaitingAck, t.chunkSentAt = true, m.now
	part := *t.snapshot
	size := uint64(len(part.Data))
	part.Data = part.Data[t.ackedOffset:min(t.ackedOffset+uint64(m.chunkBytes), size)]
	m.send(Message{Kind: InstallSnapshot, To: p.member.Address, ToDisk: p.member.Disk, Snapshot: &part, Sequence: m.heartbeatRound,
		Offset: t.ackedOffset, Size: size, Sum: t.checksum})
}

func (m *Machine) handleInstallSnapshotReply(msg Message) {
	p := m.peerForReply(msg)
	if p == nil {
		return
	}
	p.lastContact = m.now
	t := &p.transfer
	if p.state != sendingSnapshot || msg.Index != t.snapshot.Index || msg.LogTerm != t.snapshot.Term ||
		msg.Offset >= uint64(len(t.snapshot.Data)) {
		return
	}
	if msg.Offset != t.ackedOffset || !t.awaitingAck {
		t.ackedOffset, t.awaitingAck = msg.Offset, false
	}
}

func (m *Machine) handleInstallSnapshot(msg Message) {
	s := msg.Snapshot
	if s == nil || msg.Size > maxSnapshotBytes || !m.acceptLeader(msg) {
		return
	}
	if s.Index <= m.commitIndex {
		m.acknowledge(msg, m.commitIndex)
		return
	}
	if term, ok := m.log.termAt(s.Index); ok && term == s.Term { // the entries are here; they only weren't known to hold
		m.commitTo(s.Index)
		m.acknowledge(msg, s.Index)
		return
	}
	if data, complete := m.receiveChunk(msg); complete {
		whole := *s
		whole.Data = data
		m.installSnapshot(&whole)
		m.acknowledge(msg, s.Index)
	}
}

// receive puts a chunk behind those that have come, and returns the data once it is whole. It tells
// the leader where to go on.
func (m *Machine) receiveChunk(msg Message) (data []byte, complete bool) {
	s := msg.Snapshot
	id := transferID{Member{msg.From, msg.Disk}, msg.Term, Place{s.Term, s.Index}, msg.Size, msg.Sum}
	in := m.incomingSnapshot
	if in == nil || in.transferID != id {
		if in != nil && in.term == id.term && id.place.before(in.place) {
			return nil, false // late: the leader sends a newer one by now
		}
		in = &incomingSnapshot{transferID: id, data: make([]byte, 0, msg.Size)}
		m.incomingSnapshot = in
	}
	if msg.Offset == uint64(len(in.data)) && msg.Offset+uint64(len(s.Data)) <= msg.Size {
		in.data = append(in.data, s.Data...)
	}
	if uint64(len(in.data)) == msg.Size {
		m.incomingSnapshot = nil
		if crc32.Checksum(in.data, castagnoli) == msg.Sum {
			return in.data, true
		}
		in.data = nil
	}
	m.send(Message{Kind: InstallSnapshotReply, To: msg.From, Index: s.Index, LogTerm: s.Term, Offset: uint64(len(in.data)),
		Sequence: msg.Sequence})
	return nil, false
}

// install puts a snapshot in place of the log and the table. Nothing of it is on the disk yet, nor
// in the Save that may be under way.
func (m *Machine) installSnapshot(s *Snapshot) {
	m.log.resetTo(s)
	m.snapshot, m.snapshotToRestore, m.snapshotDirty = s, s, true
	m.handedOffIndex, m.savingIndex, m.syncedIndex = s.Index, 0, 0
	m.commitIndex, m.appliedIndex = s.Index, s.Index
	for _, p := range m.pendingProposals { // their fate is behind the snapshot
		m.completions = append(m.completions, Completion{ID: p.id, Err: ErrUnknown})
	}
	m.pendingProposals = nil
}

func (m *Machine) isCompactionDue() bool {
	if m.appliedIndex < m.tableIndex {
		return false
	}
	from := m.log.baseIndex
	if m.snapshot != nil {
		from = max(from, m.snapshot.Index)
	}
	return m.appliedIndex-from >= m.compactEntries || m.log.bytesBetween(from, m.appliedIndex) >= compactBytes
}

// asOfApplied is a snapshot as of the last entry that was applied.
func (m *Machine) snapshotAtApplied(data []byte) *Snapshot {
	term, _ := m.log.termAt(m.appliedIndex)
	members := m.log.configurationAt(m.appliedIndex)
	return &Snapshot{Index: m.appliedIndex, Term: term, Members: members.members, MembersAt: members.place, Data: data}
}

// Compact hands over the table's snapshot as of the last entry that was applied.
func (m *Machine) Compact(data []byte) {
	m.snapshot = m.snapshotAtApplied(data)
	to := m.appliedIndex
	for to > m.log.baseIndex && m.appliedIndex-to < m.compactEntries/2 && m.log.bytesBetween(to-1, m.appliedIndex) <= compactBytes/2 {
		to--
	}
	m.log.compactTo(min(to, m.retentionLimit(to)))
	m.handedOffIndex = max(m.handedOffIndex, m.log.baseIndex)
	m.snapshotDirty = true
}

// neededFrom is where the log has to begin so that those who are being sent an older snapshot find
// there what comes after it. They don't hold up a log that grows long.
func (m *Machine) retentionLimit(to uint64) uint64 {
	for _, p := range m.peers {
		if p.state != sendingSnapshot {
			continue
		}
		if at := p.transfer.snapshot.Index; at < to && m.log.bytesBetween(max(at, m.log.baseIndex), m.appliedIndex) <= compactBytes {
			to = at
		}
	}
	return to
}
