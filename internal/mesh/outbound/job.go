package outbound

import (
	"sync"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// job is a request on its way.
type job struct {
	began    time.Time
	route    *meshconfig.Route
	request  transport.Request
	body     []byte
	deadline time.Time
	aim      time.Time
	chooser  *chooser
	call     *call
	inner    bool // called by a run of a backend
	repeated bool // by a run that was a repeat itself

	mu        sync.Mutex
	attempts  int                 // started
	reached   int                 // of these, those that reached a backend, or may yet
	uncertain int                 // of these, those of which nobody has proven that they did not run
	steps     []transport.Attempt // attempts that have ended, but for one that was all and succeeded
	last      *attempt            // the best answer that is no success
	done      chan struct{}
	expired   chan struct{} // closed when the process ends: no answer is waited for any more
	won       *attempt
	inline    *transport.Conn // of the attempt that the request's own goroutine waits for; nil once it is given back
}

// run carries out what the chooser orders until the request has its answer.
func (s *Sender) run(j *job, left time.Duration) outcome {
	c := j.chooser
	again := func(a policy.Action, t *target) { go s.copy(j, a, t) }
	j.call = c.begin(classIndex(c.classes, j.route, j.inner), left, again)
	defer c.forget(j.call)
	s.register(j)
	defer s.unregister(j)
	for {
		a, t, ok := c.take(j.call)
		if !ok { // nothing to do but to wait for an attempt that another goroutine carries out
			if o, over := j.wait(); over {
				return o
			}
			continue
		}
		switch a.Kind {
		case policy.ActRefuse:
			return outcome{attempt: j.best(), refused: true, after: a.Wait}
		case policy.ActFail:
			return outcome{attempt: j.best()}
		}
		at := s.attempt(j, a, t, j.started(), true)
		if j.isDone() {
			s.ended(j, at)
			return outcome{attempt: j.won}
		}
		if s.ended(j, at) {
			return outcome{attempt: at}
		}
	}
}

// wait waits for an order, or for the end of the request.
func (j *job) wait() (o outcome, over bool) {
	late := time.NewTimer(time.Until(j.deadline))
	defer late.Stop()
	select {
	case <-j.call.ready:
		return outcome{}, false
	case <-j.done:
		return outcome{attempt: j.won}, true
	case <-j.expired:
	case <-late.C:
	}
	return outcome{attempt: j.best()}, true
}

func (j *job) started() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	return j.attempts - 1
}

// mayStart counts a backend that the request is about to be sent to, and says whether it may go there:
// while the route allows one more, and never where it must not run twice and an attempt may have
// run. Danger: an attempt that is out may have reached its backend, so it counts until it is proven
// that it did not.
func (j *job) mayStart() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.reached >= max(1, j.route.Tries) || j.request.Unsafe && j.uncertain > 0 {
		return false
	}
	j.reached++
	j.uncertain++
	return true
}

// provedNotRun takes in that an attempt did not run and never will; arrived says that a backend itself
// turned it away.
func (j *job) provedNotRun(arrived bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.uncertain--
	if !arrived {
		j.reached--
	}
}

// mayHaveRun says that nothing may be promised about the request: it must not run twice, and an
// attempt of it ran, is out, or may have run.
func (j *job) mayHaveRun() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.request.Unsafe && j.uncertain > 0
}

// hold names the connection on which the request's own goroutine waits, so that its wait can be
// ended. It says false if the request has its answer already.
func (j *job) hold(c *transport.Conn) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.isDone() || j.isExpired() {
		return false
	}
	j.inline = c
	return true
}

// release takes that back. Danger: from here on the connection may be another request's, and nobody
// may end its wait for this one.
func (j *job) release() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inline = nil
}

// expire ends the wait for an answer: the process is about to end, and what has not run may be said to have not.
func (j *job) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.expired)
	if j.inline != nil {
		j.inline.SetDeadline(time.Unix(1, 0))
	}
}

// win makes an attempt the request's answer, if it has none yet.
func (j *job) win(at *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.won != nil {
		return
	}
	j.won = at
	close(j.done)
	if j.inline != nil {
		j.inline.SetReadDeadline(time.Unix(1, 0)) // what the request's own goroutine waits for is not needed
	}
}

func (j *job) isExpired() bool { return closed(j.expired) }

func (j *job) isDone() bool { return closed(j.done) }

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// best is the answer to pass on where no attempt succeeded.
func (j *job) best() *attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last
}
