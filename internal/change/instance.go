// Package change implements two-phase configuration changes. Instance is the state machine of an
// instance, which prepares and commits changes. Target is the state machine of a manager, which
// tracks the outcome of one change on one instance. The package has no I/O, no clock and no
// goroutines: callers pass in events with their times and carry out the actions and requests that
// are returned.
//
// A change has an id, and repeated requests with that id get the first result. A change names the
// revision that it is based on and the fencing token of its manager. Preparing a change applies
// nothing; committing it applies its document part by part. See docs/design/control.md.
package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Errors with which an instance refuses a request. Use errors.Is to tell them apart.
var (
	ErrStaleRevision = errors.New("the change is not based on the current revision")
	ErrFenced        = errors.New("a newer manager has spoken")
	ErrBusy          = errors.New("another change is under way")
	ErrNotPrepared   = errors.New("the change is not prepared or has expired")
	ErrIDInUse       = errors.New("the id belongs to another change")
	ErrNoID          = errors.New("the change has no id")
)

// Outcome is the final result of a change on an instance.
type Outcome uint8

// The outcomes of a change.
const (
	None          Outcome = iota // the change has not ended
	Applied                      // all parts are applied
	Unchanged                    // no part is applied
	PartlyApplied                // only Result.Parts are applied
	Reverted                     // all parts were applied, then reverted because no confirmation came in time
)

var outcomeNames = [...]string{None: "none", Applied: "applied", Unchanged: "unchanged", PartlyApplied: "partly", Reverted: "taken back"}

func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome returns the outcome with the given name.
func ParseOutcome(name string) (Outcome, error) {
	i := slices.Index(outcomeNames[:], name)
	if i < 0 {
		return None, fmt.Errorf("invalid outcome %q", name)
	}
	return Outcome(i), nil
}

// Result is how a change ended on an instance. An instance reports the same result for every
// repeated request.
type Result struct {
	ID       string
	Outcome  Outcome
	Parts    []string // the parts that are applied
	Revision uint64   // revision of the document in force after the change
	Reason   string   // why the change is not applied
}

// Document identifies a configuration document by its hash and parts. This package never reads the
// content.
type Document struct {
	Hash  string
	Parts []string // in the order in which they are applied
}

// Action is work that the caller has to carry out. The caller reports the end of each action with
// Instance.ActionDone.
type Action struct {
	Kind ActionKind
	ID   string
	Part string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	ApplyPart  ActionKind = iota // apply a part of the change
	RevertPart                   // restore the previous content of a part
)

const (
	// maxResults is the number of changes whose results an instance remembers. A change whose
	// result has been dropped could be committed again.
	maxResults = 1024
	// PrepareTimeout is how long a prepared change waits for its commit before it expires.
	PrepareTimeout = time.Minute
)

// phase is the progress of the change that is under way.
type phase uint8

const (
	idle       phase = iota
	prepared         // waits for a commit until the deadline
	applying         // parts are applied one by one
	reverting        // parts are reverted in reverse order after a failure or a missing confirmation
	confirming       // applied, waits for a confirmation until the deadline
)

// Instance is the state machine of changes in one process of an instance. It is not safe for
// concurrent use.
type Instance struct {
	epoch    string
	revision uint64
	current  Document
	fence    uint64

	phase          phase
	id             string
	managerFence   uint64        // fencing token of the manager that prepared the change
	next           Document      // document of the change; the previous document once the change is fully applied
	confirmTimeout time.Duration // time for the confirmation after the change is applied; 0 if none is needed
	deadline       time.Duration // when the prepared or confirming phase expires
	appliedCount   int           // number of parts that are applied
	fullyApplied   bool          // all parts were applied, so reverting them restores the previous document
	revertFailed   bool          // a part could not be reverted
	mixedParts     []string      // see MixedParts
	reason         string        // why the change is not applied

	results        map[string]Result
	resultOrder    []string          // ids of results, the oldest first
	documentHashes map[string]string // hash of the document of each change, by id
}

// NewInstance returns the state machine of a process that started with document d at the given
// revision.
func NewInstance(epoch string, revision uint64, d Document) *Instance {
	return &Instance{epoch: epoch, revision: revision, current: d, results: map[string]Result{}, documentHashes: map[string]string{}}
}

// Epoch returns the identifier of the process, which is unique among all processes of the instance.
func (i *Instance) Epoch() string { return i.epoch }

// Revision returns the revision of the document in force.
func (i *Instance) Revision() uint64 { return i.revision }

// Current returns the document in force.
func (i *Instance) Current() Document { return i.current }

// MixedParts returns the parts in force that do not belong to the Current document. They are left
// by a change that could neither be fully applied nor fully reverted.
func (i *Instance) MixedParts() []string { return i.mixedParts }

// Fence returns the highest fencing token that a manager has sent.
func (i *Instance) Fence() uint64 { return i.fence }

// Result returns the result of a change, if the change has ended and the instance remembers it.
func (i *Instance) Result(id string) (Result, bool) {
	r, ok := i.results[id]
	return r, ok
}

// Pending returns the id of the change that is under way, "" if there is none.
func (i *Instance) Pending() string {
	if i.phase == idle {
		return ""
	}
	return i.id
}

// Confirming reports whether the change is applied and waits for its confirmation.
func (i *Instance) Confirming(id string) bool { return i.phase == confirming && i.id == id }

// DocumentFor returns the document from which the action takes the content of its part.
func (i *Instance) DocumentFor(a Action) Document {
	if (a.Kind == ApplyPart) != i.fullyApplied {
		return i.next // a fully applied change is reverted to the previous document, which is in next
	}
	return i.current
}

// ObserveFence records the fencing token of a manager. It returns ErrFenced if a higher token was
// seen before.
func (i *Instance) ObserveFence(fence uint64) error { return i.observeFence(fence) }

// observeFence implements ObserveFence.
func (i *Instance) observeFence(fence uint64) error {
	if fence < i.fence {
		return fmt.Errorf("%w: its fencing token is %d, and %d has been heard", ErrFenced, fence, i.fence)
	}
	i.fence = fence
	return nil
}

// Prepare accepts a change without applying any of it. The caller must have validated the whole
// document. The change expires if it is not committed within PrepareTimeout. A prepared change of
// an older manager is superseded.
func (i *Instance) Prepare(now time.Duration, fence uint64, id string, base uint64, d Document, confirmTimeout time.Duration) error {
	if id == "" {
		return ErrNoID
	}
	if hash, known := i.documentHashes[id]; known && hash != d.Hash {
		return ErrIDInUse
	}
	if _, known := i.results[id]; known {
		return nil // a repeated request gets the first result, which Result returns
	}
	if err := i.observeFence(fence); err != nil {
		return err
	}
	i.expire(now)
	switch {
	case i.phase != idle && i.id == id:
		if i.phase == prepared {
			i.deadline = now + PrepareTimeout
		}
		return nil
	case i.phase == prepared && i.managerFence < fence: // the older manager can no longer commit its change
	case i.phase != idle:
		return fmt.Errorf("%w: %s", ErrBusy, i.id)
	}
	if base != i.revision {
		return fmt.Errorf("%w: it is based on revision %d, and revision %d is in force", ErrStaleRevision, base, i.revision)
	}
	if i.phase == prepared {
		i.finish(Unchanged, "superseded by "+id)
	}
	i.phase, i.id, i.managerFence, i.next, i.confirmTimeout = prepared, id, fence, d, confirmTimeout
	i.deadline, i.appliedCount, i.fullyApplied, i.revertFailed, i.reason = now+PrepareTimeout, 0, false, false, ""
	i.documentHashes[id] = d.Hash
	return nil
}

// expire ends a prepared change that was not committed before its deadline.
func (i *Instance) expire(now time.Duration) {
	if i.phase == prepared && now >= i.deadline {
		i.finish(Unchanged, "not committed in time")
	}
}

// Commit starts to apply the prepared change and returns the first action. A repeated request has
// no effect; Result returns the result once ActionDone has reported the last action.
func (i *Instance) Commit(now time.Duration, fence uint64, id string) ([]Action, error) {
	if _, known := i.results[id]; known {
		return nil, nil
	}
	if err := i.observeFence(fence); err != nil {
		return nil, err
	}
	i.expire(now)
	switch {
	case i.phase == idle || i.id != id:
		return nil, ErrNotPrepared
	case i.phase != prepared:
		return nil, nil
	}
	i.phase = applying
	return i.advance(now), nil
}

// Abort permanently ends a change that is not committed: a later commit of it applies nothing. If
// the change has ended, Abort returns its result. If the change is committed and has not ended, it
// goes on and Abort returns ErrBusy.
func (i *Instance) Abort(now time.Duration, fence uint64, id string) (Result, error) {
	if r, known := i.results[id]; known {
		return r, nil
	}
	if id == "" {
		return Result{}, ErrNoID
	}
	if err := i.observeFence(fence); err != nil {
		return Result{}, err
	}
	i.expire(now)
	if r, known := i.results[id]; known {
		return r, nil
	}
	if i.phase != idle && i.phase != prepared && i.id == id {
		return Result{}, fmt.Errorf("%w: it is being applied", ErrBusy)
	}
	if i.phase == prepared && i.id == id {
		i.finish(Unchanged, "aborted")
	} else {
		i.recordResult(Result{ID: id, Outcome: Unchanged, Revision: i.revision, Reason: "aborted"})
	}
	return i.results[id], nil
}

// Confirm makes an applied change permanent. It returns ErrNotPrepared if the change does not wait
// for a confirmation, and ErrFenced if a newer manager has sent a request.
func (i *Instance) Confirm(now time.Duration, fence uint64, id string) error {
	if r, known := i.results[id]; known && r.Outcome == Applied {
		return nil
	}
	if err := i.observeFence(fence); err != nil {
		return err
	}
	if i.phase != confirming || i.id != id || now >= i.deadline {
		return ErrNotPrepared
	}
	i.finish(Applied, "")
	return nil
}

// Tick ends phases whose deadline has passed and returns the actions that follow.
func (i *Instance) Tick(now time.Duration) []Action {
	i.expire(now)
	if i.phase == confirming && now >= i.deadline {
		i.phase, i.reason = reverting, "not confirmed in time"
		return i.advance(now)
	}
	return nil
}

// NextDeadline returns when Tick has to be called next. ok is false if there is no deadline.
func (i *Instance) NextDeadline() (at time.Duration, ok bool) {
	return i.deadline, i.phase == prepared || i.phase == confirming
}

// ActionDone records the end of an action, with err if it failed, and returns the next actions.
func (i *Instance) ActionDone(now time.Duration, a Action, err error) []Action {
	if a.ID != i.id || i.phase != applying && i.phase != reverting {
		return nil
	}
	switch {
	case i.phase == applying && err != nil:
		i.phase, i.reason = reverting, fmt.Sprintf("part %s: %v", a.Part, err)
	case i.phase == applying:
		i.appliedCount++
	case err != nil:
		i.revertFailed = true
		i.reason += fmt.Sprintf("; part %s cannot be reverted: %v", a.Part, err)
	default:
		i.appliedCount--
	}
	return i.advance(now)
}

// advance returns the next action of the change under way, or ends the change if there is none.
func (i *Instance) advance(now time.Duration) []Action {
	switch {
	case i.phase == applying && i.appliedCount < len(i.next.Parts):
		return []Action{{ApplyPart, i.id, i.next.Parts[i.appliedCount]}}
	case i.phase == applying:
		i.revision++
		i.fullyApplied = true
		i.current, i.next = i.next, i.current
		if i.confirmTimeout > 0 {
			i.phase, i.deadline = confirming, now+i.confirmTimeout
			return nil
		}
		i.finish(Applied, "")
	case i.revertFailed:
		i.finish(PartlyApplied, i.reason)
	case i.appliedCount > 0:
		return []Action{{RevertPart, i.id, i.changeParts()[i.appliedCount-1]}}
	case i.fullyApplied:
		i.current = i.next
		i.revision++ // clients may have read the revision of the reverted change
		i.finish(Reverted, i.reason)
	default:
		i.finish(Unchanged, i.reason)
	}
	return nil
}

// changeParts returns the parts of the change under way.
func (i *Instance) changeParts() []string {
	if i.fullyApplied {
		return i.current.Parts
	}
	return i.next.Parts
}

// finish ends the change under way and records its result.
func (i *Instance) finish(o Outcome, reason string) {
	r := Result{ID: i.id, Outcome: o, Revision: i.revision, Reason: reason}
	if o == Applied || o == PartlyApplied {
		r.Parts = slices.Clone(i.changeParts()[:i.appliedCount])
	}
	switch o {
	case Applied, Reverted:
		i.mixedParts = nil // all parts have been applied since the mix arose
	case PartlyApplied:
		i.mixedParts = r.Parts
	}
	i.phase = idle
	i.recordResult(r)
}

// recordResult stores a result and drops the oldest one if maxResults are stored.
func (i *Instance) recordResult(r Result) {
	if len(i.resultOrder) >= maxResults {
		delete(i.results, i.resultOrder[0])
		delete(i.documentHashes, i.resultOrder[0])
		i.resultOrder = i.resultOrder[1:]
	}
	i.results[r.ID] = r
	i.resultOrder = append(i.resultOrder, r.ID)
}

// Clone returns an independent copy of the state machine.
func (i *Instance) Clone() *Instance {
	c := *i
	c.results, c.documentHashes, c.resultOrder = maps.Clone(i.results), maps.Clone(i.documentHashes), slices.Clone(i.resultOrder)
	return &c
}

// Describe returns the state as text for comparisons in tests. Equal states have equal texts.
func (i *Instance) Describe() string {
	return fmt.Sprint(i.epoch, i.revision, i.current.Hash, i.fence, i.phase, i.id, i.managerFence, i.appliedCount, i.fullyApplied, i.revertFailed, i.reason, i.mixedParts, i.results)
}
