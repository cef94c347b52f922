package consensus

import (
	"hash/crc32"
	"time"
)

// A snapshot is sent in chunks, each after the previous one was acknowledged. This bounds the data
// in flight, lets heartbeats through, and allows an interrupted transfer to resume. A chunk belongs
// to one snapshot of one leader in one term, and chunks of different transfers are never combined.
// The follower acknowledges the snapshot as stored only when all of it is on its disk.

// snapshotTransfer is a snapshot that a leader sends to a peer. A transfer keeps its snapshot until
// it has completed, even if a newer one is taken meanwhile: otherwise a slow peer would have to
// start over again and again.
type snapshotTransfer struct {
	snapshot    *Snapshot
	checksum    uint32
	ackedOffset uint64        // bytes acknowledged
	chunkSentAt time.Duration // when the chunk at ackedOffset was sent
	awaitingAck bool          // that chunk is not acknowledged yet
}

// transferID identifies the snapshot that a chunk belongs to.
type transferID struct {
	leader   Member
	term     uint64 // of the leader
	place    Place
	size     uint64
	checksum uint32
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	transferID
	data []byte
}

func (m *Machine) beginSnapshotTransfer(p *progress) {
	p.state, p.sentRound, p.sentCommit = sendingSnapshot, m.heartbeatRound, m.commitIndex
	p.transfer = snapshotTransfer{snapshot: m.snapshot, checksum: crc32.Checksum(m.snapshot.Data, castagnoli)}
	m.sendChunk(p)
}

// sendChunk sends the next chunk, or repeats the last one if its acknowledgement is overdue.
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

// handleInstallSnapshotReply continues a transfer at the offset that the peer asks for.
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

// handleInstallSnapshot processes a chunk of a snapshot, and installs the snapshot once it is
// complete.
func (m *Machine) handleInstallSnapshot(msg Message) {
	s := msg.Snapshot
	if s == nil || msg.Size > maxSnapshotBytes || !m.acceptLeader(msg) {
		return
	}
	if s.Index <= m.commitIndex {
		m.acknowledge(msg, m.commitIndex)
		return
	}
	// The log already holds these entries, and only lacked the news that they are committed.
	if term, ok := m.log.termAt(s.Index); ok && term == s.Term {
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

// receiveChunk appends a chunk to those received so far, and returns the data once it is complete.
// Until then it tells the leader at which offset to continue.
func (m *Machine) receiveChunk(msg Message) (data []byte, complete bool) {
	s := msg.Snapshot
	id := transferID{Member{msg.From, msg.Disk}, msg.Term, Place{s.Term, s.Index}, msg.Size, msg.Sum}
	receiving := m.incomingSnapshot
	if receiving == nil || receiving.transferID != id {
		if receiving != nil && receiving.term == id.term && id.place.before(receiving.place) {
			return nil, false // a late chunk; the leader already sends a newer snapshot
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
	m.send(replyTo(msg, Message{Kind: InstallSnapshotReply, Index: s.Index, LogTerm: s.Term, Offset: uint64(len(receiving.data)),
		Sequence: msg.Sequence}))
	return nil, false
}

// installSnapshot replaces the log and the table by a snapshot. None of it is on disk yet, nor part
// of a Save in progress.
func (m *Machine) installSnapshot(s *Snapshot) {
	m.log.resetTo(s)
	m.snapshot, m.snapshotToRestore, m.snapshotDirty = s, s, true
	m.handedOffIndex, m.savingIndex, m.syncedIndex = s.Index, 0, 0
	m.commitIndex, m.appliedIndex = s.Index, s.Index
	for _, p := range m.pendingProposals { // the snapshot hides whether they were applied
		m.completions = append(m.completions, Completion{ID: p.id, Err: ErrUnknown})
	}
	m.pendingProposals = nil
}

// isCompactionDue reports whether enough was applied since the last snapshot to take another one.
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

// snapshotAtApplied returns a snapshot as of the last applied entry, with the given table data.
func (m *Machine) snapshotAtApplied(data []byte) *Snapshot {
	term, _ := m.log.termAt(m.appliedIndex)
	config := m.log.configurationAt(m.appliedIndex)
	return &Snapshot{Index: m.appliedIndex, Term: term, Members: config.members, MembersAt: config.place, Data: data}
}

// Compact takes a snapshot of the table as of the last applied entry, and compacts the log.
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

// retentionLimit lowers a compaction index so that the log keeps the entries that follow the older
// snapshots still being sent to peers. Transfers don't hold back compaction once the log has grown
// beyond compactBytes.
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
