package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	connectTimeout = time.Second // limit for opening a connection to the backend
	// responseSlack is added to a request's time limit, so that the backend can report a timeout
	// itself.
	responseSlack = 50 * time.Millisecond
)

// Handle forwards a request to the backend and returns the reply with its body. Once the caller is
// gone the request is no longer dispatched. If it is running already, it is cancelled only if it is
// safe to repeat; an unsafe request runs to its end.
func (h *Host) Handle(caller *Caller, req *transport.Request, body []byte) (*transport.Reply, []byte) {
	arrivedAt := time.Now()
	var address string
	var waited time.Duration
	failure := cancelledFailure(transport.NotRun)
	if !caller.IsGone() {
		address, waited, failure = h.admit(caller, req)
	}
	if failure != nil {
		h.recordFailure(req, failure, waited, time.Since(arrivedAt))
		reply := h.failureReply(failure)
		reply.Waited = waited
		return reply, nil
	}
	h.Dispatched.Add(1)
	run := h.beginRun(req)
	req.Left = max(req.Left-time.Since(arrivedAt), time.Millisecond)
	sentAt := time.Now()
	resp, failure := h.forward(caller, address, req, body, sentAt)
	elapsed := time.Since(sentAt)
	var notRun *transport.Failure
	if failure == nil {
		notRun = resp.notRunFailure()
	}
	h.finishRun(req, run, resp, failure, notRun, elapsed)
	if failure == nil {
		failure = notRun
	}
	if failure != nil {
		if failure.Reason != transport.Cancelled {
			h.Failed.Add(1)
		}
		h.recordFailure(req, failure, waited, waited+elapsed)
		reply := h.failureReply(failure)
		reply.Waited, reply.Arrived = waited, notRun != nil
		return reply, nil
	}
	h.Answered.Add(1)
	h.Traces.Plain()
	return &transport.Reply{Verdict: transport.Ran, Status: resp.status, Header: resp.header, Body: int64(len(resp.body)), Waited: waited,
		Load: h.Load(), Inner: run.callFailed && resp.status >= 500}, resp.body
}

// beginRun registers a request that is about to run at the backend.
func (h *Host) beginRun(req *transport.Request) *backendRun {
	run := &backendRun{repeat: req.Repeat, customer: req.Customer}
	if !req.Inner { // usage counts what a tenant's clients request, not the calls that follow from it
		run.usageMark = h.usage.Add(req.Customer)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[req.Try] = run
	return run
}

// forward sends a request to the backend and waits for the response. A silent backend may still be
// running the request, so the wait lasts until the request's time limit.
func (h *Host) forward(caller *Caller, address string, req *transport.Request, body []byte, sentAt time.Time) (*response, *transport.Failure) {
	conn, failure := h.connect(caller, address, req, sentAt)
	if caller.IsGone() && (conn != nil || failure.Reason == transport.Unreachable) {
		if conn != nil {
			h.pool.Put(conn)
		}
		return nil, cancelledFailure(transport.NotRun)
	}
	if failure != nil {
		return nil, failure
	}
	conn.SetDeadline(sentAt.Add(req.Left + responseSlack))
	if req.Unsafe {
		return h.roundTripUninterrupted(conn, req, body)
	}
	return h.roundTripCancellable(caller, conn, req, body)
}

// finishRun records how a run ended: without a response (failure), with a response that says the
// request did not run (notRun), or with a regular one. If nothing listens at the backend's address,
// or another instance does, the backend counts as lost until its next heartbeat.
func (h *Host) finishRun(req *transport.Request, run *backendRun, resp *response, failure, notRun *transport.Failure, elapsed time.Duration) {
	h.WithGate(func(now time.Duration, gate *Gate) (announce bool) {
		ran := failure == nil && notRun == nil
		if h.runs[req.Try] == run { // a duplicate of the request may have replaced it
			delete(h.runs, req.Try)
		}
		if notRun != nil || failure != nil && failure.Verdict == transport.NotRun {
			h.usage.Undo(run.usageMark)
		}
		if failure != nil && failure.Reason == transport.Cancelled {
			gate.Cancel(now, req, failure.Verdict != transport.NotRun)
			return false
		}
		gate.Complete(now, elapsed, ran, ran && (resp.status < 500 || run.callFailed))
		if failure != nil && failure.Reason == transport.UnknownBackend || notRun != nil && notRun.Reason == transport.UnknownBackend {
			return gate.MarkLost(now, req.Target, NotAtAddress)
		}
		return false
	})
}
