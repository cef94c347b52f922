// Package outbound is the sender: the data plane beside a caller.
//
// It takes the requests of the clients and of the backend on its machine, finds the route and the service, has the decision module
// (package policy) choose a backend, and hands the request to the gate beside that backend. It keeps one module for each service. What
// comes back is passed on unchanged, or ends in the answer that promises as much as is proven: see transport.Verdict.
//
// What the sender may use is a View, which never changes and is exchanged whole.
package outbound

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/flightrecorder"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/seenids"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
	"github.com/apex/log"
)

// View is what a sender knows of the mesh.
type View struct {
	Config      *meshconfig.Config
	ConfigIndex uint64 // of the configuration
	Agents      []transport.StationStatus
}

const (
	budgetShare = 0.5  // of the retry budget that agents spend by themselves: repeats make calls, which are repeats too
	floorShare  = 0.5  // of the tries that are free for all: agents come and go, and start with a budget each
	coldFrom    = 0.25 // of its capacity that a backend has at its start, until gates tell otherwise
	innerWorth  = 10.0 // of what a backend calls: all the work of its run hangs on it
	lateWorth   = 0.1  // not nothing: a late answer is worth sending for
	usualAim    = time.Second
	alike       = 0.7 // by how much the logarithms of aims may differ: twice
)

// Sender is the data plane beside a caller.
type Sender struct {
	set    *bootstrap.Settings
	host   *inbound.Host // the gate on this machine
	links  *transport.Pool
	send   func(j *job, gate transport.Endpoint, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure)
	budget *transport.ByteBudget // for bodies
	log    log.Interface
	zones  map[string]int

	view    atomic.Pointer[View]
	mu      sync.RWMutex // guards serves, jobs and over
	jobs    map[*job]struct{}
	over    bool
	serves  map[string]*chooser
	agents  int
	leaving atomic.Pointer[ShutdownSchedule] // nil: it was not told to end
	held    atomic.Int64
	away    atomic.Bool // clients are to go elsewhere: see TurnClientsAway
	ages    ages
	began   time.Time
	idsMu   sync.Mutex   // guards ids
	ids     *seenids.Set // of the requests begun that must not run twice
	Count   Counters
	Traces  flightrecorder.Ring // of what did not simply succeed
}

// New returns a sender that knows nothing and refuses all.
func New(set *bootstrap.Settings, host *inbound.Host, links *transport.Pool, budget *transport.ByteBudget, l log.Interface) *Sender {
	s := &Sender{set: set, budget: budget, host: host, links: links, log: l, zones: map[string]int{}, jobs: map[*job]struct{}{}, serves: map[string]*chooser{},
		began: time.Now(), ids: seenids.New(0, idsLast, mostIDs)}
	s.send = s.exchange
	for _, z := range sortedKeys(set.Zones) {
		s.zones[z] = len(s.zones)
	}
	return s
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// View returns what the sender knows, nil if it knows nothing.
func (s *Sender) View() *View { return s.view.Load() }

// TurnClientsAway has it tell clients to go elsewhere, or no longer. What they send is served all the
// same.
func (s *Sender) SetDraining(yes bool) { s.away.Store(yes) }

// Leave has it tell clients to go elsewhere, and serve what comes all the same as far as the schedule
// lets it.
func (s *Sender) BeginShutdown(d ShutdownSchedule) {
	s.leaving.Store(&d)
	time.AfterFunc(time.Until(d.GiveUp), func() {
		s.mu.Lock()
		s.over = true
		jobs := slices.Collect(maps.Keys(s.jobs))
		s.mu.Unlock()
		for _, j := range jobs {
			j.expire()
		}
	})
}

// register counts a job in, so that it can be ended.
func (s *Sender) register(j *job) {
	s.mu.Lock()
	s.jobs[j] = struct{}{}
	over := s.over
	s.mu.Unlock()
	if over {
		j.expire()
	}
}

func (s *Sender) unregister(j *job) {
	s.mu.Lock()
	delete(s.jobs, j)
	s.mu.Unlock()
}

// Held is how many requests it has in hand.
func (s *Sender) InFlight() int { return int(s.held.Load()) }

// SetView exchanges what the sender knows. Only its owner calls it.
func (s *Sender) SetView(v *View) {
	byService := map[string][]*target{}
	agents, width := 0, map[string]int{}
	for i := range v.Agents {
		h := &v.Agents[i]
		agents++
		b := h.Station.Backend
		if b == nil || b.Draining || !h.Station.Open || h.Lost || v.Config.Evacuated(b.Zone) ||
			v.Config.Stage(b.Zone, h.Station.Agent) >= meshconfig.StageCalls {
			continue
		}
		t := &target{id: idOf(h.Station.Agent), gate: h.Station.Gate, backend: b.ID, agent: h.Station.Agent,
			life: h.Station.Life, told: h.Station.Seq, zone: s.zones[b.Zone], local: h.Station.Agent == s.set.IP, cold: b.ColdLeft}
		byService[b.Service] = append(byService[b.Service], t)
		width[b.Service] = max(width[b.Service], b.Capacity)
	}
	s.mu.Lock()
	s.agents = max(agents, 1)
	before := s.view.Load()
	moved := before == nil || before.Config != v.Config
	var routes map[string][]*meshconfig.Route // by service; sorted only where they have moved, as stations do far more often
	if moved {
		routes = routesOf(v.Config)
	}
	for _, name := range v.Config.Services() {
		c := s.serves[name]
		wide := width[name]
		if wide == 0 && c != nil {
			wide = c.width
		}
		if c == nil || c.width != wide || moved && !serves(c.classes, classesOf(routes[name])) {
			if routes == nil {
				routes = routesOf(v.Config)
			}
			classes := classesOf(routes[name])
			var err error
			if c, err = newChooser(name, s.settings(v.Config, name, classes, wide), s.line(name)); err != nil {
				s.log.WithError(err).Error("decision module")
				continue
			}
			s.serves[name] = c
		}
		list := byService[name]
		slices.SortFunc(list, func(x, y *target) int { return cmp.Compare(x.id, y.id) })
		c.setTargets(list)
	}
	s.mu.Unlock()
	s.view.Store(v)
}

func (s *Sender) line(service string) func(string) {
	return func(text string) { s.log.WithField("service", service).Info(text) }
}

func (s *Sender) chooser(service string) *chooser {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.serves[service]
}

// settings are the decision module's for one service.
func (s *Sender) settings(c *meshconfig.Config, name string, classes []policy.Class, width int) policy.Settings {
	b := &s.set.Bounds
	set := policy.Settings{
		Agents: s.agents, Zone: s.zones[s.set.Zone], Classes: classes, Reports: policy.ReportsInline, Gates: true, PreferLocalZone: true, Width: float64(width),
		Tick: time.Millisecond, MaxAttempts: 6, SecondCopies: true,
		ColdFrom: coldFrom, OverloadFactor: 2,
		ExtraWindow: b.RetryWindow, ExtraFloor: floorShare * b.ExtraTries / float64(s.agents), ExtraRatio: budgetShare * b.RetryRatio,
	}
	if sv := c.Service(name); sv != nil {
		set.WarmAfter = sv.Warmup
	}
	return set
}

// classesOf lists the kinds of requests that a service gets, by what the module tells apart: whether they may run twice, whether a
// backend calls, and about how long they may take. Danger: a module that is made anew has forgotten all speeds and failures, so what
// changes often makes no class of its own: each request brings the time that it has, and aims that are alike are one.
func classesOf(routes []*meshconfig.Route) []policy.Class {
	var classes []policy.Class
	add := func(effect policy.Effect, aim time.Duration) {
		for _, worth := range []float64{1, innerWorth} {
			k := policy.Class{Aim: aim, Deadline: 8 * aim, Worth: worth, LateWorth: lateWorth, Effect: effect}
			if !fits(classes, effect, worth, aim) {
				classes = append(classes, k)
			}
		}
	}
	add(policy.Pure, usualAim)
	add(policy.SideEffect, usualAim)
	for _, r := range routes {
		add(effectOf(r), aimOf(r))
	}
	return classes
}

// routesOf lists the routes to each service in the order of their aims.
func routesOf(c *meshconfig.Config) map[string][]*meshconfig.Route {
	all := c.Routes()
	slices.SortFunc(all, func(x, y *meshconfig.Route) int { return cmp.Compare(x.TargetTime, y.TargetTime) })
	to := map[string][]*meshconfig.Route{}
	for _, r := range all {
		for _, share := range r.Shares {
			if n := len(to[share.Service]); n == 0 || to[share.Service][n-1] != r {
				to[share.Service] = append(to[share.Service], r)
			}
		}
	}
	return to
}

// nearest finds the class for a request whose aim is nearest, and how far that is.
func nearest(classes []policy.Class, effect policy.Effect, worth float64, aim time.Duration) (best int, far float64) {
	best, far = -1, math.Inf(1)
	for i, k := range classes {
		if d := math.Abs(math.Log(k.Aim.Seconds() / aim.Seconds())); k.Effect == effect && k.Worth == worth && d <= far {
			best, far = i, d
		}
	}
	return best, far
}

// fits says whether there is a class with an aim that is alike.
func fits(classes []policy.Class, effect policy.Effect, worth float64, aim time.Duration) bool {
	_, far := nearest(classes, effect, worth, aim)
	return far <= alike
}

func effectOf(r *meshconfig.Route) policy.Effect {
	if r.Kind == meshconfig.Safe {
		return policy.Pure
	}
	return policy.SideEffect
}

func aimOf(r *meshconfig.Route) time.Duration {
	if r.TargetTime <= 0 {
		return usualAim
	}
	return r.TargetTime
}

// classIndex is the class of a route's requests. Danger: a module may be of another configuration
// than the route, and have no class with an aim that is alike. One with the same effect there always
// is; with another, what must not run twice would be repeated.
func classIndex(classes []policy.Class, r *meshconfig.Route, inner bool) int {
	worth := 1.0
	if inner {
		worth = innerWorth
	}
	index, _ := nearest(classes, effectOf(r), worth, aimOf(r))
	return index
}

// serves says whether all that goes to a service finds a class among these.
func serves(classes, wanted []policy.Class) bool {
	return !slices.ContainsFunc(wanted, func(k policy.Class) bool { return !fits(classes, k.Effect, k.Worth, k.Aim) })
}

// idOf derives a backend's number from its machine, the same at each agent and in each life.
func idOf(agent string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(agent))
	return policy.ServerID(h.Sum32() & math.MaxInt32)
}
