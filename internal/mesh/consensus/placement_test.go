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
func newZonedMesh(seed uint64, voters int) *losses {
	l := newLosses(seed, 3*zoneCount, 4*time.Second, 5*time.Second, lossPlant{})
	l.w.voters = voters
	for i, h := range l.w.hosts {
		h.zone = fmt.Sprint("z", i/3)
		l.w.start(h)
	}
	l.w.run(8 * time.Second)
	return l
}

// votersByZone counts the voters in each zone.
func (l *losses) votersByZone() map[string]int {
	count := map[string]int{}
	for _, v := range l.w.members.Voters {
		count[l.w.host(v.Address).zone]++
	}
	return count
}

// mustCommit proposes a value and waits until it is acknowledged.
func (l *losses) mustCommit(t *testing.T, value uint64) {
	l.w.propose(l.leads(), value)
	for start := l.w.now; l.w.fate[value] != "acked"; l.w.run(time.Millisecond) {
		require.Less(t, l.w.now-start, 2*time.Second)
	}
}

// Wherever the first members are, the loss of any zone must leave a majority. When the zone is
// back, the votes must be spread over all zones again.
func TestVotersAreSpread(t *testing.T) {
	for seed := uint64(1); seed <= zoneSeedCount; seed++ {
		l := newZonedMesh(seed, zonedVoters)
		require.Len(t, l.votersByZone(), zoneCount, "seed %d: %v", seed, l.votersByZone())
		zone := l.leads().zone
		inZone := func(h *host) bool { return h.zone == zone }
		for _, h := range l.w.hosts {
			if inZone(h) {
				l.w.stop(h)
			}
		}
		l.w.run(4 * time.Second)
		require.NotNil(t, l.leads(), "seed %d: no leader after the loss of a zone", seed)
		l.mustCommit(t, 7)
		for _, h := range l.w.hosts {
			if inZone(h) {
				l.w.start(h)
			}
		}
		l.w.run(10 * time.Second)
		require.Len(t, l.votersByZone(), zoneCount, "seed %d: %v", seed, l.votersByZone())
		l.w.heal()
	}
}

// Acknowledged entries survive the simultaneous loss of two disks while all other nodes lose power.
// Three voters can't tolerate that.
func TestTwoDisksAreLost(t *testing.T) {
	loseTwoDisks := func(seed uint64, voters int) (failure any) {
		defer func() { failure = recover() }()
		l := newZonedMesh(seed, voters)
		l.mustCommit(t, 7)
		lost := slices.Clone(l.w.members.Voters)
		l.w.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		for _, h := range l.w.hosts {
			l.w.stop(h)
		}
		for _, v := range lost[:2] {
			l.w.wipe(l.w.host(v.Address))
		}
		l.w.heal()
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
