package agent

import (
	"context"
	"errors"
	"maps"
	"time"

	"example.org/micaline/policy"
)

const (
	forGood = 100 * 365 * 24 * time.Hour // until it is called back
	// mostHolds bounds the backends that are held out at once, those that have left the list among them.
	mostHolds = 4096
)

var errHolds = errors.New("too many backends are held out")

// Through what a backend is held out.
const (
	byControl  = "control"
	byOperator = "operator's call"
)

// heldOut is that operators keep a backend out.
type heldOut struct {
	until time.Duration // of the clock
	by    string
}

// holds are the backends that operators keep out, by name: a backend that leaves the list and comes back is still the
// one that they mean.
type holds struct {
	out  map[string]heldOut
	back map[string]time.Duration // of the clock: since when one is in again that was held out
}

// held is what the modules are told of a backend: one that is held out drains, and one that was held out starts when it
// is let in, since it was out for a restart. Danger: discovery tells of that late, and a cold backend that is taken for a
// warm one is pushed over.
func (l *loop) held(e policy.ServerEntry) policy.ServerEntry {
	name := l.servers.names[e.ID]
	if _, out := l.holds.out[name]; out && e.State == policy.Ready {
		e.State = policy.Draining
	}
	e.Start = max(e.Start, l.holds.back[name])
	return e
}

// hold keeps a backend out for so long, or lets it in again if that is 0. It says whether the backend is known.
func (l *loop) hold(ctx context.Context, backend string, d time.Duration, by string) (known bool, err error) {
	id, listed := l.servers.ids[backend]
	_, out := l.holds.out[backend]
	switch {
	case !listed && !out:
		return false, nil
	case d > 0 && !out && len(l.holds.out) >= mostHolds:
		return true, errHolds
	case d > 0:
		l.holds.out[backend] = heldOut{l.clock.now() + min(d, forGood), by}
	case out:
		l.letIn(backend)
	}
	l.log.Info("operators", "backend", backend, "held_for", d, "by", by)
	if listed {
		l.tellHold(ctx, id)
	}
	return true, nil
}

// letIn ends a hold.
func (l *loop) letIn(backend string) {
	now := l.clock.now()
	delete(l.holds.out, backend)
	maps.DeleteFunc(l.holds.back, func(_ string, since time.Duration) bool {
		return now-since > l.decisions.WarmAfter+time.Minute // discovery has told of its start by now
	})
	l.holds.back[backend] = now
	id, listed := l.servers.ids[backend]
	if t := l.targets[id]; listed && t != nil { // its connections lead to the process before
		l.pool.retire(t)
		l.targets[id] = l.pool.target(t.addr, t.start)
	}
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
		d = forGood
	}
	return a.holdBy(ctx, backend, d, byOperator)
}

func (a *Agent) holdBy(ctx context.Context, backend string, d time.Duration, by string) (known bool, err error) {
	var wrong error
	err = a.loop.do(ctx, func() { known, wrong = a.loop.hold(context.WithoutCancel(ctx), backend, d, by) })
	return known, errors.Join(err, wrong)
}

// tellHold tells the modules that a backend is held out, or no longer.
func (l *loop) tellHold(ctx context.Context, id policy.ServerID) {
	if e, ok := l.listed[id]; ok {
		l.handleAll(ctx, policy.Event{Kind: policy.EventList, ListMode: policy.ListDelta, Servers: []policy.ServerEntry{l.held(e)}})
	}
}

// endHolds lets those in again whose time is over.
func (l *loop) endHolds(ctx context.Context) {
	for name, h := range l.holds.out {
		if l.clock.now() >= h.until {
			l.letIn(name)
			if id, listed := l.servers.ids[name]; listed {
				l.tellHold(ctx, id)
			}
		}
	}
}
