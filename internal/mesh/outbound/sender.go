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
	Agents      []transport.Heard
}

const (
	retryRatioShare      = 0.5  // of the retry budget that agents spend by themselves: repeats make calls, which are repeats too
	retryFloorShare      = 0.5  // of the tries that are free for all: agents come and go, and start with a budget each
	initialCapacityShare = 0.25 // of its capacity that a backend has at its start, until gates tell otherwise
	innerWorth           = 10.0 // of what a backend calls: all the work of its run hangs on it
	lateWorth            = 0.1  // not nothing: a late answer is worth sending for
	defaultTargetLatency = time.Second
	maxTargetLogRatio    = 0.7 // by how much the logarithms of aims may differ: twice
)

// Sender is the data plane beside a caller.
type Sender struct {
	settings    *bootstrap.Settings
	localGate   *inbound.Host // the gate on this machine
	gateConns   *transport.Pool
	sendRemote  func(p *pendingRequest, gate transport.Endpoint, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure)
	bodyBudget  *transport.ByteBudget // for bodies
	log         log.Interface
	zoneNumbers map[string]int

	view         atomic.Pointer[View]
	mu           sync.RWMutex // guards serves, jobs and over
	pending      map[*pendingRequest]struct{}
	pastAnswerBy bool
	balancers    map[string]*serviceBalancer
	agentCount   int
	shutdown     atomic.Pointer[ShutdownSchedule] // nil: it was not told to end
	inFlight     atomic.Int64
	draining     atomic.Bool // clients are to go elsewhere: see TurnClientsAway
	waits        waitEstimator
	startedAt    time.Time
	seenIDsMu    sync.Mutex   // guards ids
	seenIDs      *seenids.Set // of the requests begun that must not run twice
	Counters     Counters
	Traces       flightrecorder.Ring // of what did not simply succeed
}

// New returns a sender that knows nothing and refuses all.
func New(settings *bootstrap.Settings, localGate *inbound.Host, gateConns *transport.Pool, bodyBudget *transport.ByteBudget, logger log.Interface) *Sender {
	s := &Sender{settings: settings, bodyBudget: bodyBudget, localGate: localGate, gateConns: gateConns, log: logger, zoneNumbers: map[string]int{}, pending: map[*pendingRequest]struct{}{}, balancers: map[string]*serviceBalancer{},
		startedAt: time.Now(), seenIDs: seenids.New(0, seenIDsGeneration, maxSeenIDs)}
	s.sendRemote = s.exchangeWithGate
	for _, z := range sortedKeys(settings.Zones) {
		s.zoneNumbers[z] = len(s.zoneNumbers)
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
func (s *Sender) SetDraining(draining bool) { s.draining.Store(draining) }

// Leave has it tell clients to go elsewhere, and serve what comes all the same as far as the schedule
// lets it.
func (s *Sender) BeginShutdown(schedule ShutdownSchedule) {
	s.shutdown.Store(&schedule)
	time.AfterFunc(time.Until(schedule.AnswerBy), func() {
		s.mu.Lock()
		s.pastAnswerBy = true
		pending := slices.Collect(maps.Keys(s.pending))
		s.mu.Unlock()
		for _, p := range pending {
			p.cutByShutdown()
		}
	})
}

// register counts a job in, so that it can be ended.
func (s *Sender) register(p *pendingRequest) {
	s.mu.Lock()
	s.pending[p] = struct{}{}
	pastAnswerBy := s.pastAnswerBy
	s.mu.Unlock()
	if pastAnswerBy {
		p.cutByShutdown()
	}
}

func (s *Sender) unregister(p *pendingRequest) {
	s.mu.Lock()
	delete(s.pending, p)
	s.mu.Unlock()
}

// Held is how many requests it has in hand.
func (s *Sender) InFlight() int { return int(s.inFlight.Load()) }

// SetView exchanges what the sender knows. Only its owner calls it.
func (s *Sender) SetView(v *View) {
	targetsByService := map[string][]*backendTarget{}
	agentCount, concurrency := 0, map[string]int{}
	for i := range v.Agents {
		agent := &v.Agents[i]
		agentCount++
		backend := agent.Station.Backend
		if backend == nil || backend.Draining || !agent.Station.Open || agent.Lost || v.Config.Evacuated(backend.Zone) ||
			v.Config.Stage(backend.Zone, agent.Station.Agent) >= meshconfig.StageCalls {
			continue
		}
		target := &backendTarget{id: serverIDOf(agent.Station.Agent), gateAddress: agent.Station.Gate, backendID: backend.ID, agent: agent.Station.Agent,
			gateIncarnation: agent.Station.Life, announcementSeq: agent.Station.Seq, zone: s.zoneNumbers[backend.Zone], local: agent.Station.Agent == s.settings.IP, warmupLeft: backend.ColdLeft}
		targetsByService[backend.Service] = append(targetsByService[backend.Service], target)
		concurrency[backend.Service] = max(concurrency[backend.Service], backend.Capacity)
	}
	s.mu.Lock()
	s.agentCount = max(agentCount, 1)
	previous := s.view.Load()
	configChanged := previous == nil || previous.Config != v.Config
	var routes map[string][]*meshconfig.Route // by service; sorted only where they have moved, as stations do far more often
	if configChanged {
		routes = routesByService(v.Config)
	}
	for _, name := range v.Config.Services() {
		balancer := s.balancers[name]
		serviceConcurrency := concurrency[name]
		if serviceConcurrency == 0 && balancer != nil {
			serviceConcurrency = balancer.concurrency
		}
		if balancer == nil || balancer.concurrency != serviceConcurrency || configChanged && !coversClasses(balancer.classes, classesFor(routes[name])) {
			if routes == nil {
				routes = routesByService(v.Config)
			}
			classes := classesFor(routes[name])
			var err error
			if balancer, err = newServiceBalancer(name, s.balancerSettings(v.Config, name, classes, serviceConcurrency), s.balancerLog(name)); err != nil {
				s.log.WithError(err).Error("decision module")
				continue
			}
			s.balancers[name] = balancer
		}
		targets := targetsByService[name]
		slices.SortFunc(targets, func(x, y *backendTarget) int { return cmp.Compare(x.id, y.id) })
		balancer.setTargets(targets)
	}
	s.mu.Unlock()
	s.view.Store(v)
}

func (s *Sender) balancerLog(service string) func(string) {
	return func(text string) { s.log.WithField("service", service).Info(text) }
}

func (s *Sender) balancer(service string) *serviceBalancer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.balancers[service]
}

// settings are the decision module's for one service.
func (s *Sender) balancerSettings(config *meshconfig.Config, name string, classes []policy.Class, concurrency int) policy.Settings {
	bounds := &s.settings.Bounds
	settings := policy.Settings{
		Agents: s.agentCount, Zone: s.zoneNumbers[s.settings.Zone], Classes: classes, Reports: policy.ReportsInline, Gates: true, HomeFirst: true, Width: float64(concurrency),
		Tick: time.Millisecond, MaxAttempts: 6, SecondCopies: true,
		ColdFrom: initialCapacityShare, OverloadFactor: 2,
		ExtraWindow: bounds.RetryWindow, ExtraFloor: retryFloorShare * bounds.ExtraTries / float64(s.agentCount), ExtraRatio: retryRatioShare * bounds.RetryRatio,
	}
	if service := config.Service(name); service != nil {
		settings.WarmAfter = service.Warmup
	}
	return settings
}

// classesOf lists the kinds of requests that a service gets, by what the module tells apart: whether they may run twice, whether a
// backend calls, and about how long they may take. Danger: a module that is made anew has forgotten all speeds and failures, so what
// changes often makes no class of its own: each request brings the time that it has, and aims that are alike are one.
func classesFor(routes []*meshconfig.Route) []policy.Class {
	var classes []policy.Class
	add := func(effect policy.Effect, targetLatency time.Duration) {
		for _, worth := range []float64{1, innerWorth} {
			class := policy.Class{Aim: targetLatency, Deadline: 8 * targetLatency, Worth: worth, LateWorth: lateWorth, Effect: effect}
			if !hasClass(classes, effect, worth, targetLatency) {
				classes = append(classes, class)
			}
		}
	}
	add(policy.Pure, defaultTargetLatency)
	add(policy.SideEffect, defaultTargetLatency)
	for _, r := range routes {
		add(effectOf(r), targetLatencyOf(r))
	}
	return classes
}

// routesOf lists the routes to each service in the order of their aims.
func routesByService(config *meshconfig.Config) map[string][]*meshconfig.Route {
	all := config.Routes()
	slices.SortFunc(all, func(x, y *meshconfig.Route) int { return cmp.Compare(x.TargetTime, y.TargetTime) })
	byService := map[string][]*meshconfig.Route{}
	for _, r := range all {
		for _, share := range r.Shares {
			if n := len(byService[share.Service]); n == 0 || byService[share.Service][n-1] != r {
				byService[share.Service] = append(byService[share.Service], r)
			}
		}
	}
	return byService
}

// nearest finds the class for a request whose aim is nearest, and how far that is.
func nearestClass(classes []policy.Class, effect policy.Effect, worth float64, targetLatency time.Duration) (best int, distance float64) {
	best, distance = -1, math.Inf(1)
	for i, class := range classes {
		if d := math.Abs(math.Log(class.Aim.Seconds() / targetLatency.Seconds())); class.Effect == effect && class.Worth == worth && d <= distance {
			best, distance = i, d
		}
	}
	return best, distance
}

// fits says whether there is a class with an aim that is alike.
func hasClass(classes []policy.Class, effect policy.Effect, worth float64, targetLatency time.Duration) bool {
	_, distance := nearestClass(classes, effect, worth, targetLatency)
	return distance <= maxTargetLogRatio
}

func effectOf(r *meshconfig.Route) policy.Effect {
	if r.Kind == meshconfig.Safe {
		return policy.Pure
	}
	return policy.SideEffect
}

func targetLatencyOf(r *meshconfig.Route) time.Duration {
	if r.TargetTime <= 0 {
		return defaultTargetLatency
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
	index, _ := nearestClass(classes, effectOf(r), worth, targetLatencyOf(r))
	return index
}

// serves says whether all that goes to a service finds a class among these.
func coversClasses(classes, wanted []policy.Class) bool {
	return !slices.ContainsFunc(wanted, func(k policy.Class) bool { return !hasClass(classes, k.Effect, k.Worth, k.Aim) })
}

// idOf derives a backend's number from its machine, the same at each agent and in each life.
func serverIDOf(agent string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(agent))
	return policy.ServerID(h.Sum32() & math.MaxInt32)
}
