package inbound

import (
	"strings"

	"example.org/micaline/internal/mesh/usage"
)

// backendRun is a request that is running at the backend.
type backendRun struct {
	repeat     bool
	customer   string
	callFailed bool // a call that the run made has failed
	usageMark  usage.CountID
}

// ParentRun describes the run on this machine that makes a call. The zero value means that none was
// found.
type ParentRun struct {
	Known    bool
	Repeat   bool   // the run is itself a repeated request
	Customer string // the tenant on whose behalf it runs
}

// FindParent finds the run that makes a call, by the call's Try-Id. A backend derives the ids of
// its own calls from the id of the request it is running, followed by a dot and a suffix. Calls
// with other ids have no parent and are treated as independent requests.
func (h *Host) FindParent(tryID string) ParentRun {
	if !strings.Contains(tryID, ".") {
		return ParentRun{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	run := h.findRun(tryID)
	if run == nil {
		return ParentRun{}
	}
	return ParentRun{Known: true, Repeat: run.repeat, Customer: run.customer}
}

// RecordCallFailure records that a call made by a run on this machine has failed. If the run fails
// too, the failure is not attributed to the backend.
func (h *Host) RecordCallFailure(tryID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if run := h.findRun(tryID); run != nil {
		run.callFailed = true
	}
}

// findRun finds the run that makes a call. For calls of calls, whose ids have further parts, the
// first part or all but the last part names the run.
func (h *Host) findRun(tryID string) *backendRun {
	id, _, _ := strings.Cut(tryID, ".")
	if run := h.runs[id]; run != nil {
		return run
	}
	if i := strings.LastIndexByte(tryID, '.'); i > 0 {
		return h.runs[tryID[:i]]
	}
	return nil
}
