package outbound

import (
	"sync"
	"time"

	"example.org/micaline/internal/hangup"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// pendingRequest is the state of a client's request while the sender serves it.
type pendingRequest struct {
	startedAt       time.Time
	route           *meshconfig.Route
	request         transport.Request
	body            []byte
	deadline        time.Time
	answerTarget    time.Time // when the target latency is over: a later response is worth less
	backendDeadline time.Time // no backend works on the request beyond this; zero: no shutdown limits it
	balancer        *serviceBalancer
	balanced        *balancedRequest // nil until runRequest has begun it
	clientWatch     *hangup.Watcher  // nil: the connection can't be watched
	done            chan struct{}    // closed once the request needs no more attempts
	inner           bool             // made by a backend in the course of a run
	parentRepeated  bool             // the run that made the request was a repeat

	mu               sync.Mutex
	attemptsStarted  int
	possibleArrivals int                 // attempts that reached a backend, or may yet
	possibleRuns     int                 // attempts that ran, or may have
	attemptTraces    []transport.Attempt // ended attempts; a single one that succeeded is left out
	fallback         *backendAttempt     // the best failure so far, to be forwarded if no attempt succeeds
	winner           *backendAttempt     // the hedge that answered the request; nil: none
	cause            error               // why the request needs no more attempts; nil: it may need more
	waiters          []waiter            // attempts in flight; an entry is nil once its attempt has ended
}

// runRequest carries out the balancer's actions until the request is answered or its client has
// left.
func (s *Sender) runRequest(p *pendingRequest, remaining time.Duration) requestResult {
	defer p.finish(errAnswered) // attempts that are still in flight are no longer needed
	balancer := p.balancer
	startHedge := func(action policy.Action, target *backendTarget) { go s.runHedge(p, action, target) }
	p.balanced = balancer.beginRequest(classIndex(balancer.classes, p.route, p.inner), remaining, startHedge)
	defer func() { balancer.endRequest(p.balanced, p.clientLeft()) }()
	s.register(p)
	defer s.unregister(p)
	for {
		action, target, ok := balancer.nextAction(p.balanced)
		if !ok { // wait for an attempt that another goroutine carries out
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

// awaitAction waits for the next action, or for the end of the request.
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

// nextAttemptNumber numbers a new attempt.
func (p *pendingRequest) nextAttemptNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attemptsStarted++
	return p.attemptsStarted - 1
}

// reserveAttempt counts an attempt that is about to be sent, and reports whether it may be. The
// route limits how many backends a request reaches, and an unsafe request is never sent while
// another attempt may have run. An attempt in flight may have reached its backend, so it counts
// until it is proven that it has not.
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

// recordNotRun records that an attempt did not run and never will. If it reached the backend, which
// turned it away, it still counts against the route's limit.
func (p *pendingRequest) recordNotRun(reachedBackend bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleRuns--
	if !reachedBackend {
		p.possibleArrivals--
	}
}

// mayHaveRun reports whether the request is unsafe and an attempt of it ran, may have run or is in
// flight. Nothing may be promised about it then.
func (p *pendingRequest) mayHaveRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.request.Unsafe && p.possibleRuns > 0
}

// fallbackAttempt returns the failure to forward if no attempt succeeds.
func (p *pendingRequest) fallbackAttempt() *backendAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fallback
}
