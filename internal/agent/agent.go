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
	streamMemoryDivisor = 4
	shutdownSlack       = 100 * time.Millisecond
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
	clientConns      *admission
	server           *server
	peers            *chatter     // nil: there is no talk among agents
	discoveryChanges chan *Config // to another discovery, by operators
	discoveryAddr    string       // the discovery that they have moved to last

	handover        *handover.Handover // nil: the process is never replaced
	maxBackendConns int                // of the sockets, for backends
	maxClientConns  int                // connections of clients
	otherProcess    atomic.Bool        // another process of the agent runs
	operatorLimit   atomic.Int64       // requests held at once, by operators; 0: they say nothing

	modeMu         sync.Mutex // guards what follows
	modeController leave.Controller
	modeTimer      *time.Timer
	modeTimerArmed bool // the sweep is to come
}

// New returns an agent that is not running yet.
func New(cfg *Config, listener net.Listener, network Network, log *slog.Logger) (*Agent, error) {
	// Half of the sockets is for backends.
	maxBackendConns := (cfg.Sockets - reservedSockets) / 2
	eventLoop, err := newLoop(cfg, newBackendClient(network, &cfg.Settings, maxBackendConns, int64(cfg.MemoryMB)<<20/streamMemoryDivisor, log), log)
	if err != nil {
		return nil, err
	}
	onList := func(mode policy.ListMode, members []member) {
		eventLoop.send(input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	watcher := newDiscovery(network, cfg.Discovery, cfg.Settings.Module.AskList, onList, log)
	// Danger: discovery's work is the lines that it sends, and after a release all agents ask at once.
	if cfg.knownList.Complete && len(cfg.knownList.Members) > 0 {
		watcher.revision = cfg.knownList.Revision
	}
	eventLoop.follow = watcher.requestWatch
	peers, err := openPeers(&cfg.Peers, network)
	if err != nil {
		return nil, err
	}
	if peers != nil {
		eventLoop.tell = peers.tell
	}
	// Danger: the application holds a third of the sockets at most for its requests. Were there room for more, those
	// that it has used once and keeps would leave it none for the next request.
	maxClientConns := min(maxBackendConns, cfg.Sockets*3/10)
	a := &Agent{
		cfg: cfg, log: log, loop: eventLoop, discovery: watcher, clientConns: &admission{Listener: listener, most: maxClientConns},
		server: &server{loop: eventLoop, defaultMaxRequests: int64(maxClientConns - maxClientConns/8)}, discoveryChanges: make(chan *Config),
		discoveryAddr: cfg.Discovery, peers: peers, modeController: leave.Controller{SharedSocket: cfg.SharedSocket},
	}
	a.server.clientConns = a.clientConns
	a.server.maxRequests.Store(a.server.defaultMaxRequests)
	a.server.mode.Store(&leave.Mode{Ready: true, Accept: true})
	a.maxBackendConns, a.maxClientConns = maxBackendConns, maxClientConns
	if cfg.Handover != nil {
		a.handover = handover.New(cfg.Handover, side{a}, log)
		eventLoop.said = a.handover.Tell
	}
	return a, nil
}

// Run serves until the context ends, then finishes what it has taken. It closes the listener.
func (a *Agent) Run(ctx context.Context, reloads <-chan *Config) error {
	cfg, eventLoop, handler := a.cfg, a.loop, a.server
	defer a.clientConns.Close()
	if cfg.OnStart != nil {
		cfg.OnStart(a)
	}
	// What the agent has taken it finishes, so its workers outlive the context.
	workCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	var workers sync.WaitGroup
	eventLoop.ctx = workCtx
	workers.Go(func() { eventLoop.run(workCtx) })
	a.takeOverState(ctx)
	a.discovery.onList(policy.ListCached, cfg.knownList.Members)
	workers.Go(func() { a.discovery.run(workCtx, reloads, a.discoveryChanges) })
	if a.peers != nil {
		workers.Go(func() { a.peers.hear(workCtx, eventLoop) })
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
		ConnContext: withConn, ConnState: a.clientConns.noteState,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelWarn),
	}
	defer srv.Close() // what outlasts Shutdown
	a.awaitReady(ctx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(a.clientConns) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	a.changeMode(func(m *leave.Controller, now time.Duration) { m.Shutdown(now) })
	if cfg.SharedSocket { // who else accepts is there for new connections
		a.clientConns.Close()
		<-serveErr
		serveErr = nil
	}
	select {
	case err := <-serveErr:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(leave.AcceptGrace + modeCheckInterval):
	}
	a.clientConns.endIdle()
	longestDeadline := shutdownSlack
	for _, c := range cfg.Settings.Module.Classes {
		longestDeadline = max(longestDeadline, c.Deadline+shutdownSlack)
	}
	shutdownCtx, cancel := context.WithTimeout(workCtx, longestDeadline)
	defer cancel()
	// A connection that was opened and never used would keep Shutdown from returning.
	if err := srv.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
