// Package controlplane is the control plane's process on a core machine.
//
// It takes the operators' calls, has them agreed on (package consensus) before it answers, and feeds all agents with the
// configuration that holds and with what the agents say of themselves (package registry). A core machine that is no member of the
// agreement, or does not lead it, serves all the same: it passes on what must be agreed.
//
// What it promises: a call is answered 200 once a majority has it on disk; nothing that is not agreed reaches an agent; a read
// holds all that was acknowledged before it.
package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/registry"
	"example.org/micaline/internal/mesh/sidecar"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/internal/mesh/usage"
	"github.com/apex/log"
	"github.com/samber/oops"
)

const (
	queue     = 1024
	mostFeeds = 2048

	leaveWithin    = 3500 * time.Millisecond // longer than the agreement takes at most
	shutdownWithin = time.Second

	heartbeat   = 500 * time.Millisecond
	feedTimeout = 1700 * time.Millisecond // of silence, until a feed is given up: three heartbeats
	settleFor   = 2 * time.Second         // after a stall: agents dial again within 1.5 s, and are greeted

)

// Core is the process. Its fields from registry on belong to the goroutine of own.
type Core struct {
	set   *bootstrap.Settings
	log   log.Interface
	node  *consensus.Node
	table *table
	peers *peers
	count counters

	telling atomic.Bool   // feeds are about to be told of a changed configuration
	told    time.Duration // when they were, or will be; the node's goroutine's

	duty    *dutyHolder // nil: these settings have no duties
	windows *windowDriver
	started atomic.Bool // node stands

	stats    transport.StatsServer
	commands chan func()
	began    time.Time
	registry *registry.Table
	feeds    map[string]*feed // by the agent's control address
	asking   map[*feed]uint64 // who waits for a proof, and under which number
	proving  bool             // a read is under way
	cores    []string
	former   formerBackends

	clock       *meshtime.Clock
	collector   *usage.Collector
	firstWindow int64 // of usage, that this process saw under way while none was fixed; 0: none yet

	life      uint64             // of this process
	revisions registry.Revisions // of registry
	turned    time.Duration      // when the owner last had something to do
	settled   time.Duration      // when all feeds count again after a stall
	unheard   map[string]uint64  // agents whose feeds ended in it, and their lives
}

// New returns a core process that has not started.
func New(set *bootstrap.Settings, l log.Interface) *Core {
	c := &Core{set: set, log: l, commands: make(chan func(), queue), began: time.Now(),
		registry: registry.New(), feeds: map[string]*feed{}, asking: map[*feed]uint64{}, life: rand.Uint64() | 1, unheard: map[string]uint64{},
		clock: meshtime.New(), collector: usage.NewCollector()}
	c.table = newTable(c.configChanged)
	c.peers = newPeers(set)
	c.windows = newWindowDriver(c)
	if set.Platform.Has(duties.UsageReport) {
		c.duty = newDutyHolder(c)
	}
	return c
}

// configChanged has all agents told. What changes within a gap is told together: a process that has
// started carries out all that was agreed on since its snapshot at once, and each order would be a
// message to every agent. The node's goroutine calls it.
func (c *Core) configChanged() {
	if !c.telling.CompareAndSwap(false, true) {
		return
	}
	tell := func() {
		c.telling.Store(false)
		c.each(func(f *feed) { f.wake() })
	}
	now := c.now()
	c.told = max(now, c.told+gap)
	if c.told == now {
		c.enqueue(tell)
		return
	}
	time.AfterFunc(c.told-now, func() { c.enqueue(tell) })
}

// enqueue queues a command without waiting; the queue's bound is far above what may be due at once, and who finds it full waits beside.
func (c *Core) enqueue(f func()) {
	select {
	case c.commands <- f:
	default:
		go func() { c.commands <- f }()
	}
}

func (c *Core) now() time.Duration { return time.Since(c.began) }

func (c *Core) do(f func()) { c.commands <- f }

// Run serves until the context ends, hands leadership over and returns.
func (c *Core) Run(ctx context.Context) error {
	inner, err := net.Listen("tcp4", sidecar.InternalAddress(c.set, c.set.Control))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer inner.Close()
	owner, stop := context.WithCancel(context.Background())
	defer stop()
	go c.own(owner)
	c.node, err = consensus.Start(consensus.Options{
		Self: c.set.Control, Seeds: c.set.Seeds, FirstStart: c.set.FirstStart, Dir: c.set.DataFolder, Table: c.table,
		Send: c.peers.send, Log: c.log, OnChange: c.onChange, ReplaceAfter: c.set.Bounds.CatchUp / 2,
		TargetVoters: consensus.VotersToTolerate(c.set.Tolerate.Machines), Zone: c.set.Zone,
	})
	if err != nil {
		return oops.In("agreement").Wrap(err)
	}
	c.started.Store(true)
	if c.duty != nil {
		go c.duty.run(owner)
	}
	go (&transport.Server{Handlers: c.uses()}).Serve(inner)
	l, err := net.Listen("tcp4", c.set.Control)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: c.handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, ConnContext: withConnection}
	go server.Serve(l)
	c.log.WithField("zone", c.set.Zone).WithField("seeds", c.set.Seeds).Info("core started")
	select {
	case <-ctx.Done():
		c.log.Info("core told to end")
	case <-c.node.Done(): // its disk failed: Close tells
	}
	c.leave(server)
	err = c.node.Close()
	c.log.Info("core ended")
	return err
}

// leave gives away this machine's vote and leadership while it still serves, and then ends serving.
func (c *Core) leave(server *http.Server) {
	leaving, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if c.duty != nil {
		c.duty.stop(leaving)
	}
	c.node.Leave(leaving)
	ending, cancel := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancel()
	server.Shutdown(ending)
}

// onChange tells the agents who the members are.
func (c *Core) onChange(s consensus.Status) {
	members := slices.Clone(s.Members)
	c.enqueue(func() {
		if !slices.Equal(c.cores, members) {
			c.cores = members
			c.each(func(f *feed) { f.wake() })
		}
	})
}

func (c *Core) each(f func(*feed)) {
	for _, one := range c.feeds {
		f(one)
	}
}

func (c *Core) own(ctx context.Context) {
	tick, windows := time.NewTicker(time.Second), time.NewTicker(windowTick)
	defer tick.Stop()
	defer windows.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.commands:
			c.turn()
			f()
		case <-tick.C:
			c.turn()
			c.tick()
		case <-windows.C:
			c.turn()
			c.windows.tick()
		}
	}
}

// turn notes that the owner goes on. Danger: a process that stood still finds all its feeds silent,
// and its agents as lost as it was itself: all of them would be told of one another's loss, and of
// their return.
func (c *Core) turn() {
	now := c.now()
	if now-c.turned > feedTimeout {
		c.settled = now + settleFor
	}
	c.turned = now
}

// settling says whether the process has stood still a moment ago, so that who is heard is not known
// yet. Meanwhile agents are told of no others.
func (c *Core) settling() bool { return c.now() < c.settled }

func (c *Core) tick() {
	if c.registry.Expire(c.now()) {
		c.revisions.RecordRemoval(func(agent string) bool { return c.registry.Station(agent) != nil })
	}
	c.correctClock()
	if c.duty != nil {
		c.tickUsage()
	}
	if c.settling() || c.settled == 0 {
		return
	}
	c.settled = 0
	for agent, life := range c.unheard {
		c.lose(agent, life)
	}
	clear(c.unheard)
	c.each(func(f *feed) { f.wake() })
}

// uses are what agents and other core machines connect for.
func (c *Core) uses() map[string]func(transport.Hello, *transport.Conn) {
	return map[string]func(transport.Hello, *transport.Conn){
		transport.UsePeer:  func(_ transport.Hello, k *transport.Conn) { c.receivePeer(k) },
		transport.UseFeed:  func(h transport.Hello, k *transport.Conn) { c.serveFeed(h.From, k) },
		transport.UseStats: func(_ transport.Hello, k *transport.Conn) { c.stats.Serve(k, c.figures) },
	}
}

// receivePeer hands on what another core machine says.
func (c *Core) receivePeer(k *transport.Conn) {
	for {
		var m consensus.Message
		if k.Receive(&m) != nil {
			return
		}
		c.node.Receive(m)
	}
}

// statusOf is the answer to a caller whose call was not agreed on: it goes on to another core machine with it.
func statusOf(err error) int {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, consensus.ErrUnknown) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
