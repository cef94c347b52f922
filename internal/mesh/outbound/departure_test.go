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
	startedAt := time.Unix(0, 0)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			schedule := NewShutdownSchedule(startedAt, grace)
			times := []time.Time{startedAt, schedule.AcceptUntil, schedule.BackendDeadline, schedule.AnswerBy, schedule.DrainedBy, schedule.ExitBy, startedAt.Add(grace)}
			for i := range times[1:] {
				require.True(t, times[i].Before(times[i+1]), "step %d", i)
			}
			require.GreaterOrEqual(t, schedule.AnswerBy.Sub(startedAt), grace*5/6)
			require.LessOrEqual(t, schedule.AcceptUntil.Sub(startedAt), 3*time.Second)
		})
	}
}

// TestLateRequests: a process that was told to end gives the backend of a late request no more time
// than the process has, and begins nothing that may not be done by then.
func TestLateRequests(t *testing.T) {
	const aim = 200 * time.Millisecond // of the routes of these tests
	for _, c := range []struct {
		name        string
		acceptFor   time.Duration // until when requests are taken as before, from now on
		backendTime time.Duration
		runs        bool
		maxGiven    time.Duration // that its backend is given
	}{
		{"as before", time.Minute, 2 * time.Minute, true, time.Hour},
		{"late, and may be done", -time.Second, 3 * aim, true, 3 * aim},
		{"late, and may not be done", -time.Second, aim - time.Millisecond, false, 0},
	} {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(fmt.Sprint(kind, " ", c.name), func(t *testing.T) {
				s := patientSender(t, aim, "gate")
				given := time.Duration(0)
				s.sendRemote = func(_ *pendingRequest, _ transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
					given = request.Left
					return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil, nil
				}
				now := time.Now()
				s.BeginShutdown(ShutdownSchedule{AcceptUntil: now.Add(c.acceptFor), BackendDeadline: now.Add(c.backendTime), AnswerBy: now.Add(time.Hour)})
				w := httptest.NewRecorder()
				s.ServeHTTP(w, newTestRequest("GET", "/"+kind+"/", "t", nil))
				require.Equal(t, c.runs, given > 0)
				require.LessOrEqual(t, given, c.maxGiven)
				require.Equal(t, "close", w.Header().Get("Connection"))
				if !c.runs {
					require.Equal(t, 503, w.Code)
					require.NotEmpty(t, w.Header().Get("Retry-After"))
				}
			})
		}
	}
}
