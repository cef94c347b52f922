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
	maxHeaderBytes = 32 << 10 // of a request or an answer
	probeTimeout   = 300 * time.Millisecond
)

// errAnswerTimeout is the error of a streamed request whose answer has not arrived in time.
var errAnswerTimeout = errors.New("no answer in time")

// errTooLateToSend is the error of a request that must not be sent any more: its backend was taken
// out of service, or the time in which backends deduplicate the retry is over.
var errTooLateToSend = errors.New("too late to send the request")

// backendClient sends requests to backends over pooled connections. It bounds the memory of
// streamed bodies in both directions.
type backendClient struct {
	*connpool.Pool
	streamMemory    atomic.Int64 // bytes that new streams can still reserve
	writtenAttempts atomic.Int64 // attempts whose request was written completely
	lagMonitor      *lagMonitor  // measures how late the agent itself runs
	log             *slog.Logger
}

// newBackendClient returns a client with at most maxConns connections, and streamMemory bytes for
// streamed bodies.
func newBackendClient(network Network, s *settings.Settings, maxConns int, streamMemory int64, log *slog.Logger) *backendClient {
	b := &backendClient{
		Pool:       connpool.New(connpool.Options{Network: network, ConnectTimeout: s.ConnectTimeout, BackendIdleTimeout: s.Module.IdleClose, MaxConns: maxConns}),
		lagMonitor: newLagMonitor(s, network), log: log,
	}
	b.streamMemory.Store(streamMemory)
	return b
}

// reserveStreamMemory reserves n bytes for a stream, and reports whether they were available.
// Without this bound, one stream on each connection would exceed the memory.
func (b *backendClient) reserveStreamMemory(n int64) bool {
	if b.streamMemory.Add(-n) >= 0 {
		return true
	}
	b.streamMemory.Add(n)
	return false
}

// freeStreamMemory returns n bytes reserved by reserveStreamMemory.
func (b *backendClient) freeStreamMemory(n int64) { b.streamMemory.Add(n) }

// message is a request as it is sent to a backend: a client's request, of which only the budget
// changes, or a probe.
type message struct {
	head    []byte        // the request line and the headers except the budget
	body    []byte        // as far as it is buffered
	isProbe bool          // whether the agent itself sends it
	upload  *uploadStream // the rest of the body, which is streamed; nil: body is complete
}

// rewrittenHeaders are the headers that each attempt writes with a value of its own.
var rewrittenHeaders = map[string]bool{budgetHeader: true}

// newMessage encodes the header of a request except its budget. If upload is not nil, it streams
// the rest of the request's body.
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
	header.WriteSubset(&head, rewrittenHeaders) // writing to a buffer can't fail
	return message{head: head.Bytes(), body: body, upload: upload}
}

// size returns the length of the body in bytes. If it is not known, it returns the number of bytes
// that are buffered.
func (m *message) size() int {
	if m.upload != nil {
		return int(max(m.upload.size, int64(len(m.body))))
	}
	return len(m.body)
}

// encode returns the bytes to send, with the remaining time as the budget. For a streamed body they
// end with the buffered part of it.
func (m *message) encode(timeLeft time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(budgetHeader)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %du\r\n\r\n", budgetHeader, max(1, timeLeft.Microseconds()))
	if m.upload != nil && m.upload.size < 0 {
		return fmt.Appendf(text, "%x\r\n%s\r\n", len(m.body), m.body)
	}
	return append(text, m.body...)
}

// result is the result of an attempt or a probe.
type result struct {
	outcome     policy.Outcome
	backendTime time.Duration // lower bound of the time spent at the backend
	endedAt     time.Duration // clock time of the end
	load        policy.Load
	answer      answer // set if the outcome is OK
}

// exchange sends a message once and waits for its answer until the context ends. If sendBy is set
// and has passed when a connection is available, nothing is sent. fields are the names that a load
// report may contain.
func (b *backendClient) exchange(ctx context.Context, target *connpool.Target, msg *message, sendBy time.Time, fields []string) result {
	r := result{load: settings.NoLoad()}
	var attempt life.Attempt
	writtenAt := b.lagMonitor.timeSource.now()
	resp, body, download, err := b.roundTrip(ctx, target, msg, sendBy, &attempt, &writtenAt)
	r.endedAt = b.lagMonitor.timeSource.now()
	r.backendTime = max(0, r.endedAt-b.lagMonitor.ownDelay()-writtenAt)
	if err == nil {
		r.load = parseLoad(resp.Header.Get(loadHeader), fields)
		b.applyInput(&attempt, answerInput(resp))
	} else {
		b.applyError(ctx, &attempt, err)
	}
	r.outcome = attempt.State().Outcome()
	if r.outcome == policy.OK {
		r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body, bodyStream: download}
	}
	return r
}

// applyInput applies an input to the life cycle of an attempt. An input that is invalid in the
// attempt's state is logged and otherwise ignored: applying it could give the attempt a wrong
// outcome, while its unchanged state never declares a request unsent that may have run.
func (b *backendClient) applyInput(attempt *life.Attempt, in life.Input) {
	if err := attempt.Apply(in); err != nil {
		b.log.Error("attempt", "error", err)
	}
}

// applyError applies the error of an attempt that got no answer to its life cycle.
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
	case attempt.State() == life.Connecting && errors.Is(err, os.ErrDeadlineExceeded) && b.lagMonitor.ownDelay() > 0:
		b.applyInput(attempt, life.NoSocket) // it may have connected in time while the agent was late
	case attempt.State() == life.Connecting:
		b.applyInput(attempt, life.ConnectFailed)
	default:
		b.applyInput(attempt, life.ConnectionBroken)
	}
}

// answerInput classifies a complete answer by its status. A request may have run after any status
// that the protocol does not define as a rejection.
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

// roundTrip sends a message over one connection and reads the answer. If the answer is too long to
// be buffered, body is its first part and download streams the rest. Progress is recorded in
// attempt, and the time of the request's last byte, if it was written, in writtenAt.
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
			conn.Close() // makes the pending I/O fail
		}
		if msg.upload != nil {
			msg.upload.interrupt()
		}
	})
	defer func() {
		switch active := stop(); {
		case active && download != nil: // the download owns the connection
		case download != nil:
			download.release(false)
			resp, download, err = nil, nil, context.Cause(ctx)
		case active && reusable:
			b.Put(conn)
		default:
			b.Discard(conn)
		}
	}()
	// Backends deduplicate a keyed retry only for a limited time, which may be over when a slow
	// connection is established. A request that is not sent has certainly not run. A backend that
	// was taken out of service in the meantime, or has left the list, gets no request either.
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
		*writtenAt = b.lagMonitor.timeSource.now()
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
	// Bytes after an answer, such as a duplicate of it, would be read as the answer to the next
	// request, so a connection that has any is not reused.
	reusable = bodySent && !resp.Close && conn.Reader.Buffered() == 0
	return resp, body, download, nil
}

// forwardBody forwards the rest of a request's body until it ends or the backend begins to answer:
// a backend that answers before the last byte does not need the rest. It reports whether the whole
// body was sent.
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
	// The connection must not be read elsewhere before Peek has returned. The byte that Peek has
	// seen stays in the buffer.
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
	return false, fmt.Errorf("forwarding the request body: %w", cmp.Or(peekErr, err))
}

// readAnswer reads one answer. It reads a short answer completely. Of a long one it reads the
// header and the first part of the body, and returns a download for the rest. An answer that is
// delimited by the end of the connection is complete unless the connection was reset (RFC 9112,
// section 6.3).
func (b *backendClient) readAnswer(conn *connpool.Conn, attempt *life.Attempt) (*http.Response, []byte, *downloadStream, error) {
	conn.LimitRead(maxHeaderBytes + maxBufferedBody)
	for {
		conn.StallTimeout = 0 // no limit until the answer begins
		if _, err := conn.Reader.Peek(1); err != nil {
			return nil, nil, nil, err
		}
		if state := attempt.State(); state == life.Sent || state == life.Writing { // not after an interim answer
			b.applyInput(attempt, life.FirstAnswerByte)
		}
		// An answer that is shorter than its Content-Length never ends if the connection stays
		// open, so each read has a timeout.
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
			continue // skips an interim answer
		case resp.ContentLength > maxBody, resp.ContentLength > maxBufferedBody && !isOK:
			return nil, nil, nil, fmt.Errorf("an answer of %d bytes is too long", resp.ContentLength)
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
			return nil, nil, nil, fmt.Errorf("an answer of over %d bytes that is not a success", len(body))
		}
		if !b.reserveStreamMemory(memoryPerStream) {
			return nil, nil, nil, errors.New("no memory left to stream the answer")
		}
		conn.LimitRead(math.MaxInt64)
		conn.StallTimeout = streamStallTimeout
		return resp, body, &downloadStream{
			backends: b, conn: conn, body: resp.Body, size: resp.ContentLength, received: int64(len(body)), reusable: !resp.Close,
		}, nil
	}
}

// readBody reads a body completely if its length is known and at most maxBufferedBody. Of any other
// body it reads up to maxBufferedBody bytes, or what arrives within about bufferingTime, and
// reports whether that is the complete body.
func readBody(resp *http.Response) (body []byte, complete bool, err error) {
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	}
	// Once the header is passed on, the request can't be retried. Buffering the beginning of the
	// body detects many broken answers while a retry is still possible.
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

// probe requests the load report of a backend if the settings enable reports, else its liveness.
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

// parseLoad parses a load report such as inflight=7,queue=2. Names that are not in fields and
// values that are not numbers are ignored, so an invalid report counts as no report.
func parseLoad(text string, fields []string) policy.Load {
	load := settings.NoLoad()
	if text == "" {
		return load // most answers have no report
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

// serverIDs maps names of backends to IDs. The IDs are hashes of the names, so that they stay the
// same when the agent restarts, except after hash collisions.
type serverIDs struct {
	ids   map[string]policy.ServerID
	names map[policy.ServerID]string
}

// idFor returns the ID of a name, and assigns one if the name is new. If two names have the same
// hash, the later one gets the next free ID.
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

// release forgets the ID of a backend that has left the list.
func (s *serverIDs) release(id policy.ServerID) {
	delete(s.ids, s.names[id])
	delete(s.names, id)
}
