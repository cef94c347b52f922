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

// harness runs a rollout against simulated instances that answer at once, or not at all.
type harness struct {
	t         *testing.T
	r         *Rollout
	now       time.Duration
	responses map[string]func(OutgoingRequest) (change.Answer, bool) // by instance, accepts if missing; false for no answer
	sent      []string
}

// plannedInstances returns n instances with the same document and revision.
func plannedInstances(n int) (planned []PlannedInstance) {
	for i := range n {
		planned = append(planned, PlannedInstance{fmt.Sprintf("i%d", i), Observation{Epoch: "e0", Revision: 3, Hash: "old"}})
	}
	return planned
}

func newHarness(t *testing.T, n int) *harness {
	return &harness{t: t, now: time.Hour, r: New(time.Hour, "r", "new", limits, plannedInstances(n)), responses: map[string]func(OutgoingRequest) (change.Answer, bool){}}
}

// accepts answers as an instance that carries out every request.
func accepts(s OutgoingRequest) (change.Answer, bool) {
	a := change.Answer{Epoch: "e0"}
	if s.Request == change.RequestCommit {
		a.Result = change.Result{ID: s.ID, Outcome: change.Applied, Revision: 4}
	}
	if s.Request == change.RequestAbort {
		a.Result = change.Result{ID: s.ID, Outcome: change.Unchanged, Revision: 3, Reason: "aborted"}
	}
	return a, true
}

// refuses answers as an instance that rejects the document.
func refuses(OutgoingRequest) (change.Answer, bool) {
	return change.Answer{Epoch: "e0", Err: errors.New("no such class")}, true
}

// silent does not answer.
func silent(OutgoingRequest) (change.Answer, bool) { return change.Answer{}, false }

// advanceUntilIdle advances the rollout until there are no more requests to send.
func (b *harness) advanceUntilIdle() {
	for range 1000 {
		requests := b.r.Advance(b.now)
		b.r.MarkSaved()
		if len(requests) == 0 {
			return
		}
		b.deliver(requests)
	}
	b.t.Fatal("the rollout sends requests without end")
}

// deliver passes requests to the simulated instances and their answers to the rollout.
func (b *harness) deliver(requests []OutgoingRequest) {
	for _, s := range requests {
		b.sent = append(b.sent, fmt.Sprintf("%s %s", []string{"", "prepare", "commit", "abort"}[s.Request], s.Instance))
		respond := b.responses[s.Instance]
		if respond == nil {
			respond = accepts
		}
		if a, ok := respond(s); ok {
			b.r.RecordAnswer(b.now, s.Instance, a)
		} else {
			b.r.RecordNoAnswer(s.Instance, "timeout")
		}
	}
}

// serveRequests lets time pass and all instances report that they have served s more requests.
func (b *harness) serveRequests(d time.Duration, s change.RequestCounts) {
	b.now += d
	for _, m := range b.r.Members() {
		l := m.observed
		l.Served.Add(s)
		b.observe(m.Name, l)
	}
	b.advanceUntilIdle()
}

// observe reports the state of an instance and delivers the requests that follow.
func (b *harness) observe(name string, l Observation) {
	requests := b.r.Observe(b.now, name, l)
	b.r.MarkSaved()
	b.deliver(requests)
}

var healthyCounts = change.RequestCounts{Requests: 1000, InAim: 1000}

// expect fails the test if the rollout is in another state.
func (b *harness) expect(status Status, wave int, s Summary) {
	b.t.Helper()
	if b.r.Status != status || b.r.Wave != wave || b.r.Summary() != s {
		b.t.Fatalf("%s, wave %d, %+v, reason %q; want %s, wave %d, %+v\n%s", b.r.Status, b.r.Wave, b.r.Summary(), b.r.Reason, status, wave, s, strings.Join(b.sent, "\n"))
	}
}

// Waves of 1, 2 and 4 instances follow each other, each after the previous one was observed.
func TestWaves(t *testing.T) {
	b := newHarness(t, 7)
	b.advanceUntilIdle()
	b.expect(Running, 0, Summary{Applied: 1, Waiting: 6})
	b.serveRequests(9*time.Second, healthyCounts)
	b.expect(Running, 0, Summary{Applied: 1, Waiting: 6})
	b.serveRequests(2*time.Second, healthyCounts)
	b.expect(Running, 1, Summary{Applied: 3, Waiting: 4})
	b.serveRequests(11*time.Second, healthyCounts)
	b.expect(Running, 2, Summary{Applied: 7})
	b.serveRequests(11*time.Second, healthyCounts)
	b.expect(Completed, 2, Summary{Applied: 7})
	if b.r.Busy("i0") || !b.r.Status.Finished() {
		t.Error("the completed rollout is not finished or still busy with i0")
	}
}

// A document that instances refuse stops at the canary, where nothing is applied. A document that
// makes service worse is reverted on all instances that have it.
func TestStops(t *testing.T) {
	b := newHarness(t, 7)
	b.responses["i0"] = refuses
	b.advanceUntilIdle()
	b.expect(RolledBack, 0, Summary{Unchanged: 1, Waiting: 6})
	if slices.ContainsFunc(b.sent, func(s string) bool { return strings.HasPrefix(s, "commit") }) {
		t.Errorf("requests %v", b.sent)
	}

	b = newHarness(t, 7)
	b.serveRequests(0, healthyCounts)
	b.serveRequests(11*time.Second, healthyCounts)
	b.expect(Running, 1, Summary{Applied: 3, Waiting: 4})
	b.serveRequests(time.Second, change.RequestCounts{Requests: 1000, InAim: 900, Failed: 100})
	b.expect(RolledBack, 1, Summary{Back: 3, Waiting: 4})
	if !strings.Contains(b.r.Reason, "failed") {
		t.Errorf("reason %q", b.r.Reason)
	}

	// An instance of the second wave refuses the document: the first wave is reverted before the
	// second is committed.
	b = newHarness(t, 7)
	b.responses["i2"] = refuses
	b.advanceUntilIdle()
	b.serveRequests(11*time.Second, healthyCounts)
	b.expect(RolledBack, 1, Summary{Back: 1, Unchanged: 2, Waiting: 4})
}

// A process that ends while its wave is observed counts as a failure of the change.
func TestDiesOfIt(t *testing.T) {
	b := newHarness(t, 3)
	b.advanceUntilIdle()
	b.observe("i0", Observation{Epoch: "e1"})
	b.advanceUntilIdle()
	b.expect(RolledBack, 0, Summary{Ended: 1, Waiting: 2})
}

// A process that has restarted since the rollout was planned refuses the outdated base revision,
// which does not count against the document.
func TestBegunAnewBeforeItsTurn(t *testing.T) {
	b := newHarness(t, 1)
	b.responses["i0"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e1", Err: change.ErrStaleRevision}, true
	}
	b.advanceUntilIdle()
	b.expect(Halted, 0, Summary{Unchanged: 1})
	b.observe("i0", Observation{Epoch: "e1", Hash: "none"})
	b.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
		a, _ := accepts(s)
		a.Epoch = "e1"
		if s.Request == change.RequestPrepare && s.Base != 0 {
			t.Errorf("base revision %d", s.Base)
		}
		return a, true
	}
	if err := b.r.Resume(b.now, false); err != nil {
		t.Fatal(err)
	}
	b.advanceUntilIdle()
	b.expect(Running, 0, Summary{Applied: 1})
}

// Too many unreachable instances halt the rollout, and applied changes stay. Resuming it retries
// these instances or excludes them.
func TestHaltAndResume(t *testing.T) {
	for _, exclude := range []bool{false, true} {
		b := newHarness(t, 3)
		b.responses["i1"] = silent
		b.advanceUntilIdle()
		b.serveRequests(11*time.Second, healthyCounts)
		b.now += stragglerTimeout
		b.advanceUntilIdle()
		b.expect(Halted, 1, Summary{Applied: 2, Unchanged: 1})
		if !exclude {
			delete(b.responses, "i1")
		}
		if err := b.r.Resume(b.now, exclude); err != nil {
			t.Fatal(err)
		}
		b.advanceUntilIdle()
		b.serveRequests(11*time.Second, healthyCounts)
		if exclude {
			b.expect(Completed, 1, Summary{Applied: 2, Unchanged: 1})
		} else {
			b.expect(Completed, 1, Summary{Applied: 3})
		}
		if err := b.r.Resume(b.now, exclude); err != ErrNotHalted {
			t.Errorf("resumed again: %v", err)
		}
	}
}

// A slow instance delays the others for stragglerTimeout at most.
func TestStraggler(t *testing.T) {
	b := newHarness(t, 3)
	b.advanceUntilIdle()
	b.serveRequests(0, healthyCounts)
	b.now += 11 * time.Second
	var withheld []OutgoingRequest
	for range 10 {
		requests := b.r.Advance(b.now)
		for _, s := range requests {
			if s.Instance == "i1" {
				withheld = append(withheld, s)
				continue
			}
			b.deliver([]OutgoingRequest{s})
		}
		if len(requests) == 0 {
			b.now += stragglerTimeout
		}
	}
	if len(withheld) != 1 || b.r.Member("i2").Target.State != change.Done {
		t.Fatalf("withheld %v, i2 is %s", withheld, b.r.Member("i2").Target.State)
	}
	b.deliver(withheld)
	b.advanceUntilIdle()
	if s := b.r.Member("i1").Target.State; s != change.Done {
		t.Errorf("the slow instance is %s", s)
	}
}

// A commit that was not answered leaves the state unknown until the instance is observed again and
// reports the result.
func TestUnknown(t *testing.T) {
	for _, applied := range []bool{true, false} {
		b := newHarness(t, 3)
		b.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := accepts(s)
			return a, s.Request != change.RequestCommit
		}
		b.advanceUntilIdle()
		b.expect(Halted, 0, Summary{Unknown: 1, Waiting: 2})
		b.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := accepts(s)
			if applied {
				a.Result = change.Result{Outcome: change.Applied, Revision: 4}
			}
			return a, true
		}
		b.observe("i0", Observation{Epoch: "e0"})
		if applied {
			b.expect(Halted, 0, Summary{Applied: 1, Waiting: 2})
		} else {
			b.expect(Halted, 0, Summary{Unchanged: 1, Waiting: 2})
		}
	}
}

// A manager may end at any point. When it restarts from its journal, it records only results that
// instances reported, and it completes the rollout, because the end of a manager is not a failure
// of an instance.
func TestRestoreAtEachStep(t *testing.T) {
	for restartPoint := 0; ; restartPoint++ {
		b := newHarness(t, 3)
		var journal struct {
			header  Header
			members map[string]string
		}
		journal.members = map[string]string{}
		write := func() {
			h, members := b.r.Unsaved()
			if h != nil {
				journal.header = *h
			}
			for _, m := range members {
				text, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				journal.members[m.Name] = string(text)
			}
			b.r.MarkSaved()
		}
		restore := func() {
			var members []Member
			for _, name := range []string{"i0", "i1", "i2"} {
				var m Member
				if err := json.Unmarshal([]byte(journal.members[name]), &m); err != nil {
					t.Fatal(err)
				}
				members = append(members, m)
			}
			b.r = Restore(journal.header, members)
		}
		write()
		applied, restartPoints, restarted := map[string]bool{}, 0, false
		restartHere := func() bool { // restarts the manager at the chosen point
			restartPoints++
			if restartPoints == restartPoint+1 {
				restarted = true
				restore()
				return true
			}
			return false
		}
		for range 200 {
			requests := b.r.Advance(b.now)
			if restartHere() {
				continue
			}
			write()
			if restartHere() {
				continue
			}
			for _, s := range requests {
				a, _ := accepts(s)
				if applied[s.Instance] {
					a.Result = change.Result{Outcome: change.Applied, Revision: 4}
				} else if s.Request == change.RequestCommit {
					applied[s.Instance] = true
				}
				if restartHere() {
					break
				}
				b.r.RecordAnswer(b.now, s.Instance, a)
			}
			b.now += time.Second
			for _, m := range b.r.Members() {
				l := m.observed
				l.Epoch = "e0"
				l.Served.Add(healthyCounts)
				for _, s := range b.r.Observe(b.now, m.Name, l) {
					write()
					a, _ := accepts(s)
					if applied[s.Instance] {
						a.Result = change.Result{Outcome: change.Applied, Revision: 4}
					}
					b.r.RecordAnswer(b.now, s.Instance, a)
				}
			}
			if b.r.Status == Halted {
				t.Fatalf("restarted at point %d: halted, %s, though no instance has failed", restartPoint, b.r.Reason)
			}
		}
		for _, m := range b.r.Members() {
			if (m.Target.State == change.Done) != applied[m.Name] {
				t.Errorf("restarted at point %d: %s is recorded as %s, applied is %v", restartPoint, m.Name, m.Target.State, applied[m.Name])
			}
		}
		if b.r.Status != Completed {
			t.Errorf("restarted at point %d: %s, %s", restartPoint, b.r.Status, b.r.Reason)
		}
		if !restarted {
			if restartPoint < 10 {
				t.Errorf("only %d restart points", restartPoint)
			}
			return
		}
	}
}

// A newer manager ends the rollout of an older one, and recorded results stay.
func TestSuperseded(t *testing.T) {
	b := newHarness(t, 3)
	b.advanceUntilIdle()
	b.responses["i1"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e0", Err: change.ErrFenced, Fenced: true}, true
	}
	b.serveRequests(11*time.Second, healthyCounts)
	b.serveRequests(11*time.Second, healthyCounts)
	if b.r.Status != Superseded || b.r.Member("i0").Target.State != change.Done || b.r.Member("i1").Target.State != change.Superseded {
		t.Errorf("%s, %+v", b.r.Status, b.r.Summary())
	}
	sentBefore := len(b.sent)
	b.serveRequests(11*time.Second, healthyCounts)
	if len(b.sent) > sentBefore {
		t.Errorf("sent %v", b.sent[sentBefore:])
	}
}

// An abort ends prepared changes and leaves applied ones in force.
func TestAbort(t *testing.T) {
	b := newHarness(t, 3)
	b.advanceUntilIdle()
	if err := b.r.Abort(b.now); err != nil {
		t.Fatal(err)
	}
	b.advanceUntilIdle()
	b.expect(Halted, 0, Summary{Applied: 1, Waiting: 2})
	if err := b.r.Abort(b.now); err != ErrNotRunning {
		t.Errorf("aborted again: %v", err)
	}
	if err := b.r.Rollback(b.now); err != nil {
		t.Fatal(err)
	}
	b.advanceUntilIdle()
	b.expect(RolledBack, 0, Summary{Back: 1, Waiting: 2})
	if err := b.r.Rollback(b.now); err != ErrAlreadyRolledBack {
		t.Errorf("rolled back again: %v", err)
	}
}

// Resuming a rollback that was halted continues the rollback.
func TestResumedTakingBack(t *testing.T) {
	b := newHarness(t, 1)
	b.advanceUntilIdle()
	if err := b.r.Rollback(b.now); err != nil {
		t.Fatal(err)
	}
	b.deliver(b.r.Advance(b.now)) // the revert is prepared
	if err := b.r.Abort(b.now); err != nil {
		t.Fatal(err)
	}
	b.advanceUntilIdle()
	if err := b.r.Resume(b.now, false); err != nil {
		t.Fatal(err)
	}
	b.advanceUntilIdle()
	b.expect(RolledBack, 0, Summary{Back: 1})
}

// The reconciler restores the document of an instance that has restarted, waits longer after each
// failure, and sends nothing while a rollout changes the instance.
func TestKeeper(t *testing.T) {
	k := Reconciler{Name: "i0", Desired: "new"}
	if _, ok := k.Observe(0, Observation{Epoch: "e0", Hash: "new"}, false); ok {
		t.Error("a request is sent to an instance with the desired document")
	}
	if _, ok := k.Observe(0, Observation{Epoch: "e0", Hash: "new", Mixed: true}, false); !ok {
		t.Error("no request is sent to an instance with parts of another document")
	}
	k = Reconciler{Name: "i0", Desired: "new"}
	outdated := Observation{Epoch: "e1", Hash: "old"}
	if _, ok := k.Observe(0, outdated, true); ok {
		t.Error("a request is sent to an instance that a rollout changes")
	}
	s, ok := k.Observe(0, outdated, false)
	if !ok || s.Request != change.RequestPrepare || s.Document != "new" {
		t.Fatalf("sent %+v, %v", s, ok)
	}
	if s, ok = k.RecordAnswer(0, false, change.Answer{Epoch: "e1"}); !ok || s.Request != change.RequestCommit {
		t.Fatalf("then %+v, %v", s, ok)
	}
	if _, ok = k.RecordAnswer(0, false, change.Answer{Epoch: "e1", Result: change.Result{Outcome: change.Applied}}); ok || k.FailureReason() != "" {
		t.Error("the reconciler does not stop after success")
	}
	delays := []time.Duration{}
	now := time.Duration(0)
	for range 12 {
		if _, ok = k.Observe(now, outdated, false); !ok {
			t.Fatalf("no attempt after the delays %v", delays)
		}
		k.RecordAnswer(now, false, change.Answer{Epoch: "e1", Err: errors.New("no")})
		if k.FailureReason() != "no" {
			t.Errorf("failure reason %q", k.FailureReason())
		}
		if _, ok = k.Observe(k.retryAt-1, outdated, false); ok {
			t.Error("retried too early")
		}
		delays = append(delays, k.retryAt-now)
		now = k.retryAt
	}
	if delays[0] != minRetryDelay || delays[11] != maxRetryDelay || !slices.IsSorted(delays) {
		t.Errorf("delays %v", delays)
	}
	// The desired document changes between prepare and commit: nothing is committed.
	k.Observe(now, outdated, false)
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
			t.Errorf("requests in the last half minute: %v", got.Requests)
		}
	}
	if len(w.samples) > maxSamples {
		t.Errorf("%d samples", len(w.samples))
	}
	if got := w.Add(100*time.Second, "e1", change.RequestCounts{Requests: 5}); got.Requests != 0 {
		t.Errorf("requests of a new process: %v", got.Requests)
	}
}
