package meshtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// days are drawn by seed and played between real processes.
type days struct {
	count   *int
	seed    *uint64 // of the first of them
	options func(rng *rand.Rand) Options
	play    func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand)
}

// daysFlags are the flags -NAME-days and -NAME-seed.
func daysFlags(name string, count int) (*int, *uint64) {
	return flag.Int(name+"-days", count, "of these that are played"), flag.Uint64(name+"-seed", 1, "of the first of them")
}

// run plays the days and judges every rule.
func (d *days) run(t *testing.T) {
	t.Parallel()
	for seed := *d.seed; seed < *d.seed+uint64(*d.count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 57))
			ctx, g := startTest(t, 100*time.Second, d.options(rng))
			d.play(t, ctx, g, rng)
			require.NoError(t, g.Calm(ctx, 60))
			v, err := g.Finish(ctx)
			require.NoError(t, err)
			require.Empty(t, v.Breaches)
			t.Logf("%d sent, %d served, %d refused, %d failed, %d ran", v.Sent, v.Served, v.Refused, v.Failed, v.Runs)
		})
	}
}

// overlap works through series beside each other, each with random numbers of its own.
func overlap(t *testing.T, rng *rand.Rand, all ...func(rng *rand.Rand) error) {
	var running sync.WaitGroup
	failed := make([]error, len(all))
	for i, series := range all {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		running.Go(func() { failed[i] = series(own) })
	}
	running.Wait()
	for _, err := range failed {
		require.NoError(t, err)
	}
}

// startTest starts a cluster of the built program for a test, which has so much time.
func startTest(t *testing.T, within time.Duration, options Options) (context.Context, *Cluster) {
	dir, err := build()
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	options.Program, options.Dir = filepath.Join(dir, "micaline-mesh"), t.TempDir()
	g, err := Start(ctx, options)
	require.NoError(t, err)
	t.Cleanup(func() { g.Close() })
	return ctx, g
}

// command runs a verb of the program against a core machine, and returns what it prints.
func command(t *testing.T, ctx context.Context, core *Machine, words ...string) string {
	words = append(words, "--core", core.at(controlPort))
	out, err := exec.CommandContext(ctx, core.g.opt.Program, words...).CombinedOutput()
	require.NoError(t, err, "%s", out)
	return string(out)
}

// pause waits for some part of the most.
func pause(rng *rand.Rand, most time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(most)))) }

// hit kills a process, tells it to end, or has it stand still for some part of the most, and has it run again.
func hit(m *Machine, rng *rand.Rand, most time.Duration) error {
	switch rng.IntN(3) {
	case 0:
		m.Kill()
	case 1:
		m.Terminate()
	case 2:
		m.Stop()
		pause(rng, most)
		m.Continue()
		return nil
	}
	pause(rng, time.Second)
	return m.Start()
}

// sizeFlags are the flags -NAME-cores and -NAME-agents.
func sizeFlags(name string) (*int, *int) {
	return flag.Int(name+"-cores", 0, "core machines of each day; 0: drawn by seed"), flag.Int(name+"-agents", 6, "agents of each day")
}
