package outbound

import "time"

const (
	// takeFor is how long a process that was told to end takes requests as before, at most. What comes
	// later must have its answer, however long its backend works.
	takeFor = 3 * time.Second
	// mostReserve is how long before the process must be gone all that is in hand gets its answer, and
	// reservePart bounds it by a part of the time: less than a sixth, before which nothing may be broken off.
	mostReserve = 900 * time.Millisecond
	reservePart = 6.5
	// answerBack is how long before that backends are told to be done: their answers need to get here.
	answerBack = 150 * time.Millisecond
)

// Departure is the schedule of a process that was told to end.
type ShutdownSchedule struct {
	AcceptUntil time.Time // requests are taken as before, and by the gate those of others
	DoneBy      time.Time // of what comes later: it is handed over if it can be done by then, and its backend is given no more time
	GiveUp      time.Time // all that is in hand gets its answer
	DrainedBy   time.Time // the process has nothing in hand any more
	ExitBy      time.Time // it has ended
}

// NewDeparture returns the schedule of a process that was told to end and is killed after a grace.
func NewShutdownSchedule(told time.Time, grace time.Duration) ShutdownSchedule {
	reserve := min(mostReserve, time.Duration(float64(grace)/reservePart))
	giveUp := told.Add(grace - reserve)
	return ShutdownSchedule{
		AcceptUntil: told.Add(min(takeFor, grace/2)),
		DoneBy:      giveUp.Add(-answerBack),
		GiveUp:      giveUp,
		DrainedBy:   giveUp.Add(reserve / 4),
		ExitBy:      giveUp.Add(reserve * 2 / 3),
	}
}

// bounds says until when the backend of a request that is about to be handed over may work, zero for
// as long as the request has, and whether it may be handed over at all. Aim is how long it usually
// takes at most.
func (d *ShutdownSchedule) bounds(now time.Time, aim time.Duration) (doneBy time.Time, ok bool) {
	if d == nil || now.Before(d.AcceptUntil) {
		return time.Time{}, true
	}
	return d.DoneBy, d.DoneBy.Sub(now) >= aim
}
