package agent

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/leave"
	"example.org/micaline/policy"
)

const (
	callIDHeader   = "X-Call-Id"
	classHeader    = "X-Call-Class"
	tenantHeader   = "X-Caller"
	budgetHeader   = "X-Budget"
	retryHeader    = "X-Again"
	keyHeader      = "Idempotency-Key"
	loadHeader     = "X-Load-Report"
	rejectedHeader = "X-Rejected"

	readyPath = "/up"
	alivePath = "/alive"
	loadPath  = "/metrics/load"

	statusRefused = http.StatusServiceUnavailable
	statusFailed  = http.StatusBadGateway

	maxBudget    = time.Hour
	writeTimeout = 5 * time.Second // for a client to take its answer, or half of it
	maxCallID    = 256             // bytes
	fullAdvice   = time.Second     // when to come back to an agent that holds all the requests it can
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// server is the client's side: it turns requests into calls for the loop, and its answers into responses.
type server struct {
	loop        *loop
	clientConns *connLimiter
	usual       int64 // requests held at once, if operators say nothing

	maxRequests  atomic.Int64 // requests held at once
	openRequests atomic.Int64
	coming       atomic.Int64 // of these, those whose last byte is not here
	refuseAll    atomic.Bool  // operators let nothing in
	stance       atomic.Pointer[leave.Mode]
}

// badRequest is what a client did wrong, and the status that tells it so.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

func (e *badRequest) answer() answer {
	return answer{status: e.status, contentType: "text/plain", body: []byte(e.text + "\n")}
}

func badRequestf(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connOf(r).inBody.Store(true)
	if err := checkFraming(w, r); err != nil {
		s.respond(w, err.answer())
		return
	}
	if r.URL.Path == readyPath {
		stance := s.stance.Load()
		if stance.CloseAfterAnswer {
			w.Header().Set("Connection", "close")
		}
		if !s.loop.ready.Load() || !stance.Ready {
			http.Error(w, "no list of backends yet, or leaving", http.StatusServiceUnavailable)
		}
		return
	}
	c, err := s.readRequest(w, r)
	var b *badRequest
	switch {
	case errors.As(err, &b):
		s.respond(w, b.answer())
		return
	case err != nil, !s.clientConns.beginRequest(connOf(r)): // the connection is gone
		panic(http.ErrAbortHandler)
	}
	rest := c.message.upload
	if rest != nil {
		defer rest.stop() // danger: who reads the body must not outlast its handler
		// What is left of it when there is an answer is not waited for.
		w.Header().Set("Connection", "close")
		if !s.loop.backends.reserve(streamRoom) {
			s.loop.withLock(func() { s.loop.counts.recordOverloadRefusal(c.class) })
			s.respond(w, answer{status: statusRefused, retryAfter: fullAdvice})
			return
		}
		defer s.loop.backends.freeStreamMemory(streamRoom)
		s.coming.Add(1)
		defer func() {
			if !rest.complete.Load() {
				s.coming.Add(-1)
			}
		}()
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > s.maxRequests.Load() || s.refuseAll.Load() {
		s.loop.withLock(func() { s.loop.counts.recordOverloadRefusal(c.class) })
		s.respond(w, answer{status: statusRefused, retryAfter: fullAdvice})
		return
	}
	hangup := input{event: policy.Event{Kind: policy.EventClientGone}, call: c}
	left := make(chan struct{}) // closed if the client leaves behind the first bytes of its next request
	if rest == nil {
		c.hangupWatcher = connOf(r).hangupWatcher
		defer c.hangupWatcher.NotifyOnClose(func() { s.loop.send(hangup); close(left) })()
	}
	s.loop.send(input{event: policy.Event{Kind: policy.EventRequest}, call: c, deliveringCall: c})
	if c.inlineAttempt != nil {
		stop := context.AfterFunc(r.Context(), func() {
			if rest == nil || rest.complete.Load() {
				s.loop.send(hangup)
			}
		})
		for c.inlineAttempt != nil {
			carryOut := c.inlineAttempt
			c.inlineAttempt = nil
			carryOut()
		}
		stop()
	}
	var failed chan struct{}
	gone := r.Context().Done()
	if rest != nil {
		if failed = rest.failed; !rest.complete.Load() {
			gone = nil // danger: net/http takes a read that was interrupted for a client that has gone
		}
	}
	select {
	case a := <-c.answers:
		if rest != nil {
			rest.stop() // danger: net/http bears no reader of the body beside an answer
		}
		if a.bodyStream == nil {
			s.respond(w, a)
		} else {
			s.respondStreaming(w, c, a)
		}
	case <-failed:
		s.loop.send(hangup)
		s.respond(w, answer{status: http.StatusRequestTimeout})
	case <-left:
		panic(http.ErrAbortHandler)
	case <-gone:
		s.loop.send(hangup)
		// Danger: a handler that returns without a word answers 200, and a client that has closed only its own
		// side would take that for what a backend made.
		panic(http.ErrAbortHandler)
	}
}

// respond writes an answer. Whether the connection is to close is asked only now: a request that was taken before
// the agent was told to stop must not leave a connection on which the next one crosses the close.
func (s *server) respond(w http.ResponseWriter, a answer) {
	s.writeHead(w, &a, int64(len(a.body)))
	w.Write(a.body) // a client that does not take it is gone
}

// pass writes an answer whose body passes through. Danger: one that breaks must not look whole.
func (s *server) respondStreaming(w http.ResponseWriter, c *call, a answer) {
	s.writeHead(w, &a, a.bodyStream.size)
	whole, client := false, true
	if _, err := w.Write(a.body); err == nil {
		whole, client = a.bodyStream.forwardTo(w)
	}
	a.bodyStream.release(whole)
	if whole {
		return
	}
	if !client {
		s.loop.withLock(func() { s.loop.counts.recordBrokenAnswer(c.class) })
	}
	panic(http.ErrAbortHandler)
}

// head writes the head of an answer with a body of so many bytes; -1 are not known.
func (s *server) writeHead(w http.ResponseWriter, a *answer, size int64) {
	h := w.Header()
	// What else a client sends that has sent nonsense is not to be trusted either.
	if s.stance.Load().CloseAfterAnswer || a.status/100 == 4 {
		h.Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil // or net/http guesses one
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	w.WriteHeader(a.status)
}

// checkFraming checks how a request's body is said to end, before any of it is read.
func checkFraming(w http.ResponseWriter, r *http.Request) *badRequest {
	switch {
	case len(r.TransferEncoding) > 0:
		// Danger: net/http drops the length that stands beside it, and one of both hides a request in the body
		// from whoever goes by the other. Where that can't be told nothing else is read from the connection (RFC 9112,
		// section 6.1).
		says, known := connOf(r).namesContentLength()
		if says {
			return &badRequest{http.StatusBadRequest, "both Transfer-Encoding and Content-Length"}
		}
		if !known {
			w.Header().Set("Connection", "close")
		}
	case r.ContentLength > mostBody:
		return &badRequest{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of over %d bytes", mostBody)}
	}
	return nil
}

// onceHeaders say what a request is; two of one would leave open which counts.
var onceHeaders = []string{callIDHeader, classHeader, tenantHeader, budgetHeader, retryHeader, keyHeader}

// read checks a request's head, and then reads it to its last byte, from which its budget counts; or as much as is kept of one
// that is longer.
func (s *server) readRequest(w http.ResponseWriter, r *http.Request) (*call, error) {
	set := s.loop.settings
	// What concerns this connection only goes before anything is checked: it may name what is needed.
	for _, name := range r.Header["Connection"] {
		for field := range strings.SplitSeq(name, ",") {
			r.Header.Del(textproto.TrimString(field))
		}
	}
	for _, name := range hopHeaders {
		r.Header.Del(name)
	}
	for _, name := range onceHeaders {
		if len(r.Header[name]) > 1 {
			return nil, badRequestf("%s stands there twice", name)
		}
	}
	c := &call{
		class:   slices.Index(set.Classes, r.Header.Get(classHeader)),
		retry:   r.Header.Get(retryHeader) == "1",
		answers: make(chan answer, 1),
	}
	if c.class < 0 {
		return nil, badRequestf("%s is unknown", classHeader)
	}
	uri := originForm(r.RequestURI)
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != set.Classes[c.class] || uri == "" {
		return nil, badRequestf("the path does not begin with the class")
	}
	if err := checkEffect(set.Module.Classes[c.class].Effect, r); err != nil {
		return nil, err
	}
	if len(set.Tenants) > 0 {
		if c.tenant = slices.Index(set.Tenants, r.Header.Get(tenantHeader)); c.tenant < 0 {
			return nil, badRequestf("%s is unknown", tenantHeader)
		}
	}
	budget, err := parseBudget(r.Header.Get(budgetHeader))
	if err != nil {
		return nil, err
	}
	if c.callID = r.Header.Get(callIDHeader); c.callID == "" || len(c.callID) > maxCallID {
		return nil, badRequestf("%s is missing or too long", callIDHeader)
	}
	rest := &upload{body: r.Body, conn: connOf(r), size: r.ContentLength, budget: budget, failed: make(chan struct{})}
	body, err := rest.readBuffered()
	if err != nil {
		return nil, &badRequest{http.StatusRequestTimeout, fmt.Sprintf("the body does not come: %v", err)}
	}
	c.deadline = s.loop.clock.now() + budget
	if rest.complete.Load() {
		rest = nil
	} else {
		c.deadline += maxUploadTime(rest.size)
		rest.onComplete = func() time.Duration {
			s.coming.Add(-1)
			s.loop.send(input{event: policy.Event{Kind: policy.EventBodyReceived}, call: c})
			return budget
		}
	}
	c.message = newMessage(r.Method, uri, r.Host, r.Header, body, rest)
	return c, nil
}

// originForm is a request's target without scheme and authority (RFC 9112, section 3.2), empty if it has no path.
func originForm(target string) string {
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		if i := strings.IndexAny(rest, "/?"); i >= 0 && rest[i] == '/' {
			return rest[i:]
		}
		return ""
	}
	if !strings.HasPrefix(target, "/") {
		return ""
	}
	return target
}

// checkEffect checks that a request is sent as its class's effect asks. Danger: a keyed request without its
// key would be repeated as if backends could tell.
func checkEffect(effect policy.Effect, r *http.Request) error {
	method, keyed := http.MethodPost, effect == policy.Keyed
	if effect == policy.Pure {
		method = http.MethodGet
	}
	if r.Method != method {
		return &badRequest{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	if keyed && r.Header.Get(keyHeader) == "" {
		return badRequestf("the class wants %s", keyHeader)
	}
	return nil
}

// parseBudget reads a time such as 480m or 350000u: milliseconds or microseconds.
func parseBudget(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if budget := v * float64(unit); ok && err == nil && budget > 0 && budget <= float64(maxBudget) {
		return time.Duration(math.Round(budget)), nil
	}
	return 0, badRequestf("%s is no time", budgetHeader)
}
