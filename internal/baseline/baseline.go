// Package baseline has the usual ways of choosing a server, for the agent to be held against: at random, in turn, and
// the one with the least of one's own requests. They are machines like policy.Balancer, without I/O, clock or
// goroutines. They probe nothing, learn nothing, shed nothing and try once, and keep the rules of repeats and drains.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/micaline/policy"
)

// Names are the choices there are.
var Names = []string{"random", "round-robin", "least-loaded"}

// askAgain is how long after a failed call the list is asked for again.
const askAgain = time.Second

// advice is when who is refused may come again.
const advice = 200 * time.Millisecond

type server struct {
	policy.ServerEntry
	inFlight int
}

type request struct {
	effect policy.Effect
	server *server // the attempt's; nil when it is back
}

// Chooser sends each request once, to the server that its choice names.
type Chooser struct {
	pick    func(ready []*server) *server
	classes []policy.Class
	ask     bool
	servers map[policy.ServerID]*server
	order   []*server // all, by id: maps have no order
	open    map[policy.RequestID]*request
}

// New returns a chooser by name. Its error says that there is no such name.
func New(name string, s policy.Settings, seed uint64) (*Chooser, error) {
	rng := rand.New(rand.NewPCG(seed, 0))
	turn := rng.IntN(1 << 16)
	picks := map[string]func([]*server) *server{
		"random": func(ready []*server) *server { return ready[rng.IntN(len(ready))] },
		"round-robin": func(ready []*server) *server {
			turn++
			return ready[turn%len(ready)]
		},
		"least-loaded": func(ready []*server) *server {
			from := rng.IntN(len(ready)) // ties go to anyone
			least := ready[from]
			for i := range ready {
				if s := ready[(from+i)%len(ready)]; s.inFlight < least.inFlight {
					least = s
				}
			}
			return least
		},
	}
	pick := picks[name]
	if pick == nil {
		return nil, fmt.Errorf("there is no choice %q, only %v", name, Names)
	}
	return &Chooser{
		pick: pick, classes: s.Classes, ask: s.AskList, servers: map[policy.ServerID]*server{}, open: map[policy.RequestID]*request{},
	}, nil
}

// Handle takes one event and appends what must be done to out.
func (c *Chooser) Handle(_ time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	switch ev.Kind {
	case policy.EventList:
		return c.list(&ev, out)
	case policy.EventTimer:
		return append(out, policy.Action{Kind: policy.ActSubscribe})
	case policy.EventRequest:
		return c.request(&ev, out)
	case policy.EventOutcome:
		return c.outcome(&ev, out)
	case policy.EventClientGone:
		if r := c.open[ev.Request]; r != nil && r.server != nil {
			return append(out, policy.Action{Kind: policy.ActCancel, Request: ev.Request})
		}
	}
	return out
}

func (c *Chooser) list(ev *policy.Event, out []policy.Action) []policy.Action {
	if ev.ListMode == policy.ListFailed {
		return append(out, policy.Action{Kind: policy.ActTimer, Wait: askAgain})
	}
	if ev.ListMode == policy.ListCached && c.ask {
		out = append(out, policy.Action{Kind: policy.ActSubscribe})
	}
	if ev.ListMode != policy.ListDelta {
		for _, s := range c.order {
			s.State = policy.Gone
		}
	}
	for _, e := range ev.Servers {
		s := c.servers[e.ID]
		if s == nil {
			s = &server{}
			c.servers[e.ID] = s
			c.order = append(c.order, s)
		}
		s.ServerEntry = e
	}
	c.order = slices.DeleteFunc(c.order, func(s *server) bool {
		if s.State == policy.Gone {
			delete(c.servers, s.ID)
		}
		return s.State == policy.Gone
	})
	slices.SortFunc(c.order, func(a, b *server) int { return int(int64(a.ID) - int64(b.ID)) })
	return out
}

func (c *Chooser) request(ev *policy.Event, out []policy.Action) []policy.Action {
	if ev.Class < 0 || ev.Class >= len(c.classes) {
		return out
	}
	var ready []*server
	for _, s := range c.order {
		if s.State == policy.Ready {
			ready = append(ready, s)
		}
	}
	if len(ready) == 0 || ev.TimeLeft <= 0 {
		return append(out, policy.Action{Kind: policy.ActRefuse, Request: ev.Request, Wait: advice})
	}
	s := c.pick(ready)
	s.inFlight++
	c.open[ev.Request] = &request{effect: c.classes[ev.Class].Effect, server: s}
	return append(out, policy.Action{Kind: policy.ActSend, Request: ev.Request, Server: s.ID, Wait: ev.TimeLeft})
}

func (c *Chooser) outcome(ev *policy.Event, out []policy.Action) []policy.Action {
	r := c.open[ev.Request]
	if r == nil {
		return out
	}
	r.server.inFlight--
	delete(c.open, ev.Request)
	never := ev.Outcome == policy.Full || ev.Outcome == policy.ConnectFailed || ev.Outcome == policy.NotSent
	switch {
	case ev.Final || ev.Outcome == policy.OK:
		return out
	case never || r.effect == policy.Pure:
		return append(out, policy.Action{Kind: policy.ActRefuse, Request: ev.Request, Wait: advice})
	}
	return append(out, policy.Action{Kind: policy.ActFail, Request: ev.Request})
}
