package consensus

import (
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// suspend is a save that fails, done or not: the machine is given up, and the table stays. See
// reopen.go.
func (w *world) suspendHost(h *host) {
	w.suspended++
	for _, msg := range h.machine.resign() {
		w.send(msg)
	}
	w.stop(h)
	h.kept = true
	w.after(w.within(0, 2*time.Second), func() { w.revive(h) })
}

// step hands a machine a message, with the faults that are planted.
func (w *world) deliver(m *Machine, msg Message) {
	if msg.Kind != InstallSnapshot {
		m.HandleMessage(msg)
		return
	}
	if in := m.incomingSnapshot; w.bugs.mixChunks && in != nil && msg.Term >= m.hardState.Term {
		msg.Sum = crc32.Checksum(append(slices.Clone(in.data), msg.Snapshot.Data...), castagnoli)
		in.transferID = transferID{Member{msg.From, msg.Disk}, msg.Term, Place{msg.Snapshot.Term, msg.Snapshot.Index},
			msg.Size, msg.Sum}
	}
	had := m.snapshot
	m.HandleMessage(msg)
	if m.snapshot != had {
		if msg.Offset > 0 {
			w.installs++
		}
		if w.bugs.dropTerm {
			m.log.baseTerm = 0
		}
	}
}

// exploreSnapshots plays a seed of the explorer in which snapshots are taken every few entries and
// go in small chunks, over links that lose them, and in which saves fail, take seconds, or end in a
// crash.
func exploreSnapshots(seed uint64, bugs injectedBugs) (w *world, trouble any) {
	w = newWorld(seed, bugs)
	w.compact, w.chunk = pick(w, uint64(3), 8), pick(w, 200, 700)
	w.broken, w.slowest = pick(w, 0, 0.01, 0.05), 3*time.Second
	return w, w.play()
}

func TestExploreSnapshots(t *testing.T) {
	acks, installs, suspended := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/2; seed++ {
		w, trouble := exploreSnapshots(seed, injectedBugs{})
		require.Nil(t, trouble, "seed %d", seed)
		acks, installs, suspended = acks+w.acks, installs+w.installs, suspended+w.suspended
	}
	t.Logf("%d acknowledged, %d snapshots in several chunks, %d disks that failed", acks, installs, suspended)
	require.Greater(t, acks, *seedCount*5, "too little came through to tell anything")
	require.Greater(t, installs, *seedCount/2)
	require.Greater(t, suspended, *seedCount/2)
}

func TestExploreSnapshotsFindsPlanted(t *testing.T) {
	for name, p := range map[string]injectedBugs{
		"a snapshot without its term":           {dropTerm: true},
		"a chunk of another snapshot":           {mixChunks: true},
		"compacted beyond the snapshot on disk": {keepOldImage: true},
		"a failed save is trusted":              {trustFailed: true},
		"a restarted node has old state":        {oldState: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(300), "not found")
				if _, trouble := exploreSnapshots(seed, p); trouble != nil && !strings.Contains(fmt.Sprint(trouble), "after all") {
					t.Logf("seed %d: %.200v", seed, trouble)
					return
				}
			}
		})
	}
}

// After its disk failed, a node's table may be ahead of what the machine has applied anew. No
// snapshot is taken of it then, since it would stand at the wrong index.
func TestNoSnapshotOfATableAhead(t *testing.T) {
	state := State{Disk: 1, Founder: true, Hard: Hard{Term: 1}, Entries: BootstrapEntries([]string{"a", "b", "c"})}
	for i := uint64(2); i <= 20; i++ {
		state.Entries = append(state.Entries, Entry{Index: i, Term: 1, Origin: 1, ID: i, Command: []byte{1}})
	}
	m := New(Config{Self: "a", Seeds: seedNames, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: state, TableIndex: 15})
	m.compactEntries = 4
	for commit, due := range []bool{12: false, 14: false, 15: true} {
		if commit < 12 {
			continue
		}
		m.commitTo(uint64(commit))
		o := m.NextOutput()
		require.Equal(t, due, o.Compact, "at %d", commit)
	}
}

// Followers whose disks are both slow, as when all write a snapshot, cost the leader no quorum: it
// goes on leading, and what it is asked is acknowledged when they have synced it.
func TestTwoSlowDisks(t *testing.T) {
	withTrio(t, func(m *trio) {
		leads := m.leader()
		for name, disk := range m.disks {
			if name != leads {
				disk.slow.Store(int64(2500 * time.Millisecond))
			}
		}
		for i := range 5 {
			require.NoError(m, m.propose(leads, fmt.Sprint(i), 6*time.Second))
			require.NoError(m, m.nodes[leads].Read(m.Context()))
		}
		require.Equal(m, leads, m.leader())
		require.Equal(m, uint64(1), m.nodes[leads].Status().LeaderChanges)
		for _, disk := range m.disks {
			disk.slow.Store(0)
		}
	})
}

// A disk that doesn't answer for long is as good as lost: its node is heard of no more.
func TestStalledDiskIsUnheard(t *testing.T) {
	withTrio(t, func(m *trio) {
		leads := m.leader()
		for name, disk := range m.disks {
			if name != leads {
				disk.slow.Store(int64(time.Minute))
			}
		}
		require.ErrorIs(m, m.propose(leads, "never", 9*time.Second), ErrUnknown)
		require.NotEqual(m, "leader", m.nodes[leads].Status().Role)
		for _, disk := range m.disks {
			disk.slow.Store(0)
		}
		<-time.After(2 * time.Minute)
		m.leader()
	})
}
