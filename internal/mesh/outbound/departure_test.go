package outbound

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// TestDeparture: nothing is cut off before the last sixth of the grace period, and all ends within
// it.
func TestDeparture(t *testing.T) {
	startedAt := time.Unix(0, 0)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			schedule := NewShutdownSchedule(startedAt, grace)
			times := []time.Time{startedAt, schedule.AcceptUntil, schedule.BackendDeadline, schedule.AnswerBy, schedule.DrainedBy, schedule.ExitBy, startedAt.Add(grace)}
			for i := range times[1:] {
				require.True(t, times[i].Before(times[i+1]), "time %d", i)
			}
			require.GreaterOrEqual(t, schedule.AnswerBy.Sub(startedAt), grace*5/6)
			require.LessOrEqual(t, schedule.AcceptUntil.Sub(startedAt), 3*time.Second)
		})
	}
}

// TestLateRequests: once a terminating process no longer accepts requests as usual, it gives a
// backend no more time than the process itself has, and sends no request that may not finish by
// then.
func TestLateRequests(t *testing.T) {
	const targetLatency = 200 * time.Millisecond // of the routes of these tests
	for _, c := range []struct {
		name        string
		acceptFor   time.Duration // how much longer requests are accepted as usual
		backendTime time.Duration // time until the backends' deadline
		runs        bool
		maxGiven    time.Duration // longest time that the backend may be given
	}{
		{"as before", time.Minute, 2 * time.Minute, true, time.Hour},
		{"late, and may be done", -time.Second, 3 * targetLatency, true, 3 * targetLatency},
		{"late, and may not be done", -time.Second, targetLatency - time.Millisecond, false, 0},
	} {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(fmt.Sprint(kind, " ", c.name), func(t *testing.T) {
				s := patientSender(t, targetLatency, "gate")
				givenTime := time.Duration(0)
				s.sendRemote = func(_ *pendingRequest, _ transport.Endpoint, request *transport.Request) (*transport.Reply, []byte, *transport.Failure) {
					givenTime = request.Left
					return &transport.Reply{Verdict: transport.Ran, Status: 200}, nil, nil
				}
				now := time.Now()
				s.BeginShutdown(ShutdownSchedule{AcceptUntil: now.Add(c.acceptFor), BackendDeadline: now.Add(c.backendTime), AnswerBy: now.Add(time.Hour)})
				w := httptest.NewRecorder()
				s.ServeHTTP(w, newTestRequest("GET", "/"+kind+"/", "t", nil))
				require.Equal(t, c.runs, givenTime > 0)
				require.LessOrEqual(t, givenTime, c.maxGiven)
				require.Equal(t, "close", w.Header().Get("Connection"))
				if !c.runs {
					require.Equal(t, 503, w.Code)
					require.NotEmpty(t, w.Header().Get("Retry-After"))
				}
			})
		}
	}
}
