package outbound

import (
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
)

// leastFull is how long a gate which refused is passed by at least: it costs a message to ask.
const leastFull = 20 * time.Millisecond

// attempt is one that is under way for a request.
type attempt struct {
	n      int
	server policy.ServerID
	to     *target // nil: it went nowhere
	began  time.Time
	reply  *transport.Reply
	body   []byte
	fail   *transport.Failure
}

// refuse ends an attempt that went nowhere.
func (at *attempt) refuse(reason transport.Reason) *attempt {
	at.fail = &transport.Failure{Verdict: transport.NotRun, Reason: reason}
	return at
}

// attempt hands the request to a gate and waits for what comes of it.
func (s *Sender) attempt(j *job, a policy.Action, t *target, n int) *attempt {
	at := &attempt{n: n, server: a.Server, to: t, began: time.Now()}
	left := j.deadline.Sub(at.began)
	switch {
	case t == nil:
		return at.refuse(transport.UnknownBackend)
	case j.isExpired() || left <= 0:
		return at.refuse(transport.TooLate)
	case j.isOver() || j.clientGone():
		return at.refuse(transport.Cancelled)
	case !j.mayStart():
		return at.refuse(transport.LocalShortage) // the route's tries are used up, or it may have run
	}
	s.Count.Attempts.Add(1)
	ask := j.request
	if ask.Repeat = j.repeated || n > 0; n > 0 {
		s.Count.Repeats.Add(1)
	}
	ask.Target, ask.Life, ask.Left, ask.Aim = t.backend, t.life, j.backendTime(at.began), j.aim.Sub(at.began)
	if t.local {
		s.Count.Local.Add(1)
		at.reply, at.body, at.fail = s.local(j, &ask)
	} else {
		at.reply, at.body, at.fail = s.send(j, transport.Endpoint{Address: t.gate, Life: t.life}, &ask)
	}
	if at.reply != nil && at.reply.Verdict != transport.Ran {
		at.fail = &transport.Failure{Verdict: at.reply.Verdict, Reason: at.reply.Reason, RetryAfter: at.reply.After}
	}
	j.excuse(at)
	if at.fail != nil && at.fail.Verdict == transport.NotRun {
		j.provedNotRun(at.reply != nil && at.reply.Arrived)
	}
	return at
}

// backendTime is how long a backend that gets the request now may work on it.
func (j *job) backendTime(now time.Time) time.Duration {
	left := j.deadline.Sub(now)
	if j.doneBy.IsZero() {
		return left
	}
	return max(min(left, j.doneBy.Sub(now)), time.Millisecond)
}

// local hands a request to the gate on this machine. Danger: a backend that is silent would have the process end with the request
// unanswered, so it is waited for only until then. Where a client has left, the gate knows what ends and what goes on.
func (s *Sender) local(j *job, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	type answer struct {
		reply *transport.Reply
		body  []byte
	}
	caller := localCaller{Caller: inbound.Caller{Disconnected: j.clientGone}}
	if !j.enter(&caller) {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cancelled}
	}
	defer j.leave(&caller)
	came := make(chan answer, 1)
	go func() {
		reply, body := s.host.Handle(&caller.Caller, ask, j.body)
		came <- answer{reply, body}
	}()
	select {
	case a := <-came:
		return a.reply, a.body, nil
	case <-j.over:
	}
	if !j.hasLeft() {
		return nil, nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.ResponseTimeout}
	}
	a := <-came
	return a.reply, a.body, nil
}

// localCaller is a job as the caller of the gate on this machine.
type localCaller struct{ inbound.Caller }

func (c *localCaller) withdraw(bool) { c.MarkGone() }

// copy carries out an attempt beside one that is out.
func (s *Sender) copy(j *job, a policy.Action, t *target) {
	at := s.attempt(j, a, t, j.started())
	if s.ended(j, at) {
		j.win(at)
	}
}

// ended tells the chooser how an attempt ended, and whether that is the request's answer.
func (s *Sender) ended(j *job, at *attempt) (answered bool) {
	how, load, after := policy.OK, policy.Load{}, time.Duration(0)
	switch {
	case at.fail != nil:
		s.Count.unanswered(at.fail)
		how, after = outcomeOf(at.fail), max(at.fail.RetryAfter, leastFull)
	case at.reply.Status >= 500 && at.reply.Inner:
		how = policy.Cancelled // danger: were it the backend's fault, a service that is out would take out all that call it
	case at.reply.Status >= 500:
		how = policy.Error
	}
	if at.reply != nil {
		load = loadOf(&at.reply.Load)
	}
	j.record(at, how)
	final := at.fail == nil && (how == policy.OK || how == policy.Cancelled) // nor would another backend's calls fare better
	j.chooser.outcome(j.call, at.n, at.server, how, load, after, at.reply != nil && at.reply.Arrived, final || j.owesNothing())
	return final
}

// record keeps how an attempt ended.
func (j *job) record(at *attempt, how policy.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if how != policy.OK && (j.last == nil || j.last.fail != nil && (at.fail == nil || j.last.fail.Verdict == transport.NotRun)) {
		j.last = at
	}
	if how != policy.OK || j.attempts > 1 {
		j.step(at)
	}
}

// outcomeOf translates a verdict for the module.
func outcomeOf(f *transport.Failure) policy.Outcome {
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
