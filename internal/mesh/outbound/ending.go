package outbound

import (
	"errors"
	"slices"

	"example.org/micaline/internal/mesh/transport"
)

// Why no attempt of a job is needed any more.
var (
	errAnswered    = errors.New("the request has its answer")
	errProcessEnds = errors.New("the process is about to end")
	errClientLeft  = errors.New("the client has left")
)

// withdrawer is what an attempt waits in: it can be told that the wait is for nobody.
type withdrawer interface{ withdraw(clientLeft bool) }

// end ends a job: no attempt of it is needed any more. Only the first cause counts.
func (j *job) end(cause error) {
	j.mu.Lock()
	if j.cause != nil {
		j.mu.Unlock()
		return
	}
	j.cause = cause
	out := j.out
	j.out = nil
	j.mu.Unlock()
	close(j.over)
	for _, w := range out {
		if w != nil {
			w.withdraw(cause == errClientLeft)
		}
	}
}

// enter has an attempt's wait withdrawn when the job ends. It says false if that has ended.
func (j *job) enter(w withdrawer) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cause != nil {
		return false
	}
	j.out = append(j.out, w)
	return true
}

// leave takes that back: the attempt waits no more.
func (j *job) leave(w withdrawer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if i := slices.Index(j.out, w); i >= 0 {
		j.out[i] = nil
	}
}

func (j *job) endedBy() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cause
}

// isOver says whether no attempt is needed any more.
func (j *job) isOver() bool { return j.endedBy() != nil }

// hasLeft says whether the client left before there was an answer.
func (j *job) hasLeft() bool { return j.endedBy() == errClientLeft }

// owesNothing says whether the client has its answer or has left. Where the process is about to end
// an answer is still owed.
func (j *job) owesNothing() bool {
	cause := j.endedBy()
	return cause == errAnswered || cause == errClientLeft
}

// isExpired says whether the process is about to end: no answer is waited for any more.
func (j *job) isExpired() bool { return j.endedBy() == errProcessEnds }

// expire ends the wait for an answer: the process is about to end, and what has not run may be said
// to have not.
func (j *job) expire() { j.end(errProcessEnds) }

// clientGone looks whether the client has left. Danger: after the process stood still timers and
// slots fall due before its close has been read, and what they begin would begin for nobody.
func (j *job) clientGone() bool {
	if !j.hasLeft() && j.client.ClientClosed() {
		j.end(errClientLeft)
	}
	return j.hasLeft()
}

// win makes an attempt the request's answer, if it has none yet and its client still waits.
func (j *job) win(at *attempt) {
	j.mu.Lock()
	if j.won == nil && j.cause == nil {
		j.won = at
	}
	j.mu.Unlock()
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
	return outcome{attempt: j.last, left: j.cause == errClientLeft}
}

// excuse marks the failure of an attempt that was ended from here: it says nothing of its backend. One
// that a later attempt overtook was silent for long, which does.
func (j *job) excuse(at *attempt) {
	if at.fail == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cause == errClientLeft || j.won != nil && j.won.n < at.n {
		at.fail.Reason = transport.Cancelled
	}
}
