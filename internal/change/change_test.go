package change

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	oldDoc = Document{Hash: "old", Parts: []string{"service", "decisions"}}
	newDoc = Document{Hash: "new", Parts: []string{"service", "decisions"}}
)

// finish carries out what an instance wants, all well but the parts named.
func finish(i *Instance, now time.Duration, todo []Action, fails ...string) (did []string) {
	for len(todo) > 0 {
		a := todo[0]
		what := fmt.Sprintf("apply %s", a.Part)
		if a.Kind == RevertPart {
			what = fmt.Sprintf("revert %s", a.Part)
		}
		var err error
		if slices.Contains(fails, what) {
			err = errors.New("no")
		}
		did = append(did, what)
		todo = i.ActionDone(now, a, err)
	}
	return did
}

// change prepares and commits.
func commit(t *testing.T, i *Instance, id string, confirm time.Duration, fails ...string) []string {
	t.Helper()
	if err := i.Prepare(0, 1, id, i.Revision(), newDoc, confirm); err != nil {
		t.Fatal(err)
	}
	if i.Current().Hash != "old" || i.Revision() != 0 {
		t.Error("preparing changes something")
	}
	todo, err := i.Commit(0, 1, id)
	if err != nil {
		t.Fatal(err)
	}
	return finish(i, 0, todo, fails...)
}

func TestAppliedInParts(t *testing.T) {
	for _, c := range []struct {
		fails   []string
		did     string
		outcome Outcome
		parts   string
		hash    string
	}{
		{nil, "[apply service apply decisions]", Applied, "[service decisions]", "new"},
		{[]string{"apply service"}, "[apply service]", Unchanged, "[]", "old"},
		{[]string{"apply decisions"}, "[apply service apply decisions revert service]", Unchanged, "[]", "old"},
		{[]string{"apply decisions", "revert service"}, "[apply service apply decisions revert service]", PartlyApplied, "[service]", "old"},
	} {
		i := NewInstance("e", 0, oldDoc)
		did := commit(t, i, "x", 0, c.fails...)
		r, ok := i.Result("x")
		if fmt.Sprint(did) != c.did || !ok || r.Outcome != c.outcome || fmt.Sprint(r.Parts) != c.parts || i.Current().Hash != c.hash || i.Pending() != "" {
			t.Errorf("%v: did %v, result %+v, document %s", c.fails, did, r, i.Current().Hash)
		}
		if fmt.Sprint(i.MixedParts()) != map[bool]string{true: c.parts, false: "[]"}[c.outcome == PartlyApplied] {
			t.Errorf("%v: mixed %v", c.fails, i.MixedParts())
		}
		if c.outcome != Applied && r.Reason == "" {
			t.Errorf("%v: no reason", c.fails)
		}
		// A repeat gets the first result and does nothing.
		if err := i.Prepare(0, 1, "x", 0, newDoc, 0); err != nil {
			t.Errorf("preparing it again: %v", err)
		}
		if todo, err := i.Commit(0, 1, "x"); len(todo) > 0 || err != nil {
			t.Errorf("committing it again: %v, error %v", todo, err)
		}
		if again, err := i.Abort(0, 1, "x"); err != nil || again.Outcome != c.outcome {
			t.Errorf("aborting it afterwards: %+v, error %v", again, err)
		}
	}
}

func TestRefusals(t *testing.T) {
	i := NewInstance("e", 7, oldDoc)
	prepare := func(fence uint64, id string, base uint64) error { return i.Prepare(0, fence, id, base, newDoc, 0) }
	for _, c := range []struct {
		what string
		err  error
		want error
	}{
		{"no id", prepare(1, "", 7), ErrNoID},
		{"a stale revision", prepare(1, "x", 6), ErrStaleRevision},
		{"well", prepare(1, "x", 7), nil},
		{"the same again", prepare(1, "x", 7), nil},
		{"another under the id", i.Prepare(0, 1, "x", 7, oldDoc, 0), ErrIDInUse},
		{"another beside it", prepare(1, "y", 7), ErrBusy},
		{"a newer manager's", prepare(2, "y", 7), nil},
		{"the older manager's again", prepare(1, "z", 7), ErrFenced},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("%s: %v", c.what, c.err)
		}
	}
	if r, _ := i.Result("x"); r.Outcome != Unchanged {
		t.Errorf("what was superseded ends as %+v", r)
	}
	if _, err := i.Commit(0, 2, "z"); !errors.Is(err, ErrNotPrepared) {
		t.Errorf("committing what is not prepared: %v", err)
	}
	if _, err := i.Commit(0, 1, "y"); !errors.Is(err, ErrFenced) {
		t.Errorf("the older manager commits: %v", err)
	}
}

// What is prepared and not committed expires, and an abort that comes before its change ends that for good.
func TestExpiryAndAbort(t *testing.T) {
	i := NewInstance("e", 0, oldDoc)
	i.Prepare(0, 1, "x", 0, newDoc, 0)
	if at, ok := i.NextDeadline(); !ok || at != PrepareTimeout {
		t.Errorf("due at %v, %v", at, ok)
	}
	if _, err := i.Commit(PrepareTimeout, 1, "x"); !errors.Is(err, ErrNotPrepared) {
		t.Errorf("committed too late: %v", err)
	}
	if r, err := i.Abort(0, 1, "y"); err != nil || r.Outcome != Unchanged {
		t.Errorf("aborted before it came: %+v, error %v", r, err)
	}
	if err := i.Prepare(0, 1, "y", 0, newDoc, 0); err != nil {
		t.Error(err)
	}
	if todo, _ := i.Commit(0, 1, "y"); len(todo) > 0 || i.Pending() != "" {
		t.Error("what was aborted is applied")
	}
}

// A change that cuts its own branch is taken back unless it is confirmed in time.
func TestConfirmation(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		i := NewInstance("e", 0, oldDoc)
		commit(t, i, "x", time.Second)
		if i.Current().Hash != "new" || i.Pending() != "x" {
			t.Fatal("not in force while it waits")
		}
		if err := i.Prepare(0, 1, "y", 1, newDoc, 0); !errors.Is(err, ErrBusy) {
			t.Errorf("another beside it: %v", err)
		}
		if confirmed {
			if err := i.Confirm(time.Second/2, 1, "x"); err != nil {
				t.Error(err)
			}
		}
		did := finish(i, time.Second, i.Tick(time.Second))
		r, _ := i.Result("x")
		switch {
		case confirmed && (r.Outcome != Applied || i.Current().Hash != "new" || len(did) > 0 || i.Revision() != 1):
			t.Errorf("confirmed: %+v, did %v", r, did)
		case !confirmed && (r.Outcome != Reverted || i.Current().Hash != "old" || fmt.Sprint(did) != "[revert decisions revert service]" || i.Revision() != 2):
			t.Errorf("not confirmed: %+v, did %v, document %s, revision %d", r, did, i.Current().Hash, i.Revision())
		}
		if err := i.Confirm(2*time.Second, 1, "x"); confirmed != (err == nil) {
			t.Errorf("confirmed again: %v", err)
		}
	}
}

func TestResultsAreBounded(t *testing.T) {
	i := NewInstance("e", 0, oldDoc)
	for n := range 3 * mostResults {
		i.Abort(0, 1, fmt.Sprint(n))
	}
	if len(i.results) > mostResults || len(i.order) > mostResults {
		t.Errorf("%d results are kept", len(i.results))
	}
}

// What a manager says of a commit that was not answered.
func TestSilence(t *testing.T) {
	sent := func() *Target {
		x := &Target{}
		x.NextRequest(false)
		x.RecordAnswer(Answer{Epoch: "e0"})
		if x.State != Prepared || x.NextRequest(true) != RequestCommit {
			t.Fatalf("state %s", x.State)
		}
		return x
	}
	x := sent()
	x.RecordNoAnswer("cut off")
	if x.State != Unknown || x.Resolve() != RequestAbort {
		t.Errorf("state %s", x.State)
	}
	for _, c := range []struct {
		what  string
		a     Answer
		state State
	}{
		{"it was applied", Answer{Epoch: "e0", Result: Result{Outcome: Applied}}, Done},
		{"in part", Answer{Epoch: "e0", Result: Result{Outcome: PartlyApplied, Parts: []string{"service"}}}, PartlyDone},
		{"it never came", Answer{Epoch: "e0", Result: Result{Outcome: Unchanged}}, NotDone},
		{"another process", Answer{Epoch: "e1", Result: Result{Outcome: Unchanged}}, NotDone},
		{"a newer manager", Answer{Epoch: "e0", Err: ErrFenced, Fenced: true}, Unknown},
		{"it is being applied", Answer{Epoch: "e0", Err: ErrBusy}, Unknown},
	} {
		y := *x
		if y.RecordAnswer(c.a); y.State != c.state {
			t.Errorf("%s: %s", c.what, y.State)
		}
	}
	// Before the commit silence is no doubt.
	y := &Target{}
	y.NextRequest(false)
	if y.RecordNoAnswer("cut off"); y.State != NotDone {
		t.Errorf("before the commit: %s", y.State)
	}
	// A manager that starts again does not know what it had sent.
	z := sent()
	if z.Resume(); z.State != Unknown {
		t.Errorf("after a restart: %s", z.State)
	}
}

func TestWaves(t *testing.T) {
	l := Limits{Canaries: 2, Growth: 3, Bake: 10 * time.Second, MoreRefused: 0.02, MoreFailed: 0.01, LessInAim: 0.05, Least: 100, Patience: time.Minute, MayFail: 0.1}
	if got := fmt.Sprint(l.WaveSizes(50)); got != "[2 6 18 24]" {
		t.Errorf("waves of %s", got)
	}
	if got := l.WaveSizes(0); len(got) > 0 {
		t.Errorf("waves of nobody: %v", got)
	}
	done := func(n, of int) WaveOutcome { return WaveOutcome{Total: of, Lost: of - n} }
	well := RequestCounts{Requests: 1000, InAim: 980, Refused: 10, Failed: 5}
	for _, c := range []struct {
		what    string
		ended   WaveOutcome
		since   RequestCounts
		watched time.Duration
		want    Verdict
	}{
		{"too early", done(10, 10), well, time.Second, KeepWatching},
		{"well", done(10, 10), well, 10 * time.Second, NextWave},
		{"one of ten is silent", done(9, 10), well, 10 * time.Second, NextWave},
		{"two of ten are", done(8, 10), well, 0, Halt},
		{"one refuses", WaveOutcome{Total: 10, Refused: 1}, well, 10 * time.Second, NextWave},
		{"two refuse", WaveOutcome{Total: 10, Refused: 2}, well, 0, RollBack},
		{"one refuses and one is silent", WaveOutcome{Total: 10, Refused: 1, Lost: 1}, well, 0, Halt},
		{"more refused", done(10, 10), RequestCounts{Requests: 1000, InAim: 965, Refused: 35}, time.Second, RollBack},
		{"a little more", done(10, 10), RequestCounts{Requests: 1000, InAim: 970, Refused: 25}, 10 * time.Second, NextWave},
		{"more failed", done(10, 10), RequestCounts{Requests: 1000, InAim: 975, Failed: 20}, time.Second, RollBack},
		{"later answers", done(10, 10), RequestCounts{Requests: 1000, InAim: 900}, time.Second, RollBack},
		{"too few to judge", done(10, 10), RequestCounts{Requests: 10, Failed: 10}, 20 * time.Second, KeepWatching},
		{"and for too long", done(10, 10), RequestCounts{Requests: 10, Failed: 10}, time.Minute, NextWave},
	} {
		if got, why := l.Evaluate(c.ended, well, c.since, c.watched); got != c.want || (got == RollBack || got == Halt) && why == "" {
			t.Errorf("%s: %d, %q", c.what, got, why)
		}
	}
	// With nothing to compare with, failures count all the same.
	if got, _ := l.Evaluate(done(2, 2), RequestCounts{}, RequestCounts{Requests: 500, Failed: 100}, time.Second); got != RollBack {
		t.Error("failures pass where nothing was asked before")
	}
}

// Managers that start after one another have rising numbers, and two that start at once differ.
func TestNextFence(t *testing.T) {
	first := NextFence(0, 7)
	if beside := NextFence(0, 8); first == 0 || beside == first {
		t.Errorf("two at once: %d and %d", first, beside)
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
			t.Errorf("%s comes back as %s, error %v", s, back, err)
		}
	}
	var s State
	if err := s.UnmarshalText([]byte("what")); err == nil {
		t.Error("an unknown state is read")
	}
}
