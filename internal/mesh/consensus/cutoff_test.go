package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutFor is longer than the operators' worst days cut a core machine off.
const cutDuration = 25 * time.Second

// standBack bounds the time in which a leader that hears no majority goes on as one: what it heard
// last counts for electionMax, and it looks at each heartbeat.
const stepDownTimeout = maxElectionTimeout + 2*heartbeatInterval

// cutoff is a way in which a core machine is away for others.
type cutoff struct {
	name          string
	dropsIncoming bool // hears nobody
	dropsOutgoing bool // nobody hears it
	paused        bool
}

var cutoffs = []cutoff{{"both ways", true, true, false}, {"deaf", true, false, false}, {"mute", false, true, false}, {"frozen", false, false, true}}

// begin puts a machine off.
func (c cutoff) apply(w *world, h *host) {
	if c.paused {
		h.frozen = w.now + cutDuration
	}
	for _, o := range w.hosts {
		if c.dropsIncoming && o != h {
			w.cut[[2]string{o.address, h.address}] = true
		}
		if c.dropsOutgoing && o != h {
			w.cut[[2]string{h.address, o.address}] = true
		}
	}
}

// watch plays one cut of a machine, and returns what was answered during it: at the machine itself,
// with success and with a word that the command never ran, and at the others.
func playCutoff(w *world, h *host, c cutoff) (confirmed, elsewhere int) {
	began, value := w.now, uint64(100)
	acked := func(v uint64) bool { return w.fate[v] == "acked" }
	c.apply(w, h)
	var own, others []uint64
	for w.now < began+cutDuration-time.Second {
		value += 2
		own, others = append(own, value), append(others, value+1)
		before := w.reads
		w.read(h)
		w.propose(h, value)
		w.run(300 * time.Millisecond)
		if w.reads > before {
			confirmed++
		}
		for _, o := range w.hosts[:3] {
			if o != h {
				w.propose(o, value+1)
				break
			}
		}
		w.run(300 * time.Millisecond)
		if !c.paused && w.now-began > stepDownTimeout && h.machine.role == leader {
			w.fail("%s still leads %v after it was cut off", h.address, w.now-began)
		}
	}
	for i := range own {
		if acked(own[i]) {
			confirmed++
		}
		if acked(others[i]) {
			elsewhere++
		}
	}
	return confirmed, elsewhere
}

// explored plays a cut of one machine under a seed, with a planted bug or none.
func runCutoffSeed(seed uint64, c cutoff, leads bool, bugs injectedBugs) (confirmed, elsewhere int, trouble any) {
	defer func() { trouble = recover() }()
	w := newWorld(seed, bugs)
	for _, h := range w.hosts[:3] {
		w.start(h)
	}
	w.gone = w.hosts[3]
	w.run(5 * time.Second)
	at := slices.IndexFunc(w.hosts[:3], func(h *host) bool { return h.machine.role == leader })
	if !leads {
		at = (at + 1 + w.rng.IntN(2)) % 3
	}
	confirmed, elsewhere = playCutoff(w, w.hosts[at], c)
	clear(w.cut)
	w.run(2 * time.Second)
	w.heal()
	return
}

// TestCutOffMachineConfirmsNothing has a machine that leads or follows cut off both ways, one way,
// the other, or stopped, for 25 s: it confirms no command and no read, stands back within its bound,
// the others go on, and once it is back nothing is refused that holds and nothing is lost (world's
// checks).
func TestCutOffMachineConfirmsNothing(t *testing.T) {
	for _, c := range cutoffs {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leads %v", c.name, leads), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					confirmed, elsewhere, trouble := runCutoffSeed(seed, c, leads, injectedBugs{})
					require.Nil(t, trouble, "seed %d", seed)
					require.Zero(t, confirmed, "seed %d: it confirmed", seed)
					require.Greater(t, elsewhere, 25, "seed %d: the others did not go on", seed)
				}
			})
		}
	}
}

// TestCutOffMachineIsCaught has a leader that is cut off answer reads alone, and take its own sync
// for a majority's.
func TestCutOffMachineIsCaught(t *testing.T) {
	for name, p := range map[string]injectedBugs{"a read without its round": {localRead: true}, "an acknowledgement without a majority": {earlyAck: true}} {
		confirmed, _, trouble := runCutoffSeed(1, cutoffs[0], true, p)
		require.True(t, confirmed > 0 || trouble != nil, "%s is not seen", name)
	}
}
