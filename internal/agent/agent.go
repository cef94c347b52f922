// Package agent is a load-balancing reverse proxy that runs beside an application. It accepts the
// requests of clients, sends each of them to a backend and returns the backend's answer.
//
// The decision module (package policy) decides where, when and how often a request is sent. It does
// no I/O: the agent reports what happens on its sockets to the module as events, and carries out
// the actions that the module returns. One event loop owns the module and the state of all
// requests; HTTP handlers, attempts and the discovery client pass their inputs to it.
//
// Serve runs an agent from a Config until its context ends. Callers that operate the agent while it
// runs use New and Agent.Run.
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
	// reservedSockets is the number of descriptors kept for other uses than connections of clients
	// and backends: the standard streams, the listener, the runtime's poller, discovery, and
	// connections that are being closed.
	reservedSockets = 32
	// readHeaderTimeout is how long a client may take to send the header of a request, counted from
	// its first byte, or from the start of the connection for the first request.
	readHeaderTimeout = 2500 * time.Millisecond
	// clientIdleTimeout is how long a client connection may stay open without a request. Without
	// it, clients that send one request and keep their connection would use up the sockets.
	clientIdleTimeout = 2500 * time.Millisecond
	// streamMemoryDivisor sets the memory available to streamed bodies: the memory limit divided by
	// this.
	streamMemoryDivisor = 4
	// shutdownSlack is added to the longest deadline of a class when a shutdown waits for requests.
	shutdownSlack = 100 * time.Millisecond
)

// Serve runs an agent until the context ends and the requests it has accepted are finished. From a
// reloaded configuration it uses only the address of discovery. It closes the listener.
func Serve(ctx context.Context, cfg *Config, reloads <-chan *Config, listener net.Listener, network Network, log *slog.Logger) error {
	a, err := New(cfg, listener, network, log)
	if err != nil {
		listener.Close()
		return err
	}
	return a.Run(ctx, reloads)
}

// Agent is one agent. It is created by New and serves while Run runs.
type Agent struct {
	cfg              *Config
	log              *slog.Logger
	loop             *loop
	discovery        *discoveryClient
	clientConns      *connLimiter
	server           *server
	peers            *peerLink    // nil: agents exchange no messages
	discoveryChanges chan *Config // another discovery address, set by operators
	discoveryAddr    string       // the address that operators set last, or the configured one

	handover        *handover.Handover // nil: the process is never replaced
	maxBackendConns int                // if no other process of the agent runs
	maxClientConns  int                // if no other process of the agent runs
	otherProcess    atomic.Bool        // whether another process of the agent runs
	operatorLimit   atomic.Int64       // concurrent requests, set by operators; 0: not set

	modeMu         sync.Mutex // guards the fields below
	modeController leave.Controller
	modeTimer      *time.Timer
	modeTimerArmed bool // whether modeTimer is running
}

// New returns an agent that does not run yet.
func New(cfg *Config, listener net.Listener, network Network, log *slog.Logger) (*Agent, error) {
	// Half of the sockets are for backends.
	maxBackendConns := (cfg.Sockets - reservedSockets) / 2
	eventLoop, err := newLoop(cfg, newBackendClient(network, &cfg.Settings, maxBackendConns, int64(cfg.MemoryMB)<<20/streamMemoryDivisor, log), log)
	if err != nil {
		return nil, err
	}
	onList := func(mode policy.ListMode, members []member) {
		eventLoop.send(input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	discovery := newDiscoveryClient(network, cfg.Discovery, cfg.Settings.Module.AskList, onList, log)
	// With the revision of a known list, discovery sends only the changes since then. The load on
	// discovery depends on the number of entries that it sends, and after a release all agents ask
	// at once.
	if cfg.knownList.Complete && len(cfg.knownList.Members) > 0 {
		discovery.revision = cfg.knownList.Revision
	}
	eventLoop.subscribe = discovery.requestWatch
	peers, err := openPeerLink(&cfg.Peers, network)
	if err != nil {
		return nil, err
	}
	if peers != nil {
		eventLoop.broadcast = peers.broadcast
	}
	// The application uses at most a third of the sockets for its requests. If the agent let it
	// keep more connections open, the idle ones could leave it no socket for its next request.
	maxClientConns := min(maxBackendConns, cfg.Sockets*3/10)
	a := &Agent{
		cfg: cfg, log: log, loop: eventLoop, discovery: discovery, clientConns: &connLimiter{Listener: listener, maxConns: maxClientConns},
		server: &server{loop: eventLoop, defaultMaxRequests: int64(maxClientConns - maxClientConns/8)}, discoveryChanges: make(chan *Config),
		discoveryAddr: cfg.Discovery, peers: peers, modeController: leave.Controller{SharedSocket: cfg.SharedSocket},
	}
	a.server.clientConns = a.clientConns
	a.server.maxRequests.Store(a.server.defaultMaxRequests)
	a.server.mode.Store(&leave.Mode{Ready: true, Accept: true})
	a.maxBackendConns, a.maxClientConns = maxBackendConns, maxClientConns
	if cfg.Handover != nil {
		a.handover = handover.New(cfg.Handover, handoverSide{a}, log)
		eventLoop.onHoldChange = a.handover.Tell
	}
	return a, nil
}

// Run serves until the context ends, then finishes the requests that it has accepted. It closes the
// listener.
func (a *Agent) Run(ctx context.Context, reloads <-chan *Config) error {
	cfg, eventLoop, handler := a.cfg, a.loop, a.server
	defer a.clientConns.Close()
	if cfg.OnStart != nil {
		cfg.OnStart(a)
	}
	// The workers outlive the context, because the agent finishes the requests it has accepted.
	workCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	var workers sync.WaitGroup
	eventLoop.ctx = workCtx
	workers.Go(func() { eventLoop.run(workCtx) })
	a.takeOverState(ctx)
	a.discovery.onList(policy.ListCached, cfg.knownList.Members)
	workers.Go(func() { a.discovery.run(workCtx, reloads, a.discoveryChanges) })
	if a.peers != nil {
		workers.Go(func() { a.peers.receiveLoop(workCtx, eventLoop) })
	}
	defer func() {
		stopWorkers()
		if a.peers != nil {
			a.peers.conn.Close()
		}
		if a.handover != nil {
			a.handover.Close()
		}
		workers.Wait()
		eventLoop.backends.Close()
	}()
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConn, ConnState: a.clientConns.trackState,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelWarn),
	}
	defer srv.Close() // closes the connections that Shutdown has left open
	a.awaitReady(ctx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(a.clientConns) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	a.changeMode(func(m *leave.Controller, now time.Duration) { m.Shutdown(now) })
	if cfg.SharedSocket { // the other processes accept new connections
		a.clientConns.Close()
		<-serveErr
		serveErr = nil
	}
	select {
	case err := <-serveErr:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(leave.AcceptGrace + modeCheckInterval):
	}
	a.clientConns.closeIdle()
	longestDeadline := shutdownSlack
	for _, c := range cfg.Settings.Module.Classes {
		longestDeadline = max(longestDeadline, c.Deadline+shutdownSlack)
	}
	shutdownCtx, cancel := context.WithTimeout(workCtx, longestDeadline)
	defer cancel()
	// A connection that has never carried a request would keep Shutdown from returning, so running
	// into the timeout is no error.
	if err := srv.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
