package policy

import (
	"math"
	"testing"
	"time"

	"example.org/micaline/internal/limit"
)

// A cold server gets no more than its current share, even if it wins every pair.
func TestColdServerBudget(t *testing.T) {
	list := fleet(4)
	list[3].Start = time.Hour
	x := newHarness(t, testSettings(), list...)
	count := func(n int) (cold float64) {
		for id := range RequestID(n) {
			x.b.shedder.Level = 0
			for _, a := range x.sendRequest(id, classPure) {
				if a.Kind == ActSend {
					if a.Server == 4 {
						cold++
					}
					x.endAttempt(id, 0, OK)
				}
			}
		}
		return cold / float64(n)
	}
	if got := count(4000); got < 0.01 || got > 1.25*0.2/4*1.2 {
		t.Errorf("a server at a fifth of its capacity got %v of the traffic of 4", got)
	}
	x.now += 10 * time.Second
	if got := count(4000); got < 0.15 {
		t.Errorf("once warm it got %v", got)
	}
	for i := range list {
		list[i].Start = x.now
	}
	x.handle(Event{Kind: EventList, ListMode: ListFull, Servers: list})
	sent := 0
	for id := range RequestID(4000) {
		x.b.shedder.Level = 0
		for _, a := range x.sendRequest(id, classPure) {
			if a.Kind == ActSend {
				sent++
				x.endAttempt(id, 0, OK)
			}
		}
	}
	if share := float64(sent) / 4000; share > 1.25*0.2 || share < 0.1 {
		t.Errorf("servers that are all cold got %v of the traffic", share)
	}
}

// Overloaded servers have requests refused early, first those of tenants over their share.
func TestShedsTenantsOverTheirShare(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Portion: 0.5}, {Portion: 0.5}}
	x := newHarness(t, s, fleet(6)...)
	var refused [2]int
	for id := range RequestID(2000) {
		x.b.shedder.Level = 0.5
		tenant := 0
		if id%10 == 0 {
			tenant = 1
		}
		for _, a := range x.handle(Event{Kind: EventRequest, Request: id, Tenant: tenant, TimeLeft: 1000 * ms}) {
			if a.Kind == ActRefuse {
				refused[tenant]++
			}
			if a.Kind == ActSend {
				x.endAttempt(id, 0, OK)
			}
		}
	}
	if over, under := float64(refused[0])/1800, float64(refused[1])/200; over < 0.9 || under > 0.1 {
		t.Errorf("refused %v of the tenant over its share, %v of the other", over, under)
	}
}

// An idle server whose last report was bad must be used: without requests there would be no better
// report.
func TestIdleServerIsNeverCrowded(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := newHarness(t, s, fleet(2)...)
	actions := x.sendRequest(1, classPure)
	for _, a := range actions {
		if a.Kind == ActProbe {
			actions = x.handle(Event{Kind: EventProbeResult, Server: a.Server, Outcome: OK,
				Load: Load{Known: true, InFlight: 0, Queue: -1, ServiceTime: 5 * time.Second, Rate: 1}})
		}
	}
	onlyAction(t, actions, ActSend)
}

// Attempts that a fresh report does not include are lost. They take no capacity until the report is
// old.
func TestLostAttemptsTakeNoRoom(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	s := x.b.ring[0]
	timers := make([]Action, 0, 8)
	for id := RequestID(1); s.inFlight < 8; id++ {
		for _, a := range x.sendRequest(id, classUnsafe) {
			if r := x.b.requests[id]; a.Kind == ActTimer && r.attempts[0].server == s {
				timers = append(timers, a)
			}
		}
	}
	for _, timer := range timers[:7] {
		x.handle(Event{Kind: EventTimer, Token: timer.Token})
	}
	if got := x.b.outstanding(s); got != 8 {
		t.Errorf("without a report: %v outstanding", got)
	}
	x.b.applyReport(s, Load{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms, Rate: 10}, 0)
	if got := x.b.outstanding(s); got != 1 {
		t.Errorf("with a fresh report and 7 of 8 overdue: %v outstanding", got)
	}
	if x.b.now += time.Second; x.b.outstanding(s) < 7.5 {
		t.Errorf("when the report is old: %v outstanding", x.b.outstanding(s))
	}
	x.endAttempt(RequestID(timers[0].Token&math.MaxUint32), 0, Reset)
	if s.overdue != 6 || s.inFlight != 7 {
		t.Errorf("after one of them ended: %d of %d are overdue", s.overdue, s.inFlight)
	}
}

// While no report tells the parallelism, the number of requests at a server shows no overload: they
// may be waiting for other systems.
func TestCrowdNeedsAWidth(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	load := Load{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms, Rate: -1}
	s := x.b.ring[0]
	for range 3 {
		x.b.applyReport(s, load, 0)
	}
	r := &request{class: &x.b.classes[classPure], targetTime: x.now + 400*ms}
	if x.b.overloaded(r, s) {
		t.Error("8 requests of 10 ms each count as overload for a target of 400 ms")
	}
	load.ServiceTime = 30 * ms
	x.b.applyReport(s, load, 0)
	load.Queue = 0
	x.b.applyReport(s, load, 0)
	if s.load.InFlight = 2; x.b.overloaded(r, s) {
		t.Error("with a reported queue, something other than the request's target counts")
	}
	load.ServiceTime, load.Queue = 10*ms, 7
	x.b.applyReport(s, load, 0)
	if !x.b.overloaded(r, s) {
		t.Error("a queue of 7 at a parallelism of 1 does not count as overload")
	}
}

// At high shedding only 4% of the requests were admitted, too few to show that servers were idle
// again (incident i4d2661).
func TestPressureEasesWithoutNews(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(4)...)
	x.b.shedder.Decay(x.now, 400*ms)
	x.b.shedder.Level = limit.MaxShedLevel
	x.now += seconds(4 * 16 * 0.4) // four half-lives
	x.sendRequest(1, classPure)
	if got := x.b.shedder.Level; got > limit.MaxShedLevel/15 || got <= 0 {
		t.Errorf("shed level %v after four half-lives", got)
	}
}

// A pool contains servers for a class with placement as long as there are any, whatever else is in
// the list.
func TestSmallWindowHoldsBoundServers(t *testing.T) {
	for rank := range 50 {
		list := fleet(100)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		s := testSettings()
		s.Agents, s.Rank = 50, rank
		s.Classes[classUnsafe].Zones = []int{0}
		x := newHarness(t, s, list...)
		if a := onlyAction(t, x.sendRequest(1, classUnsafe), ActSend); a.Server != 1 {
			t.Fatalf("rank %d: sent to %d", rank, a.Server)
		}
	}
}

// One of few agents knows most of the load of a server, and considers it overloaded later than one
// of many.
func TestFewAgentsCrowdLater(t *testing.T) {
	overloadedAt := func(agents int) int {
		set := testSettings()
		set.Agents = agents
		x := newHarness(t, set, fleet(1)...)
		x.b.applyReport(x.b.servers[1], Load{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms, Rate: 200}, 0)
		for outstanding := 1; ; outstanding++ {
			x.b.servers[1].load.InFlight = float64(outstanding)
			if x.b.overloaded(&request{class: &x.b.classes[classPure], targetTime: x.now + time.Second}, x.b.servers[1]) {
				return outstanding
			}
		}
	}
	if few, many := overloadedAt(1), overloadedAt(1000); few != 7 || many != 6 {
		t.Errorf("overloaded at %d and %d, want 7 and 6", few, many)
	}
}

// Shedding must not sustain itself: reports of free capacity end it though few answers come, and a
// pair that rejected something a moment ago adds nothing. An overloaded pair does.
func TestPressureFollowsReports(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	applyReport := func(inFlight float64) {
		for _, s := range x.b.ring {
			x.b.applyReport(s, Load{Known: true, InFlight: inFlight, Queue: -1, ServiceTime: 20 * ms, Rate: 100}, 0)
		}
	}
	for range 20 {
		applyReport(2)
	}
	x.b.shedder.Level = limit.MaxShedLevel
	for range 12 {
		applyReport(0)
	}
	if x.b.shedder.Level > 0 {
		t.Errorf("shed level %v, though all reports show free capacity", x.b.shedder.Level)
	}
	for _, s := range x.b.ring {
		s.avoidUntil = x.now + time.Second
	}
	if onlyAction(t, x.sendRequest(1, classPure), ActRefuse); x.b.shedder.Level > 0 {
		t.Errorf("shed level %v from a pair that is being avoided", x.b.shedder.Level)
	}
	for _, s := range x.b.ring {
		s.avoidUntil = 0
	}
	applyReport(40)
	x.b.shedder.Level = 0
	if onlyAction(t, x.sendRequest(2, classPure), ActRefuse); x.b.shedder.Level == 0 {
		t.Error("an overloaded pair did not raise the shed level")
	}
}

// Under congestion more requests are in processing at once. If that were soon taken for
// parallelism, congested servers would not look overloaded (incident r0c59d3).
func TestJamIsNoWidth(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	applyReport := func(n int, inFlight float64) {
		for range n {
			x.b.applyReport(x.b.ring[0], Load{Known: true, InFlight: inFlight, Queue: -1, ServiceTime: 20 * ms, Rate: 50 * inFlight}, 0)
		}
	}
	applyReport(2500, 2)
	before := x.b.parallelism.Slots()
	if applyReport(300, 8); x.b.parallelism.Slots() > before+1 {
		t.Errorf("300 reports under congestion moved the parallelism from %v to %v", before, x.b.parallelism.Slots())
	}
}

// If reports are rare, a single one of a server that had just become busy would fix the parallelism
// at 1: pairs would look overloaded, and the agent would shed nearly all requests.
func TestOneReportSettlesNoWidth(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(4)...)
	report := func(rate float64) {
		x.handle(Event{Kind: EventProbeResult, Server: 1, Load: Load{
			Known: true, InFlight: 4, Queue: -1, ServiceTime: 100 * ms, Rate: rate, ErrorRate: -1,
		}})
	}
	for id := RequestID(1); id <= 200; id++ { // answers do not tell the parallelism
		x.sendRequest(id, classPure)
		x.now += 10 * ms
		x.endAttempt(id, 0, OK)
	}
	report(11)
	if got := x.b.parallelism.Slots(); got != 1 {
		t.Fatalf("parallelism %v after one report of 1.1", got)
	}
	for range 9 {
		report(25)
	}
	if got := x.b.parallelism.Slots(); got != 2 {
		t.Errorf("parallelism %v after nine more reports of 2.5", got)
	}
}
