package outbound

import (
	"sync"
	"time"

	"example.org/micaline/internal/hangup"
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
	doneBy   time.Time // the process ends: backends are given no more time than until then; zero: it does not
	chooser  *chooser
	call     *call
	client   *hangup.Watcher // nil: there is none that can be looked into
	over     chan struct{}   // closed once no attempt is needed any more
	inner    bool            // called by a run of a backend
	repeated bool            // by a run that was a repeat itself

	mu        sync.Mutex
	attempts  int                 // started
	reached   int                 // of these, those that reached a backend, or may yet
	uncertain int                 // of these, those of which nobody has proven that they did not run
	steps     []transport.Attempt // attempts that have ended, but for one that was all and succeeded
	last      *attempt            // the best answer that is no success
	won       *attempt
	cause     error        // why no attempt is needed any more; nil: one may be
	out       []withdrawer // attempts that wait; nil stands for one that did
}

// run carries out what the chooser orders until the request has its answer, or its client has left.
func (s *Sender) run(j *job, left time.Duration) outcome {
	defer j.end(errAnswered) // whatever the answer is: attempts that are still out are for nobody
	c := j.chooser
	again := func(a policy.Action, t *target) { go s.copy(j, a, t) }
	j.call = c.begin(classIndex(c.classes, j.route, j.inner), left, again)
	defer func() { c.forget(j.call, j.hasLeft()) }()
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
		at := s.attempt(j, a, t, j.started())
		if s.ended(j, at) {
			return j.outcome(at)
		}
		if j.owesNothing() {
			return j.outcome(nil)
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
	case <-j.over:
	case <-late.C:
	}
	return j.outcome(nil), true
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

// best is the answer to pass on where no attempt succeeded.
func (j *job) best() *attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last
}
