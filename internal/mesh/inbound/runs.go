package inbound

import (
	"strings"

	"example.org/micaline/internal/mesh/usage"
)

// run is a request that the backend has in work.
type run struct {
	repeat   bool
	customer string
	failed   bool // a call of its own brought no success
	counted  usage.Mark
}

// Parent is the run on this machine that makes a call. The zero value is none.
type ParentRun struct {
	Known    bool
	Repeat   bool   // the run is a repeat
	Customer string // the tenant for whom it runs
}

// Parent finds the run that makes a call with a try. A backend's own calls have ids that begin with the one of the request it runs,
// and a dot; where they don't, none is found, and the call is one like any other.
func (h *Host) FindParent(try string) ParentRun {
	if !strings.Contains(try, ".") {
		return ParentRun{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.parent(try)
	if r == nil {
		return ParentRun{}
	}
	return ParentRun{Known: true, Repeat: r.repeat, Customer: r.customer}
}

// CallFailed says that a call of a run on this machine brought no success: if the run fails too, that is not the backend's fault.
func (h *Host) RecordCallFailure(try string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.parent(try); r != nil {
		r.failed = true
	}
}

// parent finds the run that makes a call. A call's own calls have ids that are longer by one more part.
func (h *Host) parent(try string) *run {
	id, _, _ := strings.Cut(try, ".")
	if r := h.runs[id]; r != nil {
		return r
	}
	if i := strings.LastIndexByte(try, '.'); i > 0 {
		return h.runs[try[:i]]
	}
	return nil
}
