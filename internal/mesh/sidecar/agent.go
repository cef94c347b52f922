// Package sidecar implements the agent, which is the mesh process beside an application backend.
//
// An agent connects three parts: the sender (package outbound) for requests that start on its
// machine, the gate (package inbound) for requests to its backend, and a feed to each control-plane
// node. Over a feed it reports its own station, which is its address, state and backend, and
// receives the configuration and the stations of all other agents. One goroutine, the owner, holds
// the state and executes a queue of commands. The sender reads immutable views of the state.
//
// Guarantees: the agent becomes ready only once it has a configuration that was proven current after
// the agent started. It never returns to an older configuration. Without contact to the control
// plane it continues with the state it has.
package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/outbound"
	"example.org/micaline/internal/mesh/registry"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
	"github.com/apex/log"
	"github.com/samber/oops"
)

const (
	tickInterval     = time.Second
	commandQueueSize = 256 // commands that can be queued for the owner
	maxBodyBytes     = 64 << 20
	// bodyMemoryDivisor is the memory limit divided by the memory for request bodies. The garbage
	// collector needs as much again, and sockets buffer some.
	bodyMemoryDivisor = 4
)

// Agent is the agent process. The fields from table on, except the atomic ones, belong to the
// goroutine of runOwner.
type Agent struct {
	settingsPath string
	settings     *bootstrap.Settings
	log          log.Interface
	host         *inbound.Host
	sender       *outbound.Sender
	links        *transport.Pool // connections to the gates of other agents
	ready        atomic.Bool
	stats        transport.StatsServer
	stopping     atomic.Bool // shutdown has begun

	clock        *meshtime.Clock
	meanWorkload atomic.Uint64 // bits of a float64: moving average of outstanding requests
	maintenance  atomic.Uint32 // meshconfig.Stage of this machine

	usageCounter *usage.Counter // nil if the settings disable usage reports
	refusals     refusalTracker

	healthPath atomic.Pointer[string] // of the backend's service; nil if not known
	probing    atomic.Bool

	commands      chan func() // executed by the owner
	publishQueued atomic.Bool // a command to publish is queued

	table             *registry.Table // stations of all agents
	startedAt         time.Time
	config            *meshconfig.Config
	configIndex       uint64
	sharedConfigIndex atomic.Uint64 // copy of configIndex for the feed goroutines
	newestIndex       uint64        // highest index that a control-plane node has reported
	configSource      *feed         // feed over which a configuration is requested; nil if none
	configRequestedAt time.Time
	needsFullConfig   bool   // the last update failed, so the next request is for a complete one
	minIndexKnown     bool   // a node has proven which index was current after the start
	minIndex          uint64 // that index, if minIndexKnown
	configProven      bool   // the configuration has reached minIndex
	configReady       bool   // configProven, and there is a configuration
	viewChanged       bool   // the owner has to call publishView
	feeds             map[string]*feed
	memberLists       [][]string // last known consensus members, one list for each node that sent one
	station           atomic.Pointer[transport.Station]
	life              uint64 // incarnation number of this process, sent as Station.Life
	stationSeq        uint64
	settingsModified  time.Time // modification time of the settings file when it was last read
	lastProven        time.Time // when the configuration was last proven current
	lastContact       time.Time // when the last message from any control-plane node arrived
}

// New returns an agent that has not started.
func New(path string, settings *bootstrap.Settings, logger log.Interface) *Agent {
	a := &Agent{settingsPath: path, settings: settings, log: logger, commands: make(chan func(), commandQueueSize), table: registry.New(), startedAt: time.Now(),
		config: meshconfig.New(), feeds: map[string]*feed{}, life: uint64(time.Now().UnixNano())}
	a.links = &transport.Pool{ControlAddress: settings.Control, ConnectTimeout: time.Second, IdleTimeout: 30 * time.Second, MaxIdlePerGate: 64}
	budget := transport.NewByteBudget(maxBodyBytes)
	if settings.MemoryMB > 0 {
		budget = transport.NewByteBudget(int64(settings.MemoryMB) << 20 / bodyMemoryDivisor)
	}
	a.host = inbound.NewHost(a.gateRules(), maxBodyBytes, budget, a.queuePublish)
	a.host.ObserveBackend(a.backendChanged)
	a.clock = meshtime.New()
	if settings.Platform.Has(duties.UsageReport) {
		a.usageCounter = usage.NewCounter(rand.Uint64(), settings.Bounds.ReportWindow, a.clock)
		a.host.CountUsage(a.usageCounter)
	}
	a.setGateLife()
	a.sender = outbound.New(settings, a.host, a.links, budget, logger)
	return a
}

// InternalAddress returns the address at which the process at a control address accepts connections
// of other mesh processes. It uses the first spare port.
func InternalAddress(settings *bootstrap.Settings, controlAddress string) string {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		return controlAddress
	}
	return net.JoinHostPort(host, strconv.Itoa(settings.SparePorts[0]))
}

// Run serves until the context ends, and then shuts down gracefully within the grace period.
func (a *Agent) Run(ctx context.Context) error {
	internalListener, err := net.Listen("tcp4", InternalAddress(a.settings, a.settings.Control))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer internalListener.Close()
	go (&transport.Server{Handlers: a.connectionHandlers()}).Serve(internalListener)
	serve := func(addr string, h http.Handler) (*http.Server, error) {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return nil, oops.In("listen").Wrap(err)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 64 << 10}
		go s.Serve(l)
		return s, nil
	}
	clientListener, err := net.Listen("tcp4", a.settings.Outbound)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	clientServer := outbound.NewServer(a.sender)
	go clientServer.Serve(clientListener)
	readinessServer, err := serve(a.settings.Ready, http.HandlerFunc(a.readiness))
	if err != nil {
		return err
	}
	controlServer, err := serve(a.settings.Control, a.controlHandler())
	if err != nil {
		return err
	}
	ownerCtx, stopOwner := context.WithCancel(context.Background())
	defer stopOwner()
	go a.runOwner(ownerCtx)
	a.log.WithField("zone", a.settings.Zone).WithField("service", a.settings.Service).Info("agent started")
	<-ctx.Done()
	a.shutDown(&clientServer.Server)
	readinessServer.Close()
	controlServer.Close()
	return nil
}

// connectionHandlers returns the handlers of the connections that other mesh processes open.
func (a *Agent) connectionHandlers() map[string]func(transport.Hello, *transport.Conn) {
	return map[string]func(transport.Hello, *transport.Conn){
		transport.UseExchange: func(_ transport.Hello, c *transport.Conn) { a.host.Serve(c) },
		transport.UseStats:    func(_ transport.Hello, c *transport.Conn) { a.stats.Serve(c, a.queryStats) },
	}
}

// readiness answers the platform's readiness checks.
func (a *Agent) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/api/readiness":
		http.NotFound(w, r)
	case !a.ready.Load() || a.stopping.Load() || a.maintenanceStage() >= meshconfig.StageClients:
		if a.stopping.Load() {
			a.refusals.record(time.Now())
		}
		http.Error(w, "no current configuration yet, leaving, or taken out of use", http.StatusServiceUnavailable)
	}
}

// enqueue queues a command for the owner.
func (a *Agent) enqueue(command func()) { a.commands <- command }

// queuePublish queues the publication of the station, unless it is queued already.
func (a *Agent) queuePublish() {
	if a.publishQueued.CompareAndSwap(false, true) {
		go a.enqueue(a.publishStation)
	}
}

// backendChanged logs a change of the backend, because each one determines which requests reach it.
func (a *Agent) backendChanged(c inbound.BackendChange) {
	a.log.WithField("id", c.Backend).WithField("state", c.State).WithField("cause", c.Cause.String()).
		WithField("call", c.HeartbeatNumber).Info("backend")
}

// runOwner executes commands and periodic work until the context ends.
func (a *Agent) runOwner(ctx context.Context) {
	a.publishStation()
	a.updateFeeds()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.commands:
			command()
		case <-ticker.C:
			a.tick()
		}
		for more := true; more; { // publishes the effect of all queued commands at once
			select {
			case command := <-a.commands:
				command()
			default:
				more = false
			}
		}
		if a.viewChanged {
			a.viewChanged = false
			a.publishView()
		}
	}
}

// uptime is the clock of the station table.
func (a *Agent) uptime() time.Duration { return time.Since(a.startedAt) }

// tick does the periodic work of the owner.
func (a *Agent) tick() {
	a.host.Tick()
	a.sampleWorkload()
	if a.table.Expire(a.uptime()) {
		a.viewChanged = true
		// After a reconnect, a node resumes from the resume point and would not send the expired
		// stations again, so feeds without a connection have to start over.
		for _, f := range a.feeds {
			if !f.connected {
				f.resumePoint.Store(nil)
			}
		}
	}
	a.correctClock()
	a.links.Sweep(time.Now())
	a.reloadIfModified()
}

// reloadIfModified loads the settings file if it was modified, even without a signal. Only changes
// of the seeds take effect.
func (a *Agent) reloadIfModified() {
	info, err := os.Stat(a.settingsPath)
	if err != nil || info.ModTime().Equal(a.settingsModified) {
		return
	}
	first := a.settingsModified.IsZero()
	a.settingsModified = info.ModTime()
	if first {
		return
	}
	loaded, err := bootstrap.Load(a.settingsPath)
	if err != nil {
		a.log.WithError(err).Error("settings kept as they were")
		return
	}
	if !slices.Equal(loaded.Seeds, a.settings.Seeds) {
		a.log.WithField("seeds", loaded.Seeds).Info("seeds changed")
	}
	updated := *a.settings
	updated.Seeds = loaded.Seeds
	a.settings = &updated
	a.updateFeeds()
}

// Reload reads the settings file again, even if its modification time is unchanged.
func (a *Agent) Reload() {
	a.enqueue(func() { a.settingsModified = time.Unix(1, 0); a.reloadIfModified() })
}

// setGateLife passes the incarnation number of this process to the gate.
func (a *Agent) setGateLife() {
	a.host.WithGate(func(_ time.Duration, g *inbound.Gate) bool { g.SetLife(a.life); return false })
}

// publishStation creates the next version of the station and makes the feeds send it.
func (a *Agent) publishStation() {
	a.publishQueued.Store(false)
	a.stationSeq++
	s := &transport.Station{Agent: a.settings.IP, Gate: cmp.Or(a.settings.Gate, InternalAddress(a.settings, a.settings.Control)), Zone: a.settings.Zone, Life: a.life, Seq: a.stationSeq,
		Open: a.host.Accepting() && a.configReady && !a.stopping.Load()}
	a.host.WithGate(func(now time.Duration, g *inbound.Gate) bool { s.Backend = g.Backend(now); return false })
	a.station.Store(s)
	for _, f := range a.feeds {
		f.wake()
	}
	// The agent's own backend is usable at once, even without contact to the control plane.
	if a.table.Merge(a.uptime(), registry.SelfSource, false, []transport.StationStatus{{Station: *s}}) {
		a.viewChanged = true
	}
}

// gateRules returns the rules of the gate. They set NoConfig until the configuration is proven
// current, because before that it is not known whether the zone is evacuated.
func (a *Agent) gateRules() inbound.Rules {
	bounds := &a.settings.Bounds
	stage := a.config.Stage(a.settings.Zone, a.settings.IP)
	rules := inbound.Rules{NoConfig: !a.configReady, WarmupExcess: bounds.WarmupExcess, WarmupMargin: bounds.WarmupMargin, HeartbeatInterval: a.settings.BeatEvery, LinkBitsPerSecond: a.settings.LinkMbps * 1e6,
		Evacuated: a.config.Evacuated(a.settings.Zone) || stage >= meshconfig.StageClosed, RefuseUploads: stage >= meshconfig.StageUploads}
	if s := a.config.Service(a.settings.Service); s != nil {
		rules.Warmup, rules.WarmupRate = s.Warmup, s.WarmupRate
	}
	return rules
}

// publishView passes the current state to the sender and the gate.
func (a *Agent) publishView() {
	if a.configProven && a.configIndex > 0 && !a.configReady {
		a.configReady = true
		defer a.publishStation()
	}
	if s := a.config.Service(a.settings.Service); s != nil {
		a.healthPath.Store(&s.HealthPath)
	}
	a.host.WithGate(func(now time.Duration, g *inbound.Gate) bool { g.Configure(now, a.gateRules()); return false })
	a.updateMaintenanceStage()
	if !a.configReady && a.configIndex == 0 {
		return
	}
	a.sender.SetView(&outbound.View{Config: a.config, ConfigIndex: a.configIndex, Agents: a.table.All(a.uptime())})
	if a.configReady && !a.ready.Swap(true) {
		a.probeIfNeeded()
		a.log.WithField("index", a.configIndex).Info("ready")
	}
}
