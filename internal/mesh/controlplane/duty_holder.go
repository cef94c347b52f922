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
	dutyTick      = 200 * time.Millisecond
	dutyQueue     = 16
	proposeWithin = time.Second
	stopWithin    = time.Second
	callWithin    = 300 * time.Millisecond // for a call that is under way when the process is to end
)

// dutyHolder carries out what a core machine's duties.Holder decides. All but the atomic fields
// belong to the goroutine of run.
type dutyHolder struct {
	core     *Core
	platform *platform
	holder   *duties.Holder
	watch    lease.Watch
	began    time.Time
	events   chan func()
	stopping chan chan struct{}

	epoch                   atomic.Uint64 // under which the part is held here; 0: it is not
	taken, unclear, refused atomic.Uint64 // calls of the platform
}

func newDutyHolder(c *Core) *dutyHolder {
	b := &c.set.Bounds
	bounds := duties.Bounds{Lease: b.Lease, WindowLength: b.ReportWindow, DueAfter: b.UsageDelay}
	return &dutyHolder{
		core: c, platform: newPlatform(c.set.Platform.Address, c.set.NodeName), began: time.Now(),
		events: make(chan func(), dutyQueue), stopping: make(chan chan struct{}, 1),
		holder: duties.NewHolder(c.set.NodeName, fmt.Sprintf("%s/%d", c.set.NodeName, c.life), bounds),
	}
}

func (h *dutyHolder) now() time.Duration { return time.Since(h.began) }

// run goes on until the context ends, or stop has given the part back.
func (h *dutyHolder) run(ctx context.Context) {
	tick := time.NewTicker(dutyTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-h.events:
			f()
		case done := <-h.stopping:
			h.giveBack(done)
			return
		case <-tick.C:
			h.step(ctx)
		}
	}
}

// stop gives the part back, and waits for that for a second at most: what is not given back runs out.
func (h *dutyHolder) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopWithin)
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

// giveBack ends the holding. A call that is under way is waited for, unless the platform is slow: if
// it comes behind one of the next holder it is refused, and the report is sent again.
func (h *dutyHolder) giveBack(done chan struct{}) {
	defer close(done)
	late := time.After(callWithin)
	for waits := true; waits && h.holder.CallInFlight(); {
		select {
		case f := <-h.events:
			f()
		case <-late:
			waits = false
		}
	}
	var todo duties.Actions
	h.holder.Release(h.now(), &todo)
	h.epoch.Store(0)
	for _, ask := range todo.Requests {
		h.propose(ask.Command)
	}
}

// propose has a command agreed on; nil: it was not, or may yet be.
func (h *dutyHolder) propose(command *duties.Command) *duties.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), proposeWithin)
	defer cancel()
	reply, err := h.core.proposeDuty(ctx, command)
	if err != nil {
		return nil
	}
	return reply
}

func (h *dutyHolder) happened(ctx context.Context, f func()) {
	select {
	case h.events <- f:
	case <-ctx.Done():
	}
}

// step does what is due.
func (h *dutyHolder) step(ctx context.Context) {
	table := h.core.table.dutiesNow.Load()
	h.endLeases(h.now(), table)
	view := &duties.View{}
	if h.holder.NeedsView(h.now(), table) {
		var ok bool
		if view, ok = h.look(table.Usage.Through); !ok {
			return
		}
	}
	todo := h.holder.Tick(h.now(), table, view)
	h.shows()
	for _, ask := range todo.Requests {
		go func() {
			reply := h.propose(ask.Command)
			h.happened(ctx, func() { h.holder.HandleReply(h.now(), ask.Number, reply) })
		}()
	}
	if todo.Call != nil {
		go h.call(ctx, todo.Call)
	}
}

// shows notes whether the part is held here.
func (h *dutyHolder) shows() {
	epoch := h.holder.HeldEpoch(h.now())
	if before := h.epoch.Swap(epoch); before != epoch {
		h.core.log.WithField("duty", duties.UsageReport).WithField("fence", epoch).WithField("before", before).Info("duty")
	}
}

// call sends a report.
func (h *dutyHolder) call(ctx context.Context, c *duties.Call) {
	calling, cancel := context.WithTimeout(ctx, c.Deadline-h.now())
	defer cancel()
	result, after := h.platform.report(calling, c.Fence, c.Report)
	switch result {
	case duties.CallAccepted:
		h.taken.Add(1)
	case duties.CallFenced:
		h.refused.Add(1)
		h.core.log.WithField("fence", c.Fence).Warn("the platform has seen a higher fence")
	case duties.CallUnknown:
		h.unclear.Add(1)
	}
	h.happened(ctx, func() { h.holder.HandleResult(h.now(), result, after) })
}

// endLeases has the leader of the agreement end the leases that nobody has renewed.
func (h *dutyHolder) endLeases(now time.Duration, table *duties.Table) {
	if h.core.node.Status().Role != "leader" {
		h.watch = lease.Watch{}
		return
	}
	for _, op := range h.watch.Due(now, &table.Leases) {
		go h.propose(&duties.Command{Lease: &op})
	}
}

// look asks the owner of the core's state for a view; it says false where that does not get to it.
func (h *dutyHolder) look(through int64) (*duties.View, bool) {
	answer := make(chan *duties.View, 1)
	late := time.NewTimer(dutyTick)
	defer late.Stop()
	select {
	case h.core.commands <- func() { answer <- h.core.viewUsage(through) }:
	case <-late.C:
		return nil, false
	}
	select {
	case v := <-answer:
		return v, true
	case <-late.C:
		return nil, false
	}
}
