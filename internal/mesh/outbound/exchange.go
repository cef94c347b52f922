package outbound

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

const (
	maxConnectTime     = 250 * time.Millisecond
	cancelReplyTimeout = 250 * time.Millisecond // that a gate has to say that it has ended what was cancelled
	// longBody is the length in bytes above which a body is offered before it is sent, on any link: a
	// refusal would have carried it for nothing. On a thin link it is what passes in offerTime, as what
	// is sent unasked fills the link before small calls, whoever refuses it; but no less than leastLong.
	maxImmediateBody     = 48 << 10
	minImmediateBody     = 4 << 10
	maxImmediateTransfer = 10 * time.Millisecond
	maxResponseBytes     = 64 << 20 // bytes of a backend's answer
	maxStatus            = 599
)

// exchange hands a request to the gate on another machine. Danger: once a byte of it has gone out only the gate's word proves
// that it did not run. The connection is used again only after a whole exchange.
func (s *Sender) exchangeWithGate(p *pendingRequest, gate transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	conn, err := s.gateConns.Get(gate, min(request.Left, maxConnectTime))
	if err != nil {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	}
	x := &exchange{conn: conn, request: request, body: p.body, immediateLimit: immediateBodyLimit(s.settings.LinkMbps), verdictOnError: transport.MayHaveRun}
	conn.SetDeadline(p.deadline)
	if !p.addWaiter(x) {
		s.releaseConn(gate, conn)
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cancelled}
	}
	reply, body, err := x.run()
	p.removeWaiter(x)
	x.close() // from here on the connection may be another request's
	if err != nil {
		s.gateConns.Discard(conn)
		return nil, nil, x.failureFor(err)
	}
	s.releaseConn(gate, conn)
	return reply, body, nil
}

// unaskedBody is the length up to which a body is sent without an offer, where machines have links of a
// width in Mbit/s; 0 is unknown.
func immediateBodyLimit(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxImmediateBody
	}
	return int(min(maxImmediateBody, max(minImmediateBody, linkMbps*1e6/8*maxImmediateTransfer.Seconds())))
}

// giveBack gives a connection on which nothing is due to the next request.
func (s *Sender) releaseConn(gate transport.Endpoint, conn *transport.Conn) {
	conn.SetDeadline(time.Time{})
	s.gateConns.Put(gate, conn)
}

// exchange is one request on one connection to a gate.
type exchange struct {
	conn           *transport.Conn
	request        *transport.Request
	body           []byte
	immediateLimit int               // bytes of a body that go out without an offer
	verdictOnError transport.Verdict // that holds if the connection breaks now

	mu          sync.Mutex
	requestSent bool // all of the request has gone out
	closed      bool // the exchange is over
}

// withdraw ends the wait for a reply that is for nobody. To a gate the end of the connection says so;
// where a client has left, which many may do at once, a message does, and the connection goes on.
// What may not run twice and is under way runs to its end, and is waited for, as a client that has
// closed only its own side still reads.
func (x *exchange) cancel(clientLeft bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return
	case !x.requestSent || !clientLeft:
		x.conn.SetDeadline(time.Unix(1, 0))
		return
	}
	replyBy := time.Now().Add(cancelReplyTimeout)
	x.conn.SetWriteDeadline(replyBy)
	if x.conn.Send(&transport.Request{Number: x.request.Number, Cancel: true}, nil) != nil || !x.request.Unsafe {
		x.conn.SetReadDeadline(replyBy)
	}
}

// wentOut notes that all of the request has gone out.
func (x *exchange) markRequestSent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requestSent = true
}

// close ends the exchange: once it returns nothing is said or set for it any more.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
}

// errProtocol says that a gate said what it may not say here.
var errProtocol = errors.New("not the reply that is due")

// run sends the request, and its body when it may go, and reads the reply.
func (x *exchange) run() (*transport.Reply, []byte, error) {
	immediateBody := x.body
	if x.request.ExpectContinue = len(x.body) > x.immediateLimit; x.request.ExpectContinue {
		immediateBody, x.verdictOnError = nil, transport.NotRun // nothing can run before its body has gone out
	}
	x.request.Number, x.request.Sum = x.conn.NextNumber(), transport.Sum(x.body)
	if err := x.conn.Send(x.request, immediateBody); err != nil {
		return nil, nil, err
	}
	if !x.request.ExpectContinue {
		x.markRequestSent()
	}
	reply, err := x.receiveReply()
	if err == nil && reply.Continue {
		x.verdictOnError = transport.MayHaveRun
		if err = x.conn.SendRaw(x.body); err == nil {
			x.markRequestSent()
			reply, err = x.receiveReply()
		}
	}
	if err != nil {
		return nil, nil, err
	}
	body, err := x.conn.SummedBody(reply.Body, maxResponseBytes, reply.Sum)
	return reply, body, err
}

// receive reads the next reply, and checks that it is one to this request and to this part of it.
func (x *exchange) receiveReply() (*transport.Reply, error) {
	reply := new(transport.Reply)
	if err := x.conn.Receive(reply); err != nil {
		return nil, err
	}
	bodyWithheld := x.verdictOnError == transport.NotRun // the body has not gone out
	ran := reply.Verdict == transport.Ran
	switch {
	case reply.Number != x.request.Number:
		return nil, oops.Code("number").Wrapf(errProtocol, "a reply to exchange %d at exchange %d", reply.Number, x.request.Number)
	case reply.Continue && !bodyWithheld:
		return nil, oops.Code("go").Wrapf(errProtocol, "a body is wanted that has gone out")
	case ran && (bodyWithheld || reply.Status < http.StatusOK || reply.Status > maxStatus):
		return nil, oops.Code("status").Wrapf(errProtocol, "an answer with status %d", reply.Status)
	}
	return reply, nil
}

// failure is what an error proves.
func (x *exchange) failureFor(err error) *transport.Failure {
	f := &transport.Failure{Verdict: x.verdictOnError, Reason: transport.Broken, Cause: err}
	if isTimeout(err) {
		f.Reason = transport.Silent
	}
	return f
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
