// Package usage counts, by tenant, the requests that backends began in each window of time, and
// makes of it one report a window that never changes once it is fixed. It does no I/O.
//
//   - A Counter stands at each gate and counts what its backend begins. A count is taken back if the
//     backend proves not to have run the request.
//   - A Collector stands at each core machine and adds up what the Counters have told. Each tells all
//     core machines, so a count outlives its gate and any one core machine.
//   - A Ledger is agreed on by the core machines: the windows that are fixed, each with its counts,
//     until the platform has taken the report.
//
// What a Counter tells is cumulative, and replaces what it told before; so words may be lost or come
// twice. It goes on to tell of a window until that is fixed, or MostWindows have followed it.
package usage

import (
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/meshtime"
)

const (
	// MostWindows are kept that are not fixed yet.
	MaxPendingWindows = 24
	// MostTenants are counted in a window at one gate.
	MaxTenants = 4096
	// closeAfter is how long after its end a window is closed: what was begun in it has been counted.
	closeAfter = 50 * time.Millisecond
)

// Part is what a Counter tells of one window: the counts of some tenants.
type WindowCounts struct {
	Window int64
	Names  []string
	Counts []uint64 // of the tenant at the same place
}

// Update is what a Counter tells.
type Update struct {
	Process uint64 // of the Counter: one that starts again is another
	Closed  int64  // windows up to this one get no more counts
	Parts   []WindowCounts
}

// Mark names a count, so that it can be taken back. The zero value is none.
type CountID struct {
	window   int64
	customer string
}

// Counter counts at one gate. It may be used by any number of goroutines; a nil Counter counts
// nothing.
type Counter struct {
	process uint64
	length  time.Duration // of a window
	clock   *meshtime.Clock

	mu       sync.Mutex
	revision uint64 // of the last change
	windows  map[int64]map[string]*count
	settled  int64 // windows up to this one are fixed
	// Dropped counts what there was no room for.
	dropped uint64
}

type count struct {
	n        uint64
	revision uint64 // when it last changed
}

// NewCounter returns a Counter of a process, by a number that no other has.
func NewCounter(process uint64, length time.Duration, clock *meshtime.Clock) *Counter {
	return &Counter{process: process, length: length, clock: clock, windows: map[int64]map[string]*count{}}
}

// Begin counts a request that a backend begins now for a tenant.
func (c *Counter) Add(customer string) CountID {
	if c == nil || customer == "" {
		return CountID{}
	}
	m := CountID{meshtime.WindowAt(c.clock.Now(), c.length), customer}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adjust(m, 1) {
		c.dropped++
		return CountID{}
	}
	return m
}

// Undo takes a count back.
func (c *Counter) Undo(m CountID) {
	if c == nil || m.customer == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if tenants := c.windows[m.window]; tenants[m.customer] != nil {
		c.adjust(m, -1)
	}
}

// add changes a count, and says whether there was room for it.
func (c *Counter) adjust(m CountID, by int) bool {
	if m.window <= c.settled {
		return false
	}
	tenants := c.windows[m.window]
	if tenants == nil {
		tenants = map[string]*count{}
		c.windows[m.window] = tenants
		c.forget(m.window - MaxPendingWindows)
	}
	one := tenants[m.customer]
	if one == nil {
		if len(tenants) >= MaxTenants {
			return false
		}
		one = &count{}
		tenants[m.customer] = one
	}
	c.revision++
	one.n += uint64(by)
	one.revision = c.revision
	return true
}

// forget drops the windows up to one.
func (c *Counter) forget(through int64) {
	for w := range c.windows {
		if w <= through {
			delete(c.windows, w)
		}
	}
}

// Settle takes in that the windows up to one are fixed: nobody needs their counts any more.
func (c *Counter) DiscardThrough(through int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if through > c.settled {
		c.settled = through
		c.forget(through)
	}
}

// Closed is the last window that gets no more counts.
func (c *Counter) LastClosed() int64 {
	return meshtime.WindowAt(c.clock.Now()-closeAfter, c.length) - 1
}

// Since returns what has changed since a revision, 0 for all that there is, and the present revision.
func (c *Counter) ChangesSince(revision uint64) (Update, uint64) {
	closed := c.LastClosed() // before the counts are read: what is counted later is in a later window
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{Process: c.process, Closed: closed}
	for window, tenants := range c.windows {
		part := WindowCounts{Window: window}
		for name, one := range tenants {
			if one.revision > revision {
				part.Names, part.Counts = append(part.Names, name), append(part.Counts, one.n)
			}
		}
		if len(part.Names) > 0 {
			u.Parts = append(u.Parts, part)
		}
	}
	slices.SortFunc(u.Parts, func(a, b WindowCounts) int { return int(a.Window - b.Window) })
	return u, c.revision
}

// Dropped is how many requests were not counted, for want of room or as their window was fixed.
func (c *Counter) Dropped() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
