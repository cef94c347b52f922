package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/plaingob"
)

// Command is a change of the Table. Exactly one field besides Now is set. Now is the agreed mesh
// time of the request.
type Command struct {
	Now     time.Duration
	Plan    *Window
	Cancel  string // name of the window
	Begin   string // name of the window
	End     string // name of the window
	Advance *Advance
}

// Advance sets the window's fields Phase, Step, Clear, Waits and Ended to the values given here. It
// is refused if the window has changed since the decision.
type Advance struct {
	Name    string
	Changed uint64 // Window.Changed when this was decided
	Phase   Phase
	Step    int
	Clear   bool
	Waits   string
	Ended   string // empty: unchanged
}

// Reply is the result of a Command.
type Reply struct {
	Refused string // the reason for a refusal; empty if the command was applied
	Field   string // the invalid field, or the window that conflicts
	Invalid bool   // the request is invalid in itself, rather than in conflict with the current state
}

// Table is the replicated state. It is not safe for concurrent use. Windows are immutable: a change
// replaces the window.
type Table struct {
	Windows []*Window `json:"windows"` // in the order of planning
}

// Find returns the window with the given name, or nil.
func (t *Table) Find(name string) *Window {
	for _, w := range t.Windows {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Apply applies the command at the given log index.
func (t *Table) Apply(index uint64, c *Command) Reply {
	switch {
	case c.Plan != nil:
		return t.plan(index, c.Plan, c.Now)
	case c.Cancel != "":
		return t.update(index, c.Cancel, func(w *Window) string { return w.stop("cancelled") })
	case c.End != "":
		return t.update(index, c.End, func(w *Window) string { return w.stop("ended by hand") })
	case c.Begin != "":
		return t.update(index, c.Begin, (*Window).startEarly)
	case c.Advance != nil:
		a := c.Advance
		if other := t.cordonedWindow(); other != nil && other.Name != a.Name && a.Step > 0 {
			return Reply{Refused: fmt.Sprintf("step: window %s has its machines out of service", other.Name), Field: a.Name}
		}
		return t.update(index, a.Name, func(w *Window) string { return w.advance(a, c.Now) })
	}
	return Reply{Refused: "command: it has no content", Invalid: true}
}

// cordonedWindow returns the window that has machines out of service, or nil.
func (t *Table) cordonedWindow() *Window {
	i := slices.IndexFunc(t.Windows, func(w *Window) bool { return w.Step > 0 })
	if i < 0 {
		return nil
	}
	return t.Windows[i]
}

// Current returns the window to work on: the one that has machines out of service, or else the one
// with the earliest start that is not over. It returns nil if there is none.
func (t *Table) Current() *Window {
	current := t.cordonedWindow()
	for _, w := range t.Windows {
		if current == nil && w.Phase != PhaseOver || current != nil && current.Step == 0 && w.Phase != PhaseOver && w.Start < current.Start {
			current = w
		}
	}
	return current
}

func (t *Table) plan(index uint64, requested *Window, now time.Duration) Reply {
	if existing := t.Find(requested.Name); existing != nil {
		if existing.sameRequest(requested) {
			return Reply{} // the call was repeated
		}
		return Reply{Refused: fmt.Sprintf("name: window %s was planned with other content", existing.Name), Field: "name"}
	}
	if err := requested.Validate(now); err != nil {
		invalid := err.(*meshconfig.InvalidError)
		return Reply{Refused: err.Error(), Field: invalid.Field, Invalid: true}
	}
	for _, other := range t.Windows {
		if other.Phase != PhaseOver && requested.overlaps(other) {
			return Reply{Refused: fmt.Sprintf("start: window %s has its machines out of service at that time", other.Name), Field: "start"}
		}
	}
	if !t.makeRoom() {
		return Reply{Refused: fmt.Sprintf("name: there are already %d windows that are not over", MaxWindows), Field: "name"}
	}
	w := *requested
	w.Zones, w.Nodes = slices.Clone(requested.Zones), slices.Clone(requested.Nodes)
	w.Phase, w.Step, w.Stepped, w.Clear, w.Waits, w.Ended, w.Begun, w.Changed = PhasePlanned, 0, 0, false, "", "", false, index
	t.Windows = append(t.Windows, &w)
	return Reply{}
}

// makeRoom drops the oldest window that is over if the table is full, and reports whether there is
// room for another one.
func (t *Table) makeRoom() bool {
	if len(t.Windows) < MaxWindows {
		return true
	}
	i := slices.IndexFunc(t.Windows, func(w *Window) bool { return w.Phase == PhaseOver })
	if i >= 0 {
		t.Windows = slices.Delete(slices.Clone(t.Windows), i, i+1)
	}
	return i >= 0
}

// update replaces a window by a modified copy, unless modify returns the reason for a refusal.
func (t *Table) update(index uint64, name string, modify func(w *Window) string) Reply {
	i := slices.IndexFunc(t.Windows, func(w *Window) bool { return w.Name == name })
	if i < 0 {
		return Reply{Refused: "name: there is no window " + name, Field: "name"}
	}
	next := *t.Windows[i]
	if refused := modify(&next); refused != "" {
		return Reply{Refused: refused, Field: name}
	}
	before := *t.Windows[i]
	if before.sameState(&next) {
		return Reply{}
	}
	next.Changed = index
	t.Windows[i] = &next
	return Reply{}
}

// sameState reports whether none of the fields that commands change are different.
func (w *Window) sameState(other *Window) bool {
	return w.Phase == other.Phase && w.Step == other.Step && w.Clear == other.Clear && w.Waits == other.Waits && w.Ended == other.Ended && w.Begun == other.Begun
}

// stop ends a window early. It has no effect on a window that is returning or over.
func (w *Window) stop(reason string) string {
	switch w.Phase {
	case PhasePlanned:
		w.Phase, w.Ended, w.Waits = PhaseOver, reason, ""
	case PhaseDraining, PhaseClosed:
		w.Phase, w.Ended, w.Waits, w.Clear = PhaseReturning, reason, "", false
	}
	return ""
}

// startEarly has the machines drained before the planned time.
func (w *Window) startEarly() string {
	if w.Phase == PhaseReturning || w.Phase == PhaseOver {
		return fmt.Sprintf("phase: window is %s", w.Phase)
	}
	w.Begun = true
	return ""
}

func (w *Window) advance(a *Advance, now time.Duration) string {
	switch {
	case a.Changed != w.Changed:
		return "changed: the window has changed in the meantime"
	case a.Step < 0 || a.Step > LastStep:
		return fmt.Sprintf("step: there is no step %d", a.Step)
	}
	if a.Step != w.Step || a.Phase != w.Phase {
		w.Stepped = now
	}
	w.Phase, w.Step, w.Clear, w.Waits = a.Phase, a.Step, a.Clear, a.Waits
	if a.Ended != "" {
		w.Ended = a.Ended
	}
	return ""
}

// Cordons returns the cordons that the configuration should have.
func (t *Table) Cordons() []meshconfig.Cordon {
	var cordons []meshconfig.Cordon
	for _, w := range t.Windows {
		if c, cordoned := w.cordon(); cordoned {
			cordons = append(cordons, c)
		}
	}
	return cordons
}

// Clone returns a copy that can change independently.
func (t *Table) Clone() *Table { return &Table{Windows: slices.Clone(t.Windows)} }

// Encode encodes the table for a snapshot. An empty table has an empty encoding, and equal tables
// have equal encodings.
func (t *Table) Encode() []byte {
	if len(t.Windows) == 0 {
		return nil
	}
	text, err := json.Marshal(t)
	if err != nil {
		panic(err) // plain fields always encode
	}
	return text
}

// Decode decodes the output of Encode.
func Decode(text []byte) (*Table, error) {
	t := &Table{}
	if len(text) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("windows in the snapshot: %w", err)
	}
	for _, w := range t.Windows {
		if w == nil || w.Step < 0 || w.Step > LastStep {
			return nil, fmt.Errorf("windows in the snapshot: unknown step")
		}
	}
	return t, nil
}

// EncodeCommand encodes a command as a log entry.
func EncodeCommand(c *Command) []byte { return plaingob.Encode(c) }

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(text []byte) (*Command, error) { return plaingob.Decode[Command](text) }

// EncodeReply encodes a reply for the proposer.
func EncodeReply(r *Reply) []byte { return plaingob.Encode(r) }

// DecodeReply decodes the output of EncodeReply.
func DecodeReply(text []byte) (*Reply, error) { return plaingob.Decode[Reply](text) }
