package meshtest

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var leavingDays, leavingSeed = daysFlags("leaving", 1)

// leavingTroubles is how many troubles a day of TestLeavingDays has.
const leavingTroubles = 6

// TestLeavingDays has clients leave at all hours of days whose troubles are drawn by seed, and judges
// every rule. A machine in trouble is excused, those that call it and that it calls are not.
func TestLeavingDays(t *testing.T) {
	(&days{leavingDays, leavingSeed, func(*rand.Rand) Options {
		return Options{Agents: 6, Rate: 4, Work: 600 * time.Millisecond, GiveUp: 0.6}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		for range leavingTroubles {
			leavingTrouble(t, ctx, g, rng)
		}
	}}).run(t)
}

// leavingTrouble has one trouble last until so many clients have left meanwhile.
func leavingTrouble(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
	agent, core, zone := g.Agents[rng.IntN(len(g.Agents))], g.Cores[rng.IntN(len(g.Cores))], zones[rng.IntN(len(zones))]
	troubles := []struct {
		name       string
		begin, end func()
	}{
		{"an agent stands still", agent.Stop, agent.Continue},
		{"an agent is killed", agent.Kill, func() { require.NoError(t, agent.Start()) }},
		{"an agent is told to end", func() { agent.Terminate() }, func() { require.NoError(t, agent.Start()) }},
		{"a backend crashes", agent.Backend.Crash, func() { require.NoError(t, agent.Backend.Start()) }},
		{"a core machine stands still", core.Stop, core.Continue},
		{"a core machine is killed", core.Kill, func() { require.NoError(t, core.Start()) }},
		{"a zone is emptied", func() { require.NoError(t, g.Operator.Evacuate(ctx, zone)) }, func() { require.NoError(t, g.Operator.Return(ctx, zone)) }},
		{"nothing", func() {}, func() {}},
	}
	trouble := troubles[rng.IntN(len(troubles))]
	t.Log(trouble.name, agent.Name, core.Name)
	trouble.begin()
	awaitLeaves(t, ctx, g, 5+rng.IntN(15))
	trouble.end()
	awaitLeaves(t, ctx, g, rng.IntN(10))
}

// awaitLeaves waits until some more clients have left.
func awaitLeaves(t *testing.T, ctx context.Context, g *Cluster, more int) {
	left := func() (n int) {
		g.record.note(func(_ time.Duration, s *Story) {
			for _, try := range s.Tries {
				if try.Left {
					n++
				}
			}
		})
		return n
	}
	from := left()
	require.NoError(t, g.Await(ctx, "clients leave", func() bool { return left() >= from+more }))
}
