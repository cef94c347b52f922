// Package agent is the real agent: it carries what happens on sockets to the decision module as events, and
// carries out the module's actions.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/handover"
	"example.org/micaline/internal/leave"
	"example.org/micaline/policy"
)

const (
	// reservedSockets is for the descriptors that are neither clients' nor backends': the standard streams, the
	// listener, the runtime's poller, discovery, and connections that are just being closed.
	reservedSockets = 32
	// requestTimeout is how long a client may take to send a head, from its first byte, or from when it connected.
	readHeaderTimeout = 2500 * time.Millisecond
	// idleClients is how long a client's connection may be without a request. Danger: clients that ask once and keep
	// their connection would use up the sockets.
	clientIdleTimeout = 2500 * time.Millisecond
	// streamShare is the part of the memory that streams may hold.
	streamShare = 4
	leaveSlack  = 100 * time.Millisecond
)

// Serve runs an agent until the context ends, and until what it has taken is finished. Of a configuration that is
// reloaded it takes discovery's address. It closes the listener.
func Serve(ctx context.Context, cfg *Config, reloads <-chan *Config, listener net.Listener, network Network, log *slog.Logger) error {
	a, err := New(cfg, listener, network, log)
	if err != nil {
		listener.Close()
		return err
	}
	return a.Run(ctx, reloads)
}

// Agent is one agent.
type Agent struct {
	cfg              *Config
	log              *slog.Logger
	loop             *loop
	discovery        *discovery
	clientConns      *connLimiter
	server           *server
	peers            *peerLink    // nil: there is no talk among agents
	discoveryChanges chan *Config // to another discovery, by operators
	followed         string       // the discovery that they have moved to last

	handover        *handover.Handover // nil: the process is never replaced
	maxBackendConns int                // of the sockets, for backends
	maxClientConns  int                // connections of clients
	otherProcess    atomic.Bool        // another process of the agent runs
	operatorLimit   atomic.Int64       // requests held at once, by operators; 0: they say nothing

	leaveMu        sync.Mutex // guards what follows
	modeController leave.Controller
	modeTimer      *time.Timer
	modeTimerArmed bool // the sweep is to come
}

// New returns an agent that is not running yet.
func New(cfg *Config, listener net.Listener, network Network, log *slog.Logger) (*Agent, error) {
	// Half of the sockets is for backends.
	half := (cfg.Sockets - reservedSockets) / 2
	l, err := newLoop(cfg, newBackendClient(network, &cfg.Settings, half, int64(cfg.MemoryMB)<<20/streamShare, log), log)
	if err != nil {
		return nil, err
	}
	tell := func(mode policy.ListMode, members []member) {
		l.send(input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	d := newDiscovery(network, cfg.Discovery, cfg.Settings.Module.AskList, tell, log)
	// Danger: discovery's work is the lines that it sends, and after a release all agents ask at once.
	if cfg.knownList.Complete && len(cfg.knownList.Members) > 0 {
		d.revision = cfg.knownList.Revision
	}
	l.subscribe = d.requestWatch
	talk, err := openPeerLink(&cfg.Peers, network)
	if err != nil {
		return nil, err
	}
	if talk != nil {
		l.broadcast = talk.broadcast
	}
	// Danger: the application holds a third of the sockets at most for its requests. Were there room for more, those
	// that it has used once and keeps would leave it none for the next request.
	room := min(half, cfg.Sockets*3/10)
	a := &Agent{
		cfg: cfg, log: log, loop: l, discovery: d, clientConns: &connLimiter{Listener: listener, maxConns: room},
		server: &server{loop: l, usual: int64(room - room/8)}, discoveryChanges: make(chan *Config),
		followed: cfg.Discovery, peers: talk, modeController: leave.Controller{SharedSocket: cfg.SharedSocket},
	}
	a.server.clientConns = a.clientConns
	a.server.maxRequests.Store(a.server.usual)
	a.server.stance.Store(&leave.Mode{Ready: true, Accept: true})
	a.maxBackendConns, a.maxClientConns = half, room
	if cfg.Handover != nil {
		a.handover = handover.New(cfg.Handover, handoverSide{a}, log)
		l.onHoldChange = a.handover.Tell
	}
	return a, nil
}

// Run serves until the context ends, then finishes what it has taken. It closes the listener.
func (a *Agent) Run(ctx context.Context, reloads <-chan *Config) error {
	cfg, l, handler := a.cfg, a.loop, a.server
	defer a.clientConns.Close()
	if cfg.OnStart != nil {
		cfg.OnStart(a)
	}
	// What the agent has taken it finishes, so its workers outlive the context.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var workers sync.WaitGroup
	l.ctx = work
	workers.Go(func() { l.run(work) })
	a.takeOver(ctx)
	a.discovery.onList(policy.ListCached, cfg.knownList.Members)
	workers.Go(func() { a.discovery.run(work, reloads, a.discoveryChanges) })
	if a.peers != nil {
		workers.Go(func() { a.peers.receiveLoop(work, l) })
	}
	defer func() {
		stop()
		if a.peers != nil {
			a.peers.conn.Close()
		}
		if a.handover != nil {
			a.handover.Close()
		}
		workers.Wait()
		l.backends.Close()
	}()
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConn, ConnState: a.clientConns.trackState,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelWarn),
	}
	defer srv.Close() // what outlasts Shutdown
	a.awaitReady(ctx)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(a.clientConns) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	a.changeStance(func(m *leave.Controller, now time.Duration) { m.Shutdown(now) })
	if cfg.SharedSocket { // who else accepts is there for new connections
		a.clientConns.Close()
		<-failed
		failed = nil
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(leave.AcceptGrace + sweepIdle):
	}
	a.clientConns.closeIdle()
	longest := leaveSlack
	for _, c := range cfg.Settings.Module.Classes {
		longest = max(longest, c.Deadline+leaveSlack)
	}
	last, cancel := context.WithTimeout(work, longest)
	defer cancel()
	// A connection that was opened and never used would keep Shutdown from returning.
	if err := srv.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
