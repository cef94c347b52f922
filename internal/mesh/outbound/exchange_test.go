package outbound

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// startStaleGate starts a gate that repeats its last reply before the next one, long after the
// connection was found quiet, and that asks for a body twice.
func startStaleGate(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(conn *transport.Conn) {
		defer conn.Close()
		var last *transport.Reply
		if conn.Receive(new(transport.Hello)) != nil {
			return
		}
		for {
			var request transport.Request
			if conn.Receive(&request) != nil {
				return
			}
			if last != nil && conn.Send(last, []byte(last.Header[1])) != nil {
				return
			}
			if request.ExpectContinue {
				conn.Send(&transport.Reply{Number: request.Number, Continue: true}, nil)
				conn.Send(&transport.Reply{Number: request.Number, Continue: true}, nil)
			}
			if _, err := conn.ReceiveBody(request.Body, 1<<20); err != nil {
				return
			}
			last = &transport.Reply{Number: request.Number, Verdict: transport.Ran, Status: 200, Header: []string{"Try-Id", request.Try},
				Body: int64(len(request.Try)), Sum: transport.Checksum([]byte(request.Try))}
			if conn.Send(last, []byte(request.Try)) != nil {
				return
			}
		}
	}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go serve(transport.NewConn(raw))
		}
	}()
	return l.Addr().String()
}

// TestReplyOfAnotherExchange checks the rule MIXED: a reply that is repeated on a reused connection
// must not be taken for the reply to the next request, and a connection that is out of sync must
// not be reused.
func TestReplyOfAnotherExchange(t *testing.T) {
	s := newTestSender(t, startStaleGate(t))
	for _, try := range []string{"a", "b", "c", "d"} {
		for _, kind := range []string{"safe", "unsafe"} {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, newTestRequest("GET", "/"+kind+"/", kind+try, nil))
			require.False(t, w.Code == 200 && w.Body.String() != kind+try, "%s got %q", kind+try, w.Body.String())
			require.False(t, promisesNotRun(w.Code) && kind == "unsafe", "%d", w.Code)
			// The new sender has learnt nothing about the gate.
			s = New(s.settings, s.localGate, s.gateConns, s.bodyBudget, s.log).withView(s.View())
		}
	}
	_, opened := s.gateConns.Counts()
	require.Greater(t, opened, uint64(2), "connections that are out of sync are reused")
}

func (s *Sender) withView(v *View) *Sender {
	s.SetView(v)
	return s
}

// TestConnectionIsReleased: once a request has released its connection, ending the request must not
// touch the connection, which may be another request's by then.
func TestConnectionIsReleased(t *testing.T) {
	replies := map[string]*transport.Reply{
		"answered": {Verdict: transport.Ran, Status: 200},
		"refused":  {Verdict: transport.NotRun, Reason: transport.Full},
		"broken":   nil,
	}
	s := newTestSender(t, startFakeGate(t, func(request *transport.Request, _ []byte) (*transport.Reply, []byte) {
		return replies[request.Try], nil
	}))
	endpoint := transport.Endpoint{Address: s.View().Agents[0].Station.Gate, Life: 1}
	nextRequest := &pendingRequest{done: make(chan struct{}), deadline: time.Now().Add(time.Minute)}
	for try := range replies {
		for _, state := range []string{"waiting", "done", "cut", "left"} {
			p := &pendingRequest{done: make(chan struct{}), deadline: time.Now().Add(time.Minute)}
			finish := func() {
				p.finish(map[string]error{"waiting": errAnswered, "done": errAnswered, "cut": errProcessEnding, "left": errClientLeft}[state])
			}
			if state != "waiting" {
				finish()
			}
			_, _, failure := s.exchangeWithGate(p, endpoint, &transport.Request{Try: try, Left: time.Minute})
			require.Equal(t, state != "waiting" || try == "broken", failure != nil, "%s, %s", try, state)
			require.False(t, state != "waiting" && failure.Verdict != transport.NotRun, "%s, %s", try, state)
			conn, err := s.gateConns.Get(endpoint, time.Second)
			require.NoError(t, err)
			s.gateConns.Put(endpoint, conn)
			finish()
			_, _, failure = s.exchangeWithGate(nextRequest, endpoint, &transport.Request{Try: "answered", Left: time.Minute})
			require.Nil(t, failure, "%s, %s: the next request's connection", try, state)
		}
	}
}

// TestThinLinkOffers: a body that takes long on a slow link is sent only after the gate's
// agreement, so that a gate that refuses it gets none of it. On a fast link the same body is sent
// at once.
func TestThinLinkOffers(t *testing.T) {
	for _, c := range []struct {
		mbps    float64
		body    int
		offered bool
	}{{7.2, 9_001, true}, {7.2, 9_000, false}, {1, minImmediateBody, false}, {1, minImmediateBody + 1, true}, {1000, maxImmediateBody, false}, {1000, maxImmediateBody + 1, true}, {0, maxImmediateBody, false}} {
		ours, theirs := net.Pipe()
		x := &exchange{conn: transport.NewConn(ours), request: &transport.Request{Body: int64(c.body)}, body: make([]byte, c.body),
			immediateLimit: immediateBodyLimit(c.mbps), verdictOnError: transport.MayHaveRun}
		received := make(chan *transport.Request, 1)
		go func() {
			gate, request := transport.NewConn(theirs), new(transport.Request)
			if gate.Receive(request) == nil && !request.ExpectContinue {
				gate.ReceiveBody(request.Body, maxImmediateBody)
			}
			received <- request
			gate.Send(&transport.Reply{Number: request.Number, Verdict: transport.NotRun, Reason: transport.Full}, nil)
		}()
		reply, _, err := x.run()
		require.NoError(t, err)
		require.Equal(t, transport.Full, reply.Reason)
		require.Equal(t, c.offered, (<-received).ExpectContinue, "%+v", c)
		ours.Close()
	}
}
