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

// suspendHost simulates a failed save, which may or may not have reached the disk: the machine is
// discarded and the table is kept. See reopen.go.
func (w *world) suspendHost(h *host) {
	w.suspensions++
	for _, msg := range h.machine.resignationMessages() {
		w.send(msg)
	}
	w.stop(h)
	h.keepsTable = true
	w.schedule(w.randomDuration(0, 2*time.Second), func() { w.restart(h) })
}

// deliver passes a message to a machine, with the injected bugs.
func (w *world) deliver(m *Machine, msg Message) {
	if w.bugs.takesMessagesForLostDisk && m.isForOtherDisk(msg) {
		msg.ToDisk = m.diskID
	}
	if msg.Kind != InstallSnapshot {
		m.HandleMessage(msg)
		return
	}
	if receiving := m.incomingSnapshot; w.bugs.mixesChunks && receiving != nil && msg.Term >= m.hardState.Term {
		msg.Sum = crc32.Checksum(append(slices.Clone(receiving.data), msg.Snapshot.Data...), castagnoli)
		receiving.transferID = transferID{Member{msg.From, msg.Disk}, msg.Term, Place{msg.Snapshot.Term, msg.Snapshot.Index},
			msg.Size, msg.Sum}
	}
	previous := m.snapshot
	m.HandleMessage(msg)
	if m.snapshot != previous {
		if msg.Offset > 0 {
			w.multiChunkInstalls++
		}
		if w.bugs.dropsSnapshotTerm {
			m.log.baseTerm = 0
		}
	}
}

// exploreSnapshots runs a seed of the simulation in which snapshots are taken every few entries and
// sent in small chunks over lossy links, and in which saves fail, take seconds, or end in a crash.
func exploreSnapshots(seed uint64, bugs injectedBugs) (w *world, failure any) {
	w = newWorld(seed, bugs)
	if *voterCount > 0 {
		w.resize(*voterCount, *voterCount+1)
	}
	w.compactEntries, w.chunkBytes = pickOne(w, uint64(3), 8), pickOne(w, 200, 700)
	w.saveFailureRate, w.maxSlowSyncTime = pickOne(w, 0, 0.01, 0.05), 3*time.Second
	return w, w.runWithFaults()
}

func TestExploreSnapshots(t *testing.T) {
	acks, installs, suspended := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/2; seed++ {
		w, failure := exploreSnapshots(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
		acks, installs, suspended = acks+w.ackCount, installs+w.multiChunkInstalls, suspended+w.suspensions
	}
	t.Logf("%d acknowledged, %d snapshots installed from several chunks, %d failed disks", acks, installs, suspended)
	require.Greater(t, acks, *seedCount*5, "too few calls succeeded for a meaningful check")
	require.Greater(t, installs, *seedCount/2)
	require.Greater(t, suspended, *seedCount/2)
}

// Guards against a node that never completes a snapshot, as it also takes in one for its lost disk: at
// these seeds random faults led to that.
func TestExploreSnapshotsFoundSeeds(t *testing.T) {
	for _, seed := range []uint64{5001790, 7033049, 7042080} {
		_, failure := exploreSnapshots(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
	}
}

func TestExploreSnapshotsFindsPlanted(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{
		"a snapshot without its term":           {dropsSnapshotTerm: true},
		"a chunk of another snapshot":           {mixesChunks: true},
		"compacted beyond the snapshot on disk": {keepsOldSnapshot: true},
		"a failed save is trusted":              {ignoresSaveFailures: true},
		"a restarted node has old state":        {losesLatestEntries: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(300), "not found")
				if _, failure := exploreSnapshots(seed, bugs); failure != nil && !strings.Contains(fmt.Sprint(failure), "after all") {
					t.Logf("seed %d: %.200v", seed, failure)
					return
				}
			}
		})
	}
}

// After a disk failure, the table may be ahead of what the new machine has applied. No snapshot may
// be taken then, because it would be labeled with the wrong index.
func TestNoSnapshotOfATableAhead(t *testing.T) {
	state := State{Disk: 1, Founder: true, Hard: Hard{Term: 1}, Entries: BootstrapEntries([]string{"a", "b", "c"})}
	for i := uint64(2); i <= 20; i++ {
		state.Entries = append(state.Entries, Entry{Index: i, Term: 1, Origin: 1, ID: i, Command: []byte{1}})
	}
	m := New(Config{Self: "a", Seeds: seedNames, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: state, TableIndex: 15})
	m.compactEntries = 4
	for commit, wantCompact := range []bool{12: false, 14: false, 15: true} {
		if commit < 12 {
			continue
		}
		m.commitTo(uint64(commit))
		o := m.NextOutput()
		require.Equal(t, wantCompact, o.Compact, "at %d", commit)
	}
}

// Followers that both have slow disks, as when every node writes a snapshot, must not cost the
// leader its quorum: it remains leader, and proposals are acknowledged once the followers have
// synced them.
func TestTwoSlowDisks(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		for name, disk := range m.disks {
			if name != leaderName {
				disk.syncDelay.Store(int64(2500 * time.Millisecond))
			}
		}
		for i := range 5 {
			require.NoError(m, m.propose(leaderName, fmt.Sprint(i), 6*time.Second))
			require.NoError(m, m.nodes[leaderName].Read(m.Context()))
		}
		require.Equal(m, leaderName, m.waitForLeader())
		require.Equal(m, uint64(1), m.nodes[leaderName].Status().LeaderChanges)
		for _, disk := range m.disks {
			disk.syncDelay.Store(0)
		}
	})
}

// A disk that stalls for a long time counts as lost, and its node as unreachable.
func TestStalledDiskIsUnheard(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		for name, disk := range m.disks {
			if name != leaderName {
				disk.syncDelay.Store(int64(time.Minute))
			}
		}
		require.ErrorIs(m, m.propose(leaderName, "never", 9*time.Second), ErrUnknown)
		require.NotEqual(m, "leader", m.nodes[leaderName].Status().Role)
		for _, disk := range m.disks {
			disk.syncDelay.Store(0)
		}
		<-time.After(2 * time.Minute)
		m.waitForLeader()
	})
}
