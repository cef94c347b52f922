package outbound

import (
	"errors"
	"slices"

	"example.org/micaline/internal/mesh/transport"
)

// Why a request needs no more attempts.
var (
	errAnswered      = errors.New("the request has its answer")
	errProcessEnding = errors.New("the process is about to end")
	errClientLeft    = errors.New("the client has left")
)

// waiter is an attempt that waits for its reply. It is told when the reply is no longer needed.
type waiter interface{ cancel(clientLeft bool) }

// finish ends the request: it needs no more attempts, and those in flight are cancelled. Only the
// first cause counts.
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

// addWaiter registers an attempt to be cancelled when the request is finished. It returns false if
// the request is already finished.
func (p *pendingRequest) addWaiter(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cause != nil {
		return false
	}
	p.waiters = append(p.waiters, w)
	return true
}

// removeWaiter unregisters an attempt that has its reply.
func (p *pendingRequest) removeWaiter(w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters[i] = nil
	}
}

// finishCause returns why the request is finished, nil if it is not.
func (p *pendingRequest) finishCause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cause
}

// isFinished reports whether the request needs no more attempts.
func (p *pendingRequest) isFinished() bool { return p.finishCause() != nil }

// clientLeft reports whether the client left before there was a response.
func (p *pendingRequest) clientLeft() bool { return p.finishCause() == errClientLeft }

// isSettled reports whether the client needs no response any more: it has one or has left. A
// request that a shutdown cut off still needs one.
func (p *pendingRequest) isSettled() bool {
	cause := p.finishCause()
	return cause == errAnswered || cause == errClientLeft
}

// isCutByShutdown reports whether the shutdown has ended the wait for a response.
func (p *pendingRequest) isCutByShutdown() bool { return p.finishCause() == errProcessEnding }

// cutByShutdown ends the wait for a response because the process is about to end. A request that
// has not run can still be refused with that promise.
func (p *pendingRequest) cutByShutdown() { p.finish(errProcessEnding) }

// checkClientLeft looks at the socket to find out whether the client has left. After the process
// has been paused, timers and slots may fall due before the client's close has been read; work that
// they began would have no client.
func (p *pendingRequest) checkClientLeft() bool {
	if !p.clientLeft() && p.clientWatch.ClientClosed() {
		p.finish(errClientLeft)
	}
	return p.clientLeft()
}

// setWinner makes an attempt the answer to the request, if it has none yet and its client still
// waits.
func (p *pendingRequest) setWinner(attempt *backendAttempt) {
	p.mu.Lock()
	if p.winner == nil && p.cause == nil {
		p.winner = attempt
	}
	p.mu.Unlock()
	p.finish(errAnswered)
}

// result returns how the request ended. The attempt is one that brought an answer, nil for none; an
// answer that another attempt brought before takes precedence.
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

// markCancelled marks the failure of an attempt that the sender itself ended, which says nothing
// about the backend: the client left, or an earlier attempt brought the answer. An attempt that a
// later one overtook keeps its reason, as its backend was silent for long.
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
