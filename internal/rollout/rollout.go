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
const stragglers = 2 * time.Second

// unseen is how much longer than its watch a wave waits for instances that have applied the change and then not shown
// themselves, and how long a manager that goes on from a journal waits for those that its predecessor had asked to apply
// it. After that they are lost.
const unseen = 10 * time.Second

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

	asked bool // a request is out
	// restored says that a commit was under way when the manager before this one ended, and that the instance has not
	// said yet what became of it.
	restored bool
	seen     Observation
	seenAt   time.Duration
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
	members []*Member // in the order of their waves
	byName  map[string]*Member
	changed map[*Member]struct{}
	header  bool // has changed

	goneOn time.Duration // when a rollout that was restored first went on; 0 before
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
	r := &Rollout{Header: Header{ID: id, Document: document, Limits: limits, Waves: len(sizes), Begun: now, Since: now}, byName: map[string]*Member{}, changed: map[*Member]struct{}{}, header: true}
	wave := 0
	for i, p := range instances {
		for left := sizes[wave]; left == 0; left = sizes[wave] {
			wave++
		}
		sizes[wave]--
		m := &Member{Name: p.Name, Wave: wave, Was: p.Observation.Hash, Epoch: p.Observation.Epoch, Base: p.Observation.Revision, seen: p.Observation}
		r.members = append(r.members, m)
		r.byName[m.Name] = m
		r.changed[r.members[i]] = struct{}{}
	}
	return r
}

// LeaveOut notes an instance that the rollout is for and goes on without, as it could not be asked when it began.
func (r *Rollout) Exclude(name, why string) {
	m := &Member{Name: name, Wave: max(0, r.Waves-1), Left: true, Target: change.Target{State: change.NotDone, Reason: why}}
	r.members = append(r.members, m)
	r.byName[name] = m
	r.changed[m] = struct{}{}
}

// Restore returns a rollout as a journal has it, after its manager has ended at any point: what it had sent may have
// been answered, or may yet arrive.
func Restore(h Header, members []Member) *Rollout {
	r := &Rollout{Header: h, byName: map[string]*Member{}, changed: map[*Member]struct{}{}}
	for i := range members {
		m := &members[i]
		before, back := m.Target.State, m.Back.State
		m.Target.Resume()
		m.Back.Resume()
		m.restored = m.Target.State == change.Unknown
		if m.Target.State != before || m.Back.State != back {
			r.changed[m] = struct{}{}
		}
		r.members = append(r.members, m)
		r.byName[m.Name] = m
	}
	slices.SortStableFunc(r.members, func(a, b *Member) int { return a.Wave - b.Wave })
	return r
}

// Changed returns what must be in the journal before anything is sent: the header, nil if it is as it was, and members.
func (r *Rollout) Unsaved() (h *Header, members []*Member) {
	if r.header {
		h = &r.Header
	}
	for _, m := range r.members {
		if _, ok := r.changed[m]; ok {
			members = append(members, m)
		}
	}
	return h, members
}

// Written takes in that what Changed returned is in the journal.
func (r *Rollout) MarkSaved() {
	r.header = false
	clear(r.changed)
}

// Members are all instances, in the order of their waves.
func (r *Rollout) Members() []*Member { return r.members }

// Member returns one instance, nil if it is not among them.
func (r *Rollout) Member(name string) *Member { return r.byName[name] }

// Busy says whether the rollout still has to do with an instance, so that nothing else may change it.
func (r *Rollout) Busy(name string) bool {
	m := r.byName[name]
	return m != nil && (!r.Status.Finished() || m.asked)
}

// Waiting says whether requests are out.
func (r *Rollout) HasOpenRequests() bool {
	return slices.ContainsFunc(r.members, func(m *Member) bool { return m.asked })
}

func (r *Rollout) note(m *Member) { r.changed[m] = struct{}{} }

// id is the change's on an instance. One that is begun anew is another: what was aborted stays so.
func (r *Rollout) id(m *Member) string { return fmt.Sprintf("%s/%d", r.ID, m.Try) }

// tryAgain has a change that an instance has not applied begin anew, from the instance as it was last seen.
func (r *Rollout) tryAgain(m *Member) {
	if !m.Target.Loose {
		m.Try++ // what may still be prepared there is the same again
	}
	m.Target, m.Left = change.Target{}, false
	if m.seen.Epoch != "" {
		m.Epoch, m.Base = m.seen.Epoch, m.seen.Revision
	}
	r.note(m)
}

func (r *Rollout) backID(m *Member) string { return fmt.Sprintf("%s/back/%d", r.ID, m.BackTry) }

// send has a request go out, if there is one.
func (r *Rollout) send(out []OutgoingRequest, m *Member, q change.Request, back bool) []OutgoingRequest {
	if q == change.NoRequest {
		return out
	}
	m.asked = true
	r.note(m)
	s := OutgoingRequest{Instance: m.Name, Request: q, ID: r.id(m), Document: r.Document, Base: m.Base}
	if back {
		s.ID, s.Document = r.backID(m), m.Was
	}
	return append(out, s)
}

// Next goes on as far as it can, and returns what is to be sent, after Changed is written.
func (r *Rollout) Advance(now time.Duration) (out []OutgoingRequest) {
	if r.goneOn == 0 {
		r.goneOn = now
	}
	switch r.Status {
	case Running:
		out = r.run(now)
		if r.Status == RollingBack { // just now
			out = append(out, r.back(now)...)
		}
	case RollingBack:
		out = r.back(now)
	case Halted:
		// What is prepared and shall not be committed ends.
		for _, m := range r.members {
			if !m.asked && m.Target.State == change.Prepared {
				out = r.send(out, m, m.Target.Resolve(), false)
			}
		}
	}
	return out
}

// present are the members of the present wave that are not left out.
func (r *Rollout) present() (all []*Member) {
	for _, m := range r.members {
		if m.Wave == r.Wave && !m.Left {
			all = append(all, m)
		}
	}
	return all
}

// run goes on with the present wave.
func (r *Rollout) run(now time.Duration) (out []OutgoingRequest) {
	wave := r.present()
	ended, open := r.count(now, wave)
	waits := false
	for _, m := range wave {
		waits = waits || m.Target.State == change.Planned || m.Target.State == change.Preparing
	}
	// Before anything is committed: a document that instances refuse is not brought to the others.
	if v, why := r.Limits.Evaluate(ended, change.RequestCounts{}, change.RequestCounts{}, 0); v == change.RollBack || v == change.Halt && open == 0 {
		r.stop(now, v, why)
		return nil
	}
	commit := !waits || now-r.Since >= stragglers
	for _, m := range wave {
		if m.asked {
			continue
		}
		q := m.Target.NextRequest(commit)
		if q == change.RequestCommit {
			m.Before, m.Mark = m.seen.Recent, m.seen.Served
		}
		out = r.send(out, m, q, false)
	}
	if open > 0 || len(out) > 0 {
		return out
	}
	if r.Baking == 0 {
		r.Baking, r.header = now, true
	}
	if lost := r.unwatched(wave); lost > 0 {
		if now-r.Baking < r.Limits.Bake+unseen {
			return nil
		}
		ended.Lost += lost
	}
	before, since := r.served(wave)
	switch v, why := r.Limits.Evaluate(ended, before, since, now-r.Baking); v {
	case change.RollBack, change.Halt:
		r.stop(now, v, why)
	case change.NextWave:
		r.header = true
		if r.Wave+1 < r.Waves {
			r.Wave, r.Since, r.Baking = r.Wave+1, now, 0
			return r.run(now)
		}
		r.Status, r.Ended = Completed, now
	}
	return out
}

// count says how the instances of a wave ended, and how many have not. One whose commit was under way when the manager
// before this one ended is asked first: that a manager has ended is no failure of the instance.
func (r *Rollout) count(now time.Duration, wave []*Member) (c change.WaveOutcome, open int) {
	c.Total = len(wave)
	for _, m := range wave {
		t := &m.Target
		switch {
		case t.State == change.Done && m.seen.Epoch != "" && m.seen.Epoch != t.Epoch && r.Baking > 0:
			c.Refused++ // the process that applied it has ended, while it was watched
		case t.State == change.Done:
		case t.State == change.PartlyDone || t.State == change.NotDone && t.Refused:
			c.Refused++
		case t.State == change.Unknown && m.restored && now-r.goneOn < unseen:
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
func (r *Rollout) unwatched(wave []*Member) (n int) {
	for _, m := range wave {
		if m.Target.State == change.Done && (m.seenAt < r.Baking || m.seen.Epoch == "") {
			n++
		}
	}
	return n
}

// served sums up what a wave's instances served before the change and since.
func (r *Rollout) served(wave []*Member) (before, since change.RequestCounts) {
	for _, m := range wave {
		if m.Target.State != change.Done || m.seen.Epoch != m.Target.Epoch {
			continue
		}
		before.Add(m.Before)
		since.Add(m.seen.Served.Sub(m.Mark))
	}
	return before, since
}

// stop ends the bringing out.
func (r *Rollout) stop(now time.Duration, v change.Verdict, why string) {
	r.header, r.Reason = true, fmt.Sprintf("wave %d: %s", r.Wave+1, why)
	if v == change.Halt {
		r.Status, r.Ended = Halted, now
		return
	}
	r.rollback()
}

// rollback begins to take back. Whoever was never sent a commit has nothing to be taken back.
func (r *Rollout) rollback() {
	r.Status, r.Ended, r.header = RollingBack, 0, true
}

// back goes on with taking back.
func (r *Rollout) back(now time.Duration) (out []OutgoingRequest) {
	open := 0
	for _, m := range r.members {
		if m.asked {
			open++
			continue
		}
		t := &m.Target
		switch {
		case t.State == change.Prepared:
			out = r.send(out, m, t.Resolve(), false)
		case !m.Backing && (t.State == change.Done || t.State == change.PartlyDone):
			if m.Ended {
				continue
			}
			base := t.Revision
			if m.seen.Epoch != "" && m.seen.Epoch != t.Epoch { // the process that had it is gone, and with it the change
				if m.seen.Hash != r.Document && !m.seen.Mixed { // nor was it brought there again
					m.Ended = true
					r.note(m)
					continue
				}
				base = m.seen.Revision
			}
			m.Backing, m.Base = true, base
			fallthrough
		case m.Backing:
			out = r.send(out, m, m.Back.NextRequest(true), true)
		}
	}
	if open == 0 && len(out) == 0 {
		r.Status, r.Ended, r.header = RolledBack, now, true
	}
	return out
}

// current is the change on an instance that requests are about now.
func (m *Member) current() *change.Target {
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
