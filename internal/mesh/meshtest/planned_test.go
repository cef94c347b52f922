package meshtest

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	plannedDays, plannedSeed = daysFlags("planned", 3)
	plannedAgents            = flag.Int("planned-agents", 6, "of TestPlannedDays")
)

const plannedSteps = 3 // of each of the series of a day that overlap

// TestPlannedDays has planned work in series that overlap, while clients use their connections until
// the process is gone: agents are told to end, are told that their settings have changed, backends
// depart, and the configuration changes. Work is long enough to reach beyond a process's end.
func TestPlannedDays(t *testing.T) {
	(&days{plannedDays, plannedSeed, func(rng *rand.Rand) Options {
		return Options{Agents: *plannedAgents, Rate: 4, Work: time.Duration(100+rng.IntN(500)) * time.Millisecond, Persistent: true}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		order := rng.Perm(len(g.Agents))
		half := len(order) / 2
		steps := func(step func(n int, rng *rand.Rand) error) func(*rand.Rand) error {
			return func(rng *rand.Rand) error {
				for n := range plannedSteps {
					if err := step(n, rng); err != nil {
						return err
					}
				}
				return nil
			}
		}
		overlap(t, rng, steps(func(n int, _ *rand.Rand) error { // agents are told to end, and their backends go on
			m := g.Agents[order[n%half]]
			m.Terminate()
			return m.Start()
		}), steps(func(n int, rng *rand.Rand) error {
			m := g.Agents[order[half+n%half]]
			err := m.Backend.Depart(ctx, Departure{SignOffFirst: rng.IntN(2) == 0, ServeOn: time.Second + time.Duration(rng.IntN(1000))*time.Millisecond,
				LateBeat: time.Duration(rng.IntN(1000)) * time.Millisecond, Acknowledged: m.Reload})
			if err != nil {
				return err
			}
			return m.Backend.Start()
		}), steps(func(n int, rng *rand.Rand) error {
			return g.Operator.Change(ctx, g.Route(0, g.services[rng.IntN(len(g.services))], 2+n))
		}))
	}}).run(t)
}
