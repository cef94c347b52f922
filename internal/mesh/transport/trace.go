package transport

import "time"

// Values of RequestTrace.Side.
const (
	SideSender = "sender"
	SideGate   = "gate"
)

// RequestTrace records a request that did not simply succeed at its first attempt, as seen by one
// side.
type RequestTrace struct {
	Side    string
	Agent   string        // IP address of its machine; set when the trace is queried
	Try     string        // the first bytes of the Try-Id
	Age     time.Duration // since the trace was recorded; set when the trace is queried
	Took    time.Duration // until the final answer
	Route   string
	Version uint64 // of the route
	Index   uint64 // of the configuration
	Caller  string // service that made the request
	Service string
	Unsafe  bool // must not run twice
	Inner   bool // called by a request that runs at a backend
	Repeat  bool // called by the run of a retry; at a gate also: a retry itself
	Open    int  // available backends when the request arrived
	Steps   []Attempt
	Started int           // number of attempts; some are not in Steps, which is limited and has ended ones only
	Result  string        // one of meshmetrics.Results; at a gate only refused, failed or left
	Status  int           // of the final answer; 0 if there was none
	Why     string        // reason for a failure
	After   time.Duration // retry delay that the client was told
}

// Attempt is one attempt of a traced request.
type Attempt struct {
	N        int    // number of the attempt
	Backend  string // id of the backend instance
	Agent    string // agent beside the backend
	Verdict  Verdict
	Reason   Reason
	Status   int           // of the backend's answer; 0 if there was none
	Inner    bool          // it failed after a call that it made had failed
	Begun    time.Duration // start, relative to the arrival of the request
	AtGate   time.Duration // time in the gate's queue
	Took     time.Duration
	After    time.Duration // retry delay that the gate returned
	InFlight int           // requests at the gate when it answered
	Waiting  int           // part of InFlight: queued for a slot
}

// TraceQuery selects traces. The newest are returned first.
type TraceQuery struct {
	Try    string // this request and the calls made while it ran; empty for all
	Reason string // an attempt with this reason, or this result; empty for all
	Most   int    // maximum number of traces
}
