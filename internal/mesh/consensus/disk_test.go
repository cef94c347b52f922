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

// badDisk is a disk that is slow, or has no room.
type faultyDisk struct {
	disk
	store     *store
	syncDelay atomic.Int64 // a sync, in ns
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

// trio is three nodes on disks that fail when they are told to.
type testCluster struct {
	*testing.T
	net     *testNetwork
	dirs    map[string]string
	nodes   map[string]*Node
	tables  map[string]*lineTable
	disks   map[string]*faultyDisk
	log     *memory.Handler
	founded bool

	applyDelays map[string]time.Duration // of a command, from the next start on
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

// stopAll has all end; what is under way between them is lost.
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

// leader waits until all follow one.
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

func withTestCluster(t *testing.T, play func(*testCluster)) {
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
		play(m)
	})
}

// until waits for something to hold.
func (m *testCluster) waitUntil(what string, holds func() bool) {
	for range 300 {
		if holds() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	require.Fail(m, "never: "+what)
}

// blockStore has no store made in a folder until the returned function is called.
func (m *testCluster) blockStore(name string) (unblock func()) {
	inTheWay := filepath.Join(m.dirs[name], storeName+".new")
	require.NoError(m, os.MkdirAll(filepath.Join(inTheWay, "full"), 0o755))
	return func() { require.NoError(m, os.RemoveAll(inTheWay)) }
}

// A node whose disk is full promises nothing more and leads nobody, but does not end: it takes part
// again from what is on its disk once that works, and nothing that was acknowledged is lost.
func TestFullDisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leads := m.waitForLeader()
		other := map[string]string{"a": "b", "b": "c", "c": "a"}[leads]
		require.NoError(m, m.propose(leads, "before", time.Second))
		node := m.nodes[leads]
		unblock := m.blockStore(leads)
		m.disks[leads].full.Store(true)
		require.ErrorIs(m, m.propose(leads, "meanwhile", 5*time.Second), ErrUnknown)
		m.waitUntil("suspended", func() bool { return node.Status().Role == suspendedRole })
		require.ErrorIs(m, m.propose(leads, "after", time.Second), ErrNoLeader)
		require.ErrorIs(m, node.Read(m.Context()), ErrNoLeader)
		m.waitUntil("another leader, at once", func() bool { l := m.nodes[other].Status().Leader; return l != "" && l != leads })
		require.NoError(m, m.propose(other, "by the others", 500*time.Millisecond))
		require.Len(m, node.Status().Members, 3, "agents are told of no members")
		had := m.tables[leads].appliedLines()

		<-time.After(5 * time.Second)
		require.NoFileExists(m, filepath.Join(m.dirs[leads], storeName), "what a failed sync left is trusted")
		unblock() // the store can be read back, but the first save fails again
		<-time.After(5 * time.Second)
		require.Equal(m, had, m.tables[leads].appliedLines()[:len(had)], "the table went back")
		m.disks[leads].full.Store(false)
		m.waitForLeader()
		require.NoError(m, m.propose(leads, "back", 5*time.Second))
		require.Same(m, node, m.nodes[leads])
		require.NoFileExists(m, filepath.Join(m.dirs[leads], suspectStoreName))
		require.NotEqual(m, "recovering", node.Status().Role, "it has forgotten what it promised")
		require.NoError(m, m.nodes[other].Read(m.Context()))
		require.Equal(m, m.tables[other].appliedLines(), m.tables[leads].appliedLines())
		require.Equal(m, "before", m.tables[leads].appliedLines()[0])
		require.Equal(m, []string{"by the others", "back"}, m.tables[leads].appliedLines()[len(m.tables[leads].appliedLines())-2:])
	})
}

// A node that starts into a full disk waits for it, and one whose disk does not answer ends when it
// is told to.
func TestStartAndEndWithoutADisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leads := m.waitForLeader()
		require.NoError(m, m.propose(leads, "before", time.Second))
		require.NoError(m, m.nodes[leads].Close())
		m.net.setNode(leads, nil)
		path := filepath.Join(m.dirs[leads], storeName)
		require.NoError(m, os.Rename(path, filepath.Join(m.dirs[leads], suspectStoreName)))
		unblock := m.blockStore(leads)
		m.start(leads)
		require.ErrorIs(m, m.propose(leads, "nowhere", time.Second), ErrNoLeader)
		unblock()
		require.NoError(m, m.nodes[m.waitForLeader()].Read(m.Context()))
		require.NoError(m, m.propose(leads, "back", time.Second))
		require.Equal(m, []string{"before", "back"}, m.tables[leads].appliedLines())

		m.disks[leads].syncDelay.Store(int64(time.Hour))
		require.NoError(m, m.propose(m.waitForLeader(), "by the others", time.Second))
		began := time.Now()
		require.NoError(m, m.nodes[leads].Close())
		require.LessOrEqual(m, time.Since(began), diskCloseTimeout)
		<-time.After(time.Hour) // the disk's own goroutines end
	})
}

// A slow disk slows nobody else down, also the leader's own: it goes on leading, and two others
// make a majority.
func TestSlowDisk(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leads := m.waitForLeader()
		for _, slow := range []string{leads, map[string]string{"a": "b", "b": "c", "c": "a"}[leads]} {
			m.disks[slow].syncDelay.Store(int64(2 * time.Second))
			for i := range 20 {
				require.NoError(m, m.propose(leads, fmt.Sprint(slow, i), 200*time.Millisecond))
				<-time.After(150 * time.Millisecond)
			}
			require.Equal(m, leads, m.waitForLeader())
			m.disks[slow].syncDelay.Store(0)
			for range 2 { // the first may wait for a sync that is under way
				require.NoError(m, m.propose(slow, "quick again", 3*time.Second))
				<-time.After(3 * time.Second)
			}
			require.Equal(m, uint64(1), m.nodes[leads].Status().LeaderChanges)
			require.GreaterOrEqual(t, m.nodes[slow].Status().LongestSync, 2*time.Second)
		}
		told := 0
		for _, e := range m.log.Entries {
			if e.Message == "disk" {
				told++
			}
		}
		require.Equal(m, 4, told, "slow and quick again, of two")
	})
}
