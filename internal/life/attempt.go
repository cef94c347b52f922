// Package life defines the life cycle of an attempt as a state machine, given by a transition
// table: an input leads from one state to another, and inputs without an entry are invalid. It does
// no I/O, has no clock and starts no goroutines. See docs/design/life.md, and docs/life.md for the
// table, which is generated from this package.
package life

import (
	"fmt"
	"strings"

	"example.org/micaline/policy"
)

// State is a state in the life cycle of an attempt.
type State uint8

// States of an attempt. The states from Served on are final.
const (
	Queued               State = iota // scheduled, nothing was done yet
	Connecting                        // waiting for a connection, reused or new
	Acquired                          // has a connection; nothing of the request is written
	Writing                           // the request is being written
	Sent                              // the last byte of the request is written
	ReceivingAnswer                   // the answer has begun after the last byte was written
	ReceivingEarlyAnswer              // the answer has begun before the last byte was written
	Cancelling                        // cancelled before the last byte was written; I/O is pending
	CancellingSent                    // cancelled after the last byte was written; I/O is pending
	TimingOut                         // timed out before the last byte was written; I/O is pending
	TimingOutSent                     // timed out after the last byte was written; I/O is pending
	Served                            // complete and successful answer
	Failed                            // complete answer that is not successful
	Rejected                          // complete answer: did not run for lack of capacity
	NeverSent                         // the connection failed before the last byte was written
	NotTried                          // the agent itself did not send the request
	ConnectionLost                    // no valid answer after the last byte was written
	TimedOut                          // no answer by the deadline after the last byte was written
	Cancelled                         // cancelled
	numStates
)

var stateNames = [...]string{
	"queued", "connecting", "lent", "writing", "sent", "answering", "answering early", "given up", "given up, sent", "overdue", "overdue, sent",
	"served", "failed", "rejected", "never sent", "not tried", "cut", "late for an answer", "cancelled",
}

func (s State) String() string { return stateNames[s] }

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Served }

// MayHaveRun reports whether a backend may have run the request, or may still run it. An HTTP
// request whose last byte was never sent is incomplete (RFC 9112, section 6.3) and can't run.
func (s State) MayHaveRun() bool {
	switch s {
	case Sent, ReceivingAnswer, ReceivingEarlyAnswer, CancellingSent, TimingOutSent, Served, Failed, ConnectionLost, TimedOut, Cancelled:
		// Cancelled covers both cases, because a cancelled attempt does not wait to find out.
		return true
	}
	return false
}

// Outcome returns the outcome that the decision module is given for an ended attempt. For an
// attempt that has not ended, it returns the outcome it would have if nothing more happened.
func (s State) Outcome() policy.Outcome {
	switch {
	case s.Ended():
	case s.MayHaveRun():
		return policy.Reset
	default:
		return policy.ConnectFailed
	}
	return [...]policy.Outcome{
		Served: policy.OK, Failed: policy.Error, Rejected: policy.Full, NeverSent: policy.ConnectFailed, NotTried: policy.NotSent,
		ConnectionLost: policy.Reset, TimedOut: policy.Timeout, Cancelled: policy.Cancelled,
	}[s]
}

// Input is an event in the life of an attempt.
type Input uint8

// Inputs of the state machine.
const (
	Start            Input = iota // its I/O starts
	Connected                     // it has a connection
	ConnectFailed                 // no connection could be made
	NoSocket                      // the agent has no socket left for it
	TooLateToSend                 // the backend is gone, or a repeat may no longer be recognized
	WriteStarted                  // the first byte of the request is about to be written
	RequestWritten                // the last byte of the request is written
	ConnectionBroken              // the connection failed, or the answer is invalid
	FirstAnswerByte               // the first byte of an answer was read
	GoodAnswer                    // the answer is complete and successful
	ErrorAnswer                   // the answer is complete and not successful
	RejectedAnswer                // the answer is complete and says that there was no capacity
	Cancel                        // it is cancelled
	Deadline                      // its deadline has passed
	IOReturned                    // its I/O has returned after a cancellation or the deadline
	numInputs
)

var inputNames = [...]string{
	"begin", "connected", "no connection", "no room", "too late", "write", "wrote last", "broken", "first byte", "good", "bad", "full",
	"cancel", "deadline", "back",
}

func (i Input) String() string { return inputNames[i] }

// noTransition marks an input that is invalid in a state.
const noTransition = numStates

// transitionTable gives the next state for each state and input.
var transitionTable = func() (t [numStates][numInputs]State) {
	for s := range t {
		for i := range t[s] {
			t[s][i] = noTransition
		}
	}
	for from, to := range map[State]map[Input]State{
		Queued:               {Start: Connecting, Cancel: Cancelled, Deadline: NotTried},
		Connecting:           {Connected: Acquired, ConnectFailed: NeverSent, NoSocket: NotTried, Cancel: Cancelling, Deadline: TimingOut},
		Acquired:             {WriteStarted: Writing, TooLateToSend: NotTried, ConnectionBroken: NeverSent, Cancel: Cancelling, Deadline: TimingOut},
		Writing:              {RequestWritten: Sent, FirstAnswerByte: ReceivingEarlyAnswer, ConnectionBroken: NeverSent, Cancel: Cancelling, Deadline: TimingOut},
		ReceivingEarlyAnswer: {GoodAnswer: Served, ErrorAnswer: Failed, RejectedAnswer: Rejected, ConnectionBroken: ConnectionLost, Cancel: CancellingSent, Deadline: TimingOutSent},
		Sent:                 {FirstAnswerByte: ReceivingAnswer, ConnectionBroken: ConnectionLost, Cancel: CancellingSent, Deadline: TimingOutSent},
		ReceivingAnswer:      {GoodAnswer: Served, ErrorAnswer: Failed, RejectedAnswer: Rejected, ConnectionBroken: ConnectionLost, Cancel: CancellingSent, Deadline: TimingOutSent},
		Cancelling:           {IOReturned: Cancelled, Deadline: Cancelling},
		CancellingSent:       {IOReturned: Cancelled, Deadline: CancellingSent},
		TimingOut:            {IOReturned: NeverSent, Cancel: Cancelling},
		TimingOutSent:        {IOReturned: TimedOut, Cancel: CancellingSent},
	} {
		for i, s := range to {
			t[from][i] = s
		}
	}
	return t
}()

// TransitionError reports an input that is invalid in the current state.
type TransitionError struct {
	State State
	Input Input
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("life: an attempt in state %q got the invalid input %q", e.State, e.Input)
}

// Attempt is the state machine of one attempt. Its zero value is in state Queued.
type Attempt struct{ state State }

// State returns the current state.
func (a *Attempt) State() State { return a.state }

// Apply performs the transition for an input. It returns a *TransitionError, and keeps the state,
// if the input is invalid.
func (a *Attempt) Apply(i Input) error {
	next := transitionTable[a.state][i]
	if next == noTransition {
		return &TransitionError{a.state, i}
	}
	a.state = next
	return nil
}

// MarkdownTable returns the state machine as a Markdown table.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| state | may have run | outcome | what may happen, and what it leads to |\n| --- | --- | --- | --- |\n")
	for s := range numStates {
		run, outcome := "no", ""
		if s.MayHaveRun() {
			run = "yes"
		}
		if s.Ended() {
			outcome = s.Outcome().String()
		}
		var edges []string
		for i := range numInputs {
			if next := transitionTable[s][i]; next != noTransition {
				edges = append(edges, fmt.Sprintf("%s → %s", i, next))
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", s, run, outcome, strings.Join(edges, "; "))
	}
	return b.String()
}
