package inbound

import "example.org/micaline/internal/mesh/transport"

// Cause is the evidence on which a gate changed its view of its backend.
type Cause uint8

// The causes of a change.
const (
	LocalHeartbeat        Cause = iota // a heartbeat from the backend to this sidecar
	RelayedHeartbeat                   // a heartbeat that a control-plane node passed on
	LocalDeregistration                // the backend's deregistration at this sidecar
	RelayedDeregistration              // a deregistration that a control-plane node passed on
	ProbeAnswered                      // the backend answered a health probe
	NotAtAddress                       // its address refuses connections, or another instance answers there
	HeartbeatTimeout                   // neither heartbeats nor answers for several heartbeat intervals
	causeCount
)

var causeNames = [causeCount]string{"beat", "beat_by_core", "sign_off", "sign_off_by_core", "probe", "not_there", "silence"}

func (c Cause) String() string { return causeNames[min(c, causeCount-1)] }

// maxPendingChanges bounds the changes that have not been collected with popChanges. The host
// collects them after each call, so the limit only guards against unbounded growth.
const maxPendingChanges = 16

// BackendChange is a change in what a gate knows about its backend.
type BackendChange struct {
	Backend         string // id of the backend instance
	State           string // one of meshmetrics.Backends
	Cause           Cause
	HeartbeatNumber uint64 // number of the heartbeat that caused the change; 0 if none did
}

// recordChange returns a function that records a BackendChange if the backend's state now differs
// from the state before.
func (g *Gate) recordChange(before *transport.Backend, cause Cause, heartbeatNumber uint64) func() {
	return func() {
		if sameState(before, g.instances.serving) {
			return
		}
		g.BackendChanges[cause]++
		if len(g.pendingChanges) == maxPendingChanges {
			return
		}
		backend := g.instances.serving
		if backend == nil {
			backend = before
		}
		g.pendingChanges = append(g.pendingChanges, BackendChange{Backend: backend.ID, State: g.state(), Cause: cause, HeartbeatNumber: heartbeatNumber})
	}
}

// sameState reports whether x and y are the same backend instance with the same draining flag.
func sameState(x, y *transport.Backend) bool {
	if x == nil || y == nil {
		return x == y
	}
	return x.ID == y.ID && x.Draining == y.Draining
}

// popChanges returns the changes since the previous call.
func (g *Gate) popChanges() []BackendChange {
	pending := g.pendingChanges
	g.pendingChanges = nil
	return pending
}
