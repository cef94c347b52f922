// Package lag measures the scheduling delay of the program itself, so that this delay is not
// attributed to remote peers. It does no I/O and has no clock: the caller passes the times of
// events, counted from any fixed start.
//
// A program that has only a share of a core reads data late, while other programs run or while its
// own work waits for the processor. Short of time stamps on each socket, neither the runtime nor
// the kernel tells when a byte could have been read. The program therefore schedules ticks at fixed
// times. A late tick shows that whatever became ready since the previous tick may have waited for
// as long. A tick in time shows that nothing is waiting.
package lag

import "time"

const (
	ticksPerTimescale = 20 // a tick every twentieth of the timescale, within the limits below
	minInterval       = 5 * time.Millisecond
	maxInterval       = 50 * time.Millisecond
	// A tick may be late by this part of the interval, because timers fire late even on an idle
	// machine.
	toleranceDivisor = 4
	meanWeight       = 0.1 // weight of a tick in the mean
)

// Detector detects the program's own delay from the ticks. While the processor keeps up, its error
// is bounded: it attributes at most one interval and its tolerance, a little more than a twentieth
// of the timescale, of the program's own delay to others. It attributes to the program all delay by
// others that occurs while the program is late.
type Detector struct {
	interval time.Duration
	nextTick time.Duration // when the next tick is due
	running  bool

	lateFrom, lateUntil time.Duration // the last period of lateness
	lastTickLate        bool          // no tick has been in time since that period

	meanSeconds float64 // moving average of the tick delays, in seconds
	maxDelay    time.Duration
	lateTicks   int64
}

// New returns a Detector for delays that matter on the given timescale.
func New(timescale time.Duration) Detector {
	return Detector{interval: min(max(timescale/ticksPerTimescale, minInterval), maxInterval)}
}

// Start starts the ticks and returns when the first one is due. Ticks are needed only while there
// are delays to attribute.
func (d *Detector) Start(now time.Duration) (nextTick time.Duration) {
	d.running, d.lastTickLate, d.nextTick = true, false, now+d.interval
	return d.nextTick
}

// Stop stops the ticks.
func (d *Detector) Stop() { d.running, d.lastTickLate = false, false }

// Running reports whether the ticks are running.
func (d *Detector) Running() bool { return d.running }

// Tick records that the due tick has fired and returns when the next one is due.
func (d *Detector) Tick(now time.Duration) (nextTick time.Duration) {
	delay := max(0, now-d.nextTick)
	d.meanSeconds += meanWeight * (delay.Seconds() - d.meanSeconds)
	if d.lastTickLate = delay > d.interval/toleranceDivisor; d.lastTickLate {
		// Whatever became ready since the previous tick may have waited.
		d.lateFrom, d.lateUntil = d.nextTick-d.interval, now
		d.maxDelay = max(d.maxDelay, delay)
		d.lateTicks++
	}
	d.nextTick = now + d.interval
	return d.nextTick
}

// OwnDelay returns how long before now an event may have become ready that the program sees only
// now.
//
// Whatever became ready while a tick was late still waits behind it, for up to the same time again,
// unless a tick in time shows that all of it has been processed.
func (d *Detector) OwnDelay(now time.Duration) time.Duration {
	if !d.running {
		return 0
	}
	if now-d.nextTick > d.interval/toleranceDivisor { // the due tick itself is still waiting
		start := d.nextTick - d.interval
		if d.lastTickLate && d.lateUntil+(d.lateUntil-d.lateFrom) >= d.nextTick {
			start = d.lateFrom
		}
		return now - start
	}
	if d.lastTickLate && now-d.lateUntil <= d.lateUntil-d.lateFrom {
		return now - d.lateFrom
	}
	if d.lastTickLate {
		return d.lateUntil - d.lateFrom // until the next tick, data is read as late as that one was
	}
	return 0
}

// Stats summarizes the observed scheduling delay.
type Stats struct {
	MeanDelay time.Duration // moving average over recent ticks
	MaxDelay  time.Duration // since the Detector was created
	LateTicks int64         // number of ticks that were too late
}

// Stats returns the statistics so far.
func (d *Detector) Stats() Stats {
	return Stats{time.Duration(d.meanSeconds * float64(time.Second)), d.maxDelay, d.lateTicks}
}
