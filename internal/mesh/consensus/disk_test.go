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
type badDisk struct {
	disk
	store *store
	slow  atomic.Int64 // a sync, in ns
	full  atomic.Bool
}

func (d *badDisk) save(s *Save) error {
	<-time.After(time.Duration(d.slow.Load()))
	if d.full.Load() {
		d.store.failed = true
		return diskError(d.store.dir, &os.PathError{Op: "write", Path: storeName, Err: syscall.ENOSPC})
	}
	return d.disk.save(s)
}

// trio is three nodes on disks that fail when they are told to.
type trio struct {
	*testing.T
	net    *network
	dirs   map[string]string
	nodes  map[string]*Node
	tables map[string]*lines
	disks  map[string]*badDisk
	log    *memory.Handler
	begun  bool
}

func (m *trio) start(name string) {
	m.tables[name], m.disks[name] = &lines{}, &badDisk{}
	node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: !m.begun, Dir: m.dirs[name], Table: m.tables[name],
		Send: m.net.send, Log: &log.Logger{Handler: m.log}, disk: func(d disk) disk {
			m.disks[name].disk, m.disks[name].store = d, d.(*store)
			return m.disks[name]
		}})
	require.NoError(m, err)
	m.nodes[name] = node
	m.net.set(name, node)
}

func (m *trio) propose(name, text string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(m.Context(), within)
	defer cancel()
	_, err := m.nodes[name].Propose(ctx, []byte(text))
	return err
}

// leader waits until all follow one.
func (m *trio) leader() string {
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

func withTrio(t *testing.T, play func(*trio)) {
	m := &trio{dirs: map[string]string{}, nodes: map[string]*Node{}, tables: map[string]*lines{}, disks: map[string]*badDisk{}}
	for _, name := range []string{"a", "b", "c"} {
		m.dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		m.T, m.log, m.net = t, memory.New(), &network{nodes: map[string]*Node{}}
		for name := range m.dirs {
			m.start(name)
		}
		defer func() {
			for _, n := range m.nodes {
				n.Close()
			}
		}()
		m.begun = true
		play(m)
	})
}

// A node whose disk is full ends, and promises nothing more; nothing that was acknowledged is lost.
func TestFullDisk(t *testing.T) {
	withTrio(t, func(m *trio) {
		leads := m.leader()
		require.NoError(t, m.propose(leads, "before", time.Second))
		m.disks[leads].full.Store(true)
		require.ErrorIs(t, m.propose(leads, "meanwhile", 5*time.Second), ErrUnknown)
		<-m.nodes[leads].Done()
		m.net.set(leads, nil)
		require.ErrorIs(t, m.propose(leads, "after", time.Second), ErrClosed)
		err := m.nodes[leads].Close()
		require.ErrorIs(t, err, syscall.ENOSPC)
		require.ErrorContains(t, err, "make room for it and start the node again")
		require.NoFileExists(t, filepath.Join(m.dirs[leads], storeName))

		other := map[string]string{"a": "b", "b": "c", "c": "a"}[leads]
		<-time.After(3 * time.Second)
		require.NoError(t, m.propose(other, "by the others", time.Second))
		was := m.disks[leads].store
		m.start(leads)
		require.NoFileExists(t, filepath.Join(was.dir, suspectName))
		m.leader()
		require.NoError(t, m.propose(leads, "back", 5*time.Second))
		require.Equal(t, "before", m.tables[leads].get()[0])
		require.Equal(t, []string{"by the others", "back"}, m.tables[leads].get()[len(m.tables[leads].get())-2:])
		require.NotEqual(t, "recovering", m.nodes[leads].Status().Role, "it has forgotten what it promised")
	})
}

// A slow disk slows nobody else down, also the leader's own: it goes on leading, and two others
// make a majority.
func TestSlowDisk(t *testing.T) {
	withTrio(t, func(m *trio) {
		leads := m.leader()
		for _, slow := range []string{leads, map[string]string{"a": "b", "b": "c", "c": "a"}[leads]} {
			m.disks[slow].slow.Store(int64(2 * time.Second))
			for i := range 20 {
				require.NoError(t, m.propose(leads, fmt.Sprint(slow, i), 200*time.Millisecond))
				<-time.After(150 * time.Millisecond)
			}
			require.Equal(t, leads, m.leader())
			m.disks[slow].slow.Store(0)
			for range 2 { // the first may wait for a sync that is under way
				require.NoError(t, m.propose(slow, "quick again", 3*time.Second))
				<-time.After(3 * time.Second)
			}
			require.Equal(t, uint64(1), m.nodes[leads].Status().LeaderChanges)
			require.GreaterOrEqual(t, m.nodes[slow].Status().SyncMax, 2*time.Second)
		}
		told := 0
		for _, e := range m.log.Entries {
			if e.Message == "disk" {
				told++
			}
		}
		require.Equal(t, 4, told, "slow and quick again, of two")
	})
}
