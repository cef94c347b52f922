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

// managing is the duty of managing the fleet, and term for how long it is granted.
const (
	managing = "manage"
	term     = 3 * time.Second

	answerWithin = time.Second // what is in hand when the process ends
)

// crew is this process, which manages alone or as one of a group.
type crew struct {
	log      *slog.Logger
	path     string
	settings *operators.Manager
	store    journal.Store
	options  manage.Options
}

// alone manages until the context ends.
func (c *crew) alone(ctx context.Context) error {
	// Danger: what it has may be older than what the others have agreed on since.
	if name, grouped, err := group.JournalOwner(c.store); err != nil {
		return err
	} else if grouped {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: group.name: missing: the journal is that of %s, a member of a group", c.path, name)}
	}
	m, err := manage.New(c.options)
	if err != nil {
		return err
	}
	desk := manage.NewActiveManager(nil)
	desk.Set(m)
	return c.serve(ctx, desk, nil, m.Run)
}

// together takes part in a group, and manages whenever it grants that.
func (c *crew) together(ctx context.Context) error {
	g := &c.settings.Group
	d, err := api.NewDialer(g.Access)
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: group.access.%w", c.path, err)}
	}
	defer d.Close()
	peers := map[string]group.Peer{}
	for i := range g.Member {
		peers[g.Member[i].Name] = group.NewPeer(d.At(g.Member[i].Address()))
	}
	node, err := group.NewNode(group.Options{Store: c.store, Name: g.Name, Buckets: manage.Buckets, Bootstrap: g.Found, Peers: peers, Log: c.log})
	if err != nil {
		return err
	}
	desk := manage.NewActiveManager(func() string {
		for _, d := range node.Duties().Duties {
			if d.Name == managing {
				who, _, _ := strings.Cut(d.Holder, "/")
				return who
			}
		}
		return ""
	})
	return c.serve(ctx, desk, node.Routes(), func(ctx context.Context) {
		// The duty is handed on before the node ends.
		part, end := context.WithCancel(context.WithoutCancel(ctx))
		var running sync.WaitGroup
		running.Go(func() { node.Run(part) })
		node.Hold(ctx, managing, term, func(s *group.Grant) []byte {
			o := c.options
			o.Store, o.MayAct = s, s.IsValid
			m, err := manage.New(o)
			if err != nil {
				c.log.Error("can't manage", "error", err)
				return nil
			}
			desk.Set(m)
			m.Run(s)
			desk.Set(nil)
			return nil
		})
		end()
		running.Wait()
	})
}

// serve serves the interface while the work goes on, until the context ends.
func (c *crew) serve(ctx context.Context, desk *manage.ActiveManager, routes map[string]group.Route, work func(context.Context)) error {
	listeners, err := c.settings.Interface.Open()
	if err != nil {
		return &exit.Error{Code: 2, Err: fmt.Errorf("%s: interface.%w", c.path, err)}
	}
	more, roles := map[string]http.HandlerFunc{}, map[string]api.Role{}
	for pattern, r := range routes {
		more[pattern], roles[pattern] = r.Handler, r.Role
	}
	server := manage.NewServer(desk, &c.settings.Interface, more, roles)
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { failed <- server.Serve(l) }()
		c.log.Info("manager", "at", l.Addr().String())
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan struct{})
	go func() {
		work(ctx)
		close(ended)
	}()
	select {
	case err = <-failed:
		stop()
	case <-ctx.Done():
	}
	<-ended
	server.Shutdown(answerWithin) // an order that has been taken is answered so
	return err
}
