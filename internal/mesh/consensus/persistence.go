package consensus

import (
	"fmt"
	"math"
)

// A Machine hands its changes to the caller as one Save at a time. Messages that make a promise, such
// as a vote or an acknowledgement, are released once the Save that covers them is synced.

// Save is a set of changes to the store, to be written in one transaction and synced.
type Save struct {
	Hard                Hard
	Snapshot            *Snapshot // nil: unchanged
	BaseIndex, BaseTerm uint64    // entries up to BaseIndex are deleted
	FirstIndex          uint64    // entries from FirstIndex on are replaced by Entries
	Entries             []Entry
}

// SaveCompleted reports that the Save in progress is synced.
func (m *Machine) SaveCompleted() {
	m.saveInProgress = false
	m.syncedIndex, m.syncedTerm = max(m.syncedIndex, m.savingIndex), m.savingTerm
	messages := m.awaitingSync
	m.awaitingSync = nil
	m.releaseMessages(messages)
	if m.role == leader {
		m.advanceCommit()
	}
}

// releaseMessages sends messages whose promises are now on disk. Those that are addressed to this
// node, such as its own vote, are processed directly.
func (m *Machine) releaseMessages(messages []Message) {
	for _, msg := range messages {
		if msg.To == m.self {
			m.HandleMessage(msg)
		} else {
			m.outbox = append(m.outbox, msg)
		}
	}
}

// buildSave returns the changes since the last Save, and marks them as handed off.
func (m *Machine) buildSave() *Save {
	changes := &Save{Hard: m.hardState, BaseIndex: m.log.baseIndex, BaseTerm: m.log.baseTerm, FirstIndex: m.handedOffIndex + 1,
		Entries: m.log.entriesBetween(m.handedOffIndex, m.log.lastIndex(), math.MaxUint64)}
	if m.snapshotDirty {
		changes.Snapshot = m.snapshot
	}
	m.hardStateDirty, m.snapshotDirty = false, false
	m.handedOffIndex, m.savingIndex = m.log.lastIndex(), m.log.lastIndex()
	return changes
}

// truncateFrom removes the entries from an index on, because they conflict with the leader's.
func (m *Machine) truncateFrom(from uint64) {
	if from <= m.commitIndex {
		panic(fmt.Sprintf("consensus: can't truncate the log from %d, as entries up to %d are committed", from, m.commitIndex))
	}
	m.log.truncateFrom(from)
	m.handedOffIndex, m.savingIndex, m.syncedIndex = min(m.handedOffIndex, from-1), min(m.savingIndex, from-1), min(m.syncedIndex, from-1)
}
