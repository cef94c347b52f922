// Package outbound is the outbound side of a sidecar: it sends the requests of the clients and of
// the backend on its machine to the services that they call.
//
// For each request the Sender finds the route and the service and has the balancer of that service
// (package policy, the decision module) choose a backend. It hands the request to the gate of that
// backend, which is the inbound side of the sidecar there (package inbound). A backend's response
// is forwarded unchanged. Where there is none, the response promises only what is proven: a status
// that says that the request did not run is sent only if no attempt can have run it. See
// transport.Verdict.
//
// Words used here: an agent is a sidecar process. A try is one request of a client, with an id of
// its own. The sender may make several attempts for a try, each of which hands it to one backend. A
// run is the execution of a request by a backend, and an inner request is one that a backend makes
// in the course of a run. An unsafe request must not run twice.
//
// The Sender learns about the mesh through a View, which is immutable and replaced as a whole.
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

// View is what a sender knows about the mesh.
type View struct {
	Config      *meshconfig.Config
	ConfigIndex uint64                    // version of Config
	Agents      []transport.StationStatus // the latest announcement of every agent
}

const (
	// Share of the configured retry ratio that each agent may use. The rest is a reserve: a
	// repeated attempt may make inner requests, which count as repeats too.
	retryRatioShare = 0.5
	// Share of the configured extra tries, allowed regardless of the load, that is split among the
	// agents. The rest is a reserve: agents come and go, and each one starts with a full budget.
	retryFloorShare = 0.5
	// Share of its capacity that a starting backend is assumed to have, until its gate reports
	// otherwise.
	initialCapacityShare = 0.25
	// Worth of an inner request, where a client's is 1: the whole work of its run depends on it.
	innerWorth = 10.0
	// Share of the worth that a late response keeps. It is not zero, so that a request is still
	// sent if only a late response can be expected.
	lateWorth            = 0.1
	defaultTargetLatency = time.Second
	// Largest difference between the logarithms of two target latencies that share a class: a
	// factor of two.
	maxTargetLogRatio = 0.7
)

// Sender is the outbound side of a sidecar. It is an http.Handler for the clients' requests.
type Sender struct {
	settings    *bootstrap.Settings
	localGate   *inbound.Host // the inbound side on this machine
	gateConns   *transport.Pool
	sendRemote  func(p *pendingRequest, gate transport.Endpoint, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure)
	bodyBudget  *transport.ByteBudget // for request bodies
	log         log.Interface
	zoneNumbers map[string]int // number of each zone, for the balancers

	view         atomic.Pointer[View]
	mu           sync.RWMutex // guards pending, pastAnswerBy, balancers and agentCount
	pending      map[*pendingRequest]struct{}
	pastAnswerBy bool                        // the shutdown has reached ShutdownSchedule.AnswerBy
	balancers    map[string]*serviceBalancer // by service
	agentCount   int
	shutdown     atomic.Pointer[ShutdownSchedule] // nil until the shutdown begins
	inFlight     atomic.Int64                     // requests that have not been answered
	draining     atomic.Bool                      // see SetDraining
	waits        waitEstimator
	startedAt    time.Time
	seenIDsMu    sync.Mutex   // guards seenIDs
	seenIDs      *seenids.Set // ids of the unsafe requests that were begun
	Counters     Counters
	// Traces holds the latest requests that did not succeed at their first attempt.
	Traces flightrecorder.Ring
}

// New returns a sender that refuses every request until SetView is called.
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

// View returns the current view, nil before the first SetView.
func (s *Sender) View() *View { return s.view.Load() }

// SetDraining sets whether clients are asked to move to another machine, by a "Connection: close"
// header in every response. Requests that still arrive are served.
func (s *Sender) SetDraining(draining bool) { s.draining.Store(draining) }

// BeginShutdown asks clients to move to another machine and serves the requests that still arrive,
// as far as the schedule allows. At AnswerBy, requests without a response get one that tells how
// far they got.
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

// register makes a request known to BeginShutdown, which ends it at AnswerBy. If that has passed,
// register ends it at once.
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

// InFlight returns the number of requests that have not been answered.
func (s *Sender) InFlight() int { return int(s.inFlight.Load()) }

// SetView replaces the view and updates the balancers. It must not be called concurrently.
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
	// By service. Only computed if a balancer may need other classes, after a change of the
	// configuration or for a new balancer: agents change far more often.
	var routes map[string][]*meshconfig.Route
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

// balancerLog returns the log function of the balancer for one service.
func (s *Sender) balancerLog(service string) func(string) {
	return func(text string) { s.log.WithField("service", service).Info(text) }
}

// balancer returns the balancer for a service, nil if the service is not in the configuration.
func (s *Sender) balancer(service string) *serviceBalancer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.balancers[service]
}

// balancerSettings returns the settings of the balancer for one service. The classes are those of
// the requests that the service gets, and the concurrency is the number of requests that one of its
// backends works on at once.
func (s *Sender) balancerSettings(config *meshconfig.Config, name string, classes []policy.Class, concurrency int) policy.Settings {
	bounds := &s.settings.Bounds
	settings := policy.Settings{
		Agents: s.agentCount, Zone: s.zoneNumbers[s.settings.Zone], Classes: classes, Reports: policy.ReportsInline, Gates: true, PreferLocalZone: true, Width: float64(concurrency),
		Tick: time.Millisecond, MaxAttempts: 6, SecondCopies: true,
		ColdFrom: initialCapacityShare, OverloadFactor: 2,
		ExtraWindow: bounds.RetryWindow, ExtraFloor: retryFloorShare * bounds.ExtraTries / float64(s.agentCount), ExtraRatio: retryRatioShare * bounds.RetryRatio,
	}
	if service := config.Service(name); service != nil {
		settings.WarmAfter = service.Warmup
	}
	return settings
}

// classesFor lists the classes of the requests that a service gets. A class is made of what the
// balancer distinguishes: whether a request may run twice, whether a backend made it, and roughly
// how long it may take.
//
// A balancer that is replaced forgets all measured speeds and failures. Values that change often
// therefore don't make classes: the remaining time comes with each request, and similar target
// latencies share a class.
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

// routesByService lists the routes to each service, sorted by target latency.
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

// nearestClass returns the index of the class for a request whose target latency is nearest, and
// the distance between the logarithms of the two. The index is -1 if no class has this effect and
// worth.
func nearestClass(classes []policy.Class, effect policy.Effect, worth float64, targetLatency time.Duration) (best int, distance float64) {
	best, distance = -1, math.Inf(1)
	for i, class := range classes {
		if d := math.Abs(math.Log(class.Aim.Seconds() / targetLatency.Seconds())); class.Effect == effect && class.Worth == worth && d <= distance {
			best, distance = i, d
		}
	}
	return best, distance
}

// hasClass reports whether there is a class with a similar target latency.
func hasClass(classes []policy.Class, effect policy.Effect, worth float64, targetLatency time.Duration) bool {
	_, distance := nearestClass(classes, effect, worth, targetLatency)
	return distance <= maxTargetLogRatio
}

// effectOf tells the balancer whether a route's requests may run twice.
func effectOf(r *meshconfig.Route) policy.Effect {
	if r.Kind == meshconfig.Safe {
		return policy.Pure
	}
	return policy.SideEffect
}

// targetLatencyOf returns a route's target latency, or the default if it has none.
func targetLatencyOf(r *meshconfig.Route) time.Duration {
	if r.TargetTime <= 0 {
		return defaultTargetLatency
	}
	return r.TargetTime
}

// classIndex returns the class of a route's requests. The balancer may have been made for another
// configuration than the route's, and then have no class with a similar target latency. It always
// has one with the same effect, which must be used: with another effect, an unsafe request would be
// repeated.
func classIndex(classes []policy.Class, r *meshconfig.Route, inner bool) int {
	worth := 1.0
	if inner {
		worth = innerWorth
	}
	index, _ := nearestClass(classes, effectOf(r), worth, targetLatencyOf(r))
	return index
}

// coversClasses reports whether each wanted class has a similar one among classes.
func coversClasses(classes, wanted []policy.Class) bool {
	return !slices.ContainsFunc(wanted, func(k policy.Class) bool { return !hasClass(classes, k.Effect, k.Worth, k.Aim) })
}

// serverIDOf derives the balancer's id of a backend from the agent beside it. It is the same at
// each sender and for each process that the backend runs as.
func serverIDOf(agent string) policy.ServerID {
	h := fnv.New32a()
	h.Write([]byte(agent))
	return policy.ServerID(h.Sum32() & math.MaxInt32)
}
