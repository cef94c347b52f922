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
func (t *usageReporter) nextUpdate(now time.Time) *usage.Update {
	if t.counter == nil || now.Sub(t.sentAt) < usageReportInterval && t.counter.LastClosed() == t.sentClosed {
		return nil
	}
	u, revision := t.counter.ChangesSince(t.sentRevision)
	if revision == t.sentRevision && u.Closed == t.sentClosed {
		return nil
	}
	t.sentRevision, t.sentClosed, t.sentAt = revision, u.Closed, now
	return &u
}

// fillUpdate adds the agent's clock and its usage counts to a message.
func (t *usageReporter) fillUpdate(a *Agent, update *transport.AgentUpdate) {
	update.Clock = int64(a.clock.Local())
	update.Usage = t.nextUpdate(time.Now())
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
