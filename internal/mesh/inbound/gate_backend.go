package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Heartbeat handles a heartbeat of the backend and reports whether to announce the backend.
func (g *Gate) Heartbeat(now time.Duration, b transport.Backend, cause Cause) (announce bool) {
	g.advance(now)
	previous := g.instances.serving
	defer g.recordChange(previous, cause, b.Calls)()
	switch g.instances.heartbeat(now, b) {
	case heartbeatStale:
		g.StaleHeartbeats++
		return false
	case heartbeatUnconfirmed:
		return false
	}
	return g.applyServing(previous)
}

// NeedsProbe reports whether the backend should be probed for its identity, because it has sent no
// heartbeat or one that may be outdated. The result of the probe goes to ProbeSucceeded together
// with the generation returned here.
func (g *Gate) NeedsProbe() (generation uint64, needed bool) {
	return g.instances.generation, g.instances.unconfirmed != nil || g.instances.serving == nil && g.instances.lastServed == nil
}

// ProbeSucceeded records that instance b answered a health probe as healthy and not draining. The
// generation is the one that NeedsProbe returned when the probe began. It reports whether to
// announce the backend.
func (g *Gate) ProbeSucceeded(now time.Duration, generation uint64, b transport.Backend) (announce bool) {
	g.advance(now)
	previous := g.instances.serving
	defer g.recordChange(previous, ProbeAnswered, 0)()
	return g.instances.confirm(generation, b) && g.applyServing(previous)
}

// applyServing updates the gate after the served instance or its state changed, and reports whether
// to announce the backend.
func (g *Gate) applyServing(previous *transport.Backend) (announce bool) {
	b := g.instances.serving
	wasCold := g.coldUntil > g.now
	g.lastContact, g.coldUntil = g.now, g.now+b.ColdLeft
	if previous == nil || previous.ID != b.ID {
		g.meanLatency, g.successes, g.failures = 0, rateMeter{}, rateMeter{}
	}
	if previous != nil && previous.ID != b.ID {
		g.refuseQueued(&transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend})
	} else if failure := g.closedFailure(); failure != nil {
		g.refuseQueued(failure)
	}
	return previous == nil || previous.ID != b.ID || previous.Draining != b.Draining || previous.Service != b.Service ||
		previous.Capacity != b.Capacity || wasCold != (b.ColdLeft > 0)
}

// Deregister records that an instance has announced its end, which is final, and reports whether to
// announce the backend.
func (g *Gate) Deregister(now time.Duration, id string, cause Cause) (announce bool) {
	return g.removeInstance(now, id, cause, g.instances.deregister)
}

// MarkLost records that an instance is silent or no longer at its address, and reports whether to
// announce the backend. The next heartbeat of the instance makes it available again.
func (g *Gate) MarkLost(now time.Duration, id string, cause Cause) (announce bool) {
	return g.removeInstance(now, id, cause, g.instances.markLost)
}

// removeInstance removes an instance, and refuses the queued requests if it was the one served.
func (g *Gate) removeInstance(now time.Duration, id string, cause Cause, remove func(id string) (served bool)) (announce bool) {
	g.advance(now)
	defer g.recordChange(g.instances.serving, cause, 0)()
	if !remove(id) {
		return false
	}
	g.refuseQueued(g.closedFailure())
	return true
}

// Tick must be called regularly. It drops a backend that has sent neither heartbeats nor responses
// for several heartbeat intervals, and reports whether to announce the backend.
func (g *Gate) Tick(now time.Duration) (announce bool) {
	g.advance(now)
	if b := g.instances.serving; b != nil && now-g.lastContact > maxMissedHeartbeats*g.rules.HeartbeatInterval+g.rules.HeartbeatInterval/2 {
		return g.MarkLost(now, b.ID, HeartbeatTimeout)
	}
	return false
}

// Backend returns the current state of the backend with its remaining warm-up time, or nil if there
// is none.
func (g *Gate) Backend(now time.Duration) *transport.Backend {
	if g.instances.serving == nil {
		return nil
	}
	b := *g.instances.serving
	b.ColdLeft = max(0, g.coldUntil-now)
	return &b
}
