package inbound

import (
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	connectTime = time.Second           // at most, for a connection to the backend
	answerSlack = 50 * time.Millisecond // beyond a request's time: a backend says itself that it is over
)

// Handle brings a request to the backend and returns its answer, or why there is none. Once the
// caller has gone nothing more is handed over, and a run that may be repeated is broken off; any
// other runs to its end.
func (h *Host) Handle(caller *Caller, a *transport.Request, body []byte) (*transport.Reply, []byte) {
	arrived := time.Now()
	var address string
	var waited time.Duration
	f := cancelled(transport.NotRun)
	if !caller.IsGone() {
		address, waited, f = h.admit(caller, a)
	}
	if f != nil {
		h.note(a, f, waited, time.Since(arrived))
		r := h.reply(f)
		r.Waited = waited
		return r, nil
	}
	h.Dispatched.Add(1)
	working := h.begin(a)
	a.Left = max(a.Left-time.Since(arrived), time.Millisecond)
	sent := time.Now()
	ans, f := h.call(caller, address, a, body, sent)
	took := time.Since(sent)
	var meant *transport.Failure
	if f == nil {
		meant = ans.meaning()
	}
	h.done(a, working, ans, f, meant, took)
	if f == nil {
		f = meant
	}
	if f != nil {
		if f.Reason != transport.Cancelled {
			h.Failed.Add(1)
		}
		h.note(a, f, waited, waited+took)
		r := h.reply(f)
		r.Waited, r.Arrived = waited, meant != nil
		return r, nil
	}
	h.Answered.Add(1)
	h.Traces.Plain()
	return &transport.Reply{Verdict: transport.Ran, Status: ans.status, Header: ans.header, Body: int64(len(ans.body)), Waited: waited,
		Load: h.Load(), Inner: working.failed && ans.status >= 500}, ans.body
}

// begin enters a run that the backend is about to have in work.
func (h *Host) begin(a *transport.Request) *run {
	working := &run{repeat: a.Repeat, customer: a.Customer}
	if !a.Inner { // a tenant's usage is what its clients ask for, not what that leads to
		working.counted = h.usage.Begin(a.Customer)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[a.Try] = working
	return working
}

// call sends a request to the backend and waits for its answer. Danger: a backend's silence proves
// nothing, so it is waited for until nobody waits for the answer.
func (h *Host) call(caller *Caller, address string, a *transport.Request, body []byte, sent time.Time) (*answer, *transport.Failure) {
	c, f := h.connect(caller, address, a, sent)
	if caller.IsGone() && (c != nil || f.Reason == transport.Unreachable) {
		if c != nil {
			h.pool.Put(c)
		}
		return nil, cancelled(transport.NotRun)
	}
	if f != nil {
		return nil, f
	}
	c.SetDeadline(sent.Add(a.Left + answerSlack))
	if a.Unsafe {
		return h.exchange(c, a, body)
	}
	return h.exchangeUntil(caller, c, a, body)
}

// done takes in how a run ended: without an answer, with one that says it did not run (meant), or
// with one that counts. Danger: where nobody listens, or somebody else does, the backend is gone
// until a beat tells otherwise.
func (h *Host) done(a *transport.Request, working *run, ans *answer, f, meant *transport.Failure, took time.Duration) {
	h.WithGate(func(now time.Duration, g *Gate) (lost bool) {
		ran := f == nil && meant == nil
		if h.runs[a.Try] == working { // a copy of it may have begun since
			delete(h.runs, a.Try)
		}
		if meant != nil || f != nil && f.Verdict == transport.NotRun {
			h.usage.Undo(working.counted)
		}
		if f != nil && f.Reason == transport.Cancelled {
			g.Cancel(now, a, f.Verdict != transport.NotRun)
			return false
		}
		g.Complete(now, took, ran, ran && (ans.status < 500 || working.failed))
		if f != nil && f.Reason == transport.UnknownBackend || meant != nil && meant.Reason == transport.UnknownBackend {
			return g.MarkLost(now, a.Target, NotAtAddress)
		}
		return false
	})
}
