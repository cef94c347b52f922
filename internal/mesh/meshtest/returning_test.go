package meshtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	returningDays, returningSeed    = daysFlags("returning", 1)
	returningCores, returningAgents = sizeFlags("returning")
)

const (
	returningRounds  = 3
	returningChanges = 12
	returningHits    = 6 // of the agents in a day

	maxReturnDelay = 1500 * time.Millisecond // from the loss of a disk until its machine is started
	maxCoreCut     = 5500 * time.Millisecond // of the core into two halves
	// reviewedCut outlasts the first requests to join, which wait for connections and would hide the fault.
	reviewedCut   = 3500 * time.Millisecond
	recoverWithin = 15 * time.Second // the bound recovery of the settings
)

// TestReturningDays has core machines come back with empty disks while the core is cut in two, other
// core machines are killed, stopped or told to end, agents are hit, and an operator changes routes. In
// the end, right after a change, as many disks are lost as may be lost at once. After each round every
// core machine must answer a read in time. It guards against a core machine that is never taken in
// again, and so against a core without a majority.
func TestReturningDays(t *testing.T) {
	(&days{returningDays, returningSeed, func(rng *rand.Rand) Options {
		size := []int{5, 5, 3, 7}[rng.IntN(4)]
		if *returningCores > 0 {
			size = *returningCores
		}
		return Options{Agents: *returningAgents, Cores: size, Rate: 10, Work: 20 * time.Millisecond, CoreLinks: true, Persistent: rng.IntN(2) == 0}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		overlap(t, rng,
			func(rng *rand.Rand) error { return returnRounds(ctx, g, rng) },
			func(rng *rand.Rand) error { return changeRoutes(ctx, g, rng) },
			func(rng *rand.Rand) error { return hitAgents(g, rng) })
		require.NoError(t, g.loseDisks(ctx, g.pickCores(rng, g.tolerated())))
	}}).run(t)
}

// returnsInACut has a core machine come back with an empty disk on the leader's side of a cut, which is
// the smaller one. Once the core is joined, it must be taken in, and two others may lose their disks.
func returnsInACut(t *testing.T, ctx context.Context, g *Cluster) {
	require.NoError(t, g.Await(ctx, "all core machines are voters", g.allVote))
	led := g.Leader()
	require.NotNil(t, led)
	wiped := g.Cores[slices.IndexFunc(g.Cores, func(m *Machine) bool { return m != led })]
	wiped.Kill()
	require.NoError(t, wiped.Wipe())
	g.cutInTwo([]*Machine{led, wiped}, true)
	require.NoError(t, wiped.Start())
	time.Sleep(reviewedCut)
	for _, m := range g.Cores {
		m.Join()
	}
	require.NoError(t, g.allAnswer(ctx))
	require.NoError(t, g.loseDisks(ctx, slices.DeleteFunc(slices.Clone(g.Cores), func(m *Machine) bool { return m == wiped })[:g.tolerated()]))
}

// returnRounds plays the rounds one after the other, each once all core machines answer again.
func returnRounds(ctx context.Context, g *Cluster, rng *rand.Rand) error {
	for range returningRounds {
		pause(rng, time.Second)
		if err := g.returnWhileCut(rng); err != nil {
			return err
		}
		if err := g.allAnswer(ctx); err != nil {
			return err
		}
	}
	return nil
}

// returnWhileCut wipes some core machines and starts them again around the beginning of a cut. In most
// rounds they and the machine that led are one side, the smaller one where they fit.
func (g *Cluster) returnWhileCut(rng *rand.Rand) error {
	wiped := g.pickCores(rng, 1+rng.IntN(g.tolerated()))
	side := slices.Clone(wiped)
	if led := g.Leader(); led != nil && rng.IntN(4) > 0 && !slices.Contains(wiped, led) {
		wiped = wiped[:max(1, min(len(wiped), g.tolerated()-1))]
		side = append(slices.Clone(wiped), led)
	}
	for _, m := range wiped {
		m.Kill()
		if err := m.Wipe(); err != nil {
			return err
		}
	}
	pause(rng, maxReturnDelay)
	other := g.Cores[rng.IntN(len(g.Cores))]
	hitOther := rng.IntN(3) == 0 && !slices.Contains(wiped, other)
	if rng.IntN(4) > 0 {
		g.cutInTwo(side, rng.IntN(2) == 0)
		pause(rng, time.Second/2)
	}
	for _, m := range wiped {
		if err := m.Start(); err != nil {
			return err
		}
	}
	if hitOther {
		if err := hit(other, rng, time.Second); err != nil {
			return err
		}
	}
	pause(rng, maxCoreCut)
	for _, m := range g.Cores {
		m.Join()
	}
	return nil
}

// allVote reports whether every core machine says that it leads or follows as a voter.
func (g *Cluster) allVote() bool {
	return !slices.ContainsFunc(g.Cores, func(m *Machine) bool { return m.seen().role != "leader" && m.seen().role != "follower" })
}

// pickCores returns some core machines drawn at random.
func (g *Cluster) pickCores(rng *rand.Rand, count int) []*Machine {
	var picked []*Machine
	for _, i := range rng.Perm(len(g.Cores))[:count] {
		picked = append(picked, g.Cores[i])
	}
	return picked
}

// cutInTwo cuts some core machines from all others: silently, or with connections reset and refused.
func (g *Cluster) cutInTwo(side []*Machine, refuses bool) {
	var others []*Machine
	for _, m := range g.Cores {
		if !slices.Contains(side, m) {
			others = append(others, m)
		}
	}
	for _, m := range side {
		if refuses {
			m.Refuse(others...)
		} else {
			m.Cut(BothDirections, others...)
		}
	}
}

// changeRoutes sends versions of a route until each is acknowledged.
func changeRoutes(ctx context.Context, g *Cluster, rng *rand.Rand) error {
	o := newOperator(g)
	for n := range returningChanges {
		pause(rng, 3*time.Second)
		if err := o.ChangeAt(ctx, g.Cores[rng.IntN(len(g.Cores))], g.Route(0, g.services[0], 2+n)); err != nil {
			return err
		}
	}
	return nil
}

// hitAgents kills, ends or stops one agent after the other, or tells it to read its settings again.
func hitAgents(g *Cluster, rng *rand.Rand) error {
	for range returningHits {
		pause(rng, 3*time.Second)
		m := g.Agents[rng.IntN(len(g.Agents))]
		if rng.IntN(3) == 0 {
			m.Reload()
			continue
		}
		if err := hit(m, rng, 2*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// loseDisks has core machines lose their disks at once, right after a change was acknowledged.
func (g *Cluster) loseDisks(ctx context.Context, lost []*Machine) error {
	if err := g.Operator.Change(ctx, g.Route(0, g.services[0], 2+returningChanges)); err != nil {
		return err
	}
	for _, m := range lost {
		m.Kill()
	}
	for _, m := range lost {
		if err := m.Wipe(); err != nil {
			return err
		}
	}
	for _, m := range lost {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return g.allAnswer(ctx)
}

// allAnswer returns once every core machine answers a read itself, or says who does not in time.
func (g *Cluster) allAnswer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for _, m := range g.Cores {
		if err := g.Await(ctx, fmt.Sprintf("%s answers a read, %v after its return", m.Name, recoverWithin), func() bool {
			return g.Operator.once(m, http.MethodGet, "/api/config", nil) == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}
