package agent

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/connpool"
	"example.org/micaline/internal/life"
	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

const (
	maxHeaderBytes = 32 << 10
	probeTimeout   = 300 * time.Millisecond
)

// errOverdue says that a stream's answer did not come in time.
var errOverdue = errors.New("no answer in time")

// errTooLate says that a request is not to be sent any more: its backend is out, or the backends no longer remember what it repeats.
var errTooLate = errors.New("too late to send the request")

// backends sends messages to backends over the connections of a pool, and keeps what their answers need.
type backendClient struct {
	*connpool.Pool
	streamMemory atomic.Int64 // bytes left for streams
	written      atomic.Int64 // attempts whose last byte went out
	lagMonitor   *lagMonitor  // the agent's own
	log          *slog.Logger
}

// newBackends returns those of a pool of so many connections at most, with room for so many bytes of streams.
func newBackendClient(net Network, s *settings.Settings, most int, room int64, log *slog.Logger) *backendClient {
	b := &backendClient{
		Pool:       connpool.New(connpool.Options{Network: net, ConnectTimeout: s.ConnectTimeout, BackendIdleTimeout: s.Module.IdleClose, MaxConns: most}),
		lagMonitor: newLagMonitor(s, net), log: log,
	}
	b.streamMemory.Store(room)
	return b
}

// reserve takes so many bytes of the room for streams, if they are there. Danger: as many streams as there are connections
// would not fit into the memory.
func (b *backendClient) reserve(n int64) bool {
	if b.streamMemory.Add(-n) >= 0 {
		return true
	}
	b.streamMemory.Add(n)
	return false
}

// free gives them back.
func (b *backendClient) freeStreamMemory(n int64) { b.streamMemory.Add(n) }

// message is a client's request as it goes on to a backend, unchanged but for its budget.
type message struct {
	head    []byte // the request line and the headers but for the budget
	body    []byte
	isProbe bool    // the agent's own
	upload  *upload // what is still to come of the body; nil: nothing
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
	return message{head: head.Bytes(), body: body, upload: rest}
}

// size is how long the body is in bytes, or how much of it is known to come.
func (m *message) size() int {
	if m.upload != nil {
		return int(max(m.upload.size, int64(len(m.body))))
	}
	return len(m.body)
}

// encode writes the message with the time that is left for it.
func (m *message) encode(left time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(budgetHeader)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %du\r\n\r\n", budgetHeader, max(1, left.Microseconds()))
	if m.upload != nil && m.upload.size < 0 {
		return fmt.Appendf(text, "%x\r\n%s\r\n", len(m.body), m.body)
	}
	return append(text, m.body...)
}

// result is how an attempt or a probe ended.
type result struct {
	outcome     policy.Outcome
	backendTime time.Duration // at the backend, at least
	endedAt     time.Duration // of the clock, when it ended
	load        policy.Load
	answer      answer // a whole one, if the outcome is OK
}

// exchange sends a message once and waits for its answer until the context ends. If sendBy is set and has passed
// when a connection is up, nothing is sent.
func (b *backendClient) exchange(ctx context.Context, t *connpool.Target, m *message, sendBy time.Time, fields []string) result {
	r := result{load: settings.NoLoad()}
	var a life.Attempt
	wrote := b.lagMonitor.timeSource.now()
	resp, body, rest, err := b.roundTrip(ctx, t, m, sendBy, &a, &wrote)
	r.endedAt = b.lagMonitor.timeSource.now()
	r.backendTime = max(0, r.endedAt-b.lagMonitor.ownDelay()-wrote)
	if err == nil {
		r.load = parseLoad(resp.Header.Get(loadHeader), fields)
		b.applyInput(&a, meaning(resp))
	} else {
		b.onError(ctx, &a, err)
	}
	r.outcome = a.State().Outcome()
	if r.outcome == policy.OK {
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body, bodyStream: rest}
	}
	return r
}

// on takes in what happens to an attempt. Danger: what does not fit would have the attempt end as something that it is not,
// so it is told; and the attempt stays as it is, which never calls unsent what may have run.
func (b *backendClient) applyInput(a *life.Attempt, i life.Input) {
	if err := a.Apply(i); err != nil {
		b.log.Error("attempt", "error", err)
	}
}

// onError takes in why an attempt's I/O has come back without an answer.
func (b *backendClient) onError(ctx context.Context, a *life.Attempt, err error) {
	overdue := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case ctx.Err() != nil && !overdue, errors.Is(err, errClient):
		b.applyInput(a, life.Cancel)
		b.applyInput(a, life.IOReturned)
	case errors.Is(err, errTooLate):
		b.applyInput(a, life.TooLateToSend)
	case connpool.IsSocketShortage(err) && a.State() == life.Connecting:
		b.applyInput(a, life.NoSocket)
	case overdue, errors.Is(err, errOverdue):
		b.applyInput(a, life.Deadline)
		b.applyInput(a, life.IOReturned)
	case a.State() == life.Connecting && errors.Is(err, os.ErrDeadlineExceeded) && b.lagMonitor.ownDelay() > 0:
		b.applyInput(a, life.NoSocket) // it may have come up in time while the agent was late
	case a.State() == life.Connecting:
		b.applyInput(a, life.ConnectFailed)
	default:
		b.applyInput(a, life.ConnectionBroken)
	}
}

// meaning reads a whole answer. What the protocol does not name may have run.
func meaning(resp *http.Response) life.Input {
	switch resp.StatusCode {
	case http.StatusOK:
		return life.GoodAnswer
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(rejectedHeader) == "1" {
			return life.RejectedAnswer
		}
	}
	return life.ErrorAnswer
}

// roundTrip returns an answer, the rest of its body if that is too long to be read here, or an error. How far it has come before that the attempt tells, and wrote when its last
// byte went out, if it did.
func (b *backendClient) roundTrip(ctx context.Context, t *connpool.Target, m *message, sendBy time.Time, a *life.Attempt, wrote *time.Duration) (resp *http.Response, body []byte, rest *downloadStream, err error) {
	b.applyInput(a, life.Start)
	c, err := b.Get(ctx, t)
	if err != nil {
		return nil, nil, nil, err
	}
	b.applyInput(a, life.Connected)
	reusable := false
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.Expire()
		} else {
			c.Close() // which also gives the attempt up
		}
		if m.upload != nil {
			m.upload.interrupt()
		}
	})
	defer func() {
		switch on := stop(); {
		case on && rest != nil: // its body holds the connection
		case rest != nil:
			rest.release(false)
			resp, rest, err = nil, nil, context.Cause(ctx)
		case on && reusable:
			b.Put(c)
		default:
			b.Discard(c)
		}
	}()
	// Danger: backends drop a keyed repeat only for a while, and a connection that was slow to come up may outlast
	// it. What is not sent has not run.
	// Nor is anything sent to a backend that was called out meanwhile, or has gone.
	if !sendBy.IsZero() && !time.Now().Before(sendBy) || b.Retired(t) {
		reusable = true
		return nil, nil, nil, errTooLate
	}
	var left time.Duration
	if m.upload != nil {
		left = m.upload.budget
	} else {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
	}
	b.applyInput(a, life.WriteStarted)
	if _, err := c.Write(m.encode(left)); err != nil {
		return nil, nil, nil, err
	}
	whole := true
	if m.upload != nil {
		if whole, err = b.passOn(c, m.upload); err != nil {
			return nil, nil, nil, err
		}
	}
	if whole {
		b.applyInput(a, life.RequestWritten)
		if !m.isProbe {
			b.written.Add(1)
		}
		*wrote = b.lagMonitor.timeSource.now()
		if m.upload != nil {
			overdue := time.AfterFunc(m.upload.onComplete(), c.Expire)
			defer overdue.Stop()
		}
	}
	if resp, body, rest, err = b.readAnswer(c, a); err != nil {
		if m.upload != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.IsExpired() {
			err = errOverdue
		}
		return nil, nil, nil, err
	}
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	reusable = whole && !resp.Close && c.Reader.Buffered() == 0
	return resp, body, rest, nil
}

// passOn passes the rest of a request's body on, until the backend answers: one that does so before the last byte has no
// use for what is left. It says whether that was all of it.
func (b *backendClient) passOn(c *connpool.Conn, rest *upload) (whole bool, err error) {
	c.LimitRead(maxHeaderBytes + maxBufferedBody)
	c.StallTimeout = 0
	var early error
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		if _, early = c.Reader.Peek(1); !errors.Is(early, os.ErrDeadlineExceeded) {
			rest.interrupt()
		}
	}()
	err = rest.pump(c)
	// Nobody else may read the connection until the watch has ended. What it has seen stays to be read.
	c.InterruptRead()
	<-heard
	if e := c.ResumeRead(); e != nil && err == nil {
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
func (b *backendClient) readAnswer(c *connpool.Conn, a *life.Attempt) (*http.Response, []byte, *downloadStream, error) {
	c.LimitRead(maxHeaderBytes + maxBufferedBody)
	for {
		c.StallTimeout = 0 // however long it takes until something comes
		if _, err := c.Reader.Peek(1); err != nil {
			return nil, nil, nil, err
		}
		if s := a.State(); s == life.Sent || s == life.Writing { // not behind an interim one
			b.applyInput(a, life.FirstAnswerByte)
		}
		// Danger: an answer that says that it is longer than it is ends on no connection that stays open.
		c.StallTimeout = answerStall
		resp, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			return nil, nil, nil, err
		}
		good := resp.StatusCode == http.StatusOK
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, nil, errors.New("an answer in another protocol")
		case resp.StatusCode/100 == 1:
			continue // the answer is still to come
		case resp.ContentLength > mostBody, resp.ContentLength > maxBufferedBody && !good:
			return nil, nil, nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
		}
		body, whole, err := readBody(resp)
		if err != nil {
			return nil, nil, nil, err
		}
		if whole {
			c.StallTimeout = 0
			return resp, body, nil, c.ArmReadDeadline()
		}
		if !good {
			return nil, nil, nil, fmt.Errorf("an answer of over %d bytes", len(body))
		}
		if !b.reserve(streamRoom) {
			return nil, nil, nil, errors.New("no room for an answer")
		}
		c.LimitRead(math.MaxInt64)
		c.StallTimeout = streamStall
		return resp, body, &downloadStream{
			backends: b, conn: c, body: resp.Body, size: resp.ContentLength, received: int64(len(body)), reusable: !resp.Close,
		}, nil
	}
}

// readBody reads a body that is short. Of another it returns what has come, once that is much or has gone on for a while.
func readBody(resp *http.Response) (body []byte, whole bool, err error) {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Danger: one that says that it is longer than it is would be chosen for its head, and could not be sent for again.
	begun := time.Now()
	for len(body) < maxBufferedBody && (len(body) == 0 || time.Since(begun) < settle) {
		body = slices.Grow(body, 4<<10)
		n, err := resp.Body.Read(body[len(body):min(cap(body), maxBufferedBody)])
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

// probe asks a backend how it does: for its load where probes bring reports, else whether it is alive.
func (b *backendClient) probe(ctx context.Context, t *connpool.Target, s *settings.Settings) result {
	path, reports := alivePath, s.Module.Reports != policy.ReportsOff
	if reports {
		path = loadPath
	}
	m := newMessage(http.MethodGet, path, t.Addr, nil, nil, nil)
	m.isProbe = true
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := b.exchange(ctx, t, &m, time.Time{}, s.ReportFields)
	r.answer.discard()
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
func (s *serverIDs) idFor(name string) policy.ServerID {
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
func (s *serverIDs) release(id policy.ServerID) {
	delete(s.ids, s.names[id])
	delete(s.names, id)
}
