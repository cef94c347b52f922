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
	"time"

	"example.org/micaline/policy"
)

const (
	// reservedSockets is for the descriptors that are neither clients' nor backends': the standard streams, the
	// listener, the runtime's poller, discovery, and connections that are just being closed.
	reservedSockets = 32
	// requestTimeout is how long a client may take to send a request, from its first byte, or from when it connected.
	requestTimeout = 2500 * time.Millisecond
	// idleClients is how long a client's connection may be without a request. Danger: clients that ask once and keep
	// their connection would use up the sockets.
	idleClients = 2500 * time.Millisecond
	// answerShare is the part of the memory that large answers may hold while they are on their way.
	answerShare = 8
	// leaveAfter is how long an agent that is to stop goes on accepting: its client goes on connecting.
	leaveAfter = 550 * time.Millisecond
	leaveSlack = 100 * time.Millisecond
)

// Run serves until the context ends, then finishes what it has taken and returns nil. Of a configuration that is
// reloaded it takes discovery's address.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	return Serve(ctx, cfg, reloads, listener, TCP{}, log)
}

// Serve is Run on a listener and a network of the caller's. It closes the listener.
func Serve(ctx context.Context, cfg *Config, reloads <-chan *Config, listener net.Listener, network Network, log *slog.Logger) error {
	defer listener.Close()
	// Half of the sockets is for backends.
	half := (cfg.Sockets - reservedSockets) / 2
	l, err := newLoop(cfg, newPool(network, &cfg.Settings, half, int64(cfg.MemoryMB)<<20/answerShare), log)
	if err != nil {
		return err
	}
	// What the agent has taken it finishes, so its workers outlive the context.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tell := func(mode policy.ListMode, members []member) {
		l.send(input{event: policy.Event{Kind: policy.EventList, ListMode: mode}, members: members})
	}
	d := newDiscovery(network, cfg.Discovery, cfg.Settings.Module.AskList, tell, log)
	l.follow = d.asked
	var workers sync.WaitGroup
	workers.Go(func() { l.run(work) })
	tell(policy.ListCached, cfg.known.Members)
	workers.Go(func() { d.run(work, reloads) })
	defer func() {
		stop()
		workers.Wait()
		l.pool.close()
	}()

	// Danger: the application holds a third of the sockets at most for its requests. Were there room for more, those
	// that it has used once and keeps would leave it none for the next request.
	room := min(half, cfg.Sockets*3/10)
	clients := &admission{Listener: listener, most: room}
	handler := &server{loop: l, clients: clients, most: int64(room - room/8)}
	srv := &http.Server{
		Handler: handler, ReadTimeout: requestTimeout, IdleTimeout: idleClients, MaxHeaderBytes: maxHeader,
		ConnContext: withConn, ConnState: clients.noteState,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	defer srv.Close() // what outlasts Shutdown
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(clients) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	handler.leaving.Store(true)
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(leaveAfter):
	}
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
