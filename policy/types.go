// Package policy is the decision module of an agent, a service mesh proxy between clients and servers. For each request
// it decides which server gets it, with what timeout, and whether to retry, refuse or fail it.
//
// A Balancer is a deterministic state machine without clock, goroutines or I/O. The caller passes in events with the
// time at which they happened, and carries out the returned actions, timers included, in order. Each agent has its own
// Balancer and never calls it concurrently. Times are durations since any fixed start and never decrease.
package policy

import "time"

// ServerID identifies a server; it stays the same when the server's process restarts.
type ServerID uint32

// RequestID identifies a request, which is one try of a client; ids are never reused.
type RequestID uint32

// Effect says whether a request may run more than once.
type Effect uint8

const (
	Pure       Effect = iota // safe to run again on any server
	Keyed                    // has an idempotency key: the servers of one Scope drop a repeat within Class.Window
	SideEffect               // must never run twice
)

// Scope is the group of servers that drop each other's repeats of a Keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim       time.Duration // target latency: an answer within it earns the full Worth
	Deadline  time.Duration // how long a client waits over all its tries
	Worth     float64       // value of an answer
	LateWorth float64       // share of Worth that an answer between Aim and Deadline earns
	Effect    Effect
	Scope     Scope         // Keyed: the servers that drop repeats
	Window    time.Duration // Keyed: how long repeats are dropped, from the first attempt that may have run
	Stream    bool          // the answer is streamed: EventStreamStarted is delivered
	Zones     []int         // placement: the only zones that it may be sent to; nil for any, empty for none
	Kinds     []int         // placement: the only kinds of machine, likewise
}

// Tenant is one of the customers that share the servers.
type Tenant struct {
	Portion float64 // guaranteed share of the servers' capacity
}

// ReportMode says where servers report their load.
type ReportMode uint8

const (
	ReportsOff     ReportMode = iota
	ReportsInline             // with answers
	ReportsOnProbe            // in answers to probes
)

// Settings configure a Balancer. New checks them.
type Settings struct {
	Rank, Agents    int     // number of this agent, from 0, and how many agents there are
	Zone            int     // of this agent
	CrossZone       float64 // cost of a request that leaves the zone, as a part of its worth
	PreferLocalZone bool    // draw servers of this zone first, as long as they are not overloaded
	ProbeFee        float64 // cost of a probe, as a part of a request's worth
	Classes         []Class
	Tenants         []Tenant // may be empty
	Reports         ReportMode
	Width           float64       // requests that a server processes in parallel; 0 to learn it from reports
	AskList         bool          // the server list must be subscribed to (ActSubscribe)
	MustAskIn       time.Duration // the longest time that an agent may go without subscribing
	IdleClose       time.Duration // idle connections are closed after this time
	Tick            time.Duration // shortest time between two events
	MaxAttempts     int           // how often a request may be sent to servers, retries and hedges included
	Probes          bool          // ActProbe is allowed
	Cancel          bool          // ActCancel is allowed
	Gates           bool          // servers are behind gates: proxies that refuse excess requests before they arrive
	SecondCopies    bool          // hedging: a request may have two attempts in flight
	Peers           bool          // agents may send each other messages
	ColdFrom        float64       // a server that has just started has at least this share of its capacity
	WarmAfter       time.Duration // and all of it after this time at most
	OverloadFactor  float64       // a cold server fails under a lasting load of more than this multiple of its capacity
	ExtraWindow     time.Duration // retry budget: in any window of this length (0 for the default budget),
	ExtraFloor      float64       // retries are at most this many
	ExtraRatio      float64       // and this many for each request received in it
}

// ServerState is the state of a server in the server list.
type ServerState uint8

const (
	Gone ServerState = iota
	Ready
	Draining
)

// ServerEntry is one entry of the server list.
type ServerEntry struct {
	ID     ServerID
	Zone   int
	Kind   int // of machine
	Cell   int // see ScopeCell
	State  ServerState
	Weight float64       // relative size; 0 or less for unknown
	Start  time.Duration // when its process started; 0 for long ago
	Key    uint32        // identifies the server in messages to other agents: the same at each of them
}

// Load is a server's report of its own load. A negative or NaN field is absent; without Known all of them are.
type Load struct {
	Known       bool
	InFlight    float64       // requests waiting or being processed
	Queue       float64       // requests waiting
	ServiceTime time.Duration // recent service time, without waiting
	Rate        float64       // requests served per second
	ErrorRate   float64       // errors per second
}

// Outcome is how an attempt or probe ended. Full, ConnectFailed and NotSent prove that the attempt never ran.
type Outcome uint8

const (
	OK    Outcome = iota
	Error         // answered with an error
	Full          // rejected for lack of capacity
	Timeout
	ConnectFailed
	Reset // the connection broke
	Cancelled
	NotSent // the agent did not send it
)

// ListMode says how a server list event applies.
type ListMode uint8

const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list: servers not in it are gone
	ListCached                 // the whole list as last known, possibly stale
	ListFailed                 // the list could not be fetched; the old list remains
)

// EventKind is the kind of an Event. The brackets list the fields of the Event that it uses.
type EventKind uint8

const (
	EventList          EventKind = iota // server list [ListMode, Servers]
	EventRequest                        // request to answer once [Request, Class, Tenant, TimeLeft, Retry, BodyPending]
	EventStreamStarted                  // streamed answer has started [Request, Attempt, Server]
	EventOutcome                        // result [Attempt, Outcome, ReachedServer, RetryAfter, AgentDelay, Final, Load]
	EventClientGone                     // client has disconnected [Request]: no answer is owed any more
	EventTimer                          // timer has expired [Token, AgentDelay]
	EventProbeResult                    // probe ended [Server, Outcome, AgentDelay, Load]
	EventPeerLoad                       // load of the other agents at a server [Server, PeerInFlight, PeerLimit]
	EventPeerMessage                    // message of another agent, for package peers [Data]
	EventBodyReceived                   // last byte of a request with BodyPending has arrived [Request, TimeLeft]
)

// Event is something that happened to the agent. The Balancer keeps no slice of it after Handle returns.
type Event struct {
	Kind          EventKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Class         int
	Tenant        int
	TimeLeft      time.Duration // until the client gives up this try
	Retry         bool          // the client marks this try as a retry
	BodyPending   bool          // the last byte is yet to come, within TimeLeft; no server starts it before
	Outcome       Outcome
	ReachedServer bool          // with Gates: the server itself, not its gate, did not run the attempt
	RetryAfter    time.Duration // with Gates, for Full: when there is capacity again
	AgentDelay    time.Duration // upper bound of the agent's own delay since the send or the timer's expiry
	Final         bool          // the request has its final answer, from this attempt or an earlier one
	Load          Load
	Token         uint64
	ListMode      ListMode
	Servers       []ServerEntry
	PeerInFlight  float64 // attempts of other agents in flight at the server
	PeerLimit     float64 // their mean concurrency limit for it
	Data          []byte
}

// ActionKind is the kind of an Action. The brackets list the fields of the Action that it uses.
type ActionKind uint8

const (
	ActSend      ActionKind = iota // start the next attempt, from 0 [Request, Server, Wait: timeout, DeliverWithin]
	ActRefuse                      // final answer: a retry is harmless [Request, Wait: when to retry, 0 for no advice]
	ActFail                        // final answer: the request may have run [Request]
	ActCancel                      // stop waiting for an attempt [Request, Attempt]
	ActTimer                       // deliver EventTimer [Wait, Token]
	ActProbe                       // ask a server for its load [Server]
	ActSubscribe                   // subscribe to the server list and its changes
	ActLog                         // write a log line [Text]
	ActBroadcast                   // send a message to all other agents, for package peers [Data]
)

// Action is something that the caller must do, at once and in the order returned.
type Action struct {
	Kind          ActionKind
	Request       RequestID
	Server        ServerID
	Attempt       int
	Wait          time.Duration
	DeliverWithin time.Duration // the attempt must reach the server within this time or not at all; 0 for no limit
	Token         uint64
	Text          string
	Data          []byte // valid until the next Handle
}
