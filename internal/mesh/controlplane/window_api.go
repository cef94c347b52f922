package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"example.org/micaline/internal/mesh/maintenance"
)

const mostWindowCall = 32 << 10 // bytes of an operator's call about windows

// windowList is GET and POST /api/windows.
type windowList struct{ c *Core }

func (h *windowList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		if !h.c.isCurrent(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(h.c.windowStates())
	case http.MethodPost:
		h.plan(w, r)
	default:
		only(w, "GET, POST")
	}
}

func (h *windowList) plan(w http.ResponseWriter, r *http.Request) {
	var plan maintenance.PlanDocument
	if !readJSON(w, r, mostWindowCall, &plan) {
		return
	}
	window, err := plan.Window()
	if err != nil {
		problem(w, http.StatusBadRequest, err.Error())
		return
	}
	if old := h.c.table.windowsNow.Load().Find(window.Name); old == nil { // else the call came twice, or contradicts the first
		if why := h.c.judgePlan(window); why != "" {
			problem(w, http.StatusConflict, why)
			return
		}
	}
	h.c.agreeWindow(w, r, &maintenance.Command{Plan: window})
}

// judgePlan says why a window can't be as things stand here; empty: it can.
func (c *Core) judgePlan(window *maintenance.Window) (why string) {
	done := make(chan struct{})
	c.do(func() {
		defer close(done)
		why = c.refusesPlan(window)
	})
	<-done
	return why
}

// refusesPlan is the owner's.
func (c *Core) refusesPlan(window *maintenance.Window) string {
	for i, zone := range window.Zones {
		if _, known := c.set.Zones[zone]; !known {
			return fmt.Sprintf("zones[%d]: %s is none of the settings' zones", i, zone)
		}
	}
	status := c.node.Status()
	for i, node := range window.Nodes {
		if c.registry.Station(node) == nil && !isCore(&status, node) {
			return fmt.Sprintf("nodes[%d]: no machine %s is known", i, node)
		}
	}
	if status.Role == "leader" { // others don't know all core machines; it is judged again before machines are moved
		if why := quorumWithout(window, &status, c.set.Control, c.set.Zone); why != "" {
			return "zones: " + why
		}
	}
	if shares := maintenance.Forecast(window, c.backends()); len(shares) > 0 && !window.Forced && shares[0].After > maintenance.MaxUtilization {
		return fmt.Sprintf("zones: what stays would not bear the load: %s; up to %.0f%% is borne", shares[0].String(), 100*maintenance.MaxUtilization)
	}
	return ""
}

// windowCalls are POST /api/windows/{name}/cancel, begin and end.
type windowCalls struct{ c *Core }

func (h *windowCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		only(w, "POST")
		return
	}
	name, command := r.PathValue("name"), &maintenance.Command{}
	switch r.PathValue("what") {
	case "cancel":
		command.Cancel = name
	case "begin":
		command.Begin = name
	case "end":
		command.End = name
	default:
		problem(w, http.StatusNotFound, "cancel, begin or end")
		return
	}
	h.c.agreeWindow(w, r, command)
}

// agreeWindow has an operator's command agreed on, and answers the caller.
func (c *Core) agreeWindow(w http.ResponseWriter, r *http.Request, command *maintenance.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), answerIn)
	defer cancel()
	command.Now = c.clock.Now()
	reply, err := c.proposeWindow(ctx, command)
	switch {
	case err != nil:
		problem(w, statusOf(err), err.Error())
	case reply.Refused == "":
		acknowledge(w)
	default:
		status := http.StatusConflict
		if reply.Invalid {
			status = http.StatusBadRequest
		}
		(&refusal{Status: status, Field: reply.Field, Error: reply.Refused}).answer(w)
	}
}

// windowStates are all windows, and what this machine sees of the one that is not over.
func (c *Core) windowStates() []maintenance.StateDocument {
	table := c.table.windowsNow.Load()
	list := []maintenance.StateDocument{}
	next, view := table.Current(), c.windows.view.Load()
	for _, w := range table.Windows {
		s := w.Document()
		if w == next && view != nil {
			s.Left, s.Forecast = view.Left, view.Forecast
		}
		list = append(list, s)
	}
	return list
}
