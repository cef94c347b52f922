package agent

import (
	"context"
	"time"

	"example.org/micaline/internal/admin"
	"example.org/micaline/internal/leave"
	"example.org/micaline/policy"
)

// modeCheckInterval is how often the mode is applied again while the agent drains or shuts down.
const modeCheckInterval = 50 * time.Millisecond

// Ready reports whether the agent serves requests: it has a list of backends, and neither drains
// nor shuts down.
func (a *Agent) Ready() bool { return a.loop.ready.Load() && a.server.mode.Load().Ready }

// Figures returns the counters that operators read.
func (a *Agent) Figures(ctx context.Context) (*admin.Figures, error) {
	l := a.loop
	figures := &admin.Figures{Attempts: l.backends.writtenAttempts.Load(), InFlight: a.server.openRequests.Load() - a.server.receivingBodies.Load()}
	err := l.runInLoop(ctx, func() {
		for i, c := range l.counts.classes {
			figures.Classes = append(figures.Classes, admin.Class{Name: l.settings.Classes[i], Served: c.served, Refused: c.refused, Failed: c.failed})
		}
		figures.Known = len(l.listedServers)
		excluded := map[policy.ServerID]bool{}
		for id, e := range l.listedServers {
			excluded[id] = l.effectiveEntry(e).State != policy.Ready
		}
		if decider, ok := l.current.Decider.(observableDecider); ok {
			for _, s := range decider.View(l.clock.now()) {
				if len(s.Ejected) == len(l.settings.Classes) {
					excluded[s.ID] = true
				}
			}
		}
		for id, isExcluded := range excluded {
			if _, listed := l.listedServers[id]; listed && isExcluded {
				figures.Excluded++
			}
		}
	})
	return figures, err
}

// SetDraining starts or ends a drain that operators request: clients are sent to other agents, and
// the process goes on running.
func (a *Agent) SetDraining(on bool) {
	a.log.Info("operators", "draining", on)
	a.changeMode(func(m *leave.Controller, now time.Duration) {
		if on {
			m.Drain(now)
		} else {
			m.Resume()
		}
	})
}

// changeMode changes the state of the mode controller, and applies the resulting mode.
func (a *Agent) changeMode(change func(m *leave.Controller, now time.Duration)) {
	a.modeMu.Lock()
	defer a.modeMu.Unlock()
	change(&a.modeController, a.loop.clock.now())
	a.applyMode()
}

// applyMode applies the current mode to the server and to idle connections. The mode changes with
// time during a drain or shutdown, so applyMode then runs again every modeCheckInterval. The caller
// holds modeMu.
func (a *Agent) applyMode() {
	mode := a.modeController.ModeAt(a.loop.clock.now())
	a.server.mode.Store(&mode)
	if mode.CloseIdle {
		a.clientConns.closeIdle()
	}
	switch {
	case !mode.CloseAfterAnswer || a.modeTimerArmed:
	case a.modeTimer == nil:
		a.modeTimerArmed = true
		a.modeTimer = time.AfterFunc(modeCheckInterval, func() {
			a.modeMu.Lock()
			defer a.modeMu.Unlock()
			a.modeTimerArmed = false
			a.applyMode()
		})
	default:
		a.modeTimerArmed = true
		a.modeTimer.Reset(modeCheckInterval)
	}
}
