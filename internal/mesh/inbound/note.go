package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// note records a request that got no answer here.
func (h *Host) note(a *transport.Request, f *transport.Failure, waited, took time.Duration) {
	h.mu.Lock()
	load, service := h.gate.Load(h.now()), ""
	if h.gate.lives.last != nil {
		service = h.gate.lives.last.Service
	}
	h.mu.Unlock()
	result := "failed"
	switch {
	case f.Reason == transport.Cancelled:
		result = "left"
	case f.Verdict == transport.NotRun:
		result = "refused"
	}
	h.Traces.Add(time.Now(), transport.RequestTrace{Side: transport.SideGate, Try: a.Try, Took: took, Caller: a.Caller, Service: service, Unsafe: a.Unsafe,
		Inner: a.Inner, Repeat: a.Repeat, Started: 1, Result: result, Why: f.Error(), After: f.RetryAfter,
		Steps: []transport.Attempt{{Backend: a.Target, Verdict: f.Verdict, Reason: f.Reason, AtGate: waited, Took: took, After: f.RetryAfter,
			InFlight: load.InFlight, Waiting: load.Waiting}}})
}
