package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutDuration is longer than the worst partition of a core machine that operators have had.
const cutDuration = 25 * time.Second

// stepDownTimeout bounds how long a leader without a majority remains leader: replies count for
// maxElectionTimeout, and the leader checks them at each heartbeat.
const stepDownTimeout = maxElectionTimeout + 2*heartbeatInterval

// cutoff is a way in which a machine is unreachable.
type cutoff struct {
	name          string
	dropsIncoming bool // receives nothing
	dropsOutgoing bool // nothing that it sends arrives
	paused        bool // its process is paused
}

var cutoffs = []cutoff{{"both ways", true, true, false}, {"deaf", true, false, false}, {"mute", false, true, false}, {"frozen", false, false, true}}

// apply cuts off a machine.
func (c cutoff) apply(w *world, h *host) {
	if c.paused {
		h.pausedUntil = w.now + cutDuration
	}
	for _, other := range w.hosts {
		if c.dropsIncoming && other != h {
			w.cutLinks[[2]string{other.address, h.address}] = true
		}
		if c.dropsOutgoing && other != h {
			w.cutLinks[[2]string{h.address, other.address}] = true
		}
	}
}

// playCutoff cuts off one machine while clients use it and another one. It returns how many calls
// were confirmed during that time: reads and commands at the machine itself, and commands at the
// others.
func playCutoff(w *world, h *host, c cutoff) (confirmed, confirmedElsewhere int) {
	began, value := w.now, uint64(100)
	acked := func(v uint64) bool { return w.outcomes[v] == "acked" }
	c.apply(w, h)
	var ownValues, otherValues []uint64
	for w.now < began+cutDuration-time.Second {
		value += 2
		ownValues, otherValues = append(ownValues, value), append(otherValues, value+1)
		readsBefore := w.readCount
		w.read(h)
		w.propose(h, value)
		w.runFor(300 * time.Millisecond)
		if w.readCount > readsBefore {
			confirmed++
		}
		for _, other := range w.hosts[:3] {
			if other != h {
				w.propose(other, value+1)
				break
			}
		}
		w.runFor(300 * time.Millisecond)
		if !c.paused && w.now-began > stepDownTimeout && h.machine.role == leader {
			w.fail("%s is still the leader %v after it was cut off", h.address, w.now-began)
		}
	}
	for i := range ownValues {
		if acked(ownValues[i]) {
			confirmed++
		}
		if acked(otherValues[i]) {
			confirmedElsewhere++
		}
	}
	return confirmed, confirmedElsewhere
}

// runCutoffSeed runs one cutoff of the leader or a follower under a seed, with the given injected
// bugs.
func runCutoffSeed(seed uint64, c cutoff, isLeader bool, bugs injectedBugs) (confirmed, confirmedElsewhere int, failure any) {
	defer func() { failure = recover() }()
	w := newWorld(seed, bugs)
	for _, h := range w.hosts[:3] {
		w.start(h)
	}
	w.absentHost = w.hosts[3]
	w.runFor(5 * time.Second)
	index := slices.IndexFunc(w.hosts[:3], func(h *host) bool { return h.machine.role == leader })
	if !isLeader {
		index = (index + 1 + w.rng.IntN(2)) % 3
	}
	confirmed, confirmedElsewhere = playCutoff(w, w.hosts[index], c)
	clear(w.cutLinks)
	w.runFor(2 * time.Second)
	w.healAndCheck()
	return
}

// A leader or a follower is cut off for 25 s, in both directions, in one of them, or because its
// process is paused. It must confirm no command and no read, and a leader must step down within
// stepDownTimeout. The others continue, and once the machine is back, the checks of the world
// require that nothing rejected was committed and nothing acknowledged was lost.
func TestCutOffMachineConfirmsNothing(t *testing.T) {
	for _, c := range cutoffs {
		for _, isLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leads %v", c.name, isLeader), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					confirmed, confirmedElsewhere, failure := runCutoffSeed(seed, c, isLeader, injectedBugs{})
					require.Nil(t, failure, "seed %d", seed)
					require.Zero(t, confirmed, "seed %d: the cut-off machine confirmed calls", seed)
					require.Greater(t, confirmedElsewhere, 25, "seed %d: the other machines confirmed too few commands", seed)
				}
			})
		}
	}
}

// The test above detects a leader that answers reads on its own, and one that counts its own sync
// as a majority.
func TestCutOffMachineIsCaught(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{"a read without its round": {answersReadsLocally: true}, "an acknowledgement without a majority": {acknowledgesBeforeQuorum: true}} {
		confirmed, _, failure := runCutoffSeed(1, cutoffs[0], true, bugs)
		require.True(t, confirmed > 0 || failure != nil, "%s is not detected", name)
	}
}
