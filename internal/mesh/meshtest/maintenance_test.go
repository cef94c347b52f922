package meshtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/internal/mesh/maintenance"
)

var windowDays, windowSeed = daysFlags("window", 2)

// longBodies, of over 48 KB, are offered before they are sent, and turned away first.
const longBodies = 256 << 10

// workFor is how long people are at work once a window is clear. How soon it is hangs on this machine.
const workFor = 2 * time.Second

const windowSteps = 3 // of each of the series of a day that overlap

// TestWindowDays has a window go by, or be cancelled, ended or begun by hand, while core machines and
// agents are killed, stand still or are told to end, and the configuration changes.
// It ends in any case, and its zone is used again.
func TestWindowDays(t *testing.T) {
	(&days{windowDays, windowSeed, func(rng *rand.Rand) Options {
		return Options{Agents: 6, Rate: 6, Work: time.Duration(20+rng.IntN(300)) * time.Millisecond, Persistent: rng.IntN(2) == 0, MostBody: longBodies}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		hits := func(all []*Machine, every time.Duration) func(*rand.Rand) error {
			return func(rng *rand.Rand) error {
				for range windowSteps {
					pause(rng, every)
					if err := hit(all[rng.IntN(len(all))], rng, 3*time.Second); err != nil {
						return err
					}
				}
				return nil
			}
		}
		lead := time.Duration(3000+rng.IntN(2500)) * time.Millisecond
		start := time.Now().Add(lead + time.Second + time.Duration(rng.Int64N(int64(4*time.Second))))
		plan := &maintenance.PlanDocument{Name: "work", Zones: []string{zones[rng.IntN(len(zones))]}, Start: start, End: start.Add(time.Duration(5+rng.IntN(5)) * time.Second), Lead: lead.String()}
		require.NoError(t, g.Operator.PlanWindow(ctx, plan))
		phases := map[maintenance.Phase]bool{}
		overlap(t, rng, func(*rand.Rand) error {
			return g.Operator.Follow(ctx, plan, func(w *maintenance.StateDocument) { phases[w.Phase] = true })
		}, func(rng *rand.Rand) error {
			time.Sleep(time.Until(start) - lead)
			pause(rng, lead+3*time.Second)
			switch order := []string{"cancel", "end", "begin", "", ""}[rng.IntN(5)]; order {
			case "":
				return nil
			case "begin":
				var refused *Refused // it may be on its way back
				if err := g.Operator.MoveWindow(ctx, plan.Name, order); err != nil && !errors.As(err, &refused) {
					return err
				}
				return nil
			default:
				return g.Operator.StopWindow(ctx, plan, order)
			}
		}, hits(g.Cores, 4*time.Second), hits(g.Agents, 3*time.Second), func(rng *rand.Rand) error {
			for n := range windowSteps {
				pause(rng, 3*time.Second)
				if err := g.Operator.Change(ctx, g.Route(0, g.services[rng.IntN(len(g.services))], 2+n)); err != nil {
					return err
				}
			}
			return nil
		})
		t.Logf("phases %v", phases)
		usedAgain(t, ctx, g, plan.Zones[0], time.Now())
	}}).run(t)
}

// usedAgain has a zone's backends get requests after a moment.
func usedAgain(t *testing.T, ctx context.Context, g *Cluster, zone string, after time.Time) {
	const enough = 20
	require.NoError(t, g.Await(ctx, zone+" is used again", func() bool {
		count := 0
		g.record.note(func(_ time.Duration, s *Story) {
			for _, r := range s.Runs {
				if r.Zone == zone && r.Began > after.Sub(s.Began) {
					count++
				}
			}
		})
		return count >= enough
	}))
}

// TestWindow has a window of maintenance go by: its zone is clear before work begins, all requests
// have ordinary answers, and the zone is used again in the end.
func TestWindow(t *testing.T) {
	t.Parallel()
	ctx, g := startTest(t, 90*time.Second, Options{Agents: 6, Rate: 10, Work: 50 * time.Millisecond, MostBody: longBodies})
	require.NoError(t, g.Settle(ctx))
	zone := g.Leader().Zone // so that leadership has to move
	now := time.Now()
	plan := &maintenance.PlanDocument{Name: "power", Zones: []string{zone}, Start: now.Add(8 * time.Second), End: now.Add(48 * time.Second), Lead: "6s", By: "test"}
	require.NoError(t, g.Operator.PlanWindow(ctx, plan))
	require.NoError(t, g.Operator.PlanWindow(ctx, plan), "a call that comes twice")
	var clear, over time.Time
	leader, stopped := "", false // leader: in the zone, while it is clear
	require.NoError(t, g.Operator.Follow(ctx, plan, func(w *maintenance.StateDocument) {
		if w.Clear && clear.IsZero() {
			clear = time.Now()
		}
		if !clear.IsZero() && !stopped && time.Since(clear) > workFor {
			stopped = true
			require.NoError(t, g.Operator.StopWindow(ctx, plan, "end"))
		}
		if m := g.Leader(); w.Clear && m != nil && m.Zone == zone {
			leader = m.Name
		}
		if w.Phase == maintenance.PhaseOver {
			over = time.Now()
		}
	}))
	require.False(t, clear.IsZero())
	require.Empty(t, leader)
	require.True(t, clear.Before(plan.End))
	tells := func(words ...string) string { return command(t, ctx, g.Cores[0], words...) }
	require.Contains(t, tells("window", "show", plan.Name), "power, over, step 0")
	require.Contains(t, tells("region", "plan", zones[0]), "enough would be left to agree")
	require.Contains(t, tells("region", "plan", "loopback"), "0 would stay", "the region of all zones")
	usedAgain(t, ctx, g, zone, over)
	v, err := g.Finish(ctx)
	require.NoError(t, err)
	require.Empty(t, v.Breaches)
	require.Equal(t, v.Sent, v.Served, "%d refused, %d failed", v.Refused, v.Failed)
}

// TestWindowWaits has another zone lost before a window begins: the window waits, and says why, until
// that zone is back.
func TestWindowWaits(t *testing.T) {
	t.Parallel()
	ctx, g := startTest(t, 90*time.Second, Options{Agents: 6, Rate: 6, Work: 50 * time.Millisecond})
	start := time.Now().Add(8 * time.Second)
	plan := &maintenance.PlanDocument{Name: "racks", Zones: zones[1:2], Start: start, End: start.Add(40 * time.Second), Lead: "4s"}
	require.NoError(t, g.Operator.PlanWindow(ctx, plan))
	time.Sleep(2 * time.Second) // so that core machines know how many agents each zone has
	for _, m := range g.Agents {
		if m.Zone == zones[2] {
			m.Kill()
		}
	}
	waits, clear := "", false
	require.NoError(t, g.Operator.Follow(ctx, plan, func(w *maintenance.StateDocument) {
		if strings.HasPrefix(w.Waits, "zone ") && waits == "" { // a leader that is new has other reasons
			waits = w.Waits
			require.NotEqual(t, maintenance.PhaseClosed, w.Phase)
			for _, m := range g.Agents {
				if m.Zone == zones[2] {
					require.NoError(t, m.Start())
				}
			}
		}
		if w.Clear && !clear {
			clear = true
			require.NoError(t, g.Operator.StopWindow(ctx, plan, "end"))
		}
	}))
	require.Equal(t, "zone "+zones[2]+" is down", waits)
	require.True(t, clear, "it went on")
	v, err := g.Finish(ctx)
	require.NoError(t, err)
	require.Empty(t, v.Breaches)
}
