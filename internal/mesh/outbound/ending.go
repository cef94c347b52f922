package outbound

import (
	"context"
	"errors"

	"example.org/micaline/internal/mesh/transport"
)

// A job's context is done once no attempt of it is needed any more; the cause says why.
var (
	errAnswered    = errors.New("the request has its answer")
	errProcessEnds = errors.New("the process is about to end")
	errClientLeft  = errors.New("the client has left") // so does net/http's own context.Canceled
)

// follow has a job end with its client's request.
func (j *job) follow(request context.Context) {
	j.ctx, j.end = context.WithCancelCause(request)
}

// isOver says whether no attempt is needed any more.
func (j *job) isOver() bool { return j.ctx.Err() != nil }

// hasLeft says whether the client left before there was an answer.
func (j *job) hasLeft() bool {
	switch context.Cause(j.ctx) {
	case nil, errAnswered, errProcessEnds:
		return false
	}
	return true
}

// owesNothing says whether the client has its answer or has left. Where the process is about to end
// an answer is still owed.
func (j *job) owesNothing() bool { return j.isOver() && !j.isExpired() }

// isExpired says whether the process is about to end: no answer is waited for any more.
func (j *job) isExpired() bool { return context.Cause(j.ctx) == errProcessEnds }

// expire ends the wait for an answer: the process is about to end, and what has not run may be said
// to have not.
func (j *job) expire() { j.end(errProcessEnds) }

// clientGone looks whether the client has left. Danger: after the process stood still timers and
// slots fall due before its close has been read, and what they begin would begin for nobody.
func (j *job) clientGone() bool {
	if !j.hasLeft() && j.client.hungUp() {
		j.end(errClientLeft)
	}
	return j.hasLeft()
}

// win makes an attempt the request's answer, if it has none yet and its client still waits.
func (j *job) win(at *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.won != nil || j.isOver() {
		return
	}
	j.won = at
	j.end(errAnswered)
}

// outcome is what the request ends with: with the answer that an attempt brought, nil for none, if
// another did not bring one before.
func (j *job) outcome(answered *attempt) outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.won != nil:
		return outcome{attempt: j.won}
	case answered != nil:
		return outcome{attempt: answered}
	}
	return outcome{attempt: j.last, left: j.hasLeft()}
}

// excuse marks the failure of an attempt that was ended from here: it says nothing of its backend. One
// that a later attempt overtook was silent for long, which does.
func (j *job) excuse(at *attempt) {
	if at.fail == nil || at.fail.Verdict != transport.MayHaveRun {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.hasLeft() || j.won != nil && j.won.n < at.n {
		at.fail.Reason = transport.Cancelled
	}
}
