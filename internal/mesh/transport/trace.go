package transport

import "time"

// Sides of a request that a RequestTrace was seen from.
const (
	SideSender = "sender"
	SideGate   = "gate"
)

// RequestTrace is the record of a request that did not simply succeed at its first attempt, as one side of
// it saw it.
type RequestTrace struct {
	Side    string
	Agent   string // ip of its machine; set when it is asked for
	Try     string // its first bytes
	Age     time.Duration
	Took    time.Duration // until its final answer
	Route   string
	Version uint64 // of the route
	Index   uint64 // of the configuration
	Caller  string // a service
	Service string
	Unsafe  bool // must not run twice
	Inner   bool // called by a run of a backend
	Repeat  bool // called by a run that was a repeat
	Open    int  // backends to choose from when it came
	Steps   []Attempt
	Started int    // attempts, also those that are not in Steps, being too many or still out
	Result  string // what it is counted as, one of meshmetrics.Results; at a gate refused or failed
	Status  int    // of the final answer; 0: there was none
	Why     string
	After   time.Duration // that the client was told to come back in
}

// Attempt is one of a RequestTrace.
type Attempt struct {
	N        int
	Backend  string // id of its life
	Agent    string // beside it
	Verdict  Verdict
	Reason   Reason
	Status   int           // of the backend's answer, if there is one
	Inner    bool          // it failed after a call of its own had
	Begun    time.Duration // after the request came
	AtGate   time.Duration // waited there for a slot
	Took     time.Duration
	After    time.Duration // that the gate said to come back in
	InFlight int           // at the gate when it answered
	Waiting  int           // of these, for a slot
}

// TraceQuery asks for records, the newest first.
type TraceQuery struct {
	Try    string // of this request and of what its runs called; empty: all
	Reason string // with a step that ended for this reason, or with this result; empty: all
	Most   int
}
