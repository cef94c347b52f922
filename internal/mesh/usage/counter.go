// Package usage counts, by tenant, the requests that backends start in each window of time, and
// produces one report for each window, which never changes once it is final. It does no I/O.
//
//   - A Counter runs in each gate and counts what the gate's backend starts. A count is undone if
//     it turns out that the backend did not run the request.
//   - A Collector runs in each control-plane node and sums up the updates from the Counters. Each
//     Counter sends its updates to all control-plane nodes, so a count survives the loss of its
//     gate and of any control-plane node.
//   - A Ledger is replicated among the control-plane nodes. It has the windows that are final, each
//     with its counts, until the platform has accepted the report.
//
// Updates are cumulative: they replace earlier ones, so an update may be lost or arrive twice. A
// Counter sends the counts of a window until the window is final, or until MaxPendingWindows more
// windows have started.
package usage

import (
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/meshtime"
)

const (
	// MaxPendingWindows limits the number of windows that are kept and not final yet.
	MaxPendingWindows = 24
	// MaxTenants limits the number of tenants that a gate counts in one window.
	MaxTenants = 4096
	// closeDelay is the time from the end of a window until it is closed. By then all requests that
	// were started in it have been counted.
	closeDelay = 50 * time.Millisecond
)

// WindowCounts are a Counter's counts of some tenants in one window.
type WindowCounts struct {
	Window int64
	Names  []string
	Counts []uint64 // parallel to Names
}

// Update is a message from a Counter.
type Update struct {
	Process uint64 // identifies the Counter's process; a restart changes it
	Closed  int64  // the last window that gets no more counts
	Parts   []WindowCounts
}

// CountID identifies a count, so that it can be undone. The zero value identifies no count.
type CountID struct {
	window int64
	tenant string
}

// Counter counts the requests of one gate. It is safe for concurrent use. A nil Counter counts
// nothing.
type Counter struct {
	process      uint64
	windowLength time.Duration
	clock        *meshtime.Clock

	mu               sync.Mutex
	revision         uint64                      // increases with each change
	windows          map[int64]map[string]*count // by window and tenant
	finalizedThrough int64                       // the last window that is final
	// dropped is the number of requests that were not counted.
	dropped uint64
}

type count struct {
	value    uint64
	revision uint64 // Counter.revision at the latest change
}

// NewCounter returns a Counter. The process number must be unique.
func NewCounter(process uint64, windowLength time.Duration, clock *meshtime.Clock) *Counter {
	return &Counter{process: process, windowLength: windowLength, clock: clock, windows: map[int64]map[string]*count{}}
}

// Add counts a request that the backend starts now for a tenant. It returns the zero CountID if the
// request is not counted.
func (c *Counter) Add(tenant string) CountID {
	if c == nil || tenant == "" {
		return CountID{}
	}
	id := CountID{meshtime.WindowAt(c.clock.Now(), c.windowLength), tenant}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adjust(id, 1) {
		c.dropped++
		return CountID{}
	}
	return id
}

// Undo undoes a count, unless its window is final or no longer kept.
func (c *Counter) Undo(id CountID) {
	if c == nil || id.tenant == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if tenants := c.windows[id.window]; tenants[id.tenant] != nil {
		c.adjust(id, -1)
	}
}

// adjust changes a count and reports whether there was room for it.
func (c *Counter) adjust(id CountID, delta int) bool {
	if id.window <= c.finalizedThrough {
		return false
	}
	tenants := c.windows[id.window]
	if tenants == nil {
		tenants = map[string]*count{}
		c.windows[id.window] = tenants
		c.dropWindows(id.window - MaxPendingWindows)
	}
	entry := tenants[id.tenant]
	if entry == nil {
		if len(tenants) >= MaxTenants {
			return false
		}
		entry = &count{}
		tenants[id.tenant] = entry
	}
	c.revision++
	entry.value += uint64(delta)
	entry.revision = c.revision
	return true
}

// dropWindows drops all windows up to the given one.
func (c *Counter) dropWindows(through int64) {
	for window := range c.windows {
		if window <= through {
			delete(c.windows, window)
		}
	}
}

// DiscardThrough drops the counts of all windows up to the given one, because they are final.
func (c *Counter) DiscardThrough(through int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if through > c.finalizedThrough {
		c.finalizedThrough = through
		c.dropWindows(through)
	}
}

// LastClosed returns the last window that gets no more counts.
func (c *Counter) LastClosed() int64 {
	return meshtime.WindowAt(c.clock.Now()-closeDelay, c.windowLength) - 1
}

// ChangesSince returns all changes after a revision (0 for all counts), and the current revision.
func (c *Counter) ChangesSince(revision uint64) (Update, uint64) {
	closed := c.LastClosed() // read first: requests counted after this are in later windows
	c.mu.Lock()
	defer c.mu.Unlock()
	update := Update{Process: c.process, Closed: closed}
	for window, tenants := range c.windows {
		counts := WindowCounts{Window: window}
		for name, entry := range tenants {
			if entry.revision > revision {
				counts.Names, counts.Counts = append(counts.Names, name), append(counts.Counts, entry.value)
			}
		}
		if len(counts.Names) > 0 {
			update.Parts = append(update.Parts, counts)
		}
	}
	slices.SortFunc(update.Parts, func(a, b WindowCounts) int { return int(a.Window - b.Window) })
	return update, c.revision
}

// Dropped returns the number of requests that were not counted, for lack of room or because their
// window was already final.
func (c *Counter) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
