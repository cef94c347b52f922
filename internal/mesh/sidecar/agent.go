// Package sidecar is the agent: the process beside an application backend.
//
// It joins the parts that stand on such a machine: the sender (package outbound) for what begins there, the gate (package inbound) for
// what the backend is sent, and a feed to each core machine, over which it tells of itself and hears the configuration and all other
// agents. One goroutine owns what is known and works through a queue of commands; the sender reads a view that never changes.
//
// What it promises: it is ready only once it has a configuration that was known to be current after it had started; it never goes
// back to an older one; cut off, it goes on with what it has.
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
	tick     = time.Second
	queue    = 256 // commands that wait for the owner
	mostBody = 64 << 20
	bodyPart = 4 // of the memory is for bodies: the collector needs as much again, and sockets hold some
)

// Agent is the process. Its fields from table on belong to the goroutine of own.
type Agent struct {
	path   string // of the settings
	set    *bootstrap.Settings
	log    log.Interface
	host   *inbound.Host
	sender *outbound.Sender
	links  *transport.Pool
	ready  atomic.Bool
	stats  transport.StatsServer
	went   atomic.Bool // told to end

	clock    *meshtime.Clock
	meanWork atomic.Uint64 // bits of a float64: requests that the backend works on
	cordoned atomic.Uint32 // meshconfig.Stage of this machine

	usage   *usage.Counter // nil: these settings have no usage reported
	refused refusals

	healthPath atomic.Pointer[string] // of the backend's service; nil: not known
	probing    atomic.Bool

	commands chan func()
	publish  atomic.Bool // a command to publish is queued

	table   *registry.Table
	began   time.Time
	config  *meshconfig.Config
	index   uint64
	have    atomic.Uint64 // index, for the feeds
	newest  uint64        // index that a core machine has told of
	asking  *feed         // for the whole configuration
	asked   time.Time
	odd     bool   // what came last did not lead to what was agreed on: only the whole will do
	current bool   // a core machine has proven that
	least   uint64 // this index was current after the start
	proven  bool   // and the configuration is of it or a later one
	fresh   bool   // proven, and there is a configuration
	dirty   bool
	feeds   map[string]*feed
	members [][]string // lists of the agreement's members that hold
	station atomic.Pointer[transport.Station]
	life    uint64
	seq     uint64
	changed time.Time // of the settings file
	shown   time.Time // when the configuration was last known to be current
	heard   time.Time // when a core machine last said anything
}

// New returns an agent that has not started.
func New(path string, set *bootstrap.Settings, l log.Interface) *Agent {
	a := &Agent{path: path, set: set, log: l, commands: make(chan func(), queue), table: registry.New(), began: time.Now(),
		config: meshconfig.New(), feeds: map[string]*feed{}, life: uint64(time.Now().UnixNano())}
	a.links = &transport.Pool{ControlAddress: set.Control, ConnectTimeout: time.Second, IdleTimeout: 30 * time.Second, MaxIdlePerGate: 64}
	budget := transport.NewByteBudget(mostBody)
	if set.MemoryMB > 0 {
		budget = transport.NewByteBudget(int64(set.MemoryMB) << 20 / bodyPart)
	}
	a.host = inbound.NewHost(a.rules(), mostBody, budget, a.news)
	a.host.ObserveBackend(a.backendChanged)
	a.clock = meshtime.New()
	if set.Platform.Has(duties.UsageReport) {
		a.usage = usage.NewCounter(rand.Uint64(), set.Bounds.ReportWindow, a.clock)
		a.host.CountUsage(a.usage)
	}
	a.named()
	a.sender = outbound.New(set, a.host, a.links, budget, l)
	return a
}

// Inner is the address at which the process of a machine hears the others: its first spare port.
func InternalAddress(set *bootstrap.Settings, control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return control
	}
	return net.JoinHostPort(host, strconv.Itoa(set.SparePorts[0]))
}

// Run serves until the context ends, and then leaves in order within the bound.
func (a *Agent) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp4", InternalAddress(a.set, a.set.Control))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer inner.Close()
	go (&transport.Server{Handlers: a.uses()}).Serve(inner)
	serve := func(addr string, h http.Handler) (*http.Server, error) {
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return nil, oops.In("listen").Wrap(err)
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 64 << 10}
		go s.Serve(l)
		return s, nil
	}
	clients, err := net.Listen("tcp4", a.set.Outbound)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	out := outbound.NewServer(a.sender)
	go out.Serve(clients)
	ready, err := serve(a.set.Ready, http.HandlerFunc(a.readiness))
	if err != nil {
		return err
	}
	control, err := serve(a.set.Control, a.control())
	if err != nil {
		return err
	}
	owner, stop := context.WithCancel(context.Background())
	defer stop()
	go a.own(owner)
	a.log.WithField("zone", a.set.Zone).WithField("service", a.set.Service).Info("agent started")
	<-ctx.Done()
	a.leave(&out.Server)
	ready.Close()
	control.Close()
	return nil
}

// uses are what other processes connect for.
func (a *Agent) uses() map[string]func(transport.Hello, *transport.Conn) {
	return map[string]func(transport.Hello, *transport.Conn){
		transport.UseExchange: func(_ transport.Hello, c *transport.Conn) { a.host.Serve(c) },
		transport.UseStats:    func(_ transport.Hello, c *transport.Conn) { a.stats.Serve(c, a.figures) },
	}
}

func (a *Agent) readiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/api/readiness":
		http.NotFound(w, r)
	case !a.ready.Load() || a.went.Load() || a.stage() >= meshconfig.StageClients:
		if a.went.Load() {
			a.refused.note(time.Now())
		}
		http.Error(w, "no current configuration yet, leaving, or taken out of use", http.StatusServiceUnavailable)
	}
}

// do queues a command for the owner.
func (a *Agent) do(f func()) { a.commands <- f }

// news has the station said anew.
func (a *Agent) news() {
	if a.publish.CompareAndSwap(false, true) {
		go a.do(a.say)
	}
}

// backendChanged writes down a change of the backend. Each decides what may reach it.
func (a *Agent) backendChanged(c inbound.BackendChange) {
	a.log.WithField("id", c.Backend).WithField("state", c.State).WithField("cause", c.Cause.String()).
		WithField("call", c.HeartbeatNumber).Info("backend")
}

// own works through the commands.
func (a *Agent) own(ctx context.Context) {
	a.say()
	a.follow()
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.commands:
			f()
		case <-timer.C:
			a.tick()
		}
		for more := true; more; { // what has come together is shown together
			select {
			case f := <-a.commands:
				f()
			default:
				more = false
			}
		}
		if a.dirty {
			a.dirty = false
			a.show()
		}
	}
}

func (a *Agent) now() time.Duration { return time.Since(a.began) }

func (a *Agent) tick() {
	a.host.Tick()
	a.measureWork()
	if a.table.Expire(a.now()) {
		a.dirty = true
		// Danger: a core machine that is away now would not tell again of what is forgotten here.
		for _, f := range a.feeds {
			if !f.alive {
				f.resume.Store(nil)
			}
		}
	}
	a.correctClock()
	a.links.Sweep(time.Now())
	a.reread()
}

// reread takes in a settings file that has changed, with or without a signal.
func (a *Agent) reread() {
	info, err := os.Stat(a.path)
	if err != nil || info.ModTime().Equal(a.changed) {
		return
	}
	first := a.changed.IsZero()
	a.changed = info.ModTime()
	if first {
		return
	}
	set, err := bootstrap.Load(a.path)
	if err != nil {
		a.log.WithError(err).Error("settings kept as they were")
		return
	}
	if !slices.Equal(set.Seeds, a.set.Seeds) {
		a.log.WithField("seeds", set.Seeds).Info("seeds changed")
	}
	changed := *a.set
	changed.Seeds = set.Seeds
	a.set = &changed
	a.follow()
}

// Reload has the settings read again.
func (a *Agent) Reload() { a.do(func() { a.changed = time.Unix(1, 0); a.reread() }) }

// named tells the gate by which life others know this process.
func (a *Agent) named() {
	a.host.WithGate(func(_ time.Duration, g *inbound.Gate) bool { g.SetLife(a.life); return false })
}

// say makes the station's next word and has the feeds tell it.
func (a *Agent) say() {
	a.publish.Store(false)
	a.seq++
	s := &transport.Station{Agent: a.set.IP, Gate: cmp.Or(a.set.Gate, InternalAddress(a.set, a.set.Control)), Zone: a.set.Zone, Life: a.life, Seq: a.seq,
		Open: a.host.Accepting() && a.fresh && !a.went.Load()}
	a.host.WithGate(func(now time.Duration, g *inbound.Gate) bool { s.Backend = g.Backend(now); return false })
	a.station.Store(s)
	for _, f := range a.feeds {
		f.wake()
	}
	// Its own backend is known at once, also to an agent that is cut off.
	if a.table.Merge(a.now(), registry.SelfSource, false, []transport.StationStatus{{Station: *s}}) {
		a.dirty = true
	}
}

// rules are what the gate goes by. Danger: until the configuration is known to be current nobody knows whether the zone is evacuated.
func (a *Agent) rules() inbound.Rules {
	b := &a.set.Bounds
	stage := a.config.Stage(a.set.Zone, a.set.IP)
	r := inbound.Rules{NoConfig: !a.fresh, WarmupExcess: b.WarmupExcess, WarmupMargin: b.WarmupMargin, HeartbeatInterval: a.set.BeatEvery, LinkBitsPerSecond: a.set.LinkMbps * 1e6,
		Evacuated: a.config.Evacuated(a.set.Zone) || stage >= meshconfig.StageClosed, RefuseUploads: stage >= meshconfig.StageUploads}
	if s := a.config.Service(a.set.Service); s != nil {
		r.Warmup, r.WarmupRate = s.Warmup, s.WarmupRate
	}
	return r
}

// show gives the sender and the gate what is known now.
func (a *Agent) show() {
	if a.proven && a.index > 0 && !a.fresh {
		a.fresh = true
		defer a.say()
	}
	if s := a.config.Service(a.set.Service); s != nil {
		a.healthPath.Store(&s.HealthPath)
	}
	a.host.WithGate(func(now time.Duration, g *inbound.Gate) bool { g.Configure(now, a.rules()); return false })
	a.setStage()
	if !a.fresh && a.index == 0 {
		return
	}
	a.sender.SetView(&outbound.View{Config: a.config, ConfigIndex: a.index, Agents: a.table.All(a.now())})
	if a.fresh && !a.ready.Swap(true) {
		a.probeIfUnproven()
		a.log.WithField("index", a.index).Info("ready")
	}
}
