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
	l := newLosses(1, 3, 4*time.Second, 5*time.Second, lossPlant{})
	w := l.w
	for _, h := range w.hosts {
		w.start(h)
	}
	w.run(3 * time.Second)
	l.begin()
	away := w.host("c")
	w.stop(away)
	for _, name := range []string{"c", "a", "b"} {
		w.start(l.newHost())
		w.run(4 * time.Second)
		if name != "c" {
			w.touch(w.host(name), w.host(name).life, func(m *Machine) { m.Leave() })
			l.awaitLeft(w.host(name))
			w.run(l.catchUp)
		}
	}
	require.Nil(t, w.host("a").machine)
	require.Nil(t, w.host("b").machine)
	away.seeds = []string{"n3", "n4", "n5"}
	w.start(away)
	w.run(5 * time.Second)
	require.Equal(t, "learner", away.machine.Status().Role)
	require.ElementsMatch(t, away.seeds, away.machine.Status().Members)
	require.Equal(t, l.leads().applied, away.applied)
	l.checkOrder()
}

// A voter was paused while a learner took its place. It becomes a learner when it resumes, and must
// not get its vote back.
func TestFrozenAndReplaced(t *testing.T) {
	l := newLosses(1, 4, 4*time.Second, 5*time.Second, lossPlant{})
	w := l.w
	for _, h := range w.hosts {
		w.start(h)
	}
	w.run(3 * time.Second)
	frozen := w.host("c")
	frozen.frozen = w.now + 3*time.Second
	w.run(2*time.Second + 3*heartbeatInterval)
	members := w.members
	require.ElementsMatch(t, []string{"a", "b", "n3"}, l.leads().machine.Status().Members)
	w.run(6 * time.Second)
	require.Equal(t, "learner", frozen.machine.Status().Role)
	require.Equal(t, members, w.members, "the members changed once more")
	require.Equal(t, l.leads().applied, frozen.applied)
}

// A lost machine must be replaced within catchUp after its successor has started. The configuration
// change must be committed by then, also if the lost machine was the leader or if a learner was
// already available.
func TestReplacedInTime(t *testing.T) {
	const catchUp = 4 * time.Second
	for _, hasLearner := range []bool{false, true} {
		var times []time.Duration
		for seed := uint64(1); seed <= 40; seed++ {
			l := newLosses(seed, 3, catchUp, 5*time.Second, lossPlant{})
			w := l.w
			for _, h := range w.hosts {
				w.start(h)
			}
			w.run(3 * time.Second)
			if hasLearner {
				w.start(l.newHost())
				w.run(time.Second)
			}
			lost := w.hosts[:3][w.rng.IntN(3)]
			if seed%2 == 0 {
				lost = l.leads()
			}
			w.wipe(lost)
			if !hasLearner {
				w.run(w.within(500*time.Millisecond, 2*time.Second))
				w.start(l.newHost())
			}
			began := w.now
			isLost := func(v Member) bool { return v.Address == lost.address }
			for slices.ContainsFunc(w.members.allVoters(), isLost) {
				w.run(10 * time.Millisecond)
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
		l := newLosses(seed, 3, 4*time.Second, 5*time.Second, lossPlant{})
		w := l.w
		for _, h := range w.hosts {
			w.start(h)
		}
		w.run(3 * time.Second)
		w.start(l.newHost())
		w.run(l.catchUp)
		l.begin()
		leaderHost := l.leads()
		leaving := w.hosts[0]
		if leaving == leaderHost {
			leaving = w.hosts[1]
		}
		w.touch(leaving, leaving.life, func(m *Machine) { m.Leave() })
		w.wipe(leaderHost)
		l.awaitLeft(leaving)
		w.run(time.Second)
		w.start(leaderHost)
		w.run(9 * time.Second)
		require.Nil(t, leaving.machine, "seed %d", seed)
		require.NotNil(t, l.leads(), "seed %d: no quorum", seed)
		require.NotContains(t, l.leads().machine.Status().Members, leaving.address, "seed %d", seed)
		require.NotPanics(t, l.checkOrder, "seed %d", seed)
	}
}

// The leader sends a learner the joint configuration that makes it a voter, and is lost before any
// other node has received it. The others continue without that configuration, and the learner must
// find its way back to them.
func TestUncommittedVoterFindsBack(t *testing.T) {
	l := newLosses(1, 3, 4*time.Second, 5*time.Second, lossPlant{})
	w := l.w
	for _, h := range w.hosts {
		w.start(h)
	}
	w.run(3 * time.Second)
	spare := l.newHost()
	w.start(spare)
	w.run(time.Second)
	leaderHost := l.leads()
	for _, h := range w.hosts[:3] {
		w.cut[[2]string{leaderHost.address, h.address}] = true
	}
	w.touch(leaderHost, leaderHost.life, func(m *Machine) {
		next := m.log.latestConfiguration().members
		next.Old = next.Voters
		next.Voters = append([]Member{{spare.address, spare.disk.Disk}}, next.Old[1:]...)
		m.appendMembers(next)
	})
	w.run(100 * time.Millisecond)
	require.True(t, spare.disk.newest().isJoint())
	w.stop(leaderHost)
	clear(w.cut)
	w.run(10 * time.Second)
	require.Equal(t, l.leads().address, spare.machine.Status().Leader)
	require.Equal(t, l.leads().applied, spare.applied)
	require.False(t, spare.machine.log.latestConfiguration().members.isJoint())
}
