package consensus

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A leader whose machine is taken out of use asks to leave again and again, and runs on: it has neither
// vote nor leadership meanwhile, also when a voter is lost, and takes a vote again afterwards.
func TestNodeStandsAside(t *testing.T) {
	dirs := testNodeDirs(t)
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startTestNodes(t, dirs)
		stop := func(name string) { stopTestNode(t, net, nodes, name) }
		leader := func() string {
			for name, n := range nodes {
				if n.Status().Role == "leader" {
					return name
				}
			}
			return ""
		}
		time.Sleep(5 * time.Second)
		aside := leader()
		require.NotEmpty(t, aside)
		self := nodes[aside] // the map changes meanwhile
		standing, end := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for standing.Err() == nil {
				self.Leave(standing)
				time.Sleep(250 * time.Millisecond)
			}
		}()
		for tenth := range 150 {
			time.Sleep(100 * time.Millisecond)
			if tenth == 80 {
				stop(leader())
			}
			if now := leader(); tenth >= 20 && now != "" {
				require.NotEqual(t, aside, now)
				require.NotContains(t, nodes[now].Status().Members, aside)
			}
		}
		require.NotEmpty(t, leader(), "two of three voters are left")
		end()
		<-ended
		time.Sleep(15 * time.Second)
		require.Contains(t, nodes[leader()].Status().Members, aside, "in the place of the lost one")
		for name := range nodes {
			stop(name)
		}
	})
}
