package outbound

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// stale is a gate that says its last reply once more before the next, when the connection has long
// been found quiet, and that asks for a body twice.
func stale(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	serve := func(c *transport.Conn) {
		defer c.Close()
		var last *transport.Reply
		if c.Receive(new(transport.Hello)) != nil {
			return
		}
		for {
			var a transport.Request
			if c.Receive(&a) != nil {
				return
			}
			if last != nil && c.Send(last, []byte(last.Header[1])) != nil {
				return
			}
			if a.ExpectContinue {
				c.Send(&transport.Reply{Number: a.Number, Continue: true}, nil)
				c.Send(&transport.Reply{Number: a.Number, Continue: true}, nil)
			}
			if _, err := c.ReceiveBody(a.Body, 1<<20); err != nil {
				return
			}
			last = &transport.Reply{Number: a.Number, Verdict: transport.Ran, Status: 200, Header: []string{"Try-Id", a.Try},
				Body: int64(len(a.Try)), Sum: transport.Checksum([]byte(a.Try))}
			if c.Send(last, []byte(a.Try)) != nil {
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

// TestReplyOfAnotherExchange provokes MIXED: a reply that comes once more on a kept connection is
// not that to the next request, and a connection that has gone out of step is used no more.
func TestReplyOfAnotherExchange(t *testing.T) {
	s := sender(t, stale(t))
	for _, try := range []string{"a", "b", "c", "d"} {
		for _, kind := range []string{"safe", "unsafe"} {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, request("GET", "/"+kind+"/", kind+try, nil))
			require.False(t, w.Code == 200 && w.Body.String() != kind+try, "%s got %q", kind+try, w.Body.String())
			require.False(t, promises(w.Code) && kind == "unsafe", "%d", w.Code)
			s = New(s.set, s.host, s.links, s.budget, s.log).with(s.View()) // with nothing learnt of the gate
		}
	}
	_, made := s.links.Counts()
	require.Greater(t, made, uint64(2), "connections that are out of step are used on")
}

func (s *Sender) with(v *View) *Sender {
	s.SetView(v)
	return s
}

// TestConnectionIsReleased: once a request is done with a connection, nobody can end a wait on it in
// its name, as it may be another request's by then.
func TestConnectionIsReleased(t *testing.T) {
	replies := map[string]*transport.Reply{
		"answered": {Verdict: transport.Ran, Status: 200},
		"refused":  {Verdict: transport.NotRun, Reason: transport.Full},
		"broken":   nil,
	}
	s := sender(t, gate(t, func(a *transport.Request, _ []byte) (*transport.Reply, []byte) { return replies[a.Try], nil }))
	at := transport.Endpoint{Address: s.View().Agents[0].Station.Gate, Life: 1}
	next := &job{over: make(chan struct{}), deadline: time.Now().Add(time.Minute)}
	for try := range replies {
		for _, state := range []string{"waiting", "done", "cut", "left"} {
			j := &job{over: make(chan struct{}), deadline: time.Now().Add(time.Minute)}
			end := func() {
				j.end(map[string]error{"waiting": errAnswered, "done": errAnswered, "cut": errProcessEnds, "left": errClientLeft}[state])
			}
			if state != "waiting" {
				end()
			}
			_, _, f := s.exchange(j, at, &transport.Request{Try: try, Left: time.Minute})
			require.Equal(t, state != "waiting" || try == "broken", f != nil, "%s, %s", try, state)
			require.False(t, state != "waiting" && f.Verdict != transport.NotRun, "%s, %s", try, state)
			c, err := s.links.Get(at, time.Second)
			require.NoError(t, err)
			s.links.Put(at, c)
			end()
			_, _, f = s.exchange(next, at, &transport.Request{Try: "answered", Left: time.Minute})
			require.Nil(t, f, "%s, %s: the next request's connection", try, state)
		}
	}
}

// A body that a thin link takes long for is offered first: a gate that refuses it has been sent none of
// it. On a wide link the same body goes out at once.
func TestThinLinkOffers(t *testing.T) {
	for _, c := range []struct {
		mbps    float64
		body    int
		offered bool
	}{{7.2, 9_001, true}, {7.2, 9_000, false}, {1, leastLong, false}, {1, leastLong + 1, true}, {1000, longBody, false}, {1000, longBody + 1, true}, {0, longBody, false}} {
		ours, theirs := net.Pipe()
		x := &exchange{conn: transport.NewConn(ours), request: &transport.Request{Body: int64(c.body)}, body: make([]byte, c.body),
			unasked: unaskedBody(c.mbps), verdict: transport.MayHaveRun}
		refused := make(chan *transport.Request, 1)
		go func() {
			gate, a := transport.NewConn(theirs), new(transport.Request)
			if gate.Receive(a) == nil && !a.ExpectContinue {
				gate.ReceiveBody(a.Body, longBody)
			}
			refused <- a
			gate.Send(&transport.Reply{Number: a.Number, Verdict: transport.NotRun, Reason: transport.Full}, nil)
		}()
		reply, _, err := x.run()
		require.NoError(t, err)
		require.Equal(t, transport.Full, reply.Reason)
		require.Equal(t, c.offered, (<-refused).ExpectContinue, "%+v", c)
		ours.Close()
	}
}
