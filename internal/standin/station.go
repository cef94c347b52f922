package standin

import (
	"math"
	"slices"
	"time"
)

// job is work for a station.
type job struct {
	left  float64 // seconds on a standard core
	free  bool    // needs no slot, as probes and handshakes
	start func() (work bool)
	done  func()
}

// station does the work of one process: so many jobs are in work at once and share its cores evenly; the next ones
// wait in turn. It is a pure machine: it goes on only in advance, to the time that it is given.
type station struct {
	cores, speed float64
	slots, room  int
	// factor is what the machine can do now of its usual, from 0 to 1.
	factor func(now time.Duration) float64

	stuck bool // no job that needs a slot begins or goes on
	now   time.Duration
	work  []*job
	wait  []*job
}

// stationStep is the longest time for which the factor is taken as constant.
const stationStep = 20 * time.Millisecond

// slotted counts the jobs in work that need a slot.
func (s *station) slotted() (n int) {
	for _, j := range s.work {
		if !j.free {
			n++
		}
	}
	return n
}

// held is how many jobs the station holds, beside the free ones.
func (s *station) held() int { return s.slotted() + len(s.wait) }

// add takes a job in, unless there is no room.
func (s *station) add(j *job) bool {
	switch {
	case j.free || !s.stuck && s.slotted() < s.slots && len(s.wait) == 0:
		s.begin(j)
	case s.stuck || len(s.wait) < s.room:
		s.wait = append(s.wait, j)
	default:
		return false
	}
	return true
}

// begin starts a job. One that finds that there is nothing to do ends at once.
func (s *station) begin(j *job) {
	if j.start != nil && !j.start() {
		j.left = 0
	}
	s.work = append(s.work, j)
}

// remove drops a job, wherever it is.
func (s *station) remove(j *job) {
	s.wait = slices.DeleteFunc(s.wait, func(o *job) bool { return o == j })
	s.work = slices.DeleteFunc(s.work, func(o *job) bool { return o == j })
	s.fill()
}

// fill starts waiting jobs while there are slots.
func (s *station) fill() {
	for !s.stuck && len(s.wait) > 0 && s.slotted() < s.slots {
		j := s.wait[0]
		s.wait = s.wait[1:]
		s.begin(j)
	}
}

// setStuck stops the jobs that need a slot, or has them go on.
func (s *station) setStuck(stuck bool) {
	s.stuck = stuck
	s.fill()
}

// moves says whether a job in work goes on.
func (s *station) moves(j *job) bool { return j.free || !s.stuck }

// rate is how fast each job that goes on does so, in work seconds a second.
func (s *station) rate() float64 {
	n := len(s.work)
	if s.stuck {
		n -= s.slotted()
	}
	return s.speed * s.factor(s.now) * min(1, s.cores/float64(max(1, n)))
}

// advance goes on to a time and ends the jobs that are done by then.
func (s *station) advance(to time.Duration) {
	for {
		if i := slices.IndexFunc(s.work, func(j *job) bool { return j.left <= 1e-9 && s.moves(j) }); i >= 0 {
			j := s.work[i]
			s.work = slices.Delete(s.work, i, i+1)
			if j.done != nil {
				j.done()
			}
			s.fill()
			continue
		}
		next := s.next()
		if s.now >= to || next == math.MaxInt64 {
			s.now = max(s.now, to)
			return
		}
		step := min(to, next) - s.now
		did := s.rate() * step.Seconds()
		for _, j := range s.work {
			if s.moves(j) {
				j.left -= did
			}
		}
		s.now += step
	}
}

// next is when advance has something to do again: a job is done, or the factor may have changed.
func (s *station) next() time.Duration {
	shortest := math.Inf(1)
	for _, j := range s.work {
		if s.moves(j) {
			shortest = min(shortest, j.left)
		}
	}
	if math.IsInf(shortest, 1) {
		return math.MaxInt64
	}
	wait := stationStep
	if rate := s.rate(); rate > 0 {
		// Rounded up, or a rest would be left that takes no time.
		wait = min(wait, time.Duration(math.Ceil(shortest/rate*float64(time.Second))))
	}
	return s.now + wait
}
