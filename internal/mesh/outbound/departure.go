package outbound

import "time"

const (
	// takeFor is how long a process that was told to end takes requests as before, at most. What comes
	// later must have its answer, however long its backend works.
	maxAcceptTime = 3 * time.Second
	// mostReserve is how long before the process must be gone all that is in hand gets its answer, and
	// reservePart bounds it by a part of the time: less than a sixth, before which nothing may be broken off.
	maxAnswerReserve     = 900 * time.Millisecond
	answerReserveDivisor = 6.5
	// answerBack is how long before that backends are told to be done: their answers need to get here.
	backendTransitTime = 150 * time.Millisecond
)

// Departure is the schedule of a process that was told to end.
type ShutdownSchedule struct {
	AcceptUntil     time.Time // requests are taken as before, and by the gate those of others
	BackendDeadline time.Time // of what comes later: it is handed over if it can be done by then, and its backend is given no more time
	AnswerBy        time.Time // all that is in hand gets its answer
	DrainedBy       time.Time // the process has nothing in hand any more
	ExitBy          time.Time // it has ended
}

// NewDeparture returns the schedule of a process that was told to end and is killed after a grace.
func NewShutdownSchedule(startedAt time.Time, grace time.Duration) ShutdownSchedule {
	answerReserve := min(maxAnswerReserve, time.Duration(float64(grace)/answerReserveDivisor))
	answerBy := startedAt.Add(grace - answerReserve)
	return ShutdownSchedule{
		AcceptUntil:     startedAt.Add(min(maxAcceptTime, grace/2)),
		BackendDeadline: answerBy.Add(-backendTransitTime),
		AnswerBy:        answerBy,
		DrainedBy:       answerBy.Add(answerReserve / 4),
		ExitBy:          answerBy.Add(answerReserve * 2 / 3),
	}
}

// bounds says until when the backend of a request that is about to be handed over may work, zero for
// as long as the request has, and whether it may be handed over at all. Aim is how long it usually
// takes at most.
func (s *ShutdownSchedule) admit(now time.Time, targetLatency time.Duration) (backendDeadline time.Time, ok bool) {
	if s == nil || now.Before(s.AcceptUntil) {
		return time.Time{}, true
	}
	return s.BackendDeadline, s.BackendDeadline.Sub(now) >= targetLatency
}
