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
	zonedVoters   = 5 // which bear two losses at once
	zoneSeedCount = 20
)

// newSpread is a mesh of three nodes in each of five zones. Its first members stand in one zone.
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

// zones counts the voters in each zone.
func (l *losses) votersByZone() map[string]int {
	count := map[string]int{}
	for _, v := range l.w.members.Voters {
		count[l.w.host(v.Address).zone]++
	}
	return count
}

// agree has a value agreed on.
func (l *losses) mustCommit(t *testing.T, value uint64) {
	l.w.propose(l.leads(), value)
	for began := l.w.now; l.w.fate[value] != "acked"; l.w.run(time.Millisecond) {
		require.Less(t, l.w.now-began, 2*time.Second)
	}
}

// TestVotersAreSpread: wherever the first members stand, the loss of any zone leaves a majority, and
// the zone's return has the votes spread again.
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
		require.NotNil(t, l.leads(), "seed %d: no leader without a zone", seed)
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

// TestTwoDisksAreLost: what was acknowledged outlives the loss of two disks at once, while all others
// lose power. Three voters don't bear that.
func TestTwoDisksAreLost(t *testing.T) {
	lose := func(seed uint64, voters int) (trouble any) {
		defer func() { trouble = recover() }()
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
	found := 0
	for seed := uint64(1); seed <= zoneSeedCount; seed++ {
		require.Nil(t, lose(seed, zonedVoters), "seed %d", seed)
		if lose(seed, 3) != nil {
			found++
		}
	}
	require.NotZero(t, found, "nothing is lost with three voters")
}
