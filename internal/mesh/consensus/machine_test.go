package consensus

import (
	"flag"
	"fmt"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var seedCount = flag.Int("seeds", 400, "number of seeds that the random simulation runs")
var firstSeed = flag.Uint64("first", 1, "the first seed")
var lossSeedCount = flag.Int("loss-seeds", 4, "number of seeds of machine losses and repairs that are simulated for each deployment")
var voterCount = flag.Int("voters", 0, "number of voters in the random simulations; 0: as each draws them, three in those of random faults")
var traceEnabled = flag.Bool("tell", false, "print the events of the simulation")

func TestExplore(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	acks, reads := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		w, failure := explore(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
		acks += w.ackCount
		reads += w.readCount
	}
	t.Logf("%d acknowledged, %d read", acks, reads)
	require.Greater(t, acks, *seedCount*20, "too few calls succeeded for a meaningful check")
	require.Greater(t, reads, *seedCount*20, "too few calls succeeded for a meaningful check")
}

// Guards against a node that is never taken in again: at these seeds random faults led to that.
func TestExploreFoundSeeds(t *testing.T) {
	for _, seed := range []uint64{7061762, 7081946, 7102943} {
		_, failure := explore(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
	}
}

// The checks of the simulation find each injected bug.
func TestExploreFindsPlanted(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{
		"a wiped disk takes part": {keepsDiskNumber: true},
		"acks come too early":     {acknowledgesBeforeQuorum: true},
		"reads unconfirmed":       {answersReadsLocally: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(500), "not found")
				// A simulation that stops making progress is a failure too, but not the one that
				// the bug has to be found by.
				if _, failure := explore(seed, bugs); failure != nil && !strings.Contains(fmt.Sprint(failure), "after all") {
					t.Logf("seed %d: %v", seed, failure)
					return
				}
			}
		})
	}
}

// newSettledWorld returns a world in which a is the leader and b and c follow it.
func newSettledWorld(t *testing.T) *world {
	for seed := uint64(1); ; seed++ {
		w := newWorld(seed, injectedBugs{})
		for _, h := range w.hosts[:3] {
			w.start(h)
		}
		w.runFor(3 * time.Second)
		require.Len(t, w.committedMembers.Voters, 3)
		if w.host("a").machine.role == leader {
			return w
		}
	}
}

// An entry that two of three members have acknowledged survives when one of them loses its disk and
// all others lose power.
func TestWipedAndPowerless(t *testing.T) {
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		w := newSettledWorld(t)
		wiped, intact, lagging := w.host(names[0]), w.host(names[1]), w.host("c")
		w.cutInTwo([]*host{lagging})
		w.propose(w.host("a"), 7)
		w.runFor(time.Second)
		require.Equal(t, "acked", w.outcomes[7])
		w.wipe(wiped)
		w.stop(intact)
		w.stop(lagging)
		clear(w.cutLinks)
		w.start(wiped)
		w.start(lagging)
		w.runFor(10 * time.Second)
		for _, h := range []*host{wiped, lagging} {
			require.NotEqual(t, leader, h.machine.role, "it leads with the vote of a node that lost its disk")
		}
		require.Equal(t, "recovering", wiped.machine.Status().Role)
		w.absentHost = w.host("d")
		w.healAndCheck()
		require.Equal(t, uint64(7), decodeValue(intact.table[0].Command))
		require.Equal(t, "follower", wiped.machine.Status().Role)
	}
}

func TestWipedOneAfterTheOther(t *testing.T) {
	w := newSettledWorld(t)
	w.absentHost = w.host("d")
	w.propose(w.host("a"), 7)
	w.runFor(time.Second)
	for _, name := range []string{"a", "b", "c", "a"} {
		require.True(t, w.canLoseDisk())
		w.wipe(w.host(name))
		w.start(w.host(name))
		w.runFor(4 * time.Second)
	}
	w.healAndCheck()
	require.Equal(t, "acked", w.outcomes[7])
}

// A member that starts long after the others at the first start becomes a regular follower. A
// member that is down for long is replaced, and becomes a learner when it comes back.
func TestReplacedAndBack(t *testing.T) {
	w := newWorld(1, injectedBugs{})
	w.start(w.host("a"))
	w.start(w.host("b"))
	w.runFor(5 * time.Second)
	w.start(w.host("c"))
	w.runFor(time.Second)
	w.start(w.host("d"))
	w.runFor(2 * time.Second)
	require.Equal(t, "follower", w.host("c").machine.Status().Role)
	require.Equal(t, "learner", w.host("d").machine.Status().Role)
	w.stop(w.host("c"))
	w.runFor(6 * time.Second)
	require.Equal(t, "follower", w.host("d").machine.Status().Role)
	w.start(w.host("c"))
	w.runFor(4 * time.Second)
	require.Equal(t, "learner", w.host("c").machine.Status().Role)
	w.healAndCheck()
}

// A vote must survive a crash right after it was given. With the injected bug the disk forgets it,
// and two nodes lead in one term. Random simulations would need thousands of seeds to hit this
// sequence.
func TestVoteOutlivesCrash(t *testing.T) {
	for _, forgetsVote := range []bool{false, true} {
		w := newSettledWorld(t)
		w.bugs.forgetsVote = forgetsVote
		a, b, c := w.host("a"), w.host("b"), w.host("c")
		w.stop(a)
		w.start(a)
		term := a.machine.hardState.Term + 1
		w.cutLinks[[2]string{"a", "b"}], w.cutLinks[[2]string{"b", "a"}] = true, true
		w.runOn(a, a.incarnation, func(m *Machine) { m.campaign(candidate) })
		for c.disk.Hard.Term < term {
			w.runFor(100 * time.Microsecond)
		}
		w.cutLinks[[2]string{"a", "c"}] = true
		w.runFor(10 * time.Millisecond)
		require.Equal(t, leader, a.machine.role)
		w.stop(c)
		w.start(c)
		w.runOn(b, b.incarnation, func(m *Machine) { m.campaign(candidate) })
		w.runFor(50 * time.Millisecond)
		require.Equal(t, term, a.machine.hardState.Term)
		require.Equal(t, term, b.machine.hardState.Term)
		require.Equal(t, forgetsVote, b.machine.role == leader)
	}
}

// The reply to an AppendEntries of an earlier term must not carry a heartbeat round. Its sender may
// be leading again, and its rounds start over, so the old round could confirm a read by mistake.
func TestStaleAppendConfirmsNothing(t *testing.T) {
	b := newSettledWorld(t).host("b").machine
	b.HandleMessage(Message{Kind: AppendEntries, From: "a", To: "b", Term: b.hardState.Term - 1, Sequence: 99})
	reply := b.NextOutput().Messages[0]
	require.Equal(t, AppendEntriesReply, reply.Kind)
	require.True(t, reply.Reject)
	require.Zero(t, reply.Sequence)
}
