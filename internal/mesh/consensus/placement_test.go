package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	zoneCount     = 5
	zonedVoters   = 5 // tolerate the loss of two machines
	zoneSeedCount = 20
)

// newZonedMesh returns a mesh of three nodes in each of five zones, whose first members are all in
// one zone.
func newZonedMesh(seed uint64, voters int) *lossSimulation {
	l := newLossSimulation(seed, 3*zoneCount, 4*time.Second, 5*time.Second, injectedLossBugs{})
	l.world.targetVoters = voters
	for i, h := range l.world.hosts {
		h.zone = fmt.Sprint("z", i/3)
		l.world.start(h)
	}
	l.world.runFor(8 * time.Second)
	return l
}

// votersByZone counts the voters in each zone.
func (l *lossSimulation) votersByZone() map[string]int {
	count := map[string]int{}
	for _, v := range l.world.committedMembers.Voters {
		count[l.world.host(v.Address).zone]++
	}
	return count
}

// mustCommit proposes a value and waits until it is acknowledged.
func (l *lossSimulation) mustCommit(t *testing.T, value uint64) {
	l.world.propose(l.leaderHost(), value)
	for start := l.world.now; l.world.outcomes[value] != "acked"; l.world.runFor(time.Millisecond) {
		require.Less(t, l.world.now-start, 2*time.Second)
	}
}

// Wherever the first members are, the loss of any zone must leave a majority. When the zone is
// back, the votes must be spread over all zones again.
func TestVotersAreSpread(t *testing.T) {
	for seed := uint64(1); seed <= zoneSeedCount; seed++ {
		l := newZonedMesh(seed, zonedVoters)
		require.Len(t, l.votersByZone(), zoneCount, "seed %d: %v", seed, l.votersByZone())
		zone := l.leaderHost().zone
		inZone := func(h *host) bool { return h.zone == zone }
		for _, h := range l.world.hosts {
			if inZone(h) {
				l.world.stop(h)
			}
		}
		l.world.runFor(4 * time.Second)
		require.NotNil(t, l.leaderHost(), "seed %d: no leader after the loss of a zone", seed)
		l.mustCommit(t, 7)
		for _, h := range l.world.hosts {
			if inZone(h) {
				l.world.start(h)
			}
		}
		l.world.runFor(10 * time.Second)
		require.Len(t, l.votersByZone(), zoneCount, "seed %d: %v", seed, l.votersByZone())
		l.world.healAndCheck()
	}
}

// Acknowledged entries survive the simultaneous loss of two disks while all other nodes lose power.
// Three voters can't tolerate that.
func TestTwoDisksAreLost(t *testing.T) {
	loseTwoDisks := func(seed uint64, voters int) (failure any) {
		defer func() { failure = recover() }()
		l := newZonedMesh(seed, voters)
		l.mustCommit(t, 7)
		lost := slices.Clone(l.world.committedMembers.Voters)
		l.world.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		for _, h := range l.world.hosts {
			l.world.stop(h)
		}
		for _, v := range lost[:2] {
			l.world.wipe(l.world.host(v.Address))
		}
		l.world.healAndCheck()
		return nil
	}
	failures := 0
	for seed := uint64(1); seed <= zoneSeedCount; seed++ {
		require.Nil(t, loseTwoDisks(seed, zonedVoters), "seed %d", seed)
		if loseTwoDisks(seed, 3) != nil {
			failures++
		}
	}
	require.NotZero(t, failures, "no acknowledged entry is lost with three voters")
}
