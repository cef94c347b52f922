// Package meshtime provides a time on which the processes of a mesh agree. The time of day of a
// machine may jump and become correct again later, while counting in windows of time needs the same
// time on all machines.
//
// A process reads its time of day once, when it starts, and then follows its monotonic clock, so
// later jumps have no effect. A process that starts while its machine's time is wrong is corrected
// by the others: control-plane nodes use the median of the times that their connected agents send,
// and agents use the median of the times that control-plane nodes send. The time is correct as long
// as it is correct in more than half of the processes.
package meshtime

import (
	"slices"
	"sync/atomic"
	"time"
)

// Clock is the clock of one process. It is safe for concurrent use.
type Clock struct {
	startedAt time.Time
	offset    atomic.Int64 // difference of the agreed time from Local, in ns
}

// New returns a clock that starts at the current time of day.
func New() *Clock { return &Clock{startedAt: time.Now()} }

// Local returns the time since the Unix epoch by this process's clock alone.
func (c *Clock) Local() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// Now returns the agreed time since the Unix epoch, as far as this process knows it.
func (c *Clock) Now() time.Duration { return c.Local() + time.Duration(c.offset.Load()) }

// Correct sets the agreed time to Local plus the median of the given differences between other
// processes' times and Local. If there are none, the previous correction stays in effect.
func (c *Clock) Correct(offsets []time.Duration) {
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	c.offset.Store(int64(sorted[len(sorted)/2]))
}

// WindowAt returns the number of the window that contains a time. Window k of a given length starts
// k times that length after the Unix epoch.
func WindowAt(at, length time.Duration) int64 { return int64(at / length) }

// WindowEnd returns the time since the Unix epoch at which a window ends.
func WindowEnd(window int64, length time.Duration) time.Duration {
	return time.Duration(window+1) * length
}
