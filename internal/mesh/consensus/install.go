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
	chunk := *t.snapshot
	size := uint64(len(chunk.Data))
	chunk.Data = chunk.Data[t.ackedOffset:min(t.ackedOffset+uint64(m.chunkBytes), size)]
	m.send(Message{Kind: InstallSnapshot, To: p.member.Address, ToDisk: p.member.Disk, Snapshot: &chunk, Sequence: m.heartbeatRound,
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
		assembled := *s
		assembled.Data = data
		m.installSnapshot(&assembled)
		m.acknowledge(msg, s.Index)
	}
}

// receive puts a chunk behind those that have come, and returns the data once it is whole. It tells
// the leader where to go on.
func (m *Machine) receiveChunk(msg Message) (data []byte, complete bool) {
	s := msg.Snapshot
	id := transferID{Member{msg.From, msg.Disk}, msg.Term, Place{s.Term, s.Index}, msg.Size, msg.Sum}
	receiving := m.incomingSnapshot
	if receiving == nil || receiving.transferID != id {
		if receiving != nil && receiving.term == id.term && id.place.before(receiving.place) {
			return nil, false // late: the leader sends a newer one by now
		}
		receiving = &incomingSnapshot{transferID: id, data: make([]byte, 0, msg.Size)}
		m.incomingSnapshot = receiving
	}
	if msg.Offset == uint64(len(receiving.data)) && msg.Offset+uint64(len(s.Data)) <= msg.Size {
		receiving.data = append(receiving.data, s.Data...)
	}
	if uint64(len(receiving.data)) == msg.Size {
		m.incomingSnapshot = nil
		if crc32.Checksum(receiving.data, castagnoli) == msg.Sum {
			return receiving.data, true
		}
		receiving.data = nil
	}
	m.send(Message{Kind: InstallSnapshotReply, To: msg.From, Index: s.Index, LogTerm: s.Term, Offset: uint64(len(receiving.data)),
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
	lastSnapshot := m.log.baseIndex
	if m.snapshot != nil {
		lastSnapshot = max(lastSnapshot, m.snapshot.Index)
	}
	return m.appliedIndex-lastSnapshot >= m.compactEntries || m.log.bytesBetween(lastSnapshot, m.appliedIndex) >= compactBytes
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
	compactIndex := m.appliedIndex
	for compactIndex > m.log.baseIndex && m.appliedIndex-compactIndex < m.compactEntries/2 && m.log.bytesBetween(compactIndex-1, m.appliedIndex) <= compactBytes/2 {
		compactIndex--
	}
	m.log.compactTo(min(compactIndex, m.retentionLimit(compactIndex)))
	m.handedOffIndex = max(m.handedOffIndex, m.log.baseIndex)
	m.snapshotDirty = true
}

// neededFrom is where the log has to begin so that those who are being sent an older snapshot find
// there what comes after it. They don't hold up a log that grows long.
func (m *Machine) retentionLimit(compactIndex uint64) uint64 {
	for _, p := range m.peers {
		if p.state != sendingSnapshot {
			continue
		}
		if snapshotIndex := p.transfer.snapshot.Index; snapshotIndex < compactIndex && m.log.bytesBetween(max(snapshotIndex, m.log.baseIndex), m.appliedIndex) <= compactBytes {
			compactIndex = snapshotIndex
		}
	}
	return compactIndex
}
