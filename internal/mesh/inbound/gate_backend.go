package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// Beat takes in what the backend says of itself, and says whether others should hear of it.
func (g *Gate) Heartbeat(now time.Duration, b transport.Backend, cause Cause) (news bool) {
	g.step(now)
	old := g.lives.serving
	defer g.noteChange(old, cause, b.Calls)()
	switch g.lives.beat(now, b) {
	case beatLate:
		g.StaleHeartbeats++
		return false
	case beatUnproven:
		return false
	}
	return g.served(old)
}

// Unproven says whether the backend should be asked who it is, as its calls may be late, or nothing has been heard of it. The answer
// goes to Vouch, with the changes as of now.
func (g *Gate) NeedsProbe() (changes uint64, ask bool) {
	return g.lives.changes, g.lives.unproven != nil || g.lives.serving == nil && g.lives.last == nil
}

// Vouch takes in a life's answer to a health probe, by which it is well and does not leave, and says whether others should hear of it.
func (g *Gate) ProbeSucceeded(now time.Duration, changes uint64, b transport.Backend) (news bool) {
	g.step(now)
	old := g.lives.serving
	defer g.noteChange(old, ProbeAnswered, 0)()
	return g.lives.vouch(changes, b) && g.served(old)
}

// served goes by what is served now, in place of what was.
func (g *Gate) served(old *transport.Backend) (news bool) {
	b := g.lives.serving
	wasCold := g.cold > g.now
	g.heard, g.cold = g.now, g.now+b.ColdLeft
	if old == nil || old.ID != b.ID {
		g.recent, g.rate, g.errors = 0, meter{}, meter{}
	}
	if old != nil && old.ID != b.ID {
		g.refuseWaiting(&transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend})
	} else if f := g.shut(); f != nil {
		g.refuseWaiting(f)
	}
	return old == nil || old.ID != b.ID || old.Draining != b.Draining || old.Service != b.Service ||
		old.Capacity != b.Capacity || wasCold != (b.ColdLeft > 0)
}

// SignOff takes in a life's own word that it ends, which is final, and says whether others should hear of it.
func (g *Gate) Deregister(now time.Duration, id string, cause Cause) (news bool) {
	return g.gone(now, id, cause, g.lives.signOff)
}

// Lost takes in that a life is silent, or not where it was, and says whether others should hear of it. Its next beat brings it back.
func (g *Gate) MarkLost(now time.Duration, id string, cause Cause) (news bool) {
	return g.gone(now, id, cause, g.lives.lose)
}

// gone takes a life away, and refuses those who wait if it was the one that is served.
func (g *Gate) gone(now time.Duration, id string, cause Cause, take func(id string) (served bool)) (news bool) {
	g.step(now)
	defer g.noteChange(g.lives.serving, cause, 0)()
	if !take(id) {
		return false
	}
	g.refuseWaiting(g.shut())
	return true
}

// Tick lets time pass: a backend that has said nothing and answered nothing for long is gone.
func (g *Gate) Tick(now time.Duration) (news bool) {
	g.step(now)
	if b := g.lives.serving; b != nil && now-g.heard > deadAfter*g.rules.HeartbeatInterval+g.rules.HeartbeatInterval/2 {
		return g.MarkLost(now, b.ID, HeartbeatTimeout)
	}
	return false
}

// Backend returns what is known of the backend, with what is left of its warm-up; nil if there is none.
func (g *Gate) Backend(now time.Duration) *transport.Backend {
	if g.lives.serving == nil {
		return nil
	}
	b := *g.lives.serving
	b.ColdLeft = max(0, g.cold-now)
	return &b
}
