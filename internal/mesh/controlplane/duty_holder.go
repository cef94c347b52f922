package controlplane

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/duties"
)

const (
	dutyTickInterval = 200 * time.Millisecond
	dutyQueueSize    = 16
	proposeTimeout   = time.Second
	stopTimeout      = time.Second
	lastCallTimeout  = 300 * time.Millisecond // for a call that is in progress at shutdown
)

// dutyHolder carries out the actions of this node's duties.Holder. All fields except the atomic
// ones belong to the goroutine of run.
type dutyHolder struct {
	core      *Core
	platform  *platformClient
	holder    *duties.Holder
	watch     lease.ExpiryTracker
	startedAt time.Time
	events    chan func()
	stopping  chan chan struct{}

	heldEpoch                 atomic.Uint64 // epoch of the held part; 0 if it is not held
	accepted, unknown, fenced atomic.Uint64 // outcomes of calls to the platform
}

func newDutyHolder(c *Core) *dutyHolder {
	limits := &c.settings.Bounds
	bounds := duties.Bounds{Lease: limits.Lease, WindowLength: limits.ReportWindow, DueAfter: limits.UsageDelay}
	return &dutyHolder{
		core: c, platform: newPlatformClient(c.settings.Platform.Address, c.settings.NodeName), startedAt: time.Now(),
		events: make(chan func(), dutyQueueSize), stopping: make(chan chan struct{}, 1),
		holder: duties.NewHolder(c.settings.NodeName, fmt.Sprintf("%s/%d", c.settings.NodeName, c.processID), bounds),
	}
}

func (h *dutyHolder) now() time.Duration { return time.Since(h.startedAt) }

// run runs until the context ends or stop has released the part.
func (h *dutyHolder) run(ctx context.Context) {
	tick := time.NewTicker(dutyTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-h.events:
			event()
		case done := <-h.stopping:
			h.release(done)
			return
		case <-tick.C:
			h.tick(ctx)
		}
	}
}

// stop releases the part and waits for this for at most stopTimeout. Otherwise the lease expires.
func (h *dutyHolder) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case h.stopping <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// release gives up the part. It waits for a call in progress, unless the platform is slow: a call
// that arrives after one of the next holder is refused, and the next holder sends the report again.
func (h *dutyHolder) release(done chan struct{}) {
	defer close(done)
	timeout := time.After(lastCallTimeout)
	for waiting := true; waiting && h.holder.CallInFlight(); {
		select {
		case event := <-h.events:
			event()
		case <-timeout:
			waiting = false
		}
	}
	var actions duties.Actions
	h.holder.Release(h.now(), &actions)
	h.heldEpoch.Store(0)
	for _, request := range actions.Requests {
		h.propose(request.Command)
	}
}

// propose proposes a command. It returns nil if the command failed or its outcome is unknown.
func (h *dutyHolder) propose(command *duties.Command) *duties.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	reply, err := h.core.proposeDuty(ctx, operatorCall{}, command)
	if err != nil {
		return nil
	}
	return reply
}

// post queues an event for run.
func (h *dutyHolder) post(ctx context.Context, event func()) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

// tick carries out the actions that are due.
func (h *dutyHolder) tick(ctx context.Context) {
	table := h.core.table.publishedDuties.Load()
	h.expireLeases(h.now(), table)
	view := &duties.View{}
	if h.holder.NeedsView(h.now(), table) {
		var ok bool
		if view, ok = h.requestView(table.Usage.Through); !ok {
			return
		}
	}
	actions := h.holder.Tick(h.now(), table, view)
	h.updateHeldEpoch()
	for _, request := range actions.Requests {
		go func() {
			reply := h.propose(request.Command)
			h.post(ctx, func() { h.holder.HandleReply(h.now(), request.Number, reply) })
		}()
	}
	if actions.Call != nil {
		go h.call(ctx, actions.Call)
	}
}

// updateHeldEpoch records whether this node holds the part.
func (h *dutyHolder) updateHeldEpoch() {
	epoch := h.holder.HeldEpoch(h.now())
	if previous := h.heldEpoch.Swap(epoch); previous != epoch {
		h.core.log.WithField("duty", duties.UsageReport).WithField("fence", epoch).WithField("before", previous).Info("duty")
	}
}

// call sends a report to the platform.
func (h *dutyHolder) call(ctx context.Context, call *duties.Call) {
	callCtx, cancel := context.WithTimeout(ctx, call.Deadline-h.now())
	defer cancel()
	result, retryAfter := h.platform.sendReport(callCtx, call.Fence, call.Report)
	switch result {
	case duties.CallAccepted:
		h.accepted.Add(1)
	case duties.CallFenced:
		h.fenced.Add(1)
		h.core.log.WithField("fence", call.Fence).Warn("the platform has seen a higher fence")
	case duties.CallUnknown:
		h.unknown.Add(1)
	}
	h.post(ctx, func() { h.holder.HandleResult(h.now(), result, retryAfter) })
}

// expireLeases ends the leases that were not renewed in time. Only the consensus leader does this.
func (h *dutyHolder) expireLeases(now time.Duration, table *duties.Table) {
	if h.core.node.Status().Role != "leader" {
		h.watch = lease.ExpiryTracker{}
		return
	}
	for _, op := range h.watch.Expired(now, &table.Leases) {
		go h.propose(&duties.Command{Lease: &op})
	}
}

// requestView asks the core's loop for a view. It returns false if the loop does not respond in
// time.
func (h *dutyHolder) requestView(through int64) (*duties.View, bool) {
	result := make(chan *duties.View, 1)
	timeout := time.NewTimer(dutyTickInterval)
	defer timeout.Stop()
	select {
	case h.core.commands <- func() { result <- h.core.usageView(through) }:
	case <-timeout.C:
		return nil, false
	}
	select {
	case view := <-result:
		return view, true
	case <-timeout.C:
		return nil, false
	}
}
