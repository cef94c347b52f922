package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/meshconfig"
)

// stale is the age at which the agreement refuses what was proposed.
const stale = 2 * time.Second

// world plays windows: operators plan and stop them, leaders come and go with clocks of their own,
// and commands are lost, come twice, or late.
type world struct {
	rng     *rand.Rand
	planted string
	now     time.Duration
	index   uint64
	table   *Table
	skew    time.Duration // of the leader's clock
	room    float64       // of what stays, as a part of the load
	late    []*Command
	held    map[string]time.Duration // since when a window may not go on
	wrong   string
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

func (w *world) window(n int) *Window {
	lead := MinLead + time.Duration(w.rng.IntN(10000))*time.Millisecond
	start := w.now + lead + time.Duration(w.rng.IntN(20000))*time.Millisecond
	return &Window{Name: fmt.Sprint("w", n), Zones: []string{"a"}, Start: start, End: start + time.Duration(1+w.rng.IntN(20))*time.Second, Lead: lead}
}

func (w *world) view(window *Window) *View {
	v := &View{Now: w.now + w.skew, Remaining: w.rng.IntN(2), UnchangedFor: time.Duration(w.rng.IntN(3)) * time.Second,
		Backends: []Backend{{"s", "a", "1", 10, 5, true}, {"s", "b", "2", 10, 5 * w.room, true}}}
	if w.rng.IntN(20) == 0 {
		v.Unreliable = "no"
	}
	return v
}

// apply carries a command out, and judges what has become of the windows by it.
func (w *world) apply(c *Command) Reply {
	before := w.table.Clone()
	w.index++
	if w.planted == "late decisions count" && c.Advance != nil {
		if window := w.table.Find(c.Advance.Name); window != nil {
			c.Advance.Changed = window.Changed
		}
	}
	reply := w.carryOut(c)
	out := 0
	for _, window := range w.table.Windows {
		if _, cordoned := window.cordon(); cordoned {
			out++
		}
		old := before.Find(window.Name)
		if old == nil {
			continue
		}
		if d := window.Step - old.Step; d < -1 || d > 1 {
			w.fail("%s went from step %d to %d", window.Name, old.Step, window.Step)
		}
		if window.Step > old.Step && w.now < old.Start-old.Lead-w.slack() && !old.Begun {
			w.fail("%s begins %v before its time", window.Name, old.Start-old.Lead-w.now)
		}
		if window.Step > old.Step && old.Phase == PhaseReturning {
			w.fail("%s goes on while it returns", window.Name)
		}
		if window.Clear && window.Step != LastStep {
			w.fail("%s is clear at step %d", window.Name, window.Step)
		}
		if since, held := w.held[window.Name]; held && window.Step > old.Step && w.now-since > stale+w.slack() {
			w.fail("%s goes on though the rest can't bear it", window.Name)
		}
	}
	if out > 1 {
		w.fail("%d windows have machines out of use", out)
	}
	return reply
}

func (w *world) carryOut(c *Command) Reply {
	if a := c.Advance; a != nil && w.planted == "two windows move at once" {
		return w.table.change(w.index, a.Name, func(window *Window) string { return window.advance(a, c.Now) })
	}
	return w.table.Apply(w.index, c)
}

// slack is how far clocks are apart at most.
func (w *world) slack() time.Duration { return 600 * time.Millisecond }

func (w *world) decide() {
	for _, window := range w.table.Windows {
		v := w.view(window)
		if v.Unreliable == "" && Forecast(window, v.Backends)[0].After > MaxUtilization {
			if _, known := w.held[window.Name]; !known {
				w.held[window.Name] = w.now
			}
		} else if v.Unreliable == "" {
			delete(w.held, window.Name)
		}
		if w.planted == "the forecast is not asked" {
			v.Backends = nil
		}
		a := Decide(window, v)
		if a == nil {
			continue
		}
		c := &Command{Now: v.Now, Advance: a}
		switch w.rng.IntN(8) {
		case 0: // lost
		case 1:
			w.late = append(w.late, c)
		default:
			w.apply(c)
			again := *c
			copied := *a
			again.Advance = &copied
			w.apply(&again)
		}
	}
}

func (w *world) operate(n int) {
	name := fmt.Sprint("w", w.rng.IntN(max(1, n)))
	c := &Command{Now: w.now}
	switch w.rng.IntN(6) {
	case 0:
		c.Cancel = name
	case 1:
		c.End = name
	case 2:
		c.Begin = name
	default:
		c.Plan = w.window(n)
	}
	first := w.apply(c)
	changed := w.index
	if second := w.apply(c); first.Refused != second.Refused || w.changedAfter(changed) {
		w.fail("a call that came twice: %+v, %+v", first, second)
	}
}

func (w *world) changedAfter(index uint64) bool {
	for _, window := range w.table.Windows {
		if window.Changed > index {
			return true
		}
	}
	return false
}

func (w *world) play() string {
	w.room, w.held = 1, map[string]time.Duration{}
	for n := range 600 {
		w.now += 250 * time.Millisecond
		switch {
		case w.rng.IntN(60) == 0:
			w.operate(n)
		case w.rng.IntN(40) == 0:
			w.skew = time.Duration(w.rng.IntN(600)-300) * time.Millisecond
		case w.rng.IntN(100) == 0:
			w.room = w.rng.Float64() // of what the other zone has in work: some of it is not borne
		case len(w.late) > 0 && w.rng.IntN(10) == 0:
			if c := w.late[0]; w.now-c.Now < stale+w.slack() {
				w.apply(c)
			}
			w.late = w.late[1:]
		}
		w.decide()
		if decoded, err := Decode(w.table.Encode()); err != nil || len(decoded.Windows) != len(w.table.Windows) {
			w.fail("a snapshot: %v", err)
		}
	}
	w.late = nil
	for range 20 * 60 * 4 { // no trouble any more
		w.now += 250 * time.Millisecond
		if w.planted != "nothing returns" {
			w.decide()
		}
	}
	for _, window := range w.table.Windows {
		if window.Phase != PhaseOver || window.Step != 0 {
			w.fail("%s is %s in the end, step %d", window.Name, window.Phase, window.Step)
		}
	}
	return w.wrong
}

func explore(planted string, seeds int) (wrong string) {
	for seed := range seeds {
		w := &world{rng: rand.New(rand.NewPCG(uint64(seed), 64)), planted: planted, table: &Table{}}
		if wrong = w.play(); wrong != "" {
			return fmt.Sprintf("seed %d: %s", seed, wrong)
		}
	}
	return ""
}

// What the package promises holds whatever is lost, comes late or twice.
func TestExploreWindows(t *testing.T) {
	seeds := 600
	if testing.Short() { // with the race detector; all of them is for a run without
		seeds = 100
	}
	require.Empty(t, explore("", seeds))
}

func TestWindowsPlanted(t *testing.T) {
	for _, planted := range []string{"late decisions count", "the forecast is not asked", "two windows move at once", "nothing returns"} {
		require.NotEmpty(t, explore(planted, 200), planted)
	}
}

// What is wrong with a plan is told by its field and with a figure.
func TestPlansThatAreRefused(t *testing.T) {
	const now = 1000 * time.Second
	good := func() *Window {
		return &Window{Name: "power", Zones: []string{"a"}, Start: now + 120*time.Second, End: now + 180*time.Second, Lead: time.Minute}
	}
	for field, change := range map[string]func(w *Window){
		"name":  func(w *Window) { w.Name = "Power work" },
		"zones": func(w *Window) { w.Nodes = []string{"10.0.0.1"} },
		"nodes": func(w *Window) { w.Zones, w.Nodes = nil, make([]string, meshconfig.MaxCordonNodes+1) },
		"lead":  func(w *Window) { w.Lead = time.Millisecond },
		"start": func(w *Window) { w.Start = now - time.Second },
		"end":   func(w *Window) { w.End = w.Start },
	} {
		w := good()
		change(w)
		reply := (&Table{}).Apply(1, &Command{Now: now, Plan: w})
		require.Equal(t, []any{field, true}, []any{reply.Field, reply.Invalid}, reply.Refused)
	}
	table := &Table{}
	require.Empty(t, table.Apply(1, &Command{Now: now, Plan: good()}).Refused)
	require.Empty(t, table.Apply(2, &Command{Now: now, Plan: good()}).Refused, "twice")
	other := good()
	other.Name, other.Zones = "racks", []string{"b"}
	require.Contains(t, table.Apply(3, &Command{Now: now, Plan: other}).Refused, "power")
	other.Name = "power"
	require.Contains(t, table.Apply(4, &Command{Now: now, Plan: other}).Refused, "other content")
	require.Contains(t, table.Apply(5, &Command{Now: now, Begin: "none"}).Refused, "no window")
}

// Each machine's stage follows the steps, and comes back the same way.
func TestCordons(t *testing.T) {
	for step := range LastStep + 1 {
		w := &Window{Name: "w", Zones: []string{"a"}, Phase: PhaseDraining, Step: step}
		config := meshconfig.New().WithCordons((&Table{Windows: []*Window{w}}).Cordons())
		for n := range 50 {
			node := fmt.Sprint("10.0.0.", n)
			stage := config.Stage("a", node)
			require.LessOrEqual(t, stage, steps[step].stage)
			require.GreaterOrEqual(t, stage+1, steps[step].stage)
			require.Equal(t, meshconfig.StageOpen, config.Stage("b", node))
		}
		again, err := meshconfig.Decode(config.Encode())
		require.NoError(t, err)
		require.Equal(t, config.Digest(), again.Digest())
	}
}
