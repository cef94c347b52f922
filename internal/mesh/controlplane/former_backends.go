package controlplane

import "example.org/micaline/internal/mesh/transport"

// maxFormerBackends limits the number of ids. Deregistrations are retried within seconds, so the
// latest ids are sufficient.
const maxFormerBackends = 1024

// formerBackends maps backends that are no longer announced to their last agents. Only its agent
// knows whether a backend has left, is unreachable or returns, so a request about such a backend is
// relayed to that agent and never acknowledged by the control plane alone. The zero value is empty.
type formerBackends struct {
	agents map[string]string // by backend id
	ring   []string          // backend ids, in the order of insertion
	// oldest is the position in ring to replace next.
	oldest int
}

// recordChange records a new version of an agent's station.
func (f *formerBackends) recordChange(previous, current *transport.Station) {
	if previous == nil || previous.Backend == nil || !current.Newer(previous) {
		return
	}
	if current.Backend == nil || current.Backend.ID != previous.Backend.ID {
		f.add(previous.Backend.ID, previous.Agent)
	}
}

func (f *formerBackends) add(id, agent string) {
	if f.agents == nil {
		f.agents = map[string]string{}
	}
	_, known := f.agents[id]
	f.agents[id] = agent
	if known {
		return
	}
	if len(f.ring) < maxFormerBackends {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.agents, f.ring[f.oldest])
	f.ring[f.oldest] = id
	f.oldest = (f.oldest + 1) % maxFormerBackends
}

// agentOf returns the last agent of a backend that is no longer announced, or "".
func (f *formerBackends) agentOf(id string) string { return f.agents[id] }
