package inbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

// Headers that a backend and the mesh speak.
const (
	TryIDHeader          = "Try-Id"
	TimeLeftHeader       = "Time-Left"
	TargetServerHeader   = "Target-Server"
	CallingServiceHeader = "Calling-Service"
	// CustomerHeader names the tenant for whom a request runs.
	CustomerHeader = "Customer"
	SealHeader     = "Server-Seal"
	NotRunHeader   = "Not-Run"
	ServerIDHeader = "Server-Id"
)

const (
	mostStrangers = 2  // answers to others' requests that are passed over on one connection
	mostEarly     = 16 // answers of status 1xx that are passed over before one that counts
	mostStatus    = 599
)

// answer is what a backend said to one request.
type answer struct {
	status int
	header []string
	body   []byte
	keep   bool
}

// hop names the headers that concern one connection only.
var hop = map[string]bool{"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true}

// Passes says whether a header is passed on.
func IsEndToEndHeader(name string) bool { return !hop[name] }

// encode writes the request as the backend gets it.
func encode(b []byte, a *transport.Request, body []byte) []byte {
	b = append(b, a.Method...)
	b = append(b, ' ')
	b = append(b, a.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, a.Host...)
	line := func(name, value string) {
		b = append(b, "\r\n"...)
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
	}
	for i := 0; i+1 < len(a.Header); i += 2 {
		line(a.Header[i], a.Header[i+1])
	}
	line(TryIDHeader, a.Try)
	line(TimeLeftHeader, strconv.FormatInt(max(1, a.Left.Milliseconds()), 10))
	line(TargetServerHeader, a.Target)
	line(CallingServiceHeader, a.Caller)
	if a.Customer != "" {
		line(CustomerHeader, a.Customer)
	}
	if len(body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(body)))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// reader reads the answer to a try from a connection to the backend.
type reader struct {
	from  *bufio.Reader
	limit func(int64) // bounds how many bytes are read on
	most  int64       // bytes of one answer
	ask   *transport.Request
	fresh bool // no request has gone over the connection before
}

// read reads the answer to the try. Danger: an answer to somebody else's may stand in its place; the id shows it, and the one
// that is due comes behind it.
func (r *reader) read() (*answer, *transport.Failure) {
	for strangers, early := 0, 0; ; {
		r.limit(r.most)
		resp, err := http.ReadResponse(r.from, &http.Request{Method: r.ask.Method})
		if err != nil {
			return broken(err)
		}
		if resp.StatusCode/100 == 1 {
			if early++; early > mostEarly || resp.StatusCode == http.StatusSwitchingProtocols {
				return spoilt("an answer %d", resp.StatusCode)
			}
			continue
		}
		body, err := r.body(resp)
		if err != nil {
			return broken(err)
		}
		if !r.due(resp) {
			if id := resp.Header.Get(TryIDHeader); id == "" || strangers == mostStrangers {
				return spoilt("an answer to try %q", id)
			}
			strangers++
			continue
		}
		if why := unsound(resp); why != "" {
			return spoilt("an answer %d %s", resp.StatusCode, why)
		}
		return &answer{status: resp.StatusCode, header: passed(resp.Header), body: body, keep: !resp.Close && strangers == 0}, nil
	}
}

// body reads the body of an answer whole.
func (r *reader) body(resp *http.Response) ([]byte, error) {
	switch n := resp.ContentLength; {
	case r.ask.Method == http.MethodHead:
		return nil, nil // its length is that of a body which does not come
	case n >= 0 && n <= r.most:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(resp.Body)
}

// due says whether an answer is that to the try. Only one that turns a request away may lack the id.
// Danger: where another request has gone over the connection before, it may be a late one to that,
// and would prove of this one what it does not know.
func (r *reader) due(resp *http.Response) bool {
	id := resp.Header.Get(TryIDHeader)
	return id == r.ask.Try || id == "" && r.fresh && turnsAway(resp)
}

// turnsAway says whether an answer says that its request did not run and never will.
func turnsAway(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.StatusCode >= 400 && resp.Header.Get(NotRunHeader) != ""
}

// unsound says what keeps an answer from being passed on, though it is to this try; empty: nothing.
func unsound(resp *http.Response) string {
	switch success := resp.StatusCode/100 == 2; {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > mostStatus:
		return "of no known kind"
	case success && resp.Header.Get(NotRunHeader) != "":
		return "that says both that it ran and that it did not"
	case success && resp.Header.Get(SealHeader) == "":
		return "without a seal"
	case success && resp.Header.Get("Content-Encoding") != "":
		return "with an encoding"
	case resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 && !turnsAway(resp):
		return "of which only the end of the connection shows the end" // it may have been cut
	}
	return ""
}

// passed lists the headers of an answer that go on to the client.
func passed(h http.Header) (list []string) {
	for name, values := range h {
		if !IsEndToEndHeader(name) {
			continue
		}
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// broken is the failure of an answer that did not come whole.
func broken(err error) (*answer, *transport.Failure) {
	reason := transport.Broken
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = transport.ResponseTimeout
	}
	return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: reason, Cause: err}
}

// spoilt is the failure of an answer that is not the whole one to the try.
func spoilt(format string, args ...any) (*answer, *transport.Failure) {
	return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.InvalidResponse, Cause: oops.Errorf(format, args...)}
}

// meaning reads a whole answer: a failure if the backend did not run the request. Danger: only its own word proves that; a 503
// without it may have run.
func (a *answer) meaning() *transport.Failure {
	notRun, id := a.status == http.StatusMisdirectedRequest, ""
	for i := 0; i+1 < len(a.header); i += 2 {
		switch a.header[i] {
		case NotRunHeader:
			notRun = true
		case ServerIDHeader:
			id = a.header[i+1]
		}
	}
	if !notRun {
		return nil
	}
	switch a.status {
	case http.StatusMisdirectedRequest:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend, Cause: oops.Errorf("%s is here", id)}
	case http.StatusBadRequest:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Broken}
	}
	return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full}
}

// refused says whether an address answered that nobody listens there.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// targetOf is where a life of the backend is reached: another life's connections are not its own.
func (h *Host) targetOf(address, id string) *connpool.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target == nil || h.targetID != id || h.target.Addr != address {
		if h.target != nil {
			h.pool.Retire(h.target)
		}
		h.target, h.targetID = h.pool.NewTarget(address, h.now()), id
	}
	return h.target
}

// connect gets a connection to the backend.
func (h *Host) connect(caller *Caller, address string, a *transport.Request, sent time.Time) (*connpool.Conn, *transport.Failure) {
	target := h.targetOf(address, a.Target)
	if c := h.pool.GetIdle(target); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), sent.Add(min(a.Left, connectTime)))
	defer cancel()
	stop := caller.whenLeft(cancel)
	defer stop()
	c, err := h.pool.Get(ctx, target)
	if err == nil {
		return c, nil
	}
	f := &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	switch {
	case refused(err):
		f.Reason = transport.UnknownBackend
	case connpool.IsSocketShortage(err):
		f.Reason = transport.LocalShortage
	}
	return nil, f
}

// exchangeUntil hands a request to the backend and breaks its run off once the caller has gone: the
// close of its connection is what tells the backend. What had come whole by then counts.
func (h *Host) exchangeUntil(caller *Caller, c *connpool.Conn, a *transport.Request, body []byte) (*answer, *transport.Failure) {
	stop := caller.whenLeft(c.Expire)
	ans, reuse, f := h.roundTrip(c, a, body)
	left := stop()
	if f != nil && left {
		f = cancelled(transport.MayHaveRun)
	}
	h.giveBack(c, reuse && !left) // once it is overdue nothing more is read from it
	return ans, f
}

// exchange hands a request to the backend and returns its answer.
func (h *Host) exchange(c *connpool.Conn, a *transport.Request, body []byte) (*answer, *transport.Failure) {
	ans, reuse, f := h.roundTrip(c, a, body)
	h.giveBack(c, reuse)
	return ans, f
}

// giveBack ends a request's use of a connection.
func (h *Host) giveBack(c *connpool.Conn, reuse bool) {
	if !reuse {
		h.pool.Discard(c)
		return
	}
	c.SetDeadline(time.Time{})
	h.pool.Put(c)
}

// roundTrip sends a request, reads its answer, and says whether the connection can carry another.
func (h *Host) roundTrip(c *connpool.Conn, a *transport.Request, body []byte) (ans *answer, reuse bool, f *transport.Failure) {
	if _, err := c.Write(encode(make([]byte, 0, 512+len(body)), a, body)); err != nil {
		return nil, false, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Broken, Cause: err}
	}
	r := reader{from: c.Reader, limit: c.LimitRead, most: h.mostAnswer, ask: a, fresh: c.IsNew()}
	if ans, f = r.read(); f != nil {
		return nil, false, f
	}
	return ans, ans.keep && c.Reader.Buffered() == 0, nil
}
