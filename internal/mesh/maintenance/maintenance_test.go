package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/meshconfig"
)

// staleAfter is the age at which consensus refuses a proposal.
const staleAfter = 2 * time.Second

// world simulates windows: operators plan and stop them, leaders with different clocks come and go,
// and commands are lost, repeated or delayed.
type world struct {
	rng          *rand.Rand
	plantedBug   string
	now          time.Duration
	index        uint64
	table        *Table
	clockSkew    time.Duration // of the leader's clock
	loadFactor   float64       // load in the other zone, as a fraction of the initial load
	delayed      []*Command
	blockedSince map[string]time.Duration // by window: since when it must not progress
	failure      string
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *world) window(n int) *Window {
	lead := MinLead + time.Duration(w.rng.IntN(10000))*time.Millisecond
	start := w.now + lead + time.Duration(w.rng.IntN(20000))*time.Millisecond
	return &Window{Name: fmt.Sprint("w", n), Zones: []string{"a"}, Start: start, End: start + time.Duration(1+w.rng.IntN(20))*time.Second, Lead: lead}
}

func (w *world) view(window *Window) *View {
	v := &View{Now: w.now + w.clockSkew, Remaining: w.rng.IntN(2), UnchangedFor: time.Duration(w.rng.IntN(3)) * time.Second,
		Backends: []Backend{{"s", "a", "1", 10, 5, true}, {"s", "b", "2", 10, 5 * w.loadFactor, true}}}
	if w.rng.IntN(20) == 0 {
		v.Unreliable = "no"
	}
	return v
}

// apply applies a command and checks the resulting changes of the windows.
func (w *world) apply(c *Command) Reply {
	before := w.table.Clone()
	w.index++
	if w.plantedBug == "late decisions apply" && c.Advance != nil {
		if window := w.table.Find(c.Advance.Name); window != nil {
			c.Advance.Changed = window.Changed
		}
	}
	reply := w.applyToTable(c)
	cordonedCount := 0
	for _, window := range w.table.Windows {
		if _, cordoned := window.cordon(); cordoned {
			cordonedCount++
		}
		previous := before.Find(window.Name)
		if previous == nil {
			continue
		}
		if delta := window.Step - previous.Step; delta < -1 || delta > 1 {
			w.fail("%s went from step %d to %d", window.Name, previous.Step, window.Step)
		}
		if window.Step > previous.Step && w.now < previous.Start-previous.Lead-w.maxClockSkew() && !previous.Begun {
			w.fail("%s started %v early", window.Name, previous.Start-previous.Lead-w.now)
		}
		if window.Step > previous.Step && previous.Phase == PhaseReturning {
			w.fail("%s progressed while returning", window.Name)
		}
		if window.Clear && window.Step != LastStep {
			w.fail("%s is clear at step %d", window.Name, window.Step)
		}
		if since, blocked := w.blockedSince[window.Name]; blocked && window.Step > previous.Step && w.now-since > staleAfter+w.maxClockSkew() {
			w.fail("%s progressed although the rest can't bear the load", window.Name)
		}
	}
	if cordonedCount > 1 {
		w.fail("%d windows have machines out of service", cordonedCount)
	}
	return reply
}

func (w *world) applyToTable(c *Command) Reply {
	if a := c.Advance; a != nil && w.plantedBug == "two windows drain at once" {
		return w.table.update(w.index, a.Name, func(window *Window) string { return window.advance(a, c.Now) })
	}
	return w.table.Apply(w.index, c)
}

// maxClockSkew returns the largest difference between two clocks.
func (w *world) maxClockSkew() time.Duration { return 600 * time.Millisecond }

func (w *world) decide() {
	for _, window := range w.table.Windows {
		v := w.view(window)
		if v.Unreliable == "" && Forecast(window, v.Backends)[0].After > MaxUtilization {
			if _, known := w.blockedSince[window.Name]; !known {
				w.blockedSince[window.Name] = w.now
			}
		} else if v.Unreliable == "" {
			delete(w.blockedSince, window.Name)
		}
		if w.plantedBug == "no forecast" {
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
			w.delayed = append(w.delayed, c)
		default:
			w.apply(c)
			repeated := *c
			copied := *a
			repeated.Advance = &copied
			w.apply(&repeated)
		}
	}
}

func (w *world) operatorCall(n int) {
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
	firstReply := w.apply(c)
	changed := w.index
	if secondReply := w.apply(c); firstReply.Refused != secondReply.Refused || w.changedAfter(changed) {
		w.fail("a repeated call had another result: %+v, %+v", firstReply, secondReply)
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

func (w *world) run() string {
	w.loadFactor, w.blockedSince = 1, map[string]time.Duration{}
	for n := range 600 {
		w.now += 250 * time.Millisecond
		switch {
		case w.rng.IntN(60) == 0:
			w.operatorCall(n)
		case w.rng.IntN(40) == 0:
			w.clockSkew = time.Duration(w.rng.IntN(600)-300) * time.Millisecond
		case w.rng.IntN(100) == 0:
			w.loadFactor = w.rng.Float64() // load of the other zone; some values are too much for it
		case len(w.delayed) > 0 && w.rng.IntN(10) == 0:
			if c := w.delayed[0]; w.now-c.Now < staleAfter+w.maxClockSkew() {
				w.apply(c)
			}
			w.delayed = w.delayed[1:]
		}
		w.decide()
		if decoded, err := Decode(w.table.Encode()); err != nil || len(decoded.Windows) != len(w.table.Windows) {
			w.fail("snapshot: %v", err)
		}
	}
	w.delayed = nil
	for range 20 * 60 * 4 { // without further faults
		w.now += 250 * time.Millisecond
		if w.plantedBug != "no return" {
			w.decide()
		}
	}
	for _, window := range w.table.Windows {
		if window.Phase != PhaseOver || window.Step != 0 {
			w.fail("%s ended in phase %s, step %d", window.Name, window.Phase, window.Step)
		}
	}
	return w.failure
}

func explore(plantedBug string, seeds int) (failure string) {
	for seed := range seeds {
		w := &world{rng: rand.New(rand.NewPCG(uint64(seed), 64)), plantedBug: plantedBug, table: &Table{}}
		if failure = w.run(); failure != "" {
			return fmt.Sprintf("seed %d: %s", seed, failure)
		}
	}
	return ""
}

// The package's guarantees hold with lost, delayed and repeated commands.
func TestExploreWindows(t *testing.T) {
	seeds := 600
	if testing.Short() { // -short runs with the race detector; a run without it covers all seeds
		seeds = 100
	}
	require.Empty(t, explore("", seeds))
}

func TestWindowsPlanted(t *testing.T) {
	for _, plantedBug := range []string{"late decisions apply", "no forecast", "two windows drain at once", "no return"} {
		require.NotEmpty(t, explore(plantedBug, 200), plantedBug)
	}
}

// A refused plan names the invalid field and gives the limit.
func TestPlansThatAreRefused(t *testing.T) {
	const now = 1000 * time.Second
	validWindow := func() *Window {
		return &Window{Name: "power", Zones: []string{"a"}, Start: now + 120*time.Second, End: now + 180*time.Second, Lead: time.Minute}
	}
	for field, modify := range map[string]func(w *Window){
		"name":  func(w *Window) { w.Name = "Power work" },
		"zones": func(w *Window) { w.Nodes = []string{"10.0.0.1"} },
		"nodes": func(w *Window) { w.Zones, w.Nodes = nil, make([]string, meshconfig.MaxCordonNodes+1) },
		"lead":  func(w *Window) { w.Lead = time.Millisecond },
		"start": func(w *Window) { w.Start = now - time.Second },
		"end":   func(w *Window) { w.End = w.Start },
	} {
		w := validWindow()
		modify(w)
		reply := (&Table{}).Apply(1, &Command{Now: now, Plan: w})
		require.Equal(t, []any{field, true}, []any{reply.Field, reply.Invalid}, reply.Refused)
	}
	table := &Table{}
	require.Empty(t, table.Apply(1, &Command{Now: now, Plan: validWindow()}).Refused)
	require.Empty(t, table.Apply(2, &Command{Now: now, Plan: validWindow()}).Refused, "twice")
	other := validWindow()
	other.Name, other.Zones = "racks", []string{"b"}
	require.Contains(t, table.Apply(3, &Command{Now: now, Plan: other}).Refused, "power")
	other.Name = "power"
	require.Contains(t, table.Apply(4, &Command{Now: now, Plan: other}).Refused, "other content")
	require.Contains(t, table.Apply(5, &Command{Now: now, Begin: "none"}).Refused, "no window")
}

// Each machine's stage follows the steps, and returns the same way.
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
		decoded, err := meshconfig.Decode(config.Encode())
		require.NoError(t, err)
		require.Equal(t, config.Digest(), decoded.Digest())
	}
}
