package controlplane

import (
	"time"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshtime"
	"example.org/micaline/internal/mesh/usage"
)

// correctClock corrects the clock by those of the connected agents. It runs in the loop.
func (c *Core) correctClock() {
	var offsets []time.Duration
	for _, f := range c.feeds {
		if f.hasClock.Load() {
			offsets = append(offsets, time.Duration(f.clockOffset.Load()))
		}
	}
	c.clock.Correct(append(offsets, 0))
}

// updateCollector drops counts and agents that are no longer needed. It runs in the loop.
func (c *Core) updateCollector() {
	c.collector.DiscardThrough(c.table.publishedDuties.Load().Usage.Through)
	c.collector.RetainAgents(func(agent string) bool { return c.registry.Station(agent) != nil })
}

// usageView returns the current information about the next window to make final, given the last
// window that is final. It runs in the loop.
func (c *Core) usageView(through int64) *duties.View {
	view := &duties.View{Time: c.clock.Now(), Cordoned: c.windowDriver.cordoned.Load()}
	var connected, lost []string
	for _, status := range c.registry.All(c.now()) {
		switch {
		case !status.Lost:
			connected = append(connected, status.Station.Agent)
		case status.Station.Open: // the agent may be cut off and still serve requests
			lost = append(lost, status.Station.Agent)
		}
	}
	view.Connected = len(connected) > len(lost) && !c.settling()
	current := meshtime.WindowAt(view.Time, c.settings.Bounds.ReportWindow)
	switch {
	case through == 0 && !c.table.published.Load().config.HasCustomers():
		return view
	case through == 0:
		view.Window = max(c.firstWindow, current-usage.MaxPendingWindows)
		if c.firstWindow == 0 {
			c.firstWindow = current
			view.Window = current
		}
	default:
		view.Window = max(through+1, current-usage.MaxPendingWindows)
	}
	if view.Time < meshtime.WindowEnd(view.Window, c.settings.Bounds.ReportWindow) {
		return view
	}
	view.Complete = c.collector.Complete(view.Window, connected)
	view.LostIncomplete = !c.collector.Complete(view.Window, lost)
	view.Counts = c.collector.Total(view.Window)
	return view
}
