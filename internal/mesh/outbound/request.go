package outbound

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/inbound"
)

const initialBodyBuffer = 16 << 10 // initial buffer, in bytes, for a body of unknown length

var (
	errNoBodyBudget = errors.New("no room for the body")
	errBodyTooLarge = errors.New("the body is too large")
)

// readBody reads a request's whole body. It also returns how many bytes of the budget are reserved
// for it, even with an error; the caller releases them.
func (s *Sender) readBody(r *http.Request, maxBytes int64) (body []byte, reserved int64, err error) {
	switch {
	case r.ContentLength > maxBytes:
		return nil, 0, errBodyTooLarge
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil, 0, nil
	case r.ContentLength > 0:
		if !s.bodyBudget.Reserve(r.ContentLength) {
			return nil, 0, errNoBodyBudget
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		return body, r.ContentLength, err
	}
	return s.readUnsizedBody(r.Body, maxBytes)
}

// readUnsizedBody reads a body of unknown length. It reserves memory as the buffer grows.
func (s *Sender) readUnsizedBody(source io.Reader, maxBytes int64) (body []byte, reserved int64, err error) {
	for {
		if len(body) == cap(body) {
			growth := int64(max(cap(body), initialBodyBuffer))
			if !s.bodyBudget.Reserve(growth) {
				return nil, reserved, errNoBodyBudget
			}
			reserved += growth
			body = slices.Grow(body, int(growth))
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, reserved, errBodyTooLarge
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}

// timeLeft returns how much longer the client of a request waits. The route's limit applies if it
// is shorter or if the client states no time. The second result is the time that the client stated,
// 0 for none.
func timeLeft(h http.Header, routeLimit time.Duration) (remaining, stated time.Duration) {
	remaining = routeLimit
	millis, err := strconv.ParseFloat(h.Get(inbound.TimeLeftHeader), 64)
	if err != nil || !(millis >= 0 && millis < 1e9) {
		return remaining, 0
	}
	stated = time.Duration(millis * float64(time.Millisecond))
	if remaining <= 0 || stated-clientTransitTime < remaining {
		remaining = stated - clientTransitTime
	}
	return remaining, stated
}

// forwardedHeaders lists the headers that go on to the backend, names and values in turn. Where
// customers authenticate with a key, neither the key nor the client's statement of the customer is
// forwarded.
func forwardedHeaders(h http.Header, stripCredentials bool) []string {
	forwarded := make([]string, 0, 2*len(h))
	connectionHeaders := connectionOptions(h)
	for name, values := range h {
		switch name {
		case inbound.TryIDHeader, inbound.TimeLeftHeader, inbound.TargetServerHeader, inbound.CallingServiceHeader:
			continue
		case keyHeader, inbound.CustomerHeader:
			if stripCredentials {
				continue
			}
		}
		if !inbound.IsEndToEndHeader(name) || slices.Contains(connectionHeaders, name) {
			continue
		}
		for _, v := range values {
			forwarded = append(forwarded, name, v)
		}
	}
	return forwarded
}

// connectionOptions lists the headers that the client declared to be for this connection only.
func connectionOptions(h http.Header) (names []string) {
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(option)))
		}
	}
	return names
}
