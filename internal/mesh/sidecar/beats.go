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

const mostBeat = 16 << 10 // bytes

// beat is the body of a backend's call.
type beat struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Capacity   int    `json:"capacity"`
	State      string `json:"state"`
	WarmupLeft string `json:"warmup_left"`
	CallCount  uint64 `json:"call_count"`
}

// control serves the calls of the backend on this machine.
func (a *Agent) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /api/servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, mostBeat+1))
		if err != nil || len(body) > mostBeat {
			http.Error(w, "the body can't be read whole", http.StatusBadRequest)
			return
		}
		reply(w, a.beat(r.PathValue("id"), inbound.LocalHeartbeat, body))
	})
	mux.HandleFunc("DELETE /api/servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, a.beat(r.PathValue("id"), inbound.LocalDeregistration, nil))
	})
	return mux
}

func reply(w http.ResponseWriter, status int) {
	h := w.Header()
	h["Date"] = nil
	if status != http.StatusOK {
		http.Error(w, "the call names no backend of this machine, or a field is wrong", status)
		return
	}
	h.Set("Content-Type", "application/json")
	io.WriteString(w, "{}")
}

// beat takes in a backend's call. What it says holds at the gate before it is acknowledged.
func (a *Agent) beat(id string, call inbound.Cause, body []byte) int {
	if call == inbound.LocalDeregistration || call == inbound.RelayedDeregistration {
		a.host.WithGate(func(now time.Duration, g *gate) bool { return g.Deregister(now, id, call) })
		return http.StatusOK
	}
	var b beat
	if json.Unmarshal(body, &b) != nil || b.Service == "" || b.Address == "" || strings.TrimSpace(id) == "" {
		return http.StatusBadRequest
	}
	cold, err := bootstrap.ParseTime(b.WarmupLeft)
	if err != nil && b.WarmupLeft != "" {
		return http.StatusBadRequest
	}
	if b.Zone == "" {
		b.Zone = a.set.Zone
	}
	a.host.WithGate(func(now time.Duration, g *gate) bool {
		return g.Heartbeat(now, transport.Backend{ID: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version,
			Capacity: b.Capacity, Draining: b.State != "ready", ColdLeft: max(0, cold), Calls: b.CallCount}, call)
	})
	a.probeIfUnproven()
	return http.StatusOK
}
