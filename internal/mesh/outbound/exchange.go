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
	connectTime = 250 * time.Millisecond
	cancelTime  = 250 * time.Millisecond // that a gate has to say that it has ended what was cancelled
	// longBody is the length in bytes above which a body is offered before it is sent, on any link: a
	// refusal would have carried it for nothing. On a thin link it is what passes in offerTime, as what
	// is sent unasked fills the link before small calls, whoever refuses it; but no less than leastLong.
	longBody   = 48 << 10
	leastLong  = 4 << 10
	offerTime  = 10 * time.Millisecond
	mostAnswer = 64 << 20 // bytes of a backend's answer
	mostStatus = 599
)

// exchange hands a request to the gate on another machine. Danger: once a byte of it has gone out only the gate's word proves
// that it did not run. The connection is used again only after a whole exchange.
func (s *Sender) exchange(j *job, gate transport.Endpoint, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
	c, err := s.links.Get(gate, min(ask.Left, connectTime))
	if err != nil {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	}
	x := &exchange{conn: c, request: ask, body: j.body, unasked: unaskedBody(s.set.LinkMbps), verdict: transport.MayHaveRun}
	c.SetDeadline(j.deadline)
	if !j.enter(x) {
		s.giveBack(gate, c)
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cancelled}
	}
	reply, text, err := x.run()
	j.leave(x)
	x.close() // from here on the connection may be another request's
	if err != nil {
		s.links.Discard(c)
		return nil, nil, x.failure(err)
	}
	s.giveBack(gate, c)
	return reply, text, nil
}

// unaskedBody is the length up to which a body is sent without an offer, where machines have links of a
// width in Mbit/s; 0 is unknown.
func unaskedBody(linkMbps float64) int {
	if linkMbps <= 0 {
		return longBody
	}
	return int(min(longBody, max(leastLong, linkMbps*1e6/8*offerTime.Seconds())))
}

// giveBack gives a connection on which nothing is due to the next request.
func (s *Sender) giveBack(gate transport.Endpoint, c *transport.Conn) {
	c.SetDeadline(time.Time{})
	s.links.Put(gate, c)
}

// exchange is one request on one connection to a gate.
type exchange struct {
	conn    *transport.Conn
	request *transport.Request
	body    []byte
	unasked int               // bytes of a body that go out without an offer
	verdict transport.Verdict // that holds if the connection breaks now

	mu     sync.Mutex
	sent   bool // all of the request has gone out
	closed bool // the exchange is over
}

// withdraw ends the wait for a reply that is for nobody. To a gate the end of the connection says so;
// where a client has left, which many may do at once, a message does, and the connection goes on.
// What may not run twice and is under way runs to its end, and is waited for, as a client that has
// closed only its own side still reads.
func (x *exchange) withdraw(clientLeft bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return
	case !x.sent || !clientLeft:
		x.conn.SetDeadline(time.Unix(1, 0))
		return
	}
	within := time.Now().Add(cancelTime)
	x.conn.SetWriteDeadline(within)
	if x.conn.Send(&transport.Request{Number: x.request.Number, Cancel: true}, nil) != nil || !x.request.Unsafe {
		x.conn.SetReadDeadline(within)
	}
}

// wentOut notes that all of the request has gone out.
func (x *exchange) wentOut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = true
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
	first := x.body
	if x.request.ExpectContinue = len(x.body) > x.unasked; x.request.ExpectContinue {
		first, x.verdict = nil, transport.NotRun // nothing can run before its body has gone out
	}
	x.request.Number, x.request.Sum = x.conn.NextExchangeNumber(), transport.Checksum(x.body)
	if err := x.conn.Send(x.request, first); err != nil {
		return nil, nil, err
	}
	if !x.request.ExpectContinue {
		x.wentOut()
	}
	reply, err := x.receive()
	if err == nil && reply.Continue {
		x.verdict = transport.MayHaveRun
		if err = x.conn.SendRaw(x.body); err == nil {
			x.wentOut()
			reply, err = x.receive()
		}
	}
	if err != nil {
		return nil, nil, err
	}
	text, err := x.conn.ReceiveVerifiedBody(reply.Body, mostAnswer, reply.Sum)
	return reply, text, err
}

// receive reads the next reply, and checks that it is one to this request and to this part of it.
func (x *exchange) receive() (*transport.Reply, error) {
	reply := new(transport.Reply)
	if err := x.conn.Receive(reply); err != nil {
		return nil, err
	}
	offered := x.verdict == transport.NotRun // the body has not gone out
	ran := reply.Verdict == transport.Ran
	switch {
	case reply.Number != x.request.Number:
		return nil, oops.Code("number").Wrapf(errProtocol, "a reply to exchange %d at exchange %d", reply.Number, x.request.Number)
	case reply.Continue && !offered:
		return nil, oops.Code("go").Wrapf(errProtocol, "a body is wanted that has gone out")
	case ran && (offered || reply.Status < http.StatusOK || reply.Status > mostStatus):
		return nil, oops.Code("status").Wrapf(errProtocol, "an answer with status %d", reply.Status)
	}
	return reply, nil
}

// failure is what an error proves.
func (x *exchange) failure(err error) *transport.Failure {
	f := &transport.Failure{Verdict: x.verdict, Reason: transport.Broken, Cause: err}
	if isTimeout(err) {
		f.Reason = transport.ResponseTimeout
	}
	return f
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
