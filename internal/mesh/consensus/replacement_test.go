package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All three members are replaced while a fourth machine is down. When it returns, it knows none of
// the current voters and finds them through the seeds in its updated settings.
func TestReturnsAfterAllWereReplaced(t *testing.T) {
	l := newLossSimulation(1, 3, 4*time.Second, 5*time.Second, injectedLossBugs{})
	w := l.world
	for _, h := range w.hosts {
		w.start(h)
	}
	w.runFor(3 * time.Second)
	l.startCommand()
	away := w.host("c")
	w.stop(away)
	for _, name := range []string{"c", "a", "b"} {
		w.start(l.newHost())
		w.runFor(4 * time.Second)
		if name != "c" {
			w.runOn(w.host(name), w.host(name).incarnation, func(m *Machine) { m.Leave() })
			l.wipeOnceLeft(w.host(name))
			w.runFor(l.catchUp)
		}
	}
	require.Nil(t, w.host("a").machine)
	require.Nil(t, w.host("b").machine)
	away.seeds = []string{"n3", "n4", "n5"}
	w.start(away)
	w.runFor(5 * time.Second)
	require.Equal(t, "learner", away.machine.Status().Role)
	require.ElementsMatch(t, away.seeds, away.machine.Status().Members)
	require.Equal(t, l.leaderHost().appliedIndex, away.appliedIndex)
	l.checkAckDelay()
}

// A voter was paused while a learner took its place. It becomes a learner when it resumes, and must
// not get its vote back.
func TestFrozenAndReplaced(t *testing.T) {
	l := newLossSimulation(1, 4, 4*time.Second, 5*time.Second, injectedLossBugs{})
	w := l.world
	for _, h := range w.hosts {
		w.start(h)
	}
	w.runFor(3 * time.Second)
	frozen := w.host("c")
	frozen.pausedUntil = w.now + 3*time.Second
	w.runFor(2*time.Second + 3*heartbeatInterval)
	members := w.committedMembers
	require.ElementsMatch(t, []string{"a", "b", "n3"}, l.leaderHost().machine.Status().Members)
	w.runFor(6 * time.Second)
	require.Equal(t, "learner", frozen.machine.Status().Role)
	require.Equal(t, members, w.committedMembers, "the members changed once more")
	require.Equal(t, l.leaderHost().appliedIndex, frozen.appliedIndex)
}

// A lost machine must be replaced within catchUp after its successor has started, or after the loss
// if a learner was already available. The configuration change must be committed by then, also if
// the lost machine was the leader. The test leaves a quarter of catchUp as a margin.
func TestReplacedInTime(t *testing.T) {
	const catchUp = 4 * time.Second
	for _, hasLearner := range []bool{false, true} {
		var times []time.Duration
		for seed := uint64(1); seed <= 40; seed++ {
			l := newLossSimulation(seed, 3, catchUp, 5*time.Second, injectedLossBugs{})
			w := l.world
			for _, h := range w.hosts {
				w.start(h)
			}
			w.runFor(3 * time.Second)
			if hasLearner {
				w.start(l.newHost())
				w.runFor(time.Second)
			}
			lost := w.hosts[:3][w.rng.IntN(3)]
			if seed%2 == 0 {
				lost = l.leaderHost()
			}
			w.wipe(lost)
			if !hasLearner {
				w.runFor(w.randomDuration(500*time.Millisecond, 2*time.Second))
				w.start(l.newHost())
			}
			began := w.now
			isLost := func(v Member) bool { return v.Address == lost.address }
			for slices.ContainsFunc(w.committedMembers.allVoters(), isLost) {
				w.runFor(10 * time.Millisecond)
				require.Less(t, w.now-began, catchUp*3/4, "seed %d", seed)
			}
			times = append(times, w.now-began)
		}
		slices.Sort(times)
		t.Logf("with a learner available: %v; replaced after a median of %v, longest %v", hasLearner, times[len(times)/2], times[len(times)-1])
	}
}

// A member is told to leave while a successor is available, and at that moment the leader loses its
// disk. The new leader does not know the learner yet. The leaving member must wait until it does:
// without both there would be no quorum.
func TestLeavesAsTheLeaderIsLost(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		l := newLossSimulation(seed, 3, 4*time.Second, 5*time.Second, injectedLossBugs{})
		w := l.world
		for _, h := range w.hosts {
			w.start(h)
		}
		w.runFor(3 * time.Second)
		w.start(l.newHost())
		w.runFor(l.catchUp)
		l.startCommand()
		leaderHost := l.leaderHost()
		leaving := w.hosts[0]
		if leaving == leaderHost {
			leaving = w.hosts[1]
		}
		w.runOn(leaving, leaving.incarnation, func(m *Machine) { m.Leave() })
		w.wipe(leaderHost)
		l.wipeOnceLeft(leaving)
		w.runFor(time.Second)
		w.start(leaderHost)
		w.runFor(9 * time.Second)
		require.Nil(t, leaving.machine, "seed %d", seed)
		require.NotNil(t, l.leaderHost(), "seed %d: no quorum", seed)
		require.NotContains(t, l.leaderHost().machine.Status().Members, leaving.address, "seed %d", seed)
		require.NotPanics(t, l.checkAckDelay, "seed %d", seed)
	}
}

// The leader sends a learner the joint configuration that makes it a voter, and is lost before any
// other node has received it. The others continue without that configuration, and the learner must
// find its way back to them.
func TestUncommittedVoterFindsBack(t *testing.T) {
	l := newLossSimulation(1, 3, 4*time.Second, 5*time.Second, injectedLossBugs{})
	w := l.world
	for _, h := range w.hosts {
		w.start(h)
	}
	w.runFor(3 * time.Second)
	spare := l.newHost()
	w.start(spare)
	w.runFor(time.Second)
	leaderHost := l.leaderHost()
	for _, h := range w.hosts[:3] {
		w.cutLinks[[2]string{leaderHost.address, h.address}] = true
	}
	w.runOn(leaderHost, leaderHost.incarnation, func(m *Machine) {
		next := m.log.latestConfiguration().members
		next.Old = next.Voters
		next.Voters = append([]Member{{spare.address, spare.disk.Disk}}, next.Old[1:]...)
		m.appendMembers(next)
	})
	w.runFor(100 * time.Millisecond)
	require.True(t, spare.disk.latestMembers().isJoint())
	w.stop(leaderHost)
	clear(w.cutLinks)
	w.runFor(10 * time.Second)
	require.Equal(t, l.leaderHost().address, spare.machine.Status().Leader)
	require.Equal(t, l.leaderHost().appliedIndex, spare.appliedIndex)
	require.False(t, spare.machine.log.latestConfiguration().members.isJoint())
}

// Guards against a node with an empty disk that is never taken in again, as it counts itself a voter
// by a joint configuration that was not committed, and hears a leader that knows its lost disk only.
func TestUncommittedVoterIsTakenInAgain(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		const voters = 5
		l := newLossSimulation(seed, voters, 4*time.Second, 5*time.Second, injectedLossBugs{})
		w := l.world
		w.targetVoters = voters
		for _, h := range w.hosts {
			w.start(h)
		}
		w.runFor(8 * time.Second)
		require.Len(t, w.committedMembers.Voters, voters, "seed %d", seed)
		leaderHost := l.leaderHost()
		wiped := w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h != leaderHost })]
		lostDisk := Member{wiped.address, wiped.disk.Disk}
		w.wipe(wiped)
		w.runFor(time.Second)
		w.cutInTwo([]*host{leaderHost, wiped})
		w.start(wiped)
		w.runFor(500 * time.Millisecond)
		require.True(t, wiped.disk.latestMembers().isJoint(), "seed %d", seed)
		w.runFor(3 * time.Second)
		clear(w.cutLinks)
		w.runFor(l.catchUp)
		require.NotNil(t, l.leaderHost(), "seed %d", seed)
		require.Equal(t, l.leaderHost().appliedIndex, wiped.appliedIndex, "seed %d", seed)
		require.NotContains(t, w.committedMembers.Voters, lostDisk, "seed %d", seed)
		require.Contains(t, w.committedMembers.Voters, Member{wiped.address, wiped.disk.Disk}, "seed %d", seed)
	}
}

// cutInTwo cuts the links between some hosts and all others.
func (w *world) cutInTwo(side []*host) {
	for _, h := range side {
		for _, other := range w.hosts {
			if !slices.Contains(side, other) {
				w.cutLinks[[2]string{h.address, other.address}], w.cutLinks[[2]string{other.address, h.address}] = true, true
			}
		}
	}
}
