package agent

import (
	"context"
	"runtime/debug"
	"time"
)

const (
	// readyWithin is how long a process waits for a list before it accepts all the same.
	readyTimeout      = 3 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// takeOver takes what the process before this one knows, and lets the next one find this.
func (a *Agent) takeOverState(ctx context.Context) {
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
	deadline := time.Now().Add(readyTimeout)
	for !a.loop.ready.Load() && ctx.Err() == nil && time.Now().Before(deadline) {
		time.Sleep(readyPollInterval)
	}
}

// shareRoom has the agent use half of its room while another process of it runs: their descriptors and their memory count
// together.
func (a *Agent) updateLimits(otherProcess bool) {
	hadOtherProcess := a.otherProcess.Swap(otherProcess)
	processes := int64(1)
	if otherProcess {
		processes = 2
	}
	maxRequests := a.server.defaultMaxRequests / processes
	if operatorLimit := a.operatorLimit.Load(); operatorLimit > 0 {
		maxRequests = min(maxRequests, operatorLimit)
	}
	a.server.maxRequests.Store(maxRequests)
	a.clientConns.resize(a.maxClientConns / int(processes))
	a.loop.backends.SetMaxConns(a.maxBackendConns / int(processes))
	if memoryLimit := debug.SetMemoryLimit(-1); otherProcess && !hadOtherProcess {
		debug.SetMemoryLimit(memoryLimit / 2)
	} else if !otherProcess && hadOtherProcess {
		debug.SetMemoryLimit(memoryLimit * 2)
	}
}
