package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/change"
)

var limits = change.Limits{Canaries: 1, Growth: 2, Bake: 10 * time.Second, MoreRefused: 0.02, MoreFailed: 0.01, LessInAim: 0.05, Least: 100, Patience: time.Minute, MayFail: 0.2}

// bench plays instances that answer at once, the way that their names say.
type bench struct {
	t   *testing.T
	r   *Rollout
	now time.Duration
	how map[string]func(OutgoingRequest) (change.Answer, bool) // false: silent
	log []string
}

func names(n int) (all []PlannedInstance) {
	for i := range n {
		all = append(all, PlannedInstance{fmt.Sprintf("i%d", i), Observation{Epoch: "e0", Revision: 3, Hash: "old"}})
	}
	return all
}

func newBench(t *testing.T, n int) *bench {
	return &bench{t: t, now: time.Hour, r: New(time.Hour, "r", "new", limits, names(n)), how: map[string]func(OutgoingRequest) (change.Answer, bool){}}
}

// well is what an instance does that does as it is told.
func well(s OutgoingRequest) (change.Answer, bool) {
	a := change.Answer{Epoch: "e0"}
	if s.Request == change.RequestCommit {
		a.Result = change.Result{ID: s.ID, Outcome: change.Applied, Revision: 4}
	}
	if s.Request == change.RequestAbort {
		a.Result = change.Result{ID: s.ID, Outcome: change.Unchanged, Revision: 3, Reason: "aborted"}
	}
	return a, true
}

func refuses(OutgoingRequest) (change.Answer, bool) {
	return change.Answer{Epoch: "e0", Err: errors.New("no such class")}, true
}

func silent(OutgoingRequest) (change.Answer, bool) { return change.Answer{}, false }

// step goes on until nothing is to be sent.
func (b *bench) step() {
	for range 1000 {
		out := b.r.Advance(b.now)
		b.r.MarkSaved()
		if len(out) == 0 {
			return
		}
		b.carryOut(out)
	}
	b.t.Fatal("it never rests")
}

func (b *bench) carryOut(out []OutgoingRequest) {
	for _, s := range out {
		b.log = append(b.log, fmt.Sprintf("%s %s", []string{"", "prepare", "commit", "abort"}[s.Request], s.Instance))
		how := b.how[s.Instance]
		if how == nil {
			how = well
		}
		if a, ok := how(s); ok {
			b.r.RecordAnswer(b.now, s.Instance, a)
		} else {
			b.r.RecordNoAnswer(s.Instance, "timeout")
		}
	}
}

// serve has all instances show that they have served so many more.
func (b *bench) serve(d time.Duration, s change.RequestCounts) {
	b.now += d
	for _, m := range b.r.Members() {
		l := m.seen
		l.Served.Add(s)
		b.look(m.Name, l)
	}
	b.step()
}

func (b *bench) look(name string, l Observation) {
	out := b.r.Observe(b.now, name, l)
	b.r.MarkSaved()
	b.carryOut(out)
}

var fine = change.RequestCounts{Requests: 1000, InAim: 1000}

func (b *bench) want(status Status, wave int, s Summary) {
	b.t.Helper()
	if b.r.Status != status || b.r.Wave != wave || b.r.Summary() != s {
		b.t.Fatalf("%s, wave %d, %+v, reason %q; want %s, wave %d, %+v\n%s", b.r.Status, b.r.Wave, b.r.Summary(), b.r.Reason, status, wave, s, strings.Join(b.log, "\n"))
	}
}

// Waves of 1, 2 and 4 instances follow one another, each after the one before was watched.
func TestWaves(t *testing.T) {
	b := newBench(t, 7)
	b.step()
	b.want(Running, 0, Summary{Applied: 1, Waiting: 6})
	b.serve(9*time.Second, fine)
	b.want(Running, 0, Summary{Applied: 1, Waiting: 6})
	b.serve(2*time.Second, fine)
	b.want(Running, 1, Summary{Applied: 3, Waiting: 4})
	b.serve(11*time.Second, fine)
	b.want(Running, 2, Summary{Applied: 7})
	b.serve(11*time.Second, fine)
	b.want(Completed, 2, Summary{Applied: 7})
	if b.r.Busy("i0") || !b.r.Status.Finished() {
		t.Error("it still has to do with i0")
	}
}

// A document that instances refuse stops at the canary, where nothing was applied; one that makes service worse is taken
// back from all that have it.
func TestStops(t *testing.T) {
	b := newBench(t, 7)
	b.how["i0"] = refuses
	b.step()
	b.want(RolledBack, 0, Summary{Unchanged: 1, Waiting: 6})
	if slices.ContainsFunc(b.log, func(s string) bool { return strings.HasPrefix(s, "commit") }) {
		t.Errorf("did %v", b.log)
	}

	b = newBench(t, 7)
	b.serve(0, fine)
	b.serve(11*time.Second, fine)
	b.want(Running, 1, Summary{Applied: 3, Waiting: 4})
	b.serve(time.Second, change.RequestCounts{Requests: 1000, InAim: 900, Failed: 100})
	b.want(RolledBack, 1, Summary{Back: 3, Waiting: 4})
	if !strings.Contains(b.r.Reason, "failed") {
		t.Errorf("because %q", b.r.Reason)
	}

	// One of four in the second wave can't use it: before anybody there has it, the first is taken back.
	b = newBench(t, 7)
	b.how["i2"] = refuses
	b.step()
	b.serve(11*time.Second, fine)
	b.want(RolledBack, 1, Summary{Back: 1, Unchanged: 2, Waiting: 4})
}

// A process that ends after the change, while it is watched, has died of it as far as anybody knows.
func TestDiesOfIt(t *testing.T) {
	b := newBench(t, 3)
	b.step()
	b.look("i0", Observation{Epoch: "e1"})
	b.step()
	b.want(RolledBack, 0, Summary{Ended: 1, Waiting: 2})
}

// A process that has begun anew since the plan can't use what it was based on, which says nothing against the document.
func TestBegunAnewBeforeItsTurn(t *testing.T) {
	b := newBench(t, 1)
	b.how["i0"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e1", Err: change.ErrStaleRevision}, true
	}
	b.step()
	b.want(Halted, 0, Summary{Unchanged: 1})
	b.look("i0", Observation{Epoch: "e1", Hash: "none"})
	b.how["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
		a, _ := well(s)
		a.Epoch = "e1"
		if s.Request == change.RequestPrepare && s.Base != 0 {
			t.Errorf("based on %d", s.Base)
		}
		return a, true
	}
	if err := b.r.Resume(b.now, false); err != nil {
		t.Fatal(err)
	}
	b.step()
	b.want(Running, 0, Summary{Applied: 1})
}

// Too many that can't be reached halt the rollout and leave what is applied. It is resumed with those tried again, or
// without them.
func TestHaltAndResume(t *testing.T) {
	for _, leave := range []bool{false, true} {
		b := newBench(t, 3)
		b.how["i1"] = silent
		b.step()
		b.serve(11*time.Second, fine)
		b.now += stragglers
		b.step()
		b.want(Halted, 1, Summary{Applied: 2, Unchanged: 1})
		if !leave {
			delete(b.how, "i1")
		}
		if err := b.r.Resume(b.now, leave); err != nil {
			t.Fatal(err)
		}
		b.step()
		b.serve(11*time.Second, fine)
		if leave {
			b.want(Completed, 1, Summary{Applied: 2, Unchanged: 1})
		} else {
			b.want(Completed, 1, Summary{Applied: 3})
		}
		if err := b.r.Resume(b.now, leave); err != ErrNotHalted {
			t.Errorf("resumed again: %v", err)
		}
	}
}

// A slow instance holds the others up for the time of stragglers and no longer.
func TestStraggler(t *testing.T) {
	b := newBench(t, 3)
	b.step()
	b.serve(0, fine)
	b.now += 11 * time.Second
	var kept []OutgoingRequest
	for range 10 {
		out := b.r.Advance(b.now)
		for _, s := range out {
			if s.Instance == "i1" {
				kept = append(kept, s)
				continue
			}
			b.carryOut([]OutgoingRequest{s})
		}
		if len(out) == 0 {
			b.now += stragglers
		}
	}
	if len(kept) != 1 || b.r.Member("i2").Target.State != change.Done {
		t.Fatalf("kept %v, i2 is %s", kept, b.r.Member("i2").Target.State)
	}
	b.carryOut(kept)
	b.step()
	if s := b.r.Member("i1").Target.State; s != change.Done {
		t.Errorf("the slow one is %s", s)
	}
}

// A commit that was not answered is unknown, until the instance is seen again and says what became of it.
func TestUnknown(t *testing.T) {
	for _, applied := range []bool{true, false} {
		b := newBench(t, 3)
		b.how["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := well(s)
			return a, s.Request != change.RequestCommit
		}
		b.step()
		b.want(Halted, 0, Summary{Unknown: 1, Waiting: 2})
		b.how["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := well(s)
			if applied {
				a.Result = change.Result{Outcome: change.Applied, Revision: 4}
			}
			return a, true
		}
		b.look("i0", Observation{Epoch: "e0"})
		if applied {
			b.want(Halted, 0, Summary{Applied: 1, Waiting: 2})
		} else {
			b.want(Halted, 0, Summary{Unchanged: 1, Waiting: 2})
		}
	}
}

// Whatever a manager had sent, one that starts again from its journal claims nothing that it was not told, and goes on: that
// a manager has died is no instance's failure.
func TestRestoreAtEachStep(t *testing.T) {
	for kill := 0; ; kill++ {
		b := newBench(t, 3)
		var journal struct {
			h Header
			m map[string]string
		}
		journal.m = map[string]string{}
		write := func() {
			h, members := b.r.Unsaved()
			if h != nil {
				journal.h = *h
			}
			for _, m := range members {
				text, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				journal.m[m.Name] = string(text)
			}
			b.r.MarkSaved()
		}
		restore := func() {
			var members []Member
			for _, name := range []string{"i0", "i1", "i2"} {
				var m Member
				if err := json.Unmarshal([]byte(journal.m[name]), &m); err != nil {
					t.Fatal(err)
				}
				members = append(members, m)
			}
			b.r = Restore(journal.h, members)
		}
		write()
		applied, steps, killed := map[string]bool{}, 0, false
		at := func() bool { // the manager dies here
			steps++
			if steps == kill+1 {
				killed = true
				restore()
				return true
			}
			return false
		}
		for range 200 {
			out := b.r.Advance(b.now)
			if at() {
				continue
			}
			write()
			if at() {
				continue
			}
			for _, s := range out {
				a, _ := well(s)
				if applied[s.Instance] {
					a.Result = change.Result{Outcome: change.Applied, Revision: 4}
				} else if s.Request == change.RequestCommit {
					applied[s.Instance] = true
				}
				if at() {
					break
				}
				b.r.RecordAnswer(b.now, s.Instance, a)
			}
			b.now += time.Second
			for _, m := range b.r.Members() {
				l := m.seen
				l.Epoch = "e0"
				l.Served.Add(fine)
				for _, s := range b.r.Observe(b.now, m.Name, l) {
					write()
					a, _ := well(s)
					if applied[s.Instance] {
						a.Result = change.Result{Outcome: change.Applied, Revision: 4}
					}
					b.r.RecordAnswer(b.now, s.Instance, a)
				}
			}
			if b.r.Status == Halted {
				t.Fatalf("killed at step %d: halted, %s, though no instance has failed", kill, b.r.Reason)
			}
		}
		for _, m := range b.r.Members() {
			if (m.Target.State == change.Done) != applied[m.Name] {
				t.Errorf("killed at step %d: %s is told as %s, and that it is applied is %v", kill, m.Name, m.Target.State, applied[m.Name])
			}
		}
		if b.r.Status != Completed {
			t.Errorf("killed at step %d: %s, %s", kill, b.r.Status, b.r.Reason)
		}
		if !killed {
			if kill < 10 {
				t.Errorf("only %d steps", kill)
			}
			return
		}
	}
}

// A newer manager ends all of it, and what was said stays said.
func TestSuperseded(t *testing.T) {
	b := newBench(t, 3)
	b.step()
	b.how["i1"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e0", Err: change.ErrFenced, Fenced: true}, true
	}
	b.serve(11*time.Second, fine)
	b.serve(11*time.Second, fine)
	if b.r.Status != Superseded || b.r.Member("i0").Target.State != change.Done || b.r.Member("i1").Target.State != change.Superseded {
		t.Errorf("%s, %+v", b.r.Status, b.r.Summary())
	}
	sent := len(b.log)
	b.serve(11*time.Second, fine)
	if len(b.log) > sent {
		t.Errorf("sent %v", b.log[sent:])
	}
}

// An abort ends what is prepared and leaves what is applied.
func TestAbort(t *testing.T) {
	b := newBench(t, 3)
	b.step()
	if err := b.r.Abort(b.now); err != nil {
		t.Fatal(err)
	}
	b.step()
	b.want(Halted, 0, Summary{Applied: 1, Waiting: 2})
	if err := b.r.Abort(b.now); err != ErrNotRunning {
		t.Errorf("aborted again: %v", err)
	}
	if err := b.r.Rollback(b.now); err != nil {
		t.Fatal(err)
	}
	b.step()
	b.want(RolledBack, 0, Summary{Back: 1, Waiting: 2})
	if err := b.r.Rollback(b.now); err != ErrAlreadyRolledBack {
		t.Errorf("rolled back again: %v", err)
	}
}

// A taking back that was halted is what goes on when it is resumed.
func TestResumedTakingBack(t *testing.T) {
	b := newBench(t, 1)
	b.step()
	if err := b.r.Rollback(b.now); err != nil {
		t.Fatal(err)
	}
	b.carryOut(b.r.Advance(b.now)) // it is prepared
	if err := b.r.Abort(b.now); err != nil {
		t.Fatal(err)
	}
	b.step()
	if err := b.r.Resume(b.now, false); err != nil {
		t.Fatal(err)
	}
	b.step()
	b.want(RolledBack, 0, Summary{Back: 1})
}

// The keeper brings back an instance that has begun anew, waits longer after each refusal, and leaves alone what a
// rollout has in hand.
func TestKeeper(t *testing.T) {
	k := Reconciler{Name: "i0", Desired: "new"}
	if _, ok := k.Observe(0, Observation{Epoch: "e0", Hash: "new"}, false); ok {
		t.Error("something is sent to one that is as wanted")
	}
	if _, ok := k.Observe(0, Observation{Epoch: "e0", Hash: "new", Mixed: true}, false); !ok {
		t.Error("nothing is sent to one that has parts of another document")
	}
	k = Reconciler{Name: "i0", Desired: "new"}
	lost := Observation{Epoch: "e1", Hash: "old"}
	if _, ok := k.Observe(0, lost, true); ok {
		t.Error("something is sent to one that a rollout has in hand")
	}
	s, ok := k.Observe(0, lost, false)
	if !ok || s.Request != change.RequestPrepare || s.Document != "new" {
		t.Fatalf("sent %+v, %v", s, ok)
	}
	if s, ok = k.RecordAnswer(0, false, change.Answer{Epoch: "e1"}); !ok || s.Request != change.RequestCommit {
		t.Fatalf("then %+v, %v", s, ok)
	}
	if _, ok = k.RecordAnswer(0, false, change.Answer{Epoch: "e1", Result: change.Result{Outcome: change.Applied}}); ok || k.FailureReason() != "" {
		t.Error("it does not rest")
	}
	waits := []time.Duration{}
	now := time.Duration(0)
	for range 12 {
		if _, ok = k.Observe(now, lost, false); !ok {
			t.Fatalf("nothing is tried after %v", waits)
		}
		k.RecordAnswer(now, false, change.Answer{Epoch: "e1", Err: errors.New("no")})
		if k.FailureReason() != "no" {
			t.Errorf("refused because %q", k.FailureReason())
		}
		if _, ok = k.Observe(k.due-1, lost, false); ok {
			t.Error("tried too soon")
		}
		waits = append(waits, k.due-now)
		now = k.due
	}
	if waits[0] != firstAgain || waits[11] != lastAgain || !slices.IsSorted(waits) {
		t.Errorf("waits %v", waits)
	}
	// What is wanted changes between prepare and commit: nothing is committed.
	k.Observe(now, lost, false)
	k.Desired = "newer"
	if s, ok = k.RecordAnswer(now, false, change.Answer{Epoch: "e1"}); ok {
		t.Errorf("sent %+v", s)
	}
}

func TestWindow(t *testing.T) {
	var w SlidingWindow
	total := change.RequestCounts{}
	for i := range 100 {
		total.Requests += 10
		got := w.Add(time.Duration(i)*time.Second, "e0", total)
		if i == 99 && (got.Requests < 300 || got.Requests > 350) {
			t.Errorf("the last half minute served %v", got.Requests)
		}
	}
	if len(w.samples) > windowSamples {
		t.Errorf("%d samples", len(w.samples))
	}
	if got := w.Add(100*time.Second, "e1", change.RequestCounts{Requests: 5}); got.Requests != 0 {
		t.Errorf("another process has served %v", got.Requests)
	}
}
