package agent

import (
	"context"
	"runtime/debug"
	"time"
)

const (
	// readyTimeout is how long a process waits for a list of backends. After that, it accepts
	// connections without one.
	readyTimeout      = 3 * time.Second
	readyPollInterval = 5 * time.Millisecond
)

// takeOverState fetches the state of the previous process of the agent, and offers the state of
// this process to the next one.
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

// awaitReady waits until there is a list of backends, if other processes accept from the same
// socket. A request that this process accepted earlier would be refused, while another process
// could have served it.
func (a *Agent) awaitReady(ctx context.Context) {
	if !a.cfg.SharedSocket {
		return
	}
	deadline := time.Now().Add(readyTimeout)
	for !a.loop.ready.Load() && ctx.Err() == nil && time.Now().Before(deadline) {
		time.Sleep(readyPollInterval)
	}
}

// updateLimits sets the limits of connections, concurrent requests and memory. While another
// process of the agent runs, they are halved, because the descriptors and the memory of both
// processes count together.
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
	a.clientConns.setMaxConns(a.maxClientConns / int(processes))
	a.loop.backends.SetMaxConns(a.maxBackendConns / int(processes))
	if memoryLimit := debug.SetMemoryLimit(-1); otherProcess && !hadOtherProcess {
		debug.SetMemoryLimit(memoryLimit / 2)
	} else if !otherProcess && hadOtherProcess {
		debug.SetMemoryLimit(memoryLimit * 2)
	}
}
