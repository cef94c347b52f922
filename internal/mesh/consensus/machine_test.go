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

var seedCount = flag.Int("seeds", 400, "how many seeds the explorer plays")
var firstSeed = flag.Uint64("first", 1, "the first of them")
var lossSeedCount = flag.Int("loss-seeds", 4, "how many seeds of losses and repairs are played, of each deployment")
var traceEnabled = flag.Bool("tell", false, "tell what goes on")

func TestExplore(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	acks, reads := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		w, trouble := explore(seed, injectedBugs{})
		require.Nil(t, trouble, "seed %d", seed)
		acks += w.acks
		reads += w.reads
	}
	t.Logf("%d acknowledged, %d read", acks, reads)
	require.Greater(t, acks, *seedCount*20, "too little came through to tell anything")
	require.Greater(t, reads, *seedCount*20, "too little came through to tell anything")
}

// Each planted fault is found by the same checks.
func TestExploreFindsPlanted(t *testing.T) {
	for name, p := range map[string]injectedBugs{
		"a wiped disk takes part": {rememberDisk: true},
		"acks come too early":     {earlyAck: true},
		"reads unconfirmed":       {localRead: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(500), "not found")
				// That nothing goes on any more would be a finding too, but not the one that is
				// asked for.
				if _, trouble := explore(seed, p); trouble != nil && !strings.Contains(fmt.Sprint(trouble), "after all") {
					t.Logf("seed %d: %v", seed, trouble)
					return
				}
			}
		})
	}
}

// settled is a world in which a leads b and c, and all is well.
func newSettledWorld(t *testing.T) *world {
	for seed := uint64(1); ; seed++ {
		w := newWorld(seed, injectedBugs{})
		for _, h := range w.hosts[:3] {
			w.start(h)
		}
		w.run(3 * time.Second)
		require.Len(t, w.members.Voters, 3)
		if w.host("a").machine.role == leader {
			return w
		}
	}
}

func (w *world) isolate(h *host) {
	for _, o := range w.hosts {
		w.cut[[2]string{h.address, o.address}], w.cut[[2]string{o.address, h.address}] = true, true
	}
}

// What two of three have holds when one of them loses its disk and all others their power.
func TestWipedAndPowerless(t *testing.T) {
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		w := newSettledWorld(t)
		wiped, whole, lags := w.host(names[0]), w.host(names[1]), w.host("c")
		w.isolate(lags)
		w.propose(w.host("a"), 7)
		w.run(time.Second)
		require.Equal(t, "acked", w.fate[7])
		w.wipe(wiped)
		w.stop(whole)
		w.stop(lags)
		clear(w.cut)
		w.start(wiped)
		w.start(lags)
		w.run(10 * time.Second)
		for _, h := range []*host{wiped, lags} {
			require.NotEqual(t, leader, h.machine.role, "it leads with one that has forgotten")
		}
		require.Equal(t, "recovering", wiped.machine.Status().Role)
		w.gone = w.host("d")
		w.heal()
		require.Equal(t, uint64(7), valueOf(whole.table[0].Command))
		require.Equal(t, "follower", wiped.machine.Status().Role)
	}
}

func TestWipedOneAfterTheOther(t *testing.T) {
	w := newSettledWorld(t)
	w.gone = w.host("d")
	w.propose(w.host("a"), 7)
	w.run(time.Second)
	for _, name := range []string{"a", "b", "c", "a"} {
		require.True(t, w.mayWipe())
		w.wipe(w.host(name))
		w.start(w.host(name))
		w.run(4 * time.Second)
	}
	w.heal()
	require.Equal(t, "acked", w.fate[7])
}

// A member that comes long after the others at the first start just joins; one that is gone is
// replaced, and told so when it is back.
func TestReplacedAndBack(t *testing.T) {
	w := newWorld(1, injectedBugs{})
	w.start(w.host("a"))
	w.start(w.host("b"))
	w.run(5 * time.Second)
	w.start(w.host("c"))
	w.run(time.Second)
	w.start(w.host("d"))
	w.run(2 * time.Second)
	require.Equal(t, "follower", w.host("c").machine.Status().Role)
	require.Equal(t, "learner", w.host("d").machine.Status().Role)
	w.stop(w.host("c"))
	w.run(6 * time.Second)
	require.Equal(t, "follower", w.host("d").machine.Status().Role)
	w.start(w.host("c"))
	w.run(4 * time.Second)
	require.Equal(t, "learner", w.host("c").machine.Status().Role)
	w.heal()
}

// A vote outlives a crash right after it. Planted: the disk forgets it, and two lead in one term.
// By chance alone this takes thousands of seeds.
func TestVoteOutlivesCrash(t *testing.T) {
	for _, forgets := range []bool{false, true} {
		w := newSettledWorld(t)
		w.bugs.forgetVote = forgets
		a, b, c := w.host("a"), w.host("b"), w.host("c")
		w.stop(a)
		w.start(a)
		term := a.machine.hardState.Term + 1
		w.cut[[2]string{"a", "b"}], w.cut[[2]string{"b", "a"}] = true, true
		w.touch(a, a.life, func(m *Machine) { m.campaign(candidate) })
		for c.disk.Hard.Term < term {
			w.run(100 * time.Microsecond)
		}
		w.cut[[2]string{"a", "c"}] = true
		w.run(10 * time.Millisecond)
		require.Equal(t, leader, a.machine.role)
		w.stop(c)
		w.start(c)
		w.touch(b, b.life, func(m *Machine) { m.campaign(candidate) })
		w.run(50 * time.Millisecond)
		require.Equal(t, term, a.machine.hardState.Term)
		require.Equal(t, term, b.machine.hardState.Term)
		require.Equal(t, forgets, b.machine.role == leader)
	}
}

// An answer to an append of an earlier term confirms no round: its sender may lead again, with
// rounds that begin anew.
func TestStaleAppendConfirmsNothing(t *testing.T) {
	b := newSettledWorld(t).host("b").machine
	b.HandleMessage(Message{Kind: AppendEntries, From: "a", To: "b", Term: b.hardState.Term - 1, Sequence: 99})
	reply := b.NextOutput().Messages[0]
	require.Equal(t, AppendEntriesReply, reply.Kind)
	require.True(t, reply.Reject)
	require.Zero(t, reply.Sequence)
}
