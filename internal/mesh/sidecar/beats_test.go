package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// testBackend is a backend that answers health probes, together with the agent process beside it,
// which may be restarted.
type testBackend struct {
	t       *testing.T
	server  *httptest.Server
	healthy atomic.Bool
	agent   *Agent
}

const testBackendID = "b1"

var testHealthPath = "/health"

func newTestBackend(t *testing.T) *testBackend {
	backend := &testBackend{t: t}
	backend.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(inbound.ServerIDHeader, testBackendID)
		if !backend.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(backend.server.Close)
	backend.restartAgent()
	return backend
}

// restartAgent replaces the agent by a new process that has a current configuration.
func (backend *testBackend) restartAgent() {
	set := &bootstrap.Settings{SparePorts: [2]int{7600, 7615}, BeatEvery: time.Second, Service: "s", AppAddress: backend.server.Listener.Addr().String()}
	backend.agent = New("", set, &log.Logger{Handler: discard.New()})
	backend.agent.configReady = true
	backend.agent.healthPath.Store(&testHealthPath)
	backend.agent.publishView()
}

// sendCall sends a heartbeat or a deregistration of the backend, which must be acknowledged. The
// format is "put NUMBER STATE", such as "put 5 ready", or "delete".
func (backend *testBackend) sendCall(call string) {
	var count, state string
	method, body := http.MethodDelete, ""
	if n, _ := fmt.Sscanf(call, "put %s %s", &count, &state); n == 2 {
		method = http.MethodPut
		body = fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":4,"state":%q,"warmup_left":"0ms","call_count":%s}`,
			backend.server.Listener.Addr(), state, count)
	}
	w := httptest.NewRecorder()
	backend.agent.controlHandler().ServeHTTP(w, httptest.NewRequest(method, "/api/servers/"+testBackendID, strings.NewReader(body)))
	require.Equal(backend.t, http.StatusOK, w.Code, call)
}

// admitsRequests reports whether a request would reach the backend.
func (backend *testBackend) admitsRequests() bool {
	request := &transport.Request{Try: "t", Target: testBackendID, Life: backend.agent.life, Patient: time.Second}
	admitted := false
	backend.agent.host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
		ticket, failure := g.Admit(now, request)
		if admitted = ticket == nil && failure == nil; admitted {
			g.Cancel(now, request, false)
		}
		return false
	})
	return admitted
}

// TestLateCallsReviveNothing checks that a delayed heartbeat does not reactivate a backend instance
// that has drained or deregistered since. Such a backend would get requests, which violates the rule
// DRAIN of package meshtest.
func TestLateCallsReviveNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []string
	}{
		{"behind its sign-off", []string{"put 5 ready", "delete", "put 6 ready"}},
		{"behind its sign-off, counted as nothing", []string{"put 5 ready", "delete", "put 0 ready"}},
		{"behind its sign-off, the same once more", []string{"put 5 ready", "delete", "put 5 ready", "put 6 ready"}},
		{"behind its sign-off, where it was not heard before", []string{"delete", "put 6 ready"}},
		{"behind its drain", []string{"put 5 ready", "put 7 draining", "put 6 ready"}},
		{"behind its drain and its sign-off", []string{"put 5 ready", "put 7 draining", "delete", "put 6 ready", "put 8 ready"}},
		{"behind its drain, at the next process", []string{"put 5 ready", "put 7 draining", "restart", "put 6 ready"}},
		{"behind its sign-off, at the next process", []string{"put 5 ready", "delete", "restart", "put 6 ready"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newTestBackend(t)
			for _, call := range c.calls {
				if call == "restart" {
					backend.restartAgent()
				} else {
					backend.sendCall(call)
				}
			}
			require.False(t, backend.admitsRequests())
		})
	}
}

// TestNextProcessAsksBackend checks that a restarted agent admits requests once the backend answers
// a health probe, and not merely because of a heartbeat that may be outdated. A backend that fails
// its health probe stays unused as long as an outdated heartbeat may arrive.
func TestNextProcessAsksBackend(t *testing.T) {
	requireAdmitted := func(backend *testBackend) {
		require.Eventually(t, backend.admitsRequests, 5*time.Second, time.Millisecond)
	}
	backend := newTestBackend(t)
	backend.healthy.Store(true)
	backend.restartAgent()
	requireAdmitted(backend) // without a heartbeat
	backend.restartAgent()
	backend.sendCall("put 5 ready")
	requireAdmitted(backend)
	backend.sendCall("put 6 draining")
	require.False(t, backend.admitsRequests())
	backend.healthy.Store(false)
	backend.restartAgent()
	backend.sendCall("put 5 ready")
	require.False(t, backend.admitsRequests(), "only a heartbeat that may be outdated says that the backend is ready")
}
