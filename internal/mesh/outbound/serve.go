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
	wayBack     = 20 * time.Millisecond // of a client's time that its answer needs to get there
	patientPart = 4                     // a request waits for a slot for this part of its aim at most: held longer for nothing it is priced
	innerPart   = 2                     // a backend's own call waits for this part of its time
	leastAfter  = 50 * time.Millisecond
	mostAfter   = 2 * time.Second
	unknownYet  = 200 * time.Millisecond // until a configuration, or a service of it, may be known

	idsLast = 30 * time.Second // that a generation of ids lasts: longer than any client waits
	mostIDs = 1 << 15          // of a generation, as many as a gate remembers
)

// Counters count what became of requests. They are read at any time.
type Counters struct {
	Taken, Served, BackendFailed, Refused, Failed, NoRoute, Unknown, Bad, Left, Local atomic.Uint64
	Attempts, Repeats                                                                 atomic.Uint64
	Unanswered                                                                        [3][32]atomic.Uint64 // attempts without an answer, by verdict and reason
}

// ServeHTTP takes a request of a client, or of the backend on this machine.
func (s *Sender) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := &answered{ResponseWriter: out, began: time.Now()}
	defer s.note(w, r)
	s.held.Add(1)
	defer s.held.Add(-1)
	s.Count.Taken.Add(1)
	if s.leaving.Load() != nil || s.away.Load() {
		w.Header().Set("Connection", "close")
	}
	if !s.route(w, r) || !s.authenticate(w, r) {
		return
	}
	body, held, err := s.readBody(r, w.view.Config.Limits().BodyBytes)
	defer s.budget.Release(held)
	if err != nil {
		s.unread(w, err)
		return
	}
	j, left := s.job(w, r, body)
	if left <= 0 {
		s.refuse(w, 0)
		return
	}
	w.service = w.route.Pick(rand.Float64())
	if j.chooser = s.chooser(w.service); j.chooser == nil {
		s.refuse(w, unknownYet)
		return
	}
	if !s.first(w, j) {
		return
	}
	o := s.serve(r.Context(), j, left)
	if !s.answer(w, j, o) && j.inner {
		s.host.RecordCallFailure(j.request.Try)
	}
}

// serve has a request run for as long as its client waits.
func (s *Sender) serve(client context.Context, j *job, left time.Duration) outcome {
	leave := func() { j.end(errClientLeft) }
	stop := context.AfterFunc(client, leave)
	defer stop()
	served := j.client.NotifyOnClose(leave)
	defer served()
	return s.run(j, left)
}

// route finds the route of a request, or answers it.
func (s *Sender) route(w *answered, r *http.Request) bool {
	if w.view = s.view.Load(); w.view == nil {
		s.refuse(w, unknownYet)
		return false
	}
	if w.route = w.view.Config.Route(r.Host, r.URL.EscapedPath()); w.route == nil {
		s.Count.NoRoute.Add(1)
		s.say(w, http.StatusNotFound, "no route for this host and path")
		return false
	}
	return true
}

// unread answers a request of which the body was not read whole.
func (s *Sender) unread(w *answered, err error) {
	switch {
	case errors.Is(err, errNoRoom):
		w.Header().Set("Connection", "close") // the rest of the body is not waited for
		s.refuse(w, leastAfter)
	case errors.Is(err, errTooLarge):
		s.Count.Bad.Add(1)
		s.say(w, http.StatusRequestEntityTooLarge, "the body is longer than limits.body_bytes")
	default:
		s.Count.Bad.Add(1)
		panic(http.ErrAbortHandler) // the client broke off: there is no whole request to answer
	}
}

// job makes a job of a request, and says how much time it has.
func (s *Sender) job(w *answered, r *http.Request, body []byte) (*job, time.Duration) {
	route := w.route
	j := &job{began: w.began, route: route, body: body, client: clientOf(r), over: make(chan struct{})}
	w.job = j
	left, told := timeLeft(r.Header, route.GiveUp)
	now := time.Now()
	if doneBy, ok := s.leaving.Load().bounds(now, aimOf(route)); !ok {
		left = 0
	} else if !doneBy.IsZero() {
		j.doneBy = doneBy
		left = min(left, doneBy.Add(answerBack/2).Sub(now))
	}
	j.deadline, j.aim = now.Add(left), now.Add(route.TargetTime)
	j.request = transport.Request{
		Try: r.Header.Get(inbound.TryIDHeader), Method: r.Method, URI: r.RequestURI, Host: r.Host, Caller: s.set.Service,
		Unsafe: route.Kind != meshconfig.Safe, Rank: w.tenant.rank, Customer: w.tenant.name, Body: int64(len(body)),
		Header:  passedOn(r.Header, w.view.Config.HasCustomers()),
		Patient: max(route.TargetTime/patientPart, 10*time.Millisecond),
	}
	if j.inner, j.repeated = w.parent.Known, w.parent.Repeat; j.inner {
		j.request.Inner, j.request.Patient = true, left/innerPart
	} else if told > 0 && left > 0 { // not left, which falls for first tries too when the operators shorten give_up
		j.aim = j.aim.Add(-s.ages.of(now, route.Name, told))
	}
	return j, left
}

// first says whether a request may be begun: one that must not run twice is begun once in the life
// of the process, however it came again. Danger: a gate knows only what it has handed over itself,
// so the second of two with one id would run at another one; or one that was refused would run after
// all. Nothing is promised, as the other may be under way.
func (s *Sender) first(w *answered, j *job) bool {
	if !j.request.Unsafe || j.request.Try == "" { // without an id the backend turns it away
		return true
	}
	s.idsMu.Lock()
	defer s.idsMu.Unlock()
	s.ids.Advance(time.Since(s.began))
	switch {
	case s.ids.Contains(j.request.Try):
		s.Count.Failed.Add(1)
		s.say(w, http.StatusBadGateway, "this id has been taken before")
		return false
	case s.ids.Full():
		s.refuse(w, time.Second)
		return false
	}
	s.ids.Add(j.request.Try)
	return true
}
