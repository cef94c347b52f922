package transport

import (
	"fmt"
	"time"
)

// Verdict states whether a request may have run. Only NotRun permits an answer that promises this
// to the client (408, 421, 429, 503), or a second attempt for a request that must not run twice.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so that an unset or lost verdict promises nothing.
const (
	MayHaveRun Verdict = iota
	NotRun             // and never will
	Ran                // and the answer was received
)

func (v Verdict) String() string {
	return [...]string{"may have run", "not run", "ran"}[min(v, Ran)]
}

// Reason states why an attempt ended without an answer of the backend. Metrics are counted by it.
type Reason uint8

// The reasons.
const (
	NoReason        Reason = iota
	Full                   // the backend is at its capacity
	Cold                   // the backend is warming up and has received as many requests as it can handle
	Draining               // the backend is shutting down
	Evacuated              // its zone is evacuated
	UnknownBackend         // another instance runs there, or none is known
	TooLate                // the request cannot complete in time
	Duplicate              // a request with the same id was dispatched before
	Unreachable            // no connection could be opened
	Broken                 // the connection broke, or the request or the response could not be parsed
	InvalidResponse        // the response is incomplete or belongs to another request
	ResponseTimeout        // no response within the time limit
	LocalShortage          // the agent itself lacks sockets, memory or a configuration
	TooLarge               // the request exceeds a size limit
	Cancelled              // the caller no longer waits for the answer
	reasonCount
)

var reasonNames = [reasonCount]string{"none", "full", "cold", "draining", "evacuated", "unknown", "late", "twice", "unreachable",
	"broken", "spoilt", "silent", "own", "too_large", "cancelled"}

func (r Reason) String() string { return reasonNames[min(r, reasonCount-1)] }

// ReasonNames returns the names of all reasons, in the order of their values.
func ReasonNames() []string { return reasonNames[:] }

// Failure is the error of an attempt that ended without an answer of the backend.
type Failure struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // when to retry; 0 if unknown
	Cause      error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s: %s", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s: %s: %v", f.Reason, f.Verdict, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }
