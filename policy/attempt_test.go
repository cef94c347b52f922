package policy

import (
	"testing"
	"time"
)

// Checks by class and outcome whether a request is retried, and how it ends.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		want    ActionKind
	}{
		{"pure error", classPure, Error, 10 * ms, ActSend},
		{"pure time-out", classPure, Timeout, 1000 * ms, ActRefuse},
		{"unsafe error", classUnsafe, Error, 10 * ms, ActFail},
		{"unsafe reset", classUnsafe, Reset, 10 * ms, ActFail},
		{"unsafe cancelled", classUnsafe, Cancelled, 10 * ms, ActFail},
		{"unsafe time-out", classUnsafe, Timeout, 1000 * ms, ActFail},
		{"unsafe full", classUnsafe, Full, 10 * ms, ActSend},
		{"unsafe not connected", classUnsafe, ConnectFailed, 10 * ms, ActSend},
		{"keyed everywhere, inside the window", classKeyedAll, Error, 299 * ms, ActSend},
		{"keyed everywhere, past it", classKeyedAll, Error, 300 * ms, ActFail},
		{"keyed by cell, no other server in it", classKeyedCell, Error, 10 * ms, ActFail},
		{"keyed by cell, never ran", classKeyedCell, Full, 10 * ms, ActSend},
		{"keyed by zone, no other server in it", classKeyedZone, Error, 10 * ms, ActFail},
		{"keyed by cell, time-out", classKeyedCell, Timeout, 1000 * ms, ActFail},
	} {
		x := newHarness(t, testSettings(), fleet(6)...)
		first := onlyAction(t, x.sendRequest(1, c.class), ActSend)
		x.now += c.after
		actions := x.endAttempt(1, 0, c.outcome)
		a := onlyAction(t, actions, c.want)
		if a.Request != 1 {
			t.Errorf("%s: %+v", c.name, a)
		}
		if c.want == ActSend && c.outcome == Error && c.class >= classKeyedCell && c.class != classKeyedAll &&
			a.Server != first.Server {
			t.Errorf("%s: sent to another group", c.name)
		}
		noAction(t, x.endAttempt(1, 0, OK), ActSend, ActRefuse, ActFail)
	}
}

// A keyed retry outside its cell could run twice, since only the servers of one cell drop the
// repeat.
func TestKeyedRetryStaysInCell(t *testing.T) {
	list := fleet(8)
	for i := range list {
		list[i].Cell = i % 2
	}
	sent := 0
	for seed := range 60 {
		x := newHarness(t, testSettings(), list...)
		for range seed {
			x.b.rng.Float64()
		}
		first := onlyAction(t, x.sendRequest(1, classKeyedCell), ActSend)
		for _, a := range x.endAttempt(1, 0, Reset) {
			if a.Kind == ActSend {
				sent++
				if (a.Server-first.Server)%2 != 0 {
					t.Fatalf("retry left its cell: from server %d to %d", first.Server, a.Server)
				}
			}
		}
	}
	if sent < 10 {
		t.Errorf("only %d of 60 requests were retried", sent)
	}
}

func TestAttemptsAndRetriesAreLimited(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	x := newHarness(t, s, fleet(20)...)
	onlyAction(t, x.sendRequest(1, classPure), ActSend)
	onlyAction(t, x.endAttempt(1, 0, Error), ActSend)
	onlyAction(t, x.endAttempt(1, 1, Error), ActRefuse)
	x = newHarness(t, testSettings(), fleet(200)...)
	retries := 0
	for id := range RequestID(100) {
		x.sendRequest(id, classPure)
		for _, a := range x.endAttempt(id, 0, ConnectFailed) {
			if a.Kind == ActSend {
				retries++
			}
		}
	}
	if retries < 10 || retries > 24 { // bounds a retry storm: a fifth of the requests and the floor
		t.Errorf("%d retries for 100 requests", retries)
	}
}

func TestHangupEndsOnceAndCancels(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(3)...)
	onlyAction(t, x.sendRequest(1, classUnsafe), ActSend)
	if a := onlyAction(t, x.handle(Event{Kind: EventClientGone, Request: 1}), ActCancel); a.Attempt != 0 {
		t.Errorf("cancelled %+v", a)
	}
	noAction(t, x.endAttempt(1, 0, Cancelled), ActSend, ActRefuse, ActFail)
	if len(x.b.requests) != 0 {
		t.Error("the request is still in the table")
	}
	for _, s := range x.b.ring {
		if s.inFlight != 0 {
			t.Errorf("server %d still has %d in flight", s.ID, s.inFlight)
		}
	}
}

func TestMayKeepsToOneAttemptAtATime(t *testing.T) {
	for _, second := range []bool{false, true} {
		s := testSettings()
		s.SecondCopies = second
		x := newHarness(t, s, fleet(2)...)
		onlyAction(t, x.sendRequest(1, classPure), ActSend)
		if got := x.b.maySend(x.b.requests[1], x.b.ring[0]); got != second {
			t.Errorf("hedging %v: a second attempt in flight is allowed: %v", second, got)
		}
	}
}

// In any window, both edges included, retries stay within the floor plus the ratio times the
// requests received.
func TestRetryBudget(t *testing.T) {
	s := testSettings()
	s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = time.Second, 2, 0.5
	x := newHarness(t, s, fleet(20)...)
	retried := func(id RequestID) bool {
		x.b.shedder.Level = 0
		onlyAction(t, x.sendRequest(id, classPure), ActSend)
		actions := x.endAttempt(id, 0, Full)
		return len(actions) > 0 && actions[0].Kind == ActSend
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
		{1000 * ms, false}, // the four first retries still count, but the requests of that time do not: 6 of 2 + 1
		{1001 * ms, true},  // 2 of 2 + 1.5
	} {
		x.now = begin + c.at
		if got := retried(RequestID(i)); got != c.want {
			t.Errorf("step %d at %v: retried %v, want %v", i, c.at, got, c.want)
		}
	}
}

// A client's last try has all the rest of its deadline, which is longer than that of a first try.
// First tries must not look late beside it, or all of them are refused.
func TestFirstTriesAreNotTakenForLaterOnes(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(4)...)
	refused := 0
	for id := range RequestID(60) {
		x.now += 10 * ms
		x.b.shedder.Level = 0
		left := 550 * ms // a first try gets a part of the deadline of a second
		if id%3 == 2 {
			left = 850 * ms // a last try
		}
		for _, a := range x.handle(Event{Kind: EventRequest, Request: id, Class: classPure, TimeLeft: left, Retry: id%3 == 2}) {
			if a.Kind == ActRefuse {
				refused++
			} else if r := x.b.requests[id]; a.Kind == ActSend && id%3 == 2 && r.targetTime != x.now+250*ms {
				t.Fatalf("the target time of a last try is in %v, want 250ms", r.targetTime-x.now)
			}
		}
		x.endAttempt(id, 0, OK)
	}
	if refused > 0 {
		t.Errorf("%d tries were refused as too late", refused)
	}
}

// A retry with as much time as a first try came soon, and half of the time that may have passed is
// deducted from its target. One with a different time left is a last try, and all of that time is
// deducted.
func TestEarlyRepeatsKeepHalf(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(3)...)
	for id := range RequestID(10) {
		x.handle(Event{Kind: EventRequest, Request: id + 1, Class: classPure, TimeLeft: 600 * ms})
	}
	for id, left := range map[RequestID]time.Duration{20: 600 * ms, 21: 700 * ms} {
		x.handle(Event{Kind: EventRequest, Request: id, Class: classPure, TimeLeft: left, Retry: true})
	}
	if early, late := x.b.requests[20].targetTime-x.now, x.b.requests[21].targetTime-x.now; early != 200*ms || late != 100*ms {
		t.Errorf("target times in %v and %v, want 200ms and 100ms", early, late)
	}
}

// A refusal says when to retry: later under overload.
func TestRefusalsCarryAdvice(t *testing.T) {
	x := newHarness(t, testSettings())
	calm := onlyAction(t, x.sendRequest(1, classPure), ActRefuse).Wait
	x.b.shedder.Level = 1
	if busy := onlyAction(t, x.sendRequest(2, classUnsafe), ActRefuse).Wait; calm <= 0 || busy <= calm {
		t.Errorf("retry advice of %v, under overload %v", calm, busy)
	}
}

// A keyed retry has a time until which it may reach a server. Attempts that never ran need none.
func TestKeyedRepeatsSayUntilWhen(t *testing.T) {
	for outcome, want := range map[Outcome]time.Duration{Error: 200 * ms, Full: 0} {
		x := newHarness(t, testSettings(), fleet(6)...)
		if first := onlyAction(t, x.sendRequest(1, classKeyedAll), ActSend); first.DeliverWithin != 0 {
			t.Errorf("the first attempt has a delivery limit of %v", first.DeliverWithin)
		}
		x.now += 100 * ms
		if second := onlyAction(t, x.endAttempt(1, 0, outcome), ActSend); second.DeliverWithin != want {
			t.Errorf("after outcome %d: delivery limit %v, want %v", outcome, second.DeliverWithin, want)
		}
	}
}

// Each server has its limit. Requests beyond all limits are refused at once, and are admitted again
// as soon as the servers answer.
func TestLimitsBindAndEase(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(4)...)
	for _, s := range x.b.ring { // each has answered once, in half of the target latency
		s.concurrency.OnAnswer(0.5, 1, x.now, x.now)
	}
	sent := 0
	id := RequestID(1)
	for ; id <= 60; id++ {
		for _, a := range x.sendRequest(id, classUnsafe) {
			if a.Kind == ActSend {
				sent++
			}
		}
	}
	if limit := 4 * int(x.b.ring[0].concurrency.Current()); sent > limit || sent < limit/2 {
		t.Errorf("%d of 60 sent to four servers at once, their limits being %d together", sent, limit)
	}
	x.now += 100 * ms
	for openID := range x.b.requests {
		x.endAttempt(openID, 0, OK)
	}
	x.now += 1200 * ms // three target latencies
	admitted := 0
	for range 4 {
		id++
		for _, a := range x.sendRequest(id, classUnsafe) {
			if a.Kind == ActSend {
				admitted++
				x.endAttempt(id, 0, OK)
			}
		}
	}
	if admitted < 3 {
		t.Errorf("%d of 4 sent, three target latencies after all have answered", admitted)
	}
}

// If crossing zones costs, servers of other zones are sent less while the own zone has capacity,
// and still get what it cannot serve.
func TestCrossingCosts(t *testing.T) {
	share := func(cost float64, every, took time.Duration) (remoteShare float64, refused int) {
		s := noReportSettings()
		s.Zone, s.CrossZone = 1, cost
		list := fleet(9)
		for i := range list {
			list[i].Zone = i % 3
		}
		x := newHarness(t, s, list...)
		type flight struct {
			at time.Duration
			id RequestID
		}
		var inFlight []flight
		remote, total := 0, 0
		for id := RequestID(1); id <= 3000; id++ {
			x.now += every
			for len(inFlight) > 0 && inFlight[0].at <= x.now {
				x.endAttempt(inFlight[0].id, 0, OK)
				inFlight = inFlight[1:]
			}
			for _, a := range x.sendRequest(id, classUnsafe) {
				switch a.Kind {
				case ActSend:
					inFlight = append(inFlight, flight{x.now + took, id})
					if total++; x.b.servers[a.Server].Zone != 1 {
						remote++
					}
				case ActRefuse:
					refused++
				}
			}
		}
		return float64(remote) / float64(total), refused
	}
	free, _ := share(0, 6*ms, 100*ms)
	costly, _ := share(0.03, 6*ms, 100*ms)
	if free < 0.6 || free > 0.73 || costly > 0.6 {
		t.Errorf("%.2f of the requests leave the zone if it is free, %.2f if it costs", free, costly)
	}
	if busy, refused := share(0.03, 3*ms, 100*ms); refused > 60 || busy < 0.4 {
		t.Errorf("%d of 3000 refused, %.2f sent to other zones, though only these have free capacity", refused, busy)
	}
}

// A retry that only one cell may serve would hardly ever find one of its servers among the pairs of
// a large pool.
func TestRepeatsFindTheirCell(t *testing.T) {
	list := fleet(60)
	for i := range list {
		list[i].Cell = i / 6
	}
	x := newHarness(t, testSettings(), list...)
	for id := RequestID(1); id <= 50; id++ {
		first := onlyAction(t, x.sendRequest(id, classKeyedCell), ActSend)
		x.now += ms
		second := onlyAction(t, x.endAttempt(id, 0, Reset), ActSend)
		if second.Server == first.Server || (second.Server-1)/6 != (first.Server-1)/6 {
			t.Fatalf("request %d went to %d, then to %d", id, first.Server, second.Server)
		}
		x.endAttempt(id, 1, OK)
		x.now += time.Minute // so that the connection failures are forgotten
	}
}
