package consensus

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A leader whose machine is taken out of service calls Leave again and again but keeps running. It
// must have no vote and no leadership during that time, even when a voter is lost, and must become
// a voter again afterwards.
func TestNodeStandsAside(t *testing.T) {
	dirs := testNodeDirs(t)
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startTestNodes(t, dirs)
		stop := func(name string) { stopTestNode(t, net, nodes, name) }
		findLeader := func() string {
			for name, n := range nodes {
				if n.Status().Role == "leader" {
					return name
				}
			}
			return ""
		}
		time.Sleep(5 * time.Second)
		leavingName := findLeader()
		require.NotEmpty(t, leavingName)
		leavingNode := nodes[leavingName] // the map is modified while the goroutine runs
		leaveContext, stopLeaving := context.WithCancel(t.Context())
		stoppedLeaving := make(chan struct{})
		go func() {
			defer close(stoppedLeaving)
			for leaveContext.Err() == nil {
				leavingNode.Leave(leaveContext)
				time.Sleep(250 * time.Millisecond)
			}
		}()
		for tenth := range 150 {
			time.Sleep(100 * time.Millisecond)
			if tenth == 80 {
				stop(findLeader())
			}
			if current := findLeader(); tenth >= 20 && current != "" {
				require.NotEqual(t, leavingName, current)
				require.NotContains(t, nodes[current].Status().Members, leavingName)
			}
		}
		require.NotEmpty(t, findLeader(), "two of three voters are left")
		stopLeaving()
		<-stoppedLeaving
		time.Sleep(15 * time.Second)
		require.Contains(t, nodes[findLeader()].Status().Members, leavingName, "it replaces the lost voter")
		for name := range nodes {
			stop(name)
		}
	})
}
