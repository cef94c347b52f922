package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// answerProbes answers the probes that a request waits for, one after the other, until none is
// left.
func (x *harness) answerProbes(actions []Action, load map[ServerID]float64) []Action {
	for {
		i := slices.IndexFunc(actions, func(a Action) bool { return a.Kind == ActProbe })
		if i < 0 {
			return actions
		}
		x.now += ms
		actions = x.probeResult(actions[i].Server, load)
	}
}

// The preferred server of a pair is probed first, and the other only if the first turns out to have
// more requests.
func TestProbedPairJoinsTheShorter(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsOnProbe
	load := map[ServerID]float64{1: 1, 2: 0}
	pairs := 0
	for id := range RequestID(20) {
		x := newHarness(t, s, fleet(2)...)
		for range id {
			x.b.rng.Float64()
		}
		actions := x.sendRequest(id, classPure)
		probedServer := onlyAction(t, actions, ActProbe).Server
		if x.b.requests[id].candidateB == nil {
			continue // a single candidate
		}
		pairs++
		x.now += ms
		actions = x.probeResult(probedServer, load)
		if probedServer == 1 && onlyAction(t, actions, ActProbe).Server != 2 {
			t.Fatal("the other candidate of the pair is not probed")
		}
		if a := onlyAction(t, x.answerProbes(actions, load), ActSend); a.Server != 2 {
			t.Fatalf("chose server %d", a.Server)
		}
	}
	if pairs < 10 {
		t.Errorf("%d of 20 requests drew a pair", pairs)
	}
}

func (x *harness) probeResult(id ServerID, load map[ServerID]float64) []Action {
	return x.handle(Event{Kind: EventProbeResult, Server: id, Outcome: OK,
		Load: Load{Known: true, InFlight: load[id], Queue: -1, ServiceTime: 50 * ms, Rate: 10}})
}

func TestUnansweredProbesDoNotHold(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := newHarness(t, s, fleet(2)...)
	actions := x.sendRequest(1, classPure)
	for range 2 { // one probe for each of the pair
		noAction(t, actions, ActSend)
		timer := onlyAction(t, actions, ActTimer)
		x.now += timer.Wait
		actions = x.handle(Event{Kind: EventTimer, Token: timer.Token})
	}
	onlyAction(t, actions, ActSend)
}

// A server may start to drain while a request waits for its probe.
func TestDrainWhileProbing(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := newHarness(t, s, fleet(3)...)
	var probes []Action
	for _, a := range x.sendRequest(1, classPure) {
		if a.Kind == ActProbe {
			probes = append(probes, a)
		}
	}
	for _, p := range probes {
		x.handle(Event{Kind: EventList, Servers: []ServerEntry{{ID: p.Server, State: Draining, Weight: 1}}})
	}
	for _, p := range probes {
		for _, a := range x.probeResult(p.Server, map[ServerID]float64{}) {
			for _, q := range probes {
				if a.Kind == ActSend && a.Server == q.Server {
					t.Fatalf("sent to draining server %d", a.Server)
				}
			}
		}
	}
}

// Reports that come with answers are old if an agent sends little: the drawn pair is probed.
func TestPairIsProbedWhereReportsComeInline(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsInline
	x := newHarness(t, s, fleet(2)...)
	id, actions := RequestID(1), x.sendRequest(1, classPure)
	for ; x.b.requests[id].candidateB == nil; actions = x.sendRequest(id, classPure) { // until a pair is drawn
		id++
	}
	first := onlyAction(t, actions, ActProbe).Server
	if a := onlyAction(t, x.answerProbes(actions, map[ServerID]float64{first: 9, 3 - first: 2}), ActSend); a.Server != 3-first {
		t.Errorf("sent to server %d, which has 9 requests", a.Server)
	}
}

// A request that waits for probes must still end at its deadline.
func TestWaitingForProbesEndsAtTheDeadline(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports, s.Tick = true, ReportsInline, 5*ms
	x := newHarness(t, s, fleet(4)...)
	actions := x.handle(Event{Kind: EventRequest, Request: 1, Class: classPure, TimeLeft: 12 * ms})
	for ended := false; !ended; {
		timer := onlyAction(t, actions, ActTimer)
		if x.now += timer.Wait; x.now > time.Hour+12*ms {
			t.Fatal("the request waits past its deadline")
		}
		actions = x.handle(Event{Kind: EventTimer, Token: timer.Token})
		noAction(t, actions, ActFail)
		ended = x.now == time.Hour+12*ms
	}
	onlyAction(t, actions, ActRefuse)
}

// Two probes for each request are cheap for one agent, but if probes have a price, all agents
// together pay more than they save. Requests are probed for in proportion to the miss rate: seldom
// when all is well, and always when the miss rate is at least the price.
func TestProbesAreWorthWhatIsLost(t *testing.T) {
	probed := func(fee, missRate float64) (share float64) {
		set := testSettings()
		set.Reports, set.Probes, set.ProbeFee = ReportsOnProbe, true, fee
		x := newHarness(t, set, fleet(8)...)
		const requests = 1000
		for id := RequestID(1); id <= requests; id++ {
			x.b.missRate = missRate
			actions := x.sendRequest(id, classPure)
			if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == ActProbe }) {
				share += 1.0 / requests
			}
			for _, s := range x.b.ring {
				actions = append(actions, x.handle(Event{Kind: EventProbeResult, Server: s.ID, Load: Load{Known: true, InFlight: 1}})...)
			}
			onlyAction(t, actions, ActSend)
			x.endAttempt(id, 0, OK)
			x.now += time.Second
		}
		return share
	}
	for _, c := range []struct{ fee, missRate, want float64 }{
		{0, 0, 1}, {0.1, 0, 0.1}, {0.1, 0.05, 0.5}, {0.1, 0.2, 1}, {0.004, 0, 1},
	} {
		if got := probed(c.fee, c.missRate); math.Abs(got-c.want) > 0.05 {
			t.Errorf("at a price of %v and a miss rate of %v, %v of the requests are probed for, want %v",
				c.fee, c.missRate, got, c.want)
		}
	}
}

// If reports are rare, the requests sent and answered since the last one would make an idle server
// look full.
func TestOldReportForgetsSends(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(1)...)
	s := x.b.ring[0]
	x.handle(Event{Kind: EventProbeResult, Server: 1, Load: Load{Known: true, InFlight: 0}})
	for id := RequestID(1); id <= 100; id++ {
		x.sendRequest(id, classPure)
		x.now += 100 * ms
		x.endAttempt(id, 0, OK)
	}
	x.now += time.Minute
	if outstanding := x.b.outstanding(s); outstanding > x.b.parallelism.Mean()+0.1 {
		t.Errorf("%v outstanding at an idle server", outstanding)
	}
}
