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
	// Headers of requests.
	callIDHeader = "X-Call-Id"
	classHeader  = "X-Call-Class"
	tenantHeader = "X-Caller"
	budgetHeader = "X-Budget" // the time left for the answer, see parseBudget
	retryHeader  = "X-Again"  // 1: the client retries an earlier request
	keyHeader    = "Idempotency-Key"
	// Headers of backends' answers.
	loadHeader     = "X-Load-Report"
	rejectedHeader = "X-Rejected" // 1: the backend has not run the request

	readyPath = "/up"           // readiness of the agent
	alivePath = "/alive"        // liveness of a backend
	loadPath  = "/metrics/load" // load report of a backend

	statusRefused = http.StatusServiceUnavailable // the request did not run
	statusFailed  = http.StatusBadGateway         // the request may have run

	maxBudget          = time.Hour
	writeTimeout       = 5 * time.Second // for a client to accept a write; a reused deadline leaves at least half
	maxCallIDBytes     = 256
	overloadRetryAfter = time.Second // Retry-After of an agent that accepts no more requests
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

// server is the HTTP handler for clients. It passes their requests to the event loop as calls, and
// writes the answers as responses.
type server struct {
	loop               *loop
	clientConns        *connLimiter
	defaultMaxRequests int64 // limit of concurrent requests if operators set none

	maxRequests     atomic.Int64 // limit of concurrent requests
	openRequests    atomic.Int64
	receivingBodies atomic.Int64 // those of openRequests whose body has not arrived completely
	refuseAll       atomic.Bool  // whether operators have stopped the acceptance of requests
	mode            atomic.Pointer[leave.Mode]
}

// clientError is an error in a client's request, and the HTTP status that reports it.
type clientError struct {
	status int
	text   string
}

func (e *clientError) Error() string { return e.text }

func (e *clientError) answer() answer {
	return answer{status: e.status, contentType: "text/plain", body: []byte(e.text + "\n")}
}

// badRequestf returns a clientError with status 400.
func badRequestf(format string, args ...any) error {
	return &clientError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// ServeHTTP answers a client's request, or a readiness check at readyPath.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connOf(r).inBody.Store(true)
	if err := checkFraming(w, r); err != nil {
		s.respond(w, err.answer())
		return
	}
	if r.URL.Path == readyPath {
		mode := s.mode.Load()
		if mode.CloseAfterAnswer {
			w.Header().Set("Connection", "close")
		}
		if !s.loop.ready.Load() || !mode.Ready {
			http.Error(w, "no list of backends yet, or leaving", http.StatusServiceUnavailable)
		}
		return
	}
	pending, err := s.readRequest(w, r)
	var clientErr *clientError
	switch {
	case errors.As(err, &clientErr):
		s.respond(w, clientErr.answer())
		return
	case err != nil, !s.clientConns.beginRequest(connOf(r)): // the connection is closed
		panic(http.ErrAbortHandler)
	}
	upload := pending.message.upload
	if upload != nil {
		defer upload.stop() // the body must not be read after its handler has returned
		// The connection closes after the answer, so that the rest of the body need not be awaited.
		w.Header().Set("Connection", "close")
		if !s.loop.backends.reserveStreamMemory(memoryPerStream) {
			s.loop.withLock(func() { s.loop.counts.recordOverloadRefusal(pending.class) })
			s.respond(w, answer{status: statusRefused, retryAfter: overloadRetryAfter})
			return
		}
		defer s.loop.backends.freeStreamMemory(memoryPerStream)
		s.receivingBodies.Add(1)
		defer func() {
			if !upload.complete.Load() {
				s.receivingBodies.Add(-1)
			}
		}()
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > s.maxRequests.Load() || s.refuseAll.Load() {
		s.loop.withLock(func() { s.loop.counts.recordOverloadRefusal(pending.class) })
		s.respond(w, answer{status: statusRefused, retryAfter: overloadRetryAfter})
		return
	}
	clientGone := input{event: policy.Event{Kind: policy.EventClientGone}, call: pending}
	// clientLeft is closed if the client disconnects after the first bytes of its next request.
	clientLeft := make(chan struct{})
	if upload == nil {
		pending.hangupWatcher = connOf(r).hangupWatcher
		defer pending.hangupWatcher.NotifyOnClose(func() { s.loop.send(clientGone); close(clientLeft) })()
	}
	s.loop.send(input{event: policy.Event{Kind: policy.EventRequest}, call: pending, deliveringCall: pending})
	if pending.inlineAttempt != nil {
		stopWatching := context.AfterFunc(r.Context(), func() {
			if upload == nil || upload.complete.Load() {
				s.loop.send(clientGone)
			}
		})
		// The loop leaves an attempt to this goroutine, which would otherwise only wait for the
		// answer.
		for pending.inlineAttempt != nil {
			attempt := pending.inlineAttempt
			pending.inlineAttempt = nil
			attempt()
		}
		stopWatching()
	}
	var uploadFailed chan struct{}
	ctxDone := r.Context().Done()
	if upload != nil {
		if uploadFailed = upload.failed; !upload.complete.Load() {
			ctxDone = nil // net/http takes an interrupted read for a disconnected client
		}
	}
	select {
	case a := <-pending.answers:
		if upload != nil {
			upload.stop() // net/http does not support reading the body while the answer is written
		}
		if a.bodyStream == nil {
			s.respond(w, a)
		} else {
			s.respondStreaming(w, pending, a)
		}
	case <-uploadFailed:
		s.loop.send(clientGone)
		s.respond(w, answer{status: http.StatusRequestTimeout})
	case <-clientLeft:
		panic(http.ErrAbortHandler)
	case <-ctxDone:
		s.loop.send(clientGone)
		// A handler that returns without writing sends an empty 200 answer. A client that has
		// closed only its sending side would take it for a backend's answer.
		panic(http.ErrAbortHandler)
	}
}

// respond writes an answer. Whether the connection closes after it is decided only now. A request
// that was accepted before a shutdown began would otherwise leave its connection open, and the
// client's next request could be lost when that connection is closed.
func (s *server) respond(w http.ResponseWriter, a answer) {
	s.writeHead(w, &a, int64(len(a.body)))
	w.Write(a.body) // a write fails only if the client has disconnected or is too slow
}

// respondStreaming writes an answer and forwards the rest of its body as it arrives. If the body
// breaks off, the handler is aborted, so that the answer does not look complete to the client.
func (s *server) respondStreaming(w http.ResponseWriter, c *call, a answer) {
	s.writeHead(w, &a, a.bodyStream.size)
	complete, clientFault := false, true
	if _, err := w.Write(a.body); err == nil {
		complete, clientFault = a.bodyStream.forwardTo(w)
	}
	a.bodyStream.release(complete)
	if complete {
		return
	}
	if !clientFault {
		s.loop.withLock(func() { s.loop.counts.recordBrokenAnswer(c.class) })
	}
	panic(http.ErrAbortHandler)
}

// writeHead writes the status and the headers of an answer. size is the length of its body in
// bytes, or -1 if it is not known.
func (s *server) writeHead(w http.ResponseWriter, a *answer, size int64) {
	h := w.Header()
	// After an invalid request, nothing else on its connection can be trusted.
	if s.mode.Load().CloseAfterAnswer || a.status/100 == 4 {
		h.Set("Connection", "close")
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil // keeps net/http from guessing one
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	w.WriteHeader(a.status)
}

// checkFraming checks how the end of a request's body is declared, before any of it is read.
func checkFraming(w http.ResponseWriter, r *http.Request) *clientError {
	switch {
	case len(r.TransferEncoding) > 0:
		// net/http ignores a Content-Length beside a Transfer-Encoding. The two may disagree about
		// the end of the body, which hides a second request in it from a proxy that uses the other
		// one (request smuggling). If it is not known whether both were sent, no further request is
		// read from the connection (RFC 9112, section 6.1).
		hasLength, known := connOf(r).namesContentLength()
		if hasLength {
			return &clientError{http.StatusBadRequest, "both Transfer-Encoding and Content-Length"}
		}
		if !known {
			w.Header().Set("Connection", "close")
		}
	case r.ContentLength > maxBody:
		return &clientError{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of over %d bytes", maxBody)}
	}
	return nil
}

// singletonHeaders may occur only once in a request, since it would be ambiguous which of two
// counts.
var singletonHeaders = []string{callIDHeader, classHeader, tenantHeader, budgetHeader, retryHeader, keyHeader}

// readRequest checks the headers of a request and reads its body, of which it buffers at most
// maxBufferedBody bytes. The request's budget counts from the last byte of its body.
func (s *server) readRequest(w http.ResponseWriter, r *http.Request) (*call, error) {
	set := s.loop.settings
	// Headers of this connection are removed before any check, because the Connection header may
	// name a required header, which then counts as missing.
	for _, list := range r.Header["Connection"] {
		for field := range strings.SplitSeq(list, ",") {
			r.Header.Del(textproto.TrimString(field))
		}
	}
	for _, name := range hopByHopHeaders {
		r.Header.Del(name)
	}
	for _, name := range singletonHeaders {
		if len(r.Header[name]) > 1 {
			return nil, badRequestf("%s stands there twice", name)
		}
	}
	pending := &call{
		class:   slices.Index(set.Classes, r.Header.Get(classHeader)),
		retry:   r.Header.Get(retryHeader) == "1",
		answers: make(chan answer, 1),
	}
	if pending.class < 0 {
		return nil, badRequestf("%s is unknown", classHeader)
	}
	uri := originForm(r.RequestURI)
	if firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); firstSegment != set.Classes[pending.class] || uri == "" {
		return nil, badRequestf("the path does not begin with the class")
	}
	if err := checkEffect(set.Module.Classes[pending.class].Effect, r); err != nil {
		return nil, err
	}
	if len(set.Tenants) > 0 {
		if pending.tenant = slices.Index(set.Tenants, r.Header.Get(tenantHeader)); pending.tenant < 0 {
			return nil, badRequestf("%s is unknown", tenantHeader)
		}
	}
	budget, err := parseBudget(r.Header.Get(budgetHeader))
	if err != nil {
		return nil, err
	}
	if pending.callID = r.Header.Get(callIDHeader); pending.callID == "" || len(pending.callID) > maxCallIDBytes {
		return nil, badRequestf("%s is missing or too long", callIDHeader)
	}
	upload := &uploadStream{body: r.Body, conn: connOf(r), size: r.ContentLength, budget: budget, failed: make(chan struct{})}
	body, err := upload.readBuffered()
	if err != nil {
		return nil, &clientError{http.StatusRequestTimeout, fmt.Sprintf("the body does not come: %v", err)}
	}
	pending.deadline = s.loop.clock.now() + budget
	if upload.complete.Load() {
		upload = nil
	} else {
		pending.deadline += maxUploadTime(upload.size)
		upload.onComplete = func() time.Duration {
			s.receivingBodies.Add(-1)
			s.loop.send(input{event: policy.Event{Kind: policy.EventBodyReceived}, call: pending})
			return budget
		}
	}
	pending.message = newMessage(r.Method, uri, r.Host, r.Header, body, upload)
	return pending, nil
}

// originForm returns a request target without its scheme and authority (RFC 9112, section 3.2). It
// returns an empty string for a target without a path.
func originForm(target string) string {
	if _, afterScheme, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		if i := strings.IndexAny(afterScheme, "/?"); i >= 0 && afterScheme[i] == '/' {
			return afterScheme[i:]
		}
		return ""
	}
	if !strings.HasPrefix(target, "/") {
		return ""
	}
	return target
}

// checkEffect checks that a request has the method and the idempotency key that the effect of its
// class requires. A keyed request without a key would be retried although backends can't
// deduplicate it.
func checkEffect(effect policy.Effect, r *http.Request) error {
	method, needsKey := http.MethodPost, effect == policy.Keyed
	if effect == policy.Pure {
		method = http.MethodGet
	}
	if r.Method != method {
		return &clientError{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	if needsKey && r.Header.Get(keyHeader) == "" {
		return badRequestf("the class wants %s", keyHeader)
	}
	return nil
}

// parseBudget parses a duration in milliseconds or microseconds, such as 480m or 350000u.
func parseBudget(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	value, err := strconv.ParseFloat(number, 64)
	if budget := value * float64(unit); ok && err == nil && budget > 0 && budget <= float64(maxBudget) {
		return time.Duration(math.Round(budget)), nil
	}
	return 0, badRequestf("%s is no time", budgetHeader)
}
