package meshtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var refusedDays, refusedSeed = daysFlags("refused", 1)

const (
	refusedOperators = 3
	refusedChanges   = 6 // of each operator of a day
	refusedTroubles  = 8 // of the core machines in a day

	maxRefusedPause = 4 * time.Second // for which a core machine is stopped
)

// TestRefusedDays has operators send routes to services that are not there, each begun at a machine
// drawn by seed, and add the service as soon as the route was refused. Meanwhile core machines are
// stopped, killed and told to end, or cut off from some others, one after the other, and clients keep
// on sending. What was refused must not come into force. It guards against an attempt that waited in
// a stopped machine, or on its way from one, and was carried out after the refusal.
func TestRefusedDays(t *testing.T) {
	(&days{refusedDays, refusedSeed, func(rng *rand.Rand) Options {
		return Options{Agents: 6, Rate: 10, Work: 20 * time.Millisecond, CoreLinks: rng.IntN(2) == 0}
	}, func(t *testing.T, ctx context.Context, g *Cluster, rng *rand.Rand) {
		series := []func(rng *rand.Rand) error{func(rng *rand.Rand) error { return troubleCores(g, rng) }}
		for n := range refusedOperators {
			series = append(series, func(rng *rand.Rand) error { return sendRefused(ctx, g, rng, n) })
		}
		overlap(t, rng, series...)
		refused := 0
		g.record.note(func(_ time.Duration, s *Story) {
			for _, c := range s.Changes {
				if c.Invalid {
					refused++
				}
			}
		})
		require.Equal(t, refusedOperators*refusedChanges, refused)
	}}).run(t)
}

// troubleCores stops, kills, ends or cuts off one core machine after the other.
func troubleCores(g *Cluster, rng *rand.Rand) error {
	for range refusedTroubles {
		pause(rng, time.Second)
		machine := g.Cores[rng.IntN(len(g.Cores))]
		switch {
		case g.opt.CoreLinks && rng.IntN(3) == 0:
			cutSome(g, machine, rng)
		case rng.IntN(2) == 0:
			machine.Stop()
			pause(rng, maxRefusedPause)
			machine.Continue()
		default:
			if err := hit(machine, rng, maxRefusedPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendRefused sends routes, and adds the service of each once the route was refused.
func sendRefused(ctx context.Context, g *Cluster, rng *rand.Rand, operator int) error {
	o := newOperator(g)
	for n := range refusedChanges {
		pause(rng, 2*time.Second)
		name := fmt.Sprintf("refused-%d-%d", operator, n)
		if err := g.refuseThenAllow(ctx, o, g.Cores[rng.IntN(len(g.Cores))], name); err != nil {
			return err
		}
	}
	return nil
}

// refuseThenAllow sends a route of that name, at first to one core machine, that must be refused, as
// its service of the same name is not there, and then adds the service. No client asks for the route.
func (g *Cluster) refuseThenAllow(ctx context.Context, o *Operator, first *Machine, name string) error {
	route := g.Route(0, name, 1)
	route.Name, route.Body["domain"] = name, name+".example"
	var refused *Refused
	err := o.ChangeAt(ctx, first, route)
	if !errors.As(err, &refused) || refused.Status != http.StatusBadRequest {
		return fmt.Errorf("%s should be refused: %w", name, err)
	}
	service := Item{Kind: Services, Name: name, Version: version(1), Body: map[string]any{"health_path": healthPath, "protocol": "h1"}}
	return o.Change(ctx, service)
}
