package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A server that returns errors quickly looks like a fast, idle one. It must be ejected, and errors
// must not teach its speed.
func TestErrorsEjectAndTeachNothing(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(6)...)
	for range 9 { // spends the retry budget
		x.b.retryBudget.AddRetry(x.now)
	}
	faulty := onlyAction(t, x.sendRequest(1, classUnsafe), ActSend).Server
	x.now += ms
	onlyAction(t, x.endAttempt(1, 0, Error), ActLog)
	if s := x.b.servers[faulty]; s.speed.Slowdown != 1 {
		t.Errorf("an error changed the slowdown to %v", s.speed.Slowdown)
	}
	for id := range RequestID(60) {
		if a := onlyAction(t, x.sendRequest(10+id, classUnsafe), ActSend); a.Server == faulty {
			t.Fatal("sent to the ejected server")
		}
	}
	x.now += 6 * time.Second
	readmitted := false
	for id := range RequestID(60) {
		readmitted = readmitted || onlyAction(t, x.sendRequest(100+id, classUnsafe), ActSend).Server == faulty
	}
	if !readmitted {
		t.Error("never readmitted")
	}
}

// If all servers look faulty, overload or the agent is the cause. A quarter of them must stay in
// use.
func TestEjectionIsCapped(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(9)...)
	for _, s := range slices.Clone(x.b.ring) {
		x.drawCandidates()
		x.b.addFailureScore(&x.b.classes[classPure], s, 5, "test")
	}
	x.drawCandidates()
	if n := len(x.pool().servers); n != 3 {
		t.Errorf("%d of 9 servers left in the pool, want 3", n)
	}
}

// A server that rejects requests at once has few in flight and would win every pair (incident
// i4fd1b4).
func TestFullServerIsPassedBy(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(2)...)
	for id := range RequestID(10) { // teaches the typical latency
		x.sendRequest(id, classPure)
		x.now += 100 * ms
		x.endAttempt(id, 0, OK)
	}
	full := onlyAction(t, x.sendRequest(100, classPure), ActSend).Server
	x.endAttempt(100, 0, Full)
	for id := range RequestID(20) {
		for _, a := range x.sendRequest(200+id, classPure) {
			if a.Kind == ActSend && a.Server == full {
				t.Fatal("sent to the server that was full")
			}
		}
	}
	x.now += time.Second
	x.b.shedder.Level = 0
	for id := range RequestID(20) { // the other server has all other requests in flight
		if a := onlyAction(t, x.sendRequest(300+id, classPure), ActSend); a.Server == full {
			return
		}
	}
	t.Error("the server was never used again")
}

// A server that answers in between is not ejected for single failures, nor for one slow request.
// Three failures in a row eject it, and so does silence towards all requests.
func TestBusyServerSurvivesSingleFailures(t *testing.T) {
	for _, outcome := range []Outcome{Error, Reset} {
		x := newHarness(t, testSettings(), fleet(3)...)
		s, c := x.b.servers[1], &x.b.classes[classPure]
		for range 20 {
			x.b.learnFromOutcome(c, &attempt{server: s}, OK, 0.1, 1)
			x.b.learnFromOutcome(c, &attempt{server: s}, outcome, 0.1, 1)
		}
		if s.health[classPure].EjectedUntil > x.b.now {
			t.Errorf("outcome %d: ejected for single failures", outcome)
		}
		for range 2 {
			x.b.learnFromOutcome(c, &attempt{server: s}, outcome, 0.1, 1)
		}
		if s.health[classPure].EjectedUntil <= x.b.now {
			t.Errorf("outcome %d: three failures in a row did not eject", outcome)
		}
	}
	x := newHarness(t, testSettings(), fleet(3)...)
	sent := x.sendRequest(1, classPure)
	s, check := x.b.servers[onlyAction(t, sent, ActSend).Server], onlyAction(t, sent, ActTimer)
	x.now += check.Wait / 2
	x.handle(Event{Kind: EventTimer}) // updates the Balancer's clock
	x.b.learnFromOutcome(&x.b.classes[classPure], &attempt{server: s}, OK, 0.1, 1)
	x.now += check.Wait / 2
	if x.handle(Event{Kind: EventTimer, Token: check.Token}); s.health[classPure].FailureScore > 0 {
		t.Errorf("failure score %v for a slow request", s.health[classPure].FailureScore)
	}
	x.now += time.Second
	for s.inFlight < 2 { // until the server has a second request; it answers neither
		id := RequestID(len(x.b.requests) + 2)
		sent = x.sendRequest(id, classPure)
	}
	check = onlyAction(t, sent, ActTimer)
	for range 3 {
		x.now += check.Wait
		x.handle(Event{Kind: EventTimer, Token: check.Token})
	}
	if s.health[classPure].EjectedUntil <= x.now {
		t.Error("a server that stopped answering was not ejected")
	}
}

// A server that accepts no further connections while it answers over others, or rejects requests,
// is avoided for a while and not ejected. Neither counts as overload.
func TestServerWithoutRoomIsPassedBy(t *testing.T) {
	for _, outcome := range []Outcome{ConnectFailed, Full} {
		x := newHarness(t, testSettings(), fleet(3)...)
		s, c := x.b.servers[1], &x.b.classes[classPure]
		x.b.applyReport(s, Load{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms, Rate: 200}, 0)
		x.b.learnFromOutcome(c, &attempt{server: s}, OK, 0.1, 1)
		x.b.serviceTime.Add(0.01, 1)
		sent := x.b.now
		var until time.Duration
		for range 3 { // attempts in flight together count once
			x.b.learnFromOutcome(c, &attempt{server: s, sent: sent}, outcome, 0.1, 1)
			if x.b.now += ms; until == 0 {
				until = s.avoidUntil
			}
		}
		if s.health[classPure].EjectedUntil > x.b.now || x.b.shedder.Level > 0 {
			t.Errorf("outcome %d: ejected until %v, shed level %v", outcome, s.health[classPure].EjectedUntil, x.b.shedder.Level)
		}
		if s.avoidUntil <= x.b.now || s.avoidUntil != until {
			t.Errorf("outcome %d: avoided until %v, after the first until %v", outcome, s.avoidUntil, until)
		}
	}
}

// A server that fails one class and serves the others is ejected for that class alone, and good
// answers of other classes do not readmit it. Broken connections eject it for all classes.
func TestHealthIsByClass(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(6)...)
	inPool := func(class int, id ServerID) bool {
		c := &x.b.classes[class]
		x.b.drawCandidates(&request{class: c})
		return slices.Contains(c.pool.servers, x.b.servers[id])
	}
	faulty := onlyAction(t, x.sendRequest(1, classUnsafe), ActSend).Server
	x.now += 900 * ms
	x.endAttempt(1, 0, Timeout)
	if inPool(classUnsafe, faulty) || !inPool(classPure, faulty) {
		t.Fatalf("after a silent unsafe request: ejected for unsafe %v, for pure %v",
			!inPool(classUnsafe, faulty), !inPool(classPure, faulty))
	}
	for range 20 {
		x.b.learnFromOutcome(&x.b.classes[classPure], &attempt{server: x.b.servers[faulty]}, OK, 0.1, 1)
	}
	if inPool(classUnsafe, faulty) {
		t.Error("good answers of another class readmitted the server")
	}
	other := x.b.ring[0].ID
	if other == faulty {
		other = x.b.ring[1].ID
	}
	x.b.learnFromOutcome(&x.b.classes[classPure], &attempt{server: x.b.servers[other]}, Reset, 0.1, 1)
	if inPool(classUnsafe, other) {
		t.Error("its connections break, but it is still in the pool of unsafe requests")
	}
}

// Half of the servers fail a quarter of their requests. If each of them were ejected after three
// failures in a row, any that was readmitted would get nearly all of the traffic.
func TestFlakyServersShareTheRest(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(10)...)
	sent, flaky := map[ServerID]int{}, map[ServerID]bool{}
	for i, s := range x.b.ring {
		flaky[s.ID] = i%2 == 0
	}
	rng := rand.New(rand.NewPCG(1, 2))
	type flight struct {
		at time.Duration
		id RequestID
		to ServerID
	}
	var inFlight []flight
	refused := 0
	for id := RequestID(1); id <= 6000; id++ {
		x.now += 3 * ms
		for len(inFlight) > 0 && inFlight[0].at <= x.now {
			outcome := OK
			if flaky[inFlight[0].to] && rng.Float64() < 0.27 {
				outcome = Reset
			}
			x.endAttempt(inFlight[0].id, 0, outcome)
			inFlight = inFlight[1:]
		}
		for _, a := range x.sendRequest(id, classUnsafe) {
			switch a.Kind {
			case ActSend:
				inFlight = append(inFlight, flight{x.now + 60*ms, id, a.Server})
				if id > 1000 {
					sent[a.Server]++
				}
			case ActRefuse:
				refused++
			}
		}
	}
	most, toFlaky, total := 0, 0, 0
	for id, n := range sent {
		if total += n; flaky[id] {
			toFlaky += n
		}
		most = max(most, n)
	}
	if most > total/7 || refused > 40 {
		t.Errorf("one server got %d of %d requests, %d were refused", most, total, refused)
	}
	if part := float64(toFlaky) / float64(total); part < 0.1 || part > 0.48 {
		t.Errorf("the flaky half got %.2f of the requests, want less than the other half and more than a tenth", part)
	}
}

// A server that fails more than half of its requests is ejected, however often it answers in
// between.
func TestMostlyFailingServerIsEjected(t *testing.T) {
	x := newHarness(t, noReportSettings(), fleet(4)...)
	s := x.b.ring[0]
	for i := range 40 {
		x.b.now += 10 * ms
		s.inFlight++
		a := &attempt{server: s, sent: x.b.now - 5*ms}
		outcome := Error
		if i%5 == 0 {
			outcome = OK
		}
		x.b.learnFromOutcome(&x.b.classes[classPure], a, outcome, 0.2, 1)
	}
	if s.health[classPure].EjectedUntil <= x.b.now {
		t.Errorf("not ejected at a failure rate of %.2f", s.health[classPure].FailureRate)
	}
}

// Servers that fail most requests quickly look idle. With many agents and servers, each agent would
// have to see several failures of each server, though every report shows the errors (seen in
// scenario join+vast with 80 agents and 60 servers, 7 of them faulty).
func TestReportedErrorsEject(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports = true, ReportsOnProbe
	for _, c := range []struct {
		errors, rate float64
		ejected      bool
	}{{7, 0.2, true}, {3, 6, false}, {0.4, 0, false}, {-1, 10, false}, {0, 0, false}} {
		x := newHarness(t, s, fleet(4)...)
		actions := x.sendRequest(1, classPure)
		faulty := onlyAction(t, actions, ActProbe).Server
		actions = x.handle(Event{Kind: EventProbeResult, Server: faulty, Outcome: OK, Load: Load{
			Known: true, InFlight: 0, Queue: -1, ServiceTime: 20 * ms, Rate: c.rate, ErrorRate: c.errors,
		}})
		sent := onlyAction(t, x.answerProbes(actions, nil), ActSend).Server
		if ejected := x.b.servers[faulty].health[classPure].EjectedUntil > x.now; ejected != c.ejected || ejected && sent == faulty {
			t.Errorf("%v errors and %v answers a second: ejected %v, want %v; sent to %d, %d reports them",
				c.errors, c.rate, ejected, c.ejected, sent, faulty)
		}
		if !c.ejected && sent != faulty {
			t.Errorf("%v errors and %v answers a second: an idle server is avoided", c.errors, c.rate)
		}
	}
}

// A server that fails one class is not ejected for another class that it serves.
func TestReportedErrorsLeaveWhatIsAnswered(t *testing.T) {
	x := newHarness(t, testSettings(), fleet(4)...)
	s := x.b.ring[0]
	for range 20 {
		x.now += 50 * ms
		x.b.now = x.now
		x.b.learnFromOutcome(&x.b.classes[classKeyedAll], &attempt{server: s, sent: x.now - ms}, OK, 0.1, 1)
		x.b.applyReport(s, Load{Known: true, InFlight: 1, Queue: -1, ServiceTime: 20 * ms, Rate: 4, ErrorRate: 16}, 0)
	}
	if s.health[classKeyedAll].EjectedUntil > x.now {
		t.Error("ejected for a class that it serves without failure")
	}
}

// A server that returns on trial may still be faulty: it is probed first, even if no requests are
// being missed elsewhere.
func TestServersInDoubtAreProbed(t *testing.T) {
	s := testSettings()
	s.Probes, s.Reports, s.ProbeFee = true, ReportsOnProbe, 0.08
	for _, c := range []struct {
		failureScore float64
		least, most  int
	}{{0, 0, 30}, {0.5, 100, 100}} {
		probed := 0
		for id := range RequestID(100) {
			x := newHarness(t, s, fleet(2)...)
			x.b.rng = rand.New(rand.NewPCG(uint64(id), 0))
			for _, s := range x.b.ring {
				s.health[classPure].FailureScore = c.failureScore
			}
			if slices.ContainsFunc(x.sendRequest(id, classPure), func(a Action) bool { return a.Kind == ActProbe }) {
				probed++
			}
		}
		if probed < c.least || probed > c.most {
			t.Errorf("at a failure score of %v, %d of 100 requests were probed for", c.failureScore, probed)
		}
	}
}
