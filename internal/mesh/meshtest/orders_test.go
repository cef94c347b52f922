package meshtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshtest/relay"
	"github.com/stretchr/testify/require"
)

// lossy returns an operator who reaches each core machine over a relay that loses calls and answers:
// it resets connections under them, or ends them in the middle.
func lossy(t *testing.T, g *Cluster, seed uint64) (*Operator, []*relay.Link) {
	o := newOperator(g)
	o.via = map[*Machine]string{}
	var links []*relay.Link
	for i, m := range g.Cores {
		link, err := relay.Listen(net.JoinHostPort(m.IP, "0"), m.at(controlPort), seed+uint64(i))
		require.NoError(t, err)
		t.Cleanup(func() { link.Close() })
		link.Random(0.3, relay.Fault{Action: relay.Reset, After: 40}, relay.Fault{Action: relay.Truncate, After: 100})
		o.via[m] = link.Address()
		links = append(links, link)
	}
	return o, links
}

// twoOperators has two operators send other content under one version, version after version, to
// different core machines, each again and again until there is a clear answer. Answers are lost, and
// before one round the leader is killed. Of each pair one is confirmed and the other refused; both
// hear the same again at every core machine once they were overtaken; and all requests run where the
// last that was confirmed sends them.
func twoOperators(t *testing.T, ctx context.Context, g *Cluster) {
	require.NoError(t, g.Operator.Wrong(ctx, g.Route(1, "nobody", 9), g.Route(0, g.services[1], 9)))
	first, links := lossy(t, g, 1)
	second, others := lossy(t, g, 10)
	operators, links := []*Operator{first, second}, append(links, others...)
	send := func(n int, first *Machine, version int) error {
		return operators[n].ChangeAt(ctx, first, g.Route(0, g.services[n], version))
	}
	winners := map[int]int{} // by version
	const versions = 4
	for version := 2; version <= versions; version++ {
		if version == versions-1 {
			victim := g.Leader()
			require.NotNil(t, victim)
			victim.Kill()
			require.NoError(t, victim.Start())
		}
		errs := make([]chan error, len(operators))
		for n := range operators {
			errs[n] = make(chan error, 1)
			go func() { errs[n] <- send(n, g.Cores[(version+n)%len(g.Cores)], version) }()
		}
		one, two := <-errs[0], <-errs[1]
		if one == nil {
			requireConflict(t, two)
		} else {
			requireConflict(t, one)
			require.NoError(t, two)
			winners[version] = 1
		}
	}
	lost := 0
	for _, link := range links {
		_, faults := link.Counts()
		lost += faults
	}
	require.NotZero(t, lost)
	for _, o := range operators {
		o.via = nil // from here on by the direct way, or it takes long
	}
	for version := 2; version <= versions; version++ {
		for _, core := range g.Cores {
			require.NoError(t, send(winners[version], core, version), "version %d", version)
			requireConflict(t, send(1-winners[version], core, version))
		}
	}
	require.NoError(t, g.Calm(ctx, 60))
	at := map[string]bool{} // services at which the route's requests run by now
	g.record.note(func(_ time.Duration, s *Story) {
		from := s.last() + s.Terms.longest()
		for _, r := range s.Runs {
			if t := s.Tries[r.Try]; t.Sent > from && t.URI[:len(kinds[0].path)] == kinds[0].path {
				at[r.Service] = true
			}
		}
	})
	require.Equal(t, map[string]bool{g.services[winners[versions]]: true}, at)
}

func requireConflict(t *testing.T, err error) {
	t.Helper()
	var refused *Refused
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusConflict, refused.Status, refused.Answer)
}

// refusedWhileStopped has a call wait unread in a stopped core machine while another one refuses it,
// as it names a service that is not there, and then a third acknowledges that service. The call must
// not come into force when the first goes on, which is judged by what is read back in the end. Each
// core machine is stopped once, the leader too.
func refusedWhileStopped(t *testing.T, ctx context.Context, g *Cluster) {
	for i, stopped := range g.Cores {
		stopped.Stop()
		require.NoError(t, g.refuseThenAllow(ctx, g.Operator, stopped, fmt.Sprintf("later-%d", i)))
		stopped.Continue()
		require.NoError(t, g.Settle(ctx))
	}
}
