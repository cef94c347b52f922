package transport

import (
	"fmt"
	"time"
)

// Verdict says whether a request may have run. Only NotRun may become an answer that promises so (408, 421, 429, 503), or, for
// work that must not run twice, another backend.
type Verdict uint8

// The verdicts. The zero value promises nothing, so that what is forgotten or lost promises nothing either.
const (
	MayHaveRun Verdict = iota
	NotRun             // and never will
	Ran                // and its answer is here
)

func (v Verdict) String() string {
	return [...]string{"may have run", "not run", "ran"}[min(v, Ran)]
}

// Reason is why a step ended without the answer of a backend. Counters go by it.
type Reason uint8

// The reasons.
const (
	NoReason        Reason = iota
	Full                   // the backend has all that it can take
	Cold                   // it is warming up and has got what it can bear
	Draining               // it leaves
	Evacuated              // its zone is emptied
	UnknownBackend         // it is not here: another life, or none that has been heard
	TooLate                // too late to be run in time
	Duplicate              // its id has been handed over before
	Unreachable            // no connection came up
	Broken                 // a connection broke, or what came was no answer
	InvalidResponse        // the answer was not the whole answer to this request
	ResponseTimeout        // no answer in time
	LocalShortage          // the agent's own want: sockets, memory, a configuration
	TooLarge               // the request is over a limit
	Cancelled              // nobody waits for its answer any more
	reasons
)

var reasonNames = [reasons]string{"none", "full", "cold", "draining", "evacuated", "unknown", "late", "twice", "unreachable",
	"broken", "spoilt", "silent", "own", "too_large", "cancelled"}

func (r Reason) String() string { return reasonNames[min(r, reasons-1)] }

// Reasons lists the names of all reasons.
func ReasonNames() []string { return reasonNames[:] }

// Failure is the error of a step that ended without the answer of a backend.
type Failure struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // when to come back, 0 if that is not known
	Cause      error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return fmt.Sprintf("%s: %s", f.Reason, f.Verdict)
	}
	return fmt.Sprintf("%s: %s: %v", f.Reason, f.Verdict, f.Cause)
}

func (f *Failure) Unwrap() error { return f.Cause }
