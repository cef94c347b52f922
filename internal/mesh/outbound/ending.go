package outbound

import (
	"errors"
	"slices"

	"example.org/micaline/internal/mesh/transport"
)

// Why no attempt of a job is needed any more.
var (
	errAnswered      = errors.New("the request has its answer")
	errProcessEnding = errors.New("the process is about to end")
	errClientLeft    = errors.New("the client has left")
)

// withdrawer is what an attempt waits in: it can be told that the wait is for nobody.
type waiter interface{ cancel(clientLeft bool) }

// end ends a job: no attempt of it is needed any more. Only the first cause counts.
func (p *pendingRequest) finish(cause error) {
	p.mu.Lock()
	if p.cause != nil {
		p.mu.Unlock()
		return
	}
	p.cause = cause
	waiters := p.waiters
	p.waiters = nil
	p.mu.Unlock()
	close(p.done)
	for _, w := range waiters {
		if w != nil {
			w.cancel(cause == errClientLeft)
		}
	}
}

// enter has an attempt's wait withdrawn when the job ends. It says false if that has ended.
func (p *pendingRequest) addWaiter(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cause != nil {
		return false
	}
	p.waiters = append(p.waiters, w)
	return true
}

// leave takes that back: the attempt waits no more.
func (p *pendingRequest) removeWaiter(w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters[i] = nil
	}
}

func (p *pendingRequest) finishCause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cause
}

// isOver says whether no attempt is needed any more.
func (p *pendingRequest) isFinished() bool { return p.finishCause() != nil }

// hasLeft says whether the client left before there was an answer.
func (p *pendingRequest) clientLeft() bool { return p.finishCause() == errClientLeft }

// owesNothing says whether the client has its answer or has left. Where the process is about to end
// an answer is still owed.
func (p *pendingRequest) isSettled() bool {
	cause := p.finishCause()
	return cause == errAnswered || cause == errClientLeft
}

// isExpired says whether the process is about to end: no answer is waited for any more.
func (p *pendingRequest) isCutByShutdown() bool { return p.finishCause() == errProcessEnding }

// expire ends the wait for an answer: the process is about to end, and what has not run may be said
// to have not.
func (p *pendingRequest) cutByShutdown() { p.finish(errProcessEnding) }

// clientGone looks whether the client has left. Danger: after the process stood still timers and
// slots fall due before its close has been read, and what they begin would begin for nobody.
func (p *pendingRequest) checkClientLeft() bool {
	if !p.clientLeft() && p.clientWatch.HungUp() {
		p.finish(errClientLeft)
	}
	return p.clientLeft()
}

// win makes an attempt the request's answer, if it has none yet and its client still waits.
func (p *pendingRequest) setWinner(attempt *backendAttempt) {
	p.mu.Lock()
	if p.winner == nil && p.cause == nil {
		p.winner = attempt
	}
	p.mu.Unlock()
	p.finish(errAnswered)
}

// outcome is what the request ends with: with the answer that an attempt brought, nil for none, if
// another did not bring one before.
func (p *pendingRequest) result(attempt *backendAttempt) requestResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.winner != nil:
		return requestResult{attempt: p.winner}
	case attempt != nil:
		return requestResult{attempt: attempt}
	}
	return requestResult{attempt: p.fallback, clientLeft: p.cause == errClientLeft}
}

// excuse marks the failure of an attempt that was ended from here: it says nothing of its backend. One
// that a later attempt overtook was silent for long, which does.
func (p *pendingRequest) markCancelled(attempt *backendAttempt) {
	if attempt.failure == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cause == errClientLeft || p.winner != nil && p.winner.number < attempt.number {
		attempt.failure.Reason = transport.Cancelled
	}
}
