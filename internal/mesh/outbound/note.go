package outbound

import (
	"net/http"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

// answered is a client's answer, and what is recorded of its request.
type answered struct {
	http.ResponseWriter
	began   time.Time
	view    *View
	route   *meshconfig.Route
	tenant  tenant
	parent  inbound.ParentRun // the run of the backend here that makes the request
	service string
	job     *job
	status  int  // 0: there is no answer
	left    bool // the client left before there was one
	why     string
	after   time.Duration
}

// WriteHeader keeps the status.
func (w *answered) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// step records an attempt that has ended. The lock is held.
func (j *job) step(at *attempt) {
	s := transport.Attempt{N: at.n, Begun: at.began.Sub(j.began), Took: time.Since(at.began), Verdict: transport.Ran}
	if at.to != nil {
		s.Backend, s.Agent = at.to.backend, at.to.agent
	}
	if at.fail != nil {
		s.Verdict, s.Reason, s.After = at.fail.Verdict, at.fail.Reason, at.fail.RetryAfter
	}
	if r := at.reply; r != nil {
		s.Status, s.Inner, s.AtGate, s.InFlight, s.Waiting = r.Status, r.Inner, r.Waited, r.Load.InFlight, r.Load.Waiting
	}
	j.steps = append(j.steps, s)
}

// note records how a request ended. What simply succeeded at its first attempt is only counted.
func (s *Sender) note(w *answered, r *http.Request) {
	j := w.job
	way := transport.RequestTrace{Side: transport.SideSender, Caller: s.set.Service, Service: w.service, Status: w.status, Why: w.why, After: w.after}
	if j != nil {
		j.mu.Lock()
		way.Steps, way.Started = j.steps, j.attempts // of what is added later nothing is in this slice
		j.mu.Unlock()
	}
	switch {
	case w.status == 0:
		way.Result, way.Why = "bad", "the client broke off before its request was whole"
	case w.left:
		way.Result = "left"
	case way.Why != "" && w.after > 0:
		way.Result = "refused"
	case way.Why != "" && w.route == nil:
		way.Result = "no_route"
	case way.Why != "" && w.status < 500:
		way.Result = "bad"
	case way.Why != "":
		way.Result = "failed"
	case w.status >= 500:
		way.Result, way.Why = "backend_failed", "the backend's answer"
	case way.Started == 1:
		s.Traces.Plain()
		return
	default:
		way.Result, way.Why = "served", "the backend's answer"
	}
	if way.Result == "refused" || way.Result == "failed" {
		way.Why = cause(w, way.Steps)
	}
	way.Try, way.Took = r.Header.Get(inbound.TryIDHeader), time.Since(w.began)
	if w.view != nil {
		way.Index = w.view.ConfigIndex
	}
	if w.route != nil {
		way.Route, way.Version, way.Unsafe = w.route.Name, w.route.Version, w.route.Kind != meshconfig.Safe
	}
	if j != nil {
		way.Inner, way.Repeat = j.inner, j.repeated
		if j.call != nil {
			way.Open = j.call.open
		}
	}
	s.Traces.Add(time.Now(), way)
}

// cause says why a request got no backend's answer.
func cause(w *answered, steps []transport.Attempt) string {
	switch {
	case w.view == nil:
		return "no configuration is known yet"
	case w.job == nil:
		return "no room for its body"
	case w.job.call == nil && w.service == "":
		return "it came with no time left"
	case w.job.call == nil:
		return "its service is none of the configuration"
	case len(steps) == 0 && w.job.call.open == 0:
		return "no backend of its service is open"
	case len(steps) == 0:
		return "no backend was chosen: " + w.why
	}
	last := &steps[len(steps)-1]
	return w.why + "; last attempt: " + last.Reason.String() + ", " + last.Verdict.String()
}
