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
type pendingRequest struct {
	startedAt       time.Time
	route           *meshconfig.Route
	request         transport.Request
	body            []byte
	deadline        time.Time
	answerTarget    time.Time
	backendDeadline time.Time // the process ends: backends are given no more time than until then; zero: it does not
	balancer        *serviceBalancer
	balanced        *balancedRequest
	clientWatch     *hangup.Watch // nil: there is none that can be looked into
	done            chan struct{} // closed once no attempt is needed any more
	inner           bool          // called by a run of a backend
	parentRepeated  bool          // by a run that was a repeat itself

	mu               sync.Mutex
	attemptsStarted  int                 // started
	possibleArrivals int                 // of these, those that reached a backend, or may yet
	possibleRuns     int                 // of these, those of which nobody has proven that they did not run
	attemptTraces    []transport.Attempt // attempts that have ended, but for one that was all and succeeded
	fallback         *backendAttempt     // the best answer that is no success
	winner           *backendAttempt
	cause            error    // why no attempt is needed any more; nil: one may be
	waiters          []waiter // attempts that wait; nil stands for one that did
}

// run carries out what the chooser orders until the request has its answer, or its client has left.
func (s *Sender) runRequest(p *pendingRequest, remaining time.Duration) requestResult {
	defer p.finish(errAnswered) // whatever the answer is: attempts that are still out are for nobody
	balancer := p.balancer
	startHedge := func(action policy.Action, target *backendTarget) { go s.runHedge(p, action, target) }
	p.balanced = balancer.beginRequest(classIndex(balancer.classes, p.route, p.inner), remaining, startHedge)
	defer func() { balancer.endRequest(p.balanced, p.clientLeft()) }()
	s.register(p)
	defer s.unregister(p)
	for {
		action, target, ok := balancer.nextAction(p.balanced)
		if !ok { // nothing to do but to wait for an attempt that another goroutine carries out
			if result, finished := p.awaitAction(); finished {
				return result
			}
			continue
		}
		switch action.Kind {
		case policy.ActRefuse:
			return requestResult{attempt: p.fallbackAttempt(), refused: true, retryAfter: action.Wait}
		case policy.ActFail:
			return requestResult{attempt: p.fallbackAttempt()}
		}
		attempt := s.runAttempt(p, action, target, p.nextAttemptNumber())
		if s.reportAttempt(p, attempt) {
			return p.result(attempt)
		}
		if p.isSettled() {
			return p.result(nil)
		}
	}
}

// wait waits for an order, or for the end of the request.
func (p *pendingRequest) awaitAction() (result requestResult, finished bool) {
	deadlineTimer := time.NewTimer(time.Until(p.deadline))
	defer deadlineTimer.Stop()
	select {
	case <-p.balanced.actionReady:
		return requestResult{}, false
	case <-p.done:
	case <-deadlineTimer.C:
	}
	return p.result(nil), true
}

func (p *pendingRequest) nextAttemptNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attemptsStarted++
	return p.attemptsStarted - 1
}

// mayStart counts a backend that the request is about to be sent to, and says whether it may go there:
// while the route allows one more, and never where it must not run twice and an attempt may have
// run. Danger: an attempt that is out may have reached its backend, so it counts until it is proven
// that it did not.
func (p *pendingRequest) reserveAttempt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.possibleArrivals >= max(1, p.route.Tries) || p.request.Unsafe && p.possibleRuns > 0 {
		return false
	}
	p.possibleArrivals++
	p.possibleRuns++
	return true
}

// provedNotRun takes in that an attempt did not run and never will; arrived says that a backend itself
// turned it away.
func (p *pendingRequest) recordNotRun(reachedBackend bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleRuns--
	if !reachedBackend {
		p.possibleArrivals--
	}
}

// mayHaveRun says that nothing may be promised about the request: it must not run twice, and an
// attempt of it ran, is out, or may have run.
func (p *pendingRequest) mayHaveRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.request.Unsafe && p.possibleRuns > 0
}

// best is the answer to pass on where no attempt succeeded.
func (p *pendingRequest) fallbackAttempt() *backendAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fallback
}
