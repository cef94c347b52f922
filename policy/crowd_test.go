package policy

import (
	"math"
	"testing"
	"time"

	"example.org/micaline/internal/limit"
)

// A server that is cold gets no more than its present share even if it wins every pair.
func TestColdServerBudget(t *testing.T) {
	list := fleet(4)
	list[3].Start = time.Hour
	x := start(t, settings(), list...)
	count := func(n int) (cold float64) {
		for id := range RequestID(n) {
			x.b.pressure.Raw = 0
			for _, a := range x.ask(id, pure) {
				if a.Kind == ActSend {
					if a.Server == 4 {
						cold++
					}
					x.ends(id, 0, OK)
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
	x.on(Event{Kind: EventList, ListMode: ListFull, Servers: list})
	sent := 0
	for id := range RequestID(4000) {
		x.b.pressure.Raw = 0
		for _, a := range x.ask(id, pure) {
			if a.Kind == ActSend {
				sent++
				x.ends(id, 0, OK)
			}
		}
	}
	if share := float64(sent) / 4000; share > 1.25*0.2 || share < 0.1 {
		t.Errorf("a fleet that is all cold got %v of the traffic", share)
	}
}

// A crowded fleet turns requests away early, and tenants over their share go first.
func TestShedsTenantsOverTheirShare(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Portion: 0.5}, {Portion: 0.5}}
	x := start(t, s, fleet(6)...)
	var refused [2]int
	for id := range RequestID(2000) {
		x.b.pressure.Raw = 0.5
		tenant := 0
		if id%10 == 0 {
			tenant = 1
		}
		for _, a := range x.on(Event{Kind: EventRequest, Request: id, Tenant: tenant, TimeLeft: 1000 * ms}) {
			if a.Kind == ActRefuse {
				refused[tenant]++
			}
			if a.Kind == ActSend {
				x.ends(id, 0, OK)
			}
		}
	}
	if over, under := float64(refused[0])/1800, float64(refused[1])/200; over < 0.9 || under > 0.1 {
		t.Errorf("refused %v of the tenant over its share, %v of the other", over, under)
	}
}

// Idle servers whose last report was bad must be used: nobody would ever hear better of them.
func TestIdleServerIsNeverCrowded(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsOnProbe
	x := start(t, s, fleet(2)...)
	acts := x.ask(1, pure)
	for _, a := range acts {
		if a.Kind == ActProbe {
			acts = x.on(Event{Kind: EventProbeResult, Server: a.Server, Outcome: OK,
				Load: Load{Known: true, InFlight: 0, Queue: -1, ServiceTime: 5 * time.Second, Rate: 1}})
		}
	}
	one(t, acts, ActSend)
}

// Attempts that a fresh report does not know are lost: they take no room until the report is old.
func TestLostAttemptsTakeNoRoom(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	s := x.b.ring[0]
	looks := make([]Action, 0, 8)
	for id := RequestID(1); s.inFlight < 8; id++ {
		for _, a := range x.ask(id, unsafe) {
			if r := x.b.open[id]; a.Kind == ActTimer && r.attempts[0].server == s {
				looks = append(looks, a)
			}
		}
	}
	for _, look := range looks[:7] {
		x.on(Event{Kind: EventTimer, Token: look.Token})
	}
	if got := x.b.held(s); got != 8 {
		t.Errorf("without a report: %v held", got)
	}
	x.b.report(s, Load{Known: true, InFlight: 0, Queue: -1, ServiceTime: 10 * ms, Rate: 10}, 0)
	if got := x.b.held(s); got != 1 {
		t.Errorf("by a fresh report, 7 of 8 being silent: %v held", got)
	}
	if x.b.now += time.Second; x.b.held(s) < 7.5 {
		t.Errorf("when the report is old: %v held", x.b.held(s))
	}
	x.ends(RequestID(looks[0].Token&math.MaxUint32), 0, Reset)
	if s.silent != 6 || s.inFlight != 7 {
		t.Errorf("one of them ended: %d silent of %d", s.silent, s.inFlight)
	}
}

// Where no report tells a server's width, the number it holds says nothing: requests may wait on others.
func TestCrowdNeedsAWidth(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	load := Load{Known: true, InFlight: 8, Queue: -1, ServiceTime: 10 * ms, Rate: -1}
	s := x.b.ring[0]
	for range 3 {
		x.b.report(s, load, 0)
	}
	r := &request{class: &x.b.classes[pure], aim: x.now + 400*ms}
	if x.b.crowded(r, s) {
		t.Error("8 in hand at 10 ms each are no crowd for 400 ms")
	}
	load.ServiceTime = 30 * ms
	x.b.report(s, load, 0)
	load.Queue = 0
	x.b.report(s, load, 0)
	if s.load.InFlight = 2; x.b.crowded(r, s) {
		t.Error("where the queue is told, the aim of the request itself is what counts")
	}
	load.ServiceTime, load.Queue = 10*ms, 7
	x.b.report(s, load, 0)
	if !x.b.crowded(r, s) {
		t.Error("a queue of 7 at a width of 1 is a crowd")
	}
}

// Incident i4d2661: under high pressure only 4% was let through, too little to tell that servers were idle again.
func TestPressureEasesWithoutNews(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	x.b.pressure.Ease(x.now, 400*ms)
	x.b.pressure.Raw = limit.MostPressure
	x.now += seconds(4 * 16 * 0.4) // four half-lives
	x.ask(1, pure)
	if got := x.b.pressure.Raw; got > limit.MostPressure/15 || got <= 0 {
		t.Errorf("pressure %v after four half-lives", got)
	}
}

// Whatever else is on the list, a window holds servers for a bound class as long as there are any.
func TestSmallWindowHoldsBoundServers(t *testing.T) {
	for rank := range 50 {
		list := fleet(100)
		for i := range list {
			list[i].Zone = min(i, 1)
		}
		s := settings()
		s.Agents, s.Rank = 50, rank
		s.Classes[unsafe].Zones = []int{0}
		x := start(t, s, list...)
		if a := one(t, x.ask(1, unsafe), ActSend); a.Server != 1 {
			t.Fatalf("rank %d: sent to %d", rank, a.Server)
		}
	}
}

// An agent among few knows most of what a server is sent, and calls it crowded later than one among many.
func TestFewAgentsCrowdLater(t *testing.T) {
	crowdedAt := func(agents int) int {
		set := settings()
		set.Agents = agents
		x := start(t, set, fleet(1)...)
		x.b.report(x.b.servers[1], Load{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms, Rate: 200}, 0)
		for held := 1; ; held++ {
			x.b.servers[1].load.InFlight = float64(held)
			if x.b.crowded(&request{class: &x.b.classes[pure], aim: x.now + time.Second}, x.b.servers[1]) {
				return held
			}
		}
	}
	if few, many := crowdedAt(1), crowdedAt(1000); few != 7 || many != 6 {
		t.Errorf("crowded at %d and %d, want 7 and 6", few, many)
	}
}

// Pressure is no belief that keeps itself: reports of room take it back though few answers come, and a pair that
// rejected something a moment ago adds nothing. A crowded pair does.
func TestPressureFollowsReports(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	report := func(held float64) {
		for _, s := range x.b.ring {
			x.b.report(s, Load{Known: true, InFlight: held, Queue: -1, ServiceTime: 20 * ms, Rate: 100}, 0)
		}
	}
	for range 20 {
		report(2)
	}
	x.b.pressure.Raw = limit.MostPressure
	for range 12 {
		report(0)
	}
	if x.b.pressure.Raw > 0 {
		t.Errorf("pressure %v, though all reports tell of room", x.b.pressure.Raw)
	}
	for _, s := range x.b.ring {
		s.full = x.now + time.Second
	}
	if one(t, x.ask(1, pure), ActRefuse); x.b.pressure.Raw > 0 {
		t.Errorf("pressure %v for a pair that is passed by", x.b.pressure.Raw)
	}
	for _, s := range x.b.ring {
		s.full = 0
	}
	report(40)
	x.b.pressure.Raw = 0
	if one(t, x.ask(2, pure), ActRefuse); x.b.pressure.Raw == 0 {
		t.Error("no pressure for a pair that is crowded")
	}
}

// Incident r0c59d3: in a jam more is in work at once. Were that soon taken for the width, jammed servers would not
// look crowded.
func TestJamIsNoWidth(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	report := func(n int, held float64) {
		for range n {
			x.b.report(x.b.ring[0], Load{Known: true, InFlight: held, Queue: -1, ServiceTime: 20 * ms, Rate: 50 * held}, 0)
		}
	}
	report(2500, 2)
	before := x.b.width.Requests()
	if report(300, 8); x.b.width.Requests() > before+1 {
		t.Errorf("300 reports of a jam made a width of %v one of %v", before, x.b.width.Requests())
	}
}

// Danger: where reports are rare, one of a server that had just become busy would say for good that servers take one request
// at a time; pairs would look crowded and an agent would shed nearly all that it gets.
func TestOneReportSettlesNoWidth(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	told := func(rate float64) {
		x.on(Event{Kind: EventProbeResult, Server: 1, Load: Load{
			Known: true, InFlight: 4, Queue: -1, ServiceTime: 100 * ms, Rate: rate, ErrorRate: -1,
		}})
	}
	for id := RequestID(1); id <= 200; id++ { // answers say nothing of it
		x.ask(id, pure)
		x.now += 10 * ms
		x.ends(id, 0, OK)
	}
	told(11)
	if got := x.b.width.Requests(); got != 1 {
		t.Fatalf("width %v after one report of 1.1", got)
	}
	for range 9 {
		told(25)
	}
	if got := x.b.width.Requests(); got != 2 {
		t.Errorf("width %v after nine reports of 2.5 more", got)
	}
}
