package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/life"
	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

const (
	maxBody      = 64 << 10  // bytes of a request's body, and of an answer's that needs no room kept for it
	maxAnswer    = 512 << 10 // bytes of an answer's body that says its length
	maxHeader    = 32 << 10
	probeTimeout = 300 * time.Millisecond
	// answerTimeout is how long a head or a body of an answer may take from its first byte to its last.
	answerTimeout = 250 * time.Millisecond
)

// errTooLate says that the backends no longer remember a request that was to be repeated.
var errTooLate = errors.New("too late to repeat the request")

// message is a client's request as it goes on to a backend, unchanged but for its budget.
type message struct {
	head  []byte // the request line and the headers but for the budget
	body  []byte
	probe bool // the agent's own
}

// notPassedOn is what a message says anew each time.
var notPassedOn = map[string]bool{budgetHeader: true}

func newMessage(method, uri, host string, header http.Header, body []byte) message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
	if len(body) > 0 || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	header.WriteSubset(&head, notPassedOn) // to a buffer, which takes all
	return message{head: head.Bytes(), body: body}
}

// encode writes the message with the time that is left for it.
func (m *message) encode(left time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(budgetHeader)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %du\r\n\r\n", budgetHeader, max(1, left.Microseconds()))
	return append(text, m.body...)
}

// result is how an attempt or a probe ended.
type result struct {
	outcome policy.Outcome
	took    time.Duration // at the backend, at least
	seen    time.Duration // of the clock, when it ended
	load    policy.Load
	answer  answer // a whole one, if the outcome is OK
}

// exchange sends a message once and waits for its answer until the context ends. If sendBy is set and has passed
// when a connection is up, nothing is sent.
func (p *pool) exchange(ctx context.Context, t *target, m *message, sendBy time.Time, fields []string) result {
	r := result{load: settings.NoLoad()}
	var a life.Attempt
	wrote := p.late.time.now()
	resp, body, err := p.roundTrip(ctx, t, m, sendBy, &a, &wrote)
	r.seen = p.late.time.now()
	r.took = max(0, r.seen-p.late.own()-wrote)
	if err == nil {
		r.load = parseLoad(resp.Header.Get(loadHeader), fields)
		p.on(&a, meaning(resp))
	} else {
		p.onError(ctx, &a, err)
	}
	r.outcome = a.State().Outcome()
	if r.outcome == policy.OK {
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body}
	} else {
		p.free(int64(len(body)))
	}
	return r
}

// on takes in what happens to an attempt. Danger: what does not fit would have the attempt end as something that it is not,
// so it is told; and the attempt stays as it is, which never calls unsent what may have run.
func (p *pool) on(a *life.Attempt, i life.Input) {
	if err := a.On(i); err != nil {
		p.log.Error("attempt", "error", err)
	}
}

// onError takes in why an attempt's I/O has come back without an answer.
func (p *pool) onError(ctx context.Context, a *life.Attempt, err error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		p.on(a, life.Cancel)
		p.on(a, life.Back)
	case errors.Is(err, errTooLate):
		p.on(a, life.TooLate)
	case ownShortage(err) && a.State() == life.Connecting:
		p.on(a, life.NoRoom)
	case ctx.Err() != nil:
		p.on(a, life.Deadline)
		p.on(a, life.Back)
	case a.State() == life.Connecting && errors.Is(err, os.ErrDeadlineExceeded) && p.late.own() > 0:
		p.on(a, life.NoRoom) // it may have come up in time while the agent was late
	case a.State() == life.Connecting:
		p.on(a, life.NoConnection)
	default:
		p.on(a, life.Broken)
	}
}

// meaning reads a whole answer. What the protocol does not name may have run.
func meaning(resp *http.Response) life.Input {
	switch resp.StatusCode {
	case http.StatusOK:
		return life.Good
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(rejectedHeader) == "1" {
			return life.Full
		}
	}
	return life.Bad
}

// roundTrip returns a whole answer, or an error. How far it has come before that the attempt tells, and wrote when its last
// byte went out, if it did.
func (p *pool) roundTrip(ctx context.Context, t *target, m *message, sendBy time.Time, a *life.Attempt, wrote *time.Duration) (resp *http.Response, body []byte, err error) {
	p.on(a, life.Begin)
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, nil, err
	}
	p.on(a, life.Connected)
	reusable := false
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.overdue()
		} else {
			c.Close() // which also gives the attempt up
		}
	})
	defer func() {
		if stop() && reusable {
			p.put(c)
		} else {
			p.discard(c)
		}
	}()
	// Danger: backends drop a keyed repeat only for a while, and a connection that was slow to come up may outlast
	// it. What is not sent has not run.
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		reusable = true
		return nil, nil, errTooLate
	}
	deadline, _ := ctx.Deadline()
	p.on(a, life.Write)
	if _, err := c.Write(m.encode(time.Until(deadline))); err != nil {
		return nil, nil, err
	}
	p.on(a, life.WroteLast)
	if !m.probe {
		p.written.Add(1)
	}
	*wrote = p.late.time.now()
	if resp, body, err = p.read(c, a); err != nil {
		return nil, nil, err
	}
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	reusable = !resp.Close && c.br.Buffered() == 0
	return resp, body, nil
}

// read reads one answer to its end. An answer whose end only the closing of the connection would show cannot be
// known to be whole, and counts as broken.
func (p *pool) read(c *conn, a *life.Attempt) (*http.Response, []byte, error) {
	c.limit.N = maxHeader + maxAnswer
	for {
		if err := c.timed(false); err != nil { // however long it takes until something comes
			return nil, nil, err
		}
		if _, err := c.br.Peek(1); err != nil {
			return nil, nil, err
		}
		if a.State() == life.Sent { // not behind an interim one
			p.on(a, life.FirstByte)
		}
		// Danger: an answer that says that it is longer than it is ends on no connection that stays open. What has
		// come already needs no deadline, which costs as much as a short read.
		here, _ := c.br.Peek(c.br.Buffered())
		if err := c.timed(!bytes.Contains(here, headEnd)); err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return nil, nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, errors.New("an answer in another protocol")
		case resp.StatusCode/100 == 1:
			continue // the answer is still to come
		case resp.ContentLength > maxAnswer:
			return nil, nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
		case resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked"):
			return nil, nil, errors.New("an answer without an end")
		}
		if !p.reserve(resp.ContentLength) {
			return nil, nil, fmt.Errorf("no room for an answer of %d bytes", resp.ContentLength)
		}
		body, err := c.readBody(resp)
		if err != nil {
			p.free(resp.ContentLength)
		}
		return resp, body, err
	}
}

// headEnd ends the head of an answer.
var headEnd = []byte("\r\n\r\n")

// overdue ends all waiting on the connection. What has come by then is still read.
func (c *conn) overdue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	c.SetDeadline(time.Unix(1, 0))
}

// timed gives what is read from now on so much time, or none at all.
func (c *conn) timed(on bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over:
	case on:
		c.timing = true
		return c.SetReadDeadline(time.Now().Add(answerTimeout))
	case c.timing:
		c.timing = false
		return c.SetReadDeadline(time.Time{})
	}
	return nil
}

func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	if err := c.timed(resp.ContentLength < 0 || int64(c.br.Buffered()) < resp.ContentLength); err != nil {
		return nil, err
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, err
		}
		return body, c.timed(false)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBody:
		return nil, fmt.Errorf("an answer of over %d bytes", maxBody)
	}
	return body, c.timed(false)
}

// probe asks a backend how it does: for its load where probes bring reports, else whether it is alive.
func (p *pool) probe(ctx context.Context, t *target, s *settings.Settings) result {
	path, reports := alivePath, s.Module.Reports != policy.ReportsOff
	if reports {
		path = loadPath
	}
	m := newMessage(http.MethodGet, path, t.addr, nil, nil)
	m.probe = true
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := p.exchange(ctx, t, &m, time.Time{}, s.ReportFields)
	p.free(int64(len(r.answer.body)))
	if r.outcome == policy.OK && reports {
		r.load = parseLoad(string(r.answer.body), s.ReportFields)
	}
	return r
}

// parseLoad reads a report such as inflight=7,queue=2. Names that the settings do not list, and what is no
// number, are left out: a bad report is an absent one.
func parseLoad(text string, fields []string) policy.Load {
	load := settings.NoLoad()
	if text == "" {
		return load // as most answers have none
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && slices.Contains(fields, name) {
			settings.AddLoad(&load, name, v)
		}
	}
	return load
}

// serverIDs derives numbers from the backends' names, the same in every life of the agent.
type serverIDs struct {
	ids   map[string]policy.ServerID
	names map[policy.ServerID]string
}

// of returns the number of a name, and takes one for it if it is new. Names that would share a number are kept
// apart: the later one gets the next that is free.
func (s *serverIDs) of(name string) policy.ServerID {
	if id, ok := s.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := policy.ServerID(hash.Sum32())
	for {
		if _, taken := s.names[id]; !taken {
			break
		}
		id++
	}
	s.ids[name], s.names[id] = id, name
	return id
}

// free forgets a name that has left the list.
func (s *serverIDs) free(id policy.ServerID) {
	delete(s.ids, s.names[id])
	delete(s.names, id)
}
