package policy

import (
	"slices"
	"testing"
	"time"
)

// try is what the checker knows of a request: what was sent for it, and whether it has its final answer.
type try struct {
	class    Class
	deadline time.Duration
	sends    []sent
	ended    bool
}

type sent struct {
	server   ServerEntry
	at       time.Duration
	out, ran bool
}

// checker holds a Balancer from outside to the rules on answers, effects, drains, placement and the retry budget.
type checker struct {
	taken   []time.Duration // when requests came
	extra   []time.Duration // when attempts beyond a request's first were made
	t       *testing.T
	b       *Balancer
	set     Settings
	now     time.Duration
	tries   map[RequestID]*try
	list    map[ServerID]ServerEntry
	timers  []Action
	probes  []ServerID
	pending []Action // sends without an outcome
}

func (c *checker) on(ev Event) {
	for _, a := range c.b.Handle(c.now, ev, nil) {
		r := c.tries[a.Request]
		switch a.Kind {
		case ActSend:
			c.send(r, a)
		case ActRefuse, ActFail:
			if r == nil || r.ended {
				c.t.Fatalf("a second final answer: %+v", a)
			}
			r.ended = true
			for _, s := range r.sends {
				harmless := r.class.Effect == Pure || r.class.Effect == Keyed && r.class.Scope == ScopeAll &&
					c.now < s.at+r.class.Window
				if a.Kind == ActRefuse && (s.ran || s.out) && !harmless {
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

func (c *checker) send(r *try, a Action) {
	s, known := c.list[a.Server]
	switch {
	case r == nil || r.ended:
		c.t.Fatalf("sent for a request that is over: %+v", a)
	case !known || s.State != Ready:
		c.t.Fatalf("sent to a server that is not ready: %+v", a)
	case len(r.sends) >= c.set.MaxAttempts:
		c.t.Fatalf("attempt %d of %d", len(r.sends)+1, c.set.MaxAttempts)
	case c.now+a.Wait > r.deadline || a.Wait <= 0:
		c.t.Fatalf("time-out %v with %v left", a.Wait, r.deadline-c.now)
	}
	if r.class.Zones != nil && !slices.Contains(r.class.Zones, s.Zone) ||
		r.class.Kinds != nil && !slices.Contains(r.class.Kinds, s.Kind) {
		c.t.Fatalf("a bound class sent to %+v", s)
	}
	if len(r.sends) > 0 {
		c.extra = append(c.extra, c.now)
		most := c.set.ExtraFloor + c.set.ExtraRatio*c.within(c.taken, false)
		if n := c.within(c.extra, true); c.set.ExtraWindow > 0 && n > most {
			c.t.Fatalf("%v further attempts in the window, %v allowed", n, most)
		}
	}
	for _, p := range r.sends {
		if p.out && !c.set.SecondCopies {
			c.t.Fatal("two attempts out at once")
		}
		if !p.ran && !p.out {
			continue
		}
		if r.class.Effect == SideEffect {
			c.t.Fatal("an unsafe request sent again")
		}
		if r.class.Effect == Keyed && (c.now >= p.at+r.class.Window ||
			r.class.Scope == ScopeCell && p.server.Cell != s.Cell ||
			r.class.Scope == ScopeZone && p.server.Zone != s.Zone) {
			c.t.Fatal("a keyed request sent where its key is not known")
		}
	}
	a.Attempt = len(r.sends)
	r.sends = append(r.sends, sent{server: s, at: c.now, out: true})
	c.pending = append(c.pending, a)
}

// within counts what lies in the retry budget's window; edge says whether its far edge belongs to it.
func (c *checker) within(times []time.Duration, edge bool) (n float64) {
	for _, at := range times {
		if from := c.now - c.set.ExtraWindow; at > from || edge && at == from {
			n++
		}
	}
	return n
}

// finish ends the attempt at place i of the pending ones.
func (c *checker) finish(i int, how Outcome) {
	a := c.pending[i]
	c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
	r := c.tries[a.Request]
	s := &r.sends[a.Attempt]
	s.out, s.ran = false, how != Full && how != ConnectFailed && how != NotSent
	if how == OK {
		r.ended = true
	}
	c.on(Event{Kind: EventOutcome, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Outcome: how,
		AgentDelay: time.Duration(i%3) * (c.now - s.at) / 2, Final: r.ended, Load: Load{Known: true, InFlight: float64(i % 9), Queue: float64(i % 5)}})
}

// pass lets time go by; what is due happens on the way.
func (c *checker) pass(by time.Duration) {
	for end := c.now + by; c.now < end; {
		c.now = min(end, c.now+5*time.Millisecond)
		due := c.timers
		c.timers = nil
		for _, a := range due {
			if a.Wait <= c.now {
				c.on(Event{Kind: EventTimer, Token: a.Token})
			} else {
				c.timers = append(c.timers, a)
			}
		}
		for i := 0; i < len(c.pending); i++ {
			if c.tries[c.pending[i].Request].deadline <= c.now {
				c.finish(i, Timeout)
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
		s := settings()
		s.SecondCopies = data[0]&1 != 0
		if data[0]&2 != 0 {
			s.Probes, s.Reports = true, ReportsOnProbe
		}
		s.MaxAttempts = 1 + int(data[0]>>2&3)
		if data[0]&16 != 0 {
			s.ExtraWindow, s.ExtraFloor, s.ExtraRatio = 100*ms, 1, 0.25
		}
		if data[0]&32 != 0 {
			s.Classes[unsafe].Zones, s.Classes[pure].Kinds, s.Classes[byAll].Zones = []int{1}, []int{0}, []int{}
		}
		b, err := New(s, uint64(data[0]))
		if err != nil {
			t.Fatal(err)
		}
		c := &checker{t: t, b: b, set: s, now: time.Hour, tries: map[RequestID]*try{}, list: map[ServerID]ServerEntry{}}
		for id := range RequestID(len(data)) {
			c.step(id, data[id]>>4, int(data[id]&15))
		}
		c.pass(2 * time.Second)
		for id, r := range c.tries {
			if !r.ended {
				t.Fatalf("request %d was lost", id)
			}
		}
		if len(b.open) != 0 {
			t.Fatalf("%d requests left in the table", len(b.open))
		}
	})
}

// step does one legal thing: what is the kind, arg a detail of it.
func (c *checker) step(id RequestID, what byte, arg int) {
	switch {
	case what < 5:
		class := c.set.Classes[arg%len(c.set.Classes)]
		left := time.Duration(1+arg) * 60 * time.Millisecond
		c.tries[id] = &try{class: class, deadline: c.now + left}
		c.taken = append(c.taken, c.now)
		c.on(Event{Kind: EventRequest, Request: id, Class: arg % len(c.set.Classes), TimeLeft: left, Retry: arg == 15})
	case what < 9 && len(c.pending) > 0:
		c.finish(arg%len(c.pending), Outcome(what*5+byte(arg))%(NotSent+1))
	case what < 11:
		c.pass(time.Duration(arg) * 20 * time.Millisecond)
	case what < 12 && len(c.probes) > 0:
		p := c.probes[0]
		c.probes = c.probes[1:]
		c.on(Event{Kind: EventProbeResult, Server: p, Outcome: Outcome(arg) % (NotSent + 1),
			Load: Load{Known: true, InFlight: float64(arg), Queue: -1, ServiceTime: time.Duration(arg) * ms, Rate: 9}})
	case what < 13 && len(c.pending) > 0:
		r := c.tries[c.pending[arg%len(c.pending)].Request]
		if !r.ended {
			r.ended = true
			c.on(Event{Kind: EventClientGone, Request: c.pending[arg%len(c.pending)].Request})
		}
	default:
		e := ServerEntry{ID: ServerID(arg), Cell: arg % 3, Zone: arg % 2, Kind: arg / 2 % 2, State: ServerState(what % 3), Weight: float64(arg)}
		if what == 15 {
			e.State, e.Start = Ready, c.now
		}
		c.list[e.ID] = e
		c.on(Event{Kind: EventList, Servers: []ServerEntry{e}})
	}
}
