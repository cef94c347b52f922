package outbound

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// retryAfterHeader tells a client how many seconds to wait before the next try.
const retryAfterHeader = "Retry-After"

// requestResult is how a request ended: with the attempt that answers it, with a refusal, or with
// neither. A refusal promises that the request did not run, or that it may run again.
type requestResult struct {
	attempt    *backendAttempt // nil: no attempt has ended
	refused    bool
	clientLeft bool          // the client left before there was a response
	retryAfter time.Duration // with refused: how long the client should wait before the next try
}

// respond writes the response to the client and reports whether the request succeeded. This is the
// only place where a client is promised that its request did not run, so the promise is checked
// here again: whatever the balancer decided, an unsafe request that may have run gets none.
func (s *Sender) respond(w *responseRecorder, p *pendingRequest, result requestResult) bool {
	attempt := result.attempt
	switch {
	case result.clientLeft && (attempt == nil || attempt.failure != nil):
		s.respondClientLeft(w, p)
		return false
	case result.refused && !p.mayHaveRun():
		if attempt != nil && attempt.failure != nil {
			result.retryAfter = max(result.retryAfter, attempt.failure.RetryAfter)
		}
		s.respondRefused(w, result.retryAfter)
		return false
	case attempt == nil || attempt.failure != nil:
		s.respondFailed(w, attempt)
		return false
	}
	return s.forwardResponse(w, p, attempt)
}

// respondClientLeft ends a request whose client has left. The response must be true all the same,
// because a client that has closed only its own side of the connection still reads it.
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

// respondFailed responds that there is no answer, without a promise that the request did not run.
func (s *Sender) respondFailed(w *responseRecorder, attempt *backendAttempt) {
	status, message := http.StatusBadGateway, "no answer"
	if attempt != nil {
		message = attempt.failure.Reason.String()
	}
	if attempt == nil || attempt.failure.Reason == transport.ResponseTimeout {
		status = http.StatusGatewayTimeout
	}
	s.Counters.Failed.Add(1)
	s.respondText(w, status, message)
}

// forwardResponse forwards a backend's response, and reports whether it is a success.
func (s *Sender) forwardResponse(w *responseRecorder, p *pendingRequest, attempt *backendAttempt) (success bool) {
	header := w.Header()
	for i := 0; i+1 < len(attempt.reply.Header); i += 2 {
		header.Add(attempt.reply.Header[i], attempt.reply.Header[i+1])
	}
	status := attempt.reply.Status
	if promisesNotRun(status) {
		// The request ran, and the backend's status would tell the client that it did not.
		status = http.StatusBadGateway
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

// promisesNotRun reports whether a status tells the client that the request did not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// respondRefused promises that the request did not run, and tells the client when to try again.
func (s *Sender) respondRefused(w *responseRecorder, retryAfter time.Duration) {
	s.Counters.Refused.Add(1)
	w.setRetryAfter(min(max(retryAfter, minRetryAfter), maxRetryAfter))
	s.respondText(w, http.StatusServiceUnavailable, "no room; the request did not run")
}

// setRetryAfter sets and records when the client should try again.
func (w *responseRecorder) setRetryAfter(retryAfter time.Duration) {
	w.retryAfter = retryAfter
	w.Header().Set(retryAfterHeader, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// respondText writes a response of the sender's own, with a line of text.
func (s *Sender) respondText(w *responseRecorder, status int, message string) {
	w.reason = message
	header := w.Header()
	header["Date"] = nil
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(message)+1))
	w.WriteHeader(status)
	io.WriteString(w, message+"\n")
}
