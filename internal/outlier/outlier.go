// Package outlier implements outlier ejection: a circuit breaker for each server and class of
// requests.
//
// A Record keeps a failure score. Each failure adds what the caller considers it worth, and each
// good answer halves the score. At a score of 1 the server is due for ejection, which the caller
// carries out unless too many servers are ejected already. The duration is randomized and doubles
// while the server keeps failing. The server returns on trial, with half of the score that ejects.
// A moving average of the failure rate is kept beside the score: it tells a server that fails some
// requests from one that answers none.
//
// The package does no I/O and has no clock or random source: the caller passes time and random
// numbers.
package outlier

import "time"

const (
	maxEjectedShare = 0.75 // of the servers: if more look faulty at once, overload or this agent is the cause
	baseEjection    = 8.0  // target latencies that a first ejection lasts
	maxDoublings    = 3    // doublings of the duration at most, while the server keeps failing
	trialScore      = 0.5  // failure score of a server that returns
	failureRateGain = 0.1  // weight of an outcome in the failure rate
	maxFailureRate  = 0.5  // failure rate from which a server that answers is worth less than none
)

// Record is the health of a server for one class. The zero value is for an unused server.
type Record struct {
	FailureScore float64       // recent failures, halved by each success
	FailureRate  float64       // moving average, from 0 to 1
	EjectedUntil time.Duration // ejected until then
	Ejections    int           // in a row
	FullUntil    time.Duration // no capacity until then
}

// BestSuccessRate returns the success rate of the class that a server serves best.
func BestSuccessRate(records []Record) float64 {
	failureRate := 1.0
	for _, r := range records {
		failureRate = min(failureRate, r.FailureRate)
	}
	return 1 - failureRate
}

// TooManyEjected says whether a further ejection would exceed the limit, given how many of all
// servers would then be ejected.
func TooManyEjected(ejected, total int) bool {
	return float64(ejected) > maxEjectedShare*float64(total)
}

// IsEjected says whether the server is ejected at the given time.
func (r *Record) IsEjected(now time.Duration) bool { return r.EjectedUntil > now }

// Failing says whether the server fails so often that using it is worse than going without it.
func (r *Record) Failing() bool { return r.FailureRate >= maxFailureRate }

// AddOutcome adds an outcome to the failure rate.
func (r *Record) AddOutcome(ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	r.FailureRate += failureRateGain * (failed - r.FailureRate)
}

// AddSuccess lowers the failure score after a good answer.
func (r *Record) AddSuccess() { r.FailureScore, r.Ejections = r.FailureScore/2, 0 }

// AddFailure adds to the failure score and says whether the server is due for ejection.
func (r *Record) AddFailure(score float64, now time.Duration) (due bool) {
	r.FailureScore += score
	return r.FailureScore >= 1 && !r.IsEjected(now)
}

// Eject ejects the server and returns the nominal duration in seconds. The actual one differs by up
// to a quarter, depending on u, which is uniform in [0, 1).
func (r *Record) Eject(now, targetLatency time.Duration, u float64) (seconds float64) {
	seconds = baseEjection * targetLatency.Seconds() * float64(int(1)<<min(r.Ejections, maxDoublings))
	r.EjectedUntil = now + time.Duration(seconds*(0.75+u/2)*float64(time.Second))
	r.Ejections, r.FailureScore = r.Ejections+1, trialScore
	return seconds
}
