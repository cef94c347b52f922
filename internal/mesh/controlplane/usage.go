package controlplane

import (
	"time"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/usage"
)

// correctClock goes by the time that agents tell. It is the owner's.
func (c *Core) correctClock() {
	var offsets []time.Duration
	for _, f := range c.feeds {
		if f.timed.Load() {
			offsets = append(offsets, time.Duration(f.offset.Load()))
		}
	}
	c.clock.Correct(append(offsets, 0))
}

// tickUsage is the owner's.
func (c *Core) tickUsage() {
	c.collector.DiscardThrough(c.table.dutiesNow.Load().Usage.Through)
	c.collector.RetainAgents(func(agent string) bool { return c.registry.Station(agent) != nil })
}

// viewUsage is the owner's: how the window stands that is to be fixed after those that are.
func (c *Core) viewUsage(through int64) *duties.View {
	v := &duties.View{Time: c.clock.Now(), Cordoned: c.windows.standing.Load()}
	var heard, lost []string
	for _, h := range c.registry.All(c.now()) {
		switch {
		case !h.Lost:
			heard = append(heard, h.Station.Agent)
		case h.Station.Open: // it may be cut off, and serve on
			lost = append(lost, h.Station.Agent)
		}
	}
	v.Connected = len(heard) > len(lost) && !c.settling()
	current := meshtime.WindowAt(v.Time, c.set.Bounds.ReportWindow)
	switch {
	case through == 0 && !c.table.now.Load().config.HasCustomers():
		return v
	case through == 0:
		v.Window = max(c.firstWindow, current-usage.MaxPendingWindows)
		if c.firstWindow == 0 {
			c.firstWindow = current
			v.Window = current
		}
	default:
		v.Window = max(through+1, current-usage.MaxPendingWindows)
	}
	if v.Time < meshtime.WindowEnd(v.Window, c.set.Bounds.ReportWindow) {
		return v
	}
	v.Complete = c.collector.Complete(v.Window, heard)
	v.LostIncomplete = !c.collector.Complete(v.Window, lost)
	v.Counts = c.collector.Total(v.Window)
	return v
}
