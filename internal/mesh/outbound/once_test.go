package outbound

import (
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"example.org/micaline/policy"
	"github.com/stretchr/testify/require"
)

// TestOnce provokes TWICE and REFUSED by a client that uses an id again, which no gate can know if
// the first went to another one: while the first is under way, after it ran, and after it was
// refused with the promise that it never will.
func TestOnce(t *testing.T) {
	started, release := make(chan string, 8), make(chan bool)
	respond := func(request *transport.Request, _ []byte) (*transport.Reply, []byte) {
		if request.Try == "refused" {
			return &transport.Reply{Verdict: transport.NotRun, Reason: transport.Full}, nil
		}
		started <- request.Try
		<-release
		return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil
	}
	s := newTestSender(t, startFakeGate(t, respond), startFakeGate(t, respond))
	post := func(kind, try string) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newTestRequest("POST", "/"+kind+"/", try, nil))
		return w.Code
	}
	first := make(chan int)
	go func() { first <- post("unsafe", "t") }()
	require.Equal(t, "t", <-started)
	require.Equal(t, 502, post("unsafe", "t"), "the first is under way")
	close(release)
	require.Equal(t, 200, <-first)
	require.Equal(t, 502, post("unsafe", "t"), "the first ran")
	require.Equal(t, 503, post("unsafe", "refused"))
	require.Equal(t, 502, post("unsafe", "refused"), "it was promised never to run")
	require.Empty(t, started)
	require.Equal(t, []int{200, 200}, []int{post("safe", "u"), post("safe", "u")}, "what is safe may come again")
}

// TestClassOfAnotherConfiguration provokes TWICE: a request of a route that the module's
// configuration does not have, or has with another aim, keeps its effect.
func TestClassOfAnotherConfiguration(t *testing.T) {
	classes := classesFor(nil)
	for _, aim := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 20 * time.Second} {
		for kind, effect := range map[meshconfig.Kind]policy.Effect{meshconfig.Safe: policy.Pure, meshconfig.Unsafe: policy.SideEffect, meshconfig.Upload: policy.SideEffect} {
			for _, inner := range []bool{false, true} {
				r := &meshconfig.Route{Kind: kind, TargetTime: aim}
				require.Equal(t, effect, classes[classIndex(classes, r, inner)].Effect, "kind %d, aim %v", kind, aim)
			}
		}
	}
}

// TestNothingIsPromisedForWhatMayHaveRun provokes TWICE and REFUSED at the last place before each:
// whatever the module orders, what may have run goes nowhere else and is refused nothing.
func TestNothingIsPromisedForWhatMayHaveRun(t *testing.T) {
	sends := 0
	s := newTestSender(t, startFakeGate(t, func(*transport.Request, []byte) (*transport.Reply, []byte) {
		sends++
		return &transport.Reply{Reason: transport.Broken}, nil
	}))
	for _, unsafe := range []bool{true, false} {
		sends = 0
		route := *s.View().Config.Route("d", "/safe/")
		route.Tries = 3
		p := &pendingRequest{done: make(chan struct{}), route: &route, request: transport.Request{Unsafe: unsafe}, deadline: time.Now().Add(time.Minute)}
		target := s.balancer("s").targets[serverIDOf("10.0.1.0")]
		for n := range 2 {
			s.runAttempt(p, policy.Action{Server: target.id}, target, n)
		}
		require.Equal(t, map[bool]int{true: 1, false: 2}[unsafe], sends)
		w := httptest.NewRecorder()
		s.respond(&responseRecorder{ResponseWriter: w}, p, requestResult{refused: true})
		require.Equal(t, unsafe, w.Code != 503, "%d", w.Code)
	}
}
