package outbound

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// TestDeparture: nothing is broken off before the last sixth of the grace, and all ends within it.
func TestDeparture(t *testing.T) {
	told := time.Unix(0, 0)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			d := NewShutdownSchedule(told, grace)
			order := []time.Time{told, d.AcceptUntil, d.DoneBy, d.GiveUp, d.DrainedBy, d.ExitBy, told.Add(grace)}
			for i := range order[1:] {
				require.True(t, order[i].Before(order[i+1]), "step %d", i)
			}
			require.GreaterOrEqual(t, d.GiveUp.Sub(told), grace*5/6)
			require.LessOrEqual(t, d.AcceptUntil.Sub(told), 3*time.Second)
		})
	}
}

// TestLateRequests: a process that was told to end gives the backend of a late request no more time
// than the process has, and begins nothing that may not be done by then.
func TestLateRequests(t *testing.T) {
	const aim = 200 * time.Millisecond // of the routes of these tests
	for _, c := range []struct {
		name   string
		taken  time.Duration // until when requests are taken as before, from now on
		doneBy time.Duration
		runs   bool
		most   time.Duration // that its backend is given
	}{
		{"as before", time.Minute, 2 * time.Minute, true, time.Hour},
		{"late, and may be done", -time.Second, 3 * aim, true, 3 * aim},
		{"late, and may not be done", -time.Second, aim - time.Millisecond, false, 0},
	} {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(fmt.Sprint(kind, " ", c.name), func(t *testing.T) {
				s := patientSender(t, aim, "gate")
				given := time.Duration(0)
				s.send = func(_ *job, _ transport.Endpoint, ask *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
					given = ask.Left
					return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil, nil
				}
				now := time.Now()
				s.BeginShutdown(ShutdownSchedule{AcceptUntil: now.Add(c.taken), DoneBy: now.Add(c.doneBy), GiveUp: now.Add(time.Hour)})
				w := httptest.NewRecorder()
				s.ServeHTTP(w, request("GET", "/"+kind+"/", "t", nil))
				require.Equal(t, c.runs, given > 0)
				require.LessOrEqual(t, given, c.most)
				require.Equal(t, "close", w.Header().Get("Connection"))
				if !c.runs {
					require.Equal(t, 503, w.Code)
					require.NotEmpty(t, w.Header().Get("Retry-After"))
				}
			})
		}
	}
}
