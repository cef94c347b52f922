package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossSimulation causes the losses that the mesh has to tolerate, each as soon as the previous one
// is over. One machine may be lost at a time. A machine counts as lost while it is down, paused,
// slow or cut off, and for catchUp after that, or after its start if it is new. A machine that is
// replaced no longer counts once its successor has had that time. In addition, all processes may be
// killed at once.
type lossSimulation struct {
	world                *world
	catchUp, maxAckDelay time.Duration
	recoveredAt          time.Duration // when the last lost machine no longer counts as lost
	allRestartedAt       time.Duration // when all were started again after they were killed at once
	end                  time.Duration // of the simulation
	nextHostNumber       int

	currentCommand operatorCommand
	lastValue      uint64
	ackDelays      map[string][]time.Duration // the longest delay per loss, by its kind
	recentLosses   []loss
}

// loss is a loss that was caused.
type loss struct {
	kind string
	at   time.Duration
	// longestDelay is that of the commands during the loss and within lossAttributionWindow after
	// it.
	longestDelay time.Duration
}

// operatorCommand is a command that an operator proposes again and again until it is acknowledged.
type operatorCommand struct{ firstAttempt time.Duration }

// injectedLossBugs are bugs that a test injects, to show that the checks find them.
type injectedLossBugs struct {
	slowSingleVoterChanges bool // ReplaceAfter is 8 s, and voters change one at a time
	leavesImmediately      bool // a leaving member stops without handing over its vote
}

const (
	commandPause           = 30 * time.Millisecond // between two attempts or commands
	attemptTimeout         = time.Second           // after this the operator tries another host
	lossSimulationDuration = 60 * time.Second
	// A slow command is attributed to losses up to this long before.
	lossAttributionWindow = 4 * time.Second
)

// newLossSimulation returns a simulation of three seeds and further core machines. None is started.
func newLossSimulation(seed uint64, cores int, catchUp, maxAckDelay time.Duration, bugs injectedLossBugs) *lossSimulation {
	w := newWorld(seed, injectedBugs{singleVoterChanges: bugs.slowSingleVoterChanges, leavesImmediately: bugs.leavesImmediately})
	w.hosts = w.hosts[:3]
	w.replaceAfter = catchUp / 2
	if bugs.slowSingleVoterChanges {
		w.replaceAfter = 8 * time.Second
	}
	l := &lossSimulation{world: w, catchUp: catchUp, maxAckDelay: maxAckDelay, end: lossSimulationDuration, ackDelays: map[string][]time.Duration{}}
	for l.nextHostNumber = 3; l.nextHostNumber < cores; {
		l.newHost()
	}
	return l
}

// newHost adds a host with an empty disk, without starting it.
func (l *lossSimulation) newHost() *host {
	h := &host{address: fmt.Sprintf("n%d", l.nextHostNumber), seeds: seedNames}
	l.nextHostNumber++
	if running := l.runningHosts(); len(running) > 0 { // operators update the seeds in the settings
		h.seeds = nil
		for _, other := range running[:min(3, len(running))] {
			h.seeds = append(h.seeds, other.address)
		}
	}
	l.world.hosts = append(l.world.hosts, h)
	return h
}

// runningHosts returns the hosts that are up and not paused.
func (l *lossSimulation) runningHosts() []*host {
	var running []*host
	for _, h := range l.world.hosts {
		if h.machine != nil && h.pausedUntil <= l.world.now {
			running = append(running, h)
		}
	}
	return running
}

// leaderHost returns the leader, or nil.
func (l *lossSimulation) leaderHost() *host {
	for _, h := range l.runningHosts() {
		if h.machine.role == leader {
			return h
		}
	}
	return nil
}

// simulate runs one seed. It returns the failure that a check found, or nil.
func (l *lossSimulation) simulate() (failure any) {
	defer func() {
		if r := recover(); r != nil {
			failure = r
		}
	}()
	w := l.world
	for _, h := range w.hosts {
		w.schedule(w.randomDuration(0, 300*time.Millisecond), func() { w.start(h) })
	}
	w.runFor(3 * time.Second)
	l.allRestartedAt = w.now
	l.startCommand()
	for w.now < l.end {
		l.injectLoss()
		quietTime := w.randomDuration(0, 200*time.Millisecond)
		if w.rng.IntN(3) == 0 {
			quietTime = w.randomDuration(0, 5*time.Second)
		}
		w.runFor(max(0, l.recoveredAt-w.now) + quietTime)
		l.checkAckDelay()
	}
	w.runFor(l.maxAckDelay)
	l.checkAckDelay()
	for value, index := range w.ackedAt {
		if w.committedAt[value] != index {
			w.fail("lost: value %d was acknowledged at %d, but is committed at %d", value, index, w.committedAt[value])
		}
	}
	return nil
}

// startCommand starts the next command of the operator.
func (l *lossSimulation) startCommand() {
	l.currentCommand = operatorCommand{firstAttempt: l.world.now}
	l.attemptCommand()
}

// attemptCommand proposes the command at a random host that is up.
func (l *lossSimulation) attemptCommand() {
	w, running := l.world, l.runningHosts()
	if len(running) == 0 {
		w.schedule(commandPause, l.attemptCommand)
		return
	}
	l.lastValue++
	value := l.lastValue
	w.propose(running[w.rng.IntN(len(running))], value)
	l.awaitOutcome(value, w.now+attemptTimeout)
}

// awaitOutcome waits until an attempt has an outcome or times out, and starts the next one.
func (l *lossSimulation) awaitOutcome(value uint64, deadline time.Duration) {
	w := l.world
	switch outcome := w.outcomes[value]; {
	case outcome == "acked":
		l.recordAck()
		w.schedule(commandPause, l.startCommand)
	case outcome != "" || w.now >= deadline:
		w.schedule(commandPause, l.attemptCommand)
	default:
		w.schedule(5*time.Millisecond, func() { l.awaitOutcome(value, deadline) })
	}
}

// recordAck records the delay of an acknowledged command for the recent losses.
func (l *lossSimulation) recordAck() {
	l.checkAckDelay()
	delay := l.world.now - l.currentCommand.firstAttempt
	l.recentLosses = slices.DeleteFunc(l.recentLosses, func(entry loss) bool {
		expired := l.currentCommand.firstAttempt > entry.at+lossAttributionWindow
		if expired {
			l.ackDelays[entry.kind] = append(l.ackDelays[entry.kind], entry.longestDelay)
		}
		return expired
	})
	for i := range l.recentLosses {
		l.recentLosses[i].longestDelay = max(l.recentLosses[i].longestDelay, delay)
	}
}

// checkAckDelay fails if the current command waits longer than maxAckDelay. The machines that don't
// count as lost are a majority at any time, unless all were killed at once.
func (l *lossSimulation) checkAckDelay() {
	waitingSince := max(l.currentCommand.firstAttempt, l.allRestartedAt)
	if l.world.now-waitingSince > l.maxAckDelay {
		l.world.fail("unacknowledged: the command that was started at %v has waited for %v; the last losses were %v", l.currentCommand.firstAttempt, l.world.now-waitingSince, l.recentLosses)
	}
}

// recordLoss records a loss, and when its machine no longer counts as lost.
func (l *lossSimulation) recordLoss(kind string, recoveredAt time.Duration) {
	l.world.trace("loss: %s", kind)
	l.recentLosses = append(l.recentLosses, loss{kind: kind, at: l.world.now})
	l.recoveredAt = recoveredAt
}

// pickTarget returns a random host to lose, the leader half of the time, and a word for its role.
func (l *lossSimulation) pickTarget() (*host, string) {
	running := l.runningHosts()
	h := running[l.world.rng.IntN(len(running))]
	if currentLeader := l.leaderHost(); currentLeader != nil && l.world.rng.IntN(2) == 0 {
		h = currentLeader
	}
	if h == l.leaderHost() {
		return h, "leader "
	}
	return h, "other "
}

// injectLoss causes a random loss. No machine may count as lost when it is called.
func (l *lossSimulation) injectLoss() {
	w := l.world
	h, target := l.pickTarget()
	downtime := w.randomDuration(100*time.Millisecond, 3*time.Second)
	returnsAt := w.now + downtime
	switch w.rng.IntN(10) {
	case 0:
		l.recordLoss(target+"killed", returnsAt+l.catchUp)
		w.stop(h)
		w.schedule(downtime, func() { w.start(h) })
	case 1:
		l.recordLoss(target+"frozen", returnsAt+l.catchUp)
		h.pausedUntil = returnsAt
	case 2:
		l.recordLoss(target+"cut off", returnsAt+l.catchUp)
		l.cutOff(h, true)
		w.schedule(downtime, func() { clear(w.cutLinks) })
	case 3:
		l.recordLoss(target+"cut off one way", returnsAt+l.catchUp)
		l.cutOff(h, false)
		w.schedule(downtime, func() { clear(w.cutLinks) })
	case 4:
		l.recordLoss(target+"wiped", returnsAt+l.catchUp)
		w.wipe(h)
		w.schedule(downtime, func() { w.start(h) })
	case 5:
		l.recordLoss(target+"with a slow disk", returnsAt+l.catchUp)
		h.slowDiskUntil = returnsAt
	case 6:
		l.replaceUnplanned(h, target)
	case 7, 8:
		l.replacePlanned(h, target)
	case 9:
		l.recordLoss("all killed", l.recoveredAt)
		l.allRestartedAt = w.now + time.Second
		for _, h := range w.hosts {
			if h.machine != nil {
				w.stop(h)
				w.schedule(w.randomDuration(0, time.Second), func() { w.start(h) })
			}
		}
		w.runFor(time.Second)
	}
}

// cutOff drops all messages that a host sends, and in both directions also those that it receives.
func (l *lossSimulation) cutOff(h *host, bothDirections bool) {
	for _, other := range l.world.hosts {
		l.world.cutLinks[[2]string{h.address, other.address}] = true
		if bothDirections {
			l.world.cutLinks[[2]string{other.address, h.address}] = true
		}
	}
}

// replaceUnplanned loses a machine for good and later starts a new one at another address.
func (l *lossSimulation) replaceUnplanned(h *host, target string) {
	w := l.world
	replacementDelay := w.randomDuration(500*time.Millisecond, 2*time.Second)
	l.recordLoss(target+"replaced", w.now+replacementDelay+l.catchUp)
	w.wipe(h)
	w.schedule(replacementDelay, func() { w.start(l.newHost()) })
}

// replacePlanned starts a new machine first and later tells the old one to leave.
func (l *lossSimulation) replacePlanned(h *host, target string) {
	w := l.world
	overlap := w.randomDuration(500*time.Millisecond, 6*time.Second)
	w.start(l.newHost())
	w.runFor(overlap)
	if h.machine == nil { // it can't be down, because nothing else was lost meanwhile
		w.fail("%s is down before it is told to leave", h.address)
	}
	l.recordLoss(target+"replaced by plan", w.now-overlap+l.catchUp)
	if w.bugs.leavesImmediately {
		w.wipe(h)
		return
	}
	w.runOn(h, h.incarnation, func(m *Machine) { m.Leave() })
	l.wipeOnceLeft(h)
}

// wipeOnceLeft stops and wipes a host once it has left.
func (l *lossSimulation) wipeOnceLeft(h *host) {
	if h.machine != nil && !h.machine.HasLeft() {
		l.world.schedule(time.Millisecond, func() { l.wipeOnceLeft(h) })
		return
	}
	l.world.wipe(h)
}

// deployments are the deployments that are simulated: the number of core machines, the time that a
// lost or new machine has to catch up, and the longest time in which a command has to be
// acknowledged.
var deployments = []struct {
	name                 string
	cores                int
	catchUp, maxAckDelay time.Duration
}{
	{"three", 3, 4 * time.Second, 5 * time.Second},
	{"four, grown", 4, 6 * time.Second, 6 * time.Second},
	{"three, grown", 3, 6 * time.Second, 6 * time.Second},
	{"five", 5, 4 * time.Second, 5 * time.Second},
}

// Machines are lost, repaired and replaced one right after the other. As long as a majority does
// not count as lost, each command has to be acknowledged within maxAckDelay.
func TestLosses(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			delays, seeds := map[string][]time.Duration{}, uint64(*lossSeedCount)
			if testing.Short() {
				seeds = 1
			}
			for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
				l := newLossSimulation(seed, d.cores, d.catchUp, d.maxAckDelay, injectedLossBugs{})
				require.Nil(t, l.simulate(), "seed %d", seed)
				for kind, kindDelays := range l.ackDelays {
					delays[kind] = append(delays[kind], kindDelays...)
				}
			}
			logAckDelays(t, delays)
		})
	}
}

// useSingleVoterChanges is an injected bug. It replaces a joint configuration that has not left the
// machine yet by a change of a single voter: a voter is added before another one is removed, but a
// lost disk is removed before its successor at the same address is added.
func useSingleVoterChanges(m *Machine) {
	if m.role != leader || m.log.lastIndex() <= m.handedOffIndex || !m.log.latestConfiguration().members.isJoint() {
		return
	}
	joint := m.log.latestConfiguration()
	isIn := func(set []Member) func(Member) bool {
		return func(v Member) bool { return slices.Contains(set, v) }
	}
	added := slices.DeleteFunc(slices.Clone(joint.members.Voters), isIn(joint.members.Old))
	removed := slices.DeleteFunc(slices.Clone(joint.members.Old), isIn(joint.members.Voters))
	next := joint.members
	next.Voters, next.Old = slices.Clone(joint.members.Old), nil
	sameAddress := func(v Member) bool { return len(removed) > 0 && v.Address == removed[0].Address }
	switch {
	case len(removed) > 0 && (len(added) == 0 || slices.ContainsFunc(added, sameAddress)):
		next.Voters = slices.DeleteFunc(next.Voters, func(v Member) bool { return v == removed[0] })
	default:
		next.Voters = append(next.Voters, added[0])
	}
	laterEntries := m.log.entriesBetween(joint.place.Index, m.log.lastIndex(), 1<<62)
	m.log.truncateFrom(joint.place.Index)
	m.log.append(Entry{Index: joint.place.Index, Term: joint.place.Term, Members: &next})
	for _, e := range laterEntries {
		m.log.append(e)
	}
	m.updatePeers()
}

// logAckDelays logs the delays of acknowledgements after each kind of loss.
func logAckDelays(t *testing.T, delaysByKind map[string][]time.Duration) {
	var kinds []string
	for kind := range delaysByKind {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		delays := delaysByKind[kind]
		slices.Sort(delays)
		t.Logf("%-24s %5d times, median %v, longest %v", kind, len(delays), delays[len(delays)/2].Round(time.Millisecond),
			delays[len(delays)-1].Round(time.Millisecond))
	}
}

// Each injected bug is found because commands wait too long for their acknowledgement.
func TestLossesFindPlanted(t *testing.T) {
	for name, bugs := range map[string]injectedLossBugs{
		"eight seconds and single steps": {slowSingleVoterChanges: true},
		"a leaving member doesn't wait":  {leavesImmediately: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(40), "not found")
				failure := newLossSimulation(seed, 3, 4*time.Second, 5*time.Second, bugs).simulate()
				if strings.Contains(fmt.Sprint(failure), "unacknowledged") {
					t.Logf("seed %d: %v", seed, failure)
					return
				}
				require.Nil(t, failure)
			}
		})
	}
}
