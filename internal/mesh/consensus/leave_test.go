package consensus

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// testNodeNames are three voters and a learner.
var testNodeNames = []string{"a", "b", "c", "d"}

// testNodeDirs creates the data folders for startTestNodes. It must be called outside of a synctest
// bubble.
func testNodeDirs(t *testing.T) map[string]string {
	dirs := map[string]string{}
	for _, name := range testNodeNames {
		dirs[name] = t.TempDir()
	}
	return dirs
}

// startTestNodes starts three voters and a learner.
func startTestNodes(t *testing.T, dirs map[string]string) (*testNetwork, map[string]*Node) {
	net := &testNetwork{nodes: map[string]*Node{}}
	nodes := map[string]*Node{}
	for _, name := range testNodeNames {
		node, err := Start(Options{Self: name, Seeds: testNodeNames[:3], FirstStart: name != "d", Dir: dirs[name], Table: &lineTable{},
			Send: net.send, Log: &log.Logger{Handler: discard.Default}})
		require.NoError(t, err)
		nodes[name] = node
		net.setNode(name, node)
	}
	return net, nodes
}

func stopTestNode(t *testing.T, net *testNetwork, nodes map[string]*Node, name string) {
	net.setNode(name, nil)
	require.NoError(t, nodes[name].Close())
	delete(nodes, name)
}

// A leader that is told to leave hands over its vote and its leadership before it ends, so that the
// loss of one more node can be tolerated. If no node can take over its vote, it ends soon anyway.
func TestNodesLeave(t *testing.T) {
	dirs := testNodeDirs(t)
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startTestNodes(t, dirs)
		stop := func(name string) { stopTestNode(t, net, nodes, name) }
		waitForLeader := func() (leaderName string) {
			for leaderName == "" {
				time.Sleep(10 * time.Millisecond)
				for name, n := range nodes {
					if n.Status().Role == "leader" {
						leaderName = name
					}
				}
			}
			return leaderName
		}
		leave := func(name string, limit time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*leaveTimeout)
			defer cancel()
			began := time.Now()
			nodes[name].Leave(ctx)
			require.Less(t, time.Since(began), limit, name)
		}
		propose := func() {
			for name, n := range nodes {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := n.Propose(ctx, []byte(fmt.Sprint("by ", name)))
				require.NoError(t, err, name)
			}
		}
		waitForLeader()
		time.Sleep(3 * time.Second)
		propose()
		departed := waitForLeader()
		leave(departed, 300*time.Millisecond)
		require.NotContains(t, nodes[waitForLeader()].Status().Members, departed)
		require.Contains(t, nodes[waitForLeader()].Status().Members, "d")
		stop(departed)
		propose()
		stop(waitForLeader()) // two of three voters are left
		waitForLeader()
		time.Sleep(time.Second)
		propose()
		time.Sleep(2 * time.Second)
		leave(waitForLeader(), 300*time.Millisecond) // no node can take over its vote
		for name := range nodes {
			stop(name)
		}
	})
}
