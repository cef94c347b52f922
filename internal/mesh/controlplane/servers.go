package controlplane

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"example.org/micaline/internal/mesh/transport"
)

const mostBeat = 16 << 10 // bytes of a backend's call

// servers are the backends. The agent beside one is the owner of what is known of it, so a call that
// comes here is handed there, and what that agent says is the answer.
type servers struct{ c *Core }

func (h *servers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		h.put(w, r)
	case http.MethodDelete:
		h.delete(w, r)
	default:
		only(w, "PUT, DELETE")
	}
}

func (h *servers) put(w http.ResponseWriter, r *http.Request) {
	text, ok := body(w, r, mostBeat)
	if !ok {
		return
	}
	var said struct {
		Address string `json:"address"`
	}
	host := ""
	if err := json.Unmarshal(text, &said); err == nil {
		host, _, _ = net.SplitHostPort(said.Address)
	}
	if host == "" {
		problem(w, http.StatusBadRequest, "address: not host:port")
		return
	}
	h.handOver(w, r, host, transport.RelayedHeartbeat{ID: r.PathValue("id"), Body: text})
}

func (h *servers) delete(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	agent := h.c.find(id)
	if agent == "" { // Danger: it may be there, and we cut off from the agent beside it
		problem(w, http.StatusServiceUnavailable, "no agent has told of this backend here")
		return
	}
	h.handOver(w, r, agent, transport.RelayedHeartbeat{ID: id, Leave: true})
}

// handOver has the agent beside a backend take in its call.
func (h *servers) handOver(w http.ResponseWriter, r *http.Request, agent string, b transport.RelayedHeartbeat) {
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	if status := h.c.pass(ctx, agent, b); status != http.StatusOK {
		problem(w, status, "the agent beside the backend did not take it")
		return
	}
	acknowledge(w)
}

// find returns the agent beside a backend, also of one that it tells of no more; "" if none is known.
func (c *Core) find(id string) (agent string) {
	done := make(chan struct{})
	c.do(func() {
		defer close(done)
		agent = c.former.agentOf(id)
		for _, s := range c.registry.All(c.now()) {
			if s.Station.Backend != nil && s.Station.Backend.ID == id {
				agent = s.Station.Agent
			}
		}
	})
	<-done
	return agent
}
