// Package rules judges whether agents have kept the four rules, from the records of those around them: clients,
// backends and discovery. It believes nothing that an agent says of itself, has no clock and does no I/O.
//
// Records come in the order in which they happened. Each is what one party saw at its own end, so what crosses a
// network is seen later than it was sent, by up to Terms.Lag; a verdict that hangs on less than that is not given.
package rules

import (
	"fmt"
	"strings"
	"time"
)

// Kind tells what a Record is about and which of its fields count.
type Kind uint8

// The kinds of records. In brackets: the fields that count besides At.
const (
	// Asked: a client has written the last byte of a request to an agent. A second one for a call is the client's
	// repeat on a new connection, after the agent has closed the first. [Agent, Call, Operation, Class, Budget]
	Asked     Kind = iota
	Withdrawn      // its last byte was not written after all, so that nothing is owed [Agent, Call]
	Answered       // a whole answer has come [Agent, Call, Status, Body]
	Broken         // the connection ended with no whole answer [Agent, Call]
	HungUp         // the client has gone before its time was up [Agent, Call]
	GaveUp         // the client's time and the slack are over [Agent, Call]
	// Arrived: the last byte of an attempt has come to a backend. [Backend, Attempt, Call, Work, First]
	Arrived
	Rejected // an answer that says that the attempt never ran [Backend, Attempt, Call]
	Ran      // its execution began, with its effect [Backend, Attempt, Call]
	Dropped  // it was known for a repeat and had no effect [Backend, Attempt, Call]
	Made     // an answer to it [Backend, Attempt, Call, Body]
	Started  // a process of a backend [Backend, Process, Cell, Zone, Capacity, ColdFrom, WarmAfter]
	Fell     // a cold process fell over [Backend]
	Told     // discovery has told an agent [Agent, Backend, Process, State]
	Listed   // discovery has it to tell from now on [Backend, Process, State]
	ListDown // discovery tells nothing, or nothing that can be used, from now on
	ListUp   // and does again
	Killed   // an agent's process ended without notice [Agent]
	Troubled // the network between clients and an agent, or agents and a backend, is in trouble [Agent or Backend]
	Mended   // and no longer: what was held up has arrived by now [Agent or Backend]
	Barred   // an agent has said yes to operators who took a backend out [Agent, Backend]
	Let      // they have asked it to put the backend back [Agent, Backend]
)

var kindNames = [...]string{
	Asked: "asked", Withdrawn: "withdrawn", Answered: "answered", Broken: "broken", HungUp: "hung-up", GaveUp: "gave-up", Arrived: "arrived",
	Rejected: "rejected", Ran: "ran", Dropped: "dropped", Made: "made", Started: "started", Fell: "fell", Told: "told", Listed: "listed", ListDown: "list-down", ListUp: "list-up",
	Killed: "killed", Troubled: "troubled", Mended: "mended", Barred: "barred", Let: "let",
}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", k)
}

// State is what discovery tells of a backend.
type State uint8

// The states of a backend.
const (
	Ready State = iota
	Draining
	Gone
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Gone: "gone"}

func (s State) String() string { return stateNames[s] }

// Record is one thing that one party saw.
type Record struct {
	At        time.Duration // since any fixed start
	Kind      Kind
	Agent     string
	Backend   string
	Call      string // a client's X-Call-Id
	Operation string // what the client wants, the same in all its tries
	Class     string
	Budget    time.Duration
	Kept      bool   // the connection had carried requests before
	Status    int    // of an HTTP answer
	Body      string // what tells one answer from another
	Attempt   int    // the backend's number of it
	Work      time.Duration
	First     time.Duration // when its first byte came
	State     State
	Process   int // of a backend, counted from 0
	Cell      int
	Zone      string
	Capacity  float64 // work in a second when it is warm, in seconds
	ColdFrom  float64 // part of it that a process has when it starts
	WarmAfter time.Duration
}

// String returns the record as a line of evidence.
func (r *Record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.4fs %s", r.At.Seconds(), r.Kind)
	field := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	field("agent", r.Agent)
	field("backend", r.Backend)
	field("call", r.Call)
	field("operation", r.Operation)
	field("class", r.Class)
	switch r.Kind {
	case Asked:
		fmt.Fprintf(&b, " budget=%v", r.Budget)
	case Answered:
		fmt.Fprintf(&b, " status=%d body=%q", r.Status, r.Body)
	case Arrived:
		fmt.Fprintf(&b, " attempt=%d first=%.4fs work=%v", r.Attempt, r.First.Seconds(), r.Work)
	case Rejected, Ran, Dropped:
		fmt.Fprintf(&b, " attempt=%d", r.Attempt)
	case Made:
		fmt.Fprintf(&b, " attempt=%d body=%q", r.Attempt, r.Body)
	case Started:
		fmt.Fprintf(&b, " process=%d cell=%d zone=%s capacity=%.2f cold=%.2f warm=%v", r.Process, r.Cell, r.Zone, r.Capacity, r.ColdFrom, r.WarmAfter)
	case Told, Listed:
		fmt.Fprintf(&b, " process=%d state=%s", r.Process, r.State)
	}
	return b.String()
}
