package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Weights that leave out how fast a kind's cores are overload the slow kind.
func TestKindsSpeedsAreLearnt(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	for name, learn := range map[string]func(x *harness, s *server){
		"answers": func(x *harness, s *server) {
			x.b.observeLatency(&x.b.classes[classPure], s, []float64{0.1, 0.2}[s.Kind], 1)
		},
		"reports": func(x *harness, s *server) {
			x.b.applyReport(s, Load{Known: true, InFlight: 1, Queue: -1, ServiceTime: time.Duration(s.Kind+1) * 50 * ms, Rate: -1}, 0)
		},
	} {
		x := newHarness(t, testSettings(), list...)
		for i := range 80 {
			x.b.now += 50 * ms
			learn(x, x.b.ring[i%8])
		}
		x.b.epoch++
		x.drawCandidates()
		var speeds [2]float64
		for _, s := range x.b.ring {
			speeds[s.Kind] = s.poolWeight
		}
		if r := speeds[0] / speeds[1]; r < 1.7 || r > 2.2 {
			t.Errorf("%s: a kind with half the latency is %v times as fast", name, r)
		}
	}
}

// A kind that is sent less, and so has fewer requests in processing, must not look slower or less
// parallel.
func TestTrafficIsNoSpeed(t *testing.T) {
	list := fleet(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	x := newHarness(t, testSettings(), list...)
	for i := range 80 {
		x.b.now += 50 * ms
		s := x.b.ring[i%4]
		busy := float64(1 + 3*s.Kind)
		x.b.applyReport(s, Load{Known: true, InFlight: busy, Queue: -1, ServiceTime: 50 * ms, Rate: 20 * busy}, 0)
	}
	x.b.epoch++
	x.drawCandidates()
	for _, s := range x.b.ring {
		if math.Abs(s.poolWeight-x.b.ring[0].poolWeight) > 0.01 {
			t.Errorf("kind %d has speed %v, kind %d %v", s.Kind, s.poolWeight, x.b.ring[0].Kind, x.b.ring[0].poolWeight)
		}
		if x.b.parallelism.Slots() < 3 {
			t.Errorf("parallelism of %v, though busy servers process 4 requests", x.b.parallelism.Slots())
		}
	}
}

// A class that takes ten times as long does not make a server look slow, even if one server gets
// all of it.
func TestLongClassIsNoSlowServer(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	long, short := x.b.ring[0], x.b.ring[1]
	for range 200 {
		x.b.now += 50 * ms
		x.b.observeLatency(&x.b.classes[classKeyedAll], long, 0.5, 1)
		x.b.observeLatency(&x.b.classes[classPure], short, 0.05, 1)
	}
	if long.speed.Slowdown > 1.2 || short.speed.Slowdown < 0.8 {
		t.Errorf("slowdowns of %v and %v", long.speed.Slowdown, short.speed.Slowdown)
	}
	for range 200 {
		x.b.now += 50 * ms
		x.b.observeLatency(&x.b.classes[classPure], long, 0.15, 1)
		x.b.observeLatency(&x.b.classes[classPure], short, 0.05, 1)
	}
	if long.speed.Slowdown < 1.4*short.speed.Slowdown {
		t.Errorf("one server three times slower: slowdowns of %v and %v", long.speed.Slowdown, short.speed.Slowdown)
	}
	now := long.speed.Slowdown
	x.b.now += time.Hour
	x.b.observeSlowdown(long, 1, 0)
	if long.speed.Slowdown > 1.01 || now < 1.2 {
		t.Errorf("the slowdown of %v became %v in an hour without samples", now, long.speed.Slowdown)
	}
}

// The agent's own queue at a server does not make the server look slow.
func TestOwnQueueIsNoSlowness(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	busy, idle := x.b.ring[0], x.b.ring[1]
	busy.inFlight = 3
	for range 300 {
		x.b.now += 50 * ms
		x.b.observeLatency(&x.b.classes[classPure], busy, 0.4, 1)
		x.b.observeLatency(&x.b.classes[classPure], idle, 0.1, 1)
	}
	if busy.speed.Slowdown > 1.2*idle.speed.Slowdown {
		t.Errorf("slowdown %v at four times the latency with three own requests, %v with none",
			busy.speed.Slowdown, idle.speed.Slowdown)
	}
}

// noReportSettings returns the settings for servers that report nothing.
func noReportSettings() Settings {
	s := testSettings()
	s.Reports = ReportsOff
	return s
}

// One slow server is no overload: while the others answer well within the target latency, nothing
// is refused. If each silent attempt raised shedding by how late other answers are, it would count
// up to four times, and no answers could lower shedding again.
func TestSlowServerShedsNothing(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(6)...)
	type due struct {
		at time.Duration
		ev Event
	}
	var dues []due
	slow := x.b.ring[0].ID
	refused := 0
	process := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case ActRefuse:
				refused++
			case ActSend:
				took := 180 * ms
				if a.Server == slow {
					took = 900 * ms
				}
				n := len(x.b.requests[a.Request].attempts) - 1
				dues = append(dues, due{x.now + took, Event{Kind: EventOutcome, Request: a.Request, Attempt: n,
					Server: a.Server, Outcome: OK, Final: true, Load: Load{InFlight: -1, Queue: -1}}})
			case ActTimer:
				dues = append(dues, due{x.now + a.Wait, Event{Kind: EventTimer, Token: a.Token}})
			}
		}
	}
	id := RequestID(0)
	for end := x.now + 20*time.Second; x.now < end; x.now += ms {
		for i := 0; i < len(dues); i++ {
			if d := dues[i]; d.at <= x.now {
				dues = slices.Delete(dues, i, i+1)
				i--
				process(x.handle(d.ev))
			}
		}
		if (end-x.now)%(25*ms) == 0 {
			id++
			process(x.sendRequest(id, classUnsafe))
		}
	}
	if refused > int(id)/50 {
		t.Errorf("%d of %d refused with five of six servers healthy", refused, id)
	}
}

// If the parallelism is unknown, requests in flight say nothing about speed. If they were taken for
// a queue, the fuller server would look faster and be sent more.
func TestInFlightIsNoSpeed(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(2)...)
	s := x.b.ring[0]
	s.inFlight = 7
	for range 100 {
		x.b.now += 100 * ms
		x.b.observeLatency(&x.b.classes[classPure], s, 0.1, 1)
	}
	if s.speed.Slowdown < 0.9 || s.speed.Slowdown > 1.1 {
		t.Errorf("slowdown %v from typical answers with seven in flight", s.speed.Slowdown)
	}
}

// A burst at an agent without any answer yet is sent, as no limit is known. Refusals would raise
// shedding for seconds while servers are idle: 769 of 23,000 requests, 256 at a time to eight idle
// servers, were refused.
func TestBurstAtUnknownQuickServers(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(8)...)
	id, refused := RequestID(0), 0
	sendRequest := func(n int) {
		for range n {
			id++
			for _, a := range x.sendRequest(id, classUnsafe) {
				if a.Kind == ActRefuse {
					refused++
				}
			}
		}
	}
	sendRequest(256)
	for range 50 {
		x.now += 100 * time.Microsecond
		answered := 0
		for openID := range x.b.requests {
			x.endAttempt(openID, 0, OK)
			if answered++; answered == 16 {
				break
			}
		}
		sendRequest(answered)
	}
	if refused > 0 {
		t.Errorf("%d of %d refused by servers that answer at once", refused, id)
	}
}

// Delay in the agent must not teach anything about a server: of two equal servers, the one whose
// answers the agent reads late looks neither slower nor more limited.
func TestOwnLatenessTeachesNothing(t *testing.T) {
	for _, agentDelay := range []time.Duration{0, 5 * ms, 50 * ms, 360 * ms} {
		x := newHarness(t, noReportSettings(), fleet(2)...)
		for id := RequestID(1); id <= 1000; id++ {
			delay := time.Duration(0)
			if onlyAction(t, x.sendRequest(id, classPure), ActSend).Server == 1 {
				delay = agentDelay
			}
			x.now += 40*ms + delay
			x.handle(Event{Kind: EventOutcome, Request: id, Outcome: OK, Final: true, AgentDelay: delay})
		}
		s, o := x.b.servers[1], x.b.servers[2]
		if ratio := s.speed.Slowdown / o.speed.Slowdown; math.Abs(ratio-1) > 0.05 ||
			s.concurrency.Current() != o.concurrency.Current() || x.b.shedder.Level > 0 {
			t.Errorf("agent delay of %v: %.3f times slower, limits %.1f and %.1f, shed level %.2f",
				agentDelay, ratio, s.concurrency.Current(), o.concurrency.Current(), x.b.shedder.Level)
		}
	}
}
