package agent

import (
	"context"
	"runtime/debug"
	"time"
)

const (
	// readyWithin is how long a process waits for a list before it accepts all the same.
	readyWithin = 3 * time.Second
	readyLook   = 5 * time.Millisecond
)

// takeOver takes what the process before this one knows, and lets the next one find this.
func (a *Agent) takeOver(ctx context.Context) {
	if a.handover == nil {
		return
	}
	if found, err := a.handover.Take(ctx); err != nil {
		a.log.Warn("nothing is taken over", "error", err)
	} else if found {
		a.log.Info("taken over from the process before")
	}
	if err := a.handover.Offer(); err != nil {
		a.log.Warn("the next process will find nothing to take over", "error", err)
	}
}

// awaitReady waits until there is a list. Danger: where another process accepts from the same socket, what this one takes
// before that would be refused, and need not be.
func (a *Agent) awaitReady(ctx context.Context) {
	if !a.cfg.SharedSocket {
		return
	}
	end := time.Now().Add(readyWithin)
	for !a.loop.ready.Load() && ctx.Err() == nil && time.Now().Before(end) {
		time.Sleep(readyLook)
	}
}

// shareRoom has the agent use half of its room while another process of it runs: their descriptors and their memory count
// together.
func (a *Agent) updateLimits(beside bool) {
	was := a.otherProcess.Swap(beside)
	of := int64(1)
	if beside {
		of = 2
	}
	most := a.server.usual / of
	if wanted := a.operatorLimit.Load(); wanted > 0 {
		most = min(most, wanted)
	}
	a.server.maxRequests.Store(most)
	a.clientConns.setMaxConns(a.maxClientConns / int(of))
	a.loop.backends.SetMaxConns(a.maxBackendConns / int(of))
	if limit := debug.SetMemoryLimit(-1); beside && !was {
		debug.SetMemoryLimit(limit / 2)
	} else if !beside && was {
		debug.SetMemoryLimit(limit * 2)
	}
}
