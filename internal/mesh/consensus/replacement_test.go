package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All three members are replaced while a fourth machine was away: it knows none of the voters, and
// finds them by the seeds that its settings name by now.
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

// A voter that was only frozen while a learner took its place is a learner when it wakes, and takes
// no vote back.
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
	require.Equal(t, members, w.members, "the members change once more")
	require.Equal(t, l.leads().applied, frozen.applied)
}

// A lost machine stops counting catchUp after its successor's start. By then the change must be
// committed, also if the leader was lost, or a standing learner takes its place.
func TestReplacedInTime(t *testing.T) {
	const catchUp = 4 * time.Second
	for _, standing := range []bool{false, true} {
		var times []time.Duration
		for seed := uint64(1); seed <= 40; seed++ {
			l := newLosses(seed, 3, catchUp, 5*time.Second, lossPlant{})
			w := l.w
			for _, h := range w.hosts {
				w.start(h)
			}
			w.run(3 * time.Second)
			if standing {
				w.start(l.newHost())
				w.run(time.Second)
			}
			lost := w.hosts[:3][w.rng.IntN(3)]
			if seed%2 == 0 {
				lost = l.leads()
			}
			w.wipe(lost)
			if !standing {
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
		t.Logf("a learner stands by: %v; replaced after %v, longest %v", standing, times[len(times)/2], times[len(times)-1])
	}
}

// A member is told to go while its successor stands by, and at that moment the leader loses its
// disk. The new leader doesn't know the learner yet; the leaving member waits until it does, since
// without both there would be no quorum any more.
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
		leads := l.leads()
		leaves := w.hosts[0]
		if leaves == leads {
			leaves = w.hosts[1]
		}
		w.touch(leaves, leaves.life, func(m *Machine) { m.Leave() })
		w.wipe(leads)
		l.awaitLeft(leaves)
		w.run(time.Second)
		w.start(leads)
		w.run(9 * time.Second)
		require.Nil(t, leaves.machine, "seed %d", seed)
		require.NotNil(t, l.leads(), "seed %d: no quorum", seed)
		require.NotContains(t, l.leads().machine.Status().Members, leaves.address, "seed %d", seed)
		require.NotPanics(t, l.checkOrder, "seed %d", seed)
	}
}

// A learner was told of the joint configuration that makes it a voter, and the leader was lost
// before anybody else was. The others go on without it, and it finds back to them.
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
	leads := l.leads()
	for _, h := range w.hosts[:3] {
		w.cut[[2]string{leads.address, h.address}] = true
	}
	w.touch(leads, leads.life, func(m *Machine) {
		next := m.log.latestConfiguration().members
		next.Old = next.Voters
		next.Voters = append([]Member{{spare.address, spare.disk.Disk}}, next.Old[1:]...)
		m.appendMembers(next)
	})
	w.run(100 * time.Millisecond)
	require.True(t, spare.disk.newest().isJoint())
	w.stop(leads)
	clear(w.cut)
	w.run(10 * time.Second)
	require.Equal(t, l.leads().address, spare.machine.Status().Leader)
	require.Equal(t, l.leads().applied, spare.applied)
	require.False(t, spare.machine.log.latestConfiguration().members.isJoint())
}
