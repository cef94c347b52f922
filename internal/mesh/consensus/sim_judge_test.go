package consensus

import (
	"bytes"
	"encoding/gob"
	"errors"
	"slices"
	"time"
)

func (w *world) applyEntry(h *host, e Entry) {
	if e.Index <= h.initialTableIndex {
		return
	}
	if e.Index != h.appliedIndex+1 {
		w.fail("%s applies %d after %d", h.address, e.Index, h.appliedIndex)
	}
	h.appliedIndex = e.Index
	if e.Origin != 0 {
		h.table = append(h.table, e)
	}
	if e.Index <= uint64(len(w.committed)) {
		if c := w.committed[e.Index-1]; c.Term != e.Term || c.Origin != e.Origin || c.ID != e.ID {
			w.fail("%s applies %v at %d, where there was %v", h.address, e, e.Index, c)
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
			w.fail("%d is at %d and at %d", value, w.committedAt[value], e.Index)
		}
		w.committedAt[value] = e.Index
		if w.outcomes[value] == "refused" {
			w.fail("%d was refused and is at %d", value, e.Index)
		}
	}
}

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
		w.fail("%s: the snapshot as of %d has %v for %v", h.address, s.Index, h.table, want)
	}
}

func decodeValue(command []byte) (v uint64) {
	for _, b := range command {
		v = v<<8 | uint64(b)
	}
	return v
}

func (w *world) recordCompletion(h *host, d Completion) {
	what, ok := h.pendingRequests[d.ID]
	if !ok {
		return
	}
	delete(h.pendingRequests, d.ID)
	w.history.endCall(h, d)
	switch {
	case h.isReadRequest[d.ID]:
		if d.Err == nil {
			w.readCount++
			if h.appliedIndex < what {
				w.fail("%s answers a read at %d, and %d was committed before", h.address, h.appliedIndex, what)
			}
		}
	case d.Err == nil:
		w.ackCount++
		w.outcomes[what], w.ackedAt[what] = "acked", d.Index
		if at := w.committedAt[what]; at != 0 && at != d.Index {
			w.fail("%d is acknowledged at %d and is at %d", what, d.Index, at)
		}
	case errors.Is(d.Err, ErrUnknown):
		w.outcomes[what] = "unknown"
	default:
		w.outcomes[what] = "refused"
		if at := w.committedAt[what]; at != 0 {
			w.fail("%d is refused and is at %d", what, at)
		}
	}
}

// calm tells whether all that are up follow one leader, with as many members as there should be and
// all applied.
func (w *world) isSettled() bool {
	var leads *host
	for _, h := range w.hosts {
		if h.machine != nil && h.machine.role == leader {
			if leads != nil {
				return false
			}
			leads = h
		}
	}
	for _, h := range w.hosts {
		if leads == nil || h != w.absentHost && (h.machine.leader.Address != leads.address || h.appliedIndex != leads.appliedIndex) {
			return false
		}
	}
	return len(w.committedMembers.Voters) == 3 && !w.isAnyDiskLost(w.committedMembers.Voters)
}

func (w *world) isAnyDiskLost(voters []Member) bool {
	return slices.ContainsFunc(voters, func(v Member) bool { return w.lostDisks[v] })
}

// heal mends all, and demands that the hosts that are up agree, take proposals, and have lost
// nothing.
func (w *world) healAndCheck() {
	clear(w.cutLinks)
	w.messageFaultRate, w.crashRate, w.saveFailureRate, w.maxSyncTime = 0, 0, 0, min(w.maxSyncTime, 100*time.Millisecond)
	for _, h := range w.hosts {
		h.pausedUntil = min(h.pausedUntil, w.now)
		if h != w.absentHost {
			w.start(h)
		}
	}
	w.runFor(3 * time.Second) // until no old message is left
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
			w.fail("%s: a proposal after all is mended comes to %q", h.address, w.outcomes[value])
		}
	}
	if len(w.committedMembers.Voters) != max(3, w.targetVoters) || w.isAnyDiskLost(w.committedMembers.Voters) {
		w.fail("the members are %v", w.committedMembers)
	}
	for value, index := range w.ackedAt {
		if w.committedAt[value] != index {
			w.fail("%d was acknowledged at %d and is at %d", value, index, w.committedAt[value])
		}
	}
}
