// Package maintenance holds the replicated state of maintenance windows, and the decisions about
// them. It does no I/O and has no clock.
//
// A Window names zones or individual machines, and the time at which work on them begins and ends.
// Before it begins the machines are taken out of service in steps, and after it ends they return in
// the reverse order of these steps. Each step is a cordon in the configuration, so agents receive
// it like any other change. A Table is the replicated state. It changes by Commands that all
// control-plane nodes apply in the same order. On the leader, Decide determines the Command that is
// due.
//
// Guarantees:
//
//   - Windows that are not over don't overlap: at most one has machines out of service at a time.
//   - A window progresses only while the remaining backends can bear the load, by the leader's
//     forecast. Otherwise it is blocked and states the reason.
//   - After its end the window's machines return to service, whichever node leads, unless there is
//     no leader.
//   - A command that arrives late or twice has no further effect.
package maintenance

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
)

const (
	// MaxWindows limits the number of windows that are kept. Of those that are over, the oldest are
	// dropped first.
	MaxWindows = 64
	// MinLead and MaxLead bound the lead time, in which machines are drained before a window's
	// start.
	MinLead = 3 * time.Second
	MaxLead = time.Hour
	// MaxDuration is the longest duration of a window.
	MaxDuration = 7 * 24 * time.Hour

	maxTextBytes = 200 // limit for each of By and Why
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Phase is the progress of a window.
type Phase string

// Phases of a window.
const (
	PhasePlanned   Phase = "planned"
	PhaseDraining  Phase = "moving"    // machines are being taken out of service
	PhaseClosed    Phase = "closed"    // all of its machines are out of service
	PhaseReturning Phase = "returning" // machines are returning to service
	PhaseOver      Phase = "over"
)

// Window is a maintenance window. Times are agreed mesh times, since the Unix epoch.
type Window struct {
	Name  string        `json:"name"`
	Zones []string      `json:"zones,omitempty"` // complete zones; empty if Nodes is set
	Nodes []string      `json:"nodes,omitempty"` // IPs of individual machines
	Start time.Duration `json:"start"`           // planned start of the work
	End   time.Duration `json:"end"`
	Lead  time.Duration `json:"lead"` // time before Start in which machines are drained
	By    string        `json:"by,omitempty"`
	Why   string        `json:"why,omitempty"`

	Phase   Phase         `json:"phase"`
	Step    int           `json:"step"`             // index of the current step in steps
	Stepped time.Duration `json:"stepped"`          // when the current step began
	Clear   bool          `json:"clear"`            // its machines are idle, so work may begin
	Waits   string        `json:"waits,omitempty"`  // why it does not progress; empty if it does
	Ended   string        `json:"ended,omitempty"`  // why it is over or returns to service
	Changed uint64        `json:"changed"`          // log index of the last change
	Begun   bool          `json:"begun,omitempty"`  // started by an operator, before its time
	Forced  bool          `json:"forced,omitempty"` // the forecast is ignored, as requested
}

// step is one of the states between fully in service and out of service.
type step struct {
	stage meshconfig.Stage
	part  float64 // fraction of the machines that have reached the stage
}

// steps are the states in the order in which a window goes through them. Long transfers are moved
// away first, then new clients, then calls. The last step closes the gates.
var steps = [...]step{
	{meshconfig.StageOpen, 1},
	{meshconfig.StageUploads, 1},
	{meshconfig.StageClients, 0.25}, {meshconfig.StageClients, 0.5}, {meshconfig.StageClients, 0.75}, {meshconfig.StageClients, 1},
	{meshconfig.StageCalls, 0.25}, {meshconfig.StageCalls, 0.5}, {meshconfig.StageCalls, 0.75}, {meshconfig.StageCalls, 1},
	{meshconfig.StageClosed, 1},
}

// LastStep is the step at which all machines of a window are out of service.
const LastStep = len(steps) - 1

// stepDuration returns how long a step lasts. The time of one step is left before the start.
func (w *Window) stepDuration() time.Duration { return w.Lead / time.Duration(LastStep+1) }

// sameRequest reports whether both windows were requested for the same machines and times.
func (w *Window) sameRequest(other *Window) bool {
	return slices.Equal(w.Zones, other.Zones) && slices.Equal(w.Nodes, other.Nodes) && w.Start == other.Start && w.End == other.End && w.Lead == other.Lead
}

// overlaps reports whether both windows may have machines out of service at the same time.
func (w *Window) overlaps(other *Window) bool {
	return w.Start-w.Lead < other.End+other.Lead && other.Start-other.Lead < w.End+w.Lead
}

// cordon returns the window's current cordon, and false if it has none.
func (w *Window) cordon() (meshconfig.Cordon, bool) {
	current := steps[w.Step]
	return meshconfig.Cordon{Zones: w.Zones, Nodes: w.Nodes, Stage: current.stage, Part: current.part}, w.Step > 0
}

// Covers reports whether a machine belongs to the window.
func (w *Window) Covers(zone, node string) bool {
	return slices.Contains(w.Zones, zone) || slices.Contains(w.Nodes, node)
}

// Validate checks a requested window on its own. Now is the time of the request. Errors are of type
// *meshconfig.Invalid.
func (w *Window) Validate(now time.Duration) error {
	invalid := func(field, format string, args ...any) error {
		return &meshconfig.InvalidError{Field: field, Problem: fmt.Sprintf(format, args...)}
	}
	switch {
	case !namePattern.MatchString(w.Name):
		return invalid("name", "must be 1 to 63 lower-case letters, digits, dots and hyphens, not %.70q", w.Name)
	case (len(w.Zones) == 0) == (len(w.Nodes) == 0):
		return invalid("zones", "give either zones or nodes")
	case len(w.Zones) > meshconfig.MaxZones:
		return invalid("zones", "%d zones, at most %d are allowed", len(w.Zones), meshconfig.MaxZones)
	case len(w.Nodes) > meshconfig.MaxCordonNodes:
		return invalid("nodes", "%d nodes, at most %d are allowed", len(w.Nodes), meshconfig.MaxCordonNodes)
	case w.Lead < MinLead || w.Lead > MaxLead:
		return invalid("lead", "%v is not between %v and %v", w.Lead, MinLead, MaxLead)
	case w.Start <= now:
		return invalid("start", "%v in the past", (now - w.Start).Round(time.Second))
	case w.Start-w.Lead < now:
		return invalid("start", "it is in %v, but lead needs %v before it", (w.Start - now).Round(time.Millisecond), w.Lead)
	case w.End <= w.Start:
		return invalid("end", "must be after start")
	case w.End-w.Start > MaxDuration:
		return invalid("end", "%v after start, at most %v is allowed", w.End-w.Start, MaxDuration)
	case len(w.By) > maxTextBytes || len(w.Why) > maxTextBytes:
		return invalid("by, why", "at most %d bytes each", maxTextBytes)
	}
	return nil
}
