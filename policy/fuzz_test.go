package policy

import (
	"slices"
	"testing"
	"time"
)

// trackedRequest is what the checker knows of a request: its attempts, and whether it has its final
// answer.
type trackedRequest struct {
	class    Class
	deadline time.Duration
	attempts []trackedAttempt
	ended    bool
}

type trackedAttempt struct {
	server               ServerEntry
	at                   time.Duration
	inFlight, mayHaveRun bool
}

// checker drives a Balancer and checks the rules on answers, effects, drains, placement and the
// retry budget.
type checker struct {
	requestTimes []time.Duration // of all requests
	retryTimes   []time.Duration // of all attempts beyond a request's first
	t            *testing.T
	b            *Balancer
	settings     Settings
	now          time.Duration
	tracked      map[RequestID]*trackedRequest
	servers      map[ServerID]ServerEntry
	timers       []Action
	probes       []ServerID
	pending      []Action // sends without an outcome
}

func (c *checker) handle(ev Event) {
	for _, a := range c.b.Handle(c.now, ev, nil) {
		r := c.tracked[a.Request]
		switch a.Kind {
		case ActSend:
			c.checkSend(r, a)
		case ActRefuse, ActFail:
			if r == nil || r.ended {
				c.t.Fatalf("a second final answer: %+v", a)
			}
			r.ended = true
			for _, s := range r.attempts {
				harmless := r.class.Effect == Pure || r.class.Effect == Keyed && r.class.Scope == ScopeAll &&
					c.now < s.at+r.class.Window
				if a.Kind == ActRefuse && (s.mayHaveRun || s.inFlight) && !harmless {
					c.t.Fatalf("refused a request that may have run")
				}
			}
		case ActTimer:
			a.Wait += c.now
			c.timers = append(c.timers, a)
		case ActProbe:
			c.probes = append(c.probes, a.Server)
		}
	}
}

func (c *checker) checkSend(r *trackedRequest, a Action) {
	s, known := c.servers[a.Server]
	switch {
	case r == nil || r.ended:
		c.t.Fatalf("sent for a request that has ended: %+v", a)
	case !known || s.State != Ready:
		c.t.Fatalf("sent to a server that is not ready: %+v", a)
	case len(r.attempts) >= c.settings.MaxAttempts:
		c.t.Fatalf("attempt %d of %d", len(r.attempts)+1, c.settings.MaxAttempts)
	case c.now+a.Wait > r.deadline || a.Wait <= 0:
		c.t.Fatalf("time-out %v with %v left", a.Wait, r.deadline-c.now)
	}
	if r.class.Zones != nil && !slices.Contains(r.class.Zones, s.Zone) ||
		r.class.Kinds != nil && !slices.Contains(r.class.Kinds, s.Kind) {
		c.t.Fatalf("a class with placement was sent to %+v", s)
	}
	if len(r.attempts) > 0 {
		c.retryTimes = append(c.retryTimes, c.now)
		allowed := c.settings.ExtraFloor + c.settings.ExtraRatio*c.countInWindow(c.requestTimes, false)
		if n := c.countInWindow(c.retryTimes, true); c.settings.ExtraWindow > 0 && n > allowed {
			c.t.Fatalf("%v retries in the window, %v allowed", n, allowed)
		}
	}
	for _, previous := range r.attempts {
		if previous.inFlight && !c.settings.SecondCopies {
			c.t.Fatal("two attempts in flight at once")
		}
		if !previous.mayHaveRun && !previous.inFlight {
			continue
		}
		if r.class.Effect == SideEffect {
			c.t.Fatal("an unsafe request was retried")
		}
		if r.class.Effect == Keyed && (c.now >= previous.at+r.class.Window ||
			r.class.Scope == ScopeCell && previous.server.Cell != s.Cell ||
			r.class.Scope == ScopeZone && previous.server.Zone != s.Zone) {
			c.t.Fatal("a keyed request was retried where its key is not known")
		}
	}
	a.Attempt = len(r.attempts)
	r.attempts = append(r.attempts, trackedAttempt{server: s, at: c.now, inFlight: true})
	c.pending = append(c.pending, a)
}

// countInWindow counts the times in the retry budget's window; includeStart says whether its start
// is part of it.
func (c *checker) countInWindow(times []time.Duration, includeStart bool) (n float64) {
	for _, at := range times {
		if from := c.now - c.settings.ExtraWindow; at > from || includeStart && at == from {
			n++
		}
	}
	return n
}

// endAttempt ends the pending attempt at index i.
func (c *checker) endAttempt(i int, outcome Outcome) {
	a := c.pending[i]
	c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
	r := c.tracked[a.Request]
	s := &r.attempts[a.Attempt]
	s.inFlight, s.mayHaveRun = false, outcome != Full && outcome != ConnectFailed && outcome != NotSent
	if outcome == OK {
		r.ended = true
	}
	c.handle(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Outcome: outcome,
		AgentDelay: time.Duration(i%3) * (c.now - s.at) / 2, Final: r.ended,
		Load: Load{Known: true, InFlight: float64(i % 9), Queue: float64(i % 5)}})
}

// advance moves the clock forward and delivers the timers and timeouts that expire on the way.
func (c *checker) advance(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.now = min(end, c.now+5*time.Millisecond)
		due := c.timers
		c.timers = nil
		for _, a := range due {
			if a.Wait <= c.now {
				c.handle(Event{Kind: EventTimer, Token: a.Token})
			} else {
				c.timers = append(c.timers, a)
			}
		}
		for i := 0; i < len(c.pending); i++ {
			if c.tracked[c.pending[i].Request].deadline <= c.now {
				c.endAttempt(i, Timeout)
				i--
			}
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte("\x01\x10\x10\x11\x12\x13\x14\x20\x31\x42\x53\x64\x75\x86\x97\x10\x21\x32\x43\x54"))
	f.Add([]byte("\x03drains and errors meet hangs: \x90\x91\x92\x21\x22\x23\x24\x25\x26\x27\x51\x52\x53\xa0\xb0\xc0"))
	f.Add([]byte("\x07\x15\x25\x35\x45\x55\x65\x75\x85\x95\xa5\xb5\xc5\xd5\xe5\xf5\x15\x25\x35\x45\x55\x65\x75\x85\x95"))
	f.Add([]byte("\x35placement and budget: \x10\x21\x32\x43\xd1\xe2\xf3\x51\x62\x73\x84\x10\x21\x32\x56\x67\x78\x91"))
	f.Add([]byte("\x7fall at once \xd1\xd2\xd3\xd4\xf5\x01\x12\x23\x34\x45\x55\x66\x77\x88\xa9\xb1\xc2\x05\x16\x27"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 || len(data) > 2000 {
			return
		}
		s := testSettings()
		s.SecondCopies = data[0]&1 != 0
		if data[0]&2 != 0 {
			s.Probes, s.Reports = true, ReportsOnProbe
		}
		s.MaxAttempts = 1 + int(data[0]>>2&3)
		if data[0]&16 != 0 {
			s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = 100*ms, 1, 0.25
		}
		if data[0]&32 != 0 {
			s.Classes[classUnsafe].Zones, s.Classes[classPure].Kinds, s.Classes[classKeyedAll].Zones = []int{1}, []int{0}, []int{}
		}
		b, err := New(s, uint64(data[0]))
		if err != nil {
			t.Fatal(err)
		}
		c := &checker{t: t, b: b, settings: s, now: time.Hour,
			tracked: map[RequestID]*trackedRequest{}, servers: map[ServerID]ServerEntry{}}
		for id := range RequestID(len(data)) {
			c.step(id, data[id]>>4, int(data[id]&15))
		}
		c.advance(2 * time.Second)
		for id, r := range c.tracked {
			if !r.ended {
				t.Fatalf("request %d was lost", id)
			}
		}
		if len(b.requests) != 0 {
			t.Fatalf("%d requests left in the table", len(b.requests))
		}
	})
}

// step performs one valid operation, selected by kind and arg.
func (c *checker) step(id RequestID, kind byte, arg int) {
	switch {
	case kind < 5:
		class := c.settings.Classes[arg%len(c.settings.Classes)]
		left := time.Duration(1+arg) * 60 * time.Millisecond
		c.tracked[id] = &trackedRequest{class: class, deadline: c.now + left}
		c.requestTimes = append(c.requestTimes, c.now)
		c.handle(Event{Kind: EventRequest, Request: id, Class: arg % len(c.settings.Classes), TimeLeft: left, Retry: arg == 15})
	case kind < 9 && len(c.pending) > 0:
		c.endAttempt(arg%len(c.pending), Outcome(kind*5+byte(arg))%(NotSent+1))
	case kind < 11:
		c.advance(time.Duration(arg) * 20 * time.Millisecond)
	case kind < 12 && len(c.probes) > 0:
		p := c.probes[0]
		c.probes = c.probes[1:]
		c.handle(Event{Kind: EventProbeResult, Server: p, Outcome: Outcome(arg) % (NotSent + 1),
			Load: Load{Known: true, InFlight: float64(arg), Queue: -1, ServiceTime: time.Duration(arg) * ms, Rate: 9}})
	case kind < 13 && len(c.pending) > 0:
		r := c.tracked[c.pending[arg%len(c.pending)].Request]
		if !r.ended {
			r.ended = true
			c.handle(Event{Kind: EventClientGone, Request: c.pending[arg%len(c.pending)].Request})
		}
	default:
		e := ServerEntry{ID: ServerID(arg), Cell: arg % 3, Zone: arg % 2, Kind: arg / 2 % 2,
			State: ServerState(kind % 3), Weight: float64(arg)}
		if kind == 15 {
			e.State, e.Start = Ready, c.now
		}
		c.servers[e.ID] = e
		c.handle(Event{Kind: EventList, Servers: []ServerEntry{e}})
	}
}
