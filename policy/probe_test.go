package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// look answers the probes that a request waits for, one after the other, until none is asked for.
func (x *bench) look(acts []Action, load map[ServerID]float64) []Action {
	for {
		i := slices.IndexFunc(acts, func(a Action) bool { return a.Kind == ActProbe })
		if i < 0 {
			return acts
		}
		x.now += ms
		acts = x.probed(acts[i].Server, load)
	}
}

// The server that a request would go to is probed, and the other of the pair only if that one turns out to hold more.
func TestProbedPairJoinsTheShorter(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsOnProbe
	load := map[ServerID]float64{1: 1, 2: 0}
	pairs := 0
	for id := range RequestID(20) {
		x := start(t, s, fleet(2)...)
		for range id {
			x.b.rng.Float64()
		}
		acts := x.ask(id, pure)
		asked := one(t, acts, ActProbe).Server
		if x.b.open[id].c == nil {
			continue // a dedicated request
		}
		pairs++
		x.now += ms
		acts = x.probed(asked, load)
		if asked == 1 && one(t, acts, ActProbe).Server != 2 {
			t.Fatal("the other of the pair is not asked")
		}
		if a := one(t, x.look(acts, load), ActSend); a.Server != 2 {
			t.Fatalf("joined server %d", a.Server)
		}
	}
	if pairs < 10 {
		t.Errorf("%d of 20 requests drew a pair", pairs)
	}
}

func (x *bench) probed(id ServerID, load map[ServerID]float64) []Action {
	return x.on(Event{Kind: EventProbeResult, Server: id, Outcome: OK,
		Load: Load{Known: true, InFlight: load[id], Queue: -1, ServiceTime: 50 * ms, Rate: 10}})
}

func TestUnansweredProbesDoNotHold(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := start(t, s, fleet(2)...)
	acts := x.ask(1, pure)
	for range 2 { // one probe after the other
		none(t, acts, ActSend)
		timer := one(t, acts, ActTimer)
		x.now += timer.Wait
		acts = x.on(Event{Kind: EventTimer, Token: timer.Token})
	}
	one(t, acts, ActSend)
}

// Danger: a server drains while a request waits for its probe.
func TestDrainWhileProbing(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := start(t, s, fleet(3)...)
	var probes []Action
	for _, a := range x.ask(1, pure) {
		if a.Kind == ActProbe {
			probes = append(probes, a)
		}
	}
	for _, p := range probes {
		x.on(Event{Kind: EventList, Servers: []ServerEntry{{ID: p.Server, State: Draining, Weight: 1}}})
	}
	for _, p := range probes {
		for _, a := range x.probed(p.Server, map[ServerID]float64{}) {
			for _, q := range probes {
				if a.Kind == ActSend && a.Server == q.Server {
					t.Fatalf("sent to draining server %d", a.Server)
				}
			}
		}
	}
}

// Where answers carry reports they are as old as an agent's traffic is thin: the pair drawn is probed.
func TestPairIsProbedWhereReportsComeInline(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsInline
	x := start(t, s, fleet(2)...)
	id, acts := RequestID(1), x.ask(1, pure)
	for ; x.b.open[id].c == nil; acts = x.ask(id, pure) { // until a pair is drawn
		id++
	}
	first := one(t, acts, ActProbe).Server
	if a := one(t, x.look(acts, map[ServerID]float64{first: 9, 3 - first: 2}), ActSend); a.Server != 3-first {
		t.Errorf("sent to server %d, which holds 9", a.Server)
	}
}

// Found by hunt --rules: a request that waits for probes at its deadline must still end in time.
func TestWaitingForProbesEndsAtTheDeadline(t *testing.T) {
	s := settings()
	s.Probes, s.Reports, s.Tick = true, ReportsInline, 5*ms
	x := start(t, s, fleet(4)...)
	acts := x.on(Event{Kind: EventRequest, Request: 1, Class: pure, TimeLeft: 12 * ms})
	for ended := false; !ended; {
		timer := one(t, acts, ActTimer)
		if x.now += timer.Wait; x.now > time.Hour+12*ms {
			t.Fatal("waits past its deadline")
		}
		acts = x.on(Event{Kind: EventTimer, Token: timer.Token})
		none(t, acts, ActFail)
		ended = x.now == time.Hour+12*ms
	}
	one(t, acts, ActRefuse)
}

// Danger: two probes for each request are nothing to one agent, and where they have a price all agents together pay more
// for them than they save. What is being lost pays: little when all is well, and all probes where their price is less.
func TestProbesAreWorthWhatIsLost(t *testing.T) {
	probed := func(fee, lost float64) (share float64) {
		set := settings()
		set.Reports, set.Probes, set.ProbeFee = ReportsOnProbe, true, fee
		x := start(t, set, fleet(8)...)
		const requests = 1000
		for id := RequestID(1); id <= requests; id++ {
			x.b.lost = lost
			acts := x.ask(id, pure)
			if slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == ActProbe }) {
				share += 1.0 / requests
			}
			for _, s := range x.b.ring {
				acts = append(acts, x.on(Event{Kind: EventProbeResult, Server: s.ID, Load: Load{Known: true, InFlight: 1}})...)
			}
			one(t, acts, ActSend)
			x.ends(id, 0, OK)
			x.now += time.Second
		}
		return share
	}
	for _, c := range []struct{ fee, lost, want float64 }{
		{0, 0, 1}, {0.1, 0, 0.1}, {0.1, 0.05, 0.5}, {0.1, 0.2, 1}, {0.004, 0, 1},
	} {
		if got := probed(c.fee, c.lost); math.Abs(got-c.want) > 0.05 {
			t.Errorf("at a price of %v, with %v lost, %v of the requests are probed for, want %v", c.fee, c.lost, got, c.want)
		}
	}
}

// Danger: where reports are rare, what was sent and answered since the last one would make an idle server look full.
func TestOldReportForgetsSends(t *testing.T) {
	x := start(t, settings(), fleet(1)...)
	s := x.b.ring[0]
	x.on(Event{Kind: EventProbeResult, Server: 1, Load: Load{Known: true, InFlight: 0}})
	for id := RequestID(1); id <= 100; id++ {
		x.ask(id, pure)
		x.now += 100 * ms
		x.ends(id, 0, OK)
	}
	x.now += time.Minute
	if held := x.b.held(s); held > x.b.width.Mean()+0.1 {
		t.Errorf("%v held at an idle server", held)
	}
}
