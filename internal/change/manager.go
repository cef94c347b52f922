package change

import (
	"fmt"
	"slices"
)

// State is what a manager knows about a change on one instance.
type State uint8

// The states of a change on one instance.
const (
	Planned    State = iota // nothing has been sent
	Preparing               // a prepare has been sent and not answered
	Prepared                // the instance has accepted the change and applied nothing
	Committing              // a commit has been sent and not answered
	Resolving               // an abort has been sent; its answer reports the outcome
	Done                    // the instance has reported that all parts are applied
	NotDone                 // nothing is applied: the instance has reported so, its process has ended, or no commit was sent
	PartlyDone              // the instance has reported which parts are applied
	Unknown                 // a commit may have been applied or may still be applied
	Superseded              // a newer manager has sent a request to the instance
)

var stateNames = [...]string{
	Planned: "planned", Preparing: "preparing", Prepared: "prepared", Committing: "committing", Resolving: "settling",
	Done: "applied", NotDone: "unchanged", PartlyDone: "partly changed", Unknown: "unknown", Superseded: "superseded",
}

func (s State) String() string { return stateNames[s] }

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the state from its name.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("invalid state %q", text)
	}
	*s = State(i)
	return nil
}

// fenceRandomBits is the number of low bits of a fencing token that are random. They keep the
// tokens of two managers apart that start at the same time and have seen the same highest token.
const fenceRandomBits = 20

// NextFence returns a fencing token for a new manager. It is higher than highest, the highest token
// seen so far.
func NextFence(highest uint64, random uint32) uint64 {
	return (highest>>fenceRandomBits+1)<<fenceRandomBits | uint64(random)&(1<<fenceRandomBits-1)
}

// Final reports whether a manager sends no further request in this state on its own.
func (s State) Final() bool {
	return s == Done || s == NotDone || s == PartlyDone || s == Unknown || s == Superseded
}

// Request is a request of a manager to an instance.
type Request uint8

// The kinds of requests.
const (
	NoRequest Request = iota
	RequestPrepare
	RequestCommit
	RequestAbort
)

// Target is the state machine of a manager for one change on one instance. The manager stores it in
// its journal. After a restart it restores the target and calls Resume, which marks the states that
// are no longer certain.
type Target struct {
	State    State    `json:"state"`
	Epoch    string   `json:"epoch,omitempty"`    // reported by the process that State refers to; "" before the first answer
	Sent     bool     `json:"sent,omitempty"`     // a commit has been sent to the process with that epoch
	Parts    []string `json:"parts,omitempty"`    // applied parts, if Done or PartlyDone
	Revision uint64   `json:"revision,omitempty"` // revision in force after the change, reported by that process
	// Loose says that the change is NotDone, but possibly still prepared on the instance, where it
	// blocks other changes until it is resolved or expires.
	Loose   bool   `json:"loose,omitempty"`
	Refused bool   `json:"refused,omitempty"` // NotDone because the instance rejected the change, failed to apply it or reverted it
	Reason  string `json:"reason,omitempty"`
}

// Answer is the answer of an instance to a request.
type Answer struct {
	Epoch  string
	Result Result // result of the change; its Outcome is None before the change ends
	Err    error  // why the instance refuses the request: an error of this package, or a fault of the document
	Fenced bool   // Err is ErrFenced
}

// NextRequest returns the next request to the instance. It sends a commit only if commit is set.
// The caller must write the new state to its journal before it sends the request.
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

// Resolve returns an abort if the change may still be prepared or its outcome is unknown. The
// answer contains the result of the change, and a change that was not applied can no longer be
// applied afterwards.
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

// Resume updates the state after a restart of the manager. Requests sent before the restart may
// have been answered or may still arrive.
func (t *Target) Resume() {
	switch t.State {
	case Preparing:
		t.State = Planned // it is safe to send the prepare again
	case Committing, Resolving:
		t.markUnanswered("the manager stopped before it received an answer")
	}
}

// markUnanswered records that a request got no usable answer. The outcome is unknown only if a
// commit was sent.
func (t *Target) markUnanswered(reason string) {
	t.Reason = reason
	if t.Sent {
		t.State = Unknown
	} else {
		t.State = NotDone // requests other than a commit change nothing
	}
}

// RecordNoAnswer records that a request timed out or its connection ended.
func (t *Target) RecordNoAnswer(reason string) {
	switch t.State {
	case Preparing:
		t.Loose = true
		t.markUnanswered(reason)
	case Prepared, Committing, Resolving:
		t.markUnanswered(reason)
	}
}

// RecordAnswer records the answer of an instance to a request.
func (t *Target) RecordAnswer(a Answer) {
	if t.State == Done || t.State == PartlyDone || t.State == Superseded {
		return // these states are final; later answers cannot change them
	}
	previousEpoch := t.Epoch
	t.Epoch = a.Epoch
	if previousEpoch != "" && previousEpoch != a.Epoch {
		// The instance has restarted. The change was lost with the previous process.
		t.State, t.Sent, t.Parts = NotDone, false, nil
		t.Reason = fmt.Sprintf("process %s has ended, and %s has nothing of it", previousEpoch, a.Epoch)
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
		// Unchanged after an abort is the manager's decision. After a commit, the instance failed
		// to apply the change or reverted it.
		t.Refused = t.State == Committing || a.Result.Outcome == Reverted
		t.State, t.Revision, t.Reason = NotDone, a.Result.Revision, a.Result.Reason
		return
	}
	switch {
	case a.Fenced:
		t.Reason = a.Err.Error()
		if t.Sent { // a commit that arrived before the request of the newer manager may have been applied
			t.State = Unknown
		} else {
			t.State = Superseded
		}
	case a.Err != nil && t.State == Preparing:
		t.State, t.Refused, t.Reason = NotDone, true, a.Err.Error()
	case a.Err != nil && t.State == Committing:
		// The same process refuses the commit and has no result, so the change was not applied and
		// cannot be applied.
		t.State, t.Sent, t.Reason = NotDone, false, a.Err.Error()
	case a.Err != nil:
		t.markUnanswered(a.Err.Error())
	case t.State == Preparing:
		t.State = Prepared
	}
}
