package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/exit"
	"example.org/micaline/internal/group"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/manage"
	"example.org/micaline/internal/operators"
)

const (
	manageDuty    = "manage" // name of the group's lease for managing the fleet
	leaseDuration = 3 * time.Second

	shutdownTimeout = time.Second // for requests in progress when the process ends
)

// managerProcess is this process, which manages the fleet alone or as a member of a group.
type managerProcess struct {
	log      *slog.Logger
	path     string
	settings *operators.Manager
	store    journal.Store
	options  manage.Options
}

// runStandalone runs a manager without a group until the context ends.
func (p *managerProcess) runStandalone(ctx context.Context) error {
	// The journal of a group member may be older than the state that the group has agreed on since.
	if name, grouped, err := group.JournalOwner(p.store); err != nil {
		return err
	} else if grouped {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: group.name: missing: the journal is that of %s, a member of a group", p.path, name)}
	}
	m, err := manage.New(p.options)
	if err != nil {
		return err
	}
	active := manage.NewActiveManager(nil)
	active.Set(m)
	return p.serve(ctx, active, nil, m.Run)
}

// runInGroup runs a group member, and a manager while this member holds the lease for it.
func (p *managerProcess) runInGroup(ctx context.Context) error {
	groupSettings := &p.settings.Group
	dialer, err := api.NewDialer(groupSettings.Access)
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: group.access.%w", p.path, err)}
	}
	defer dialer.Close()
	peers := map[string]group.Peer{}
	for i := range groupSettings.Member {
		peers[groupSettings.Member[i].Name] = group.NewPeer(dialer.At(groupSettings.Member[i].Address()))
	}
	node, err := group.NewNode(group.Options{Store: p.store, Name: groupSettings.Name, Buckets: manage.Buckets, Bootstrap: groupSettings.Found, Peers: peers, Log: p.log})
	if err != nil {
		return err
	}
	active := manage.NewActiveManager(func() string {
		for _, duty := range node.Duties().Duties {
			if duty.Name == manageDuty {
				holder, _, _ := strings.Cut(duty.Holder, "/")
				return holder
			}
		}
		return ""
	})
	return p.serve(ctx, active, node.Routes(), func(ctx context.Context) {
		// The lease is released before the node stops.
		nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
		var running sync.WaitGroup
		running.Go(func() { node.Run(nodeCtx) })
		node.Hold(ctx, manageDuty, leaseDuration, func(s *group.Grant) []byte {
			o := p.options
			o.Store, o.MayAct = s, s.IsValid
			m, err := manage.New(o)
			if err != nil {
				p.log.Error("the manager can't start", "error", err)
				return nil
			}
			active.Set(m)
			m.Run(s)
			active.Set(nil)
			return nil
		})
		stopNode()
		running.Wait()
	})
}

// serve serves the HTTP API and calls run, until the context ends or a listener fails. It then
// waits for run to return.
func (p *managerProcess) serve(ctx context.Context, active *manage.ActiveManager, routes map[string]group.Route, run func(context.Context)) error {
	listeners, err := p.settings.Interface.Open()
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: interface.%w", p.path, err)}
	}
	handlers, roles := map[string]http.HandlerFunc{}, map[string]api.Role{}
	for pattern, r := range routes {
		handlers[pattern], roles[pattern] = r.Handler, r.Role
	}
	server := manage.NewServer(active, &p.settings.Interface, handlers, roles)
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { failed <- server.Serve(l) }()
		p.log.Info("manager", "at", l.Addr().String())
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		run(ctx)
		close(ended)
	}()
	select {
	case err = <-failed:
		stop()
	case <-ctx.Done():
	}
	<-ended
	server.Shutdown(shutdownTimeout) // so that requests in progress are answered
	return err
}
