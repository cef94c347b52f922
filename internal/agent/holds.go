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
	indefiniteHold = 100 * 365 * 24 * time.Hour // until it is called back
	// mostHolds bounds the backends that are held out at once, those that have left the list among them.
	mostHolds = 4096
	// oldNews is how long after its return discovery tells a backend's true start at the latest.
	oldNews = time.Minute
)

var errHolds = errors.New("too many backends are held out")

// Through what a backend is held out.
const (
	byControl      = "control"
	heldByOperator = "operator's call"
)

// held is what the modules are told of a backend: one that is held out drains, and one that was held out starts when it
// is let in, since it was out for a restart, unless discovery has told when that was. Danger: discovery tells late, and a
// cold backend that is taken for a warm one is pushed over.
func (l *loop) effectiveEntry(e policy.ServerEntry) policy.ServerEntry {
	if l.sites != nil {
		e = l.sites.entry(e)
	}
	switch h, said := l.holds[l.servers.names[e.ID]]; {
	case !said:
	case !h.Out && e.Start < h.From:
		e.Start = h.Since
	case !h.Out:
	case e.State == policy.Ready:
		e.State = policy.Draining
	}
	return e
}

// hold keeps a backend out for so long, or lets it in again if that is 0. It says whether the backend is known.
func (l *loop) setHold(ctx context.Context, backend string, d time.Duration, by string) (known bool, err error) {
	_, listed := l.servers.ids[backend]
	h, said := l.holds[backend]
	switch out := said && h.Out; {
	case !listed && !out:
		return false, nil
	case d > 0 && !said && len(l.holds) >= mostHolds:
		return true, errHolds
	case d == 0 && !out:
		return true, nil
	}
	now := l.clock.now()
	from := now
	if said && h.Out {
		from = h.From
	}
	l.say(ctx, backend, handover.Entry{Out: d > 0, Since: now, Until: now + min(d, indefiniteHold), From: from, By: by})
	l.log.Info("operators", "backend", backend, "held_for", d, "by", by)
	l.onHoldChange()
	return true, nil
}

// say notes the last that was said of a backend, and tells the modules.
func (l *loop) say(ctx context.Context, backend string, h handover.Entry) {
	l.holds[backend] = h
	id, listed := l.servers.ids[backend]
	if !listed {
		return
	}
	if t := l.targets[id]; t != nil {
		// Once it is out nothing is begun that only waits for its connection; once it is back its connections lead to the
		// process before.
		l.backends.Retire(t)
		l.targets[id] = l.backends.NewTarget(t.Addr, t.ProcessStart)
	}
	l.handleAll(ctx, policy.Event{Kind: policy.EventList, ListMode: policy.ListDelta, Servers: []policy.ServerEntry{l.effectiveEntry(l.listedServers[id])}})
}

// endHolds lets those in again whose time is over, and forgets those that have been in for long.
func (l *loop) endHolds(ctx context.Context) {
	now := l.clock.now()
	for name, h := range l.holds {
		if h.Out && now >= h.Until {
			l.say(ctx, name, handover.Entry{Since: now, From: h.From, By: h.By})
		}
	}
	l.holds.Forget(now - l.moduleSettings.WarmAfter - oldNews)
}

// Hold keeps a backend out for so long, or lets it in again if that is 0. Danger: what discovery says goes before it: a
// backend that drains gets nothing, whoever lets it in.
func (a *Agent) Hold(ctx context.Context, backend string, d time.Duration) (known bool, err error) {
	return a.holdBy(ctx, backend, d, byControl)
}

// Ban keeps a backend out until it is called back.
func (a *Agent) Ban(ctx context.Context, backend string, out bool) (known bool, err error) {
	d := time.Duration(0)
	if out {
		d = indefiniteHold
	}
	return a.holdBy(ctx, backend, d, heldByOperator)
}

func (a *Agent) holdBy(ctx context.Context, backend string, d time.Duration, by string) (known bool, err error) {
	var wrong error
	err = a.loop.runInLoop(ctx, func() { known, wrong = a.loop.setHold(context.WithoutCancel(ctx), backend, d, by) })
	return known, errors.Join(err, wrong)
}

// side is the agent's part in a handover.
type handoverSide struct{ *Agent }

// Known returns what operators have said.
func (s handoverSide) Known() (known handover.Register) {
	s.loop.withLock(func() { known = maps.Clone(s.loop.holds) })
	return known
}

// Learn takes in what operators have said to the other process.
func (s handoverSide) Learn(from handover.Register) {
	l := s.loop
	l.withLock(func() {
		changed := l.holds.Merge(from, mostHolds)
		slices.Sort(changed) // the same events have the same actions
		for _, name := range changed {
			l.say(l.ctx, name, l.holds[name])
		}
	})
}

// Beside has the agent use half of its room while there is another process.
func (s handoverSide) Beside(is bool) {
	s.log.Info("handover", "another_process", is)
	s.updateLimits(is)
}
