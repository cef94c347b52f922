// Package change decides what becomes of changes to settings: on an instance, which prepares and commits them, and at a
// manager, which must know who got what. It has no I/O, no clock and no goroutines: callers hand it what happens, with
// the time, and carry out what it returns.
//
// A change has an id, and repeats of it get the first result. It names the revision that it is based on, and the
// fencing number of its manager. It is prepared, which applies nothing, and committed, part by part. See
// docs/design/control.md.
package change

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The reasons for which an instance refuses what it is asked. They are told apart with errors.Is.
var (
	ErrStaleRevision = errors.New("the revision that it is based on is not the present one")
	ErrFenced        = errors.New("a newer manager has spoken")
	ErrBusy          = errors.New("another change is under way")
	ErrNotPrepared   = errors.New("it is not prepared, or no longer")
	ErrIDInUse       = errors.New("its id stands for another change")
	ErrNoID          = errors.New("it has no id")
)

// Outcome is what became of a change on an instance.
type Outcome uint8

// The outcomes.
const (
	None          Outcome = iota // nothing yet
	Applied                      // all parts
	Unchanged                    // none
	PartlyApplied                // some: Result.Parts
	Reverted                     // all were, and then none: it was not confirmed in time
)

var outcomeNames = [...]string{None: "none", Applied: "applied", Unchanged: "unchanged", PartlyApplied: "partly", Reverted: "taken back"}

func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome reads an outcome's name.
func ParseOutcome(name string) (Outcome, error) {
	i := slices.Index(outcomeNames[:], name)
	if i < 0 {
		return None, fmt.Errorf("there is no outcome %q", name)
	}
	return Outcome(i), nil
}

// Result is what an instance says of a change, the same however often it is asked.
type Result struct {
	ID       string
	Outcome  Outcome
	Parts    []string // that are applied
	Revision uint64   // of the document in force afterwards
	Reason   string   // why it is not applied
}

// Document is what changes. The machine knows it by its hash and its parts only.
type Document struct {
	Hash  string
	Parts []string // in the order in which they are applied
}

// Action is what the instance is to do.
type Action struct {
	Kind ActionKind
	ID   string
	Part string
}

// ActionKind tells what an Action is.
type ActionKind uint8

// The actions. Each is answered by Instance.Done.
const (
	ApplyPart  ActionKind = iota // apply a part of the change
	RevertPart                   // bring a part back to what it was
)

const (
	// mostResults is how many changes' results an instance remembers. Danger: one that is forgotten could be
	// committed again.
	mostResults = 1024
	// PrepareFor is how long what is prepared waits for its commit.
	PrepareTimeout = time.Minute
)

// phase is how far the change under way is.
type phase uint8

const (
	idle       phase = iota
	prepared         // until expires
	applying         // part by part
	reverting        // the same backwards, after a part that failed, or unconfirmed
	confirming       // applied, until confirmed or expired
)

// Instance is the side of one process of an instance.
type Instance struct {
	epoch    string
	revision uint64
	current  Document
	fence    uint64

	phase   phase
	id      string
	by      uint64 // its manager's number
	next    Document
	confirm time.Duration // it must be confirmed within this after it is applied; 0 for need not
	expires time.Duration
	at      int  // parts applied
	whole   bool // all were applied, so that it is taken back and not merely undone
	stuck   bool // a part could not be reverted
	mixed   []string
	reason  string // why it is not applied

	results map[string]Result
	order   []string // of results, the oldest first
	hashes  map[string]string
}

// NewInstance returns the machine of a process that has started with a document.
func NewInstance(epoch string, revision uint64, d Document) *Instance {
	return &Instance{epoch: epoch, revision: revision, current: d, results: map[string]Result{}, hashes: map[string]string{}}
}

// Epoch is the process's name, which no other process has had.
func (i *Instance) Epoch() string { return i.epoch }

// Revision is that of the document in force.
func (i *Instance) Revision() uint64 { return i.revision }

// Current is the document in force.
func (i *Instance) Current() Document { return i.current }

// Mixed are the parts that are in force of another document than Current, as a change has left them that could neither be
// applied whole nor taken back.
func (i *Instance) MixedParts() []string { return i.mixed }

// Fence is the highest number of a manager that has spoken.
func (i *Instance) Fence() uint64 { return i.fence }

// Result returns what became of a change, if the instance remembers it.
func (i *Instance) Result(id string) (Result, bool) {
	r, ok := i.results[id]
	return r, ok
}

// Pending is the id of the change that is under way, "" if none is.
func (i *Instance) Pending() string {
	if i.phase == idle {
		return ""
	}
	return i.id
}

// Confirming says that a change is applied and waits for its confirmation.
func (i *Instance) Confirming(id string) bool { return i.phase == confirming && i.id == id }

// Wanted is the document whose part an action puts in force.
func (i *Instance) DocumentFor(a Action) Document {
	if (a.Kind == ApplyPart) != i.whole {
		return i.next // also what a change that was whole goes back to
	}
	return i.current
}

// Hear takes in that a manager has spoken, which those before it can do no more.
func (i *Instance) ObserveFence(fence uint64) error { return i.hear(fence) }

// hear takes in that a manager has spoken.
func (i *Instance) hear(fence uint64) error {
	if fence < i.fence {
		return fmt.Errorf("%w: its number is %d, and %d has been heard", ErrFenced, fence, i.fence)
	}
	i.fence = fence
	return nil
}

// Prepare takes a change in, whose document the caller has checked whole. It applies nothing.
func (i *Instance) Prepare(now time.Duration, fence uint64, id string, base uint64, d Document, confirm time.Duration) error {
	if id == "" {
		return ErrNoID
	}
	if hash, known := i.hashes[id]; known && hash != d.Hash {
		return ErrIDInUse
	}
	if _, known := i.results[id]; known {
		return nil // a repeat gets the first result, which Result tells
	}
	if err := i.hear(fence); err != nil {
		return err
	}
	i.expire(now)
	switch {
	case i.phase != idle && i.id == id:
		if i.phase == prepared {
			i.expires = now + PrepareTimeout
		}
		return nil
	case i.phase == prepared && i.by < fence: // its manager can commit it no more
	case i.phase != idle:
		return fmt.Errorf("%w: %s", ErrBusy, i.id)
	}
	if base != i.revision {
		return fmt.Errorf("%w: it is based on %d, and %d is in force", ErrStaleRevision, base, i.revision)
	}
	if i.phase == prepared {
		i.settle(Unchanged, "superseded by "+id)
	}
	i.phase, i.id, i.by, i.next, i.confirm = prepared, id, fence, d, confirm
	i.expires, i.at, i.whole, i.stuck, i.reason = now+PrepareTimeout, 0, false, false, ""
	i.hashes[id] = d.Hash
	return nil
}

// expire drops what was prepared and not committed in time.
func (i *Instance) expire(now time.Duration) {
	if i.phase == prepared && now >= i.expires {
		i.settle(Unchanged, "not committed in time")
	}
}

// Commit begins to apply what is prepared. A repeat changes nothing: the result comes with Done, or has come.
func (i *Instance) Commit(now time.Duration, fence uint64, id string) ([]Action, error) {
	if _, known := i.results[id]; known {
		return nil, nil
	}
	if err := i.hear(fence); err != nil {
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
	return i.step(now), nil
}

// Abort ends a change that is not committed, for good: a commit of it that comes later is refused. A change that is
// under way or has ended stays as it is. It returns what is known of the change.
func (i *Instance) Abort(now time.Duration, fence uint64, id string) (Result, error) {
	if r, known := i.results[id]; known {
		return r, nil
	}
	if id == "" {
		return Result{}, ErrNoID
	}
	if err := i.hear(fence); err != nil {
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
		i.settle(Unchanged, "aborted")
	} else {
		i.remember(Result{ID: id, Outcome: Unchanged, Revision: i.revision, Reason: "aborted"})
	}
	return i.results[id], nil
}

// Confirm keeps a change that has to be confirmed.
func (i *Instance) Confirm(now time.Duration, fence uint64, id string) error {
	if r, known := i.results[id]; known && r.Outcome == Applied {
		return nil
	}
	if err := i.hear(fence); err != nil {
		return err
	}
	if i.phase != confirming || i.id != id || now >= i.expires {
		return ErrNotPrepared
	}
	i.settle(Applied, "")
	return nil
}

// Tick takes in that time has passed, and returns what is to be done about it.
func (i *Instance) Tick(now time.Duration) []Action {
	i.expire(now)
	if i.phase == confirming && now >= i.expires {
		i.phase, i.reason = reverting, "not confirmed in time"
		return i.step(now)
	}
	return nil
}

// Due is when Tick has something to do, if ok.
func (i *Instance) NextDeadline() (at time.Duration, ok bool) {
	return i.expires, i.phase == prepared || i.phase == confirming
}

// Done takes in how an action ended, and returns what is to be done next.
func (i *Instance) ActionDone(now time.Duration, a Action, err error) []Action {
	if a.ID != i.id || i.phase != applying && i.phase != reverting {
		return nil
	}
	switch {
	case i.phase == applying && err != nil:
		i.phase, i.reason = reverting, fmt.Sprintf("part %s: %v", a.Part, err)
	case i.phase == applying:
		i.at++
	case err != nil:
		i.stuck = true
		i.reason += fmt.Sprintf("; part %s can't be taken back: %v", a.Part, err)
	default:
		i.at--
	}
	return i.step(now)
}

// step goes on with the change under way.
func (i *Instance) step(now time.Duration) []Action {
	switch {
	case i.phase == applying && i.at < len(i.next.Parts):
		return []Action{{ApplyPart, i.id, i.next.Parts[i.at]}}
	case i.phase == applying:
		i.revision++
		i.whole = true
		i.current, i.next = i.next, i.current
		if i.confirm > 0 {
			i.phase, i.expires = confirming, now+i.confirm
			return nil
		}
		i.settle(Applied, "")
	case i.stuck:
		i.settle(PartlyApplied, i.reason)
	case i.at > 0:
		return []Action{{RevertPart, i.id, i.parts()[i.at-1]}}
	case i.whole:
		i.current = i.next
		i.revision++ // others may have read the revision between
		i.settle(Reverted, i.reason)
	default:
		i.settle(Unchanged, i.reason)
	}
	return nil
}

// parts are those of the change under way.
func (i *Instance) parts() []string {
	if i.whole {
		return i.current.Parts
	}
	return i.next.Parts
}

// settle ends the change under way.
func (i *Instance) settle(o Outcome, reason string) {
	r := Result{ID: i.id, Outcome: o, Revision: i.revision, Reason: reason}
	if o == Applied || o == PartlyApplied {
		r.Parts = slices.Clone(i.parts()[:i.at])
	}
	switch o {
	case Applied, Reverted:
		i.mixed = nil // all parts were applied since
	case PartlyApplied:
		i.mixed = r.Parts
	}
	i.phase = idle
	i.remember(r)
}

func (i *Instance) remember(r Result) {
	if len(i.order) >= mostResults {
		delete(i.results, i.order[0])
		delete(i.hashes, i.order[0])
		i.order = i.order[1:]
	}
	i.results[r.ID] = r
	i.order = append(i.order, r.ID)
}

// Clone returns an instance that goes its own way from here.
func (i *Instance) Clone() *Instance {
	c := *i
	c.results, c.hashes, c.order = maps.Clone(i.results), maps.Clone(i.hashes), slices.Clone(i.order)
	return &c
}

// Describe is the whole state in words, the same for equal states.
func (i *Instance) Describe() string {
	return fmt.Sprint(i.epoch, i.revision, i.current.Hash, i.fence, i.phase, i.id, i.by, i.at, i.whole, i.stuck, i.reason, i.mixed, i.results)
}
