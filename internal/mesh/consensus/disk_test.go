package consensus

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"
)

// faultyDisk is a disk that is slow or full.
type faultyDisk struct {
	disk
	store     *store
	syncDelay atomic.Int64 // duration of a sync in nanoseconds
	full      atomic.Bool
}

func (d *faultyDisk) save(s *Save) error {
	<-time.After(time.Duration(d.syncDelay.Load()))
	if d.full.Load() {
		d.store.saveFailed = true
		return diskError(d.store.dir, &os.PathError{Op: "write", Path: storeName, Err: syscall.ENOSPC})
	}
	return d.disk.save(s)
}

// testCluster is a cluster of three nodes, whose disks fail on request.
type testCluster struct {
	*testing.T
	net     *testNetwork
	dirs    map[string]string
	nodes   map[string]*Node
	tables  map[string]*lineTable
	disks   map[string]*faultyDisk
	log     *memory.Handler
	founded bool

	applyDelays map[string]time.Duration // time to apply a command, used from the next start on
}

func (c *testCluster) start(name string) {
	c.tables[name], c.disks[name] = &lineTable{applyDelay: c.applyDelays[name]}, &faultyDisk{}
	node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: !c.founded, Dir: c.dirs[name], Table: c.tables[name],
		Send: c.net.send, Log: &log.Logger{Handler: c.log}, wrapDisk: func(d disk) disk {
			c.disks[name].disk, c.disks[name].store = d, d.(*store)
			return c.disks[name]
		}})
	require.NoError(c, err)
	c.nodes[name] = node
	c.net.setNode(name, node)
}

// stopAll stops all nodes. Messages in flight are lost.
func (c *testCluster) stopAll() {
	for name, node := range c.nodes {
		c.net.setNode(name, nil)
		require.NoError(c, node.Close())
	}
	<-time.After(time.Second)
}

func (c *testCluster) propose(name, text string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), within)
	defer cancel()
	_, err := c.nodes[name].Propose(ctx, []byte(text))
	return err
}

// waitForLeader waits until all nodes follow the same leader, and returns its name.
func (c *testCluster) waitForLeader() string {
	for range 100 {
		<-time.After(100 * time.Millisecond)
		found := c.nodes["a"].Status().Leader
		if found != "" && found == c.nodes["b"].Status().Leader && found == c.nodes["c"].Status().Leader && c.nodes[found].Status().Role == "leader" {
			return found
		}
	}
	require.Fail(c, "no leader")
	return ""
}

func withTestCluster(t *testing.T, test func(*testCluster)) {
	c := &testCluster{dirs: map[string]string{}, nodes: map[string]*Node{}, tables: map[string]*lineTable{}, disks: map[string]*faultyDisk{}}
	for _, name := range []string{"a", "b", "c"} {
		c.dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		c.T, c.log, c.net = t, memory.New(), &testNetwork{nodes: map[string]*Node{}}
		for name := range c.dirs {
			c.start(name)
		}
		defer func() {
			for _, n := range c.nodes {
				n.Close()
			}
		}()
		c.founded = true
		test(c)
	})
}

// waitUntil waits up to 6 s until a condition is met.
func (c *testCluster) waitUntil(description string, isMet func() bool) {
	for range 300 {
		if isMet() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	require.Fail(c, "timeout while waiting for: "+description)
}

// blockStore prevents a store from being created in a node's folder until unblock is called.
func (c *testCluster) blockStore(name string) (unblock func()) {
	obstacle := filepath.Join(c.dirs[name], storeName+".new")
	require.NoError(c, os.MkdirAll(filepath.Join(obstacle, "full"), 0o755))
	return func() { require.NoError(c, os.RemoveAll(obstacle)) }
}

// A node whose disk is full neither acknowledges nor leads, but its process keeps running. Once the
// disk works again, the node continues from what is on it, and no acknowledged entry is lost.
func TestFullDisk(t *testing.T) {
	withTestCluster(t, func(c *testCluster) {
		leaderName := c.waitForLeader()
		other := map[string]string{"a": "b", "b": "c", "c": "a"}[leaderName]
		require.NoError(c, c.propose(leaderName, "before", time.Second))
		node := c.nodes[leaderName]
		unblock := c.blockStore(leaderName)
		c.disks[leaderName].full.Store(true)
		require.ErrorIs(c, c.propose(leaderName, "meanwhile", 5*time.Second), ErrUnknown)
		c.waitUntil("suspended", func() bool { return node.Status().Role == suspendedRole })
		require.ErrorIs(c, c.propose(leaderName, "after", time.Second), ErrNoLeader)
		require.ErrorIs(c, node.Read(c.Context()), ErrNoLeader)
		c.waitUntil("another leader, at once", func() bool { l := c.nodes[other].Status().Leader; return l != "" && l != leaderName })
		require.NoError(c, c.propose(other, "by the others", 500*time.Millisecond))
		require.Len(c, node.Status().Members, 3, "the status has no members")
		appliedBefore := c.tables[leaderName].appliedLines()

		<-time.After(5 * time.Second)
		require.NoFileExists(c, filepath.Join(c.dirs[leaderName], storeName), "the file that a failed sync left is used without a rewrite")
		unblock() // the store can be read back, but the first save fails again
		<-time.After(5 * time.Second)
		require.Equal(c, appliedBefore, c.tables[leaderName].appliedLines()[:len(appliedBefore)], "the table lost entries")
		c.disks[leaderName].full.Store(false)
		c.waitForLeader()
		require.NoError(c, c.propose(leaderName, "back", 5*time.Second))
		require.Same(c, node, c.nodes[leaderName])
		require.NoFileExists(c, filepath.Join(c.dirs[leaderName], suspectStoreName))
		require.NotEqual(c, "recovering", node.Status().Role, "it has lost its votes and acknowledgements")
		require.NoError(c, c.nodes[other].Read(c.Context()))
		require.Equal(c, c.tables[other].appliedLines(), c.tables[leaderName].appliedLines())
		require.Equal(c, "before", c.tables[leaderName].appliedLines()[0])
		require.Equal(c, []string{"by the others", "back"}, c.tables[leaderName].appliedLines()[len(c.tables[leaderName].appliedLines())-2:])
	})
}

// A node that starts while its disk is full waits until the disk works. A node whose disk does not
// respond can still be closed.
func TestStartAndEndWithoutADisk(t *testing.T) {
	withTestCluster(t, func(c *testCluster) {
		leaderName := c.waitForLeader()
		require.NoError(c, c.propose(leaderName, "before", time.Second))
		require.NoError(c, c.nodes[leaderName].Close())
		c.net.setNode(leaderName, nil)
		path := filepath.Join(c.dirs[leaderName], storeName)
		require.NoError(c, os.Rename(path, filepath.Join(c.dirs[leaderName], suspectStoreName)))
		unblock := c.blockStore(leaderName)
		c.start(leaderName)
		require.ErrorIs(c, c.propose(leaderName, "nowhere", time.Second), ErrNoLeader)
		unblock()
		require.NoError(c, c.nodes[c.waitForLeader()].Read(c.Context()))
		require.NoError(c, c.propose(leaderName, "back", time.Second))
		require.Equal(c, []string{"before", "back"}, c.tables[leaderName].appliedLines())

		c.disks[leaderName].syncDelay.Store(int64(time.Hour))
		require.NoError(c, c.propose(c.waitForLeader(), "by the others", time.Second))
		startedAt := time.Now()
		require.NoError(c, c.nodes[leaderName].Close())
		require.LessOrEqual(c, time.Since(startedAt), diskCloseTimeout)
		<-time.After(time.Hour) // until the goroutines of the faulty disk end
	})
}

// A slow disk of one node must not slow down the mesh, even if it is the leader's: the leader keeps
// leading, and the other two nodes are a majority.
func TestSlowDisk(t *testing.T) {
	withTestCluster(t, func(c *testCluster) {
		leaderName := c.waitForLeader()
		for _, slowName := range []string{leaderName, map[string]string{"a": "b", "b": "c", "c": "a"}[leaderName]} {
			c.disks[slowName].syncDelay.Store(int64(2 * time.Second))
			for i := range 20 {
				require.NoError(c, c.propose(leaderName, fmt.Sprint(slowName, i), 200*time.Millisecond))
				<-time.After(150 * time.Millisecond)
			}
			require.Equal(c, leaderName, c.waitForLeader())
			c.disks[slowName].syncDelay.Store(0)
			for range 2 { // the first one may wait for a slow sync that is still in progress
				require.NoError(c, c.propose(slowName, "quick again", 3*time.Second))
				<-time.After(3 * time.Second)
			}
			require.Equal(c, uint64(1), c.nodes[leaderName].Status().LeaderChanges)
			require.GreaterOrEqual(t, c.nodes[slowName].Status().LongestSync, 2*time.Second)
		}
		diskLogLines := 0
		for _, e := range c.log.Entries {
			if e.Message == "disk" {
				diskLogLines++
			}
		}
		require.Equal(c, 4, diskLogLines, "two disks each became slow and then fast again")
	})
}
