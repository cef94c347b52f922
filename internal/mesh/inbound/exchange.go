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

// HTTP headers that the sidecar and the backend exchange.
const (
	TryIDHeader          = "Try-Id"
	TimeLeftHeader       = "Time-Left"
	TargetServerHeader   = "Target-Server"
	CallingServiceHeader = "Calling-Service"
	// CustomerHeader names the tenant on whose behalf a request runs.
	CustomerHeader = "Customer"
	SealHeader     = "Server-Seal"
	NotRunHeader   = "Not-Run"
	ServerIDHeader = "Server-Id"
)

const (
	maxStaleResponses   = 2  // responses to other requests that are skipped on one connection
	maxInterimResponses = 16 // 1xx responses that are skipped before the final response
	maxStatus           = 599
)

// response is a backend's complete response to one request.
type response struct {
	status    int
	header    []string
	body      []byte
	keepAlive bool
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = map[string]bool{"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true}

// IsEndToEndHeader reports whether a header is forwarded. The name must be in canonical form.
func IsEndToEndHeader(name string) bool { return !hopByHop[name] }

// appendRequest appends the request in HTTP/1.1 wire format, as it is sent to the backend.
func appendRequest(buf []byte, req *transport.Request, body []byte) []byte {
	buf = append(buf, req.Method...)
	buf = append(buf, ' ')
	buf = append(buf, req.URI...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, req.Host...)
	appendHeader := func(name, value string) {
		buf = append(buf, "\r\n"...)
		buf = append(buf, name...)
		buf = append(buf, ": "...)
		buf = append(buf, value...)
	}
	for i := 0; i+1 < len(req.Header); i += 2 {
		appendHeader(req.Header[i], req.Header[i+1])
	}
	appendHeader(TryIDHeader, req.Try)
	appendHeader(TimeLeftHeader, strconv.FormatInt(max(1, req.Left.Milliseconds()), 10))
	appendHeader(TargetServerHeader, req.Target)
	appendHeader(CallingServiceHeader, req.Caller)
	if req.Customer != "" {
		appendHeader(CustomerHeader, req.Customer)
	}
	if len(body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		appendHeader("Content-Length", strconv.Itoa(len(body)))
	}
	buf = append(buf, "\r\n\r\n"...)
	return append(buf, body...)
}

// responseReader reads the response to a request from a connection to the backend.
type responseReader struct {
	buffered  *bufio.Reader
	limitRead func(int64) // limits how many more bytes are read from the connection
	maxBytes  int64       // limit for one response
	req       *transport.Request
	freshConn bool // no request was sent on the connection before
}

// read reads the response to the request. A response to an earlier request may come first on a
// reused connection. It is recognized by its id, and the expected response follows it, so a few of
// these are skipped.
func (r *responseReader) read() (*response, *transport.Failure) {
	for stale, interim := 0, 0; ; {
		r.limitRead(r.maxBytes)
		resp, err := http.ReadResponse(r.buffered, &http.Request{Method: r.req.Method})
		if err != nil {
			return brokenResponse(err)
		}
		if resp.StatusCode/100 == 1 {
			if interim++; interim > maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
				return invalidResponse("unexpected interim response with status %d", resp.StatusCode)
			}
			continue
		}
		body, err := r.readBody(resp)
		if err != nil {
			return brokenResponse(err)
		}
		if !r.matchesRequest(resp) {
			if id := resp.Header.Get(TryIDHeader); id == "" || stale == maxStaleResponses {
				return invalidResponse("response with Try-Id %q does not match the request", id)
			}
			stale++
			continue
		}
		if reason := invalidReason(resp); reason != "" {
			return invalidResponse("invalid response with status %d: %s", resp.StatusCode, reason)
		}
		return &response{status: resp.StatusCode, header: endToEndHeaders(resp.Header), body: body, keepAlive: !resp.Close && stale == 0}, nil
	}
}

// readBody reads the complete body of a response.
func (r *responseReader) readBody(resp *http.Response) ([]byte, error) {
	switch length := resp.ContentLength; {
	case r.req.Method == http.MethodHead:
		return nil, nil // the Content-Length of a response to HEAD describes a body that is not sent
	case length >= 0 && length <= r.maxBytes:
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(resp.Body)
}

// matchesRequest reports whether a response belongs to the request. Only a response that rejects
// the request may lack the id, and only on a connection that carried no request before: otherwise
// it may be a late rejection of an earlier request, and would falsely prove that this one did not
// run.
func (r *responseReader) matchesRequest(resp *http.Response) bool {
	id := resp.Header.Get(TryIDHeader)
	return id == r.req.Try || id == "" && r.freshConn && reportsNotRun(resp)
}

// reportsNotRun reports whether a response states that its request did not run and never will.
func reportsNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.StatusCode >= 400 && resp.Header.Get(NotRunHeader) != ""
}

// invalidReason explains why a response to the right request cannot be forwarded. It is empty for a
// valid response.
func invalidReason(resp *http.Response) string {
	switch success := resp.StatusCode/100 == 2; {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return "unknown status class"
	case success && resp.Header.Get(NotRunHeader) != "":
		return "success status together with a Not-Run header"
	case success && resp.Header.Get(SealHeader) == "":
		return "success without a seal"
	case success && resp.Header.Get("Content-Encoding") != "":
		return "unexpected Content-Encoding"
	case resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 && !reportsNotRun(resp):
		// A connection that breaks in the middle of the body looks the same.
		return "body length is neither declared nor chunked"
	}
	return ""
}

// endToEndHeaders returns the headers that are forwarded to the client, as alternating names and
// values.
func endToEndHeaders(h http.Header) (list []string) {
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

// brokenResponse returns the failure for a response that could not be read completely.
func brokenResponse(err error) (*response, *transport.Failure) {
	reason := transport.Broken
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = transport.ResponseTimeout
	}
	return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: reason, Cause: err}
}

// invalidResponse returns the failure for a response that was read but cannot be trusted.
func invalidResponse(format string, args ...any) (*response, *transport.Failure) {
	return nil, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.InvalidResponse, Cause: oops.Errorf(format, args...)}
}

// notRunFailure returns a failure if the response proves that the backend did not run the request,
// and nil otherwise. Only an explicit statement by the backend proves this: a 503 without the
// Not-Run header may come from a request that ran.
func (r *response) notRunFailure() *transport.Failure {
	notRun, serverID := r.status == http.StatusMisdirectedRequest, ""
	for i := 0; i+1 < len(r.header); i += 2 {
		switch r.header[i] {
		case NotRunHeader:
			notRun = true
		case ServerIDHeader:
			serverID = r.header[i+1]
		}
	}
	if !notRun {
		return nil
	}
	switch r.status {
	case http.StatusMisdirectedRequest:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend, Cause: oops.Errorf("instance %q answered at this address", serverID)}
	case http.StatusBadRequest:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Broken}
	}
	return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Full}
}

// connectionRefused reports whether nothing listens at the address that was dialed.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// targetFor returns the connection target of a backend instance. When the instance or its address
// changes, the connections of the previous instance are retired.
func (h *Host) targetFor(address, id string) *connpool.Target {
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

// connect returns an idle or a new connection to the backend.
func (h *Host) connect(caller *Caller, address string, req *transport.Request, sentAt time.Time) (*connpool.Conn, *transport.Failure) {
	target := h.targetFor(address, req.Target)
	if c := h.pool.GetIdle(target); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), sentAt.Add(min(req.Left, connectTimeout)))
	defer cancel()
	stop := caller.afterGone(cancel)
	defer stop()
	c, err := h.pool.Get(ctx, target)
	if err == nil {
		return c, nil
	}
	failure := &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	switch {
	case connectionRefused(err):
		failure.Reason = transport.UnknownBackend
	case connpool.IsSocketShortage(err):
		failure.Reason = transport.LocalShortage
	}
	return nil, failure
}

// roundTripCancellable sends a request to the backend and closes the connection once the caller is
// gone, which tells the backend to stop. A response that was complete by then still counts.
func (h *Host) roundTripCancellable(caller *Caller, conn *connpool.Conn, req *transport.Request, body []byte) (*response, *transport.Failure) {
	stop := caller.afterGone(conn.Expire)
	resp, reusable, failure := h.roundTrip(conn, req, body)
	gone := stop()
	if failure != nil && gone {
		failure = cancelledFailure(transport.MayHaveRun)
	}
	h.releaseConn(conn, reusable && !gone) // after Expire nothing more can be read from it
	return resp, failure
}

// roundTripUninterrupted sends a request to the backend and returns its response, whether or not
// the caller is still there.
func (h *Host) roundTripUninterrupted(conn *connpool.Conn, req *transport.Request, body []byte) (*response, *transport.Failure) {
	resp, reusable, failure := h.roundTrip(conn, req, body)
	h.releaseConn(conn, reusable)
	return resp, failure
}

// releaseConn returns a connection to the pool or closes it.
func (h *Host) releaseConn(conn *connpool.Conn, reusable bool) {
	if !reusable {
		h.pool.Discard(conn)
		return
	}
	conn.SetDeadline(time.Time{})
	h.pool.Put(conn)
}

// roundTrip sends a request, reads its response and reports whether the connection can be reused.
func (h *Host) roundTrip(conn *connpool.Conn, req *transport.Request, body []byte) (resp *response, reusable bool, failure *transport.Failure) {
	if _, err := conn.Write(appendRequest(make([]byte, 0, 512+len(body)), req, body)); err != nil {
		return nil, false, &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Broken, Cause: err}
	}
	r := responseReader{buffered: conn.Reader, limitRead: conn.LimitRead, maxBytes: h.maxResponseBytes, req: req, freshConn: conn.IsNew()}
	if resp, failure = r.read(); failure != nil {
		return nil, false, failure
	}
	return resp, resp.keepAlive && conn.Reader.Buffered() == 0, nil
}
