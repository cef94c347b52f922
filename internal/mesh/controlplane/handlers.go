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
	answerIn  = 900 * time.Millisecond // callers move on after a second
	mostPatch = 8 << 20                // bytes of a call
)

// handler has one object for each resource.
func (c *Core) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/api/config", &configs{c})
	mux.Handle("/api/drain-zone/{zone}", forPresent(&evacuations{c}))
	mux.Handle("/api/duties/{duty}/hand", forPresent(&dutyOrders{c, lease.Hand}))
	mux.Handle("/api/duties/{duty}/revoke", forPresent(&dutyOrders{c, lease.Revoke}))
	mux.Handle("/api/windows", forPresent(&windowList{c}))
	mux.Handle("/api/windows/{name}/{what}", forPresent(&windowCalls{c}))
	mux.Handle("/api/regions/{region}/plan", &regionPlans{c})
	mux.Handle("/windows", &windowPage{c})
	mux.Handle("/api/servers/{id}", &servers{c})
	mux.Handle("/api/link", &links{c})
	mux.Handle("/api/backup", &backups{c})
	return mux
}

func only(w http.ResponseWriter, methods string) {
	w.Header().Set("Allow", methods)
	problem(w, http.StatusMethodNotAllowed, "use "+methods)
}

func body(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		problem(w, http.StatusBadRequest, "body: can't be read whole: "+err.Error())
		return nil, false
	}
	return b, true
}

// readJSON reads the body of a call into a document; it says false if that can't be, and has answered.
func readJSON(w http.ResponseWriter, r *http.Request, most int64, into any) bool {
	text, ok := body(w, r, most)
	if !ok {
		return false
	}
	if err := json.Unmarshal(text, into); err != nil {
		problem(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// isCurrent waits until this machine holds all that was acknowledged before the call; it says false if
// that can't be had, and has answered.
func (c *Core) isCurrent(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	if err := c.node.Read(ctx); err != nil {
		problem(w, http.StatusServiceUnavailable, err.Error())
		return false
	}
	return true
}

// configs is the configuration.
type configs struct{ c *Core }

func (h *configs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		if !h.c.isCurrent(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(h.c.table.now.Load().config.ItemsJSON())
	case http.MethodPatch:
		b, ok := body(w, r, mostPatch)
		if !ok {
			return
		}
		p, err := meshconfig.ParsePatch(b)
		if err == nil {
			err = p.Contradiction()
		}
		if err != nil { // what is wrong by itself need not be agreed on
			h.c.count.refused.Add(1)
			refusalOf(err).answer(w)
			return
		}
		h.c.agree(w, r, meshconfig.Order{Op: meshconfig.OpPatch, Body: b})
	default:
		only(w, "GET, PATCH")
	}
}

// evacuations are the zones that are to get nothing.
type evacuations struct{ c *Core }

func (h *evacuations) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	zone := r.PathValue("zone")
	if _, known := h.c.set.Zones[zone]; !known {
		problem(w, http.StatusNotFound, "zone: "+zone+" is none of the settings' zones")
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.c.agree(w, r, meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: zone})
	case http.MethodDelete:
		h.c.agree(w, r, meshconfig.Order{Op: meshconfig.OpReturn, Zone: zone})
	default:
		only(w, "POST, DELETE")
	}
}
