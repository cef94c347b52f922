package duties

import (
	"slices"
	"time"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/usage"
)

const (
	// PatienceTerm is the time within which one machine after the other asks for a free part.
	AcquireStagger = 600 * time.Millisecond
	// actMargin is by how much longer than a lease a machine that held a part before stays quiet.
	actMargin = 500 * time.Millisecond
	// sendRoom is how long before it is due a report is fixed at the latest, whoever's counts are missing:
	// for what an agent counts that is cut off is waited as long as it can be.
	sendRoom = 2500 * time.Millisecond
	// termPart of the lease that the platform's rule names is the term of the holder's own: the shorter
	// it is, the sooner a part that has lost its holder has another.
	termPart = 2.0 / 3
	// callRoom is how much of a lease must be left for a call.
	callRoom = 300 * time.Millisecond

	firstRetry = 250 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Bounds are the figures of the rules that a Holder goes by.
type Bounds struct {
	Lease        time.Duration // within which a duty may not go to another machine and back
	WindowLength time.Duration // that a usage report is about
	DueAfter     time.Duration // after a window's end, until its report is due
}

// View is what a machine sees of agents and their counts.
type View struct {
	Time           time.Duration // of the mesh, since the start of 1970
	Cordoned       bool          // this machine is taken out of use: another is to hold the part
	Connected      bool          // over half of the agents that are known are heard here
	Window         int64         // to be fixed next; 0: there is none
	Complete       bool          // all agents that are heard have closed it
	LostIncomplete bool          // an agent that is lost, and had not said that it leaves, has not
	Counts         map[string]uint64
}

// Call is a report to be sent to the platform under a fence, before a time of the holder's clock.
type Call struct {
	Fence    uint64
	Deadline time.Duration
	Report   *usage.Report
}

// Result is what a call has come to.
type Result uint8

// The results.
const (
	CallAccepted Result = iota
	CallFenced          // the platform has seen a higher fence
	CallUnknown         // no answer, or none that tells
)

// Ask is a command that is to be agreed on. What comes of it goes to Replied with its number.
type Request struct {
	Number  uint64
	Command *Command
}

// Todo is what a step leads to.
type Actions struct {
	Requests []Request
	Call     *Call // nil: none
}

// Holder is a machine's side of the usage report: it asks for the part, and while it holds it fixes
// the report of each window that has ended, and has it sent until the platform has it. It does no I/O;
// its clock is monotonic, begins with its process, and may drift.
//
// It calls the platform only while its lease lasts by its own clock, never under a fence that the
// platform has refused, and not within a lease of its last call under an earlier fence, nor of its
// start: no duty goes to another machine and back within a lease.
type Holder struct {
	bounds Bounds
	node   string
	lease  lease.Holder

	last     uint64         // number of an Ask
	asked    uint64         // number of the Ask for the lease
	turn     uint64         // of the lease, that it asked
	fixing   uint64         // number of the Ask that fixes a report; 0: none is out
	calling  *Call          // that is out
	taken    map[int64]bool // windows that the platform has, which the table still shows as open
	actEpoch uint64         // under which the platform was called last
	acted    time.Duration  // when
	quiet    time.Duration  // nothing is called before
	refused  uint64         // epoch that the platform has refused
	retry    time.Duration  // pause after the next failure
	next     time.Duration  // when the platform may be called again
	apart    time.Duration  // since when too few agents are heard
}

// NewHolder returns a Holder of a machine's process, whose name no other process has ever had.
func NewHolder(node, process string, b Bounds) *Holder {
	term := min(max(time.Duration(termPart*float64(b.Lease)), lease.MinTerm), lease.MaxTerm)
	return &Holder{bounds: b, node: node, retry: firstRetry, taken: map[int64]bool{},
		lease: lease.Holder{Duty: UsageReport, Name: process, Term: term, NoRest: true}}
}

// Holds is the epoch under which the part is held; 0: it is not.
func (h *Holder) HeldEpoch(now time.Duration) uint64 {
	epoch, _, _ := h.lease.Holds(now)
	return epoch
}

// Calling says whether a call is out.
func (h *Holder) CallInFlight() bool { return h.calling != nil }

// NeedsView says whether Step goes by a view now.
func (h *Holder) NeedsView(now time.Duration, table *Table) bool {
	return h.HeldEpoch(now) != 0 || table.isFree()
}

// isFree says whether nobody holds the part.
func (t *Table) isFree() bool {
	d := t.Leases.Duties[UsageReport]
	return d == nil || d.Holder == ""
}

// isHandedTo says whether the part is kept for a process.
func (t *Table) isHandedTo(process string) bool {
	d := t.Leases.Duties[UsageReport]
	return d != nil && d.To != "" && lease.Meant(d.To, process)
}

// Step goes on by what is known. The view may be empty where NeedsView says so.
func (h *Holder) Tick(now time.Duration, table *Table, view *View) (todo Actions) {
	// Danger: this machine may have called the platform before its process started.
	able := view.Connected && !view.Cordoned && now > h.bounds.Lease+actMargin
	patience := lease.Patience(UsageReport, h.node, 1, AcquireStagger)
	if table.isHandedTo(h.lease.Name) {
		patience = 0 // it is kept for this machine for a term, which may be little longer than its patience
	}
	if ask := h.lease.Step(now, table.isFree() && able, patience); ask != nil {
		h.askLease(&todo, ask)
	}
	epoch, until, holds := h.lease.Holds(now)
	if !holds {
		return todo
	}
	if h.unwanted(now, epoch, view) {
		if h.calling == nil && h.fixing == 0 { // else the next step does
			h.Release(now, &todo)
		}
		return todo
	}
	if epoch != h.actEpoch && h.actEpoch != 0 {
		h.quiet = h.acted + h.bounds.Lease + actMargin
	}
	h.settle(&todo, table)
	h.fix(&todo, epoch, view)
	if r := h.due(now, until, table, view); r != nil {
		h.calling = &Call{Fence: epoch, Deadline: until, Report: r}
		h.acted, h.actEpoch = now, epoch
		todo.Call = h.calling
	}
	return todo
}

func (h *Holder) ask(todo *Actions, c *Command) uint64 {
	h.last++
	todo.Requests = append(todo.Requests, Request{h.last, c})
	return h.last
}

func (h *Holder) askLease(todo *Actions, ask *lease.Ask) {
	h.turn = ask.Turn
	h.asked = h.ask(todo, &Command{Lease: &ask.Op})
}

// LetGo gives the part back, if it is held. Calls must have ended.
func (h *Holder) Release(now time.Duration, todo *Actions) {
	if ask := h.lease.LetGo(now, "", nil); ask != nil {
		h.askLease(todo, ask)
	}
}

// unwanted says whether the part is to be given up.
func (h *Holder) unwanted(now time.Duration, epoch uint64, view *View) bool {
	switch {
	case view.Connected:
		h.apart = 0
	case h.apart == 0:
		h.apart = now
	}
	return view.Cordoned || epoch == h.refused || h.lease.Wanted() != "" || h.apart != 0 && now-h.apart > h.bounds.Lease
}

// settle has reports noted as taken that the platform has.
func (h *Holder) settle(todo *Actions, table *Table) {
	for window, asked := range h.taken {
		switch {
		case !slices.ContainsFunc(table.Usage.Open, func(r *usage.Report) bool { return r.Window == window }):
			delete(h.taken, window)
		case !asked:
			h.taken[window] = true
			h.ask(todo, &Command{Taken: &ReportAccepted{window}})
		}
	}
}

// fix makes the report of the oldest window final that has ended, once its counts are there.
func (h *Holder) fix(todo *Actions, epoch uint64, view *View) {
	over := view.Time - meshtime.WindowEnd(view.Window, h.bounds.WindowLength)
	switch {
	case h.fixing != 0 || view.Window == 0 || over < 0:
		return
	case !view.Complete && over < h.bounds.DueAfter/2 || view.LostIncomplete && over < h.bounds.DueAfter-sendRoom:
		return
	}
	report := &usage.Report{Window: view.Window, Counts: view.Counts}
	h.fixing = h.ask(todo, &Command{Fix: &FinalizeReport{Holder: h.lease.Name, Epoch: epoch, Report: report}})
}

// due is the report that is to be sent now, nil if there is none.
func (h *Holder) due(now, until time.Duration, table *Table, view *View) *usage.Report {
	if h.calling != nil || now < h.next || now < h.quiet || until-now < callRoom {
		return nil
	}
	open := slices.Clone(table.Usage.Open)
	open = slices.DeleteFunc(open, func(r *usage.Report) bool { _, has := h.taken[r.Window]; return has })
	return mostUrgent(open, view.Time-h.bounds.DueAfter, h.bounds.WindowLength)
}

// mostUrgent is the report that is due first, or, of those that are overdue, the newest. Overdue are
// windows that ended before a time.
func mostUrgent(open []*usage.Report, before, length time.Duration) *usage.Report {
	i := slices.IndexFunc(open, func(r *usage.Report) bool { return meshtime.WindowEnd(r.Window, length) >= before })
	switch {
	case i >= 0:
		return open[i]
	case len(open) > 0:
		return open[len(open)-1]
	}
	return nil
}

// Replied takes in what an Ask has come to; nil: that is not known.
func (h *Holder) HandleReply(now time.Duration, number uint64, reply *Reply) {
	switch {
	case number == h.fixing:
		h.fixing = 0
	case reply == nil:
		for window := range h.taken {
			h.taken[window] = false // to be asked again: a second time it is refused, which harms nothing
		}
	case number == h.asked:
		h.lease.Answered(now, h.turn, reply.Lease)
	}
}

// Called takes in what the call has come to. After is when the platform wants to be called again, 0 if
// it did not say.
func (h *Holder) HandleResult(now time.Duration, result Result, after time.Duration) {
	call := h.calling
	h.calling = nil
	switch result {
	case CallAccepted:
		h.taken[call.Report.Window] = false
		h.retry, h.next = firstRetry, now
		return
	case CallFenced:
		h.refused = call.Fence
	}
	h.next = now + max(after, h.retry)
	h.retry = min(2*h.retry, lastRetry)
}
