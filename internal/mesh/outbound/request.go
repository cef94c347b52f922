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

const firstChunk = 16 << 10 // bytes that a body without a length is given room for at first

var (
	errNoRoom   = errors.New("no room for the body")
	errTooLarge = errors.New("the body is too large")
)

// readBody reads a request's body whole, and returns how much room it holds, also with an error.
func (s *Sender) readBody(r *http.Request, most int64) (body []byte, held int64, err error) {
	switch {
	case r.ContentLength > most:
		return nil, 0, errTooLarge
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		return nil, 0, nil
	case r.ContentLength > 0:
		if !s.budget.Reserve(r.ContentLength) {
			return nil, 0, errNoRoom
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
		return body, r.ContentLength, err
	}
	return s.readChunks(r.Body, most)
}

// readChunks reads a body without a length: room is taken as the buffer grows.
func (s *Sender) readChunks(from io.Reader, most int64) (body []byte, held int64, err error) {
	for {
		if len(body) == cap(body) {
			more := int64(max(cap(body), firstChunk))
			if !s.budget.Reserve(more) {
				return nil, held, errNoRoom
			}
			held += more
			body = slices.Grow(body, int(more))
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return nil, held, errTooLarge
		case err == io.EOF:
			return body, held, nil
		case err != nil:
			return nil, held, err
		}
	}
}

// timeLeft reads how long the client of a request waits. The longest that the route allows holds
// where that is shorter, or where the client does not say; told is what it said, 0 if nothing.
func timeLeft(h http.Header, giveUp time.Duration) (left, told time.Duration) {
	left = giveUp
	ms, err := strconv.ParseFloat(h.Get(inbound.TimeLeftHeader), 64)
	if err != nil || !(ms >= 0 && ms < 1e9) {
		return left, 0
	}
	told = time.Duration(ms * float64(time.Millisecond))
	if left <= 0 || told-wayBack < left {
		left = told - wayBack
	}
	return left, told
}

// passedOn lists the headers of a request that go on to the backend. Where requests need a tenant's
// key, neither the key nor what the client says of the tenant does.
func passedOn(h http.Header, keyed bool) []string {
	list := make([]string, 0, 2*len(h))
	oneHop := connectionOptions(h)
	for name, values := range h {
		switch name {
		case inbound.TryIDHeader, inbound.TimeLeftHeader, inbound.TargetServerHeader, inbound.CallingServiceHeader:
			continue
		case keyHeader, inbound.CustomerHeader:
			if keyed {
				continue
			}
		}
		if !inbound.IsEndToEndHeader(name) || slices.Contains(oneHop, name) {
			continue
		}
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
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
