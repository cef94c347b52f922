// Package maintenance is what the core machines agree on about windows of planned work, and the
// decisions about them. It does no I/O and has no clock.
//
// A Window names zones, or some machines, and when work on them begins and ends. Before it begins
// the machines are taken out of use in Steps, and after it ends they are put back in the same steps
// in reverse. Each step is a cordon of the configuration, so all agents get it as they get any
// change. A Table is the agreed state; it changes by Commands that all core machines carry out in the
// same order. Decide, at the machine that leads, says which Command is due.
//
// What is promised:
//
//   - Windows that are not over do not overlap: at most one has machines out of use at a time.
//   - A window goes on only while what stays in use bears the load, by the forecast of the machine
//     that leads; it says so if it waits.
//   - Once its end has come its machines are put back, whoever leads, unless none does.
//   - A command that comes twice, or late, changes nothing a second time.
package maintenance

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
)

const (
	// MostWindows are kept, with those that are over; of these the oldest go first.
	MaxWindows = 64
	// MinLead and MaxLead bound the time before its start in which machines are taken out of use.
	MinLead = 3 * time.Second
	MaxLead = time.Hour
	// MaxLength is the longest that a window lasts.
	MaxDuration = 7 * 24 * time.Hour

	maxText = 200 // bytes of who plans a window, and why
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Phase is how far a window is.
type Phase string

// The phases.
const (
	PhasePlanned   Phase = "planned"
	PhaseDraining  Phase = "moving" // machines are being taken out of use
	PhaseClosed    Phase = "closed" // all of them are
	PhaseReturning Phase = "returning"
	PhaseOver      Phase = "over"
)

// Window is one of planned work. Times are of the mesh, since the start of 1970.
type Window struct {
	Name  string        `json:"name"`
	Zones []string      `json:"zones,omitempty"` // whole zones, or
	Nodes []string      `json:"nodes,omitempty"` // the ips of machines
	Start time.Duration `json:"start"`           // work begins
	End   time.Duration `json:"end"`
	Lead  time.Duration `json:"lead"` // before Start, in which machines are taken out of use
	By    string        `json:"by,omitempty"`
	Why   string        `json:"why,omitempty"`

	Phase   Phase         `json:"phase"`
	Step    int           `json:"step"`             // of Steps, that is in force
	Stepped time.Duration `json:"stepped"`          // when it was put in force
	Clear   bool          `json:"clear"`            // nothing is left on its machines
	Waits   string        `json:"waits,omitempty"`  // why it does not go on
	Ended   string        `json:"ended,omitempty"`  // how, once it is to return: its time is over, by hand, cancelled
	Changed uint64        `json:"changed"`          // index of the log, of the last change
	Begun   bool          `json:"begun,omitempty"`  // by hand, before its time
	Forced  bool          `json:"forced,omitempty"` // it was planned although what stays does not bear the load
}

// step is a state between all in use and none.
type step struct {
	stage meshconfig.Stage
	part  float64
}

// steps are gone through one after the other. What lasts long goes first, then new clients, then
// calls; the last one closes the gates.
var steps = [...]step{
	{meshconfig.StageOpen, 1},
	{meshconfig.StageUploads, 1},
	{meshconfig.StageClients, 0.25}, {meshconfig.StageClients, 0.5}, {meshconfig.StageClients, 0.75}, {meshconfig.StageClients, 1},
	{meshconfig.StageCalls, 0.25}, {meshconfig.StageCalls, 0.5}, {meshconfig.StageCalls, 0.75}, {meshconfig.StageCalls, 1},
	{meshconfig.StageClosed, 1},
}

// LastStep is the one at which all machines of a window are out of use.
const LastStep = len(steps) - 1

// pace is how long a step lasts. One step's time is left before the start.
func (w *Window) pace() time.Duration { return w.Lead / time.Duration(LastStep+1) }

// same says whether two people ask for the same window.
func (w *Window) same(as *Window) bool {
	return slices.Equal(w.Zones, as.Zones) && slices.Equal(w.Nodes, as.Nodes) && w.Start == as.Start && w.End == as.End && w.Lead == as.Lead
}

// overlaps says whether two windows may have machines out of use at one time.
func (w *Window) overlaps(other *Window) bool {
	return w.Start-w.Lead < other.End+other.Lead && other.Start-other.Lead < w.End+w.Lead
}

// cordon is what the configuration holds for the window now, if anything.
func (w *Window) cordon() (meshconfig.Cordon, bool) {
	now := steps[w.Step]
	return meshconfig.Cordon{Zones: w.Zones, Nodes: w.Nodes, Stage: now.stage, Part: now.part}, w.Step > 0
}

// Covers says whether a machine is one of the window's.
func (w *Window) Covers(zone, node string) bool {
	return slices.Contains(w.Zones, zone) || slices.Contains(w.Nodes, node)
}

// Check says what is wrong with a window that is asked for, whatever else there is. Now is the time
// at which it is asked for.
func (w *Window) Validate(now time.Duration) error {
	wrong := func(field, format string, args ...any) error {
		return &meshconfig.InvalidError{Field: field, Problem: fmt.Sprintf(format, args...)}
	}
	switch {
	case !namePattern.MatchString(w.Name):
		return wrong("name", "1 to 63 lower case letters, digits, dots and hyphens, not %.70q", w.Name)
	case (len(w.Zones) == 0) == (len(w.Nodes) == 0):
		return wrong("zones", "name zones or nodes, and not both")
	case len(w.Zones) > meshconfig.MaxZones:
		return wrong("zones", "there are %d, at most %d", len(w.Zones), meshconfig.MaxZones)
	case len(w.Nodes) > meshconfig.MaxCordonNodes:
		return wrong("nodes", "there are %d, at most %d", len(w.Nodes), meshconfig.MaxCordonNodes)
	case w.Lead < MinLead || w.Lead > MaxLead:
		return wrong("lead", "%v is not from %v to %v", w.Lead, MinLead, MaxLead)
	case w.Start <= now:
		return wrong("start", "it was %v ago", (now - w.Start).Round(time.Second))
	case w.Start-w.Lead < now:
		return wrong("start", "it is in %v, and lead asks for %v before it", (w.Start - now).Round(time.Millisecond), w.Lead)
	case w.End <= w.Start:
		return wrong("end", "it is not after start")
	case w.End-w.Start > MaxDuration:
		return wrong("end", "%v after start, at most %v", w.End-w.Start, MaxDuration)
	case len(w.By) > maxText || len(w.Why) > maxText:
		return wrong("by, why", "at most %d bytes", maxText)
	}
	return nil
}
