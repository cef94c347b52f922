package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	returnRounds = 3
	// Within catchUpBound after the last fault every running node holds what was committed, and no lost
	// disk is a voter: the bounds in_touch and catch_up of a deployment.
	catchUpBound = 3*time.Second + 4*time.Second
	// recoveryBound is the same after the closing fault: the bound recovery.
	recoveryBound = 15 * time.Second
	ackBound      = 5 * time.Second         // ack_within of a deployment
	maxCutTime    = 5500 * time.Millisecond // of the core into two halves
)

// exploreReturns runs a seed of the simulation in which nodes come back with empty disks while the
// core is cut in two, others are killed or paused, and messages for the lost disks are late. In the
// end as many disks are lost as may be lost at once, and at times all others are killed.
func exploreReturns(seed uint64, bugs injectedBugs) (w *world, failure any) {
	w = newWorld(seed, bugs)
	voters := pickOne(w, 3, 5, 7)
	if *voterCount > 0 {
		voters = *voterCount
	}
	w.resize(voters, voters+w.rng.IntN(2)) // at times with a standing learner
	w.replaceAfter = 2 * time.Second
	w.compactEntries, w.chunkBytes = pickOne(w, uint64(24), 96, defaultCompactEntries), pickOne(w, 700, maxChunkBytes)
	w.messageFaultRate, w.maxExtraDelay = pickOne(w, 0, 0.02, 0.1), pickOne(w, 60*time.Millisecond, 2*time.Second)
	return w, w.catchFailure(func() { w.runReturns(voters) })
}

// runReturns plays the rounds and the closing fault.
func (w *world) runReturns(voters int) {
	for _, h := range w.hosts {
		w.schedule(w.randomDuration(0, 300*time.Millisecond), func() { w.start(h) })
	}
	faultRate := w.messageFaultRate
	w.messageFaultRate = 0
	w.schedule(0, func() { w.sendRequests(time.Hour) })
	w.runFor(time.Second)
	w.requireCaughtUp(voters, catchUpBound)
	for range returnRounds {
		w.messageFaultRate = faultRate
		w.loseAndCut(voters)
		clear(w.cutLinks)
		w.messageFaultRate = 0
		w.requireCaughtUp(voters, catchUpBound)
	}
	w.closingFault(voters)
	w.requireCaughtUp(voters, recoveryBound)
}

// loseAndCut wipes some hosts, at most as many as may be lost at once, and cuts the core in two
// around the time that the first of them is back. It returns when all are up.
func (w *world) loseAndCut(voters int) {
	wiped := w.pickHosts(1 + w.rng.IntN((voters-1)/2))
	back := w.randomDuration(200*time.Millisecond, 2*time.Second)
	for i, h := range wiped {
		w.wipe(h)
		w.schedule(back+time.Duration(i)*w.randomDuration(0, 500*time.Millisecond), func() { w.start(h) })
	}
	side := w.pickSide(wiped)
	w.schedule(max(0, back+w.randomDuration(-time.Second, time.Second)), func() { w.cutInTwo(side) })
	if other := w.hosts[w.rng.IntN(len(w.hosts))]; other.machine != nil {
		switch w.rng.IntN(3) {
		case 0:
			other.pausedUntil = w.now + w.randomDuration(0, 4*time.Second)
		case 1:
			w.stop(other)
			w.schedule(w.randomDuration(0, 2*time.Second), func() { w.start(other) })
		}
	}
	w.runFor(4*time.Second + w.randomDuration(0, maxCutTime))
}

// pickHosts returns random hosts.
func (w *world) pickHosts(count int) []*host {
	var picked []*host
	for _, i := range w.rng.Perm(len(w.hosts))[:count] {
		picked = append(picked, w.hosts[i])
	}
	return picked
}

// pickSide returns one side of a cut. Half of the time it is the wiped hosts and the leader, which can
// take them in, but may not be able to commit that.
func (w *world) pickSide(wiped []*host) []*host {
	leads := func(h *host) bool { return h.machine != nil && h.machine.role == leader }
	if i := slices.IndexFunc(w.hosts, leads); i >= 0 && w.rng.IntN(2) == 0 {
		return append(slices.Clone(wiped), w.hosts[i])
	}
	return w.pickHosts(1 + w.rng.IntN(len(w.hosts)-1))
}

// closingFault has as many hosts as may be lost at once lose their disks, and at times kills all others.
func (w *world) closingFault(voters int) {
	first := w.rng.IntN(len(w.hosts))
	killsOthers := w.rng.IntN(2) == 0
	for i := range w.hosts {
		h := w.hosts[(first+i)%len(w.hosts)]
		switch {
		case i < (voters-1)/2:
			w.wipe(h)
		case killsOthers:
			w.stop(h)
		}
		w.schedule(w.randomDuration(0, time.Second), func() { w.start(h) })
	}
	w.runFor(time.Second)
}

// requireCaughtUp fails unless, within a bound, every host holds what is committed now, all voters are
// disks that exist, and there are as many as there should be. Every host then has a proposal
// acknowledged.
func (w *world) requireCaughtUp(voters int, bound time.Duration) {
	committed := uint64(len(w.committed))
	isBehind := func(h *host) bool { return h.appliedIndex < committed }
	for end := w.now + bound; ; w.runFor(100 * time.Millisecond) {
		isComplete := len(w.committedMembers.Voters) == voters && !w.committedMembers.isJoint() && !w.isAnyDiskLost(w.committedMembers.Voters)
		if isComplete && !slices.ContainsFunc(w.hosts, isBehind) {
			break
		}
		if w.now >= end {
			for _, h := range w.hosts {
				w.trace("%s applied %d of %d: %+v", h.address, h.appliedIndex, committed, h.machine.Status())
			}
			w.fail("not caught up %v after the last fault: members %v", bound, w.committedMembers)
		}
	}
	for _, h := range w.hosts {
		w.requireAck(h)
	}
}

// requireAck fails unless a host confirms a proposal in time. One that is refused is sent again.
func (w *world) requireAck(h *host) {
	for end := w.now + ackBound; ; {
		w.lastProposal++
		value := w.lastProposal
		w.propose(h, value)
		for attemptEnd := w.now + time.Second; w.outcomes[value] == "" && w.now < attemptEnd; {
			w.runFor(10 * time.Millisecond)
		}
		if w.outcomes[value] == "acked" {
			return
		}
		if w.now >= end {
			w.fail("%s: no proposal was acknowledged for %v after all faults had ended", h.address, ackBound)
		}
		w.runFor(commandPause)
	}
}

// Guards against a node that stays behind, or a lost disk that stays a voter, after a core machine
// has come back with an empty disk in the middle of other faults.
func TestExploreReturns(t *testing.T) {
	acks, plays := 0, *seedCount/4
	if testing.Short() {
		plays /= 5
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(plays); seed++ {
		w, failure := exploreReturns(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
		acks += w.ackCount
	}
	t.Logf("%d acknowledged", acks)
	require.Greater(t, acks, plays*100, "too few calls succeeded for a meaningful check")
}

func TestExploreReturnsFindsPlanted(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{
		"a voter that hears a leader never asks to join": {votersNeverJoin: true},
		"messages for a lost disk are taken":             {takesMessagesForLostDisk: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(100), "not found")
				if _, failure := exploreReturns(seed, bugs); strings.Contains(fmt.Sprint(failure), "not caught up") {
					t.Logf("seed %d: %.200v", seed, failure)
					return
				}
			}
		})
	}
}
