package solvay

import (
	"time"

	"example.org/micaline/internal/brentei"
)

// note records a request that got no answer here.
func (h *Host) note(a *brentei.Ask, f *brentei.Failure, waited, took time.Duration) {
	h.mu.Lock()
	load, service := h.gate.Load(h.now()), ""
	if h.gate.last != nil {
		service = h.gate.last.Service
	}
	h.mu.Unlock()
	result := "failed"
	if f.Verdict == brentei.NotRun {
		result = "refused"
	}
	h.Ways.Add(time.Now(), brentei.Way{Side: brentei.AtGate, Try: a.Try, Took: took, Caller: a.Caller, Service: service, Unsafe: a.Unsafe,
		Inner: a.Inner, Repeat: a.Repeat, Started: 1, Result: result, Why: f.Error(), After: f.After,
		Steps: []brentei.Attempt{{Backend: a.Target, Verdict: f.Verdict, Reason: f.Reason, AtGate: waited, Took: took, After: f.After,
			InFlight: load.InFlight, Waiting: load.Waiting}}})
}
