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
	// Part of a client's remaining time that is reserved for the response's way back to it.
	clientTransitTime = 20 * time.Millisecond
	// A request queues for a slot no longer than its target latency divided by this. One that is
	// held longer and then not served incurs a penalty.
	queueWaitDivisor = 4
	// An inner request queues for a slot no longer than its remaining time divided by this.
	innerQueueWaitDivisor = 2
	// Range of the Retry-After times that the sender sends.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// Retry-After while there is no configuration, or none that has the service.
	unknownConfigRetryAfter = 200 * time.Millisecond

	// How long a generation of seen ids lasts: longer than any client waits.
	seenIDsGeneration = 30 * time.Second
	maxSeenIDs        = 1 << 15 // in a generation, as many as a gate remembers
)

// Counters count requests and attempts by what became of them. They may be read at any time.
type Counters struct {
	Received, Served, BackendFailed, Refused, Failed, NoRoute, Unauthenticated, BadRequests, ClientLeft, LocalAttempts atomic.Uint64
	Attempts, RepeatedAttempts                                                                                         atomic.Uint64
	// Attempts without a backend's response, by verdict and reason.
	UnansweredAttempts [3][32]atomic.Uint64
}

// ServeHTTP serves a request of a client, or of the backend on this machine.
func (s *Sender) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	w := &responseRecorder{ResponseWriter: response, startedAt: time.Now()}
	defer s.recordTrace(w, r)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.Counters.Received.Add(1)
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
	w.service = w.route.PickService(rand.Float64())
	if p.balancer = s.balancer(w.service); p.balancer == nil {
		s.respondRefused(w, unknownConfigRetryAfter)
		return
	}
	if !s.admitOnce(w, p) {
		return
	}
	result := s.runForClient(r.Context(), p, remaining)
	if !s.respond(w, p, result) && p.inner {
		s.localGate.RecordCallFailure(p.request.Try)
	}
}

// runForClient runs a request for as long as its client waits.
func (s *Sender) runForClient(clientContext context.Context, p *pendingRequest, remaining time.Duration) requestResult {
	onClientLeft := func() { p.finish(errClientLeft) }
	stop := context.AfterFunc(clientContext, onClientLeft)
	defer stop()
	stopWatching := p.clientWatch.NotifyOnClose(onClientLeft)
	defer stopWatching()
	return s.runRequest(p, remaining)
}

// findRoute finds the route of a request. Without one it responds and returns false.
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

// respondBodyError responds to a request whose body could not be read whole.
func (s *Sender) respondBodyError(w *responseRecorder, err error) {
	switch {
	case errors.Is(err, errNoBodyBudget):
		w.Header().Set("Connection", "close") // don't wait for the rest of the body
		s.respondRefused(w, minRetryAfter)
	case errors.Is(err, errBodyTooLarge):
		s.Counters.BadRequests.Add(1)
		s.respondText(w, http.StatusRequestEntityTooLarge, "the body is longer than limits.body_bytes")
	default:
		s.Counters.BadRequests.Add(1)
		panic(http.ErrAbortHandler) // the client disconnected: there is no complete request to answer
	}
}

// newPendingRequest prepares a request for its attempts, and returns how much time it has left.
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
		Try: r.Header.Get(inbound.TryIDHeader), Method: r.Method, URI: r.RequestURI, Host: r.Host, Caller: s.settings.Service,
		Unsafe: route.Kind != meshconfig.Safe, Rank: w.tenant.rank, Customer: w.tenant.name, Body: int64(len(body)),
		Header:  forwardedHeaders(r.Header, w.view.Config.HasCustomers()),
		Patient: max(route.TargetTime/queueWaitDivisor, 10*time.Millisecond),
	}
	if p.inner, p.parentRepeated = w.parent.Known, w.parent.Repeat; p.inner {
		p.request.Inner, p.request.Patient = true, remaining/innerQueueWaitDivisor
	} else if stated > 0 && remaining > 0 {
		// The stated time is used and not the remaining one, which also falls for first tries when
		// the operators shorten give_up.
		p.answerTarget = p.answerTarget.Add(-s.waits.timeWaited(now, route.Name, stated))
	}
	return p, remaining
}

// admitOnce reports whether a request may be begun. An unsafe request is begun only once in the
// lifetime of the process, however often its id arrives. A gate recognizes only the requests that
// it handed over itself, so of two requests with one id the second could run at another gate, or a
// refused one could run after all. The response promises nothing, because the other request may be
// in flight.
func (s *Sender) admitOnce(w *responseRecorder, p *pendingRequest) bool {
	if !p.request.Unsafe || p.request.Try == "" { // without an id, the backend rejects the request
		return true
	}
	s.seenIDsMu.Lock()
	defer s.seenIDsMu.Unlock()
	s.seenIDs.Advance(time.Since(s.startedAt))
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
