package meshtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var dutyDays, dutySeed = daysFlags("duty", 3)

const dutySteps = 4 // of each of the series of a day that overlap

// A duty goes to the core machine that an operator names, and away from one that it is taken from.
func TestDutyIsMoved(t *testing.T) {
	t.Parallel()
	ctx, g := startTest(t, time.Minute, Options{Agents: 3, Rate: 10, Tenants: 2})
	// moved waits until the platform is called under a higher fence, and says by whom.
	moved := func(than uint64) (holder *Machine, fence uint64) {
		require.NoError(t, g.Await(ctx, "the duty has moved", func() bool {
			holder, fence = g.Platform.Last()
			return fence > than
		}))
		return holder, fence
	}
	holder, fence := moved(0)
	to := g.Cores[(slices.Index(g.Cores, holder)+1)%len(g.Cores)]
	for holder != to { // on a busy machine it may not take it in its time, and another does
		command(t, ctx, to, "duty", "hand", "usage_report", "--to", to.Name)
		holder, fence = moved(fence)
	}
	command(t, ctx, to, "duty", "revoke", "usage_report", "--why", "by hand")
	moved(fence)
	v, err := g.Finish(ctx)
	require.NoError(t, err)
	require.Empty(t, v.Breaches)
}

// cutSome holds up what a core machine says to some others, or hears of them, or both, for a while.
func cutSome(g *Cluster, m *Machine, rng *rand.Rand) {
	var others []*Machine
	for _, other := range g.all() {
		if other != m && rng.IntN(3) > 0 {
			others = append(others, other)
		}
	}
	m.Cut([]Direction{Outgoing, Incoming, BothDirections}[rng.IntN(3)], others...)
	pause(rng, 4*time.Second)
	m.Join()
}

// TestDutyDays has usage reported while its holder is killed, cut off, stands still or is told to end, agents
// go, the platform is down, slow or loses answers, keys are given and taken away, and operators move
// the duty, with each order sent twice.
func TestDutyDays(t *testing.T) {
	(&days{dutyDays, dutySeed, func(rng *rand.Rand) Options {
		return Options{Agents: 6, Rate: 12, Work: time.Duration(20+rng.IntN(150)) * time.Millisecond, Tenants: 3 + rng.IntN(6),
			CoreLinks: rng.IntN(2) == 0}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		overlap(t, rng, func(rng *rand.Rand) error {
			for range dutySteps {
				pause(rng, 4*time.Second)
				holder, _ := g.Platform.Last()
				switch {
				case holder == nil:
				case g.opt.CoreLinks && rng.IntN(2) == 0:
					cutSome(g, holder, rng)
				default:
					if err := hit(holder, rng, 4*time.Second); err != nil {
						return err
					}
				}
			}
			return nil
		}, func(rng *rand.Rand) error {
			for range dutySteps {
				pause(rng, 3*time.Second)
				if err := hit(g.Agents[rng.IntN(len(g.Agents))], rng, 4*time.Second); err != nil {
					return err
				}
			}
			return nil
		}, func(rng *rand.Rand) error {
			for range dutySteps {
				pause(rng, 2*time.Second)
				slow, lose := time.Duration(0), 0.0
				down := rng.IntN(3) == 0
				if !down {
					slow, lose = time.Duration(rng.Int64N(int64(3*time.Second))), rng.Float64()
				}
				g.Platform.Trouble(ctx, down, slow, lose, time.Duration(rng.Int64N(int64(4*time.Second))))
			}
			return nil
		}, func(rng *rand.Rand) error {
			for n := range dutySteps {
				pause(rng, 2*time.Second)
				if err := g.Operator.Change(ctx, g.Tenant(rng.IntN(g.opt.Tenants), 2+n)); err != nil {
					return err
				}
			}
			return nil
		}, func(rng *rand.Rand) error {
			for range dutySteps {
				pause(rng, 3*time.Second)
				_, fence := g.Platform.Last()
				to := g.Cores[rng.IntN(len(g.Cores))]
				if fence == 0 {
					continue
				}
				for range 2 { // a caller that heard no answer asks again
					err := g.Operator.RevokeDuty(ctx, fence)
					if rng.IntN(3) > 0 {
						err = g.Operator.HandDuty(ctx, fence, to)
					}
					var refused *Refused // the duty may have moved on
					if err != nil && !(errors.As(err, &refused) && refused.Status == http.StatusConflict) {
						return err
					}
					pause(rng, time.Second)
				}
			}
			return nil
		})
		time.Sleep(terms.InTouch + terms.UsageDelay + 4*terms.Window) // so that windows are owed
	}}).run(t)
}
