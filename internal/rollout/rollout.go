// Package rollout implements the state machine of a rollout, which brings one configuration
// document to many instances. A rollout goes in waves of growing size, starting with a few
// canaries. Each wave is observed before the next one starts, and the rollout is rolled back or
// halted according to its limits. The package also has Reconciler, which keeps a single instance at
// its desired document.
//
// The package has no I/O, no clock and no goroutines. Callers pass in events with their times and
// call Advance. They must write what Unsaved returns to the journal before they send the requests
// that Advance returned.
//
// Package change tracks the change on each instance. See docs/design/control.md.
package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/change"
)

// Status is the progress of a rollout.
type Status uint8

// The statuses of a rollout.
const (
	Running     Status = iota // waves are started and observed
	RollingBack               // the change is being reverted where it was applied
	Halted                    // no change is started until an operator resumes the rollout or rolls it back
	Completed                 // all waves have ended well
	RolledBack                // all instances that could be reached have their previous document
	Superseded                // a newer manager has taken over
)

var statusNames = [...]string{
	Running: "running", RollingBack: "rolling back", Halted: "halted", Completed: "completed", RolledBack: "rolled back", Superseded: "superseded",
}

func (s Status) String() string { return statusNames[s] }

// MarshalText returns the name of the status.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText sets the status from its name.
func (s *Status) UnmarshalText(text []byte) error {
	i := slices.Index(statusNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("invalid rollout status %q", text)
	}
	*s = Status(i)
	return nil
}

// Finished reports whether the rollout has ended and cannot be resumed.
func (s Status) Finished() bool { return s == Completed || s == RolledBack }

// stragglerTimeout is how long the commits of a wave wait for instances that have not prepared yet.
// A slower instance is committed as soon as it has prepared.
const stragglerTimeout = 2 * time.Second

// unobservedTimeout is how much longer than the bake time a wave waits for instances that have
// applied the change and were not observed since. It is also how long a restored rollout waits for
// instances whose commit was open when the previous manager process ended. After that time these
// instances count as lost.
const unobservedTimeout = 10 * time.Second

// Header is the part of a rollout's journal record that is not about a single instance.
type Header struct {
	ID       string        `json:"id"`
	Document string        `json:"document"` // hash of the document
	Limits   change.Limits `json:"limits"`
	Waves    int           `json:"waves"`
	Wave     int           `json:"wave"` // index of the current wave, from 0
	Status   Status        `json:"status"`
	Reason   string        `json:"reason,omitempty"`
	Begun    time.Duration `json:"begun"`           // start of the rollout; all times here are in ns since 1970
	Since    time.Duration `json:"since"`           // start of the current wave
	Baking   time.Duration `json:"baking"`          // when the change had ended on all instances of the wave; 0 before
	Ended    time.Duration `json:"ended,omitempty"` // when the rollout was completed, rolled back, halted or superseded
}

// Member is the state of a rollout on one instance. The exported fields are stored in the journal.
type Member struct {
	Name   string        `json:"name"`
	Wave   int           `json:"wave"`
	Try    int           `json:"try"`   // number of retries under a new id
	Was    string        `json:"was"`   // hash of the previous document
	Epoch  string        `json:"epoch"` // epoch of the process that the change was planned for
	Base   uint64        `json:"base"`  // revision of that process that the change is based on
	Target change.Target `json:"target"`
	Left   bool          `json:"left,omitempty"` // excluded from the rollout
	// Back is the change that restores the previous document. Backing says that it has been
	// started, and BackTry counts its retries.
	Back    change.Target `json:"back"`
	Backing bool          `json:"backing,omitempty"`
	BackTry int           `json:"back_try,omitempty"`
	// Ended says that there is nothing to revert, because the process that had applied the change
	// has ended.
	Ended bool `json:"ended,omitempty"`
	// Before has the request counts of a period before the change, Mark the counts of the process
	// so far when the change was committed.
	Before change.RequestCounts `json:"before"`
	Mark   change.RequestCounts `json:"mark"`

	requestOpen bool // a request has been sent and not answered
	// commitUnresolved says that a commit was open when the previous manager process ended, and
	// that the instance has not reported its outcome since.
	commitUnresolved bool
	observed         Observation
	observedAt       time.Duration
}

// Observation is the state that an instance reports.
type Observation struct {
	Epoch    string
	Revision uint64
	Hash     string
	Mixed    bool                 // some parts in force do not belong to the document with that hash
	Served   change.RequestCounts // counts since the process started
	Recent   change.RequestCounts // counts of the recent past, for the comparison; see SlidingWindow
}

// OutgoingRequest is a request that the caller has to send to an instance. The caller reports the
// result with RecordAnswer or RecordNoAnswer.
type OutgoingRequest struct {
	Instance       string
	Request        change.Request
	ID             string // id of the change
	Document       string // hash of the document, for RequestPrepare
	Base           uint64 // revision that the change is based on, for RequestPrepare
	FromReconciler bool   // sent by a Reconciler, not by a Rollout
}

// Rollout is the state machine of a rollout. It is not safe for concurrent use.
type Rollout struct {
	Header
	members        []*Member // in the order of their waves
	byName         map[string]*Member
	unsavedMembers map[*Member]struct{} // members that have changed since MarkSaved
	headerUnsaved  bool                 // the header has changed since MarkSaved

	firstAdvance time.Duration // time of the first call of Advance in this process; 0 before
}

// PlannedInstance is an instance that a rollout will change, with its last observation.
type PlannedInstance struct {
	Name        string
	Observation Observation
}

// Errors with which a rollout refuses an order of an operator.
var (
	ErrNotRunning        = errors.New("the rollout is not running")
	ErrNotHalted         = errors.New("the rollout is not halted")
	ErrAlreadyRolledBack = errors.New("the rollout is already rolled back or rolling back")
)

// New plans a rollout. Instances are assigned to waves in the given order.
func New(now time.Duration, id, document string, limits change.Limits, instances []PlannedInstance) *Rollout {
	sizes := limits.WaveSizes(len(instances))
	r := &Rollout{Header: Header{ID: id, Document: document, Limits: limits, Waves: len(sizes), Begun: now, Since: now}, byName: map[string]*Member{}, unsavedMembers: map[*Member]struct{}{}, headerUnsaved: true}
	wave := 0
	for i, planned := range instances {
		for left := sizes[wave]; left == 0; left = sizes[wave] {
			wave++
		}
		sizes[wave]--
		m := &Member{Name: planned.Name, Wave: wave, Was: planned.Observation.Hash, Epoch: planned.Observation.Epoch, Base: planned.Observation.Revision, observed: planned.Observation}
		r.members = append(r.members, m)
		r.byName[m.Name] = m
		r.unsavedMembers[r.members[i]] = struct{}{}
	}
	return r
}

// Exclude adds an instance that the rollout skips, because it could not be reached when the rollout
// was planned.
func (r *Rollout) Exclude(name, reason string) {
	m := &Member{Name: name, Wave: max(0, r.Waves-1), Left: true, Target: change.Target{State: change.NotDone, Reason: reason}}
	r.members = append(r.members, m)
	r.byName[name] = m
	r.unsavedMembers[m] = struct{}{}
}

// Restore returns a rollout from its journal after the manager process has ended at any point.
// Requests that were sent before may have been answered or may still arrive.
func Restore(h Header, members []Member) *Rollout {
	r := &Rollout{Header: h, byName: map[string]*Member{}, unsavedMembers: map[*Member]struct{}{}}
	for i := range members {
		m := &members[i]
		previousState, previousBackState := m.Target.State, m.Back.State
		m.Target.Resume()
		m.Back.Resume()
		m.commitUnresolved = m.Target.State == change.Unknown
		if m.Target.State != previousState || m.Back.State != previousBackState {
			r.unsavedMembers[m] = struct{}{}
		}
		r.members = append(r.members, m)
		r.byName[m.Name] = m
	}
	slices.SortStableFunc(r.members, func(a, b *Member) int { return a.Wave - b.Wave })
	return r
}

// Unsaved returns the changes that must be in the journal before any request is sent: the header,
// or nil if it is unchanged, and the changed members.
func (r *Rollout) Unsaved() (h *Header, members []*Member) {
	if r.headerUnsaved {
		h = &r.Header
	}
	for _, m := range r.members {
		if _, ok := r.unsavedMembers[m]; ok {
			members = append(members, m)
		}
	}
	return h, members
}

// MarkSaved records that the journal has the changes that Unsaved returned.
func (r *Rollout) MarkSaved() {
	r.headerUnsaved = false
	clear(r.unsavedMembers)
}

// Members returns all instances in the order of their waves.
func (r *Rollout) Members() []*Member { return r.members }

// Member returns the instance with the given name, nil if there is none.
func (r *Rollout) Member(name string) *Member { return r.byName[name] }

// Busy reports whether the rollout may still change an instance, so that nothing else may change
// it.
func (r *Rollout) Busy(name string) bool {
	m := r.byName[name]
	return m != nil && (!r.Status.Finished() || m.requestOpen)
}

// HasOpenRequests reports whether any request is still unanswered.
func (r *Rollout) HasOpenRequests() bool {
	return slices.ContainsFunc(r.members, func(m *Member) bool { return m.requestOpen })
}

func (r *Rollout) markUnsaved(m *Member) { r.unsavedMembers[m] = struct{}{} }

// changeID returns the id of the change on an instance. Each retry has a new id, because an aborted
// id stays aborted.
func (r *Rollout) changeID(m *Member) string { return fmt.Sprintf("%s/%d", r.ID, m.Try) }

// retry starts a change again that an instance has not applied, based on the last observation of
// the instance.
func (r *Rollout) retry(m *Member) {
	if !m.Target.Loose {
		m.Try++ // a loose change may still be prepared there, so its id is kept
	}
	m.Target, m.Left = change.Target{}, false
	if m.observed.Epoch != "" {
		m.Epoch, m.Base = m.observed.Epoch, m.observed.Revision
	}
	r.markUnsaved(m)
}

// revertID returns the id of the change that restores the previous document of an instance.
func (r *Rollout) revertID(m *Member) string { return fmt.Sprintf("%s/back/%d", r.ID, m.BackTry) }

// appendRequest appends a request to a member, if there is one, and marks it open. With revert set,
// the request is about the change that restores the previous document.
func (r *Rollout) appendRequest(requests []OutgoingRequest, m *Member, request change.Request, revert bool) []OutgoingRequest {
	if request == change.NoRequest {
		return requests
	}
	m.requestOpen = true
	r.markUnsaved(m)
	s := OutgoingRequest{Instance: m.Name, Request: request, ID: r.changeID(m), Document: r.Document, Base: m.Base}
	if revert {
		s.ID, s.Document = r.revertID(m), m.Was
	}
	return append(requests, s)
}

// Advance continues the rollout as far as possible. It returns the requests to send once the
// changes from Unsaved are in the journal.
func (r *Rollout) Advance(now time.Duration) (requests []OutgoingRequest) {
	if r.firstAdvance == 0 {
		r.firstAdvance = now
	}
	switch r.Status {
	case Running:
		requests = r.advanceWave(now)
		if r.Status == RollingBack { // advanceWave has started the rollback
			requests = append(requests, r.advanceRollback(now)...)
		}
	case RollingBack:
		requests = r.advanceRollback(now)
	case Halted:
		// Changes that are prepared are aborted, because they will not be committed.
		for _, m := range r.members {
			if !m.requestOpen && m.Target.State == change.Prepared {
				requests = r.appendRequest(requests, m, m.Target.Resolve(), false)
			}
		}
	}
	return requests
}

// currentWave returns the members of the current wave that are not excluded.
func (r *Rollout) currentWave() (members []*Member) {
	for _, m := range r.members {
		if m.Wave == r.Wave && !m.Left {
			members = append(members, m)
		}
	}
	return members
}

// advanceWave continues the current wave and starts the next one when it has ended well.
func (r *Rollout) advanceWave(now time.Duration) (requests []OutgoingRequest) {
	wave := r.currentWave()
	outcome, open := r.countOutcomes(now, wave)
	preparing := false
	for _, m := range wave {
		preparing = preparing || m.Target.State == change.Planned || m.Target.State == change.Preparing
	}
	// Evaluate before anything is committed, so that a document that instances refuse does not
	// reach the others.
	if verdict, reason := r.Limits.Evaluate(outcome, change.RequestCounts{}, change.RequestCounts{}, 0); verdict == change.RollBack || verdict == change.Halt && open == 0 {
		r.haltOrRollBack(now, verdict, reason)
		return nil
	}
	commit := !preparing || now-r.Since >= stragglerTimeout
	for _, m := range wave {
		if m.requestOpen {
			continue
		}
		request := m.Target.NextRequest(commit)
		if request == change.RequestCommit {
			m.Before, m.Mark = m.observed.Recent, m.observed.Served
		}
		requests = r.appendRequest(requests, m, request, false)
	}
	if open > 0 || len(requests) > 0 {
		return requests
	}
	if r.Baking == 0 {
		r.Baking, r.headerUnsaved = now, true
	}
	if lost := r.countUnobserved(wave); lost > 0 {
		if now-r.Baking < r.Limits.Bake+unobservedTimeout {
			return nil
		}
		outcome.Lost += lost
	}
	before, since := r.requestCounts(wave)
	switch verdict, reason := r.Limits.Evaluate(outcome, before, since, now-r.Baking); verdict {
	case change.RollBack, change.Halt:
		r.haltOrRollBack(now, verdict, reason)
	case change.NextWave:
		r.headerUnsaved = true
		if r.Wave+1 < r.Waves {
			r.Wave, r.Since, r.Baking = r.Wave+1, now, 0
			return r.advanceWave(now)
		}
		r.Status, r.Ended = Completed, now
	}
	return requests
}

// countOutcomes counts the instances of a wave by outcome, and those on which the change has not
// ended as open. An instance whose commit was open when the previous manager process ended stays
// open for unobservedTimeout, because the end of a manager is not a failure of the instance.
func (r *Rollout) countOutcomes(now time.Duration, wave []*Member) (outcome change.WaveOutcome, open int) {
	outcome.Total = len(wave)
	for _, m := range wave {
		t := &m.Target
		switch {
		case t.State == change.Done && m.observed.Epoch != "" && m.observed.Epoch != t.Epoch && r.Baking > 0:
			outcome.Refused++ // the process that applied the change ended while the wave was observed
		case t.State == change.Done:
		case t.State == change.PartlyDone || t.State == change.NotDone && t.Refused:
			outcome.Refused++
		case t.State == change.Unknown && m.commitUnresolved && now-r.firstAdvance < unobservedTimeout:
			open++
		case t.State.Final():
			outcome.Lost++
		default:
			open++
		}
	}
	return outcome, open
}

// countUnobserved counts the members that have applied the change and were not observed since the
// bake time began.
func (r *Rollout) countUnobserved(wave []*Member) (n int) {
	for _, m := range wave {
		if m.Target.State == change.Done && (m.observedAt < r.Baking || m.observed.Epoch == "") {
			n++
		}
	}
	return n
}

// requestCounts adds up the request counts of a wave's instances before and since the change.
func (r *Rollout) requestCounts(wave []*Member) (before, since change.RequestCounts) {
	for _, m := range wave {
		if m.Target.State != change.Done || m.observed.Epoch != m.Target.Epoch {
			continue
		}
		before.Add(m.Before)
		since.Add(m.observed.Served.Sub(m.Mark))
	}
	return before, since
}

// haltOrRollBack ends the waves according to the verdict.
func (r *Rollout) haltOrRollBack(now time.Duration, verdict change.Verdict, reason string) {
	r.headerUnsaved, r.Reason = true, fmt.Sprintf("wave %d: %s", r.Wave+1, reason)
	if verdict == change.Halt {
		r.Status, r.Ended = Halted, now
		return
	}
	r.beginRollback()
}

// beginRollback starts the rollback. Instances that were never sent a commit have nothing to
// revert.
func (r *Rollout) beginRollback() {
	r.Status, r.Ended, r.headerUnsaved = RollingBack, 0, true
}

// advanceRollback continues the rollback.
func (r *Rollout) advanceRollback(now time.Duration) (requests []OutgoingRequest) {
	open := 0
	for _, m := range r.members {
		if m.requestOpen {
			open++
			continue
		}
		t := &m.Target
		switch {
		case t.State == change.Prepared:
			requests = r.appendRequest(requests, m, t.Resolve(), false)
		case !m.Backing && (t.State == change.Done || t.State == change.PartlyDone):
			if m.Ended {
				continue
			}
			base := t.Revision
			if m.observed.Epoch != "" && m.observed.Epoch != t.Epoch { // the change was lost with its process
				if m.observed.Hash != r.Document && !m.observed.Mixed { // and it was not applied again
					m.Ended = true
					r.markUnsaved(m)
					continue
				}
				base = m.observed.Revision
			}
			m.Backing, m.Base = true, base
			fallthrough
		case m.Backing:
			requests = r.appendRequest(requests, m, m.Back.NextRequest(true), true)
		}
	}
	if open == 0 && len(requests) == 0 {
		r.Status, r.Ended, r.headerUnsaved = RolledBack, now, true
	}
	return requests
}

// activeTarget returns the change that current requests to the instance are about.
func (m *Member) activeTarget() *change.Target {
	if m.Backing {
		return &m.Back
	}
	return &m.Target
}

// Summary has the number of instances in each state.
type Summary struct {
	Applied   int `json:"applied"`
	Unchanged int `json:"unchanged"`
	Partly    int `json:"partly"`
	Unknown   int `json:"unknown"`
	Waiting   int `json:"waiting"`    // their wave has not started, or they are still preparing
	Back      int `json:"taken_back"` // the previous document was restored
	Ended     int `json:"ended"`      // nothing to revert, because the process that had applied the change has ended
}

// Summary returns the number of instances in each state.
func (r *Rollout) Summary() (s Summary) {
	for _, m := range r.members {
		switch t := m.Target.State; {
		case m.Ended:
			s.Ended++
		case m.Backing && m.Back.State == change.Done:
			s.Back++
		case m.Backing && (m.Back.State == change.Unknown || m.Back.State == change.Resolving):
			s.Unknown++
		case m.Backing && m.Back.State == change.PartlyDone:
			s.Partly++
		case t == change.Done:
			s.Applied++
		case t == change.NotDone || t == change.Superseded:
			s.Unchanged++
		case t == change.PartlyDone:
			s.Partly++
		case t == change.Unknown || t == change.Resolving || t == change.Committing:
			s.Unknown++
		default:
			s.Waiting++
		}
	}
	return s
}
