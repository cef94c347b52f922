package outbound

import (
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

const (
	connectTime = 250 * time.Millisecond
	longBody    = 48 << 10 // bytes from which a body is offered before it is sent: a refusal would have carried it for nothing
	mostAnswer  = 64 << 20 // bytes of a backend's answer
	mostStatus  = 599
)

// exchange hands a request to the gate on another machine. Danger: once a byte of it has gone out only the gate's word proves
// that it did not run. The connection is used again only after a whole exchange.
func (s *Sender) exchange(j *job, gate transport.Endpoint, ask *transport.Request, inline bool) (*transport.Reply, []byte, *transport.Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), min(ask.Left, connectTime))
	c, err := s.links.Get(ctx, gate)
	cancel()
	if err != nil {
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Unreachable, Cause: err}
	}
	c.SetDeadline(j.deadline)
	if inline && !j.hold(c) || j.isDone() || j.isExpired() {
		j.giveBack(s.links, gate, c, inline)
		return nil, nil, &transport.Failure{Verdict: transport.NotRun, Reason: transport.Own}
	}
	x := exchange{conn: c, request: ask, body: j.body, verdict: transport.MayHaveRun}
	reply, text, err := x.run()
	if err != nil {
		if inline {
			j.release()
		}
		s.links.Discard(c)
		return nil, nil, x.failure(err)
	}
	j.giveBack(s.links, gate, c, inline)
	return reply, text, nil
}

// giveBack gives a connection on which nothing is due to the next request.
func (j *job) giveBack(links *transport.Pool, gate transport.Endpoint, c *transport.Conn, inline bool) {
	if inline {
		j.release() // first: until then its deadline may be moved
	}
	c.SetDeadline(time.Time{})
	links.Put(gate, c)
}

// exchange is one request on one connection to a gate.
type exchange struct {
	conn    *transport.Conn
	request *transport.Request
	body    []byte
	verdict transport.Verdict // that holds if the connection breaks now
}

// errProtocol says that a gate said what it may not say here.
var errProtocol = errors.New("not the reply that is due")

// run sends the request, and its body when it may go, and reads the reply.
func (x *exchange) run() (*transport.Reply, []byte, error) {
	first := x.body
	if x.request.ExpectContinue = len(x.body) > longBody; x.request.ExpectContinue {
		first, x.verdict = nil, transport.NotRun // nothing can run before its body has gone out
	}
	x.request.Number, x.request.Sum = x.conn.NextNumber(), transport.Sum(x.body)
	if err := x.conn.Send(x.request, first); err != nil {
		return nil, nil, err
	}
	reply, err := x.receive()
	if err == nil && reply.Continue {
		x.verdict = transport.MayHaveRun
		if err = x.conn.SendRaw(x.body); err == nil {
			reply, err = x.receive()
		}
	}
	if err != nil {
		return nil, nil, err
	}
	text, err := x.conn.SummedBody(reply.Body, mostAnswer, reply.Sum)
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
		f.Reason = transport.Silent
	}
	return f
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
