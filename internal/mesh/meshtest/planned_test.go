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
	plannedDaysFlag   = flag.Int("planned-days", 3, "that TestPlannedDays plays")
	plannedSeedFlag   = flag.Uint64("planned-seed", 1, "of the first of them")
	plannedAgentsFlag = flag.Int("planned-agents", 6, "of TestPlannedDays")
)

const plannedSteps = 3 // of each of the series of a day that overlap

// TestPlannedDays has planned work in series that overlap, while clients use their connections until
// the process is gone: agents are told to end, are told that their settings have changed, backends
// depart, and the configuration changes. Work is long enough to reach beyond a process's end.
func TestPlannedDays(t *testing.T) {
	t.Parallel()
	dir, err := build()
	require.NoError(t, err)
	for seed := *plannedSeedFlag; seed < *plannedSeedFlag+uint64(*plannedDaysFlag); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
			defer cancel()
			rng := rand.New(rand.NewPCG(seed, 66))
			work := time.Duration(100+rng.IntN(500)) * time.Millisecond
			g, err := Start(ctx, Options{Program: filepath.Join(dir, "micaline-mesh"), Dir: t.TempDir(), Agents: *plannedAgentsFlag, Rate: 4, Work: work, Persistent: true})
			require.NoError(t, err)
			defer g.Close()
			var running sync.WaitGroup
			all := plannedSeries(ctx, g, rng)
			failed := make([]error, len(all))
			for i, series := range all {
				running.Go(func() { failed[i] = series() })
			}
			running.Wait()
			for _, err := range failed {
				require.NoError(t, err)
			}
			require.NoError(t, g.Calm(ctx, 30))
			v, err := g.Finish(ctx)
			require.NoError(t, err)
			require.Empty(t, v.Breaches)
			t.Logf("work %v: %d sent, %d served, %d refused, %d failed, %d ran", work, v.Sent, v.Served, v.Refused, v.Failed, v.Runs)
		})
	}
}

// plannedSeries are the series of a day, each of which works through its steps.
func plannedSeries(ctx context.Context, g *Cluster, rng *rand.Rand) []func() error {
	order := rng.Perm(len(g.Agents))
	half := len(order) / 2
	steps := func(seed uint64, step func(n int, rng *rand.Rand) error) func() error {
		own := rand.New(rand.NewPCG(seed, 0))
		return func() error {
			for n := range plannedSteps {
				if err := step(n, own); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return []func() error{
		steps(rng.Uint64(), func(n int, _ *rand.Rand) error { // agents are told to end, and their backends go on
			m := g.Agents[order[n%half]]
			m.Terminate()
			return m.Start()
		}),
		steps(rng.Uint64(), func(n int, rng *rand.Rand) error {
			m := g.Agents[order[half+n%half]]
			err := m.Backend.Depart(ctx, Departure{SignOffFirst: rng.IntN(2) == 0, ServeOn: time.Second + time.Duration(rng.IntN(1000))*time.Millisecond,
				LateBeat: time.Duration(rng.IntN(1000)) * time.Millisecond, Acknowledged: m.Reload})
			if err != nil {
				return err
			}
			return m.Backend.Start()
		}),
		steps(rng.Uint64(), func(n int, rng *rand.Rand) error {
			return g.Operator.Change(ctx, g.Route(0, g.services[rng.IntN(len(g.services))], 2+n))
		}),
	}
}
