// Package meshtime is the time on which the processes of a mesh agree. A machine's time of day may
// jump, and be right again later; what is counted by windows of time needs one time everywhere.
//
// A process reads its time of day once, when it starts, and goes on by its monotonic clock, so that
// a jump in its life changes nothing. One that starts while its machine's time is wrong is put right
// by the others: core machines take the median over the agents that they hear, each of which tells
// its own time, and agents take the median over what core machines tell. A time is right as long as
// it is in over half of the processes.
package meshtime

import (
	"slices"
	"sync/atomic"
	"time"
)

// Clock is the time of one process. It may be used by any number of goroutines.
type Clock struct {
	began  time.Time
	offset atomic.Int64 // of what the others agree on from Own
}

// New returns a clock that goes by the time of day as it is now.
func New() *Clock { return &Clock{began: time.Now()} }

// Own is the time since the start of 1970 by this process alone.
func (c *Clock) Local() time.Duration {
	return time.Duration(c.began.UnixNano()) + time.Since(c.began)
}

// Now is the time since the start of 1970 that the processes agree on, as far as this one has heard.
func (c *Clock) Now() time.Duration { return c.Local() + time.Duration(c.offset.Load()) }

// Correct takes in how far the times of other processes are from Own. Where there are none, what was
// heard before holds.
func (c *Clock) Correct(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.offset.Store(int64(sorted[len(sorted)/2]))
}

// Window is the number of the window of a length that a time lies in; window k begins k times the
// length after the start of 1970.
func WindowAt(at, length time.Duration) int64 { return int64(at / length) }

// End is when a window of a length ends.
func WindowEnd(window int64, length time.Duration) time.Duration {
	return time.Duration(window+1) * length
}
