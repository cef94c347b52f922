// Package leave controls how an agent treats its clients while it drains or shuts down: whether it
// reports that it is ready, accepts new connections, closes each connection after its answer, and
// closes idle connections.
//
// A drain can be started and ended any number of times. A shutdown is final and may begin during a
// drain. If other processes accept from the same socket, a process that shuts down leaves new
// connections to them at once. The package has no I/O, clock or goroutines: the caller passes the
// times of events, counted from any fixed start.
package leave

import "time"

const (
	// IdleGrace is how long idle connections stay open during a drain. A request that is on its way
	// when its connection is closed is lost, so connections wait for their next request, answer it
	// and close then. The load balancer in front keeps sending for 0.2 s.
	IdleGrace = time.Second
	// AcceptGrace is how long an agent that does not share its socket goes on accepting during a
	// shutdown, because clients go on connecting. Idle connections are closed after the same time,
	// since later requests could be cut off by the end of the process.
	AcceptGrace = 550 * time.Millisecond
)

// Mode is how the agent treats its clients at a given moment.
type Mode struct {
	Ready            bool // report that the agent can serve
	Accept           bool // accept new connections
	CloseAfterAnswer bool // close each connection after its answer
	CloseIdle        bool // close idle connections
}

// Controller tracks the drain and the shutdown of one agent. The zero value serves normally.
type Controller struct {
	SharedSocket bool // other processes accept from the same socket

	draining, shuttingDown    bool
	drainStart, shutdownStart time.Duration // valid while draining, and while shutting down
}

// Drain starts a drain, unless one is under way.
func (c *Controller) Drain(now time.Duration) {
	if !c.draining {
		c.draining, c.drainStart = true, now
	}
}

// Resume ends a drain, if one is under way.
func (c *Controller) Resume() { c.draining = false }

// Shutdown starts the shutdown of the process.
func (c *Controller) Shutdown(now time.Duration) {
	if !c.shuttingDown {
		c.shuttingDown, c.shutdownStart = true, now
	}
}

// ModeAt returns the mode at the given time.
func (c *Controller) ModeAt(now time.Duration) Mode {
	serving := !c.draining && !c.shuttingDown
	return Mode{
		Ready:            serving,
		Accept:           !c.shuttingDown || !c.SharedSocket && now < c.shutdownStart+AcceptGrace,
		CloseAfterAnswer: !serving,
		CloseIdle:        c.draining && now >= c.drainStart+IdleGrace || c.shuttingDown && now >= c.shutdownStart+AcceptGrace,
	}
}
