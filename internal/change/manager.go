package change

import (
	"fmt"
	"slices"
)

// State is what a manager knows of a change on one instance.
type State uint8

// The states.
const (
	Planned    State = iota // nothing has been sent
	Preparing               // a prepare has been sent and not answered
	Prepared                // the instance has it and has applied nothing
	Committing              // a commit has been sent and not answered
	Resolving               // nothing is known of a commit, and an abort or a question has been sent
	Done                    // the instance has said so
	NotDone                 // the instance has said so, or its process has ended without it
	PartlyDone              // the instance has said which parts
	Unknown                 // a commit may have been applied, and may yet be
	Superseded              // a newer manager has spoken to the instance
)

var stateNames = [...]string{
	Planned: "planned", Preparing: "preparing", Prepared: "prepared", Committing: "committing", Resolving: "settling",
	Done: "applied", NotDone: "unchanged", PartlyDone: "partly changed", Unknown: "unknown", Superseded: "superseded",
}

func (s State) String() string { return stateNames[s] }

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("there is no state %q", text)
	}
	*s = State(i)
	return nil
}

// Fences: a manager's number is higher than all that were heard before it. Its low bits are drawn, so that two managers
// that start at once and have heard the same are not taken for one.
const fenceBits = 20

// NextFence returns the number of a manager that starts, where the highest so far is known.
func NextFence(highest uint64, drawn uint32) uint64 {
	return (highest>>fenceBits+1)<<fenceBits | uint64(drawn)&(1<<fenceBits-1)
}

// Final says whether the manager sends nothing more for a change in this state by itself.
func (s State) Final() bool {
	return s == Done || s == NotDone || s == PartlyDone || s == Unknown || s == Superseded
}

// Request is what a manager asks of an instance next.
type Request uint8

// The requests.
const (
	NoRequest Request = iota
	RequestPrepare
	RequestCommit
	RequestAbort
)

// Target is a manager's knowledge of one change on one instance. Its fields are what its journal holds: a manager that
// starts again goes on from them, and Resume tells it what it can no longer be sure of.
type Target struct {
	State    State    `json:"state"`
	Epoch    string   `json:"epoch,omitempty"`    // of the process that the state is about, as it has said; "" if none has spoken yet
	Sent     bool     `json:"sent,omitempty"`     // a commit has been sent to that epoch
	Parts    []string `json:"parts,omitempty"`    // that are applied, if PartlyDone
	Revision uint64   `json:"revision,omitempty"` // in force afterwards, as that epoch has said
	Loose    bool     `json:"loose,omitempty"`    // it is not done, and may be prepared there, where it keeps others out until it is settled or expires
	Refused  bool     `json:"refused,omitempty"`  // it is not done because the instance can't or won't
	Reason   string   `json:"reason,omitempty"`
}

// Answer is what an instance has answered to a request.
type Answer struct {
	Epoch  string
	Result Result // of the change; None while there is none
	Err    error  // it refuses: one of this package's errors, or why the document can't be used
	Fenced bool   // the refusal is ErrFenced
}

// Next is what to ask of the instance now. The caller notes in its journal that the state has changed before it sends.
func (t *Target) NextRequest(commit bool) Request {
	switch {
	case t.State == Planned:
		t.State = Preparing
		return RequestPrepare
	case t.State == Prepared && commit:
		t.State, t.Sent = Committing, true
		return RequestCommit
	}
	return NoRequest
}

// Settle is what to ask of an instance of which too little is known: an abort, which is answered by what became of the
// change, and after which it can no longer be applied if it was not.
func (t *Target) Resolve() Request {
	switch t.State {
	case Preparing, Prepared, Committing, Resolving, Unknown:
		t.State = Resolving
		return RequestAbort
	case NotDone:
		if t.Loose {
			t.State, t.Loose = Resolving, false
			return RequestAbort
		}
	}
	return NoRequest
}

// Resume takes in that the manager has started again: what it had sent may have been answered, or may yet arrive.
func (t *Target) Resume() {
	switch t.State {
	case Preparing:
		t.State = Planned // preparing twice does nothing
	case Committing, Resolving:
		t.unknown("the manager ended before an answer came")
	}
}

// unknown ends a request of which nothing came back.
func (t *Target) unknown(why string) {
	t.Reason = why
	if t.Sent {
		t.State = Unknown
	} else {
		t.State = NotDone // nothing that was sent changes anything
	}
}

// Silent takes in that a request was not answered in time, or its connection ended.
func (t *Target) RecordNoAnswer(why string) {
	switch t.State {
	case Preparing:
		t.Loose = true
		t.unknown(why)
	case Prepared, Committing, Resolving:
		t.unknown(why)
	}
}

// Answered takes in an instance's answer to a request, or to a question about the change.
func (t *Target) RecordAnswer(a Answer) {
	if t.State == Done || t.State == PartlyDone || t.State == Superseded {
		return // it has been said, and does not become untrue by what is said later
	}
	before := t.Epoch
	t.Epoch = a.Epoch
	if before != "" && before != a.Epoch {
		// Another process: what the one before had of the change went with it.
		t.State, t.Sent, t.Parts = NotDone, false, nil
		t.Reason = fmt.Sprintf("process %s has ended, and %s has nothing of it", before, a.Epoch)
		if a.Result.Outcome == None {
			return
		}
	}
	switch a.Result.Outcome {
	case Applied:
		t.State, t.Parts, t.Revision, t.Reason = Done, a.Result.Parts, a.Result.Revision, ""
		return
	case PartlyApplied:
		t.State, t.Parts, t.Revision, t.Reason = PartlyDone, slices.Clone(a.Result.Parts), a.Result.Revision, a.Result.Reason
		return
	case Unchanged, Reverted:
		// An abort is the manager's own word; whatever else keeps an instance from it is the instance's.
		t.Refused = t.State == Committing || a.Result.Outcome == Reverted
		t.State, t.Revision, t.Reason = NotDone, a.Result.Revision, a.Result.Reason
		return
	}
	switch {
	case a.Fenced:
		t.Reason = a.Err.Error()
		if t.Sent { // a commit that was sent before the other manager spoke may have been applied
			t.State = Unknown
		} else {
			t.State = Superseded
		}
	case a.Err != nil && t.State == Preparing:
		t.State, t.Refused, t.Reason = NotDone, true, a.Err.Error()
	case a.Err != nil && t.State == Committing:
		// Not prepared any more, in this epoch, and no result: it was not applied and can't be.
		t.State, t.Sent, t.Reason = NotDone, false, a.Err.Error()
	case a.Err != nil:
		t.unknown(a.Err.Error())
	case t.State == Preparing:
		t.State = Prepared
	}
}
