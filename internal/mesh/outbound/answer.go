package outbound

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// retryAfter is the header that tells a client when to come back.
const retryAfter = "Retry-After"

// outcome is how a request ended: an attempt, or a refusal, which promises that the request did not
// run or may run again.
type outcome struct {
	attempt *attempt // nil: none came to an end
	refused bool
	left    bool // the client left before there was an answer
	after   time.Duration
}

// answer tells the client what came of its request, and says whether that is a success. Here every
// promise is made, so it is checked here too: whatever was decided, what may have run and may not
// run twice gets none.
func (s *Sender) answer(w *answered, j *job, o outcome) bool {
	at := o.attempt
	switch {
	case o.left && (at == nil || at.fail != nil):
		s.left(w, j)
		return false
	case o.refused && !j.mayHaveRun():
		if at != nil && at.fail != nil {
			o.after = max(o.after, at.fail.RetryAfter)
		}
		s.refuse(w, o.after)
		return false
	case at == nil || at.fail != nil:
		s.fail(w, at)
		return false
	}
	return s.pass(w, j, at)
}

// left ends a request whose client has left. It says what is true all the same: a client that has
// closed only its own side of the connection still reads.
func (s *Sender) left(w *answered, j *job) {
	s.Count.Left.Add(1)
	w.left = true
	if j.mayHaveRun() {
		s.say(w, http.StatusBadGateway, "the client has left")
		return
	}
	w.comeBack(leastAfter)
	s.say(w, http.StatusServiceUnavailable, "the client has left")
}

// fail says that there is no answer, and promises nothing.
func (s *Sender) fail(w *answered, at *attempt) {
	status, what := http.StatusBadGateway, "no answer"
	if at != nil {
		what = at.fail.Reason.String()
	}
	if at == nil || at.fail.Reason == transport.ResponseTimeout {
		status = http.StatusGatewayTimeout
	}
	s.Count.Failed.Add(1)
	s.say(w, status, what)
}

// pass passes a backend's answer on.
func (s *Sender) pass(w *answered, j *job, at *attempt) (success bool) {
	h := w.Header()
	for i := 0; i+1 < len(at.reply.Header); i += 2 {
		h.Add(at.reply.Header[i], at.reply.Header[i+1])
	}
	status := at.reply.Status
	if promises(status) {
		status = http.StatusBadGateway // danger: it ran, and these say that it did not
		h.Del(retryAfter)
	}
	if status < 500 {
		s.Count.Served.Add(1)
	} else {
		s.Count.BackendFailed.Add(1)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Date"] = nil
	if j.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(at.body)))
	}
	w.WriteHeader(status)
	w.Write(at.body)
	return status < 500
}

// promises says whether a status says that the request did not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse promises that the request did not run and tells when to come back.
func (s *Sender) refuse(w *answered, after time.Duration) {
	s.Count.Refused.Add(1)
	w.comeBack(min(max(after, leastAfter), mostAfter))
	s.say(w, http.StatusServiceUnavailable, "no room; the request did not run")
}

// comeBack tells when to come back.
func (w *answered) comeBack(after time.Duration) {
	w.after = after
	w.Header().Set(retryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// say answers with a line of the sender's own.
func (s *Sender) say(w *answered, status int, what string) {
	w.why = what
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(what)+1))
	w.WriteHeader(status)
	io.WriteString(w, what+"\n")
}
