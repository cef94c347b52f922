package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/meshconfig"
)

const (
	responseTimeout = 900 * time.Millisecond // clients try another node after a second
	maxPatchBytes   = 8 << 20

	maxZoneOrderBytes = 4 << 10 // these orders need no body
)

// handler returns the handler for all API resources.
func (c *Core) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/api/config", c.acceptCall(maxPatchBytes, &configHandler{c}))
	mux.Handle("/api/drain-zone/{zone}", c.acceptCall(maxZoneOrderBytes, &evacuationHandler{c}))
	mux.Handle("/api/duties/{duty}/hand", c.acceptCall(maxDutyOrderBytes, &dutyOrderHandler{c, lease.HandOver}))
	mux.Handle("/api/duties/{duty}/revoke", c.acceptCall(maxDutyOrderBytes, &dutyOrderHandler{c, lease.Revoke}))
	mux.Handle("/api/windows", c.acceptCall(maxWindowRequestBytes, &windowListHandler{c}))
	mux.Handle("/api/windows/{name}/{what}", c.acceptCall(maxWindowRequestBytes, &windowCommandHandler{c}))
	mux.Handle("/api/regions/{region}/plan", &regionPlanHandler{c})
	mux.Handle("/windows", &windowPageHandler{c})
	mux.Handle("/api/servers/{id}", &serverHandler{c})
	mux.Handle("/api/link", &linkHandler{c})
	mux.Handle("/api/backup", &backupHandler{c})
	return mux
}

func methodNotAllowed(w http.ResponseWriter, methods string) {
	w.Header().Set("Allow", methods)
	writeProblem(w, http.StatusMethodNotAllowed, "use "+methods)
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "body: incomplete: "+err.Error())
		return nil, false
	}
	return text, true
}

// decodeBody decodes the body of a call into target. On failure it writes a response and returns
// false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.Unmarshal(callOf(r).body, target); err != nil {
		writeProblem(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// waitUntilCurrent waits until this node has applied all changes that were acknowledged before the
// request. On failure it writes a response and returns false.
func (c *Core) waitUntilCurrent(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	if err := c.node.Read(ctx); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return false
	}
	return true
}

// configHandler serves /api/config.
type configHandler struct{ core *Core }

func (h *configHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		if !h.core.waitUntilCurrent(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(h.core.table.published.Load().config.ItemsJSON())
	case http.MethodPatch:
		text := callOf(r).body
		patch, err := meshconfig.ParsePatch(text)
		if err == nil {
			err = patch.Contradiction()
		}
		if err != nil { // requests that are invalid in themselves need no consensus
			h.core.counters.refused.Add(1)
			newRefusal(err).write(w)
			return
		}
		h.core.handleOrder(w, r, meshconfig.Order{Op: meshconfig.OpPatch, Body: text})
	default:
		methodNotAllowed(w, "GET, PATCH")
	}
}

// evacuationHandler serves /api/drain-zone/{zone}, which evacuates a zone or returns it to service.
type evacuationHandler struct{ core *Core }

func (h *evacuationHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone := r.PathValue("zone")
	if _, known := h.core.settings.Zones[zone]; !known {
		writeProblem(w, http.StatusNotFound, "zone: "+zone+" is none of the settings' zones")
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.core.handleOrder(w, r, meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: zone})
	case http.MethodDelete:
		h.core.handleOrder(w, r, meshconfig.Order{Op: meshconfig.OpReturn, Zone: zone})
	default:
		methodNotAllowed(w, "POST, DELETE")
	}
}
