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
	t   *testing.T
	r   *Rollout
	now time.Duration
	// responses has a function per instance that answers its requests; it returns false for no
	// answer. Instances without an entry use accepts.
	responses map[string]func(OutgoingRequest) (change.Answer, bool)
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

// doesNotAnswer simulates an instance that does not answer.
func doesNotAnswer(OutgoingRequest) (change.Answer, bool) { return change.Answer{}, false }

// advanceUntilIdle advances the rollout until there are no more requests to send.
func (h *harness) advanceUntilIdle() {
	for range 1000 {
		requests := h.r.Advance(h.now)
		h.r.MarkSaved()
		if len(requests) == 0 {
			return
		}
		h.deliver(requests)
	}
	h.t.Fatal("the rollout sends requests without end")
}

// deliver passes requests to the simulated instances and their answers to the rollout.
func (h *harness) deliver(requests []OutgoingRequest) {
	for _, s := range requests {
		h.sent = append(h.sent, fmt.Sprintf("%s %s", []string{"", "prepare", "commit", "abort"}[s.Request], s.Instance))
		respond := h.responses[s.Instance]
		if respond == nil {
			respond = accepts
		}
		if a, ok := respond(s); ok {
			h.r.RecordAnswer(h.now, s.Instance, a)
		} else {
			h.r.RecordNoAnswer(s.Instance, "timeout")
		}
	}
}

// serveRequests lets time pass, after which all instances report the given additional requests.
func (h *harness) serveRequests(elapsed time.Duration, counts change.RequestCounts) {
	h.now += elapsed
	for _, m := range h.r.Members() {
		observation := m.observed
		observation.Served.Add(counts)
		h.observe(m.Name, observation)
	}
	h.advanceUntilIdle()
}

// observe reports the state of an instance and delivers the requests that follow.
func (h *harness) observe(name string, observation Observation) {
	requests := h.r.Observe(h.now, name, observation)
	h.r.MarkSaved()
	h.deliver(requests)
}

var healthyCounts = change.RequestCounts{Requests: 1000, InAim: 1000}

// expect fails the test if the rollout is in another state.
func (h *harness) expect(status Status, wave int, s Summary) {
	h.t.Helper()
	if h.r.Status != status || h.r.Wave != wave || h.r.Summary() != s {
		h.t.Fatalf("%s, wave %d, %+v, reason %q; want %s, wave %d, %+v\n%s", h.r.Status, h.r.Wave, h.r.Summary(), h.r.Reason, status, wave, s, strings.Join(h.sent, "\n"))
	}
}

// Waves of 1, 2 and 4 instances follow each other, each after the previous one was observed.
func TestWaves(t *testing.T) {
	h := newHarness(t, 7)
	h.advanceUntilIdle()
	h.expect(Running, 0, Summary{Applied: 1, Waiting: 6})
	h.serveRequests(9*time.Second, healthyCounts)
	h.expect(Running, 0, Summary{Applied: 1, Waiting: 6})
	h.serveRequests(2*time.Second, healthyCounts)
	h.expect(Running, 1, Summary{Applied: 3, Waiting: 4})
	h.serveRequests(11*time.Second, healthyCounts)
	h.expect(Running, 2, Summary{Applied: 7})
	h.serveRequests(11*time.Second, healthyCounts)
	h.expect(Completed, 2, Summary{Applied: 7})
	if h.r.Busy("i0") || !h.r.Status.Finished() {
		t.Error("the completed rollout is not finished or still busy with i0")
	}
}

// A document that instances refuse stops at the canary, where nothing is applied. A document that
// makes service worse is reverted on all instances that have it.
func TestStops(t *testing.T) {
	h := newHarness(t, 7)
	h.responses["i0"] = refuses
	h.advanceUntilIdle()
	h.expect(RolledBack, 0, Summary{Unchanged: 1, Waiting: 6})
	if slices.ContainsFunc(h.sent, func(s string) bool { return strings.HasPrefix(s, "commit") }) {
		t.Errorf("requests %v", h.sent)
	}

	h = newHarness(t, 7)
	h.serveRequests(0, healthyCounts)
	h.serveRequests(11*time.Second, healthyCounts)
	h.expect(Running, 1, Summary{Applied: 3, Waiting: 4})
	h.serveRequests(time.Second, change.RequestCounts{Requests: 1000, InAim: 900, Failed: 100})
	h.expect(RolledBack, 1, Summary{Back: 3, Waiting: 4})
	if !strings.Contains(h.r.Reason, "failed") {
		t.Errorf("reason %q", h.r.Reason)
	}

	// An instance of the second wave refuses the document: the first wave is reverted before the
	// second is committed.
	h = newHarness(t, 7)
	h.responses["i2"] = refuses
	h.advanceUntilIdle()
	h.serveRequests(11*time.Second, healthyCounts)
	h.expect(RolledBack, 1, Summary{Back: 1, Unchanged: 2, Waiting: 4})
}

// A process that ends while its wave is observed counts as a failure of the change.
func TestDiesOfIt(t *testing.T) {
	h := newHarness(t, 3)
	h.advanceUntilIdle()
	h.observe("i0", Observation{Epoch: "e1"})
	h.advanceUntilIdle()
	h.expect(RolledBack, 0, Summary{Ended: 1, Waiting: 2})
}

// A process that has restarted since the rollout was planned refuses the outdated base revision,
// which does not count against the document.
func TestBegunAnewBeforeItsTurn(t *testing.T) {
	h := newHarness(t, 1)
	h.responses["i0"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e1", Err: change.ErrStaleRevision}, true
	}
	h.advanceUntilIdle()
	h.expect(Halted, 0, Summary{Unchanged: 1})
	h.observe("i0", Observation{Epoch: "e1", Hash: "none"})
	h.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
		a, _ := accepts(s)
		a.Epoch = "e1"
		if s.Request == change.RequestPrepare && s.Base != 0 {
			t.Errorf("base revision %d", s.Base)
		}
		return a, true
	}
	if err := h.r.Resume(h.now, false); err != nil {
		t.Fatal(err)
	}
	h.advanceUntilIdle()
	h.expect(Running, 0, Summary{Applied: 1})
}

// Too many unreachable instances halt the rollout, and applied changes stay. Resuming it retries
// these instances or excludes them.
func TestHaltAndResume(t *testing.T) {
	for _, exclude := range []bool{false, true} {
		h := newHarness(t, 3)
		h.responses["i1"] = doesNotAnswer
		h.advanceUntilIdle()
		h.serveRequests(11*time.Second, healthyCounts)
		h.now += stragglerTimeout
		h.advanceUntilIdle()
		h.expect(Halted, 1, Summary{Applied: 2, Unchanged: 1})
		if !exclude {
			delete(h.responses, "i1")
		}
		if err := h.r.Resume(h.now, exclude); err != nil {
			t.Fatal(err)
		}
		h.advanceUntilIdle()
		h.serveRequests(11*time.Second, healthyCounts)
		if exclude {
			h.expect(Completed, 1, Summary{Applied: 2, Unchanged: 1})
		} else {
			h.expect(Completed, 1, Summary{Applied: 3})
		}
		if err := h.r.Resume(h.now, exclude); err != ErrNotHalted {
			t.Errorf("resumed again: %v", err)
		}
	}
}

// A slow instance delays the others for stragglerTimeout at most.
func TestStraggler(t *testing.T) {
	h := newHarness(t, 3)
	h.advanceUntilIdle()
	h.serveRequests(0, healthyCounts)
	h.now += 11 * time.Second
	var withheld []OutgoingRequest
	for range 10 {
		requests := h.r.Advance(h.now)
		for _, s := range requests {
			if s.Instance == "i1" {
				withheld = append(withheld, s)
				continue
			}
			h.deliver([]OutgoingRequest{s})
		}
		if len(requests) == 0 {
			h.now += stragglerTimeout
		}
	}
	if len(withheld) != 1 || h.r.Member("i2").Target.State != change.Done {
		t.Fatalf("withheld %v, i2 is %s", withheld, h.r.Member("i2").Target.State)
	}
	h.deliver(withheld)
	h.advanceUntilIdle()
	if s := h.r.Member("i1").Target.State; s != change.Done {
		t.Errorf("the slow instance is %s", s)
	}
}

// A commit that was not answered leaves the state unknown until the instance is observed again and
// reports the result.
func TestUnknown(t *testing.T) {
	for _, applied := range []bool{true, false} {
		h := newHarness(t, 3)
		h.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := accepts(s)
			return a, s.Request != change.RequestCommit
		}
		h.advanceUntilIdle()
		h.expect(Halted, 0, Summary{Unknown: 1, Waiting: 2})
		h.responses["i0"] = func(s OutgoingRequest) (change.Answer, bool) {
			a, _ := accepts(s)
			if applied {
				a.Result = change.Result{Outcome: change.Applied, Revision: 4}
			}
			return a, true
		}
		h.observe("i0", Observation{Epoch: "e0"})
		if applied {
			h.expect(Halted, 0, Summary{Applied: 1, Waiting: 2})
		} else {
			h.expect(Halted, 0, Summary{Unchanged: 1, Waiting: 2})
		}
	}
}

// A manager may end at any point. When it restarts from its journal, it records only results that
// instances reported, and it completes the rollout, because the end of a manager is not a failure
// of an instance.
func TestRestoreAtEachStep(t *testing.T) {
	for restartPoint := 0; ; restartPoint++ {
		h := newHarness(t, 3)
		var journal struct {
			header  Header
			members map[string]string
		}
		journal.members = map[string]string{}
		write := func() {
			header, members := h.r.Unsaved()
			if header != nil {
				journal.header = *header
			}
			for _, m := range members {
				text, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				journal.members[m.Name] = string(text)
			}
			h.r.MarkSaved()
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
			h.r = Restore(journal.header, members)
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
			requests := h.r.Advance(h.now)
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
				h.r.RecordAnswer(h.now, s.Instance, a)
			}
			h.now += time.Second
			for _, m := range h.r.Members() {
				observation := m.observed
				observation.Epoch = "e0"
				observation.Served.Add(healthyCounts)
				for _, s := range h.r.Observe(h.now, m.Name, observation) {
					write()
					a, _ := accepts(s)
					if applied[s.Instance] {
						a.Result = change.Result{Outcome: change.Applied, Revision: 4}
					}
					h.r.RecordAnswer(h.now, s.Instance, a)
				}
			}
			if h.r.Status == Halted {
				t.Fatalf("restarted at point %d: halted, %s, though no instance has failed", restartPoint, h.r.Reason)
			}
		}
		for _, m := range h.r.Members() {
			if (m.Target.State == change.Done) != applied[m.Name] {
				t.Errorf("restarted at point %d: %s is recorded as %s, applied is %v", restartPoint, m.Name, m.Target.State, applied[m.Name])
			}
		}
		if h.r.Status != Completed {
			t.Errorf("restarted at point %d: %s, %s", restartPoint, h.r.Status, h.r.Reason)
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
	h := newHarness(t, 3)
	h.advanceUntilIdle()
	h.responses["i1"] = func(OutgoingRequest) (change.Answer, bool) {
		return change.Answer{Epoch: "e0", Err: change.ErrFenced, Fenced: true}, true
	}
	h.serveRequests(11*time.Second, healthyCounts)
	h.serveRequests(11*time.Second, healthyCounts)
	if h.r.Status != Superseded || h.r.Member("i0").Target.State != change.Done || h.r.Member("i1").Target.State != change.Superseded {
		t.Errorf("%s, %+v", h.r.Status, h.r.Summary())
	}
	sentBefore := len(h.sent)
	h.serveRequests(11*time.Second, healthyCounts)
	if len(h.sent) > sentBefore {
		t.Errorf("sent %v", h.sent[sentBefore:])
	}
}

// An abort ends prepared changes and leaves applied ones in force.
func TestAbort(t *testing.T) {
	h := newHarness(t, 3)
	h.advanceUntilIdle()
	if err := h.r.Abort(h.now); err != nil {
		t.Fatal(err)
	}
	h.advanceUntilIdle()
	h.expect(Halted, 0, Summary{Applied: 1, Waiting: 2})
	if err := h.r.Abort(h.now); err != ErrNotRunning {
		t.Errorf("aborted again: %v", err)
	}
	if err := h.r.Rollback(h.now); err != nil {
		t.Fatal(err)
	}
	h.advanceUntilIdle()
	h.expect(RolledBack, 0, Summary{Back: 1, Waiting: 2})
	if err := h.r.Rollback(h.now); err != ErrAlreadyRolledBack {
		t.Errorf("rolled back again: %v", err)
	}
}

// Resuming a rollback that was halted continues the rollback.
func TestResumedTakingBack(t *testing.T) {
	h := newHarness(t, 1)
	h.advanceUntilIdle()
	if err := h.r.Rollback(h.now); err != nil {
		t.Fatal(err)
	}
	h.deliver(h.r.Advance(h.now)) // the revert is prepared
	if err := h.r.Abort(h.now); err != nil {
		t.Fatal(err)
	}
	h.advanceUntilIdle()
	if err := h.r.Resume(h.now, false); err != nil {
		t.Fatal(err)
	}
	h.advanceUntilIdle()
	h.expect(RolledBack, 0, Summary{Back: 1})
}

// The reconciler restores the document of an instance that has restarted, waits longer after each
// failure, and sends nothing while a rollout changes the instance.
func TestKeeper(t *testing.T) {
	reconciler := Reconciler{Name: "i0", Desired: "new"}
	if _, ok := reconciler.Observe(0, Observation{Epoch: "e0", Hash: "new"}, false); ok {
		t.Error("a request is sent to an instance with the desired document")
	}
	if _, ok := reconciler.Observe(0, Observation{Epoch: "e0", Hash: "new", Mixed: true}, false); !ok {
		t.Error("no request is sent to an instance with parts of another document")
	}
	reconciler = Reconciler{Name: "i0", Desired: "new"}
	outdated := Observation{Epoch: "e1", Hash: "old"}
	if _, ok := reconciler.Observe(0, outdated, true); ok {
		t.Error("a request is sent to an instance that a rollout changes")
	}
	s, ok := reconciler.Observe(0, outdated, false)
	if !ok || s.Request != change.RequestPrepare || s.Document != "new" {
		t.Fatalf("sent %+v, %v", s, ok)
	}
	if s, ok = reconciler.RecordAnswer(0, false, change.Answer{Epoch: "e1"}); !ok || s.Request != change.RequestCommit {
		t.Fatalf("then %+v, %v", s, ok)
	}
	if _, ok = reconciler.RecordAnswer(0, false, change.Answer{Epoch: "e1", Result: change.Result{Outcome: change.Applied}}); ok || reconciler.FailureReason() != "" {
		t.Error("the reconciler does not stop after success")
	}
	delays := []time.Duration{}
	now := time.Duration(0)
	for range 12 {
		if _, ok = reconciler.Observe(now, outdated, false); !ok {
			t.Fatalf("no attempt after the delays %v", delays)
		}
		reconciler.RecordAnswer(now, false, change.Answer{Epoch: "e1", Err: errors.New("no")})
		if reconciler.FailureReason() != "no" {
			t.Errorf("failure reason %q", reconciler.FailureReason())
		}
		if _, ok = reconciler.Observe(reconciler.retryAt-1, outdated, false); ok {
			t.Error("retried too early")
		}
		delays = append(delays, reconciler.retryAt-now)
		now = reconciler.retryAt
	}
	if delays[0] != minRetryDelay || delays[11] != maxRetryDelay || !slices.IsSorted(delays) {
		t.Errorf("delays %v", delays)
	}
	// The desired document changes between prepare and commit: nothing is committed.
	reconciler.Observe(now, outdated, false)
	reconciler.Desired = "newer"
	if s, ok = reconciler.RecordAnswer(now, false, change.Answer{Epoch: "e1"}); ok {
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
