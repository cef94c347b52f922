package inbound

import (
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	// maxHeartbeatDelay bounds how late a heartbeat arrives: an older one never reaches a process.
	maxHeartbeatDelay = 8 * time.Second
	maxEndedInstances = 64 // ids of ended instances that are remembered; all their heartbeats are ignored
)

// instanceTracker records which instance of the backend a gate serves and which instances have
// ended. An instance is one run of the backend process. The tracker is a state machine without I/O
// or clock.
//
// An instance ends when it deregisters or when another instance takes its place. Both are final:
// none of its heartbeats counts any more, however late and in whatever order they arrive. The
// draining state is final too: a draining instance may still be heard, but is never ready again.
// That an instance is unreachable or silent is not final; its next heartbeat makes it available
// again.
//
// This process does not know what an earlier process beside the backend acknowledged, and
// heartbeats from that time may still arrive. An instance is therefore served only once it has
// answered a health probe (confirm), or once such heartbeats cannot arrive any more and no other
// instance is known.
type instanceTracker struct {
	startedAt   time.Duration      // when the process started
	serving     *transport.Backend // nil if there is none
	lastServed  *transport.Backend // the instance served last, even if it is gone
	unconfirmed *transport.Backend // an instance that sent heartbeats but is not confirmed yet
	ended       []string           // ids, oldest first
	generation  uint64             // counts changes of the served or ended instances
}

// heartbeatOutcome is the effect of a heartbeat.
type heartbeatOutcome uint8

const (
	heartbeatStale       heartbeatOutcome = iota // ignored: outdated, or from an instance that has ended
	heartbeatUnconfirmed                         // possibly outdated: the instance has to be probed
	heartbeatAccepted                            // the instance is served now
)

func (t *instanceTracker) hasEnded(id string) bool { return slices.Contains(t.ended, id) }

// heartbeat handles a heartbeat of an instance.
func (t *instanceTracker) heartbeat(now time.Duration, b transport.Backend) heartbeatOutcome {
	wasServed := t.lastServed != nil && t.lastServed.ID == b.ID
	switch {
	case t.hasEnded(b.ID), b.Calls != 0 && b.Calls < t.latestHeartbeat(b.ID):
		return heartbeatStale
	case wasServed, t.canAssumeCurrent(now):
		t.serve(b)
		return heartbeatAccepted
	case !b.Draining:
		t.unconfirmed = &b
		return heartbeatUnconfirmed
	case t.serving != nil: // whichever of the two is running, a draining one must not be served
		t.markEnded(b.ID)
		return heartbeatStale
	}
	t.serve(b)
	return heartbeatAccepted
}

// latestHeartbeat is the highest heartbeat number received from an instance.
func (t *instanceTracker) latestHeartbeat(id string) (latest uint64) {
	for _, b := range []*transport.Backend{t.lastServed, t.unconfirmed} {
		if b != nil && b.ID == id {
			latest = max(latest, b.Calls)
		}
	}
	return latest
}

// canAssumeCurrent reports whether an instance that was not served before may be taken for the
// running one: no other instance is known, and heartbeats sent to an earlier process cannot arrive
// any more.
func (t *instanceTracker) canAssumeCurrent(now time.Duration) bool {
	return t.serving == nil && now-t.startedAt >= maxHeartbeatDelay
}

// serve makes b the served instance. A different instance that was served before has ended.
func (t *instanceTracker) serve(b transport.Backend) {
	if t.lastServed != nil && t.lastServed.ID == b.ID {
		b.Draining = b.Draining || t.lastServed.Draining
		b.Calls = max(b.Calls, t.lastServed.Calls)
	} else if t.lastServed != nil {
		t.markEnded(t.lastServed.ID)
	}
	if t.serving == nil || t.serving.ID != b.ID {
		t.generation++
	}
	t.serving, t.lastServed, t.unconfirmed = &b, &b, nil
}

// confirm handles the answer of an instance to a health probe that began at the given generation.
// It returns false if the answer may be older than what is known by now.
func (t *instanceTracker) confirm(generation uint64, b transport.Backend) bool {
	if generation != t.generation || t.hasEnded(b.ID) || t.serving != nil && t.serving.ID == b.ID {
		return false
	}
	// The heartbeat has more details than the probe, but its warm-up time may be outdated.
	if t.unconfirmed != nil && t.unconfirmed.ID == b.ID {
		coldLeft := b.ColdLeft
		b = *t.unconfirmed
		b.ColdLeft = coldLeft
	} else if t.unconfirmed != nil {
		t.markEnded(t.unconfirmed.ID)
	}
	t.serve(b)
	return true
}

// deregister records that an instance has announced its end. It reports whether the instance was
// served.
func (t *instanceTracker) deregister(id string) bool {
	t.markEnded(id)
	return t.markLost(id)
}

// markLost records that an instance is unreachable or silent. It reports whether the instance was
// served.
func (t *instanceTracker) markLost(id string) bool {
	if t.serving == nil || t.serving.ID != id {
		return false
	}
	t.serving = nil
	t.generation++
	return true
}

// markEnded remembers that an instance has ended.
func (t *instanceTracker) markEnded(id string) {
	if t.unconfirmed != nil && t.unconfirmed.ID == id {
		t.unconfirmed = nil
	}
	if t.hasEnded(id) {
		return
	}
	t.generation++
	if len(t.ended) == maxEndedInstances {
		t.ended = slices.Delete(t.ended, 0, 1)
	}
	t.ended = append(t.ended, id)
}
