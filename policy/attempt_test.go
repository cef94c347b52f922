package policy

import (
	"testing"
	"time"
)

// What may be sent again, and how a request ends, by class and outcome.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		how   Outcome
		after time.Duration
		want  ActionKind
	}{
		{"pure error", pure, Error, 10 * ms, ActSend},
		{"pure time-out", pure, Timeout, 1000 * ms, ActRefuse},
		{"unsafe error", unsafe, Error, 10 * ms, ActFail},
		{"unsafe reset", unsafe, Reset, 10 * ms, ActFail},
		{"unsafe cancelled", unsafe, Cancelled, 10 * ms, ActFail},
		{"unsafe time-out", unsafe, Timeout, 1000 * ms, ActFail},
		{"unsafe full", unsafe, Full, 10 * ms, ActSend},
		{"unsafe not connected", unsafe, ConnectFailed, 10 * ms, ActSend},
		{"keyed everywhere, inside the window", byAll, Error, 299 * ms, ActSend},
		{"keyed everywhere, past it", byAll, Error, 300 * ms, ActFail},
		{"keyed by cell, no other server in it", byCell, Error, 10 * ms, ActFail},
		{"keyed by cell, never ran", byCell, Full, 10 * ms, ActSend},
		{"keyed by zone, no other server in it", byZone, Error, 10 * ms, ActFail},
		{"keyed by cell, time-out", byCell, Timeout, 1000 * ms, ActFail},
	} {
		x := start(t, settings(), fleet(6)...)
		first := one(t, x.ask(1, c.class), ActSend)
		x.now += c.after
		acts := x.ends(1, 0, c.how)
		a := one(t, acts, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActSend && c.how == Error && c.class >= byCell && c.class != byAll && a.Server != first.Server {
			t.Errorf("%s: sent to another group", c.name)
		}
		none(t, x.ends(1, 0, OK), ActSend, ActRefuse, ActFail)
	}
}

// Danger: a keyed retry outside its cell runs twice. In a fleet of one cell it may go anywhere.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	sent := 0
	for seed := range 60 {
		x := start(t, settings(), list...)
		for range seed {
			x.b.rng.Float64()
		}
		first := one(t, x.ask(1, byCell), ActSend)
		for _, a := range x.ends(1, 0, Reset) {
			if a.Kind == ActSend {
				sent++
				if (a.Server-first.Server)%2 != 0 {
					t.Fatalf("from server %d to %d", first.Server, a.Server)
				}
			}
		}
	}
	if sent < 10 {
		t.Errorf("only %d of 60 were sent again", sent)
	}
}

func TestAttemptsAndRetriesAreLimited(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	x := start(t, s, fleet(20)...)
	one(t, x.ask(1, pure), ActSend)
	one(t, x.ends(1, 0, Error), ActSend)
	one(t, x.ends(1, 1, Error), ActRefuse)
	x = start(t, settings(), fleet(200)...)
	again := 0
	for id := range RequestID(100) {
		x.ask(id, pure)
		for _, a := range x.ends(id, 0, ConnectFailed) {
			if a.Kind == ActSend {
				again++
			}
		}
	}
	if again < 10 || again > 24 { // danger: a retry storm; a fifth of the requests and the burst
		t.Errorf("%d retries for 100 requests", again)
	}
}

func TestHangupEndsOnceAndCancels(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	one(t, x.ask(1, unsafe), ActSend)
	if a := one(t, x.on(Event{Kind: EventClientGone, Request: 1}), ActCancel); a.Attempt != 0 {
		t.Errorf("cancelled %+v", a)
	}
	none(t, x.ends(1, 0, Cancelled), ActSend, ActRefuse, ActFail)
	if len(x.b.open) != 0 {
		t.Error("the request is still known")
	}
	for _, s := range x.b.ring {
		if s.inFlight != 0 {
			t.Errorf("server %d still has %d in flight", s.ID, s.inFlight)
		}
	}
}

func TestMayKeepsToOneAttemptAtATime(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := settings()
		s.SecondCopies = second
		x := start(t, s, fleet(2)...)
		one(t, x.ask(1, pure), ActSend)
		if got := x.b.may(x.b.open[1], x.b.ring[0]); got != second {
			t.Errorf("second copies %v: may send again %v while one is out", second, got)
		}
	}
}

// Rule 6: in any window, edges included, further attempts stay within floor plus ratio times the requests taken.
func TestRetryBudget(t *testing.T) {
	s := settings()
	s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = time.Second, 2, 0.5
	x := start(t, s, fleet(20)...)
	again := func(id RequestID) bool {
		x.b.pressure.Raw = 0
		one(t, x.ask(id, pure), ActSend)
		acts := x.ends(id, 0, Full)
		return len(acts) > 0 && acts[0].Kind == ActSend
	}
	begin := x.now
	for i, c := range []struct {
		at   time.Duration
		want bool
	}{
		{0, true},          // 1 of 2 + 0.5
		{0, true},          // 2 of 2 + 1
		{0, true},          // 3 of 2 + 1.5
		{0, true},          // 4 of 2 + 2
		{0, false},         // 5 of 2 + 2.5
		{500 * ms, true},   // 5 of 2 + 3
		{1000 * ms, false}, // the four first attempts still count, the requests beside them do not: 6 of 2 + 1
		{1001 * ms, true},  // 2 of 2 + 1.5
	} {
		x.now = begin + c.at
		if got := again(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: sent again %v, want %v", i, c.at, got, c.want)
		}
	}
}

// Danger: a client's last try has all the rest of its deadline, longer than a first one. First tries must not
// look late for that, or they are refused without hope.
func TestFirstTriesAreNotTakenForLaterOnes(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	late := 0
	for id := range RequestID(60) {
		x.now += 10 * ms
		x.b.pressure.Raw = 0
		left := 550 * ms // a first try: a share of the deadline of a second
		if id%3 == 2 {
			left = 850 * ms // a last try
		}
		for _, a := range x.on(Event{Kind: EventRequest, Request: id, Class: pure, TimeLeft: left, Retry: id%3 == 2}) {
			if a.Kind == ActRefuse {
				late++
			} else if r := x.b.open[id]; a.Kind == ActSend && id%3 == 2 && r.aim != x.now+250*ms {
				t.Fatalf("a last try's aim is in %v, want 250ms", r.aim-x.now)
			}
		}
		x.ends(id, 0, OK)
	}
	if late > 0 {
		t.Errorf("%d tries refused as hopeless", late)
	}
}

// A repeat with a first try's share of the deadline came soon and keeps half of what may have passed; one with less
// has been long, and is late by all of it.
func TestEarlyRepeatsKeepHalf(t *testing.T) {
	x := start(t, settings(), fleet(3)...)
	for id := range RequestID(10) {
		x.on(Event{Kind: EventRequest, Request: id + 1, Class: pure, TimeLeft: 600 * ms})
	}
	for id, left := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		x.on(Event{Kind: EventRequest, Request: id, Class: pure, TimeLeft: left, Retry: true})
	}
	if early, late := x.b.open[20].aim-x.now, x.b.open[21].aim-x.now; early != 200*ms || late != 100*ms {
		t.Errorf("aims in %v and %v, want 200ms and 100ms", early, late)
	}
}

// A refusal tells when to come again, later under pressure.
func TestRefusalsCarryAdvice(t *testing.T) {
	x := start(t, settings())
	calm := one(t, x.ask(1, pure), ActRefuse).Wait
	x.b.pressure.Raw = 1
	if busy := one(t, x.ask(2, unsafe), ActRefuse).Wait; calm <= 0 || busy <= calm {
		t.Errorf("advice %v, under pressure %v", calm, busy)
	}
}

// A keyed repeat says until when it may reach a server; what cannot be repeated or has not run does not.
func TestKeyedRepeatsSayUntilWhen(t *testing.T) {
	for how, want := range map[Outcome]time.Duration{Error: 200 * ms, Full: 0} {
		x := start(t, settings(), fleet(6)...)
		if first := one(t, x.ask(1, byAll), ActSend); first.DeliverWithin != 0 {
			t.Errorf("the first attempt is bound to %v", first.DeliverWithin)
		}
		x.now += 100 * ms
		if again := one(t, x.ends(1, 0, how), ActSend); again.DeliverWithin != want {
			t.Errorf("after outcome %d: within %v, want %v", how, again.DeliverWithin, want)
		}
	}
}

// Each server has its limit; what finds none below is refused at once, and there is room again as soon as they answer.
func TestLimitsBindAndEase(t *testing.T) {
	x := start(t, blind(), fleet(4)...)
	for _, s := range x.b.ring { // each has answered once, half as quickly as is wanted
		s.room.Answered(0.5, 1, x.now, x.now)
	}
	sent := 0
	id := RequestID(1)
	for ; id <= 60; id++ {
		for _, a := range x.ask(id, unsafe) {
			if a.Kind == ActSend {
				sent++
			}
		}
	}
	if most := 4 * int(x.b.ring[0].room.Limit()); sent > most || sent < most/2 {
		t.Errorf("%d of 60 sent to four servers at once, their limits being %d together", sent, most)
	}
	x.now += 100 * ms
	for open := range x.b.open {
		x.ends(open, 0, OK)
	}
	x.now += 1200 * ms // three aims
	room := 0
	for range 4 {
		id++
		for _, a := range x.ask(id, unsafe) {
			if a.Kind == ActSend {
				room++
				x.ends(id, 0, OK)
			}
		}
	}
	if room < 3 {
		t.Errorf("%d of 4 sent, three aims after all have answered", room)
	}
}

// Where crossing costs, servers of other zones are sent less while there is room at home, and what home cannot take.
func TestCrossingCosts(t *testing.T) {
	share := func(cost float64, every, took time.Duration) (abroad float64, refused int) {
		s := blind()
		s.Zone, s.CrossZone = 1, cost
		list := fleet(9)
		for i := range list {
			list[i].Zone = i % 3
		}
		x := start(t, s, list...)
		type flight struct {
			at time.Duration
			id RequestID
		}
		var out []flight
		far, all := 0, 0
		for id := RequestID(1); id <= 3000; id++ {
			x.now += every
			for len(out) > 0 && out[0].at <= x.now {
				x.ends(out[0].id, 0, OK)
				out = out[1:]
			}
			for _, a := range x.ask(id, unsafe) {
				switch a.Kind {
				case ActSend:
					out = append(out, flight{x.now + took, id})
					if all++; x.b.servers[a.Server].Zone != 1 {
						far++
					}
				case ActRefuse:
					refused++
				}
			}
		}
		return float64(far) / float64(all), refused
	}
	free, _ := share(0, 6*ms, 100*ms)
	costly, _ := share(0.03, 6*ms, 100*ms)
	if free < 0.6 || free > 0.73 || costly > 0.6 {
		t.Errorf("%.2f of the requests leave the zone for nothing, %.2f where it costs", free, costly)
	}
	if busy, refused := share(0.03, 3*ms, 100*ms); refused > 60 || busy < 0.4 {
		t.Errorf("%d of 3000 refused, %.2f abroad, though home can't take all and others have room", refused, busy)
	}
}

// Danger: a repeat that only one cell may see would hardly ever be drawn a server of it from the pairs of a long line.
func TestRepeatsFindTheirCell(t *testing.T) {
	list := fleet(60)
	for i := range list {
		list[i].Cell = i / 6
	}
	x := start(t, settings(), list...)
	for id := RequestID(1); id <= 50; id++ {
		first := one(t, x.ask(id, byCell), ActSend)
		x.now += ms
		second := one(t, x.ends(id, 0, Reset), ActSend)
		if second.Server == first.Server || (second.Server-1)/6 != (first.Server-1)/6 {
			t.Fatalf("request %d went to %d, then to %d", id, first.Server, second.Server)
		}
		x.ends(id, 1, OK)
		x.now += time.Minute // so that broken connections are forgotten
	}
}
