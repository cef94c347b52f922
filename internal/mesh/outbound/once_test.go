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

// TestOnce checks the rules TWICE and REFUSED when a client reuses an id, which a gate can't detect
// if the first request went to another gate: while the first is in flight, after it ran, and after
// it was refused with the promise that it never will run.
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
	require.Equal(t, 502, post("unsafe", "t"), "the first is in flight")
	close(release)
	require.Equal(t, 200, <-first)
	require.Equal(t, 502, post("unsafe", "t"), "the first ran")
	require.Equal(t, 503, post("unsafe", "refused"))
	require.Equal(t, 502, post("unsafe", "refused"), "the client was told that it will never run")
	require.Empty(t, started)
	require.Equal(t, []int{200, 200}, []int{post("safe", "u"), post("safe", "u")}, "a safe request may be repeated")
}

// TestClassOfAnotherConfiguration checks the rule TWICE: a request keeps its effect if the
// balancer's configuration lacks its route or has it with another target latency.
func TestClassOfAnotherConfiguration(t *testing.T) {
	classes := classesFor(nil)
	for _, targetLatency := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 20 * time.Second} {
		for kind, effect := range map[meshconfig.Kind]policy.Effect{meshconfig.Safe: policy.Pure, meshconfig.Unsafe: policy.SideEffect, meshconfig.Upload: policy.SideEffect} {
			for _, inner := range []bool{false, true} {
				r := &meshconfig.Route{Kind: kind, TargetTime: targetLatency}
				require.Equal(t, effect, classes[classIndex(classes, r, inner)].Effect, "kind %d, aim %v", kind, targetLatency)
			}
		}
	}
}

// TestNothingIsPromisedForWhatMayHaveRun checks the rules TWICE and REFUSED at the last place that
// can enforce them: whatever the balancer decides, an unsafe request that may have run is neither
// sent again nor refused.
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
