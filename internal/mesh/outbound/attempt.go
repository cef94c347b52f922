package outbound

import (
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// minRefusalBackoff is the shortest time for which a gate that refused a request is avoided. Asking
// again costs a message.
const minRefusalBackoff = 20 * time.Millisecond

// backendAttempt is one attempt of a request: its handing over to one backend, and how that ended.
type backendAttempt struct {
	number    int // index among the request's attempts, from 0
	server    policy.ServerID
	target    *backendTarget // nil: the backend is no longer known, nothing was sent
	startedAt time.Time
	reply     *transport.Reply
	body      []byte
	failure   *transport.Failure // nil: reply is a backend's response
}

// failNotRun ends an attempt that has not been sent.
func (a *backendAttempt) failNotRun(reason transport.Reason) *backendAttempt {
	a.failure = &transport.Failure{Verdict: transport.NotRun, Reason: reason}
	return a
}

// runAttempt hands the request to a backend's gate and waits for the reply.
func (s *Sender) runAttempt(p *pendingRequest, action policy.Action, target *backendTarget, number int) *backendAttempt {
	attempt := &backendAttempt{number: number, server: action.Server, target: target, startedAt: time.Now()}
	remaining := p.deadline.Sub(attempt.startedAt)
	switch {
	case target == nil:
		return attempt.failNotRun(transport.UnknownBackend)
	case p.isCutByShutdown() || remaining <= 0:
		return attempt.failNotRun(transport.TooLate)
	case p.isFinished() || p.checkClientLeft():
		return attempt.failNotRun(transport.Cancelled)
	case !p.reserveAttempt():
		// The route's attempts are used up, or an earlier one may have run.
		return attempt.failNotRun(transport.LocalShortage)
	}
	s.Counters.Attempts.Add(1)
	request := p.request
	if request.Repeat = p.parentRepeated || number > 0; number > 0 {
		s.Counters.RepeatedAttempts.Add(1)
	}
	request.Target, request.Life, request.Left, request.Aim = target.backendID, target.gateIncarnation, p.backendTimeLeft(attempt.startedAt), p.answerTarget.Sub(attempt.startedAt)
	if target.local {
		s.Counters.LocalAttempts.Add(1)
		attempt.reply, attempt.body, attempt.failure = s.sendLocal(p, &request)
	} else {
		attempt.reply, attempt.body, attempt.failure = s.sendRemote(p, transport.Endpoint{Address: target.gateAddress, Life: target.gateIncarnation}, &request)
	}
	if attempt.reply != nil && attempt.reply.Verdict != transport.Ran {
		attempt.failure = &transport.Failure{Verdict: attempt.reply.Verdict, Reason: attempt.reply.Reason, RetryAfter: attempt.reply.After}
	}
	p.markCancelled(attempt)
	if attempt.failure != nil && attempt.failure.Verdict == transport.NotRun {
		p.recordNotRun(attempt.reply != nil && attempt.reply.Arrived)
	}
	return attempt
}

// backendTimeLeft returns how long a backend that gets the request now may work on it.
func (p *pendingRequest) backendTimeLeft(now time.Time) time.Duration {
	remaining := p.deadline.Sub(now)
	if p.backendDeadline.IsZero() {
		return remaining
	}
	return max(min(remaining, p.backendDeadline.Sub(now)), time.Millisecond)
}

// sendLocal hands a request to the gate on this machine. A silent backend must not keep the process
// from responding before it ends, so the wait for it stops when the shutdown ends the request. If
// the client has left, the wait goes on: the gate decides whether the work is cancelled or runs to
// its end.
func (s *Sender) sendLocal(p *pendingRequest, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	type localReply struct {
		reply *transport.Reply
		body  []byte
	}
	caller := localCaller{Caller: inbound.Caller{Disconnected: p.checkClientLeft}}
	if !p.addWaiter(&caller) {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cancelled}
	}
	defer p.removeWaiter(&caller)
	replies := make(chan localReply, 1)
	go func() {
		reply, body := s.localGate.Handle(&caller.Caller, request, p.body)
		replies <- localReply{reply, body}
	}()
	select {
	case r := <-replies:
		return r.reply, r.body, nil
	case <-p.done:
	}
	if !p.clientLeft() {
		return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.ResponseTimeout}
	}
	r := <-replies
	return r.reply, r.body, nil
}

// localCaller stands for a request at the gate on this machine.
type localCaller struct{ inbound.Caller }

func (c *localCaller) cancel(bool) { c.MarkGone() }

// runHedge makes an attempt that runs beside another one of the same request.
func (s *Sender) runHedge(p *pendingRequest, action policy.Action, target *backendTarget) {
	attempt := s.runAttempt(p, action, target, p.nextAttemptNumber())
	if s.reportAttempt(p, attempt) {
		p.setWinner(attempt)
	}
}

// reportAttempt reports to the balancer how an attempt ended, and returns whether it answers the
// request.
func (s *Sender) reportAttempt(p *pendingRequest, attempt *backendAttempt) (answered bool) {
	outcome, load, retryAfter := policy.OK, policy.Load{}, time.Duration(0)
	switch {
	case attempt.failure != nil:
		s.Counters.countUnanswered(attempt.failure)
		outcome, retryAfter = policyOutcome(attempt.failure), max(attempt.failure.RetryAfter, minRefusalBackoff)
	case attempt.reply.Status >= 500 && attempt.reply.Inner:
		// The backend's own inner request failed. If that were counted as the backend's error, an
		// unavailable service would make all services that call it look unavailable too.
		outcome = policy.Cancelled
	case attempt.reply.Status >= 500:
		outcome = policy.Error
	}
	if attempt.reply != nil {
		load = policyLoad(&attempt.reply.Load)
	}
	p.recordAttempt(attempt, outcome)
	// After a failed inner request, another backend would fail in the same way.
	isFinal := attempt.failure == nil && (outcome == policy.OK || outcome == policy.Cancelled)
	p.balancer.reportOutcome(p.balanced, attempt.number, attempt.server, outcome, load, retryAfter, attempt.reply != nil && attempt.reply.Arrived, isFinal || p.isSettled())
	return isFinal
}

// recordAttempt keeps an attempt that has ended: for the trace, and as the fallback if it is the
// best failure so far. A backend's response is the best. An attempt without one is only replaced by
// such a response, or, if it did not run, by any later attempt.
func (p *pendingRequest) recordAttempt(attempt *backendAttempt, outcome policy.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome != policy.OK && (p.fallback == nil || p.fallback.failure != nil && (attempt.failure == nil || p.fallback.failure.Verdict == transport.NotRun)) {
		p.fallback = attempt
	}
	if outcome != policy.OK || p.attemptsStarted > 1 {
		p.appendTrace(attempt)
	}
}

// policyOutcome translates a failure into the balancer's terms.
func policyOutcome(f *transport.Failure) policy.Outcome {
	switch {
	case f.Verdict == transport.NotRun && f.Reason == transport.Unreachable:
		return policy.ConnectFailed
	case f.Reason == transport.Cancelled && f.Verdict != transport.NotRun:
		return policy.Cancelled
	case f.Verdict == transport.NotRun && (f.Reason == transport.LocalShortage || f.Reason == transport.Cancelled):
		return policy.NotSent
	case f.Verdict == transport.NotRun:
		return policy.Full
	case f.Reason == transport.ResponseTimeout:
		return policy.Timeout
	}
	return policy.Reset
}
