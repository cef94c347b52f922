package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/outbound"
)

const (
	leaveNotice   = 2200 * time.Millisecond // at most, until clients have missed two calls for readiness
	leaveSettle   = 200 * time.Millisecond  // for what clients sent before they knew
	readinessGap  = 500 * time.Millisecond  // least time between two calls of the platform
	missesToLeave = 2                       // calls for readiness that keep clients away
)

// refusals are the platform's calls for readiness that were refused since the process was told to
// end. The zero value is ready.
type refusals struct {
	mu    sync.Mutex
	count int
	last  time.Time
}

// note takes in a call. Calls that come close together are one: others may ask, too.
func (r *refusals) note(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < missesToLeave && (r.count == 0 || now.Sub(r.last) >= readinessGap) {
		r.count++
		r.last = now
	}
}

// away says whether clients have been kept away by now, and what they had sent has come.
func (r *refusals) away(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count >= missesToLeave && now.Sub(r.last) >= leaveSettle
}

// leave ends the process in order: clients are told by readiness first, which takes two missed calls,
// and other agents by the station; what comes meanwhile is served by the schedule, and what is in
// hand is ended. It ends at once when nothing is in hand and clients have been kept away.
func (a *Agent) leave(out *http.Server) {
	began := time.Now()
	a.log.Info("agent told to end")
	a.went.Store(true)
	a.news()
	schedule := outbound.NewShutdownSchedule(began, a.set.Bounds.Grace)
	a.sender.BeginShutdown(schedule)
	closing := time.AfterFunc(time.Until(schedule.AcceptUntil), a.host.StopAccepting)
	defer closing.Stop()
	for now := began; now.Before(schedule.DrainedBy) && !a.mayEnd(now, began); now = time.Now() {
		time.Sleep(50 * time.Millisecond)
	}
	a.host.StopAccepting()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ExitBy)
	defer cancel()
	out.Shutdown(ctx)
	for time.Now().Before(schedule.DrainedBy) && a.host.Outstanding() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	a.log.WithField("after", time.Since(began).Round(time.Millisecond).String()).Info("agent ended")
}

// mayEnd says whether a process that was told to end at a time has nothing to wait for any more.
func (a *Agent) mayEnd(now, told time.Time) bool {
	known := now.Sub(told) >= leaveNotice || a.refused.away(now)
	return known && a.sender.InFlight() == 0 && a.host.Outstanding() == 0
}
