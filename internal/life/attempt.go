// Package life has the machines that say what an attempt may be at any moment, as tables: what happens in a state leads to
// another and nowhere else. It has no I/O, no clock and no goroutines. See docs/design/life.md, and docs/life.md for the
// tables, which are made from these.
package life

import (
	"fmt"
	"strings"

	"example.org/micaline/policy"
)

// State is how far an attempt is.
type State uint8

// The states of an attempt.
const (
	Queued               State = iota // decided, and nothing done for it
	Connecting                        // a connection is looked for, or being made
	Acquired                          // it has one, on which nothing of it was written
	Writing                           // bytes go out; the last has not
	Sent                              // the last byte is out
	ReceivingAnswer                   // the first byte of an answer has come
	ReceivingEarlyAnswer              // the same before its last byte is out
	Cancelling                        // it was cancelled before its last byte, and its I/O has not come back
	CancellingSent                    // the same after its last byte
	TimingOut                         // its time is over before its last byte, and its I/O has not come back
	TimingOutSent                     // the same after its last byte
	Served                            // from here on it has ended: a whole good answer
	Failed                            // a whole answer of another kind
	Rejected                          // a whole answer that says that it did not run, for want of room
	NeverSent                         // the connection failed before the last byte was out
	NotTried                          // the agent itself did not send it
	ConnectionLost                    // the connection failed, or the answer was no answer, after the last byte
	TimedOut                          // its time was over after the last byte
	Cancelled                         // it was given up
	numStates
)

var stateNames = [...]string{
	"queued", "connecting", "lent", "writing", "sent", "answering", "answering early", "given up", "given up, sent", "overdue", "overdue, sent",
	"served", "failed", "rejected", "never sent", "not tried", "cut", "late for an answer", "cancelled",
}

func (s State) String() string { return stateNames[s] }

// Ended says whether nothing more happens to the attempt.
func (s State) Ended() bool { return s >= Served }

// MayHaveRun says whether a backend may have run the request, now or later. An HTTP request whose last byte never went out
// is incomplete (RFC 9112, section 6.3) and can't.
func (s State) MayHaveRun() bool {
	switch s {
	case Sent, ReceivingAnswer, ReceivingEarlyAnswer, CancellingSent, TimingOutSent, Served, Failed, ConnectionLost, TimedOut, Cancelled:
		return true // Cancelled covers both: who gives up does not wait to know
	}
	return false
}

// Outcome is what the decision module is told of an attempt that has ended; and of one that has not, as what has come of it so
// far does, if nothing more does.
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

// Input is what happens to an attempt.
type Input uint8

// The inputs.
const (
	Start            Input = iota // its I/O starts
	Connected                     // it has a connection
	ConnectFailed                 // it got none
	NoSocket                      // the agent has no socket for it
	TooLateToSend                 // its backend is out, or backends no longer remember what it would repeat
	WriteStarted                  // its first byte goes out
	RequestWritten                // its last byte is out
	ConnectionBroken              // the connection has failed, or what came is no answer
	FirstAnswerByte               // of an answer
	GoodAnswer                    // the answer is whole, and good
	ErrorAnswer                   // the answer is whole, and says something else
	RejectedAnswer                // the answer is whole, and says that there was no room
	Cancel                        // it is given up
	Deadline                      // its time is over
	IOReturned                    // its I/O has come back after it was given up, or its time was over
	numInputs
)

var inputNames = [...]string{
	"begin", "connected", "no connection", "no room", "too late", "write", "wrote last", "broken", "first byte", "good", "bad", "full",
	"cancel", "deadline", "back",
}

func (i Input) String() string { return inputNames[i] }

// none stands for no transition.
const none = numStates

// attempt is the table: the state that follows, by state and input.
var attempt = func() (t [numStates][numInputs]State) {
	for s := range t {
		for i := range t[s] {
			t[s][i] = none
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

// MisfitError is an input that does not fit a state.
type TransitionError struct {
	State State
	Input Input
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("life: an attempt that is %s gets %q, which does not fit", e.State, e.Input)
}

// Attempt is the machine of one attempt. The zero value is queued.
type Attempt struct{ state State }

// State is where the attempt is.
func (a *Attempt) State() State { return a.state }

// On takes in what happens. Its error is a *MisfitError, and then the attempt stays as it is.
func (a *Attempt) Apply(i Input) error {
	next := attempt[a.state][i]
	if next == none {
		return &TransitionError{a.state, i}
	}
	a.state = next
	return nil
}

// Table is the machine of attempts for people, in Markdown.
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
		var ways []string
		for i := range numInputs {
			if next := attempt[s][i]; next != none {
				ways = append(ways, fmt.Sprintf("%s → %s", i, next))
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", s, run, outcome, strings.Join(ways, "; "))
	}
	return b.String()
}
