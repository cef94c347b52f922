package sidecar

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
)

type gate = inbound.Gate

// maxHeartbeatBytes bounds the body of a heartbeat.
const maxHeartbeatBytes = 16 << 10

// heartbeatBody is the body of a backend's heartbeat, PUT /api/servers/{id}.
type heartbeatBody struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Capacity   int    `json:"capacity"`
	State      string `json:"state"`
	WarmupLeft string `json:"warmup_left"`
	CallCount  uint64 `json:"call_count"`
}

// controlHandler serves heartbeats and deregistrations of the backend on this machine.
func (a *Agent) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /api/servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeatBytes+1))
		if err != nil || len(body) > maxHeartbeatBytes {
			http.Error(w, "the body can't be read whole", http.StatusBadRequest)
			return
		}
		writeReply(w, a.handleHeartbeat(r.PathValue("id"), inbound.LocalHeartbeat, body))
	})
	mux.HandleFunc("DELETE /api/servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, a.handleHeartbeat(r.PathValue("id"), inbound.LocalDeregistration, nil))
	})
	return mux
}

func writeReply(w http.ResponseWriter, status int) {
	h := w.Header()
	h["Date"] = nil
	if status != http.StatusOK {
		http.Error(w, "the call names no backend of this machine, or a field is wrong", status)
		return
	}
	h.Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// handleHeartbeat passes a backend's heartbeat or deregistration to the gate, where it takes effect
// before it is acknowledged. It returns the HTTP status of the response.
func (a *Agent) handleHeartbeat(id string, cause inbound.Cause, body []byte) int {
	if cause == inbound.LocalDeregistration || cause == inbound.RelayedDeregistration {
		a.host.WithGate(func(now time.Duration, g *gate) bool { return g.Deregister(now, id, cause) })
		return http.StatusOK
	}
	var b heartbeatBody
	if json.Unmarshal(body, &b) != nil || b.Service == "" || b.Address == "" || strings.TrimSpace(id) == "" {
		return http.StatusBadRequest
	}
	warmupLeft, err := bootstrap.ParseTime(b.WarmupLeft)
	if err != nil && b.WarmupLeft != "" {
		return http.StatusBadRequest
	}
	if b.Zone == "" {
		b.Zone = a.settings.Zone
	}
	a.host.WithGate(func(now time.Duration, g *gate) bool {
		return g.Heartbeat(now, transport.Backend{ID: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version,
			Capacity: b.Capacity, Draining: b.State != "ready", ColdLeft: max(0, warmupLeft), Calls: b.CallCount}, cause)
	})
	a.probeIfNeeded()
	return http.StatusOK
}
