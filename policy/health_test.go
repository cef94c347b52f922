package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Danger: quick errors look like quick, idle servers. One that errs leaves the line; it learns no speed.
func TestErrorsEjectAndTeachNothing(t *testing.T) {
	x := start(t, settings(), fleet(6)...)
	for range 9 { // none left in the retry budget
		x.b.budget.Spend(x.now)
	}
	bad := one(t, x.ask(1, unsafe), ActSend).Server
	x.now += ms
	one(t, x.ends(1, 0, Error), ActLog)
	if s := x.b.servers[bad]; s.pace.Slow != 1 {
		t.Errorf("an error taught that the server is %v times slower", s.pace.Slow)
	}
	for id := range RequestID(60) {
		if a := one(t, x.ask(10+id, unsafe), ActSend); a.Server == bad {
			t.Fatal("sent to the ejected server")
		}
	}
	x.now += 6 * time.Second
	back := false
	for id := range RequestID(60) {
		back = back || one(t, x.ask(100+id, unsafe), ActSend).Server == bad
	}
	if !back {
		t.Error("never readmitted")
	}
}

// Danger: when all servers look bad it is overload or our own blindness; a quarter must stay in use.
func TestEjectionIsCapped(t *testing.T) {
	x := start(t, settings(), fleet(9)...)
	for _, s := range slices.Clone(x.b.ring) {
		x.draw()
		x.b.blame(&x.b.classes[pure], s, 5, "test")
	}
	x.draw()
	if n := len(x.line().servers); n != 3 {
		t.Errorf("%d of 9 servers left on the line, want 3", n)
	}
}

// Incident i4fd1b4: a server that turns requests away at once has few in flight and won every pair.
func TestFullServerIsPassedBy(t *testing.T) {
	x := start(t, settings(), fleet(2)...)
	for id := range RequestID(10) { // teach the usual time
		x.ask(id, pure)
		x.now += 100 * ms
		x.ends(id, 0, OK)
	}
	full := one(t, x.ask(100, pure), ActSend).Server
	x.ends(100, 0, Full)
	for id := range RequestID(20) {
		for _, a := range x.ask(200+id, pure) {
			if a.Kind == ActSend && a.Server == full {
				t.Fatal("sent to the server that was full")
			}
		}
	}
	x.now += time.Second
	x.b.pressure.Raw = 0
	for id := range RequestID(20) { // the other has all the rest in flight
		if a := one(t, x.ask(300+id, pure), ActSend); a.Server == full {
			return
		}
	}
	t.Error("never used again")
}

// A server that answers in between is not ejected for single failures, nor for one costly request; three failures in
// a row are too many, and so is silence towards all.
func TestBusyServerSurvivesSingleFailures(t *testing.T) {
	for _, how := range []Outcome{Error, Reset} {
		x := start(t, settings(), fleet(3)...)
		s, c := x.b.servers[1], &x.b.classes[pure]
		for range 20 {
			x.b.judge(c, &attempt{server: s}, OK, 0.1, 1)
			x.b.judge(c, &attempt{server: s}, how, 0.1, 1)
		}
		if s.health[pure].Until > x.b.now {
			t.Errorf("outcome %d: ejected for single failures", how)
		}
		for range 2 {
			x.b.judge(c, &attempt{server: s}, how, 0.1, 1)
		}
		if s.health[pure].Until <= x.b.now {
			t.Errorf("outcome %d: three failures in a row did not eject", how)
		}
	}
	x := start(t, settings(), fleet(3)...)
	sent := x.ask(1, pure)
	s, check := x.b.servers[one(t, sent, ActSend).Server], one(t, sent, ActTimer)
	x.now += check.Wait / 2
	x.on(Event{Kind: EventTimer}) // brings the module's clock up to date
	x.b.judge(&x.b.classes[pure], &attempt{server: s}, OK, 0.1, 1)
	x.now += check.Wait / 2
	if x.on(Event{Kind: EventTimer, Token: check.Token}); s.health[pure].Bad > 0 {
		t.Errorf("blamed %v for a costly request", s.health[pure].Bad)
	}
	x.now += time.Second
	for s.inFlight < 2 { // one that it does not answer, and nothing else
		id := RequestID(len(x.b.open) + 2)
		sent = x.ask(id, pure)
	}
	check = one(t, sent, ActTimer)
	for range 3 {
		x.now += check.Wait
		x.on(Event{Kind: EventTimer, Token: check.Token})
	}
	if s.health[pure].Until <= x.now {
		t.Error("a server that has fallen silent was not ejected")
	}
}

// A server that takes no more connections while it answers over others, or turns requests away, is passed by for a
// while and stays in; only one that is loaded says that there is a crowd.
func TestServerWithoutRoomIsPassedBy(t *testing.T) {
	for _, how := range []Outcome{ConnectFailed, Full} {
		x := start(t, settings(), fleet(3)...)
		s, c := x.b.servers[1], &x.b.classes[pure]
		x.b.report(s, Load{Known: true, InFlight: 2, Queue: -1, ServiceTime: 10 * ms, Rate: 200}, 0)
		x.b.judge(c, &attempt{server: s}, OK, 0.1, 1)
		x.b.service.Add(0.01, 1)
		sent := x.b.now
		var until time.Duration
		for range 3 { // those that were out together count once
			x.b.judge(c, &attempt{server: s, sent: sent}, how, 0.1, 1)
			if x.b.now += ms; until == 0 {
				until = s.full
			}
		}
		if s.health[pure].Until > x.b.now || x.b.pressure.Raw > 0 {
			t.Errorf("outcome %d: ejected until %v, pressure %v", how, s.health[pure].Until, x.b.pressure.Raw)
		}
		if s.full <= x.b.now || s.full != until {
			t.Errorf("outcome %d: passed by until %v, after the first until %v", how, s.full, until)
		}
	}
}

// Danger: a server that fails one class and serves the others well is out for that class alone, and their good
// answers do not bring it back. Once its connections break, it is out for all.
func TestHealthIsByClass(t *testing.T) {
	x := start(t, settings(), fleet(6)...)
	on := func(class int, id ServerID) bool {
		c := &x.b.classes[class]
		x.b.draw(&request{class: c})
		return slices.Contains(c.line.servers, x.b.servers[id])
	}
	bad := one(t, x.ask(1, unsafe), ActSend).Server
	x.now += 900 * ms
	x.ends(1, 0, Timeout)
	if on(unsafe, bad) || !on(pure, bad) {
		t.Fatalf("after a silent unsafe request: out for unsafe %v, for pure %v", !on(unsafe, bad), !on(pure, bad))
	}
	for range 20 {
		x.b.judge(&x.b.classes[pure], &attempt{server: x.b.servers[bad]}, OK, 0.1, 1)
	}
	if on(unsafe, bad) {
		t.Error("good answers of another class brought it back")
	}
	other := x.b.ring[0].ID
	if other == bad {
		other = x.b.ring[1].ID
	}
	x.b.judge(&x.b.classes[pure], &attempt{server: x.b.servers[other]}, Reset, 0.1, 1)
	if on(unsafe, other) {
		t.Error("its connections break, but it is still sent unsafe requests")
	}
}

// Half of the fleet breaks a quarter of its requests, the rest is sound. Each such server used to be ejected after three
// failures in a row, and whichever was let in on trial got nearly all of the traffic.
func TestFlakyServersShareTheRest(t *testing.T) {
	x := start(t, blind(), fleet(10)...)
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
	var out []flight
	refused := 0
	for id := RequestID(1); id <= 6000; id++ {
		x.now += 3 * ms
		for len(out) > 0 && out[0].at <= x.now {
			how := OK
			if flaky[out[0].to] && rng.Float64() < 0.27 {
				how = Reset
			}
			x.ends(out[0].id, 0, how)
			out = out[1:]
		}
		for _, a := range x.ask(id, unsafe) {
			switch a.Kind {
			case ActSend:
				out = append(out, flight{x.now + 60*ms, id, a.Server})
				if id > 1000 {
					sent[a.Server]++
				}
			case ActRefuse:
				refused++
			}
		}
	}
	most, bad, all := 0, 0, 0
	for id, n := range sent {
		if all += n; flaky[id] {
			bad += n
		}
		most = max(most, n)
	}
	if most > all/7 || refused > 40 {
		t.Errorf("one server got %d of %d requests, %d were refused", most, all, refused)
	}
	if part := float64(bad) / float64(all); part < 0.1 || part > 0.48 {
		t.Errorf("the flaky half got %.2f of the requests: neither as much as the sound, nor nothing", part)
	}
}

// A server that fails more than half is ejected, however often it answers in between.
func TestMostlyFailingServerIsEjected(t *testing.T) {
	x := start(t, blind(), fleet(4)...)
	s := x.b.ring[0]
	for i := range 40 {
		x.b.now += 10 * ms
		s.inFlight++
		a := &attempt{server: s, sent: x.b.now - 5*ms}
		how := Error
		if i%5 == 0 {
			how = OK
		}
		x.b.judge(&x.b.classes[pure], a, how, 0.2, 1)
	}
	if s.health[pure].Until <= x.b.now {
		t.Errorf("not ejected with a share of failures of %.2f", s.health[pure].Fails)
	}
}

// On join+vast seven of sixty servers failed most of what they were sent, quickly, so that they looked idle. Each of eighty
// agents had to be failed several times by each of them, though every probe told of it.
func TestReportedErrorsEject(t *testing.T) {
	s := settings()
	s.Probes, s.Reports = true, ReportsOnProbe
	for _, c := range []struct {
		errors, rate float64
		out          bool
	}{{7, 0.2, true}, {3, 6, false}, {0.4, 0, false}, {-1, 10, false}, {0, 0, false}} {
		x := start(t, s, fleet(4)...)
		acts := x.ask(1, pure)
		bad := one(t, acts, ActProbe).Server
		acts = x.on(Event{Kind: EventProbeResult, Server: bad, Outcome: OK, Load: Load{
			Known: true, InFlight: 0, Queue: -1, ServiceTime: 20 * ms, Rate: c.rate, ErrorRate: c.errors,
		}})
		sent := one(t, x.look(acts, nil), ActSend).Server
		if out := x.b.servers[bad].health[pure].Until > x.now; out != c.out || out && sent == bad {
			t.Errorf("%v errors and %v answers a second: ejected %v, want %v; sent to %d, %d reports them", c.errors, c.rate, out, c.out, sent, bad)
		}
		if !c.out && sent != bad {
			t.Errorf("%v errors and %v answers a second: an idle server is passed by", c.errors, c.rate)
		}
	}
}

// One class that a server fails is no reason to take another from it that it answers.
func TestReportedErrorsLeaveWhatIsAnswered(t *testing.T) {
	x := start(t, settings(), fleet(4)...)
	s := x.b.ring[0]
	for range 20 {
		x.now += 50 * ms
		x.b.now = x.now
		x.b.judge(&x.b.classes[byAll], &attempt{server: s, sent: x.now - ms}, OK, 0.1, 1)
		x.b.report(s, Load{Known: true, InFlight: 1, Queue: -1, ServiceTime: 20 * ms, Rate: 4, ErrorRate: 16}, 0)
	}
	if s.health[byAll].Until > x.now {
		t.Error("ejected for a class of which it answers everything")
	}
}

// A server that is let in again on trial may still be bad: it is asked first, though nothing is being lost elsewhere.
func TestServersInDoubtAreProbed(t *testing.T) {
	s := settings()
	s.Probes, s.Reports, s.ProbeFee = true, ReportsOnProbe, 0.08
	for _, c := range []struct {
		bad         float64
		least, most int
	}{{0, 0, 30}, {0.5, 100, 100}} {
		probed := 0
		for id := range RequestID(100) {
			x := start(t, s, fleet(2)...)
			x.b.rng = rand.New(rand.NewPCG(uint64(id), 0))
			for _, s := range x.b.ring {
				s.health[pure].Bad = c.bad
			}
			if slices.ContainsFunc(x.ask(id, pure), func(a Action) bool { return a.Kind == ActProbe }) {
				probed++
			}
		}
		if probed < c.least || probed > c.most {
			t.Errorf("with failures of %v, %d of 100 requests were probed for", c.bad, probed)
		}
	}
}
