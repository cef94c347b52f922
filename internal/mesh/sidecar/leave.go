package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/outbound"
)

const (
	maxNoticeTime    = 2200 * time.Millisecond // limit of the wait for refused checks
	settleTime       = 200 * time.Millisecond  // for requests that are still arriving
	minCheckInterval = 500 * time.Millisecond  // checks in quicker succession count as one
	requiredRefusals = 2                       // after which the platform routes clients elsewhere
)

// refusalTracker counts the platform's readiness checks that were refused during shutdown. The zero
// value is ready for use.
type refusalTracker struct {
	mu    sync.Mutex
	count int
	last  time.Time
}

// record counts a refused check. Checks in quick succession count as one, because other clients
// than the platform may check too.
func (r *refusalTracker) record(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < requiredRefusals && (r.count == 0 || now.Sub(r.last) >= minCheckInterval) {
		r.count++
		r.last = now
	}
}

// clientsAway reports whether clients are routed elsewhere and their last requests have arrived.
func (r *refusalTracker) clientsAway(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count >= requiredRefusals && now.Sub(r.last) >= settleTime
}

// shutDown performs a graceful shutdown. Clients learn of it through readiness, which takes two
// refused checks, and other agents through the station. Requests that arrive meanwhile are served
// according to the schedule, and requests in flight are completed. The shutdown finishes early once
// clients are routed elsewhere and nothing is in flight.
func (a *Agent) shutDown(clientServer *http.Server) {
	startedAt := time.Now()
	a.log.Info("agent shutting down")
	a.stopping.Store(true)
	a.queuePublish()
	schedule := outbound.NewShutdownSchedule(startedAt, a.settings.Bounds.Grace)
	a.sender.BeginShutdown(schedule)
	acceptTimer := time.AfterFunc(time.Until(schedule.AcceptUntil), a.host.StopAccepting)
	defer acceptTimer.Stop()
	for now := startedAt; now.Before(schedule.DrainedBy) && !a.canExit(now, startedAt); now = time.Now() {
		time.Sleep(50 * time.Millisecond)
	}
	a.host.StopAccepting()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.ExitBy)
	defer cancel()
	clientServer.Shutdown(ctx)
	for time.Now().Before(schedule.DrainedBy) && a.host.Outstanding() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	a.log.WithField("after", time.Since(startedAt).Round(time.Millisecond).String()).Info("agent ended")
}

// canExit reports whether a process whose shutdown was requested at stopRequested has nothing left
// to wait for.
func (a *Agent) canExit(now, stopRequested time.Time) bool {
	clientsAway := now.Sub(stopRequested) >= maxNoticeTime || a.refusals.clientsAway(now)
	return clientsAway && a.sender.InFlight() == 0 && a.host.Outstanding() == 0
}
