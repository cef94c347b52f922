package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Danger: weights that leave out how fast a kind's cores are overload the slow kind.
func TestKindsSpeedsAreLearnt(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Kind = i % 2
	}
	for name, learn := range map[string]func(x *bench, s *server){
		"answers": func(x *bench, s *server) {
			x.b.observe(&x.b.classes[pure], s, []float64{0.1, 0.2}[s.Kind], 1)
		},
		"reports": func(x *bench, s *server) {
			x.b.report(s, Load{Known: true, InFlight: 1, Queue: -1, ServiceTime: time.Duration(s.Kind+1) * 50 * ms, Rate: -1}, 0)
		},
	} {
		x := start(t, settings(), list...)
		for i := range 80 {
			x.b.now += 50 * ms
			learn(x, x.b.ring[i%8])
		}
		x.b.epoch++
		x.draw()
		var speeds [2]float64
		for _, s := range x.b.ring {
			speeds[s.Kind] = s.built
		}
		if r := speeds[0] / speeds[1]; r < 1.7 || r > 2.2 {
			t.Errorf("%s: a kind that takes half as long is %v times as fast", name, r)
		}
	}
}

// A kind that is sent less and so has less in work is neither slower nor narrower for it.
func TestTrafficIsNoSpeed(t *testing.T) {
	list := fleet(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	x := start(t, settings(), list...)
	for i := range 80 {
		x.b.now += 50 * ms
		s := x.b.ring[i%4]
		busy := float64(1 + 3*s.Kind)
		x.b.report(s, Load{Known: true, InFlight: busy, Queue: -1, ServiceTime: 50 * ms, Rate: 20 * busy}, 0)
	}
	x.b.epoch++
	x.draw()
	for _, s := range x.b.ring {
		if math.Abs(s.built-x.b.ring[0].built) > 0.01 {
			t.Errorf("kind %d has speed %v, kind %d %v", s.Kind, s.built, x.b.ring[0].Kind, x.b.ring[0].built)
		}
		if x.b.width.Requests() < 3 {
			t.Errorf("a width of %v where busy servers have 4 in work", x.b.width.Requests())
		}
	}
}

// A class that takes ten times as long is no slow server, even where one server happens to get all of it.
func TestLongClassIsNoSlowServer(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	long, short := x.b.ring[0], x.b.ring[1]
	for range 200 {
		x.b.now += 50 * ms
		x.b.observe(&x.b.classes[byAll], long, 0.5, 1)
		x.b.observe(&x.b.classes[pure], short, 0.05, 1)
	}
	if long.pace.Slow > 1.2 || short.pace.Slow < 0.8 {
		t.Errorf("slowness %v and %v", long.pace.Slow, short.pace.Slow)
	}
	for range 200 {
		x.b.now += 50 * ms
		x.b.observe(&x.b.classes[pure], long, 0.15, 1)
		x.b.observe(&x.b.classes[pure], short, 0.05, 1)
	}
	if long.pace.Slow < 1.4*short.pace.Slow {
		t.Errorf("a server three times slower: slowness %v and %v", long.pace.Slow, short.pace.Slow)
	}
	now := long.pace.Slow
	x.b.now += time.Hour
	x.b.slower(long, 1, 0)
	if long.pace.Slow > 1.01 || now < 1.2 {
		t.Errorf("slowness %v became %v in an hour without news", now, long.pace.Slow)
	}
}

// Our own queue at a server is not its slowness.
func TestOwnQueueIsNoSlowness(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	busy, idle := x.b.ring[0], x.b.ring[1]
	busy.inFlight = 3
	for range 300 {
		x.b.now += 50 * ms
		x.b.observe(&x.b.classes[pure], busy, 0.4, 1)
		x.b.observe(&x.b.classes[pure], idle, 0.1, 1)
	}
	if busy.pace.Slow > 1.2*idle.pace.Slow {
		t.Errorf("slowness %v with four times the wait for three of our own, %v with none", busy.pace.Slow, idle.pace.Slow)
	}
}

// blind are the settings of servers that report nothing.
func blind() Settings {
	s := settings()
	s.Reports = ReportsOff
	return s
}

// One slow server is no crowd: while the others answer well within the aim, nobody is refused. Each silence used to
// press by how late the other answers were, up to four times over, and what that shed no answer could bring back.
func TestSlowServerShedsNothing(t *testing.T) {
	x := start(t, blind(), fleet(6)...)
	type due struct {
		at time.Duration
		ev Event
	}
	var dues []due
	slow := x.b.ring[0].ID
	refused := 0
	take := func(acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case ActRefuse:
				refused++
			case ActSend:
				took := 180 * ms
				if a.Server == slow {
					took = 900 * ms
				}
				n := len(x.b.open[a.Request].attempts) - 1
				dues = append(dues, due{x.now + took, Event{Kind: EventOutcome, Request: a.Request, Attempt: n, Server: a.Server, Outcome: OK, Final: true, Load: Load{InFlight: -1, Queue: -1}}})
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
				take(x.on(d.ev))
			}
		}
		if (end-x.now)%(25*ms) == 0 {
			id++
			take(x.ask(id, unsafe))
		}
	}
	if refused > int(id)/50 {
		t.Errorf("%d of %d refused with five of six servers well", refused, id)
	}
}

// Where nothing tells a server's width, how many are out at it says nothing of its speed: it used to be taken for a
// queue, so that the fuller server looked faster and was sent more.
func TestInFlightIsNoSpeed(t *testing.T) {
	x := start(t, blind(), fleet(2)...)
	s := x.b.ring[0]
	s.inFlight = 7
	for range 100 {
		x.b.now += 100 * ms
		x.b.observe(&x.b.classes[pure], s, 0.1, 1)
	}
	if s.pace.Slow < 0.9 || s.pace.Slow > 1.1 {
		t.Errorf("slowness %v by usual answers with seven out", s.pace.Slow)
	}
}

// A burst at an agent that has heard no answer yet is sent: no limit is known, and refusals for one would press for seconds
// on servers that are idle. Eight idle servers and 256 requests at a time used to have 769 of 23,000 refused.
func TestBurstAtUnknownQuickServers(t *testing.T) {
	x := start(t, blind(), fleet(8)...)
	id, refused := RequestID(0), 0
	ask := func(n int) {
		for range n {
			id++
			for _, a := range x.ask(id, unsafe) {
				if a.Kind == ActRefuse {
					refused++
				}
			}
		}
	}
	ask(256)
	for range 50 {
		x.now += 100 * time.Microsecond
		back := 0
		for open := range x.b.open {
			x.ends(open, 0, OK)
			if back++; back == 16 {
				break
			}
		}
		ask(back)
	}
	if refused > 0 {
		t.Errorf("%d of %d refused by servers that answer at once", refused, id)
	}
}

// What the agent was late with itself teaches nothing of a server: of two that are alike, the one at whose answers it is late
// looks no slower, and no more limited, than the other.
func TestOwnLatenessTeachesNothing(t *testing.T) {
	for _, own := range []time.Duration{0, 5 * ms, 50 * ms, 360 * ms} {
		x := start(t, blind(), fleet(2)...)
		for id := RequestID(1); id <= 1000; id++ {
			late := time.Duration(0)
			if one(t, x.ask(id, pure), ActSend).Server == 1 {
				late = own
			}
			x.now += 40*ms + late
			x.on(Event{Kind: EventOutcome, Request: id, Outcome: OK, Final: true, AgentDelay: late})
		}
		s, o := x.b.servers[1], x.b.servers[2]
		if ratio := s.pace.Slow / o.pace.Slow; math.Abs(ratio-1) > 0.05 || s.room.Limit() != o.room.Limit() || x.b.pressure.Raw > 0 {
			t.Errorf("%v late: %.3f times slower, limits %.1f and %.1f, pressure %.2f", own, ratio, s.room.Limit(), o.room.Limit(), x.b.pressure.Raw)
		}
	}
}
