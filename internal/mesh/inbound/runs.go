package inbound

import "strings"

// run is a request that the backend has in work.
type run struct {
	repeat bool
	failed bool // a call of its own brought no success
}

// Parent says whether a try is one that a run on this machine calls, and whether that run is a repeat. A backend's own calls have ids
// that begin with the one of the request it runs, and a dot; where they don't, none is found, and the call is one like any other.
func (h *Host) Parent(try string) (inner, repeat bool) {
	if !strings.Contains(try, ".") {
		return false, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.parent(try)
	return r != nil, r != nil && r.repeat
}

// CallFailed says that a call of a run on this machine brought no success: if the run fails too, that is not the backend's fault.
func (h *Host) CallFailed(try string) {
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
