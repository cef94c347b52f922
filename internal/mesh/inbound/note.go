package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// recordFailure adds a trace of a request that got no response here.
func (h *Host) recordFailure(req *transport.Request, failure *transport.Failure, waited, elapsed time.Duration) {
	h.mu.Lock()
	load, service := h.gate.Load(h.now()), ""
	if h.gate.instances.lastServed != nil {
		service = h.gate.instances.lastServed.Service
	}
	h.mu.Unlock()
	result := "failed"
	switch {
	case failure.Reason == transport.Cancelled:
		result = "left"
	case failure.Verdict == transport.NotRun:
		result = "refused"
	}
	h.Traces.Add(time.Now(), transport.RequestTrace{Side: transport.SideGate, Try: req.Try, Took: elapsed, Caller: req.Caller, Service: service, Unsafe: req.Unsafe,
		Inner: req.Inner, Repeat: req.Repeat, Started: 1, Result: result, Why: failure.Error(), After: failure.RetryAfter,
		Steps: []transport.Attempt{{Backend: req.Target, Verdict: failure.Verdict, Reason: failure.Reason, AtGate: waited, Took: elapsed, After: failure.RetryAfter,
			InFlight: load.InFlight, Waiting: load.Waiting}}})
}
