package agent

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
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
	maxHeader    = 32 << 10
	probeTimeout = 300 * time.Millisecond
)

// errOverdue says that a stream's answer did not come in time.
var errOverdue = errors.New("no answer in time")

// errTooLate says that a request is not to be sent any more: its backend is out, or the backends no longer remember what it repeats.
var errTooLate = errors.New("too late to send the request")

// message is a client's request as it goes on to a backend, unchanged but for its budget.
type message struct {
	head  []byte // the request line and the headers but for the budget
	body  []byte
	probe bool    // the agent's own
	rest  *upload // what is still to come of the body; nil: nothing
}

// notPassedOn is what a message says anew each time.
var notPassedOn = map[string]bool{budgetHeader: true}

func newMessage(method, uri, host string, header http.Header, body []byte, rest *upload) message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
	switch {
	case rest != nil && rest.size < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case rest != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", rest.size)
	case len(body) > 0 || method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	header.WriteSubset(&head, notPassedOn) // to a buffer, which takes all
	return message{head: head.Bytes(), body: body, rest: rest}
}

// size is how long the body is in bytes, or how much of it is known to come.
func (m *message) size() int {
	if m.rest != nil {
		return int(max(m.rest.size, int64(len(m.body))))
	}
	return len(m.body)
}

// encode writes the message with the time that is left for it.
func (m *message) encode(left time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(budgetHeader)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %du\r\n\r\n", budgetHeader, max(1, left.Microseconds()))
	if m.rest != nil && m.rest.size < 0 {
		return fmt.Appendf(text, "%x\r\n%s\r\n", len(m.body), m.body)
	}
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
	resp, body, rest, err := p.roundTrip(ctx, t, m, sendBy, &a, &wrote)
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
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body, rest: rest}
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
	overdue := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case ctx.Err() != nil && !overdue, errors.Is(err, errClient):
		p.on(a, life.Cancel)
		p.on(a, life.Back)
	case errors.Is(err, errTooLate):
		p.on(a, life.TooLate)
	case ownShortage(err) && a.State() == life.Connecting:
		p.on(a, life.NoRoom)
	case overdue, errors.Is(err, errOverdue):
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

// roundTrip returns an answer, the rest of its body if that is too long to be read here, or an error. How far it has come before that the attempt tells, and wrote when its last
// byte went out, if it did.
func (p *pool) roundTrip(ctx context.Context, t *target, m *message, sendBy time.Time, a *life.Attempt, wrote *time.Duration) (resp *http.Response, body []byte, rest *download, err error) {
	p.on(a, life.Begin)
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, nil, nil, err
	}
	p.on(a, life.Connected)
	reusable := false
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.overdue()
		} else {
			c.Close() // which also gives the attempt up
		}
		if m.rest != nil {
			m.rest.interrupt()
		}
	})
	defer func() {
		switch on := stop(); {
		case on && rest != nil: // its body holds the connection
		case rest != nil:
			rest.end(false)
			resp, rest, err = nil, nil, context.Cause(ctx)
		case on && reusable:
			p.put(c)
		default:
			p.discard(c)
		}
	}()
	// Danger: backends drop a keyed repeat only for a while, and a connection that was slow to come up may outlast
	// it. What is not sent has not run.
	// Nor is anything sent to a backend that was called out meanwhile, or has gone.
	if !sendBy.IsZero() && !time.Now().Before(sendBy) || p.isRetired(t) {
		reusable = true
		return nil, nil, nil, errTooLate
	}
	var left time.Duration
	if m.rest != nil {
		left = m.rest.budget
	} else {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
	}
	p.on(a, life.Write)
	if _, err := c.Write(m.encode(left)); err != nil {
		return nil, nil, nil, err
	}
	whole := true
	if m.rest != nil {
		if whole, err = p.passOn(c, m.rest); err != nil {
			return nil, nil, nil, err
		}
	}
	if whole {
		p.on(a, life.WroteLast)
		if !m.probe {
			p.written.Add(1)
		}
		*wrote = p.late.time.now()
		if m.rest != nil {
			overdue := time.AfterFunc(m.rest.arrived(), c.overdue)
			defer overdue.Stop()
		}
	}
	if resp, body, rest, err = p.read(c, a); err != nil {
		if m.rest != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.isOver() {
			err = errOverdue
		}
		return nil, nil, nil, err
	}
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	reusable = whole && !resp.Close && c.br.Buffered() == 0
	return resp, body, rest, nil
}

// passOn passes the rest of a request's body on, until the backend answers: one that does so before the last byte has no
// use for what is left. It says whether that was all of it.
func (p *pool) passOn(c *conn, rest *upload) (whole bool, err error) {
	c.limit.N = maxHeader + keep
	c.stall = 0
	var early error
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		if _, early = c.br.Peek(1); !errors.Is(early, os.ErrDeadlineExceeded) {
			rest.interrupt()
		}
	}()
	err = rest.pump(c)
	// Nobody else may read the connection until the watch has ended. What it has seen stays to be read.
	c.interruptRead()
	<-heard
	if e := c.resumeRead(); e != nil && err == nil {
		err = e
	}
	switch {
	case err == nil:
		return true, nil
	case early == nil && !rest.hasFailed():
		return false, nil
	case rest.hasFailed():
		return false, errClient
	}
	return false, fmt.Errorf("passing a body on: %w", cmp.Or(early, err))
}

// read reads one answer: to its end if it is short, else its head and what of it has come. One whose end only the closing of
// the connection shows is whole if that is no reset (RFC 9112, section 6.3).
func (p *pool) read(c *conn, a *life.Attempt) (*http.Response, []byte, *download, error) {
	c.limit.N = maxHeader + keep
	for {
		c.stall = 0 // however long it takes until something comes
		if _, err := c.br.Peek(1); err != nil {
			return nil, nil, nil, err
		}
		if s := a.State(); s == life.Sent || s == life.Writing { // not behind an interim one
			p.on(a, life.FirstByte)
		}
		// Danger: an answer that says that it is longer than it is ends on no connection that stays open.
		c.stall = answerStall
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return nil, nil, nil, err
		}
		good := resp.StatusCode == http.StatusOK
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, nil, errors.New("an answer in another protocol")
		case resp.StatusCode/100 == 1:
			continue // the answer is still to come
		case resp.ContentLength > mostBody, resp.ContentLength > keep && !good:
			return nil, nil, nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
		}
		body, whole, err := readBody(resp)
		if err != nil {
			return nil, nil, nil, err
		}
		if whole {
			c.stall = 0
			return resp, body, nil, c.arm()
		}
		if !good {
			return nil, nil, nil, fmt.Errorf("an answer of over %d bytes", len(body))
		}
		if !p.reserve(streamRoom) {
			return nil, nil, nil, errors.New("no room for an answer")
		}
		c.limit.N, c.stall = math.MaxInt64, streamStall
		return resp, body, &download{
			pool: p, conn: c, body: resp.Body, size: resp.ContentLength, got: int64(len(body)), reusable: !resp.Close,
		}, nil
	}
}

// readBody reads a body that is short. Of another it returns what has come, once that is much or has gone on for a while.
func readBody(resp *http.Response) (body []byte, whole bool, err error) {
	if resp.ContentLength >= 0 && resp.ContentLength <= keep {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Danger: one that says that it is longer than it is would be chosen for its head, and could not be sent for again.
	begun := time.Now()
	for len(body) < keep && (len(body) == 0 || time.Since(begun) < settle) {
		body = slices.Grow(body, 4<<10)
		n, err := resp.Body.Read(body[len(body):min(cap(body), keep)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// overdue ends all waiting on the connection. What has come by then is still read.
func (c *conn) overdue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	c.SetDeadline(time.Unix(1, 0))
}

// isOver says whether it has.
func (c *conn) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over
}

// arm gives the next byte as long as is due to it.
func (c *conn) arm() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.over, c.halted:
	case c.stall > 0:
		c.timing = true
		return c.SetReadDeadline(time.Now().Add(c.stall))
	case c.timing:
		c.timing = false
		return c.SetReadDeadline(time.Time{})
	}
	return nil
}

// interruptRead ends a Read that waits, until resumeRead.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halted = true
	c.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) resumeRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.halted = false; c.over {
		return nil
	}
	return c.SetReadDeadline(time.Time{})
}

// probe asks a backend how it does: for its load where probes bring reports, else whether it is alive.
func (p *pool) probe(ctx context.Context, t *target, s *settings.Settings) result {
	path, reports := alivePath, s.Module.Reports != policy.ReportsOff
	if reports {
		path = loadPath
	}
	m := newMessage(http.MethodGet, path, t.addr, nil, nil, nil)
	m.probe = true
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := p.exchange(ctx, t, &m, time.Time{}, s.ReportFields)
	r.answer.drop(p)
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
