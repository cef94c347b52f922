package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"example.org/micaline/internal/handover"
	"example.org/micaline/policy"
)

const (
	indefiniteHold = 100 * 365 * 24 * time.Hour // until an operator ends the hold
	// maxHolds limits the number of holds, including those of backends that have left the list.
	maxHolds = 4096
	// maxStartReportDelay is how long after a backend's return discovery may take to report its
	// true start time.
	maxStartReportDelay = time.Minute
)

var errTooManyHolds = errors.New("too many backends are held out")

// Sources of a hold, as shown by the control interface.
const (
	heldByControl  = "control"
	heldByOperator = "operator's call"
)

// effectiveEntry returns the server entry that the modules get. A backend that is held out is
// draining. A backend that was held out counts as started when it was admitted again, because a
// hold usually covers a restart, unless discovery reports a start during or after the hold.
// Discovery reports starts late, and a cold backend that is taken for a warm one gets overloaded.
func (l *loop) effectiveEntry(e policy.ServerEntry) policy.ServerEntry {
	if l.sites != nil {
		e = l.sites.adjustEntry(e)
	}
	switch hold, found := l.holds[l.servers.names[e.ID]]; {
	case !found:
	case !hold.Out && e.Start < hold.From:
		e.Start = hold.Since
	case !hold.Out:
	case e.State == policy.Ready:
		e.State = policy.Draining
	}
	return e
}

// setHold holds a backend out for the given duration, or admits it again if the duration is 0. It
// reports whether the backend is known.
func (l *loop) setHold(ctx context.Context, backend string, duration time.Duration, source string) (known bool, err error) {
	_, listed := l.servers.ids[backend]
	previous, found := l.holds[backend]
	switch heldOut := found && previous.Out; {
	case !listed && !heldOut:
		return false, nil
	case duration > 0 && !found && len(l.holds) >= maxHolds:
		return true, errTooManyHolds
	case duration == 0 && !heldOut:
		return true, nil
	}
	now := l.clock.now()
	heldFrom := now
	if found && previous.Out {
		heldFrom = previous.From
	}
	l.applyHold(ctx, backend, handover.Entry{Out: duration > 0, Since: now, Until: now + min(duration, indefiniteHold), From: heldFrom, By: source})
	l.log.Info("operators", "backend", backend, "held_for", duration, "by", source)
	l.onHoldChange()
	return true, nil
}

// applyHold records the new hold state of a backend and passes its entry to the modules.
func (l *loop) applyHold(ctx context.Context, backend string, entry handover.Entry) {
	l.holds[backend] = entry
	id, listed := l.servers.ids[backend]
	if !listed {
		return
	}
	if target := l.targets[id]; target != nil {
		// Attempts that still wait for a connection must not be sent to a backend that is held out.
		// Connections from before a hold lead to the previous process once the backend is back.
		l.backends.Retire(target)
		l.targets[id] = l.backends.NewTarget(target.Addr, target.ProcessStart)
	}
	l.handleAll(ctx, policy.Event{Kind: policy.EventList, ListMode: policy.ListDelta, Servers: []policy.ServerEntry{l.effectiveEntry(l.listedServers[id])}})
}

// expireHolds admits backends whose hold has expired, and removes the state of backends that were
// admitted long ago.
func (l *loop) expireHolds(ctx context.Context) {
	now := l.clock.now()
	for backend, hold := range l.holds {
		if hold.Out && now >= hold.Until {
			l.applyHold(ctx, backend, handover.Entry{Since: now, From: hold.From, By: hold.By})
		}
	}
	l.holds.Forget(now - l.moduleSettings.WarmAfter - maxStartReportDelay)
}

// Hold holds a backend out for the given duration, or admits it again if the duration is 0. It does
// not override discovery: a backend that discovery reports as draining gets no requests.
func (a *Agent) Hold(ctx context.Context, backend string, duration time.Duration) (known bool, err error) {
	return a.setHold(ctx, backend, duration, heldByControl)
}

// Ban holds a backend out until it is called again with out set to false.
func (a *Agent) Ban(ctx context.Context, backend string, out bool) (known bool, err error) {
	duration := time.Duration(0)
	if out {
		duration = indefiniteHold
	}
	return a.setHold(ctx, backend, duration, heldByOperator)
}

// setHold runs loop.setHold in the loop.
func (a *Agent) setHold(ctx context.Context, backend string, duration time.Duration, source string) (known bool, err error) {
	var holdErr error
	err = a.loop.runInLoop(ctx, func() { known, holdErr = a.loop.setHold(context.WithoutCancel(ctx), backend, duration, source) })
	return known, errors.Join(err, holdErr)
}

// handoverSide is the agent's part in the handover between its old and its new process.
type handoverSide struct{ *Agent }

// Known returns the holds of this process.
func (s handoverSide) Known() (known handover.Register) {
	s.loop.withLock(func() { known = maps.Clone(s.loop.holds) })
	return known
}

// Learn merges the holds of the other process.
func (s handoverSide) Learn(remote handover.Register) {
	l := s.loop
	l.withLock(func() {
		changed := l.holds.Merge(remote, maxHolds)
		slices.Sort(changed) // keeps the order of actions deterministic
		for _, backend := range changed {
			l.applyHold(l.ctx, backend, l.holds[backend])
		}
	})
}

// Beside is told whether another process of the agent runs. The agent uses half of its resources
// while one does.
func (s handoverSide) Beside(otherRuns bool) {
	s.log.Info("handover", "another_process", otherRuns)
	s.updateLimits(otherRuns)
}
