package outbound

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// TestTraces: a success at the first attempt leaves no record; any other request leaves one that
// lists each attempt.
func TestTraces(t *testing.T) {
	var replies []transport.Reply
	newGate := func() string {
		return startFakeGate(t, func(*transport.Request, []byte) (*transport.Reply, []byte) {
			reply := replies[0]
			replies = replies[1:]
			return &reply, nil
		})
	}
	s := newTestSender(t, newGate(), newGate())
	full := transport.Reply{Verdict: transport.NotRun, Reason: transport.Full, After: 70 * time.Millisecond, Load: transport.Load{InFlight: 9, Waiting: 5}}
	ran := transport.Reply{Verdict: transport.Ran, Status: 200, Waited: 3 * time.Millisecond}
	failed := transport.Reply{Verdict: transport.Ran, Status: 500, Inner: true}
	for _, c := range []struct {
		path     string
		replies  []transport.Reply
		status   int
		result   string
		attempts []transport.Attempt
	}{
		{"/safe/", []transport.Reply{ran}, 200, "", nil},
		{"/unsafe/", []transport.Reply{full, ran}, 200, "served", []transport.Attempt{{Verdict: transport.NotRun, Reason: transport.Full, After: full.After,
			InFlight: 9, Waiting: 5}, {N: 1, Verdict: transport.Ran, Status: 200, AtGate: ran.Waited}}},
		{"/safe/", []transport.Reply{failed}, 500, "backend_failed", []transport.Attempt{{Verdict: transport.Ran, Status: 500, Inner: true}}},
		{"/unsafe/", []transport.Reply{{Reason: transport.Broken}}, 502, "failed", []transport.Attempt{{Reason: transport.Broken}}},
		{"/none/", nil, 404, "no_route", nil},
	} {
		replies = c.replies
		r, w := newTestRequest("GET", c.path, c.path+c.result, nil), httptest.NewRecorder()
		s.ServeHTTP(w, r)
		require.Equal(t, c.status, w.Code)
		traces := s.Traces.Ask(time.Now(), &transport.TraceQuery{Try: c.path + c.result, Most: 9})
		if c.result == "" {
			require.Empty(t, traces)
			continue
		}
		require.Len(t, traces, 1)
		trace := traces[0]
		require.Equal(t, []any{c.result, c.status, len(c.attempts)}, []any{trace.Result, trace.Status, trace.Started})
		for i, got := range trace.Steps {
			require.NotEmpty(t, got.Backend)
			require.Less(t, got.Begun+got.Took, trace.Took)
			got.Backend, got.Agent, got.Begun, got.Took = "", "", 0, 0
			require.Equal(t, c.attempts[i], got)
		}
	}
	require.EqualValues(t, 1, s.Traces.Plains())
}

// benchmarkSink keeps the recorder on the heap.
var benchmarkSink http.ResponseWriter

// BenchmarkNote measures what records cost a request. Nearly all requests are of the plain kind.
func BenchmarkNote(b *testing.B) {
	s := New(&bootstrap.Settings{}, inbound.NewHost(inbound.Rules{}, 1, transport.NewByteBudget(1), func() {}), nil, nil, &log.Logger{Handler: discard.New()})
	r := newTestRequest("GET", "/safe/", "9c41d07be2a35f68", nil)
	response := httptest.NewRecorder()
	for name, attempts := range map[string]int{"plain": 0, "two-attempts": 2} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			p := &pendingRequest{attemptsStarted: max(1, attempts)}
			attempt := &backendAttempt{reply: &transport.Reply{}, target: &backendTarget{backendID: "b", agent: "10.0.0.1"}, startedAt: time.Now()}
			for b.Loop() {
				w := &responseRecorder{ResponseWriter: response, startedAt: time.Now(), pending: p}
				for range attempts {
					p.appendTrace(attempt)
				}
				benchmarkSink = w // as in a real request, it must not stay on the handler's stack
				w.WriteHeader(http.StatusOK)
				s.recordTrace(w, r)
				p.attemptTraces = p.attemptTraces[:0]
			}
		})
	}
}
