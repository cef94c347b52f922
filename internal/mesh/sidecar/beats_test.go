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

// application is a backend that answers health probes, and the agents that stand beside it one after
// the other.
type application struct {
	t       *testing.T
	server  *httptest.Server
	healthy atomic.Bool
	agent   *Agent
}

const applicationID = "b1"

var healthPath = "/health"

func newApplication(t *testing.T) *application {
	app := &application{t: t}
	app.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(inbound.ServerIDHeader, applicationID)
		if !app.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(app.server.Close)
	app.restart()
	return app
}

// restart puts a new process in the agent's place, which has a current configuration.
func (app *application) restart() {
	set := &bootstrap.Settings{SparePorts: [2]int{7600, 7615}, BeatEvery: time.Second, Service: "s", AppAddress: app.server.Listener.Addr().String()}
	app.agent = New("", set, &log.Logger{Handler: discard.New()})
	app.agent.fresh = true
	app.agent.healthPath.Store(&healthPath)
	app.agent.show()
}

// call makes a call of the backend, which must be acknowledged: "put 5 ready" or "delete".
func (app *application) call(what string) {
	var count, state string
	method, body := http.MethodDelete, ""
	if n, _ := fmt.Sscanf(what, "put %s %s", &count, &state); n == 2 {
		method = http.MethodPut
		body = fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":4,"state":%q,"warmup_left":"0ms","call_count":%s}`,
			app.server.Listener.Addr(), state, count)
	}
	w := httptest.NewRecorder()
	app.agent.control().ServeHTTP(w, httptest.NewRequest(method, "/api/servers/"+applicationID, strings.NewReader(body)))
	require.Equal(app.t, http.StatusOK, w.Code, what)
}

// open says whether a request would reach the backend.
func (app *application) open() bool {
	ask := &transport.Request{Try: "t", Target: applicationID, Life: app.agent.life, Patient: time.Second}
	admitted := false
	app.agent.host.WithGate(func(now time.Duration, g *inbound.Gate) bool {
		ticket, failure := g.Admit(now, ask)
		if admitted = ticket == nil && failure == nil; admitted {
			g.Cancel(now, ask, false)
		}
		return false
	})
	return admitted
}

// TestLateCallsReviveNothing provokes DRAIN: a call of before the end of a life comes after it.
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
			app := newApplication(t)
			for _, call := range c.calls {
				if call == "restart" {
					app.restart()
				} else {
					app.call(call)
				}
			}
			require.False(t, app.open())
		})
	}
}

// TestNextProcessAsksBackend: what calls don't prove, the backend itself does, and a backend that is
// taken to be ill is used once no call of before can come.
func TestNextProcessAsksBackend(t *testing.T) {
	opens := func(app *application) {
		require.Eventually(t, app.open, 5*time.Second, time.Millisecond)
	}
	app := newApplication(t)
	app.healthy.Store(true)
	app.restart()
	opens(app) // without a call
	app.restart()
	app.call("put 5 ready")
	opens(app)
	app.call("put 6 draining")
	require.False(t, app.open())
	app.healthy.Store(false)
	app.restart()
	app.call("put 5 ready")
	require.False(t, app.open(), "nothing but a call of before says that it is ready")
}
