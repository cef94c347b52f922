package inbound

import "example.org/micaline/internal/mesh/transport"

// Cause is what a gate learns of its backend from.
type Cause uint8

// The causes.
const (
	LocalHeartbeat        Cause = iota // the backend's beat, at this machine
	RelayedHeartbeat                   // its beat, passed on by a core machine
	LocalDeregistration                // its word that it ends, at this machine
	RelayedDeregistration              // that word, passed on by a core machine
	ProbeAnswered                      // its answer to a health probe
	NotAtAddress                       // its address refuses connections, or another life answers there
	HeartbeatTimeout                   // neither beats nor answers for long
	causes
)

var causeNames = [causes]string{"beat", "beat_by_core", "sign_off", "sign_off_by_core", "probe", "not_there", "silence"}

func (c Cause) String() string { return causeNames[min(c, causes-1)] }

// mostChanges bounds the changes that nobody has taken yet: a host takes them after each call.
const mostChanges = 16

// Change is a change of what a gate knows of its backend.
type BackendChange struct {
	Backend         string // id of the life
	State           string // one word of meshmetrics.Backends
	Cause           Cause
	HeartbeatNumber uint64 // number of the call that brought it; 0: none did
}

// noteChange returns a function that records whether the backend has changed from what it was.
func (g *Gate) noteChange(before *transport.Backend, cause Cause, calls uint64) func() {
	return func() {
		if sameStanding(before, g.lives.serving) {
			return
		}
		g.BackendChanges[cause]++
		if len(g.changes) == mostChanges {
			return
		}
		of := g.lives.serving
		if of == nil {
			of = before
		}
		g.changes = append(g.changes, BackendChange{Backend: of.ID, State: g.state(), Cause: cause, HeartbeatNumber: calls})
	}
}

// sameStanding says whether two words about the backend are of one life that stands the same.
func sameStanding(x, y *transport.Backend) bool {
	if x == nil || y == nil {
		return x == y
	}
	return x.ID == y.ID && x.Draining == y.Draining
}

// takeChanges returns the changes since it was last called.
func (g *Gate) takeChanges() []BackendChange {
	taken := g.changes
	g.changes = nil
	return taken
}
