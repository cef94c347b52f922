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

// This file implements control.Instance, with which operators read and change the state of the
// agent. State of the event loop is accessed inside the loop, between two inputs.

// maxShownRequests bounds the number of open requests in a control.State.
const maxShownRequests = 1000

// errAgentEnded is the error of calls to an agent whose event loop has ended.
var errAgentEnded = errors.New("the agent has ended")

// observableDecider is a Decider that shows its internal state.
type observableDecider interface {
	Pressure() float64
	View(now time.Duration) []policy.ServerView
}

// runInLoop calls a function between two inputs of the loop. It returns the context's error, or
// errAgentEnded if the loop has ended, without calling the function.
func (l *loop) runInLoop(ctx context.Context, f func()) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !l.withLock(f) {
		return errAgentEnded
	}
	return nil
}

// Name returns the name of the agent, which stays the same after a restart.
func (a *Agent) Name() string { return a.cfg.Name }

// Base returns the settings that the platform has configured, without the changes of operators.
func (a *Agent) Base() *settings.Settings { return &a.cfg.Settings }

// SetAccepting sets whether requests are accepted. Otherwise they are refused with a Retry-After
// header.
func (a *Agent) SetAccepting(on bool) {
	a.server.refuseAll.Store(!on)
	a.log.Info("operators", "taking", on)
}

// Apply applies one part of an operators' document.
func (a *Agent) Apply(ctx context.Context, part string, d *document.Document) error {
	switch part {
	case document.PartService:
		return a.applyService(ctx, &d.Service)
	case document.PartSites:
		return a.applySites(ctx, d.Sites)
	case document.PartDecisions:
		return a.applyDecisions(ctx, d.PolicySettings(&a.cfg.Settings))
	}
	return fmt.Errorf("unknown document part %q", part)
}

// applyService applies the address of discovery and the limit of concurrent requests. Where the
// document leaves one of them out, the configured value is restored.
func (a *Agent) applyService(ctx context.Context, s *document.ServicePart) error {
	addr := a.cfg.Discovery
	if s.Discovery != nil {
		addr = *s.Discovery
	}
	if addr != a.discoveryAddr {
		updated := *a.cfg
		updated.Discovery = addr
		select {
		case a.discoveryChanges <- &updated:
			a.discoveryAddr = addr
		case <-a.loop.done:
			return errAgentEnded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	a.operatorLimit.Store(0)
	if s.Requests != nil {
		a.operatorLimit.Store(int64(*s.Requests)) // updateLimits caps this at what the sockets allow
	}
	a.updateLimits(a.otherProcess.Load())
	return nil
}

// applyDecisions creates a decision module with the given settings, which handles new requests.
func (a *Agent) applyDecisions(ctx context.Context, s policy.Settings) error {
	next, err := peers.NewDecider(s, a.cfg.Seed+uint64(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	return a.loop.runInLoop(ctx, func() { a.loop.replaceModule(context.WithoutCancel(ctx), next, s) })
}

// replaceModule makes another decision module handle new requests. The previous one finishes the
// requests that it has.
func (l *loop) replaceModule(ctx context.Context, decider Decider, decisions policy.Settings) {
	old := l.current
	if old.retired = true; old.openRequests == 0 {
		l.modules = slices.DeleteFunc(l.modules, func(m *module) bool { return m == old })
	}
	l.current = &module{Decider: decider}
	l.modules = append(l.modules, l.current)
	l.moduleSettings = decisions
	l.applyLevelLimits()
	var entries []policy.ServerEntry
	for _, e := range l.listedServers {
		entries = append(entries, l.effectiveEntry(e))
	}
	slices.SortFunc(entries, func(a, b policy.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	l.handle(ctx, l.current, policy.Event{Kind: policy.EventList, ListMode: policy.ListFull, Servers: entries})
}

// phaseNames are the phases of backends as discovery names them.
var phaseNames = [...]string{policy.Gone: "Gone", policy.Ready: "Ready", policy.Draining: "Terminating"}

// effectNames are the effects of classes as the settings name them.
var effectNames = [...]string{policy.Pure: "pure", policy.Keyed: "token", policy.SideEffect: "side_effect"}

// State returns the current state for operators.
func (a *Agent) State(ctx context.Context) (*control.State, error) {
	var state *control.State
	err := a.loop.runInLoop(ctx, func() { state = a.state() })
	return state, err
}

// state collects what State returns. It must be called inside the loop.
func (a *Agent) state() *control.State {
	l := a.loop
	now := l.clock.now()
	state := &control.State{Taking: !a.server.refuseAll.Load(), Held: len(l.requests), Backends: []control.Backend{}, Requests: []control.Request{}, Causes: []control.FailureCause{}}
	state.Service = control.RequestCounts{
		Requests: l.counts.requests, InAim: l.counts.inAim, Served: l.counts.served, Refused: l.counts.refused, Failed: l.counts.failed, Left: l.counts.clientGone,
	}
	delay, shareUsed := l.lagMonitor.stats()
	state.Own = control.AgentDelay{Late: roundForDisplay(delay.MeanDelay.Seconds()), Part: roundForDisplay(shareUsed), Worst: roundForDisplay(delay.MaxDelay.Seconds()), Times: delay.LateTicks}
	if decider, ok := l.current.Decider.(observableDecider); ok {
		state.Pressure = decider.Pressure()
		for _, view := range decider.View(now) {
			state.Backends = append(state.Backends, a.backendState(&view, now))
		}
	}
	state.Classes, state.Accounts = make([]control.Class, len(l.settings.Classes)), make([]control.Account, len(l.settings.Tenants))
	for i, name := range l.settings.Classes {
		c := &l.moduleSettings.Classes[i]
		state.Classes[i] = control.Class{Name: name, Effect: effectNames[c.Effect], Aim: c.Aim.Seconds(), Deadline: c.Deadline.Seconds(), Worth: c.Worth}
	}
	for i, name := range l.settings.Tenants {
		state.Accounts[i] = control.Account{Name: name, Portion: l.moduleSettings.Tenants[i].Portion}
	}
	slices.SortFunc(state.Backends, func(x, y control.Backend) int { return cmp.Compare(x.Name, y.Name) })
	for _, r := range l.requests {
		if r.ended {
			continue
		}
		state.Classes[r.class].Open++
		shown := control.Request{
			Call: r.callID, Class: l.settings.Classes[r.class], Age: (now - r.startedAt).Seconds(), Left: (r.deadline - now).Seconds(),
			Attempts: len(r.attemptCancels), Out: r.inFlight,
		}
		if r.tenant < len(l.settings.Tenants) {
			shown.Account = l.settings.Tenants[r.tenant]
			state.Accounts[r.tenant].Open++
		}
		state.Requests = append(state.Requests, shown)
	}
	slices.SortFunc(state.Requests, func(x, y control.Request) int { return cmp.Or(cmp.Compare(y.Age, x.Age), cmp.Compare(x.Call, y.Call)) })
	state.Requests = state.Requests[:min(len(state.Requests), maxShownRequests)]
	for key, count := range l.counts.causes {
		ending := "failed"
		if key.refused {
			ending = "refused"
		}
		state.Causes = append(state.Causes, control.FailureCause{Answer: ending, Class: l.settings.Classes[key.class], Cause: key.reason, Count: count})
	}
	slices.SortFunc(state.Causes, func(x, y control.FailureCause) int {
		return cmp.Or(cmp.Compare(x.Answer, y.Answer), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Cause, y.Cause))
	})
	return state
}

// backendState returns the state of one backend for operators.
func (a *Agent) backendState(view *policy.ServerView, now time.Duration) control.Backend {
	l := a.loop
	backend := control.Backend{
		Name: l.servers.names[view.ID], Phase: phaseNames[l.listedServers[view.ID].State], Speed: roundForDisplay(view.Speed), Warmth: roundForDisplay(view.WarmFraction),
		InFlight: view.InFlight, Silent: view.Overdue, Load: roundForDisplay(view.Outstanding), Full: roundForDisplay(view.AvoidedFor.Seconds()),
	}
	if target := l.targets[view.ID]; target != nil {
		backend.Addr = target.Addr
	}
	if hold := l.holds[backend.Name]; hold.Out {
		backend.Held, backend.HeldBy = roundForDisplay((hold.Until - now).Seconds()), hold.By
	}
	if view.ReportAge >= 0 {
		age := roundForDisplay(view.ReportAge.Seconds())
		backend.ReportAge = &age
	}
	for _, e := range view.Ejected {
		backend.Ejected = append(backend.Ejected, control.Ejection{Class: l.settings.Classes[e.Class], For: roundForDisplay(e.Remaining.Seconds()), Times: e.Consecutive})
	}
	return backend
}

// roundForDisplay rounds to three decimals. Values that JSON can't represent become 0.
func roundForDisplay(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return math.Round(v*1000) / 1000
}
