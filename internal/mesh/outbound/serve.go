package outbound

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
)

const (
	clientTransitTime       = 20 * time.Millisecond // of a client's time that its answer needs to get there
	queueWaitDivisor        = 4                     // a request waits for a slot for this part of its aim at most: held longer for nothing it is priced
	innerQueueWaitDivisor   = 2                     // a backend's own call waits for this part of its time
	minRetryAfter           = 50 * time.Millisecond
	maxRetryAfter           = 2 * time.Second
	unknownConfigRetryAfter = 200 * time.Millisecond // until a configuration, or a service of it, may be known

	seenIDsGeneration = 30 * time.Second // that a generation of ids lasts: longer than any client waits
	maxSeenIDs        = 1 << 15          // of a generation, as many as a gate remembers
)

// Counters count what became of requests. They are read at any time.
type Counters struct {
	Accepted, Served, BackendFailed, Refused, Failed, NoRoute, Unauthenticated, BadRequests, ClientLeft, LocalAttempts atomic.Uint64
	Attempts, RepeatedAttempts                                                                                         atomic.Uint64
	UnansweredAttempts                                                                                                 [3][32]atomic.Uint64 // attempts without an answer, by verdict and reason
}

// ServeHTTP takes a request of a client, or of the backend on this machine.
func (s *Sender) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	w := &responseRecorder{ResponseWriter: response, startedAt: time.Now()}
	defer s.recordTrace(w, r)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.Counters.Accepted.Add(1)
	if s.shutdown.Load() != nil || s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !s.findRoute(w, r) || !s.authenticate(w, r) {
		return
	}
	body, reserved, err := s.readBody(r, w.view.Config.Limits().BodyBytes)
	defer s.bodyBudget.Release(reserved)
	if err != nil {
		s.respondBodyError(w, err)
		return
	}
	p, remaining := s.newPendingRequest(w, r, body)
	if remaining <= 0 {
		s.respondRefused(w, 0)
		return
	}
	w.service = w.route.Pick(rand.Float64())
	if p.balancer = s.balancer(w.service); p.balancer == nil {
		s.respondRefused(w, unknownConfigRetryAfter)
		return
	}
	if !s.admitOnce(w, p) {
		return
	}
	result := s.runForClient(r.Context(), p, remaining)
	if !s.respond(w, p, result) && p.inner {
		s.localGate.CallFailed(p.request.Try)
	}
}

// serve has a request run for as long as its client waits.
func (s *Sender) runForClient(clientContext context.Context, p *pendingRequest, remaining time.Duration) requestResult {
	onClientLeft := func() { p.finish(errClientLeft) }
	stop := context.AfterFunc(clientContext, onClientLeft)
	defer stop()
	stopWatching := p.clientWatch.Serving(onClientLeft)
	defer stopWatching()
	return s.runRequest(p, remaining)
}

// route finds the route of a request, or answers it.
func (s *Sender) findRoute(w *responseRecorder, r *http.Request) bool {
	if w.view = s.view.Load(); w.view == nil {
		s.respondRefused(w, unknownConfigRetryAfter)
		return false
	}
	if w.route = w.view.Config.Route(r.Host, r.URL.EscapedPath()); w.route == nil {
		s.Counters.NoRoute.Add(1)
		s.respondText(w, http.StatusNotFound, "no route for this host and path")
		return false
	}
	return true
}

// unread answers a request of which the body was not read whole.
func (s *Sender) respondBodyError(w *responseRecorder, err error) {
	switch {
	case errors.Is(err, errNoBodyBudget):
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
		s.respondRefused(w, minRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		s.Counters.BadRequests.Add(1)
		s.respondText(w, http.StatusRequestEntityTooLarge, "the body is longer than limits.body_bytes")
	default:
		s.Counters.BadRequests.Add(1)
		panic(http.ErrAbortHandler) // the client broke off: there is no whole request to answer
	}
}

// job makes a job of a request, and says how much time it has.
func (s *Sender) newPendingRequest(w *responseRecorder, r *http.Request, body []byte) (*pendingRequest, time.Duration) {
	route := w.route
	p := &pendingRequest{startedAt: w.startedAt, route: route, body: body, clientWatch: hangupWatchOf(r), done: make(chan struct{})}
	w.pending = p
	remaining, stated := timeLeft(r.Header, route.GiveUp)
	now := time.Now()
	if backendDeadline, ok := s.shutdown.Load().admit(now, targetLatencyOf(route)); !ok {
		remaining = 0
	} else if !backendDeadline.IsZero() {
		p.backendDeadline = backendDeadline
		remaining = min(remaining, backendDeadline.Add(backendTransitTime/2).Sub(now))
	}
	p.deadline, p.answerTarget = now.Add(remaining), now.Add(route.TargetTime)
	p.request = transport.Request{
		Try: r.Header.Get(inbound.TryHeader), Method: r.Method, URI: r.RequestURI, Host: r.Host, Caller: s.settings.Service,
		Unsafe: route.Kind != meshconfig.Safe, Rank: w.tenant.rank, Customer: w.tenant.name, Body: int64(len(body)),
		Header:  forwardedHeaders(r.Header, w.view.Config.HasCustomers()),
		Patient: max(route.TargetTime/queueWaitDivisor, 10*time.Millisecond),
	}
	if p.inner, p.parentRepeated = w.parent.Known, w.parent.Repeat; p.inner {
		p.request.Inner, p.request.Patient = true, remaining/innerQueueWaitDivisor
	} else if stated > 0 && remaining > 0 { // not left, which falls for first tries too when the operators shorten give_up
		p.answerTarget = p.answerTarget.Add(-s.waits.timeWaited(now, route.Name, stated))
	}
	return p, remaining
}

// first says whether a request may be begun: one that must not run twice is begun once in the life
// of the process, however it came again. Danger: a gate knows only what it has handed over itself,
// so the second of two with one id would run at another one; or one that was refused would run after
// all. Nothing is promised, as the other may be under way.
func (s *Sender) admitOnce(w *responseRecorder, p *pendingRequest) bool {
	if !p.request.Unsafe || p.request.Try == "" { // without an id the backend turns it away
		return true
	}
	s.seenIDsMu.Lock()
	defer s.seenIDsMu.Unlock()
	s.seenIDs.Step(time.Since(s.startedAt))
	switch {
	case s.seenIDs.Contains(p.request.Try):
		s.Counters.Failed.Add(1)
		s.respondText(w, http.StatusBadGateway, "this id has been taken before")
		return false
	case s.seenIDs.Full():
		s.respondRefused(w, time.Second)
		return false
	}
	s.seenIDs.Add(p.request.Try)
	return true
}
