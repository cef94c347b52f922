package policy

import (
	"testing"
	"time"
)

// A silent request is sent once more, to another server and in time, if its class permits and
// hedging is allowed: at the second silence check, or at the first if its server has since reported
// that it does not have the request.
func TestSilentRequestsGetASecondCopy(t *testing.T) {
	for _, c := range []struct {
		class  int
		copies bool
		report float64 // requests at the server by a report before the first check; negative for none
		after  time.Duration
		want   [3]bool // whether a copy is sent at each check
	}{
		{classKeyedAll, true, -1, 0, [3]bool{1: true}},
		{classPure, true, 0, 0, [3]bool{0: true}},
		{classKeyedAll, true, 1, 0, [3]bool{1: true}},
		{classKeyedAll, true, -1, 300 * ms, [3]bool{}}, // too late
		{classKeyedCell, true, -1, 0, [3]bool{}},       // each server is a cell of its own
		{classUnsafe, true, 0, 0, [3]bool{}},
		{classKeyedAll, false, 0, 0, [3]bool{}},
	} {
		s := testSettings()
		s.SecondCopies = c.copies
		x := newHarness(t, s, fleet(3)...)
		actions := x.sendRequest(1, c.class)
		first, timer := onlyAction(t, actions, ActSend).Server, onlyAction(t, actions, ActTimer)
		if x.now += ms; c.report >= 0 {
			x.handle(Event{Kind: EventProbeResult, Server: first,
				Load: Load{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1, Rate: -1}})
		}
		x.now += c.after
		for check, want := range c.want {
			actions := x.handle(Event{Kind: EventTimer, Token: timer.Token})
			if !want {
				noAction(t, actions, ActSend)
			} else if second := onlyAction(t, actions, ActSend); second.Server == first {
				t.Errorf("%+v: the second copy went to the same server at check %d", c, check)
			}
		}
	}
}

// A silent attempt counts as half a failure at three typical latencies and as one at six. Its
// timeout adds nothing.
func TestSilenceIsCountedOnce(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(6)...)
	actions := x.sendRequest(1, classUnsafe)
	s := x.b.servers[onlyAction(t, actions, ActSend).Server]
	h := &s.health[classUnsafe]
	for _, want := range []float64{0.5, 1} {
		a := onlyAction(t, actions, ActTimer)
		x.now += a.Wait
		before := h.EjectedUntil
		actions = x.handle(Event{Kind: EventTimer, Token: a.Token})
		if ejected := h.EjectedUntil > before; ejected != (want == 1) {
			t.Fatalf("at a failure score of %v: ejected %v", want, ejected)
		}
	}
	h.EjectedUntil, h.FailureScore = 0, 0
	x.endAttempt(1, 0, Timeout)
	if h.FailureScore != 0 {
		t.Errorf("the timeout added a failure score of %v", h.FailureScore)
	}
}

// An agent that got no CPU time may have answers that it has not read. It must not take them for
// silence, but check again before it counts a failure or sends a second copy.
func TestNoSilenceWhileAway(t *testing.T) {
	s := testSettings()
	s.SecondCopies, s.ExtraWindow, s.ExtraRatio, s.ExtraFloor = true, time.Minute, 1, 100
	for _, delay := range []time.Duration{0, 150 * ms} {
		x := newHarness(t, s, fleet(3)...)
		check := onlyAction(t, x.sendRequest(1, classPure), ActTimer)
		var actions []Action
		for range 2 {
			x.now += 50 * ms // less than the timer's wait: a copy must still be in time
			actions = x.handle(Event{Kind: EventTimer, Token: check.Token, AgentDelay: delay})
		}
		score, copies := 0.0, 0
		for _, s := range x.b.ring {
			score += s.health[classPure].FailureScore
		}
		for _, a := range actions {
			if a.Kind == ActSend {
				copies++
			}
		}
		if expected := score > 0 && copies == 1; delay == 0 && !expected {
			t.Errorf("silent at two checks: failure score %.2f, %d copies", score, copies)
		}
		if delay > 0 && (score > 0 || copies > 0 || onlyAction(t, actions, ActTimer).Token != check.Token) {
			t.Errorf("failure score %.2f and %d copies for answers that may be unread, then %+v", score, copies, actions)
		}
	}
}

// If probes have a price, no report shows that an attempt is lost: its second copy is sent at the
// first check.
func TestCopiesGoOutEarlyWithoutReports(t *testing.T) {
	for fee, want := range map[float64]int{0: 0, 0.1: 1} {
		set := testSettings()
		set.Reports, set.SecondCopies, set.ProbeFee = ReportsOnProbe, true, fee
		x := newHarness(t, set, fleet(4)...)
		x.b.classes[classPure].typicalLatency.Value = 0.02 // leaves time for a copy
		actions := x.sendRequest(1, classPure)
		onlyAction(t, actions, ActSend)
		check := onlyAction(t, actions, ActTimer)
		x.now += check.Wait
		copies := 0
		for _, a := range x.handle(Event{Kind: EventTimer, Token: check.Token}) {
			if a.Kind == ActSend {
				copies++
			}
		}
		if copies != want {
			t.Errorf("at a price of %v: %d copies at the first check, want %d", fee, copies, want)
		}
	}
}
