package usage

// mostProcesses bounds the Counters whose counts of one window are kept.
const mostProcesses = 16384

// Collector adds up what Counters have told. It is not safe for concurrent use.
type Collector struct {
	windows map[int64]map[uint64]map[string]uint64 // counts by window, process and tenant
	closed  map[string]int64                       // by agent: windows up to this one get no more counts there
	settled int64
}

// NewCollector returns a Collector that has heard nothing.
func NewCollector() *Collector {
	return &Collector{windows: map[int64]map[uint64]map[string]uint64{}, closed: map[string]int64{}}
}

// Hear takes in what an agent's Counter tells. What is odd in it is passed over.
func (c *Collector) Merge(agent string, u *Update) {
	c.closed[agent] = u.Closed
	for i := range u.Parts {
		if p := &u.Parts[i]; p.Window > c.settled && p.Window <= u.Closed+2 && len(p.Names) == len(p.Counts) {
			c.take(u.Process, p)
		}
	}
}

func (c *Collector) take(process uint64, p *WindowCounts) {
	processes := c.windows[p.Window]
	if processes == nil {
		processes = map[uint64]map[string]uint64{}
		c.windows[p.Window] = processes
		c.forget(p.Window - MaxPendingWindows)
	}
	tenants := processes[process]
	if tenants == nil {
		if len(processes) >= mostProcesses {
			return
		}
		tenants = make(map[string]uint64, len(p.Names))
		processes[process] = tenants
	}
	for i, name := range p.Names {
		if _, known := tenants[name]; known || len(tenants) < MaxTenants {
			tenants[name] = p.Counts[i]
		}
	}
}

func (c *Collector) forget(through int64) {
	for w := range c.windows {
		if w <= through {
			delete(c.windows, w)
		}
	}
}

// Settle takes in that the windows up to one are fixed.
func (c *Collector) DiscardThrough(through int64) {
	if through > c.settled {
		c.settled = through
		c.forget(through)
	}
}

// Retain forgets agents that nobody waits for any more. Their counts stay.
func (c *Collector) RetainAgents(known func(agent string) bool) {
	for agent := range c.closed {
		if !known(agent) {
			delete(c.closed, agent)
		}
	}
}

// Complete says whether all of these agents have closed a window.
func (c *Collector) Complete(window int64, agents []string) bool {
	for _, agent := range agents {
		if closed, heard := c.closed[agent]; !heard || closed < window {
			return false
		}
	}
	return true
}

// Total is what backends began in a window, by tenant, as far as it was heard.
func (c *Collector) Total(window int64) map[string]uint64 {
	total := map[string]uint64{}
	for _, tenants := range c.windows[window] {
		for name, n := range tenants {
			if n > 0 {
				total[name] += n
			}
		}
	}
	return total
}
