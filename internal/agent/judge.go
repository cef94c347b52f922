package agent

import (
	"context"
	"fmt"
	"time"

	"example.org/micaline/internal/control"
	"example.org/micaline/internal/level"
	"example.org/micaline/policy"
)

// checkLevel applies the current service level to a request before the decision module handles it.
// A refusal is sent at once and names the level. Nothing has been sent to a backend then, so a
// retry is safe for any class. Routing, retries and load shedding of the admitted requests are up
// to the module.
func (l *loop) checkLevel(r *request) (a answer, refused bool) {
	if l.levelController == nil {
		return answer{}, false
	}
	rejection := l.levelController.Admit(l.clock.now(), r.class, r.tenant, r.message.size())
	if rejection == nil {
		return answer{}, false
	}
	l.counts.refusedByLevel++
	r.refusalReason = "level " + rejection.Level + ": " + rejection.Reason
	return answer{status: statusRefused, retryAfter: rejection.RetryAfter, contentType: "text/plain", body: []byte("refused by " + r.refusalReason + "\n")}, true
}

// featureLimiter is a Decider whose retries, second copies and probes can be limited.
type featureLimiter interface {
	Allow(maxAttempts int, secondCopies, probes bool)
}

// updateLevel passes the measurements since the previous update to the level controller, and
// applies the resulting change.
func (l *loop) updateLevel() {
	now := l.clock.now()
	sample := level.Sample{Pressure: -1, ListAge: now - l.listReceivedAt}
	total, previous := &l.counts, &l.lastLevelCounts
	sample.Completed = int(total.served + total.refused + total.failed - total.refusedByLevel - (previous.served + previous.refused + previous.failed - previous.refusedByLevel))
	sample.InAim = int(total.inAim - previous.inAim)
	sample.Refused = int(total.refused - total.refusedByLevel - (previous.refused - previous.refusedByLevel))
	sample.Shed = int(total.refusedByLevel - previous.refusedByLevel)
	l.lastLevelCounts = *total
	_, sample.AgentLateness = l.lagMonitor.stats()
	if l.sites != nil {
		sample.WithdrawnSites = l.sites.WithdrawnShare()
	}
	if v, ok := l.current.Decider.(observableDecider); ok {
		sample.Pressure = v.Pressure()
		for _, s := range v.View(now) {
			if s.State != policy.Ready {
				continue
			}
			if sample.Backends++; len(s.Ejected) > 0 {
				sample.Ejected++
			}
		}
	}
	l.applyLevelChange(l.levelController.Update(now, sample))
}

// applyLevelChange logs and applies a change of the service level. A nil change means none.
func (l *loop) applyLevelChange(change *level.Change) {
	if change == nil {
		return
	}
	l.log.Warn("service level changed", "from", change.From, "to", change.To, "why", change.Reason)
	l.applyLevelLimits()
}

// applyLevelLimits tells the current decision module what the service level allows.
func (l *loop) applyLevelLimits() {
	limiter, ok := l.current.Decider.(featureLimiter)
	if l.levelController == nil || !ok {
		return
	}
	allowed, maxAttempts := l.levelController.Allowed(), l.moduleSettings.MaxAttempts
	if !allowed.Retries {
		maxAttempts = 1
	}
	limiter.Allow(maxAttempts, allowed.Hedges && l.moduleSettings.SecondCopies, allowed.Probes && l.moduleSettings.Probes)
}

// Level returns the current service level, or nil if no levels are configured.
func (a *Agent) Level(ctx context.Context) (*control.Level, error) {
	var status *control.Level
	err := a.loop.runInLoop(ctx, func() {
		if a.loop.levelController != nil {
			status = a.loop.levelStatus()
		}
	})
	return status, err
}

// HoldLevel holds the named service level for the given duration, or ends the hold if the duration
// is 0. It returns nil if no levels are configured.
func (a *Agent) HoldLevel(ctx context.Context, name string, duration time.Duration, reason string) (status *control.Level, err error) {
	l := a.loop
	var holdErr error
	err = l.runInLoop(ctx, func() {
		if l.levelController == nil {
			return
		}
		var change *level.Change
		if duration == 0 {
			change = l.levelController.Release(l.clock.now())
		} else if change, holdErr = l.levelController.Hold(l.clock.now(), name, duration, reason); holdErr != nil {
			return
		}
		l.applyLevelChange(change)
		status = l.levelStatus()
	})
	if holdErr != nil {
		return nil, fmt.Errorf("level: %w", holdErr)
	}
	return status, err
}

// levelStatus returns the service level for the control interface.
func (l *loop) levelStatus() *control.Level {
	now, status := l.clock.now(), l.levelController.Status()
	shown := &control.Level{
		Level: status.Level, Levels: status.Levels, For: roundForDisplay((now - status.Since).Seconds()), Dwell: status.MinDwell.Seconds(), Figures: status.Readings,
		Refusals: []control.LevelRefusal{}, History: []control.LevelChange{},
	}
	if status.HeldUntil > now {
		shown.Held = roundForDisplay((status.HeldUntil - now).Seconds())
	}
	for _, refusal := range status.Refusals {
		shown.Refusals = append(shown.Refusals, control.LevelRefusal{Level: refusal.Level, Why: refusal.Reason, Count: refusal.Count})
	}
	for i := len(status.History) - 1; i >= 0; i-- { // newest first
		change := &status.History[i]
		shown.History = append(shown.History, control.LevelChange{At: time.Unix(0, int64(change.At)).UTC(), From: change.From, To: change.To, Why: change.Reason})
	}
	return shown
}
