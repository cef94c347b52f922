package agent

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/peers"
	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

// What the control interface shows and changes. All of it happens in the loop, between two inputs.

// mostShown is how many open requests are shown.
const mostShown = 1000

var errEnded = errors.New("the agent has ended")

// viewer is a Decider that shows what it makes of the backends.
type observableDecider interface {
	Pressure() float64
	View(now time.Duration) []policy.ServerView
}

// do calls a function between two inputs.
func (l *loop) runInLoop(ctx context.Context, f func()) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !l.withLock(f) {
		return errEnded
	}
	return nil
}

// Name is the agent's, the same after a restart.
func (a *Agent) Name() string { return a.cfg.Name }

// Base are the settings that the platform has configured.
func (a *Agent) Base() *settings.Settings { return &a.cfg.Settings }

// SetTaking says whether requests are taken. One that is not is refused, and told when to come back.
func (a *Agent) SetAccepting(on bool) {
	a.server.refuseAll.Store(!on)
	a.log.Info("operators", "taking", on)
}

// Apply puts a part of a document in force.
func (a *Agent) Apply(ctx context.Context, part string, d *document.Document) error {
	switch part {
	case document.PartService:
		return a.applyService(ctx, &d.Service)
	case document.PartSites:
		return a.applySites(ctx, d.Sites)
	case document.PartDecisions:
		return a.applyDecisions(ctx, d.PolicySettings(&a.cfg.Settings))
	}
	return fmt.Errorf("there is no part %q", part)
}

func (a *Agent) applyService(ctx context.Context, s *document.ServicePart) error {
	addr := a.cfg.Discovery
	if s.Discovery != nil {
		addr = *s.Discovery
	}
	if addr != a.followed {
		moved := *a.cfg
		moved.Discovery = addr
		select {
		case a.discoveryChanges <- &moved:
			a.followed = addr
		case <-a.loop.done:
			return errEnded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	a.operatorLimit.Store(0)
	if s.Requests != nil {
		a.operatorLimit.Store(int64(*s.Requests)) // more than the sockets bear is not to be had
	}
	a.updateLimits(a.otherProcess.Load())
	return nil
}

// applyDecisions has another module decide for new requests.
func (a *Agent) applyDecisions(ctx context.Context, s policy.Settings) error {
	next, err := peers.NewDecider(s, a.cfg.Seed+uint64(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	return a.loop.runInLoop(ctx, func() { a.loop.replace(context.WithoutCancel(ctx), next, s) })
}

// replace lets another module decide from now on. The one before finishes what it has.
func (l *loop) replace(ctx context.Context, d Decider, s policy.Settings) {
	old := l.current
	if old.retired = true; old.openRequests == 0 {
		l.modules = slices.DeleteFunc(l.modules, func(m *module) bool { return m == old })
	}
	l.current = &module{Decider: d}
	l.modules = append(l.modules, l.current)
	l.moduleSettings = s
	l.applyLevelLimits()
	var entries []policy.ServerEntry
	for _, e := range l.listedServers {
		entries = append(entries, l.effectiveEntry(e))
	}
	slices.SortFunc(entries, func(a, b policy.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	l.handle(ctx, l.current, policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: entries})
}

var phaseNames = [...]string{policy.Gone: "Gone", policy.Ready: "Ready", policy.Draining: "Terminating"}

var effectNames = [...]string{policy.Pure: "pure", policy.Keyed: "token", policy.SideEffect: "side_effect"}

// Look returns the present state.
func (a *Agent) State(ctx context.Context) (*control.State, error) {
	var s *control.State
	err := a.loop.runInLoop(ctx, func() { s = a.state() })
	return s, err
}

func (a *Agent) state() *control.State {
	l := a.loop
	now := l.clock.now()
	s := &control.State{Taking: !a.server.refuseAll.Load(), Held: len(l.requests), Backends: []control.Backend{}, Requests: []control.Request{}, Causes: []control.FailureCause{}}
	s.Service = control.RequestCounts{
		Requests: l.counts.requests, InAim: l.counts.inAim, Served: l.counts.served, Refused: l.counts.refused, Failed: l.counts.failed, Left: l.counts.clientGone,
	}
	own, part := l.lagMonitor.stats()
	s.Own = control.AgentDelay{Late: roundForDisplay(own.MeanDelay.Seconds()), Part: roundForDisplay(part), Worst: roundForDisplay(own.MaxDelay.Seconds()), Times: own.LateTicks}
	if b, ok := l.current.Decider.(observableDecider); ok {
		s.Pressure = b.Pressure()
		for _, v := range b.View(now) {
			s.Backends = append(s.Backends, a.backendState(&v, now))
		}
	}
	s.Classes, s.Accounts = make([]control.Class, len(l.settings.Classes)), make([]control.Account, len(l.settings.Tenants))
	for i, name := range l.settings.Classes {
		c := &l.moduleSettings.Classes[i]
		s.Classes[i] = control.Class{Name: name, Effect: effectNames[c.Effect], Aim: c.Aim.Seconds(), Deadline: c.Deadline.Seconds(), Worth: c.Worth}
	}
	for i, name := range l.settings.Tenants {
		s.Accounts[i] = control.Account{Name: name, Portion: l.moduleSettings.Tenants[i].Portion}
	}
	slices.SortFunc(s.Backends, func(x, y control.Backend) int { return cmp.Compare(x.Name, y.Name) })
	for _, r := range l.requests {
		if r.ended {
			continue
		}
		s.Classes[r.class].Open++
		shown := control.Request{
			Call: r.callID, Class: l.settings.Classes[r.class], Age: (now - r.startedAt).Seconds(), Left: (r.deadline - now).Seconds(),
			Attempts: len(r.attemptCancels), Out: r.inFlight,
		}
		if r.tenant < len(l.settings.Tenants) {
			shown.Account = l.settings.Tenants[r.tenant]
			s.Accounts[r.tenant].Open++
		}
		s.Requests = append(s.Requests, shown)
	}
	slices.SortFunc(s.Requests, func(x, y control.Request) int { return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.Call, y.Call)) })
	s.Requests = s.Requests[:min(len(s.Requests), mostShown)]
	for c, n := range l.counts.causes {
		answer := "failed"
		if c.refused {
			answer = "refused"
		}
		s.Causes = append(s.Causes, control.FailureCause{Answer: answer, Class: l.settings.Classes[c.class], Cause: c.reason, Count: n})
	}
	slices.SortFunc(s.Causes, func(x, y control.FailureCause) int {
		return cmp.Or(cmp.Compare(x.Answer, y.Answer), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Cause, y.Cause))
	})
	return s
}

// backend is one backend for people to read.
func (a *Agent) backendState(v *policy.ServerView, now time.Duration) control.Backend {
	l := a.loop
	b := control.Backend{
		Name: l.servers.names[v.ID], Phase: phaseNames[l.listedServers[v.ID].State], Speed: roundForDisplay(v.Speed), Warmth: roundForDisplay(v.WarmFraction),
		InFlight: v.InFlight, Silent: v.Overdue, Load: roundForDisplay(v.Outstanding), Full: roundForDisplay(v.AvoidedFor.Seconds()),
	}
	if t := l.targets[v.ID]; t != nil {
		b.Addr = t.Addr
	}
	if h := l.holds[b.Name]; h.Out {
		b.Held, b.HeldBy = roundForDisplay((h.Until - now).Seconds()), h.By
	}
	if v.ReportAge >= 0 {
		age := roundForDisplay(v.ReportAge.Seconds())
		b.ReportAge = &age
	}
	for _, e := range v.Ejected {
		b.Ejected = append(b.Ejected, control.Ejection{Class: l.settings.Classes[e.Class], For: roundForDisplay(e.Remaining.Seconds()), Times: e.Consecutive})
	}
	return b
}

// round leaves what a person reads.
func roundForDisplay(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return math.Round(v*1000) / 1000
}
