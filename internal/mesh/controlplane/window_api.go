package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"example.org/micaline/internal/mesh/maintenance"
)

const maxWindowRequestBytes = 32 << 10

// windowListHandler serves GET and POST /api/windows.
type windowListHandler struct{ core *Core }

func (h *windowListHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		if !h.core.waitUntilCurrent(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(h.core.windowStates())
	case http.MethodPost:
		h.plan(w, r)
	default:
		methodNotAllowed(w, "GET, POST")
	}
}

func (h *windowListHandler) plan(w http.ResponseWriter, r *http.Request) {
	var plan maintenance.PlanDocument
	if !decodeBody(w, r, &plan) {
		return
	}
	window, err := plan.Window()
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	// If the window exists, the request is a repetition or a conflict, which the table decides.
	if existing := h.core.table.publishedWindows.Load().Find(window.Name); existing == nil {
		if reason := h.core.checkPlan(window); reason != "" {
			h.core.refuseCall(w, r, http.StatusConflict, reason)
			return
		}
	}
	h.core.handleWindowCommand(w, r, &maintenance.Command{Plan: window})
}

// checkPlan returns why a window can't be planned now; empty if it can.
func (c *Core) checkPlan(window *maintenance.Window) (reason string) {
	done := make(chan struct{})
	c.submit(func() {
		defer close(done)
		reason = c.planConflict(window)
	})
	<-done
	return reason
}

// planConflict implements checkPlan in the loop.
func (c *Core) planConflict(window *maintenance.Window) string {
	for i, zone := range window.Zones {
		if _, known := c.settings.Zones[zone]; !known {
			return fmt.Sprintf("zones[%d]: %s is none of the settings' zones", i, zone)
		}
	}
	status := c.node.Status()
	for i, node := range window.Nodes {
		if c.registry.Station(node) == nil && !isControlPlaneNode(&status, node) {
			return fmt.Sprintf("nodes[%d]: no machine %s is known", i, node)
		}
	}
	if status.Role == "leader" { // others don't know all nodes; checked again before draining
		if reason := quorumLossReason(window, &status, c.settings.Control, c.settings.Zone); reason != "" {
			return "zones: " + reason
		}
	}
	if shares := maintenance.Forecast(window, c.backends()); len(shares) > 0 && !window.Forced && shares[0].After > maintenance.MaxUtilization {
		return fmt.Sprintf("zones: the remaining backends would not bear the load: %s; the limit is %.0f%%", shares[0].String(), 100*maintenance.MaxUtilization)
	}
	return ""
}

// windowCommandHandler serves POST /api/windows/{name}/cancel, begin and end.
type windowCommandHandler struct{ core *Core }

func (h *windowCommandHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		methodNotAllowed(w, "POST")
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
		writeProblem(w, http.StatusNotFound, "use cancel, begin or end")
		return
	}
	h.core.handleWindowCommand(w, r, command)
}

// handleWindowCommand proposes an operator's command and writes the response.
func (c *Core) handleWindowCommand(w http.ResponseWriter, r *http.Request, command *maintenance.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	command.Now = c.clock.Now()
	reply, err := c.proposeWindow(ctx, callOf(r), command)
	switch {
	case err != nil:
		writeProblem(w, statusFor(err), err.Error())
	case reply.Refused == "":
		acknowledge(w)
	default:
		status := http.StatusConflict
		if reply.Invalid {
			status = http.StatusBadRequest
		}
		(&refusal{Status: status, Field: reply.Field, Error: reply.Refused}).write(w)
	}
}

// windowStates returns all windows, with this node's view of the current one.
func (c *Core) windowStates() []maintenance.StateDocument {
	table := c.table.publishedWindows.Load()
	documents := []maintenance.StateDocument{}
	current, view := table.Current(), c.windowDriver.view.Load()
	for _, window := range table.Windows {
		document := window.Document()
		if window == current && view != nil {
			document.Left, document.Forecast = view.Remaining, view.Forecast
		}
		documents = append(documents, document)
	}
	return documents
}
