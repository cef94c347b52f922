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

// Request is one that a sender hands to a gate. Body raw bytes follow it. While its reply is due,
// and all of the body has gone out, the sender may say Cancel with its Number, and nothing else. A
// reply still comes; a cancellation that crosses it is void.
type Request struct {
	Number         uint64 // of the exchange on its connection, from 1; the replies repeat it
	Life           uint64 // of the gate's process for which it is meant
	Try            string // the client's id of this try
	Target         string // id of the backend's life that must run it
	Method         string
	URI            string
	Host           string
	Caller         string // the service of the machine on which the request began
	Unsafe         bool   // must not run twice
	Inner          bool   // called by a run of a backend
	Repeat         bool   // a further attempt, or called by a run of one
	Left           time.Duration
	Aim            time.Duration // until when an answer earns its full worth, from now
	Rank           int
	Customer       string   // the tenant for whom it runs; "": none
	Header         []string // names and values in turn
	Body           int64
	Sum            uint32        // of the body, by Sum
	ExpectContinue bool          // the body comes only once a Reply says Continue: it is long, and may be refused
	Patient        time.Duration // the longest that it may wait at the gate before it is refused
	Cancel         bool          // no request: nobody waits for the reply to this exchange any more
}

// Reply is a gate's answer. Body raw bytes follow it.
type Reply struct {
	Number   uint64 // of the Request
	Verdict  Verdict
	Reason   Reason
	After    time.Duration
	Status   int
	Header   []string
	Body     int64
	Sum      uint32 // of the body, by Sum
	Load     Load
	Arrived  bool          // it reached the backend, which did not run it
	Continue bool          // no answer yet: the body may come
	Inner    bool          // the backend failed after a call of its own had
	Waited   time.Duration // at the gate, for a slot
}

// Load is what a gate knows of its backend: all that reaches it passes the gate.
type Load struct {
	InFlight int // handed over, or waiting at the gate
	Waiting  int // of these, at the gate
	Recent   time.Duration
	Rate     float64 // served a second
	Errors   float64 // failed a second
}

// Backend is one life of a backend, as its beats tell.
type Backend struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Version  string
	Capacity int
	Draining bool
	ColdLeft time.Duration // at the time of the report
	Calls    uint64
}

// Station is what an agent says of itself. Who hears two of one agent keeps the one of the later life, and of one life the
// one said later.
type Station struct {
	Agent   string // ip of its machine
	Gate    string // where senders reach its gate
	Zone    string
	Life    uint64 // of the agent's process, later lives are higher
	Seq     uint64
	Open    bool // takes requests for its backend
	Backend *Backend
}

// Newer says whether a station's word replaces another.
func (s *Station) Newer(than *Station) bool {
	return than == nil || s.Life > than.Life || s.Life == than.Life && s.Seq > than.Seq
}

// Up is what an agent says to a core machine over its feed; fields that are not set say nothing.
type AgentUpdate struct {
	Station *Station
	Have    uint64        // index of the configuration that the agent has; told with every station
	Want    uint64        // not 0: send the whole configuration, of this index or a later one
	Since   uint64        // with Want, not 0: the steps from this index, which the agent has, do as well
	Deflate bool          // with Want: the raw bytes may come compressed
	Fresh   uint64        // not 0: answer with this number once what you have sent is current
	Handed  uint64        // number of a Down.Beat that has been dealt with
	Status  int           // the answer to it
	Resume  ResumePoint   // with the first message of a feed: what has been heard before
	Clock   int64         // of meshtime, ns: the agent's own; 0: not told
	Usage   *usage.Update // what has changed of its counts; nil: nothing
	Work    *Workload     // nil: as told before
}

// Work is what an agent has in hand.
type Workload struct {
	Mean   float64          // requests that its backend works on or that wait there, over some seconds
	Gate   int              // of these, now, and bodies that are on their way there
	Sender int              // requests of its clients, and of its backend, now
	Stage  meshconfig.Stage // how far it was taken out of use before these were counted
}

// Resume says that an agent has heard all stations of a core process up to a revision. The zero
// value is of an agent that has not.
type ResumePoint struct {
	Core     uint64 // Down.Core
	Revision uint64 // Down.Revision
}

// Step is an order that changed the configuration, and the indexes before and after it.
type ConfigStep struct {
	Before, Index uint64
	Order         meshconfig.Order
}

// EncodeSteps gives steps as the raw bytes behind a Down: within it, large ones would stay in the
// buffers of each connection.
func EncodeSteps(steps []ConfigStep) []byte { return plaingob.Encode(steps) }

// DecodeSteps reads what EncodeSteps gave.
func DecodeSteps(raw []byte) ([]ConfigStep, error) {
	var steps []ConfigStep
	err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&steps)
	return steps, oops.In("steps").Wrap(err)
}

// Down is what a core machine says to an agent. Raw bytes follow it: the whole
// configuration, or steps to it, which an agent gets that wants it.
type CoreUpdate struct {
	Index    uint64       // of the configuration at the core machine
	Digest   uint64       // of it, with Steps or Raw
	Steps    []ConfigStep // that lead to it, from one that the agent has
	Raw      int64
	RawSteps bool // Raw is of EncodeSteps rather than the whole configuration
	Deflated bool // Raw is of Compress, of either
	Stations []StationStatus
	Whole    bool // what was told before is void: all that there are follow, in this message and the next
	Fresh    uint64
	Cores    []string // control addresses of the members of the agreement
	MinLife  uint64   // the agent's life must be above this: an earlier one of it was heard with it
	Beat     *RelayedHeartbeat
	Number   uint64 // of Beat
	Core     uint64 // with the first message of a feed: the core process, by a number of its own
	Revision uint64 // not 0: all stations have been told up to this
	Clock    int64  // of meshtime, ns: what agents agree on; 0: not told
	Settled  int64  // windows of usage up to this one are fixed
}

// Heard is a station and whether the core machine hears it.
type StationStatus struct {
	Station Station
	Lost    bool
}

// Beat is a backend's call that reached a core machine instead of the agent beside the backend.
type RelayedHeartbeat struct {
	ID    string
	Leave bool // DELETE
	Body  []byte
}
