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
var errAnswerTimeout = errors.New("no answer in time")

// errTooLate says that a request is not to be sent any more: its backend is out, or the backends no longer remember what it repeats.
var errTooLateToSend = errors.New("too late to send the request")

// backends sends messages to backends over the connections of a pool, and keeps what their answers need.
type backendClient struct {
	*connpool.Pool
	streamMemory    atomic.Int64 // bytes left for streams
	writtenAttempts atomic.Int64 // attempts whose last byte went out
	lateness        *lateness    // the agent's own
	log             *slog.Logger
}

// newBackends returns those of a pool of so many connections at most, with room for so many bytes of streams.
func newBackendClient(network Network, s *settings.Settings, maxConns int, streamMemory int64, log *slog.Logger) *backendClient {
	b := &backendClient{
		Pool:     connpool.New(connpool.Options{Network: network, ConnectTimeout: s.ConnectTimeout, BackendIdleTimeout: s.Module.IdleClose, MaxConns: maxConns}),
		lateness: newLateness(s, network), log: log,
	}
	b.streamMemory.Store(streamMemory)
	return b
}

// reserve takes so many bytes of the room for streams, if they are there. Danger: as many streams as there are connections
// would not fit into the memory.
func (b *backendClient) reserveStreamMemory(n int64) bool {
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
	isProbe bool          // the agent's own
	upload  *uploadStream // what is still to come of the body; nil: nothing
}

// notPassedOn is what a message says anew each time.
var rewrittenHeaders = map[string]bool{budgetHeader: true}

func newMessage(method, uri, host string, header http.Header, body []byte, upload *uploadStream) message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
	switch {
	case upload != nil && upload.size < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case upload != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", upload.size)
	case len(body) > 0 || method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	header.WriteSubset(&head, rewrittenHeaders) // to a buffer, which takes all
	return message{head: head.Bytes(), body: body, upload: upload}
}

// size is how long the body is in bytes, or how much of it is known to come.
func (m *message) size() int {
	if m.upload != nil {
		return int(max(m.upload.size, int64(len(m.body))))
	}
	return len(m.body)
}

// encode writes the message with the time that is left for it.
func (m *message) encode(timeLeft time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(budgetHeader)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %du\r\n\r\n", budgetHeader, max(1, timeLeft.Microseconds()))
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
func (b *backendClient) exchange(ctx context.Context, target *connpool.Target, msg *message, sendBy time.Time, fields []string) result {
	r := result{load: settings.NoLoad()}
	var attempt life.Attempt
	writtenAt := b.lateness.time.now()
	resp, body, download, err := b.roundTrip(ctx, target, msg, sendBy, &attempt, &writtenAt)
	r.endedAt = b.lateness.time.now()
	r.backendTime = max(0, r.endedAt-b.lateness.own()-writtenAt)
	if err == nil {
		r.load = parseLoad(resp.Header.Get(loadHeader), fields)
		b.applyInput(&attempt, answerInput(resp))
	} else {
		b.applyError(ctx, &attempt, err)
	}
	r.outcome = attempt.State().Outcome()
	if r.outcome == policy.OK {
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body, rest: download}
	}
	return r
}

// on takes in what happens to an attempt. Danger: what does not fit would have the attempt end as something that it is not,
// so it is told; and the attempt stays as it is, which never calls unsent what may have run.
func (b *backendClient) applyInput(attempt *life.Attempt, in life.Input) {
	if err := attempt.Apply(in); err != nil {
		b.log.Error("attempt", "error", err)
	}
}

// onError takes in why an attempt's I/O has come back without an answer.
func (b *backendClient) applyError(ctx context.Context, attempt *life.Attempt, err error) {
	timedOut := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch {
	case ctx.Err() != nil && !timedOut, errors.Is(err, errUploadFailed):
		b.applyInput(attempt, life.Cancel)
		b.applyInput(attempt, life.IOReturned)
	case errors.Is(err, errTooLateToSend):
		b.applyInput(attempt, life.TooLateToSend)
	case connpool.IsSocketShortage(err) && attempt.State() == life.Connecting:
		b.applyInput(attempt, life.NoSocket)
	case timedOut, errors.Is(err, errAnswerTimeout):
		b.applyInput(attempt, life.Deadline)
		b.applyInput(attempt, life.IOReturned)
	case attempt.State() == life.Connecting && errors.Is(err, os.ErrDeadlineExceeded) && b.lateness.own() > 0:
		b.applyInput(attempt, life.NoSocket) // it may have come up in time while the agent was late
	case attempt.State() == life.Connecting:
		b.applyInput(attempt, life.ConnectFailed)
	default:
		b.applyInput(attempt, life.ConnectionBroken)
	}
}

// meaning reads a whole answer. What the protocol does not name may have run.
func answerInput(resp *http.Response) life.Input {
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
func (b *backendClient) roundTrip(ctx context.Context, target *connpool.Target, msg *message, sendBy time.Time, attempt *life.Attempt, writtenAt *time.Duration) (resp *http.Response, body []byte, download *downloadStream, err error) {
	b.applyInput(attempt, life.Start)
	conn, err := b.Get(ctx, target)
	if err != nil {
		return nil, nil, nil, err
	}
	b.applyInput(attempt, life.Connected)
	reusable := false
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			conn.Expire()
		} else {
			conn.Close() // which also gives the attempt up
		}
		if msg.upload != nil {
			msg.upload.interrupt()
		}
	})
	defer func() {
		switch active := stop(); {
		case active && download != nil: // its body holds the connection
		case download != nil:
			download.release(false)
			resp, download, err = nil, nil, context.Cause(ctx)
		case active && reusable:
			b.Put(conn)
		default:
			b.Discard(conn)
		}
	}()
	// Danger: backends drop a keyed repeat only for a while, and a connection that was slow to come up may outlast
	// it. What is not sent has not run.
	// Nor is anything sent to a backend that was called out meanwhile, or has gone.
	if !sendBy.IsZero() && !time.Now().Before(sendBy) || b.Retired(target) {
		reusable = true
		return nil, nil, nil, errTooLateToSend
	}
	var timeLeft time.Duration
	if msg.upload != nil {
		timeLeft = msg.upload.budget
	} else {
		deadline, _ := ctx.Deadline()
		timeLeft = time.Until(deadline)
	}
	b.applyInput(attempt, life.WriteStarted)
	if _, err := conn.Write(msg.encode(timeLeft)); err != nil {
		return nil, nil, nil, err
	}
	bodySent := true
	if msg.upload != nil {
		if bodySent, err = b.forwardBody(conn, msg.upload); err != nil {
			return nil, nil, nil, err
		}
	}
	if bodySent {
		b.applyInput(attempt, life.RequestWritten)
		if !msg.isProbe {
			b.writtenAttempts.Add(1)
		}
		*writtenAt = b.lateness.time.now()
		if msg.upload != nil {
			answerTimer := time.AfterFunc(msg.upload.onComplete(), conn.Expire)
			defer answerTimer.Stop()
		}
	}
	if resp, body, download, err = b.readAnswer(conn, attempt); err != nil {
		if msg.upload != nil && errors.Is(err, os.ErrDeadlineExceeded) && conn.IsExpired() {
			err = errAnswerTimeout
		}
		return nil, nil, nil, err
	}
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	reusable = bodySent && !resp.Close && conn.Reader.Buffered() == 0
	return resp, body, download, nil
}

// passOn passes the rest of a request's body on, until the backend answers: one that does so before the last byte has no
// use for what is left. It says whether that was all of it.
func (b *backendClient) forwardBody(conn *connpool.Conn, upload *uploadStream) (bodySent bool, err error) {
	conn.LimitRead(maxHeaderBytes + maxBufferedBody)
	conn.StallTimeout = 0
	var peekErr error
	peekDone := make(chan struct{})
	go func() {
		defer close(peekDone)
		if _, peekErr = conn.Reader.Peek(1); !errors.Is(peekErr, os.ErrDeadlineExceeded) {
			upload.interrupt()
		}
	}()
	err = upload.forwardTo(conn)
	// Nobody else may read the connection until the watch has ended. What it has seen stays to be read.
	conn.InterruptRead()
	<-peekDone
	if resumeErr := conn.ResumeRead(); resumeErr != nil && err == nil {
		err = resumeErr
	}
	switch {
	case err == nil:
		return true, nil
	case peekErr == nil && !upload.hasFailed():
		return false, nil
	case upload.hasFailed():
		return false, errUploadFailed
	}
	return false, fmt.Errorf("passing a body on: %w", cmp.Or(peekErr, err))
}

// read reads one answer: to its end if it is short, else its head and what of it has come. One whose end only the closing of
// the connection shows is whole if that is no reset (RFC 9112, section 6.3).
func (b *backendClient) readAnswer(conn *connpool.Conn, attempt *life.Attempt) (*http.Response, []byte, *downloadStream, error) {
	conn.LimitRead(maxHeaderBytes + maxBufferedBody)
	for {
		conn.StallTimeout = 0 // however long it takes until something comes
		if _, err := conn.Reader.Peek(1); err != nil {
			return nil, nil, nil, err
		}
		if state := attempt.State(); state == life.Sent || state == life.Writing { // not behind an interim one
			b.applyInput(attempt, life.FirstAnswerByte)
		}
		// Danger: an answer that says that it is longer than it is ends on no connection that stays open.
		conn.StallTimeout = answerStallTimeout
		resp, err := http.ReadResponse(conn.Reader, nil)
		if err != nil {
			return nil, nil, nil, err
		}
		isOK := resp.StatusCode == http.StatusOK
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, nil, errors.New("an answer in another protocol")
		case resp.StatusCode/100 == 1:
			continue // the answer is still to come
		case resp.ContentLength > maxBody, resp.ContentLength > maxBufferedBody && !isOK:
			return nil, nil, nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
		}
		body, complete, err := readBody(resp)
		if err != nil {
			return nil, nil, nil, err
		}
		if complete {
			conn.StallTimeout = 0
			return resp, body, nil, conn.ArmReadDeadline()
		}
		if !isOK {
			return nil, nil, nil, fmt.Errorf("an answer of over %d bytes", len(body))
		}
		if !b.reserveStreamMemory(memoryPerStream) {
			return nil, nil, nil, errors.New("no room for an answer")
		}
		conn.LimitRead(math.MaxInt64)
		conn.StallTimeout = streamStallTimeout
		return resp, body, &downloadStream{
			backends: b, conn: conn, body: resp.Body, size: resp.ContentLength, received: int64(len(body)), reusable: !resp.Close,
		}, nil
	}
}

// readBody reads a body that is short. Of another it returns what has come, once that is much or has gone on for a while.
func readBody(resp *http.Response) (body []byte, complete bool, err error) {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Danger: one that says that it is longer than it is would be chosen for its head, and could not be sent for again.
	start := time.Now()
	for len(body) < maxBufferedBody && (len(body) == 0 || time.Since(start) < bufferingTime) {
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
func (b *backendClient) probe(ctx context.Context, target *connpool.Target, set *settings.Settings) result {
	path, reports := alivePath, set.Module.Reports != policy.ReportsOff
	if reports {
		path = loadPath
	}
	msg := newMessage(http.MethodGet, path, target.Addr, nil, nil, nil)
	msg.isProbe = true
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := b.exchange(ctx, target, &msg, time.Time{}, set.ReportFields)
	r.answer.discard()
	if r.outcome == policy.OK && reports {
		r.load = parseLoad(string(r.answer.body), set.ReportFields)
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
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && slices.Contains(fields, name) {
			settings.AddLoad(&load, name, number)
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
