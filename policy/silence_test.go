package policy

import (
	"testing"
	"time"
)

// A silent request is sent again once, elsewhere and in time, if its class may be and second copies are allowed: at
// the second look, or at the first if its server has reported since and no longer holds it.
func TestSilentRequestsGetASecondCopy(t *testing.T) {
	for _, c := range []struct {
		class  int
		copies bool
		report float64 // what the server says it holds before the first look, if not negative
		after  time.Duration
		want   [3]bool // whether a copy goes out at each look
	}{
		{byAll, true, -1, 0, [3]bool{1: true}},
		{pure, true, 0, 0, [3]bool{0: true}},
		{byAll, true, 1, 0, [3]bool{1: true}},
		{byAll, true, -1, 300 * ms, [3]bool{}}, // too late
		{byCell, true, -1, 0, [3]bool{}},       // each server is a cell of its own
		{unsafe, true, 0, 0, [3]bool{}},
		{byAll, false, 0, 0, [3]bool{}},
	} {
		s := settings()
		s.SecondCopies = c.copies
		x := start(t, s, fleet(3)...)
		acts := x.ask(1, c.class)
		first, timer := one(t, acts, ActSend).Server, one(t, acts, ActTimer)
		if x.now += ms; c.report >= 0 {
			x.on(Event{Kind: EventProbeResult, Server: first, Load: Load{Known: true, InFlight: c.report, Queue: -1, ServiceTime: -1, Rate: -1}})
		}
		x.now += c.after
		for look, want := range c.want {
			acts := x.on(Event{Kind: EventTimer, Token: timer.Token})
			if !want {
				none(t, acts, ActSend)
			} else if again := one(t, acts, ActSend); again.Server == first {
				t.Errorf("%+v: sent again to the same server at look %d", c, look)
			}
		}
	}
}

// A silent attempt counts half at three usual times and whole at six, and its time-out adds nothing.
func TestSilenceIsCountedOnce(t *testing.T) {
	x := start(t, settings(), fleet(6)...)
	acts := x.ask(1, unsafe)
	s := x.b.servers[one(t, acts, ActSend).Server]
	h := &s.health[unsafe]
	for _, want := range []float64{0.5, 1} {
		a := one(t, acts, ActTimer)
		x.now += a.Wait
		before := h.Until
		acts = x.on(Event{Kind: EventTimer, Token: a.Token})
		if ejected := h.Until > before; ejected != (want == 1) {
			t.Fatalf("after silence worth %v: ejected %v", want, ejected)
		}
	}
	h.Until, h.Bad = 0, 0
	x.ends(1, 0, Timeout)
	if h.Bad != 0 {
		t.Errorf("the time-out counted %v again", h.Bad)
	}
}

// An agent that had no processor takes what it has not read yet for no silence: it looks again before it blames anybody or sends
// a second copy, which it does at the second look otherwise.
func TestNoSilenceWhileAway(t *testing.T) {
	s := settings()
	s.SecondCopies, s.ExtraWindow, s.ExtraRatio, s.ExtraFloor = true, time.Minute, 1, 100
	for _, away := range []time.Duration{0, 150 * ms} {
		x := start(t, s, fleet(3)...)
		check := one(t, x.ask(1, pure), ActTimer)
		var acts []Action
		for range 2 {
			x.now += 50 * ms // not the wait: a copy must still be in time
			acts = x.on(Event{Kind: EventTimer, Token: check.Token, AgentDelay: away})
		}
		blamed, copies := 0.0, 0
		for _, s := range x.b.ring {
			blamed += s.health[pure].Bad
		}
		for _, a := range acts {
			if a.Kind == ActSend {
				copies++
			}
		}
		if well := blamed > 0 && copies == 1; away == 0 && !well {
			t.Errorf("silent twice: blamed %.2f, %d copies", blamed, copies)
		}
		if away > 0 && (blamed > 0 || copies > 0 || one(t, acts, ActTimer).Token != check.Token) {
			t.Errorf("blamed %.2f and %d copies for what had lain unread, then %+v", blamed, copies, acts)
		}
	}
}

// Where probes have a price no report tells that an attempt is lost, so its second copy goes out at the first check.
func TestCopiesGoOutEarlyWithoutReports(t *testing.T) {
	for fee, want := range map[float64]int{0: 0, 0.1: 1} {
		set := settings()
		set.Reports, set.SecondCopies, set.ProbeFee = ReportsOnProbe, true, fee
		x := start(t, set, fleet(4)...)
		x.b.classes[pure].usual.V = 0.02 // so that there is time for a copy
		acts := x.ask(1, pure)
		one(t, acts, ActSend)
		check := one(t, acts, ActTimer)
		x.now += check.Wait
		copies := 0
		for _, a := range x.on(Event{Kind: EventTimer, Token: check.Token}) {
			if a.Kind == ActSend {
				copies++
			}
		}
		if copies != want {
			t.Errorf("at a price of %v: %d copies at the first check, want %d", fee, copies, want)
		}
	}
}
