// Package outlier keeps the records by which servers are ejected and let in again: outlier ejection,
// as a circuit breaker for each server and class of requests.
//
// A record counts failures, each for as much as its caller makes of it, and each answer halves the
// count. At one it is due: the caller, who knows how many others are out, may eject the server. It
// is out for a time that doubles while it stays bad, with some chance in it, and comes back half
// bad: on trial. Beside that stands the share of failures, a moving mean, which tells a server that
// breaks some of its requests from one that answers nothing.
//
// It does no I/O and has no clock or source of chance: the caller brings both.
package outlier

import "time"

const (
	ejectShare   = 0.75 // of the servers at most: more looking bad at once is overload or our own blindness
	ejectFor     = 8.0  // aims that a first ejection lasts
	ejectDoubles = 3    // times that this doubles while the server stays bad
	trial        = 0.5  // what counts against a server that is let in again
	failGain     = 0.1  // weight of an outcome in the share of failures
	mostFails    = 0.5  // share of failures up to which a server that answers is worth more than none
)

// Record is what a server's answers to one class say. The zero value is that of a server that was
// not used yet.
type Record struct {
	Bad   float64       // failures of late, halved by each success
	Fails float64       // share of failures, a moving mean
	Until time.Duration // ejected until then
	Times int           // ejections in a row
	Full  time.Duration // has no room until then
}

// Sound is the share of requests that does not fail, of the class that a server serves best.
func Sound(classes []Record) float64 {
	fails := 1.0
	for _, r := range classes {
		fails = min(fails, r.Fails)
	}
	return 1 - fails
}

// Enough says whether one more may not be ejected, with which so many servers of so many would be
// out.
func Enough(out, of int) bool { return float64(out) > ejectShare*float64(of) }

// Out says whether the server is ejected.
func (r *Record) Out(now time.Duration) bool { return r.Until > now }

// Failing says whether a server that answers is worth less than none.
func (r *Record) Failing() bool { return r.Fails >= mostFails }

// Ended takes an outcome into the share of failures.
func (r *Record) Ended(ok bool) {
	failed := 1.0
	if ok {
		failed = 0
	}
	r.Fails += failGain * (failed - r.Fails)
}

// Served takes in a good answer.
func (r *Record) Served() { r.Bad, r.Times = r.Bad/2, 0 }

// Blame counts failures and says whether the server is due to be ejected.
func (r *Record) Blame(much float64, now time.Duration) (due bool) {
	r.Bad += much
	return r.Bad >= 1 && !r.Out(now)
}

// Eject ejects the server for about so many seconds as it returns, by u, which is uniform in [0,
// 1).
func (r *Record) Eject(now, aim time.Duration, u float64) (wait float64) {
	wait = ejectFor * aim.Seconds() * float64(int(1)<<min(r.Times, ejectDoubles))
	r.Until = now + time.Duration(wait*(0.75+u/2)*float64(time.Second))
	r.Times, r.Bad = r.Times+1, trial
	return wait
}
