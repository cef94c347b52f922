// Package lag tells how late a program itself is, so that it blames nobody else for that. It does no I/O and has no clock:
// the caller says when things happened, as time since any fixed start.
//
// A program on a share of a core sees what comes for it late: while others run, or while its own work waits for its turn.
// Neither the runtime nor the kernel says of a byte that was read when it could have been, short of time stamps on each
// socket. So a beat is asked for at fixed times. A beat that comes late shows that what was due since then may have waited as
// long; one in time, that nothing does.
package lag

import "time"

const (
	part      = 20 // of the span that matters: the time between beats
	leastBeat = 5 * time.Millisecond
	mostBeat  = 50 * time.Millisecond
	tolerance = 4   // parts of the time between beats that one may be late: timers are, on a machine that is idle
	smooth    = 0.1 // weight of a beat in the mean
)

// Clock follows beats. Its error, while the processor keeps up: it may call a beat and its tolerance, a twentieth of the span that
// matters and a little, of its own lateness the others', and it calls all of the others' that came while it was late its own.
type Detector struct {
	every time.Duration
	due   time.Duration // the next beat
	on    bool

	from, to time.Duration // the last spell of lateness
	behind   bool          // no beat has come in time since

	mean   float64 // lateness of beats, seconds
	worst  time.Duration
	spells int64
}

// New returns a Clock for delays that matter on a scale of so long.
func New(matters time.Duration) Detector {
	return Detector{every: min(max(matters/part, leastBeat), mostBeat)}
}

// Start asks for beats, and returns when the first is due. There are none while nothing is to be told apart.
func (c *Detector) Start(now time.Duration) (due time.Duration) {
	c.on, c.behind, c.due = true, false, now+c.every
	return c.due
}

// Stop ends the beats.
func (c *Detector) Stop() { c.on, c.behind = false, false }

// On says whether there are beats.
func (c *Detector) Running() bool { return c.on }

// Beat takes in the beat that was due, and returns when the next one is.
func (c *Detector) Tick(now time.Duration) (due time.Duration) {
	late := max(0, now-c.due)
	c.mean += smooth * (late.Seconds() - c.mean)
	if c.behind = late > c.every/tolerance; c.behind {
		c.from, c.to = c.due-c.every, now // what became ready since the beat before may have waited
		c.worst = max(c.worst, late)
		c.spells++
	}
	c.due = now + c.every
	return c.due
}

// Own is how long before now a thing may have happened that is only seen now.
//
// What became ready while a beat was late waits its turn behind it, for up to as long again, unless a beat in time says that
// all of it has run.
func (c *Detector) OwnDelay(now time.Duration) time.Duration {
	if !c.on {
		return 0
	}
	if now-c.due > c.every/tolerance { // the beat itself still waits
		from := c.due - c.every
		if c.behind && c.to+(c.to-c.from) >= c.due {
			from = c.from
		}
		return now - from
	}
	if c.behind && now-c.to <= c.to-c.from {
		return now - c.from
	}
	if c.behind {
		return c.to - c.from // what is read until the next beat is read as late as that one was
	}
	return 0
}

// Figures are what has been seen of the lateness.
type Stats struct {
	MeanDelay time.Duration // of the beats of late
	MaxDelay  time.Duration // since the start
	LateTicks int64         // beats that came too late
}

// Figures returns them.
func (c *Detector) Stats() Stats {
	return Stats{time.Duration(c.mean * float64(time.Second)), c.worst, c.spells}
}
