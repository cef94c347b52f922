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

// fourNames are of three voters and a learner.
var testNodeNames = []string{"a", "b", "c", "d"}

// fourDirs are folders for startFour; they are made outside of a bubble of virtual time.
func testNodeDirs(t *testing.T) map[string]string {
	dirs := map[string]string{}
	for _, name := range testNodeNames {
		dirs[name] = t.TempDir()
	}
	return dirs
}

// startFour starts three voters and a learner that find one another.
func startTestNodes(t *testing.T, dirs map[string]string) (*network, map[string]*Node) {
	net := &network{nodes: map[string]*Node{}}
	nodes := map[string]*Node{}
	for _, name := range testNodeNames {
		node, err := Start(Options{Self: name, Seeds: testNodeNames[:3], FirstStart: name != "d", Dir: dirs[name], Table: &lines{},
			Send: net.send, Log: &log.Logger{Handler: discard.Default}})
		require.NoError(t, err)
		nodes[name] = node
		net.set(name, node)
	}
	return net, nodes
}

func stopTestNode(t *testing.T, net *network, nodes map[string]*Node, name string) {
	net.set(name, nil)
	require.NoError(t, nodes[name].Close())
	delete(nodes, name)
}

// A leader that is told to go gives its vote and its leadership away before it ends, and then one
// more may be lost. Without anybody to take its vote a node ends soon all the same.
func TestNodesLeave(t *testing.T) {
	dirs := testNodeDirs(t)
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startTestNodes(t, dirs)
		stop := func(name string) { stopTestNode(t, net, nodes, name) }
		leads := func() (leader string) {
			for leader == "" {
				time.Sleep(10 * time.Millisecond)
				for name, n := range nodes {
					if n.Status().Role == "leader" {
						leader = name
					}
				}
			}
			return leader
		}
		leave := func(name string, within time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*leaveTimeout)
			defer cancel()
			began := time.Now()
			nodes[name].Leave(ctx)
			require.Less(t, time.Since(began), within, name)
		}
		propose := func() {
			for name, n := range nodes {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := n.Propose(ctx, []byte(fmt.Sprint("by ", name)))
				require.NoError(t, err, name)
			}
		}
		leads()
		time.Sleep(3 * time.Second)
		propose()
		gone := leads()
		leave(gone, 300*time.Millisecond)
		require.NotContains(t, nodes[leads()].Status().Members, gone)
		require.Contains(t, nodes[leads()].Status().Members, "d")
		stop(gone)
		propose()
		stop(leads()) // one more, and two of three are left
		leads()
		time.Sleep(time.Second)
		propose()
		time.Sleep(2 * time.Second)
		leave(leads(), 300*time.Millisecond) // nobody can take its vote
		for name := range nodes {
			stop(name)
		}
	})
}
