package meshtest

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

var departingDays, departingSeed = daysFlags("departing", 3)

const (
	departures    = 4                       // of backends beside each of the agents that take part, one after the other
	departingFrom = 3                       // agents whose backends depart, in series that overlap
	departServeOn = 2500 * time.Millisecond // at most, after the acknowledgement
)

// TestDepartingDays has backends leave in series that overlap: they say that they drain, or only
// sign off; a beat of before comes late, at their agent or by way of a core machine; their agent is
// killed or told to end right after its acknowledgement, and core machines are killed meanwhile.
func TestDepartingDays(t *testing.T) {
	(&days{departingDays, departingSeed, func(*rand.Rand) Options {
		return Options{Agents: 6, Rate: 20, Work: 20 * time.Millisecond}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		all := []func(*rand.Rand) error{func(rng *rand.Rand) error {
			if rng.IntN(2) == 0 {
				return nil
			}
			core := g.Cores[rng.IntN(len(g.Cores))]
			core.Kill()
			return core.Start()
		}}
		for _, at := range rng.Perm(len(g.Agents))[:departingFrom] {
			all = append(all, func(rng *rand.Rand) error { return departSeries(ctx, g.Agents[at], rng) })
		}
		overlap(t, rng, all...)
	}}).run(t)
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
