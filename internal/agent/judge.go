package agent

import (
	"context"
	"fmt"
	"time"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/level"
	"example.org/micaline/policy"
)

// judge is the order in which a request is judged before the decision module sees it: the level of reduced service. What is
// refused here is refused at once and by name; nothing has been sent for it, so trying again is harmless whatever its
// class. The module alone places, retries and sheds what is let through.
func (l *loop) judge(r *request) (a answer, refused bool) {
	if l.levels == nil {
		return answer{}, false
	}
	no := l.levels.Admit(l.clock.now(), r.class, r.tenant, r.message.size())
	if no == nil {
		return answer{}, false
	}
	l.counts.byLevel++
	r.refusedBy = "level " + no.Level + ": " + no.Reason
	return answer{status: statusRefused, retryAfter: no.RetryAfter, contentType: "text/plain", body: []byte("refused by " + r.refusedBy + "\n")}, true
}

// allower is a Decider that can be told what it may do.
type allower interface {
	Allow(maxAttempts int, secondCopies, probes bool)
}

// lookAtLevel shows the levels what has been measured since the last look.
func (l *loop) lookAtLevel() {
	now := l.clock.now()
	f := level.Sample{Pressure: -1, ListAge: now - l.heard}
	c, before := &l.counts, &l.looked
	f.Completed = int(c.served + c.refused + c.failed - c.byLevel - (before.served + before.refused + before.failed - before.byLevel))
	f.InAim = int(c.inAim - before.inAim)
	f.Refused = int(c.refused - c.byLevel - (before.refused - before.byLevel))
	f.Shed = int(c.byLevel - before.byLevel)
	l.looked = *c
	_, f.AgentLateness = l.lagMonitor.stats()
	if l.sites != nil {
		f.WithdrawnSites = l.sites.WithdrawnShare()
	}
	if v, ok := l.current.Decider.(observableDecider); ok {
		f.Pressure = v.Pressure()
		for _, s := range v.View(now) {
			if s.State != policy.Ready {
				continue
			}
			if f.Backends++; len(s.Ejected) > 0 {
				f.Ejected++
			}
		}
	}
	l.levelChanged(l.levels.Update(now, f))
}

// levelChanged carries out a change of level, if there is one.
func (l *loop) levelChanged(c *level.Change) {
	if c == nil {
		return
	}
	l.log.Warn("level of service", "from", c.From, "to", c.To, "why", c.Reason)
	l.applyLevelLimits()
}

// allow tells the decision module what the level leaves it.
func (l *loop) applyLevelLimits() {
	m, ok := l.current.Decider.(allower)
	if l.levels == nil || !ok {
		return
	}
	may, attempts := l.levels.Allowed(), l.moduleSettings.MaxAttempts
	if !may.Retries {
		attempts = 1
	}
	m.Allow(attempts, may.Hedges && l.moduleSettings.SecondCopies, may.Probes && l.moduleSettings.Probes)
}

// Level returns the level of service; nil where there are none.
func (a *Agent) Level(ctx context.Context) (*control.Level, error) {
	var v *control.Level
	err := a.loop.runInLoop(ctx, func() {
		if a.loop.levels != nil {
			v = a.loop.shownLevel()
		}
	})
	return v, err
}

// HoldLevel keeps a level of service for so long, or lets the figures decide again if that is 0.
func (a *Agent) HoldLevel(ctx context.Context, name string, d time.Duration, why string) (v *control.Level, err error) {
	l := a.loop
	var wrong error
	err = l.runInLoop(ctx, func() {
		if l.levels == nil {
			return
		}
		var c *level.Change
		if d == 0 {
			c = l.levels.Release(l.clock.now())
		} else if c, wrong = l.levels.Hold(l.clock.now(), name, d, why); wrong != nil {
			return
		}
		l.levelChanged(c)
		v = l.shownLevel()
	})
	if wrong != nil {
		return nil, fmt.Errorf("level: %w", wrong)
	}
	return v, err
}

// shownLevel is the level for people to read.
func (l *loop) shownLevel() *control.Level {
	now, v := l.clock.now(), l.levels.Status()
	s := &control.Level{
		Level: v.Level, Levels: v.Levels, For: roundForDisplay((now - v.Since).Seconds()), Dwell: v.MinDwell.Seconds(), Figures: v.Readings,
		Refusals: []control.LevelRefusal{}, History: []control.LevelChange{},
	}
	if v.HeldUntil > now {
		s.Held = roundForDisplay((v.HeldUntil - now).Seconds())
	}
	for _, r := range v.Refusals {
		s.Refusals = append(s.Refusals, control.LevelRefusal{Level: r.Level, Why: r.Reason, Count: r.Count})
	}
	for i := len(v.History) - 1; i >= 0; i-- { // the newest first
		c := &v.History[i]
		s.History = append(s.History, control.LevelChange{At: time.Unix(0, int64(c.At)).UTC(), From: c.From, To: c.To, Why: c.Reason})
	}
	return s
}
