package usage

// maxProcesses limits the number of Counters whose counts of one window are kept.
const maxProcesses = 16384

// Collector sums up the counts that it receives from Counters. It is not safe for concurrent use.
type Collector struct {
	windows          map[int64]map[uint64]map[string]uint64 // counts by window, process and tenant
	lastClosed       map[string]int64                       // last closed window, by agent
	finalizedThrough int64
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{windows: map[int64]map[uint64]map[string]uint64{}, lastClosed: map[string]int64{}}
}

// Merge merges an update from an agent's Counter. It ignores parts that are malformed, that are
// about final windows, or that are about windows in the future. The current window is Closed+1, or
// Closed+2 in the first closeDelay of a window.
func (c *Collector) Merge(agent string, update *Update) {
	c.lastClosed[agent] = update.Closed
	for i := range update.Parts {
		if counts := &update.Parts[i]; counts.Window > c.finalizedThrough && counts.Window <= update.Closed+2 && len(counts.Names) == len(counts.Counts) {
			c.mergeCounts(update.Process, counts)
		}
	}
}

func (c *Collector) mergeCounts(process uint64, counts *WindowCounts) {
	processes := c.windows[counts.Window]
	if processes == nil {
		processes = map[uint64]map[string]uint64{}
		c.windows[counts.Window] = processes
		c.dropWindows(counts.Window - MaxPendingWindows)
	}
	tenants := processes[process]
	if tenants == nil {
		if len(processes) >= maxProcesses {
			return
		}
		tenants = make(map[string]uint64, len(counts.Names))
		processes[process] = tenants
	}
	for i, name := range counts.Names {
		if _, known := tenants[name]; known || len(tenants) < MaxTenants {
			tenants[name] = counts.Counts[i]
		}
	}
}

func (c *Collector) dropWindows(through int64) {
	for window := range c.windows {
		if window <= through {
			delete(c.windows, window)
		}
	}
}

// DiscardThrough drops the counts of all windows up to the given one, because they are final.
func (c *Collector) DiscardThrough(through int64) {
	if through > c.finalizedThrough {
		c.finalizedThrough = through
		c.dropWindows(through)
	}
}

// RetainAgents forgets the agents that are no longer known. Their counts are kept.
func (c *Collector) RetainAgents(known func(agent string) bool) {
	for agent := range c.lastClosed {
		if !known(agent) {
			delete(c.lastClosed, agent)
		}
	}
}

// Complete reports whether all given agents have closed a window.
func (c *Collector) Complete(window int64, agents []string) bool {
	for _, agent := range agents {
		if closed, known := c.lastClosed[agent]; !known || closed < window {
			return false
		}
	}
	return true
}

// Total returns the received counts of a window: the requests that backends started, by tenant.
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
