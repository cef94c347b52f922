package sidecar

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
)

// usageReportInterval is the interval between usage reports to a control-plane node within a window.
// Counts that have not been reported are lost if the process crashes.
const usageReportInterval = time.Second

// usageReporter decides which usage counts one feed connection reports.
type usageReporter struct {
	counter      *usage.Counter
	sentRevision uint64 // last counter revision that was sent
	sentClosed   int64  // last closed window that was sent
	sentAt       time.Time
}

// nextUpdate returns the usage counts to send now, nil if there is nothing to report.
func (r *usageReporter) nextUpdate(now time.Time) *usage.Update {
	if r.counter == nil || now.Sub(r.sentAt) < usageReportInterval && r.counter.LastClosed() == r.sentClosed {
		return nil
	}
	u, revision := r.counter.ChangesSince(r.sentRevision)
	if revision == r.sentRevision && u.Closed == r.sentClosed {
		return nil
	}
	r.sentRevision, r.sentClosed, r.sentAt = revision, u.Closed, now
	return &u
}

// fillUpdate adds the agent's clock and its usage counts to a message.
func (r *usageReporter) fillUpdate(a *Agent, update *transport.AgentUpdate) {
	update.Clock = int64(a.clock.Local())
	update.Usage = r.nextUpdate(time.Now())
}

// correctClock adjusts the mesh clock to the times that the connected control-plane nodes send.
func (a *Agent) correctClock() {
	var offsets []time.Duration
	for _, f := range a.feeds {
		if f.connected && f.clockKnown.Load() {
			offsets = append(offsets, time.Duration(f.clockOffset.Load()))
		}
	}
	a.clock.Correct(offsets)
}
