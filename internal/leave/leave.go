// Package leave says what an agent does to its clients while it is drained by hand or ends: whether it says that it is
// ready, takes new connections, ends each behind its answer, and ends those that are idle.
//
// A drain may be begun and ended any number of times; an end is for good and may come at any moment of a drain. Where
// other processes accept from the same socket, one that ends leaves new connections to them at once. There is no I/O,
// clock or goroutine: the caller says when things happen, as time since any fixed start.
package leave

import "time"

const (
	// Linger is how long connections stay for their next request, which is then answered and ends them: one that is
	// ended while a request is on its way loses it. The front goes on for 0.2 s.
	IdleGrace = time.Second
	// Accepting is how long an agent that ends alone goes on accepting: its client goes on connecting. Its connections
	// linger no longer, since what comes later may be cut off at its end.
	AcceptGrace = 550 * time.Millisecond
)

// Stance is what the agent does at a moment.
type Mode struct {
	Ready            bool // it says that it can serve
	Accept           bool // it takes new connections
	CloseAfterAnswer bool // each answer ends its connection
	CloseIdle        bool // connections that carry nothing are ended
}

// Machine follows what is asked of one agent. The zero value is one that serves.
type Controller struct {
	SharedSocket bool // other processes accept from its socket

	drained, ending bool
	since, end      time.Duration // of the drain, of the end
}

// Drain begins a drain, unless there is one.
func (m *Controller) Drain(now time.Duration) {
	if !m.drained {
		m.drained, m.since = true, now
	}
}

// Resume ends the drain, if there is one.
func (m *Controller) Resume() { m.drained = false }

// End begins the end of the process.
func (m *Controller) Shutdown(now time.Duration) {
	if !m.ending {
		m.ending, m.end = true, now
	}
}

// At is the stance at a moment.
func (m *Controller) ModeAt(now time.Duration) Mode {
	serving := !m.drained && !m.ending
	return Mode{
		Ready:            serving,
		Accept:           !m.ending || !m.SharedSocket && now < m.end+AcceptGrace,
		CloseAfterAnswer: !serving,
		CloseIdle:        m.drained && now >= m.since+IdleGrace || m.ending && now >= m.end+AcceptGrace,
	}
}
