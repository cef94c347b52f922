// Package controlplane implements the process of a control-plane node.
//
// It serves the operators' API, replicates each change (package consensus) before it responds, and
// sends agents the current configuration and the stations that other agents announce (package
// registry). Nodes that are not members of the consensus group, or don't lead it, serve requests as
// well: they forward proposals to the leader.
//
// Guarantees:
//
//   - A change is answered with 200 only after a majority has it on disk.
//   - Agents receive only committed changes.
//   - A read returns a state with all changes that were acknowledged before it.
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
	commandQueueSize = 1024
	maxFeeds         = 2048

	leaveTimeout    = 3500 * time.Millisecond // longer than leaving the consensus group takes
	shutdownTimeout = time.Second

	heartbeatInterval = 500 * time.Millisecond
	feedTimeout       = 1700 * time.Millisecond // closes a silent feed: a bit more than three heartbeats
	settleDelay       = 2 * time.Second         // after a pause; agents reconnect within 1.5 s
)

// Core is the control-plane process. Its fields from registry on belong to the goroutine of
// runLoop.
type Core struct {
	settings *bootstrap.Settings
	log      log.Interface
	node     *consensus.Node
	table    *table
	peers    *peers
	counters counters

	notifyPending atomic.Bool   // a notification of a configuration change is scheduled
	notifiedAt    time.Duration // latest or next notification; owned by the node's goroutine

	dutyHolder   *dutyHolder // nil if no duties are configured
	windowDriver *windowDriver
	nodeStarted  atomic.Bool // node is set

	stats          transport.StatsServer
	commands       chan func()
	startedAt      time.Time
	registry       *registry.Table
	feeds          map[string]*feed // by the agent's IP
	proofRequests  map[*feed]uint64 // by feed: number of its request for a proof that it is current
	readInProgress bool             // a consensus read for proofs is in progress
	members        []string
	formerBackends formerBackends

	clock     *meshtime.Clock
	collector *usage.Collector
	// firstWindow is the usage window that was current at the first call of usageView, if no window
	// was final then. It is 0 before that.
	firstWindow int64

	processID   uint64             // random, not 0
	revisions   registry.Revisions // of registry
	lastActive  time.Duration      // when the loop last handled something
	settledAt   time.Duration      // end of the settle time after a pause; 0 if not settling
	lostInStall map[string]uint64  // agents that disconnected while settling, with their Station.Life
}

// New returns a process that is not started yet.
func New(settings *bootstrap.Settings, logger log.Interface) *Core {
	c := &Core{settings: settings, log: logger, commands: make(chan func(), commandQueueSize), startedAt: time.Now(),
		registry: registry.New(), feeds: map[string]*feed{}, proofRequests: map[*feed]uint64{}, processID: rand.Uint64() | 1, lostInStall: map[string]uint64{},
		clock: meshtime.New(), collector: usage.NewCollector()}
	c.table = newTable(c.configChanged)
	c.peers = newPeers(settings)
	c.windowDriver = newWindowDriver(c)
	if settings.Platform.Has(duties.UsageReport) {
		c.dutyHolder = newDutyHolder(c)
	}
	return c
}

// configChanged notifies all feeds of a changed configuration. Changes within batchInterval share
// one notification: after a start, the process applies all orders since its snapshot at once, and
// each of them would cause a message to every agent. It is called by the node's goroutine.
func (c *Core) configChanged() {
	if !c.notifyPending.CompareAndSwap(false, true) {
		return
	}
	notify := func() {
		c.notifyPending.Store(false)
		c.forEachFeed(func(f *feed) { f.wake() })
	}
	now := c.now()
	c.notifiedAt = max(now, c.notifiedAt+batchInterval)
	if c.notifiedAt == now {
		c.enqueue(notify)
		return
	}
	time.AfterFunc(c.notifiedAt-now, func() { c.enqueue(notify) })
}

// enqueue queues a command for runLoop without blocking. The queue is much larger than the number
// of commands that are expected at once. If it is full, a goroutine waits for room.
func (c *Core) enqueue(command func()) {
	select {
	case c.commands <- command:
	default:
		go func() { c.commands <- command }()
	}
}

func (c *Core) now() time.Duration { return time.Since(c.startedAt) }

// submit queues a command for runLoop and blocks while the queue is full.
func (c *Core) submit(command func()) { c.commands <- command }

// Run serves until the context is cancelled, then hands over leadership and returns.
func (c *Core) Run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp4", sidecar.InternalAddress(c.settings, c.settings.Control))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer linkListener.Close()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go c.runLoop(loopCtx)
	c.node, err = consensus.Start(consensus.Options{
		Self: c.settings.Control, Seeds: c.settings.Seeds, FirstStart: c.settings.FirstStart, Dir: c.settings.DataFolder, Table: c.table,
		Send: c.peers.send, Log: c.log, OnChange: c.onChange, ReplaceAfter: c.settings.Bounds.CatchUp / 2,
		TargetVoters: consensus.VotersToTolerate(c.settings.Tolerate.Machines), Zone: c.settings.Zone,
	})
	if err != nil {
		return oops.In("agreement").Wrap(err)
	}
	c.nodeStarted.Store(true)
	if c.dutyHolder != nil {
		go c.dutyHolder.run(loopCtx)
	}
	go (&transport.Server{Handlers: c.connectionHandlers()}).Serve(linkListener)
	listener, err := net.Listen("tcp4", c.settings.Control)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: c.handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second, ConnContext: withConnection}
	go server.Serve(listener)
	c.log.WithField("zone", c.settings.Zone).WithField("seeds", c.settings.Seeds).Info("core started")
	select {
	case <-ctx.Done():
		c.log.Info("core stopping")
	case <-c.node.Done(): // a disk error, which Close returns
	}
	c.leave(server)
	err = c.node.Close()
	c.log.Info("core ended")
	return err
}

// leave gives up this node's duties, vote and leadership while it still serves, and then shuts
// down.
func (c *Core) leave(server *http.Server) {
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if c.dutyHolder != nil {
		c.dutyHolder.stop(leaveCtx)
	}
	c.node.Leave(leaveCtx)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(shutdownCtx)
}

// onChange notifies the agents of a change of the members.
func (c *Core) onChange(status consensus.Status) {
	members := slices.Clone(status.Members)
	c.enqueue(func() {
		if !slices.Equal(c.members, members) {
			c.members = members
			c.forEachFeed(func(f *feed) { f.wake() })
		}
	})
}

func (c *Core) forEachFeed(visit func(*feed)) {
	for _, f := range c.feeds {
		visit(f)
	}
}

// runLoop runs the commands and the periodic work that access the state, until the context ends.
func (c *Core) runLoop(ctx context.Context) {
	tick, windowTick := time.NewTicker(time.Second), time.NewTicker(windowTickInterval)
	defer tick.Stop()
	defer windowTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			c.noteActivity()
			command()
		case <-tick.C:
			c.noteActivity()
			c.tick()
		case <-windowTick.C:
			c.noteActivity()
			c.windowDriver.tick()
		}
	}
}

// noteActivity detects pauses of this process. After a pause all feeds appear silent and all agents
// lost, and without the settle time all agents would be sent the loss and return of all others.
func (c *Core) noteActivity() {
	now := c.now()
	if now-c.lastActive > feedTimeout {
		c.settledAt = now + settleDelay
	}
	c.lastActive = now
}

// settling reports whether the process was paused a short time ago, so that it does not know yet
// which agents are alive. Agents are not sent other stations during this time.
func (c *Core) settling() bool { return c.now() < c.settledAt }

func (c *Core) tick() {
	if c.registry.Expire(c.now()) {
		c.revisions.RecordRemoval(func(agent string) bool { return c.registry.Station(agent) != nil })
	}
	c.correctClock()
	if c.dutyHolder != nil {
		c.updateCollector()
	}
	if c.settling() || c.settledAt == 0 {
		return
	}
	c.settledAt = 0
	for agent, life := range c.lostInStall {
		c.markLost(agent, life)
	}
	clear(c.lostInStall)
	c.forEachFeed(func(f *feed) { f.wake() })
}

// connectionHandlers returns the handlers for connections from agents and other control-plane
// nodes.
func (c *Core) connectionHandlers() map[string]func(transport.Hello, *transport.Conn) {
	return map[string]func(transport.Hello, *transport.Conn){
		transport.UsePeer:  func(_ transport.Hello, conn *transport.Conn) { c.receivePeer(conn) },
		transport.UseFeed:  func(hello transport.Hello, conn *transport.Conn) { c.serveFeed(hello.From, conn) },
		transport.UseStats: func(_ transport.Hello, conn *transport.Conn) { c.stats.Serve(conn, c.statsReport) },
	}
}

// receivePeer passes messages from another control-plane node to consensus.
func (c *Core) receivePeer(conn *transport.Conn) {
	for {
		var message consensus.Message
		if conn.Receive(&message) != nil {
			return
		}
		c.node.Receive(message)
	}
}

// statusFor returns the HTTP status for a failed proposal. Clients then try another control-plane
// node.
func statusFor(err error) int {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, consensus.ErrUnknown) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}
