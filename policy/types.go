// Package policy decides, for one agent of a service mesh, where each request goes: which server,
// with what time-out, whether to try again, refuse or fail.
//
// A Balancer is a deterministic state machine. It has no clock, no goroutines and does no I/O: the caller
// hands it events with the time they happened and carries out the actions it returns, in order. Use one
// Balancer for each agent and never call it from two goroutines at once. Times are durations since any fixed
// start and must not run backwards; timers are the caller's to keep.
package policy

import "time"

// ServerID names a server; it stays the same when the server's process restarts.
type ServerID uint32

// RequestID names one try of a client; ids are never used twice.
type RequestID uint32

// Effect says whether a request may run more than once.
type Effect uint8

const (
	Pure       Effect = iota // safe to repeat anywhere
	Keyed                    // keyed: the servers of one Scope drop a repeat for a while
	SideEffect               // must never run twice
)

// Scope is the group of servers that drop each other's repeats of a Token request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim       time.Duration // an answer within Aim earns the full worth
	Deadline  time.Duration // how long a client waits over all its tries
	Worth     float64
	LateWorth float64 // share of Worth earned between Aim and Deadline
	Effect    Effect
	Scope     Scope
	Window    time.Duration // Token: how long repeats are dropped, from the first attempt that may have run
	Stream    bool          // the answer is streamed: EventBegun is delivered
	Zones     []int         // placement: the only zones it may be sent to; nil is any, empty is none
	Kinds     []int         // placement: the only kinds of machine, likewise
}

// Tenant describes one of those who share the fleet.
type Tenant struct {
	Portion float64 // share of the fleet's service
}

// ReportMode says where servers report their load.
type ReportMode uint8

const (
	ReportsOff ReportMode = iota
	ReportsInline
	ReportsOnProbe
)

// Settings is all that a Balancer is told at its start. New checks it.
type Settings struct {
	Rank, Agents    int     // this agent's number, from 0, and how many there are
	Zone            int     // this agent's
	CrossZone       float64 // what a request that leaves it costs, as a part of its worth
	PreferLocalZone bool    // servers of this zone are drawn from first, as far as they are not crowded
	ProbeFee        float64 // what a probe costs, as a part of a request's worth
	Classes         []Class
	Tenants         []Tenant // may be empty
	Reports         ReportMode
	Width           float64       // requests that a server works on at once, 0: to be learnt from reports
	AskList         bool          // the server list must be asked for (ActFollow)
	MustAskIn       time.Duration // the longest an agent may go without asking for the list
	IdleClose       time.Duration // a connection that is idle for so long is closed
	Tick            time.Duration // events arrive no more often than this
	MaxAttempts     int
	Probes          bool          // ActProbe is allowed
	Cancel          bool          // ActCancel is allowed
	Gates           bool          // servers stand behind gates, which refuse what they have no room for before it arrives
	SecondCopies    bool          // a request may have two attempts out at once
	Peers           bool          // agents may tell one another things
	ColdFrom        float64       // a starting server has at least this share of its capacity
	WarmAfter       time.Duration // and all of it after this time at most
	OverloadFactor  float64       // sent more than this multiple of it for long, a cold server falls over
	ExtraWindow     time.Duration // retry budget: in any such span, 0 for none stated,
	ExtraFloor      float64       // attempts beyond each request's first number at most this
	ExtraRatio      float64       // and this for each request taken in it
}

// ServerState is what the list says of a server.
type ServerState uint8

const (
	Gone ServerState = iota
	Ready
	Draining
)

// ServerEntry is one line of the server list.
type ServerEntry struct {
	ID     ServerID
	Zone   int
	Kind   int
	Cell   int
	State  ServerState
	Weight float64       // relative size; not above 0 means unknown
	Start  time.Duration // when its process started; 0 means long ago
	Key    uint32        // names it to other agents: the same at each
}

// Load is a server's report of its own load. A negative or NaN field is absent; so is all of it unless Known.
type Load struct {
	Known       bool
	InFlight    float64       // requests it holds
	Queue       float64       // requests waiting
	ServiceTime time.Duration // its recent service time, without waiting
	Rate        float64       // requests served a second
	ErrorRate   float64       // errors a second
}

// Outcome is how an attempt or probe ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	OK Outcome = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// ListMode says how a list event applies.
type ListMode uint8

const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list: servers not in it are gone
	ListCached                 // the whole list as last known, perhaps stale
	ListFailed                 // a call for the list failed; the old list remains
)

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events. In brackets: the fields that count.
const (
	EventList          EventKind = iota // the server list [ListMode, Servers]
	EventRequest                        // a request, owed one answer [Request, Class, Tenant, Left, Retry, Coming]
	EventStreamStarted                  // a streamed answer has started [Request, Attempt, Server]
	EventOutcome                        // an attempt ended [Attempt, Outcome, Arrived, After, Late, Closed, Load]
	EventClientGone                     // the client has gone [Request]: nothing more is owed
	EventTimer                          // an ActTimer fell due [Token, Late]
	EventProbeResult                    // a probe ended [Server, Outcome, Late, Load]
	EventPeerLoad                       // what other agents have out at a server, and may have [Server, Others, Limit]
	EventPeerMessage                    // a message of another agent [Data], for package peers
	EventBodyReceived                   // the last byte of a request that was Coming has [Request, Left]
)

// Event is one thing that happened to the agent. The Balancer keeps no slice of it after Handle returns.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Class         int
	Tenant        int
	TimeLeft      time.Duration // until the client gives this try up
	Retry         bool          // the client marks this as a repeat
	BodyPending   bool          // its last byte is to come, within Left; none begins it before
	Outcome       Outcome
	ReachedServer bool          // behind a gate: it was the server itself that did not run it
	RetryAfter    time.Duration // Full, behind gates: when the server has room again
	AgentDelay    time.Duration // what the agent itself may have been late with: of the time since it sent, or was due
	Final         bool          // the request has its final answer, by this outcome or before
	Load          Load
	Token         uint64
	ListMode      ListMode
	Servers       []ServerEntry
	PeerInFlight  float64
	PeerLimit     float64
	Data          []byte
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions. In brackets: the fields that count.
const (
	ActSend      ActionKind = iota // start the request's next attempt, from 0 [Request, Server, Wait: time-out, Within]
	ActRefuse                      // final answer: trying again is harmless [Request, Wait: advice, 0 for none]
	ActFail                        // final answer: nothing is promised [Request]
	ActCancel                      // stop waiting for an attempt [Request, Attempt]
	ActTimer                       // deliver EventTimer [Wait, Token]
	ActProbe                       // ask a server for its load [Server]
	ActSubscribe                   // ask for the list and all later changes
	ActLog                         // a line for the operators [Text]
	ActBroadcast                   // tell all other agents, of package peers [Data]
)

// Action is one thing that the caller must do, at once and in the order returned.
type Action struct {
	Kind          ActionKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Wait          time.Duration
	DeliverWithin time.Duration // the attempt must reach the server within this or not at all; 0 for no limit
	Token         uint64
	Text          string
	Data          []byte // lives until the next Handle
}
