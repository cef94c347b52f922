package meshtest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutOff has the core machine that leads cut off from the others both ways, each way, and from the
// agents, one after the other. While it is cut off from the others it confirms no change and no
// read, and refuses no valid one; an agent that starts gets the newest configuration and is ready.
func cutOff(t *testing.T, ctx context.Context, g *Cluster) {
	v := 2
	for _, cut := range []struct {
		name      string
		direction Direction
		agents    bool
	}{{"both ways", BothDirections, false}, {"deaf", Incoming, false}, {"mute", Outgoing, false}, {"from the agents", BothDirections, true}} {
		require.NoError(t, g.Settle(ctx))
		victim, others, sound := g.Leader(), g.Agents, g.Cores[0]
		if !cut.agents {
			others = nil
		}
		for _, c := range g.Cores {
			if c != victim {
				sound = c
				if !cut.agents {
					others = append(others, c)
				}
			}
		}
		victim.Cut(cut.direction, others...)
		if !cut.agents {
			require.NoError(t, g.Await(ctx, "it stands back, "+cut.name, func() bool { return g.Leader() != nil && g.Leader() != victim }))
			sound = g.Leader()
			require.NoError(t, g.Await(ctx, "it has noticed, "+cut.name, func() bool { return victim.seen().role != "leader" }))
		}
		require.NoError(t, g.Operator.ChangeAt(ctx, sound, g.Route(0, g.services[v%2], v)))
		if !cut.agents {
			confirmsNothing(t, g, victim, g.Route(0, g.services[v%2], v))
		}
		if cut.direction == BothDirections && !cut.agents {
			neverReady(t, ctx, g, g.Agents[0], victim)
		}
		restarted := g.Agents[v%len(g.Agents)]
		restarted.Kill()
		require.NoError(t, restarted.Start())
		require.NoError(t, g.Await(ctx, "an agent that starts is ready, "+cut.name, func() bool {
			index, have := g.Index()
			return restarted.in.Load() && index > 0 && have == len(g.Agents)
		}))
		victim.Join()
		v++
	}
}

// proofFor is longer than a core machine takes to prove what is current, and to try that again.
const proofFor = 2500 * time.Millisecond

// neverReady has an agent start that reaches none but a core machine that is cut off: nobody can
// tell it that its configuration is current, so it is not ready before it reaches others.
func neverReady(t *testing.T, ctx context.Context, g *Cluster, m, cutOff *Machine) {
	m.Kill()
	require.NoError(t, g.Await(ctx, "it is missed", func() bool { return !m.in.Load() }))
	for _, c := range g.Cores {
		if c != cutOff {
			m.Cut(BothDirections, c)
		}
	}
	require.NoError(t, m.Start())
	require.NoError(t, g.Await(ctx, "it hears of a configuration", func() bool { return m.seen().index > 0 }))
	short, cancel := context.WithTimeout(ctx, proofFor)
	defer cancel()
	require.Error(t, g.Await(short, "it is ready without a proof", m.in.Load))
	m.Join()
	require.NoError(t, g.Await(ctx, "it is ready with one", m.in.Load))
}

// confirmsNothing has a core machine that is cut off asked for what others have acknowledged.
func confirmsNothing(t *testing.T, g *Cluster, m *Machine, item Item) {
	for _, call := range []struct {
		method, path string
		body         []byte
	}{{http.MethodPatch, "/api/config", (&Change{Items: []Item{item}}).encode()}, {http.MethodGet, "/api/config", nil},
		{http.MethodDelete, "/api/drain-zone/" + zones[0], nil}} { // which changes nothing if it comes true later
		status := g.Operator.once(m, call.method, call.path, call.body)
		require.True(t, status == 0 || status >= 500, "%s %s at a machine that is cut off: %d", call.method, call.path, status)
	}
}

// once makes one call.
func (o *Operator) once(m *Machine, method, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), orderFor+time.Second)
	defer cancel()
	status, _ := call(ctx, o.client, method, "http://"+m.at(controlPort)+path, body)
	return status
}
