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

func (m *testCluster) start(name string) {
	m.tables[name], m.disks[name] = &lineTable{applyDelay: m.applyDelays[name]}, &faultyDisk{}
	node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: !m.founded, Dir: m.dirs[name], Table: m.tables[name],
		Send: m.net.send, Log: &log.Logger{Handler: m.log}, wrapDisk: func(d disk) disk {
			m.disks[name].disk, m.disks[name].store = d, d.(*store)
			return m.disks[name]
		}})
	require.NoError(m, err)
	m.nodes[name] = node
	m.net.setNode(name, node)
}

// stopAll stops all nodes. Messages in flight are lost.
func (m *testCluster) stopAll() {
	for name, node := range m.nodes {
		m.net.setNode(name, nil)
		require.NoError(m, node.Close())
	}
	<-time.After(time.Second)
}

func (m *testCluster) propose(name, text string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(m.Context(), within)
	defer cancel()
	_, err := m.nodes[name].Propose(ctx, []byte(text))
	return err
}

// waitForLeader waits until all nodes follow the same leader, and returns its name.
func (m *testCluster) waitForLeader() string {
	for range 100 {
		<-time.After(100 * time.Millisecond)
		found := m.nodes["a"].Status().Leader
		if found != "" && found == m.nodes["b"].Status().Leader && found == m.nodes["c"].Status().Leader && m.nodes[found].Status().Role == "leader" {
			return found
		}
	}
	require.Fail(m, "no leader")
	return ""
}

func withTestCluster(t *testing.T, test func(*testCluster)) {
	m := &testCluster{dirs: map[string]string{}, nodes: map[string]*Node{}, tables: map[string]*lineTable{}, disks: map[string]*faultyDisk{}}
	for _, name := range []string{"a", "b", "c"} {
		m.dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		m.T, m.log, m.net = t, memory.New(), &testNetwork{nodes: map[string]*Node{}}
		for name := range m.dirs {
			m.start(name)
		}
		defer func() {
			for _, n := range m.nodes {
				n.Close()
			}
		}()
		m.founded = true
		test(m)
	})
}

// waitUntil waits up to 6 s until a condition is met.
func (m *testCluster) waitUntil(description string, isMet func() bool) {
	for range 300 {
		if isMet() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	require.Fail(m, "timeout while waiting for: "+description)
}

// blockStore prevents that a store is created in a node's folder until unblock is called.
func (m *testCluster) blockStore(name string) (unblock func()) {
	obstacle := filepath.Join(m.dirs[name], storeName+".new")
	require.NoError(m, os.MkdirAll(filepath.Join(obstacle, "full"), 0o755))
	return func() { require.NoError(m, os.RemoveAll(obstacle)) }
}

// A node whose disk is full neither acknowledges nor leads, but its process keeps running. Once the
// disk works again, the node continues from what is on it, and no acknowledged entry is lost.
func TestFullDisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		other := map[string]string{"a": "b", "b": "c", "c": "a"}[leaderName]
		require.NoError(m, m.propose(leaderName, "before", time.Second))
		node := m.nodes[leaderName]
		unblock := m.blockStore(leaderName)
		m.disks[leaderName].full.Store(true)
		require.ErrorIs(m, m.propose(leaderName, "meanwhile", 5*time.Second), ErrUnknown)
		m.waitUntil("suspended", func() bool { return node.Status().Role == suspendedRole })
		require.ErrorIs(m, m.propose(leaderName, "after", time.Second), ErrNoLeader)
		require.ErrorIs(m, node.Read(m.Context()), ErrNoLeader)
		m.waitUntil("another leader, at once", func() bool { l := m.nodes[other].Status().Leader; return l != "" && l != leaderName })
		require.NoError(m, m.propose(other, "by the others", 500*time.Millisecond))
		require.Len(m, node.Status().Members, 3, "the status has no members")
		appliedBefore := m.tables[leaderName].appliedLines()

		<-time.After(5 * time.Second)
		require.NoFileExists(m, filepath.Join(m.dirs[leaderName], storeName), "the file that a failed sync left is used without a rewrite")
		unblock() // the store can be read back, but the first save fails again
		<-time.After(5 * time.Second)
		require.Equal(m, appliedBefore, m.tables[leaderName].appliedLines()[:len(appliedBefore)], "the table lost entries")
		m.disks[leaderName].full.Store(false)
		m.waitForLeader()
		require.NoError(m, m.propose(leaderName, "back", 5*time.Second))
		require.Same(m, node, m.nodes[leaderName])
		require.NoFileExists(m, filepath.Join(m.dirs[leaderName], suspectStoreName))
		require.NotEqual(m, "recovering", node.Status().Role, "it has lost its votes and acknowledgements")
		require.NoError(m, m.nodes[other].Read(m.Context()))
		require.Equal(m, m.tables[other].appliedLines(), m.tables[leaderName].appliedLines())
		require.Equal(m, "before", m.tables[leaderName].appliedLines()[0])
		require.Equal(m, []string{"by the others", "back"}, m.tables[leaderName].appliedLines()[len(m.tables[leaderName].appliedLines())-2:])
	})
}

// A node that starts while its disk is full waits until the disk works. A node whose disk does not
// respond can still be closed.
func TestStartAndEndWithoutADisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		require.NoError(m, m.propose(leaderName, "before", time.Second))
		require.NoError(m, m.nodes[leaderName].Close())
		m.net.setNode(leaderName, nil)
		path := filepath.Join(m.dirs[leaderName], storeName)
		require.NoError(m, os.Rename(path, filepath.Join(m.dirs[leaderName], suspectStoreName)))
		unblock := m.blockStore(leaderName)
		m.start(leaderName)
		require.ErrorIs(m, m.propose(leaderName, "nowhere", time.Second), ErrNoLeader)
		unblock()
		require.NoError(m, m.nodes[m.waitForLeader()].Read(m.Context()))
		require.NoError(m, m.propose(leaderName, "back", time.Second))
		require.Equal(m, []string{"before", "back"}, m.tables[leaderName].appliedLines())

		m.disks[leaderName].syncDelay.Store(int64(time.Hour))
		require.NoError(m, m.propose(m.waitForLeader(), "by the others", time.Second))
		startedAt := time.Now()
		require.NoError(m, m.nodes[leaderName].Close())
		require.LessOrEqual(m, time.Since(startedAt), diskCloseTimeout)
		<-time.After(time.Hour) // until the goroutines of the faulty disk end
	})
}

// A slow disk of one node must not slow down the mesh, even if it is the leader's: the leader keeps
// leading, and the other two nodes are a majority.
func TestSlowDisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		for _, slowName := range []string{leaderName, map[string]string{"a": "b", "b": "c", "c": "a"}[leaderName]} {
			m.disks[slowName].syncDelay.Store(int64(2 * time.Second))
			for i := range 20 {
				require.NoError(m, m.propose(leaderName, fmt.Sprint(slowName, i), 200*time.Millisecond))
				<-time.After(150 * time.Millisecond)
			}
			require.Equal(m, leaderName, m.waitForLeader())
			m.disks[slowName].syncDelay.Store(0)
			for range 2 { // the first one may wait for a slow sync that is still in progress
				require.NoError(m, m.propose(slowName, "quick again", 3*time.Second))
				<-time.After(3 * time.Second)
			}
			require.Equal(m, uint64(1), m.nodes[leaderName].Status().LeaderChanges)
			require.GreaterOrEqual(t, m.nodes[slowName].Status().LongestSync, 2*time.Second)
		}
		diskLogLines := 0
		for _, e := range m.log.Entries {
			if e.Message == "disk" {
				diskLogLines++
			}
		}
		require.Equal(m, 4, diskLogLines, "two disks each became slow and then fast again")
	})
}
