package sidecar

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
)

// tellUsageEvery is how often counts go to a core machine while a window lasts: what a gate that dies
// has not told is lost.
const tellUsageEvery = time.Second

// usageTeller tells one core machine over one connection what has been counted.
type usageTeller struct {
	counter  *usage.Counter
	revision uint64 // that has been told
	closed   int64  // likewise
	told     time.Time
}

// next is what is to be told now; nil: nothing.
func (t *usageTeller) next(now time.Time) *usage.Update {
	if t.counter == nil || now.Sub(t.told) < tellUsageEvery && t.counter.LastClosed() == t.closed {
		return nil
	}
	u, revision := t.counter.ChangesSince(t.revision)
	if revision == t.revision && u.Closed == t.closed {
		return nil
	}
	t.revision, t.closed, t.told = revision, u.Closed, now
	return &u
}

// tells fills in what counts by the mesh's time need.
func (t *usageTeller) tells(a *Agent, up *transport.AgentUpdate) {
	up.Clock = int64(a.clock.Local())
	up.Usage = t.next(time.Now())
}

// correctClock goes by the time that the core machines tell.
func (a *Agent) correctClock() {
	var offsets []time.Duration
	for _, f := range a.feeds {
		if f.alive && f.timed.Load() {
			offsets = append(offsets, time.Duration(f.offset.Load()))
		}
	}
	a.clock.Correct(offsets)
}
