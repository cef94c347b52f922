// Package rollout decides how one settings document comes to many instances: in waves, the first of them small, watched
// before the next, and rolled back or halted where the limits say so. It has no I/O, no clock and no goroutines: callers
// tell it what happens, with the time, write down what Changed returns, and only then send what Next returned.
//
// What becomes of the change on one instance package change decides. See docs/design/control.md.
package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/change"
)

// Status is how far a rollout is.
type Status uint8

// The statuses.
const (
	Running     Status = iota
	RollingBack        // what was applied is being taken back
	Halted             // nothing more is sent until an operator resumes it or rolls it back
	Completed          // all waves were brought out
	RolledBack         // whoever could be reached is as before
	Superseded         // a newer manager has spoken
)

var statusNames = [...]string{
	Running: "running", RollingBack: "rolling back", Halted: "halted", Completed: "completed", RolledBack: "rolled back", Superseded: "superseded",
}

func (s Status) String() string { return statusNames[s] }

// MarshalText writes the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a status's name.
func (s *Status) UnmarshalText(text []byte) error {
	i := slices.Index(statusNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("there is no status %q", text)
	}
	*s = Status(i)
	return nil
}

// Over says that the rollout does nothing more by itself and can't be resumed.
func (s Status) Finished() bool { return s == Completed || s == RolledBack }

// stragglers is how long a wave's commits wait for instances that have not prepared yet. One that is slower is
// committed when it has.
const stragglerTimeout = 2 * time.Second

// unseen is how much longer than its watch a wave waits for instances that have applied the change and then not shown
// themselves, and how long a manager that goes on from a journal waits for those that its predecessor had asked to apply
// it. After that they are lost.
const unobservedTimeout = 10 * time.Second

// Header is what a rollout's record in the journal says of it as a whole.
type Header struct {
	ID       string        `json:"id"`
	Document string        `json:"document"` // its hash
	Limits   change.Limits `json:"limits"`
	Waves    int           `json:"waves"`
	Wave     int           `json:"wave"` // the present one, from 0
	Status   Status        `json:"status"`
	Reason   string        `json:"reason,omitempty"`
	Begun    time.Duration `json:"begun"`           // since 1970
	Since    time.Duration `json:"since"`           // when the present wave began
	Baking   time.Duration `json:"baking"`          // when all of the wave had ended; 0 while they have not
	Ended    time.Duration `json:"ended,omitempty"` // when it was completed, rolled back or halted
}

// Member is what the journal says of one instance.
type Member struct {
	Name   string        `json:"name"`
	Wave   int           `json:"wave"`
	Try    int           `json:"try"`   // so many times it was begun anew
	Was    string        `json:"was"`   // hash of the document before
	Epoch  string        `json:"epoch"` // of the process that was seen last
	Base   uint64        `json:"base"`  // revision that the change is based on, of that process
	Target change.Target `json:"target"`
	Left   bool          `json:"left,omitempty"` // an operator has gone on without it
	// Back is the change that takes it back.
	Back    change.Target `json:"back"`
	Backing bool          `json:"backing,omitempty"`
	BackTry int           `json:"back_try,omitempty"`
	Ended   bool          `json:"ended,omitempty"` // the process that had applied it has ended, so that there is nothing to take back
	// Before is what it served in the time before the change, Mark its counts when the change was committed.
	Before change.RequestCounts `json:"before"`
	Mark   change.RequestCounts `json:"mark"`

	requestOpen bool // a request is out
	// restored says that a commit was under way when the manager before this one ended, and that the instance has not
	// said yet what became of it.
	commitUnresolved bool
	observed         Observation
	observedAt       time.Duration
}

// Look is what an instance shows of itself.
type Observation struct {
	Epoch    string
	Revision uint64
	Hash     string
	Mixed    bool                 // not all of it is of that document
	Served   change.RequestCounts // since the process began
	Recent   change.RequestCounts // in the time before now, as far as a comparison goes back
}

// Send is what the caller is to ask of an instance. What comes of it, it tells with Answered or Silent.
type OutgoingRequest struct {
	Instance       string
	Request        change.Request
	ID             string // of the change
	Document       string // hash, of AskPrepare
	Base           uint64 // of AskPrepare
	FromReconciler bool   // it is a Keeper's
}

// Rollout is one rollout.
type Rollout struct {
	Header
	members        []*Member // in the order of their waves
	byName         map[string]*Member
	unsavedMembers map[*Member]struct{}
	headerUnsaved  bool // has changed

	firstAdvance time.Duration // when a rollout that was restored first went on; 0 before
}

// Planned is an instance that a rollout is for.
type PlannedInstance struct {
	Name        string
	Observation Observation
}

// The reasons for which an operator's word can't be done.
var (
	ErrNotRunning        = errors.New("it is not running")
	ErrNotHalted         = errors.New("it is not halted")
	ErrAlreadyRolledBack = errors.New("it is over")
)

// New plans a rollout. The instances are taken in the order given.
func New(now time.Duration, id, document string, limits change.Limits, instances []PlannedInstance) *Rollout {
	sizes := limits.WaveSizes(len(instances))
	r := &Rollout{Header: Header{ID: id, Document: document, Limits: limits, Waves: len(sizes), Begun: now, Since: now}, byName: map[string]*Member{}, unsavedMembers: map[*Member]struct{}{}, headerUnsaved: true}
	wave := 0
	for i, p := range instances {
		for left := sizes[wave]; left == 0; left = sizes[wave] {
			wave++
		}
		sizes[wave]--
		m := &Member{Name: p.Name, Wave: wave, Was: p.Observation.Hash, Epoch: p.Observation.Epoch, Base: p.Observation.Revision, observed: p.Observation}
		r.members = append(r.members, m)
		r.byName[m.Name] = m
		r.unsavedMembers[r.members[i]] = struct{}{}
	}
	return r
}

// LeaveOut notes an instance that the rollout is for and goes on without, as it could not be asked when it began.
func (r *Rollout) Exclude(name, reason string) {
	m := &Member{Name: name, Wave: max(0, r.Waves-1), Left: true, Target: change.Target{State: change.NotDone, Reason: reason}}
	r.members = append(r.members, m)
	r.byName[name] = m
	r.unsavedMembers[m] = struct{}{}
}

// Restore returns a rollout as a journal has it, after its manager has ended at any point: what it had sent may have
// been answered, or may yet arrive.
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

// Changed returns what must be in the journal before anything is sent: the header, nil if it is as it was, and members.
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

// Written takes in that what Changed returned is in the journal.
func (r *Rollout) MarkSaved() {
	r.headerUnsaved = false
	clear(r.unsavedMembers)
}

// Members are all instances, in the order of their waves.
func (r *Rollout) Members() []*Member { return r.members }

// Member returns one instance, nil if it is not among them.
func (r *Rollout) Member(name string) *Member { return r.byName[name] }

// Busy says whether the rollout still has to do with an instance, so that nothing else may change it.
func (r *Rollout) Busy(name string) bool {
	m := r.byName[name]
	return m != nil && (!r.Status.Finished() || m.requestOpen)
}

// Waiting says whether requests are out.
func (r *Rollout) HasOpenRequests() bool {
	return slices.ContainsFunc(r.members, func(m *Member) bool { return m.requestOpen })
}

func (r *Rollout) markUnsaved(m *Member) { r.unsavedMembers[m] = struct{}{} }

// id is the change's on an instance. One that is begun anew is another: what was aborted stays so.
func (r *Rollout) changeID(m *Member) string { return fmt.Sprintf("%s/%d", r.ID, m.Try) }

// tryAgain has a change that an instance has not applied begin anew, from the instance as it was last seen.
func (r *Rollout) retry(m *Member) {
	if !m.Target.Loose {
		m.Try++ // what may still be prepared there is the same again
	}
	m.Target, m.Left = change.Target{}, false
	if m.observed.Epoch != "" {
		m.Epoch, m.Base = m.observed.Epoch, m.observed.Revision
	}
	r.markUnsaved(m)
}

func (r *Rollout) revertID(m *Member) string { return fmt.Sprintf("%s/back/%d", r.ID, m.BackTry) }

// send has a request go out, if there is one.
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

// Next goes on as far as it can, and returns what is to be sent, after Changed is written.
func (r *Rollout) Advance(now time.Duration) (requests []OutgoingRequest) {
	if r.firstAdvance == 0 {
		r.firstAdvance = now
	}
	switch r.Status {
	case Running:
		requests = r.advanceWave(now)
		if r.Status == RollingBack { // just now
			requests = append(requests, r.advanceRollback(now)...)
		}
	case RollingBack:
		requests = r.advanceRollback(now)
	case Halted:
		// What is prepared and shall not be committed ends.
		for _, m := range r.members {
			if !m.requestOpen && m.Target.State == change.Prepared {
				requests = r.appendRequest(requests, m, m.Target.Resolve(), false)
			}
		}
	}
	return requests
}

// present are the members of the present wave that are not left out.
func (r *Rollout) currentWave() (members []*Member) {
	for _, m := range r.members {
		if m.Wave == r.Wave && !m.Left {
			members = append(members, m)
		}
	}
	return members
}

// run goes on with the present wave.
func (r *Rollout) advanceWave(now time.Duration) (requests []OutgoingRequest) {
	wave := r.currentWave()
	ended, open := r.countOutcomes(now, wave)
	preparing := false
	for _, m := range wave {
		preparing = preparing || m.Target.State == change.Planned || m.Target.State == change.Preparing
	}
	// Before anything is committed: a document that instances refuse is not brought to the others.
	if v, reason := r.Limits.Evaluate(ended, change.RequestCounts{}, change.RequestCounts{}, 0); v == change.RollBack || v == change.Halt && open == 0 {
		r.haltOrRollBack(now, v, reason)
		return nil
	}
	commit := !preparing || now-r.Since >= stragglerTimeout
	for _, m := range wave {
		if m.requestOpen {
			continue
		}
		q := m.Target.NextRequest(commit)
		if q == change.RequestCommit {
			m.Before, m.Mark = m.observed.Recent, m.observed.Served
		}
		requests = r.appendRequest(requests, m, q, false)
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
		ended.Lost += lost
	}
	before, since := r.requestCounts(wave)
	switch v, reason := r.Limits.Evaluate(ended, before, since, now-r.Baking); v {
	case change.RollBack, change.Halt:
		r.haltOrRollBack(now, v, reason)
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

// count says how the instances of a wave ended, and how many have not. One whose commit was under way when the manager
// before this one ended is asked first: that a manager has ended is no failure of the instance.
func (r *Rollout) countOutcomes(now time.Duration, wave []*Member) (c change.WaveOutcome, open int) {
	c.Total = len(wave)
	for _, m := range wave {
		t := &m.Target
		switch {
		case t.State == change.Done && m.observed.Epoch != "" && m.observed.Epoch != t.Epoch && r.Baking > 0:
			c.Refused++ // the process that applied it has ended, while it was watched
		case t.State == change.Done:
		case t.State == change.PartlyDone || t.State == change.NotDone && t.Refused:
			c.Refused++
		case t.State == change.Unknown && m.commitUnresolved && now-r.firstAdvance < unobservedTimeout:
			open++
		case t.State.Final():
			c.Lost++
		default:
			open++
		}
	}
	return c, open
}

// unwatched counts those that have applied the change and have not been seen since all had.
func (r *Rollout) countUnobserved(wave []*Member) (n int) {
	for _, m := range wave {
		if m.Target.State == change.Done && (m.observedAt < r.Baking || m.observed.Epoch == "") {
			n++
		}
	}
	return n
}

// served sums up what a wave's instances served before the change and since.
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

// stop ends the bringing out.
func (r *Rollout) haltOrRollBack(now time.Duration, v change.Verdict, reason string) {
	r.headerUnsaved, r.Reason = true, fmt.Sprintf("wave %d: %s", r.Wave+1, reason)
	if v == change.Halt {
		r.Status, r.Ended = Halted, now
		return
	}
	r.beginRollback()
}

// rollback begins to take back. Whoever was never sent a commit has nothing to be taken back.
func (r *Rollout) beginRollback() {
	r.Status, r.Ended, r.headerUnsaved = RollingBack, 0, true
}

// back goes on with taking back.
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
			if m.observed.Epoch != "" && m.observed.Epoch != t.Epoch { // the process that had it is gone, and with it the change
				if m.observed.Hash != r.Document && !m.observed.Mixed { // nor was it brought there again
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

// current is the change on an instance that requests are about now.
func (m *Member) activeTarget() *change.Target {
	if m.Backing {
		return &m.Back
	}
	return &m.Target
}

// Summary counts the instances by what is known of them.
type Summary struct {
	Applied   int `json:"applied"`
	Unchanged int `json:"unchanged"`
	Partly    int `json:"partly"`
	Unknown   int `json:"unknown"`
	Waiting   int `json:"waiting"` // their turn has not come, or they are being asked
	Back      int `json:"taken_back"`
	Ended     int `json:"ended"` // the process that had applied it has ended: there was nothing to take back
}

// Summary counts the instances.
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
