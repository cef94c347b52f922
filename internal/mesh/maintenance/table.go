package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/plaingob"
)

// Command is a change that is asked for: one of its fields is set. Now is the time of the mesh at
// which it was asked for.
type Command struct {
	Now     time.Duration
	Plan    *Window
	Cancel  string // name of a window
	Begin   string // likewise
	End     string // likewise
	Advance *Advance
}

// Advance brings a window on. It is refused if the window has changed since it was decided.
type Advance struct {
	Name    string
	Changed uint64 // of the window that it was decided about
	Phase   Phase
	Step    int
	Clear   bool
	Waits   string
	Ended   string
}

// Reply is what a command has come to.
type Reply struct {
	Refused string // why; empty: it is done
	Field   string // that is wrong, or the window that is in the way
	Invalid bool   // it is wrong by itself; else it contradicts what there is
}

// Table is the state. It is not safe for concurrent use; its windows are never changed, but replaced.
type Table struct {
	Windows []*Window `json:"windows"` // by the time of planning
}

// Find returns the window of a name, nil if there is none.
func (t *Table) Find(name string) *Window {
	for _, w := range t.Windows {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Apply carries a command out, which stands at an index of the log.
func (t *Table) Apply(index uint64, c *Command) Reply {
	switch {
	case c.Plan != nil:
		return t.plan(index, c.Plan, c.Now)
	case c.Cancel != "":
		return t.change(index, c.Cancel, func(w *Window) string { return w.stop("cancelled") })
	case c.End != "":
		return t.change(index, c.End, func(w *Window) string { return w.stop("ended by hand") })
	case c.Begin != "":
		return t.change(index, c.Begin, (*Window).begin)
	case c.Advance != nil:
		a := c.Advance
		if other := t.outOfUse(); other != nil && other.Name != a.Name && a.Step > 0 {
			return Reply{Refused: fmt.Sprintf("step: the window %s has its machines out of use", other.Name), Field: a.Name}
		}
		return t.change(index, a.Name, func(w *Window) string { return w.advance(a, c.Now) })
	}
	return Reply{Refused: "command: it asks for nothing", Invalid: true}
}

// outOfUse is the window that has machines out of use, nil if none has.
func (t *Table) outOfUse() *Window {
	i := slices.IndexFunc(t.Windows, func(w *Window) bool { return w.Step > 0 })
	if i < 0 {
		return nil
	}
	return t.Windows[i]
}

// Current is the window that is to be brought on: the one that has machines out of use, or else the
// first that is not over; nil if there is none.
func (t *Table) Current() *Window {
	first := t.outOfUse()
	for _, w := range t.Windows {
		if first == nil && w.Phase != PhaseOver || first != nil && first.Step == 0 && w.Phase != PhaseOver && w.Start < first.Start {
			first = w
		}
	}
	return first
}

func (t *Table) plan(index uint64, asked *Window, now time.Duration) Reply {
	if old := t.Find(asked.Name); old != nil {
		if old.same(asked) {
			return Reply{} // the call came twice
		}
		return Reply{Refused: fmt.Sprintf("name: a window %s was planned with other content", old.Name), Field: "name"}
	}
	if err := asked.Validate(now); err != nil {
		invalid := err.(*meshconfig.InvalidError)
		return Reply{Refused: err.Error(), Field: invalid.Field, Invalid: true}
	}
	for _, other := range t.Windows {
		if other.Phase != PhaseOver && asked.overlaps(other) {
			return Reply{Refused: fmt.Sprintf("start: the window %s has its machines out of use at that time", other.Name), Field: "start"}
		}
	}
	if !t.makeRoom() {
		return Reply{Refused: fmt.Sprintf("name: there are %d windows already that are not over", MaxWindows), Field: "name"}
	}
	w := *asked
	w.Zones, w.Nodes = slices.Clone(asked.Zones), slices.Clone(asked.Nodes)
	w.Phase, w.Step, w.Stepped, w.Clear, w.Waits, w.Ended, w.Begun, w.Changed = PhasePlanned, 0, 0, false, "", "", false, index
	t.Windows = append(t.Windows, &w)
	return Reply{}
}

// makeRoom drops the oldest window that is over if there are too many, and says whether there is room.
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

// change replaces a window by one that is changed, unless the change is refused.
func (t *Table) change(index uint64, name string, f func(w *Window) string) Reply {
	i := slices.IndexFunc(t.Windows, func(w *Window) bool { return w.Name == name })
	if i < 0 {
		return Reply{Refused: "name: there is no window " + name, Field: "name"}
	}
	next := *t.Windows[i]
	if refused := f(&next); refused != "" {
		return Reply{Refused: refused, Field: name}
	}
	before := *t.Windows[i]
	if before.equal(&next) {
		return Reply{}
	}
	next.Changed = index
	t.Windows[i] = &next
	return Reply{}
}

// equal says whether nothing has changed of what a command may change.
func (w *Window) equal(v *Window) bool {
	return w.Phase == v.Phase && w.Step == v.Step && w.Clear == v.Clear && w.Waits == v.Waits && w.Ended == v.Ended && w.Begun == v.Begun
}

// stop ends a window before its time. One that is on its way back, or over, goes on with that.
func (w *Window) stop(how string) string {
	switch w.Phase {
	case PhasePlanned:
		w.Phase, w.Ended, w.Waits = PhaseOver, how, ""
	case PhaseDraining, PhaseClosed:
		w.Phase, w.Ended, w.Waits, w.Clear = PhaseReturning, how, "", false
	}
	return ""
}

// begin has a window's machines taken out of use before it is time.
func (w *Window) begin() string {
	if w.Phase == PhaseReturning || w.Phase == PhaseOver {
		return fmt.Sprintf("phase: the window is %s", w.Phase)
	}
	w.Begun = true
	return ""
}

func (w *Window) advance(a *Advance, now time.Duration) string {
	switch {
	case a.Changed != w.Changed:
		return "changed: the window has changed since"
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

// Cordons are what the configuration is to hold.
func (t *Table) Cordons() []meshconfig.Cordon {
	var list []meshconfig.Cordon
	for _, w := range t.Windows {
		if c, out := w.cordon(); out {
			list = append(list, c)
		}
	}
	return list
}

// Clone returns a table that changes by itself.
func (t *Table) Clone() *Table { return &Table{Windows: slices.Clone(t.Windows)} }

// Encode gives the table for a snapshot, nothing if it is empty. Equal tables give equal bytes.
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

// Decode reads what Encode gave.
func Decode(text []byte) (*Table, error) {
	t := &Table{}
	if len(text) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(text, t); err != nil {
		return nil, fmt.Errorf("the windows of a snapshot: %w", err)
	}
	for _, w := range t.Windows {
		if w == nil || w.Step < 0 || w.Step > LastStep {
			return nil, fmt.Errorf("the windows of a snapshot: one is of a step that there is not")
		}
	}
	return t, nil
}

// EncodeCommand gives a command for the log.
func EncodeCommand(c *Command) []byte { return plaingob.Encode(c) }

// DecodeCommand reads what EncodeCommand gave.
func DecodeCommand(text []byte) (*Command, error) { return plaingob.Decode[Command](text) }

// EncodeReply gives a reply for the proposer.
func EncodeReply(r *Reply) []byte { return plaingob.Encode(r) }

// DecodeReply reads what EncodeReply gave.
func DecodeReply(text []byte) (*Reply, error) { return plaingob.Decode[Reply](text) }
