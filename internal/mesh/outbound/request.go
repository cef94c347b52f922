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

const initialBodyBuffer = 16 << 10 // bytes that a body without a length is given room for at first

var (
	errNoBodyBudget = errors.New("no room for the body")
	errBodyTooLarge = errors.New("the body is too large")
)

// readBody reads a request's body whole, and returns how much room it holds, also with an error.
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

// readChunks reads a body without a length: room is taken as the buffer grows.
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

// timeLeft reads how long the client of a request waits. The longest that the route allows holds
// where that is shorter, or where the client does not say; told is what it said, 0 if nothing.
func timeLeft(h http.Header, routeLimit time.Duration) (remaining, stated time.Duration) {
	remaining = routeLimit
	millis, err := strconv.ParseFloat(h.Get(inbound.LeftHeader), 64)
	if err != nil || !(millis >= 0 && millis < 1e9) {
		return remaining, 0
	}
	stated = time.Duration(millis * float64(time.Millisecond))
	if remaining <= 0 || stated-clientTransitTime < remaining {
		remaining = stated - clientTransitTime
	}
	return remaining, stated
}

// passedOn lists the headers of a request that go on to the backend. Where requests need a tenant's
// key, neither the key nor what the client says of the tenant does.
func forwardedHeaders(h http.Header, stripCredentials bool) []string {
	forwarded := make([]string, 0, 2*len(h))
	connectionHeaders := connectionOptions(h)
	for name, values := range h {
		switch name {
		case inbound.TryHeader, inbound.LeftHeader, inbound.TargetHeader, inbound.CallerHeader:
			continue
		case keyHeader, inbound.CustomerHeader:
			if stripCredentials {
				continue
			}
		}
		if !inbound.Passes(name) || slices.Contains(connectionHeaders, name) {
			continue
		}
		for _, v := range values {
			forwarded = append(forwarded, name, v)
		}
	}
	return forwarded
}

// connectionOptions names the headers that concern this connection alone, as the client says.
func connectionOptions(h http.Header) (names []string) {
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(option)))
		}
	}
	return names
}
