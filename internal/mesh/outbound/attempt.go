package outbound

import (
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// leastFull is how long a gate which refused is passed by at least: it costs a message to ask.
const minRefusalBackoff = 20 * time.Millisecond

// attempt is one that is under way for a request.
type backendAttempt struct {
	number    int
	server    policy.ServerID
	target    *backendTarget // nil: it went nowhere
	startedAt time.Time
	reply     *transport.Reply
	body      []byte
	failure   *transport.Failure
}

// refuse ends an attempt that went nowhere.
func (attempt *backendAttempt) failNotRun(reason transport.Reason) *backendAttempt {
	attempt.failure = &transport.Failure{Verdict: transport.NotRun, Reason: reason}
	return attempt
}

// attempt hands the request to a gate and waits for what comes of it.
func (s *Sender) runAttempt(p *pendingRequest, action policy.Action, target *backendTarget, number int) *backendAttempt {
	attempt := &backendAttempt{number: number, server: action.Server, target: target, startedAt: time.Now()}
	remaining := p.deadline.Sub(attempt.startedAt)
	switch {
	case target == nil:
		return attempt.failNotRun(transport.Unknown)
	case p.isCutByShutdown() || remaining <= 0:
		return attempt.failNotRun(transport.Late)
	case p.isFinished() || p.checkClientLeft():
		return attempt.failNotRun(transport.Cancelled)
	case !p.reserveAttempt():
		return attempt.failNotRun(transport.Own) // the route's tries are used up, or it may have run
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
		attempt.failure = &transport.Failure{Verdict: attempt.reply.Verdict, Reason: attempt.reply.Reason, After: attempt.reply.After}
	}
	p.markCancelled(attempt)
	if attempt.failure != nil && attempt.failure.Verdict == transport.NotRun {
		p.recordNotRun(attempt.reply != nil && attempt.reply.Arrived)
	}
	return attempt
}

// backendTime is how long a backend that gets the request now may work on it.
func (p *pendingRequest) backendTimeLeft(now time.Time) time.Duration {
	remaining := p.deadline.Sub(now)
	if p.backendDeadline.IsZero() {
		return remaining
	}
	return max(min(remaining, p.backendDeadline.Sub(now)), time.Millisecond)
}

// local hands a request to the gate on this machine. Danger: a backend that is silent would have the process end with the request
// unanswered, so it is waited for only until then. Where a client has left, the gate knows what ends and what goes on.
func (s *Sender) sendLocal(p *pendingRequest, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	type localReply struct {
		reply *transport.Reply
		body  []byte
	}
	caller := localCaller{Caller: inbound.Caller{Look: p.checkClientLeft}}
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
		return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Silent}
	}
	r := <-replies
	return r.reply, r.body, nil
}

// localCaller is a job as the caller of the gate on this machine.
type localCaller struct{ inbound.Caller }

func (c *localCaller) cancel(bool) { c.Leave() }

// copy carries out an attempt beside one that is out.
func (s *Sender) runHedge(p *pendingRequest, action policy.Action, target *backendTarget) {
	attempt := s.runAttempt(p, action, target, p.nextAttemptNumber())
	if s.reportAttempt(p, attempt) {
		p.setWinner(attempt)
	}
}

// ended tells the chooser how an attempt ended, and whether that is the request's answer.
func (s *Sender) reportAttempt(p *pendingRequest, attempt *backendAttempt) (answered bool) {
	outcome, load, retryAfter := policy.OK, policy.Load{}, time.Duration(0)
	switch {
	case attempt.failure != nil:
		s.Counters.countUnanswered(attempt.failure)
		outcome, retryAfter = policyOutcome(attempt.failure), max(attempt.failure.After, minRefusalBackoff)
	case attempt.reply.Status >= 500 && attempt.reply.Inner:
		outcome = policy.Cancelled // danger: were it the backend's fault, a service that is out would take out all that call it
	case attempt.reply.Status >= 500:
		outcome = policy.Error
	}
	if attempt.reply != nil {
		load = policyLoad(&attempt.reply.Load)
	}
	p.recordAttempt(attempt, outcome)
	isFinal := attempt.failure == nil && (outcome == policy.OK || outcome == policy.Cancelled) // nor would another backend's calls fare better
	p.balancer.reportOutcome(p.balanced, attempt.number, attempt.server, outcome, load, retryAfter, attempt.reply != nil && attempt.reply.Arrived, isFinal || p.isSettled())
	return isFinal
}

// record keeps how an attempt ended.
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

// outcomeOf translates a verdict for the module.
func policyOutcome(f *transport.Failure) policy.Outcome {
	switch {
	case f.Verdict == transport.NotRun && f.Reason == transport.Unreachable:
		return policy.ConnectFailed
	case f.Reason == transport.Cancelled && f.Verdict != transport.NotRun:
		return policy.Cancelled
	case f.Verdict == transport.NotRun && (f.Reason == transport.Own || f.Reason == transport.Cancelled):
		return policy.Moot
	case f.Verdict == transport.NotRun:
		return policy.Full
	case f.Reason == transport.Silent:
		return policy.Timeout
	}
	return policy.Reset
}
