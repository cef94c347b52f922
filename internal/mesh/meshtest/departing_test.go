package meshtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	departingDaysFlag = flag.Int("departing-days", 3, "that TestDepartingDays plays")
	departingSeedFlag = flag.Uint64("departing-seed", 1, "of the first of them")
)

const (
	departures    = 4                       // of backends beside each of the agents that take part, one after the other
	departingFrom = 3                       // agents whose backends depart, in series that overlap
	departServeOn = 2500 * time.Millisecond // at most, after the acknowledgement
)

// TestDepartingDays has backends leave in series that overlap: they say that they drain, or only
// sign off; a beat of before comes late, at their agent or by way of a core machine; their agent is
// killed or told to end right after its acknowledgement, and core machines are killed meanwhile.
func TestDepartingDays(t *testing.T) {
	t.Parallel()
	dir, err := build()
	require.NoError(t, err)
	for seed := *departingSeedFlag; seed < *departingSeedFlag+uint64(*departingDaysFlag); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
			defer cancel()
			g, err := Start(ctx, Options{Program: filepath.Join(dir, "micaline-mesh"), Dir: t.TempDir(), Agents: 6, Rate: 20, Work: 20 * time.Millisecond})
			require.NoError(t, err)
			defer g.Close()
			rng := rand.New(rand.NewPCG(seed, 61))
			var series sync.WaitGroup
			failed := make([]error, departingFrom)
			for i, at := range rng.Perm(len(g.Agents))[:departingFrom] {
				own := rand.New(rand.NewPCG(seed, uint64(i)))
				series.Go(func() { failed[i] = departSeries(ctx, g.Agents[at], own) })
			}
			core := g.Cores[rng.IntN(len(g.Cores))]
			if rng.IntN(2) == 0 {
				core.Kill()
				require.NoError(t, core.Start())
			}
			series.Wait()
			for _, err := range failed {
				require.NoError(t, err)
			}
			require.NoError(t, g.Calm(ctx, 60))
			v, err := g.Finish(ctx)
			require.NoError(t, err)
			require.Empty(t, v.Breaches)
			t.Logf("%d sent, %d served, %d refused, %d failed, %d ran", v.Sent, v.Served, v.Refused, v.Failed, v.Runs)
		})
	}
}

// departSeries has lives of a backend depart one after the other.
func departSeries(ctx context.Context, m *Machine, rng *rand.Rand) error {
	for range departures {
		d := Departure{SignOffFirst: rng.IntN(2) == 0, ServeOn: time.Second + time.Duration(rng.Int64N(int64(departServeOn-time.Second)))}
		if rng.IntN(3) > 0 {
			d.LateBeat = time.Duration(rng.Int64N(int64(d.ServeOn)))
			d.LateByCore = rng.IntN(3) == 0
		}
		var restarted error
		switch rng.IntN(4) {
		case 0:
			d.Acknowledged = func() {
				m.Kill()
				restarted = m.Start()
			}
		case 1:
			d.Acknowledged = func() {
				m.Terminate()
				restarted = m.Start()
			}
		}
		if err := m.Backend.Depart(ctx, d); err != nil {
			return err
		}
		if restarted != nil {
			return restarted
		}
		if err := m.Backend.Start(); err != nil {
			return err
		}
		if err := m.g.Await(ctx, "the next life is listed", m.Backend.heard.Load); err != nil {
			return err
		}
	}
	return nil
}
