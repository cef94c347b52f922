package controlplane

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"example.org/micaline/internal/mesh/transport"
)

const maxHeartbeatBytes = 16 << 10 // limit for the body of a heartbeat

// serverHandler serves /api/servers/{id}, where backends register and deregister. A backend's agent
// owns its state, so requests that arrive here are relayed to the agent, whose answer is returned.
type serverHandler struct{ core *Core }

func (h *serverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		h.put(w, r)
	case http.MethodDelete:
		h.delete(w, r)
	default:
		methodNotAllowed(w, "PUT, DELETE")
	}
}

func (h *serverHandler) put(w http.ResponseWriter, r *http.Request) {
	text, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	var heartbeat struct {
		Address string `json:"address"`
	}
	host := ""
	if err := json.Unmarshal(text, &heartbeat); err == nil {
		host, _, _ = net.SplitHostPort(heartbeat.Address)
	}
	if host == "" {
		writeProblem(w, http.StatusBadRequest, "address: not host:port")
		return
	}
	h.relay(w, r, host, transport.RelayedHeartbeat{ID: r.PathValue("id"), Body: text})
}

func (h *serverHandler) delete(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	agent := h.core.agentOfBackend(id)
	if agent == "" { // the backend may still run while this node is cut off from its agent
		writeProblem(w, http.StatusServiceUnavailable, "no agent has announced this backend here")
		return
	}
	h.relay(w, r, agent, transport.RelayedHeartbeat{ID: id, Leave: true})
}

// relay relays a heartbeat to the backend's agent and writes the response.
func (h *serverHandler) relay(w http.ResponseWriter, r *http.Request, agent string, heartbeat transport.RelayedHeartbeat) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	if status := h.core.relayHeartbeat(ctx, agent, heartbeat); status != http.StatusOK {
		writeProblem(w, status, "the backend's agent did not accept it")
		return
	}
	acknowledge(w)
}

// agentOfBackend returns the agent of a backend, even if it is no longer announced, or "".
func (c *Core) agentOfBackend(id string) (agent string) {
	done := make(chan struct{})
	c.submit(func() {
		defer close(done)
		agent = c.formerBackends.agentOf(id)
		for _, status := range c.registry.All(c.now()) {
			if status.Station.Backend != nil && status.Station.Backend.ID == id {
				agent = status.Station.Agent
			}
		}
	})
	<-done
	return agent
}
