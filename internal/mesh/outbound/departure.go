package outbound

import "time"

const (
	// maxAcceptTime is the longest time for which a terminating process accepts requests as usual.
	// A request that comes later must be answered before the process ends, however long its backend
	// works.
	maxAcceptTime = 3 * time.Second
	// maxAnswerReserve is how long before the process is killed all requests are answered. It is
	// bounded by the grace period divided by answerReserveDivisor: less than a sixth, as nothing
	// may be cut off in the first five sixths.
	maxAnswerReserve     = 900 * time.Millisecond
	answerReserveDivisor = 6.5
	// backendTransitTime is how long before AnswerBy backends must have finished, for their
	// responses to get here.
	backendTransitTime = 150 * time.Millisecond
)

// ShutdownSchedule is the schedule of a process that has been told to terminate.
type ShutdownSchedule struct {
	// Until then requests are accepted as usual, also by the gate on this machine.
	AcceptUntil time.Time
	// Applies to requests that come later: they are sent only if their target latency lets them
	// finish by then, and their backends get no more time.
	BackendDeadline time.Time
	AnswerBy        time.Time // requests that are still in flight are answered
	DrainedBy       time.Time // no request is in flight any more
	ExitBy          time.Time // the process has exited
}

// NewShutdownSchedule returns the schedule of a process that was told to terminate at startedAt and
// is killed once the grace period is over.
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

// admit reports whether a request may be handed to a backend now, and until when the backend may
// work on it. A zero time means as long as the request has. A request is expected to take no longer
// than its target latency.
func (s *ShutdownSchedule) admit(now time.Time, targetLatency time.Duration) (backendDeadline time.Time, ok bool) {
	if s == nil || now.Before(s.AcceptUntil) {
		return time.Time{}, true
	}
	return s.BackendDeadline, s.BackendDeadline.Sub(now) >= targetLatency
}
