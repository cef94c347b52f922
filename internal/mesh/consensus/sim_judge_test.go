package consensus

import (
	"bytes"
	"encoding/gob"
	"errors"
	"slices"
	"time"
)

// applyEntry applies an entry at a host. It fails if entries are applied out of order, if two hosts
// apply different entries at an index, if a value is applied twice, or if a rejected value is
// applied.
func (w *world) applyEntry(h *host, e Entry) {
	if e.Index <= h.initialTableIndex {
		return
	}
	if e.Index != h.appliedIndex+1 {
		w.fail("%s applies entry %d after entry %d", h.address, e.Index, h.appliedIndex)
	}
	h.appliedIndex = e.Index
	if e.Origin != 0 {
		h.table = append(h.table, e)
	}
	if e.Index <= uint64(len(w.committed)) {
		if committed := w.committed[e.Index-1]; committed.Term != e.Term || committed.Origin != e.Origin || committed.ID != e.ID {
			w.fail("%s applies %v at %d, where %v was applied before", h.address, e, e.Index, committed)
		}
		return
	}
	w.committed = append(w.committed, e)
	if e.Members != nil {
		w.trace("%s: members at %d: %v", h.address, e.Index, e.Members)
		w.committedMembers = *e.Members
	}
	if e.Origin != 0 {
		value := decodeValue(e.Command)
		if w.committedAt[value] != 0 {
			w.fail("value %d is committed at %d and at %d", value, w.committedAt[value], e.Index)
		}
		w.committedAt[value] = e.Index
		if w.outcomes[value] == "refused" {
			w.fail("value %d was rejected, but is committed at %d", value, e.Index)
		}
	}
}

// restore restores the table of a host from a snapshot. It fails if the snapshot differs from the
// committed entries.
func (w *world) restore(h *host, s *Snapshot) {
	if s.Index <= h.initialTableIndex {
		return
	}
	h.table = nil
	if err := gob.NewDecoder(bytes.NewReader(s.Data)).Decode(&h.table); err != nil {
		w.fail("%v", err)
	}
	h.appliedIndex = s.Index
	want := slices.DeleteFunc(slices.Clone(w.committed[:s.Index]), func(e Entry) bool { return e.Origin == 0 })
	if !slices.EqualFunc(h.table, want, func(e, c Entry) bool { return e.Index == c.Index && e.Origin == c.Origin && e.ID == c.ID }) {
		w.fail("%s: the snapshot at %d has %v instead of %v", h.address, s.Index, h.table, want)
	}
}

// decodeValue returns the value that a command proposes.
func decodeValue(command []byte) (v uint64) {
	for _, b := range command {
		v = v<<8 | uint64(b)
	}
	return v
}

// recordCompletion records the result of a request. It fails if a read observed too little, if a
// proposal is acknowledged with a wrong index, or if a rejected value is committed.
func (w *world) recordCompletion(h *host, completion Completion) {
	valueOrIndex, ok := h.pendingRequests[completion.ID]
	if !ok {
		return
	}
	delete(h.pendingRequests, completion.ID)
	w.history.endCall(h, completion)
	switch {
	case h.isReadRequest[completion.ID]:
		if completion.Err == nil {
			w.readCount++
			if h.appliedIndex < valueOrIndex {
				w.fail("%s answers a read at %d, but %d was committed before", h.address, h.appliedIndex, valueOrIndex)
			}
		}
	case completion.Err == nil:
		w.ackCount++
		w.outcomes[valueOrIndex], w.ackedAt[valueOrIndex] = "acked", completion.Index
		if index := w.committedAt[valueOrIndex]; index != 0 && index != completion.Index {
			w.fail("value %d is acknowledged at %d, but is committed at %d", valueOrIndex, completion.Index, index)
		}
	case errors.Is(completion.Err, ErrUnknown):
		w.outcomes[valueOrIndex] = "unknown"
	default:
		w.outcomes[valueOrIndex] = "refused"
		if index := w.committedAt[valueOrIndex]; index != 0 {
			w.fail("value %d is rejected, but is committed at %d", valueOrIndex, index)
		}
	}
}

// isSettled reports whether all hosts that are present follow one leader and have applied the same
// entries, and the members are as many disks as there should be, which all still exist.
func (w *world) isSettled() bool {
	var leaderHost *host
	for _, h := range w.hosts {
		if h.machine != nil && h.machine.role == leader {
			if leaderHost != nil {
				return false
			}
			leaderHost = h
		}
	}
	for _, h := range w.hosts {
		if leaderHost == nil || h != w.absentHost && (h.machine.leader.Address != leaderHost.address || h.appliedIndex != leaderHost.appliedIndex) {
			return false
		}
	}
	return len(w.committedMembers.Voters) == max(3, w.targetVoters) && !w.isAnyDiskLost(w.committedMembers.Voters)
}

func (w *world) isAnyDiskLost(voters []Member) bool {
	return slices.ContainsFunc(voters, func(v Member) bool { return w.lostDisks[v] })
}

// healAndCheck ends all faults. It then requires that the hosts that are present accept proposals,
// that the members are complete, and that no acknowledged value is lost.
func (w *world) healAndCheck() {
	clear(w.cutLinks)
	w.messageFaultRate, w.crashRate, w.saveFailureRate, w.maxSyncTime = 0, 0, 0, min(w.maxSyncTime, 100*time.Millisecond)
	for _, h := range w.hosts {
		h.pausedUntil = min(h.pausedUntil, w.now)
		if h != w.absentHost {
			w.start(h)
		}
	}
	w.runFor(3 * time.Second) // until no delayed message is left
	for end := w.now + 16*time.Second; w.now < end && !w.isSettled(); {
		w.runFor(time.Second)
	}
	for i, h := range w.hosts {
		if h == w.absentHost {
			continue
		}
		value := 1<<20 + uint64(i)
		w.propose(h, value)
		w.read(h)
		w.runFor(time.Second)
		if w.outcomes[value] != "acked" {
			w.fail("%s: a proposal after all faults have ended has the outcome %q", h.address, w.outcomes[value])
		}
	}
	if len(w.committedMembers.Voters) != max(3, w.targetVoters) || w.isAnyDiskLost(w.committedMembers.Voters) {
		w.fail("wrong members: %v", w.committedMembers)
	}
	for value, index := range w.ackedAt {
		if w.committedAt[value] != index {
			w.fail("value %d was acknowledged at %d, but is committed at %d", value, index, w.committedAt[value])
		}
	}
}
