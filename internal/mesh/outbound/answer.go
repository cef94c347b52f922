package outbound

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// retryAfter is the header that tells a client when to come back.
const retryAfterHeader = "Retry-After"

// outcome is how a request ended: an attempt, or a refusal, which promises that the request did not
// run or may run again.
type requestResult struct {
	attempt    *backendAttempt // nil: none came to an end
	refused    bool
	clientLeft bool // the client left before there was an answer
	retryAfter time.Duration
}

// answer tells the client what came of its request, and says whether that is a success. Here every
// promise is made, so it is checked here too: whatever was decided, what may have run and may not
// run twice gets none.
func (s *Sender) respond(w *responseRecorder, p *pendingRequest, result requestResult) bool {
	attempt := result.attempt
	switch {
	case result.clientLeft && (attempt == nil || attempt.failure != nil):
		s.respondClientLeft(w, p)
		return false
	case result.refused && !p.mayHaveRun():
		if attempt != nil && attempt.failure != nil {
			result.retryAfter = max(result.retryAfter, attempt.failure.After)
		}
		s.respondRefused(w, result.retryAfter)
		return false
	case attempt == nil || attempt.failure != nil:
		s.respondFailed(w, attempt)
		return false
	}
	return s.forwardResponse(w, p, attempt)
}

// left ends a request whose client has left. It says what is true all the same: a client that has
// closed only its own side of the connection still reads.
func (s *Sender) respondClientLeft(w *responseRecorder, p *pendingRequest) {
	s.Counters.ClientLeft.Add(1)
	w.clientLeft = true
	if p.mayHaveRun() {
		s.respondText(w, http.StatusBadGateway, "the client has left")
		return
	}
	w.setRetryAfter(minRetryAfter)
	s.respondText(w, http.StatusServiceUnavailable, "the client has left")
}

// fail says that there is no answer, and promises nothing.
func (s *Sender) respondFailed(w *responseRecorder, attempt *backendAttempt) {
	status, message := http.StatusBadGateway, "no answer"
	if attempt != nil {
		message = attempt.failure.Reason.String()
	}
	if attempt == nil || attempt.failure.Reason == transport.Silent {
		status = http.StatusGatewayTimeout
	}
	s.Counters.Failed.Add(1)
	s.respondText(w, status, message)
}

// pass passes a backend's answer on.
func (s *Sender) forwardResponse(w *responseRecorder, p *pendingRequest, attempt *backendAttempt) (success bool) {
	header := w.Header()
	for i := 0; i+1 < len(attempt.reply.Header); i += 2 {
		header.Add(attempt.reply.Header[i], attempt.reply.Header[i+1])
	}
	status := attempt.reply.Status
	if promisesNotRun(status) {
		status = http.StatusBadGateway // danger: it ran, and these say that it did not
		header.Del(retryAfterHeader)
	}
	if status < 500 {
		s.Counters.Served.Add(1)
	} else {
		s.Counters.BackendFailed.Add(1)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	header["Date"] = nil
	if p.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(attempt.body)))
	}
	w.WriteHeader(status)
	w.Write(attempt.body)
	return status < 500
}

// promises says whether a status says that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse promises that the request did not run and tells when to come back.
func (s *Sender) respondRefused(w *responseRecorder, retryAfter time.Duration) {
	s.Counters.Refused.Add(1)
	w.setRetryAfter(min(max(retryAfter, minRetryAfter), maxRetryAfter))
	s.respondText(w, http.StatusServiceUnavailable, "no room; the request did not run")
}

// comeBack tells when to come back.
func (w *responseRecorder) setRetryAfter(retryAfter time.Duration) {
	w.retryAfter = retryAfter
	w.Header().Set(retryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// say answers with a line of the sender's own.
func (s *Sender) respondText(w *responseRecorder, status int, message string) {
	w.reason = message
	header := w.Header()
	header["Date"] = nil
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(message)+1))
	w.WriteHeader(status)
	io.WriteString(w, message+"\n")
}
