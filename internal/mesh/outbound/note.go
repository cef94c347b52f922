package outbound

import (
	"net/http"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// responseRecorder passes the response on to the client and keeps what is recorded about the
// request.
type responseRecorder struct {
	http.ResponseWriter
	startedAt  time.Time
	view       *View
	route      *meshconfig.Route
	tenant     tenant
	parent     inbound.ParentRun // the run on this machine that made the request, if there is one
	service    string
	pending    *pendingRequest
	status     int           // 0: no response yet
	clientLeft bool          // the client left before there was a response
	reason     string        // text of a response of the sender's own; "": a backend's response
	retryAfter time.Duration // when the client was told to try again; 0: it was not
}

// WriteHeader records the status and sends it.
func (w *responseRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// appendTrace adds an attempt that has ended to the trace. The request's lock is held.
func (p *pendingRequest) appendTrace(attempt *backendAttempt) {
	trace := transport.Attempt{N: attempt.number, Begun: attempt.startedAt.Sub(p.startedAt), Took: time.Since(attempt.startedAt), Verdict: transport.Ran}
	if attempt.target != nil {
		trace.Backend, trace.Agent = attempt.target.backendID, attempt.target.agent
	}
	if attempt.failure != nil {
		trace.Verdict, trace.Reason, trace.After = attempt.failure.Verdict, attempt.failure.Reason, attempt.failure.RetryAfter
	}
	if reply := attempt.reply; reply != nil {
		trace.Status, trace.Inner, trace.AtGate, trace.InFlight, trace.Waiting = reply.Status, reply.Inner, reply.Waited, reply.Load.InFlight, reply.Load.Waiting
	}
	p.attemptTraces = append(p.attemptTraces, trace)
}

// recordTrace records how a request ended. A success at the first attempt is only counted.
func (s *Sender) recordTrace(w *responseRecorder, r *http.Request) {
	p := w.pending
	trace := transport.RequestTrace{Side: transport.SideSender, Caller: s.settings.Service, Service: w.service, Status: w.status, Why: w.reason, After: w.retryAfter}
	if p != nil {
		p.mu.Lock()
		trace.Steps, trace.Started = p.attemptTraces, p.attemptsStarted // not the attempts that are added later
		p.mu.Unlock()
	}
	switch {
	case w.status == 0:
		trace.Result, trace.Why = "bad", "the client disconnected before its request was complete"
	case w.clientLeft:
		trace.Result = "left"
	case trace.Why != "" && w.retryAfter > 0:
		trace.Result = "refused"
	case trace.Why != "" && w.route == nil:
		trace.Result = "no_route"
	case trace.Why != "" && w.status < 500:
		trace.Result = "bad"
	case trace.Why != "":
		trace.Result = "failed"
	case w.status >= 500:
		trace.Result, trace.Why = "backend_failed", "the backend's answer"
	case trace.Started == 1:
		s.Traces.Plain()
		return
	default:
		trace.Result, trace.Why = "served", "the backend's answer"
	}
	if trace.Result == "refused" || trace.Result == "failed" {
		trace.Why = unansweredReason(w, trace.Steps)
	}
	trace.Try, trace.Took = r.Header.Get(inbound.TryIDHeader), time.Since(w.startedAt)
	if w.view != nil {
		trace.Index = w.view.ConfigIndex
	}
	if w.route != nil {
		trace.Route, trace.Version, trace.Unsafe = w.route.Name, w.route.Version, w.route.Kind != meshconfig.Safe
	}
	if p != nil {
		trace.Inner, trace.Repeat = p.inner, p.parentRepeated
		if p.balanced != nil {
			trace.Open = p.balanced.candidates
		}
	}
	s.Traces.Add(time.Now(), trace)
}

// unansweredReason tells why a request got no response from a backend.
func unansweredReason(w *responseRecorder, attempts []transport.Attempt) string {
	switch {
	case w.view == nil:
		return "no configuration is known yet"
	case w.pending == nil:
		return "no memory left for its body"
	case w.pending.balanced == nil && w.service == "":
		return "it arrived with no time left"
	case w.pending.balanced == nil:
		return "its service is not in the configuration"
	case len(attempts) == 0 && w.pending.balanced.candidates == 0:
		return "no backend of its service is open"
	case len(attempts) == 0:
		return "no backend was chosen: " + w.reason
	}
	last := &attempts[len(attempts)-1]
	return w.reason + "; last attempt: " + last.Reason.String() + ", " + last.Verdict.String()
}
