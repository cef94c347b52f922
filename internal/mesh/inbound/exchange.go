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
	TryHeader     = "Try-Id"
	LeftHeader    = "Time-Left"
	TargetHeader  = "Target-Server"
	CallerHeader  = "Calling-Service"
	SealHeader    = "Server-Seal"
	NotRunHeader  = "Not-Run"
	ServerHeader  = "Server-Id"
	mostStrangers = 2 // answers to others' requests that are passed over on one connection
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
func Passes(name string) bool { return !hop[name] }

// encode writes the request as the backend gets it.
func encode(b []byte, a *transport.Ask, body []byte) []byte {
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
	line(TryHeader, a.Try)
	line(LeftHeader, strconv.FormatInt(max(1, a.Left.Milliseconds()), 10))
	line(TargetHeader, a.Target)
	line(CallerHeader, a.Caller)
	if len(body) > 0 || a.Method != http.MethodGet && a.Method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(body)))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// read reads the answer to a try. Danger: an answer to somebody else's may stand in its place; the id shows it, and the one
// that is due comes behind it.
func read(br *bufio.Reader, limit func(int64), most int64, a *transport.Ask) (*answer, *transport.Failure) {
	broken := func(reason transport.Reason, err error) (*answer, *transport.Failure) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reason = transport.Silent
		}
		return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: reason, Cause: err}
	}
	for strangers := 0; ; {
		limit(most)
		resp, err := http.ReadResponse(br, &http.Request{Method: a.Method})
		if err != nil {
			return broken(transport.Broken, err)
		}
		if resp.StatusCode/100 == 1 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return broken(transport.Spoilt, oops.Errorf("an answer in another protocol"))
			}
			continue
		}
		var body []byte
		if n := resp.ContentLength; a.Method == http.MethodHead {
			// Its length is that of a body which does not come.
		} else if n >= 0 && n <= most {
			body = make([]byte, n)
			_, err = io.ReadFull(resp.Body, body)
		} else {
			body, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			return broken(transport.Broken, err)
		}
		// Only one that turns a request away may lack the id; with another's it proves nothing about this one.
		away := resp.Header.Get(NotRunHeader) != "" || resp.StatusCode == http.StatusMisdirectedRequest
		if id := resp.Header.Get(TryHeader); id != a.Try && (id != "" || !away) {
			if strangers++; strangers > mostStrangers || id == "" {
				return broken(transport.Spoilt, oops.Errorf("an answer to try %q", id))
			}
			continue
		}
		if resp.StatusCode/100 == 2 && (resp.Header.Get(SealHeader) == "" || resp.Header.Get("Content-Encoding") != "") {
			return broken(transport.Spoilt, oops.Errorf("an answer without a seal, or with an encoding"))
		}
		// One whose end only the end of the connection shows may have been cut.
		if resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 && resp.StatusCode/100 == 2 {
			return broken(transport.Spoilt, oops.Errorf("an answer without a length"))
		}
		out := &answer{status: resp.StatusCode, body: body, keep: !resp.Close && strangers == 0}
		for name, values := range resp.Header {
			if Passes(name) {
				for _, v := range values {
					out.header = append(out.header, name, v)
				}
			}
		}
		return out, nil
	}
}

// meaning reads a whole answer: a failure if the backend did not run the request. Danger: only its own word proves that; a 503
// without it may have run.
func (a *answer) meaning() *transport.Failure {
	notRun := a.status == http.StatusMisdirectedRequest
	id := ""
	for i := 0; i+1 < len(a.header); i += 2 {
		switch a.header[i] {
		case NotRunHeader:
			notRun = true
		case ServerHeader:
			id = a.header[i+1]
		}
	}
	if !notRun {
		return nil
	}
	switch a.status {
	case http.StatusMisdirectedRequest:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unknown, Cause: oops.Errorf("%s is here", id)}
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
		h.target, h.targetID = h.pool.Target(address, h.now()), id
	}
	return h.target
}

// exchange hands a request to the backend and returns its answer.
func (h *Host) exchange(ctx context.Context, address string, a *transport.Ask, body []byte, deadline time.Time) (*answer, *transport.Failure) {
	c, err := h.pool.Get(ctx, h.targetOf(address, a.Target))
	if err != nil {
		f := &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
		switch {
		case refused(err):
			f.Reason = transport.Unknown
		case connpool.IsShortage(err):
			f.Reason = transport.Own
		}
		return nil, f
	}
	c.SetDeadline(deadline)
	if _, err := c.Write(encode(make([]byte, 0, 512+len(body)), a, body)); err != nil {
		h.pool.Discard(c)
		return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Broken, Cause: err}
	}
	ans, f := read(c.Reader, c.Limit, h.mostAnswer, a)
	if f != nil || !ans.keep || c.Reader.Buffered() > 0 {
		h.pool.Discard(c)
	} else {
		c.SetDeadline(time.Time{})
		h.pool.Put(c)
	}
	if f != nil {
		return nil, f
	}
	return ans, nil
}
