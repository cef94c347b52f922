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
	cancelReplyTimeout = 250 * time.Millisecond // for a gate to confirm a cancellation
	// These bound the length in bytes of a body that is sent at once with its request. A longer
	// body is sent only after the gate has agreed to it, because the link would carry the body of a
	// refused request in vain. On a slow link the bound is what the link carries in
	// maxImmediateTransfer, but at least minImmediateBody: a body that is sent at once delays small
	// requests on the link, whether it is refused or not.
	maxImmediateBody     = 48 << 10
	minImmediateBody     = 4 << 10
	maxImmediateTransfer = 10 * time.Millisecond
	maxResponseBytes     = 64 << 20 // of a backend's response body
	maxStatus            = 599
)

// exchangeWithGate hands a request to the gate on another machine. Once a byte of it has been sent,
// only the gate's reply proves that it did not run. The connection is reused only after a complete
// exchange.
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
	x.close() // from here on the connection may belong to another request
	if err != nil {
		s.gateConns.Discard(conn)
		return nil, nil, x.failureFor(err)
	}
	s.releaseConn(gate, conn)
	return reply, body, nil
}

// immediateBodyLimit returns the length up to which a body is sent at once with its request, for
// machines with links of a bandwidth in Mbit/s; 0 is unknown.
func immediateBodyLimit(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxImmediateBody
	}
	return int(min(maxImmediateBody, max(minImmediateBody, linkMbps*1e6/8*maxImmediateTransfer.Seconds())))
}

// releaseConn returns a connection on which no reply is outstanding to the pool.
func (s *Sender) releaseConn(gate transport.Endpoint, conn *transport.Conn) {
	conn.SetDeadline(time.Time{})
	s.gateConns.Put(gate, conn)
}

// exchange is one request on one connection to a gate.
type exchange struct {
	conn           *transport.Conn
	request        *transport.Request
	body           []byte
	immediateLimit int               // longest body that is sent before the gate agrees to it
	verdictOnError transport.Verdict // holds if the connection breaks now

	mu          sync.Mutex
	requestSent bool // all of the request has been sent, with its body
	closed      bool // the exchange is over
}

// cancel ends the wait for a reply that is no longer needed. The gate learns of it by the end of
// the connection. If the client has left, which many may do at once, it is told by a message
// instead, and the connection is kept. Unsafe work that has been sent runs to its end and is waited
// for, because a client that has closed only its own side still reads.
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

// markRequestSent records that all of the request has been sent.
func (x *exchange) markRequestSent() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.requestSent = true
}

// close ends the exchange. Once it returns, cancel no longer touches the connection.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
}

// errProtocol is the error of a reply that the protocol doesn't allow at this point.
var errProtocol = errors.New("unexpected reply from the gate")

// run sends the request, sends its body when the gate allows it, and reads the reply.
func (x *exchange) run() (*transport.Reply, []byte, error) {
	immediateBody := x.body
	if x.request.ExpectContinue = len(x.body) > x.immediateLimit; x.request.ExpectContinue {
		immediateBody, x.verdictOnError = nil, transport.NotRun // nothing can run before its body has been sent
	}
	x.request.Number, x.request.Sum = x.conn.NextExchangeNumber(), transport.Checksum(x.body)
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
	body, err := x.conn.ReceiveVerifiedBody(reply.Body, maxResponseBytes, reply.Sum)
	return reply, body, err
}

// receiveReply reads the next reply, and checks that it belongs to this request and that the
// protocol allows it now.
func (x *exchange) receiveReply() (*transport.Reply, error) {
	reply := new(transport.Reply)
	if err := x.conn.Receive(reply); err != nil {
		return nil, err
	}
	bodyWithheld := x.verdictOnError == transport.NotRun // the body has not been sent
	ran := reply.Verdict == transport.Ran
	switch {
	case reply.Number != x.request.Number:
		return nil, oops.Code("number").Wrapf(errProtocol, "reply to exchange %d received during exchange %d", reply.Number, x.request.Number)
	case reply.Continue && !bodyWithheld:
		return nil, oops.Code("go").Wrapf(errProtocol, "the gate asked for a body that has been sent")
	case ran && (bodyWithheld || reply.Status < http.StatusOK || reply.Status > maxStatus):
		return nil, oops.Code("status").Wrapf(errProtocol, "response with status %d", reply.Status)
	}
	return reply, nil
}

// failureFor returns the failure that an error stands for, with the verdict that holds at this
// point.
func (x *exchange) failureFor(err error) *transport.Failure {
	f := &transport.Failure{Verdict: x.verdictOnError, Reason: transport.Broken, Cause: err}
	if isTimeout(err) {
		f.Reason = transport.ResponseTimeout
	}
	return f
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
