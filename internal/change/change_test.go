package change

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	oldDocument = Document{Hash: "old", Parts: []string{"service", "decisions"}}
	newDocument = Document{Hash: "new", Parts: []string{"service", "decisions"}}
)

// runActions carries out the actions of an instance and those that follow. The actions named in
// failing fail.
func runActions(i *Instance, now time.Duration, actions []Action, failing ...string) (done []string) {
	for len(actions) > 0 {
		a := actions[0]
		description := fmt.Sprintf("apply %s", a.Part)
		if a.Kind == RevertPart {
			description = fmt.Sprintf("revert %s", a.Part)
		}
		var err error
		if slices.Contains(failing, description) {
			err = errors.New("no")
		}
		done = append(done, description)
		actions = i.ActionDone(now, a, err)
	}
	return done
}

// prepareAndCommit prepares and commits newDocument and carries out the actions.
func prepareAndCommit(t *testing.T, i *Instance, id string, confirmTimeout time.Duration, failing ...string) []string {
	t.Helper()
	if err := i.Prepare(0, 1, id, i.Revision(), newDocument, confirmTimeout); err != nil {
		t.Fatal(err)
	}
	if i.Current().Hash != "old" || i.Revision() != 0 {
		t.Error("preparing changes the document or the revision")
	}
	actions, err := i.Commit(0, 1, id)
	if err != nil {
		t.Fatal(err)
	}
	return runActions(i, 0, actions, failing...)
}

func TestAppliedInParts(t *testing.T) {
	for _, c := range []struct {
		failing []string
		actions string
		outcome Outcome
		parts   string
		hash    string
	}{
		{nil, "[apply service apply decisions]", Applied, "[service decisions]", "new"},
		{[]string{"apply service"}, "[apply service]", Unchanged, "[]", "old"},
		{[]string{"apply decisions"}, "[apply service apply decisions revert service]", Unchanged, "[]", "old"},
		{[]string{"apply decisions", "revert service"}, "[apply service apply decisions revert service]", PartlyApplied, "[service]", "old"},
	} {
		i := NewInstance("e", 0, oldDocument)
		done := prepareAndCommit(t, i, "x", 0, c.failing...)
		r, ok := i.Result("x")
		if fmt.Sprint(done) != c.actions || !ok || r.Outcome != c.outcome || fmt.Sprint(r.Parts) != c.parts || i.Current().Hash != c.hash || i.Pending() != "" {
			t.Errorf("%v: actions %v, result %+v, document %s", c.failing, done, r, i.Current().Hash)
		}
		if fmt.Sprint(i.MixedParts()) != map[bool]string{true: c.parts, false: "[]"}[c.outcome == PartlyApplied] {
			t.Errorf("%v: mixed parts %v", c.failing, i.MixedParts())
		}
		if c.outcome != Applied && r.Reason == "" {
			t.Errorf("%v: no reason", c.failing)
		}
		// A repeated request gets the first result and has no effect.
		if err := i.Prepare(0, 1, "x", 0, newDocument, 0); err != nil {
			t.Errorf("preparing it again: %v", err)
		}
		if actions, err := i.Commit(0, 1, "x"); len(actions) > 0 || err != nil {
			t.Errorf("committing it again: %v, error %v", actions, err)
		}
		if again, err := i.Abort(0, 1, "x"); err != nil || again.Outcome != c.outcome {
			t.Errorf("aborting it afterwards: %+v, error %v", again, err)
		}
	}
}

func TestRefusals(t *testing.T) {
	i := NewInstance("e", 7, oldDocument)
	prepare := func(fence uint64, id string, base uint64) error { return i.Prepare(0, fence, id, base, newDocument, 0) }
	for _, c := range []struct {
		name string
		err  error
		want error
	}{
		{"no id", prepare(1, "", 7), ErrNoID},
		{"a stale revision", prepare(1, "x", 6), ErrStaleRevision},
		{"valid", prepare(1, "x", 7), nil},
		{"the same again", prepare(1, "x", 7), nil},
		{"another document with the same id", i.Prepare(0, 1, "x", 7, oldDocument, 0), ErrIDInUse},
		{"a second change", prepare(1, "y", 7), ErrBusy},
		{"a newer manager's change", prepare(2, "y", 7), nil},
		{"another change of the older manager", prepare(1, "z", 7), ErrFenced},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("%s: %v", c.name, c.err)
		}
	}
	if r, _ := i.Result("x"); r.Outcome != Unchanged {
		t.Errorf("the superseded change ends as %+v", r)
	}
	if _, err := i.Commit(0, 2, "z"); !errors.Is(err, ErrNotPrepared) {
		t.Errorf("committing a change that is not prepared: %v", err)
	}
	if _, err := i.Commit(0, 1, "y"); !errors.Is(err, ErrFenced) {
		t.Errorf("the older manager commits: %v", err)
	}
}

// A prepared change that is not committed expires. An abort that arrives before the prepare of its
// change ends the change permanently.
func TestExpiryAndAbort(t *testing.T) {
	i := NewInstance("e", 0, oldDocument)
	i.Prepare(0, 1, "x", 0, newDocument, 0)
	if at, ok := i.NextDeadline(); !ok || at != PrepareTimeout {
		t.Errorf("next deadline %v, %v", at, ok)
	}
	if _, err := i.Commit(PrepareTimeout, 1, "x"); !errors.Is(err, ErrNotPrepared) {
		t.Errorf("committed too late: %v", err)
	}
	if r, err := i.Abort(0, 1, "y"); err != nil || r.Outcome != Unchanged {
		t.Errorf("aborted before the prepare: %+v, error %v", r, err)
	}
	if err := i.Prepare(0, 1, "y", 0, newDocument, 0); err != nil {
		t.Error(err)
	}
	if actions, _ := i.Commit(0, 1, "y"); len(actions) > 0 || i.Pending() != "" {
		t.Error("the aborted change is applied")
	}
}

// A change with a confirmation timeout is reverted unless it is confirmed in time. This guards
// against changes that cut the connection over which they are confirmed.
func TestConfirmation(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		i := NewInstance("e", 0, oldDocument)
		prepareAndCommit(t, i, "x", time.Second)
		if i.Current().Hash != "new" || i.Pending() != "x" {
			t.Fatal("the change is not in force while it waits for the confirmation")
		}
		if err := i.Prepare(0, 1, "y", 1, newDocument, 0); !errors.Is(err, ErrBusy) {
			t.Errorf("a second change: %v", err)
		}
		if confirmed {
			if err := i.Confirm(time.Second/2, 1, "x"); err != nil {
				t.Error(err)
			}
		}
		done := runActions(i, time.Second, i.Tick(time.Second))
		r, _ := i.Result("x")
		switch {
		case confirmed && (r.Outcome != Applied || i.Current().Hash != "new" || len(done) > 0 || i.Revision() != 1):
			t.Errorf("confirmed: %+v, actions %v", r, done)
		case !confirmed && (r.Outcome != Reverted || i.Current().Hash != "old" || fmt.Sprint(done) != "[revert decisions revert service]" || i.Revision() != 2):
			t.Errorf("not confirmed: %+v, actions %v, document %s, revision %d", r, done, i.Current().Hash, i.Revision())
		}
		if err := i.Confirm(2*time.Second, 1, "x"); confirmed != (err == nil) {
			t.Errorf("confirmed again: %v", err)
		}
	}
}

func TestResultsAreBounded(t *testing.T) {
	i := NewInstance("e", 0, oldDocument)
	for n := range 3 * maxResults {
		i.Abort(0, 1, fmt.Sprint(n))
	}
	if len(i.results) > maxResults || len(i.resultOrder) > maxResults {
		t.Errorf("%d results are stored", len(i.results))
	}
}

// A commit that was not answered leaves the state unknown until a later answer reports the result.
func TestSilence(t *testing.T) {
	committing := func() *Target {
		x := &Target{}
		x.NextRequest(false)
		x.RecordAnswer(Answer{Epoch: "e0"})
		if x.State != Prepared || x.NextRequest(true) != RequestCommit {
			t.Fatalf("state %s", x.State)
		}
		return x
	}
	x := committing()
	x.RecordNoAnswer("connection lost")
	if x.State != Unknown || x.Resolve() != RequestAbort {
		t.Errorf("state %s", x.State)
	}
	for _, c := range []struct {
		name  string
		a     Answer
		state State
	}{
		{"applied", Answer{Epoch: "e0", Result: Result{Outcome: Applied}}, Done},
		{"partly applied", Answer{Epoch: "e0", Result: Result{Outcome: PartlyApplied, Parts: []string{"service"}}}, PartlyDone},
		{"the commit never arrived", Answer{Epoch: "e0", Result: Result{Outcome: Unchanged}}, NotDone},
		{"another process", Answer{Epoch: "e1", Result: Result{Outcome: Unchanged}}, NotDone},
		{"a newer manager", Answer{Epoch: "e0", Err: ErrFenced, Fenced: true}, Unknown},
		{"still being applied", Answer{Epoch: "e0", Err: ErrBusy}, Unknown},
	} {
		y := *x
		if y.RecordAnswer(c.a); y.State != c.state {
			t.Errorf("%s: %s", c.name, y.State)
		}
	}
	// Before a commit is sent, a missing answer leaves no doubt that nothing is applied.
	y := &Target{}
	y.NextRequest(false)
	if y.RecordNoAnswer("connection lost"); y.State != NotDone {
		t.Errorf("before the commit: %s", y.State)
	}
	// A manager that restarts does not know whether its commit arrived.
	z := committing()
	if z.Resume(); z.State != Unknown {
		t.Errorf("after a restart: %s", z.State)
	}
}

func TestWaves(t *testing.T) {
	l := Limits{Canaries: 2, Growth: 3, Bake: 10 * time.Second, MoreRefused: 0.02, MoreFailed: 0.01, LessInAim: 0.05, Least: 100, Patience: time.Minute, MayFail: 0.1}
	if got := fmt.Sprint(l.WaveSizes(50)); got != "[2 6 18 24]" {
		t.Errorf("wave sizes %s", got)
	}
	if got := l.WaveSizes(0); len(got) > 0 {
		t.Errorf("wave sizes for no instances: %v", got)
	}
	appliedOf := func(applied, total int) WaveOutcome { return WaveOutcome{Total: total, Lost: total - applied} }
	healthy := RequestCounts{Requests: 1000, InAim: 980, Refused: 10, Failed: 5}
	for _, c := range []struct {
		name        string
		outcome     WaveOutcome
		since       RequestCounts
		observedFor time.Duration
		verdict     Verdict
	}{
		{"observed too briefly", appliedOf(10, 10), healthy, time.Second, KeepWatching},
		{"healthy", appliedOf(10, 10), healthy, 10 * time.Second, NextWave},
		{"one of ten is lost", appliedOf(9, 10), healthy, 10 * time.Second, NextWave},
		{"two of ten are lost", appliedOf(8, 10), healthy, 0, Halt},
		{"one refuses", WaveOutcome{Total: 10, Refused: 1}, healthy, 10 * time.Second, NextWave},
		{"two refuse", WaveOutcome{Total: 10, Refused: 2}, healthy, 0, RollBack},
		{"one refuses and one is lost", WaveOutcome{Total: 10, Refused: 1, Lost: 1}, healthy, 0, Halt},
		{"more refused", appliedOf(10, 10), RequestCounts{Requests: 1000, InAim: 965, Refused: 35}, time.Second, RollBack},
		{"slightly more refused", appliedOf(10, 10), RequestCounts{Requests: 1000, InAim: 970, Refused: 25}, 10 * time.Second, NextWave},
		{"more failed", appliedOf(10, 10), RequestCounts{Requests: 1000, InAim: 975, Failed: 20}, time.Second, RollBack},
		{"fewer within the target latency", appliedOf(10, 10), RequestCounts{Requests: 1000, InAim: 900}, time.Second, RollBack},
		{"too few requests to evaluate", appliedOf(10, 10), RequestCounts{Requests: 10, Failed: 10}, 20 * time.Second, KeepWatching},
		{"too few requests until Patience is over", appliedOf(10, 10), RequestCounts{Requests: 10, Failed: 10}, time.Minute, NextWave},
	} {
		if got, why := l.Evaluate(c.outcome, healthy, c.since, c.observedFor); got != c.verdict || (got == RollBack || got == Halt) && why == "" {
			t.Errorf("%s: %d, %q", c.name, got, why)
		}
	}
	// Failures count even if there were no requests before the change.
	if got, _ := l.Evaluate(appliedOf(2, 2), RequestCounts{}, RequestCounts{Requests: 500, Failed: 100}, time.Second); got != RollBack {
		t.Error("failures are accepted if there were no requests before")
	}
}

// Managers that start one after the other get increasing fencing tokens, and two that start at once
// get different ones.
func TestNextFence(t *testing.T) {
	first := NextFence(0, 7)
	if concurrent := NextFence(0, 8); first == 0 || concurrent == first {
		t.Errorf("two managers at once: %d and %d", first, concurrent)
	}
	if second := NextFence(first, 0); second <= first {
		t.Errorf("%d after %d", second, first)
	}
	if highest := NextFence(0, ^uint32(0)); NextFence(highest, 0) <= highest {
		t.Errorf("%d after %d", NextFence(highest, 0), highest)
	}
}

func TestStateText(t *testing.T) {
	for s := Planned; s <= Superseded; s++ {
		text, _ := s.MarshalText()
		var back State
		if err := back.UnmarshalText(text); err != nil || back != s {
			t.Errorf("%s is decoded as %s, error %v", s, back, err)
		}
	}
	var s State
	if err := s.UnmarshalText([]byte("what")); err == nil {
		t.Error("an invalid state is accepted")
	}
}
