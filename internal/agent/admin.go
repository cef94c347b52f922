package agent

import (
	"context"
	"time"

	"example.org/micaline/internal/admin"
	"example.org/micaline/internal/leave"
	"example.org/micaline/policy"
)

// sweepIdle is how often connections are looked at that are to end.
const sweepIdle = 50 * time.Millisecond

// Ready says whether requests are served: there is a list, and the agent neither drains nor ends.
func (a *Agent) Ready() bool { return a.loop.ready.Load() && a.server.stance.Load().Ready }

// Figures are what operators' staff read.
func (a *Agent) Figures(ctx context.Context) (*admin.Figures, error) {
	l := a.loop
	f := &admin.Figures{Attempts: l.backends.written.Load(), InFlight: a.server.openRequests.Load() - a.server.coming.Load()}
	err := l.runInLoop(ctx, func() {
		for i, c := range l.counts.classes {
			f.Classes = append(f.Classes, admin.Class{Name: l.settings.Classes[i], Served: c.served, Refused: c.refused, Failed: c.failed})
		}
		f.Known = len(l.listedServers)
		avoided := map[policy.ServerID]bool{}
		for id, e := range l.listedServers {
			avoided[id] = l.effectiveEntry(e).State != policy.Ready
		}
		if v, ok := l.current.Decider.(observableDecider); ok {
			for _, s := range v.View(l.clock.now()) {
				if len(s.Ejected) == len(l.settings.Classes) {
					avoided[s.ID] = true
				}
			}
		}
		for id, out := range avoided {
			if _, listed := l.listedServers[id]; listed && out {
				f.Excluded++
			}
		}
	})
	return f, err
}

// SetDraining begins or ends a drain by hand: clients are to go elsewhere, and the process stays.
func (a *Agent) SetDraining(on bool) {
	a.log.Info("operators", "draining", on)
	a.changeStance(func(m *leave.Controller, now time.Duration) {
		if on {
			m.Drain(now)
		} else {
			m.Resume()
		}
	})
}

// changeStance takes in what is asked of the agent, and has the connections follow.
func (a *Agent) changeStance(f func(m *leave.Controller, now time.Duration)) {
	a.leaveMu.Lock()
	defer a.leaveMu.Unlock()
	f(&a.modeController, a.loop.clock.now())
	a.applyMode()
}

// follow brings the stance into force, as often as it changes by itself. The mutex is held.
func (a *Agent) applyMode() {
	s := a.modeController.ModeAt(a.loop.clock.now())
	a.server.stance.Store(&s)
	if s.CloseIdle {
		a.clientConns.closeIdle()
	}
	switch {
	case !s.CloseAfterAnswer || a.modeTimerArmed:
	case a.modeTimer == nil:
		a.modeTimerArmed = true
		a.modeTimer = time.AfterFunc(sweepIdle, func() {
			a.leaveMu.Lock()
			defer a.leaveMu.Unlock()
			a.modeTimerArmed = false
			a.applyMode()
		})
	default:
		a.modeTimerArmed = true
		a.modeTimer.Reset(sweepIdle)
	}
}
