package transport

import (
	"bytes"
	"encoding/gob"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/plaingob"
	"example.org/micaline/internal/mesh/usage"
	"github.com/samber/oops"
)

// Request is sent by a sender to a gate, followed by Body raw bytes. After the complete body has
// been sent, and until the reply arrives, the sender may send one more Request with Cancel and the
// same Number, and nothing else. A reply follows even then. A cancellation that crosses the reply
// has no effect.
type Request struct {
	Number         uint64 // of the exchange on its connection, from 1; replies repeat it
	Life           uint64 // incarnation of the gate's process that is addressed
	Try            string // the client's id of this attempt
	Target         string // id of the backend instance that must run the request
	Method         string
	URI            string
	Host           string
	Caller         string        // service of the machine where the request originated
	Unsafe         bool          // must not run twice
	Inner          bool          // called by a request that runs at a backend
	Repeat         bool          // a retry, or called by the run of a retry
	Left           time.Duration // time limit, counted from now
	Aim            time.Duration // target latency, counted from now: a later answer is worth less
	Rank           int           // priority of the request; 0 is the highest
	Customer       string        // tenant on whose behalf it runs; empty if none
	Header         []string      // alternating names and values
	Body           int64         // length in bytes
	Sum            uint32        // checksum of the body, by Checksum
	ExpectContinue bool          // the body is long and is sent only after a Reply with Continue
	Patient        time.Duration // longest wait at the gate before the request is refused
	Cancel         bool          // not a request: the sender no longer needs the reply to this exchange
}

// Reply is the answer of a gate, followed by Body raw bytes.
type Reply struct {
	Number   uint64 // of the Request
	Verdict  Verdict
	Reason   Reason
	After    time.Duration // when to retry; 0 if unknown
	Status   int
	Header   []string
	Body     int64
	Sum      uint32 // checksum of the body, by Checksum
	Load     Load
	Arrived  bool          // the request reached the backend, which did not run it
	Continue bool          // not the final reply: the sender may send the body
	Inner    bool          // the backend failed after a call that it made had failed
	Waited   time.Duration // time in the gate's queue
}

// Load is the load of a backend as measured by its gate, which sees all its requests.
type Load struct {
	InFlight int           // in flight, queued at the gate, or with a body on its way there
	Waiting  int           // part of InFlight: queued at the gate
	Recent   time.Duration // moving average of the response time
	Rate     float64       // successful requests per second
	Errors   float64       // failed requests per second
}

// Backend describes one instance of a backend, according to its heartbeats.
type Backend struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Capacity int // requests that it processes at once
	Draining bool
	ColdLeft time.Duration // remaining warm-up time when this was sent
	Calls    uint64        // number of the latest heartbeat; 0 if heartbeats are not numbered
}

// Station is an agent's description of itself and its backend. Of two stations of one agent, the
// one with the higher Life is valid, and for the same Life the one with the higher Seq.
type Station struct {
	Agent   string // IP address of its machine
	Gate    string // address where senders reach its gate
	Zone    string
	Life    uint64 // incarnation of the agent process; later ones are higher
	Seq     uint64 // version number within Life
	Open    bool   // the gate accepts requests for its backend
	Backend *Backend
}

// Newer reports whether s replaces the other station of the same agent.
func (s *Station) Newer(other *Station) bool {
	return other == nil || s.Life > other.Life || s.Life == other.Life && s.Seq > other.Seq
}

// AgentUpdate is a message from an agent to a control-plane node on a feed. Fields that are not set
// leave the earlier value unchanged.
type AgentUpdate struct {
	Station *Station
	Have    uint64        // index of the agent's configuration; sent with every Station
	Want    uint64        // if not 0: requests the complete configuration of this index or a later one
	Since   uint64        // with Want, if not 0: the steps from this index are sufficient
	Deflate bool          // with Want: the agent accepts a compressed configuration
	Fresh   uint64        // if not 0: repeated in CoreUpdate.Fresh once what was sent is proven current
	Handed  uint64        // number of the latest CoreUpdate.Beat that was handled
	Status  int           // HTTP status of the answer to it
	Resume  ResumePoint   // in the first message of a feed: what the agent has already received
	Clock   int64         // the agent's meshtime in ns; 0 if not sent
	Usage   *usage.Update // changes of its usage counters; nil if there are none
	Work    *Workload     // nil if unchanged
}

// Workload is the number of requests that an agent is handling.
type Workload struct {
	Mean   float64          // requests queued at the gate or running at the backend, averaged over some seconds
	Gate   int              // current number of these, and of bodies that are being received
	Sender int              // current requests of its clients and of its backend
	Stage  meshconfig.Stage // maintenance stage of the machine when these were counted
}

// ResumePoint states that an agent has received all stations from a control-plane process up to a
// revision. The zero value states that it has received none.
type ResumePoint struct {
	Core     uint64 // CoreUpdate.Core
	Revision uint64 // CoreUpdate.Revision
}

// ConfigStep is an order that changed the configuration, with the indexes before and after it.
type ConfigStep struct {
	Before, Index uint64
	Order         meshconfig.Order
}

// EncodeSteps encodes steps as the raw bytes that follow a CoreUpdate. Inside of the message, large
// steps would stay in the buffers of each connection.
func EncodeSteps(steps []ConfigStep) []byte { return plaingob.Encode(steps) }

// DecodeSteps decodes the output of EncodeSteps.
func DecodeSteps(raw []byte) ([]ConfigStep, error) {
	var steps []ConfigStep
	err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&steps)
	return steps, oops.In("steps").Wrap(err)
}

// CoreUpdate is a message from a control-plane node to an agent. If the agent asked for the
// configuration, raw bytes follow with the complete configuration or with the steps to it.
type CoreUpdate struct {
	Index    uint64       // of the node's current configuration
	Digest   uint64       // of this configuration; set with Steps or Raw
	Steps    []ConfigStep // from the agent's configuration to this one
	Raw      int64        // number of raw bytes that follow
	RawSteps bool         // the raw bytes are from EncodeSteps rather than the complete configuration
	Deflated bool         // the raw bytes are compressed with Compress
	Stations []StationStatus
	Whole    bool              // discard earlier stations: the complete list follows, from this message on
	Fresh    uint64            // if not 0: what was sent is current; repeats AgentUpdate.Fresh
	Cores    []string          // control addresses of the consensus members
	MinLife  uint64            // the agent needs a higher Life, because an earlier process has used this one
	Beat     *RelayedHeartbeat // nil if there is none
	Number   uint64            // of Beat
	Core     uint64            // in the first message of a feed: identifies the control-plane process
	Revision uint64            // if not 0: all stations up to this revision have been sent
	Clock    int64             // agreed meshtime in ns; 0 if not sent
	Settled  int64             // usage windows up to this one are final
}

// StationStatus is a station, and whether the control-plane node has lost contact with it.
type StationStatus struct {
	Station Station
	Lost    bool
}

// RelayedHeartbeat is a heartbeat that a backend sent to a control-plane node instead of its agent.
type RelayedHeartbeat struct {
	ID    string
	Leave bool // the backend deregisters (DELETE)
	Body  []byte
}
