package duties

import (
	"slices"
	"time"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/usage"
)

const (
	// AcquireStagger is the period over which the nodes spread their requests for a free part.
	AcquireStagger = 600 * time.Millisecond
	// quietMargin is added to the lease duration for which a node makes no calls after its start, or
	// after its last call under an earlier fencing token.
	quietMargin = 500 * time.Millisecond
	// sendReserve is the time before a report is due at which it is made final at the latest, even
	// if counts are missing. An agent that is cut off gets as much time as possible to deliver its
	// counts.
	sendReserve = 2500 * time.Millisecond
	// termFraction is the term of a holder's lease as a fraction of the platform's lease duration.
	// The shorter the term, the sooner a part that has lost its holder gets a new one.
	termFraction = 2.0 / 3
	// minCallTime is the remaining lease time that is needed to start a call.
	minCallTime = 300 * time.Millisecond

	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Bounds are the limits that the platform's rules set for a Holder.
type Bounds struct {
	Lease        time.Duration // a duty must not move to another node and back within this time
	WindowLength time.Duration // length of the period that one usage report covers
	DueAfter     time.Duration // time from the end of a window until its report is due
}

// View is a node's current information about the agents and their counts.
type View struct {
	Time           time.Duration // agreed mesh time, since the Unix epoch
	Cordoned       bool          // for maintenance; another node should hold the part
	Connected      bool          // more than half of the known agents are connected to this node
	Window         int64         // the next window to make final; 0 if there is none
	Complete       bool          // all connected agents have closed the window
	LostIncomplete bool          // an agent that was lost without deregistering has not closed the window
	Counts         map[string]uint64
}

// Call is a report to send to the platform before Deadline, a time of the holder's clock.
type Call struct {
	Fence    uint64
	Deadline time.Duration
	Report   *usage.Report
}

// Result is the outcome of a Call.
type Result uint8

// Outcomes of a call.
const (
	CallAccepted Result = iota
	CallFenced          // the platform has seen a higher fencing token
	CallUnknown         // no response, or one that does not tell whether the report was accepted
)

// Request is a command to propose. Its reply goes to Holder.HandleReply, with the same number.
type Request struct {
	Number  uint64
	Command *Command
}

// Actions are the requests and the call that a Holder wants to be carried out.
type Actions struct {
	Requests []Request
	Call     *Call // nil if there is none
}

// Holder decides on one node about the duty UsageReport. It requests the lease, and while it holds
// the lease it makes the report of each ended window final and has it sent until the platform
// accepts it. It does no I/O. Its clock is monotonic, starts with the process and may drift.
//
// It calls the platform only while its lease is valid by its own clock, and never with a fencing
// token that the platform has refused. It also makes no call within a lease duration of its last
// call under an earlier token, or of its start. A duty therefore never moves to another node and
// back within a lease duration.
type Holder struct {
	bounds Bounds
	node   string
	lease  lease.Holder

	lastRequest       uint64         // number of the latest Request
	leaseRequest      uint64         // number of the latest Request for the lease
	leaseTurn         uint64         // lease.Request.Number of that request
	finalizeRequest   uint64         // number of the pending FinalizeReport request; 0 if there is none
	inFlight          *Call          // nil if there is none
	accepted          map[int64]bool // accepted windows, open in the table; true: ReportAccepted is requested
	lastCallEpoch     uint64         // token of the latest call to the platform
	lastCallAt        time.Duration  // time of that call
	quietUntil        time.Duration  // no calls before this time
	refusedEpoch      uint64         // token that the platform has refused; 0 if none
	retryDelay        time.Duration  // delay after the next failed call
	nextCallAt        time.Duration  // earliest time of the next call
	disconnectedSince time.Duration  // since when too few agents are connected; 0 if enough are
}

// NewHolder returns the Holder of a node's process. The process name must never have been used by
// another process.
func NewHolder(node, process string, bounds Bounds) *Holder {
	term := min(max(time.Duration(termFraction*float64(bounds.Lease)), lease.MinTerm), lease.MaxTerm)
	return &Holder{bounds: bounds, node: node, retryDelay: minRetryDelay, accepted: map[int64]bool{},
		lease: lease.Holder{Duty: UsageReport, Name: process, Term: term, NoRest: true}}
}

// HeldEpoch returns the epoch under which this process holds the part, or 0 if it does not.
func (h *Holder) HeldEpoch(now time.Duration) uint64 {
	epoch, _, _ := h.lease.Holds(now)
	return epoch
}

// CallInFlight reports whether a call to the platform is in progress.
func (h *Holder) CallInFlight() bool { return h.inFlight != nil }

// NeedsView reports whether the next Tick uses its view.
func (h *Holder) NeedsView(now time.Duration, table *Table) bool {
	return h.HeldEpoch(now) != 0 || table.isFree()
}

// isFree reports whether the part has no holder.
func (t *Table) isFree() bool {
	d := t.Leases.Duties[UsageReport]
	return d == nil || d.Holder == ""
}

// isReservedFor reports whether the part is being handed over to a process.
func (t *Table) isReservedFor(process string) bool {
	d := t.Leases.Duties[UsageReport]
	return d != nil && d.To != "" && lease.MatchesHolder(d.To, process)
}

// Tick returns the actions that are due. The view may be empty if NeedsView returned false.
func (h *Holder) Tick(now time.Duration, table *Table, view *View) (actions Actions) {
	// An earlier process on this node may have called the platform shortly before this one started.
	eligible := view.Connected && !view.Cordoned && now > h.bounds.Lease+quietMargin
	acquireDelay := lease.AcquireDelay(UsageReport, h.node, 1, AcquireStagger)
	if table.isReservedFor(h.lease.Name) {
		acquireDelay = 0 // the reservation lasts one term, hardly longer than the usual delay
	}
	if request := h.lease.Tick(now, table.isFree() && eligible, acquireDelay); request != nil {
		h.addLeaseRequest(&actions, request)
	}
	epoch, deadline, held := h.lease.Holds(now)
	if !held {
		return actions
	}
	if h.shouldRelease(now, epoch, view) {
		if h.inFlight == nil && h.finalizeRequest == 0 { // otherwise a later tick releases the part
			h.Release(now, &actions)
		}
		return actions
	}
	if epoch != h.lastCallEpoch && h.lastCallEpoch != 0 {
		h.quietUntil = h.lastCallAt + h.bounds.Lease + quietMargin
	}
	h.confirmAccepted(&actions, table)
	h.finalizeNext(&actions, epoch, view)
	if report := h.nextReport(now, deadline, table, view); report != nil {
		h.inFlight = &Call{Fence: epoch, Deadline: deadline, Report: report}
		h.lastCallAt, h.lastCallEpoch = now, epoch
		actions.Call = h.inFlight
	}
	return actions
}

func (h *Holder) addRequest(actions *Actions, command *Command) uint64 {
	h.lastRequest++
	actions.Requests = append(actions.Requests, Request{h.lastRequest, command})
	return h.lastRequest
}

func (h *Holder) addLeaseRequest(actions *Actions, request *lease.Request) {
	h.leaseTurn = request.Number
	h.leaseRequest = h.addRequest(actions, &Command{Lease: &request.Op})
}

// Release gives the part back if it is held. No call may be in flight.
func (h *Holder) Release(now time.Duration, actions *Actions) {
	if request := h.lease.Release(now, "", nil); request != nil {
		h.addLeaseRequest(actions, request)
	}
}

// shouldRelease reports whether the part should be given back.
func (h *Holder) shouldRelease(now time.Duration, epoch uint64, view *View) bool {
	switch {
	case view.Connected:
		h.disconnectedSince = 0
	case h.disconnectedSince == 0:
		h.disconnectedSince = now
	}
	return view.Cordoned || epoch == h.refusedEpoch || h.lease.ReleaseReason() != "" || h.disconnectedSince != 0 && now-h.disconnectedSince > h.bounds.Lease
}

// confirmAccepted requests ReportAccepted for the reports that the platform has accepted.
func (h *Holder) confirmAccepted(actions *Actions, table *Table) {
	for window, requested := range h.accepted {
		switch {
		case !slices.ContainsFunc(table.Usage.Open, func(r *usage.Report) bool { return r.Window == window }):
			delete(h.accepted, window)
		case !requested:
			h.accepted[window] = true
			h.addRequest(actions, &Command{Taken: &ReportAccepted{window}})
		}
	}
}

// finalizeNext makes the report of the oldest ended window final once its counts are complete or
// the time for them has run out.
func (h *Holder) finalizeNext(actions *Actions, epoch uint64, view *View) {
	sinceEnd := view.Time - meshtime.WindowEnd(view.Window, h.bounds.WindowLength)
	switch {
	case h.finalizeRequest != 0 || view.Window == 0 || sinceEnd < 0:
		return
	case !view.Complete && sinceEnd < h.bounds.DueAfter/2 || view.LostIncomplete && sinceEnd < h.bounds.DueAfter-sendReserve:
		return
	}
	report := &usage.Report{Window: view.Window, Counts: view.Counts}
	h.finalizeRequest = h.addRequest(actions, &Command{Fix: &FinalizeReport{Holder: h.lease.Name, Epoch: epoch, Report: report}})
}

// nextReport returns the report to send now, or nil if there is none.
func (h *Holder) nextReport(now, deadline time.Duration, table *Table, view *View) *usage.Report {
	if h.inFlight != nil || now < h.nextCallAt || now < h.quietUntil || deadline-now < minCallTime {
		return nil
	}
	open := slices.Clone(table.Usage.Open)
	open = slices.DeleteFunc(open, func(r *usage.Report) bool { _, accepted := h.accepted[r.Window]; return accepted })
	return mostUrgent(open, view.Time-h.bounds.DueAfter, h.bounds.WindowLength)
}

// mostUrgent returns the report that is due first. If all are overdue, it returns the newest. A
// report is overdue if its window ended before the cutoff.
func mostUrgent(open []*usage.Report, cutoff, windowLength time.Duration) *usage.Report {
	i := slices.IndexFunc(open, func(r *usage.Report) bool { return meshtime.WindowEnd(r.Window, windowLength) >= cutoff })
	switch {
	case i >= 0:
		return open[i]
	case len(open) > 0:
		return open[len(open)-1]
	}
	return nil
}

// HandleReply handles the reply to a Request. The reply is nil if the outcome is unknown.
func (h *Holder) HandleReply(now time.Duration, number uint64, reply *Reply) {
	switch {
	case number == h.finalizeRequest:
		h.finalizeRequest = 0
	case reply == nil:
		for window := range h.accepted {
			h.accepted[window] = false // request it again; a repeated ReportAccepted is refused without harm
		}
	case number == h.leaseRequest:
		h.lease.HandleAnswer(now, h.leaseTurn, reply.Lease)
	}
}

// HandleResult handles the outcome of a call. If retryAfter is not 0, the platform asked for a
// pause of that length.
func (h *Holder) HandleResult(now time.Duration, result Result, retryAfter time.Duration) {
	call := h.inFlight
	h.inFlight = nil
	switch result {
	case CallAccepted:
		h.accepted[call.Report.Window] = false
		h.retryDelay, h.nextCallAt = minRetryDelay, now
		return
	case CallFenced:
		h.refusedEpoch = call.Fence
	}
	h.nextCallAt = now + max(retryAfter, h.retryDelay)
	h.retryDelay = min(2*h.retryDelay, maxRetryDelay)
}
