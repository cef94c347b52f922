package flightrecorder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

func TestRing(t *testing.T) {
	var r Ring
	at := time.Unix(1000, 0)
	require.Empty(t, r.Ask(at, &transport.TraceQuery{}))
	long := strings.Repeat("x", 1000)
	for i := range 3*Most + 7 {
		w := transport.RequestTrace{Try: fmt.Sprint("t", i), Result: "refused", Steps: make([]transport.Attempt, i%(2*MostSteps))}
		for n := range w.Steps {
			w.Steps[n] = transport.Attempt{N: n, Backend: long, Reason: transport.Cold}
		}
		if i%10 == 3 {
			w.Try += ".1"
		}
		r.Add(at.Add(time.Duration(i)*time.Second), w)
		if i%101 != 0 {
			continue
		}
		all := r.Ask(at.Add(time.Duration(i)*time.Second), &transport.TraceQuery{Most: 1 << 20})
		require.Len(t, all, min(i+1, Most))
		for k, w := range all {
			require.Equal(t, time.Duration(k)*time.Second, w.Age, "the newest first, none left out")
			require.Equal(t, min(MostSteps, (i-k)%(2*MostSteps)), len(w.Steps))
			for n, s := range w.Steps {
				require.Len(t, s.Backend, mostText)
				require.True(t, s.N == n || n == MostSteps-1 && s.N == (i-k)%(2*MostSteps)-1, "the last step is kept")
			}
		}
	}
	last := 3*Most + 6
	called := last - (last-3)%10
	require.Len(t, r.Ask(at, &transport.TraceQuery{Try: fmt.Sprint("t", called), Most: 9}), 1, "what its run called")
	require.Empty(t, r.Ask(at, &transport.TraceQuery{Try: fmt.Sprint("t", last/10), Most: 9}), "an id that begins like others")
	require.Len(t, r.Ask(at, &transport.TraceQuery{Reason: "cold", Most: 5}), 5)
	require.Len(t, r.Ask(at, &transport.TraceQuery{Reason: "refused"}), 1)
	require.Empty(t, r.Ask(at, &transport.TraceQuery{Reason: "full", Most: 5}))
}
