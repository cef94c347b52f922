package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modelBugs are bugs that a test injects into the machines of a model, to show that the checks find
// them.
type modelBugs struct {
	earlyFinalConfiguration bool // the final configuration is appended before the joint one is committed
	unionMajority           bool // in a joint configuration, a majority of the union of both sets decides
}

// inject does what a machine with the bug would do, before the output of the machine is processed.
func (b modelBugs) inject(s *modelState, m *Machine) {
	if b.earlyFinalConfiguration {
		b.appendEarlyFinal(m)
	}
	if b.unionMajority {
		b.commitByUnion(s, m)
	}
}

// appendEarlyFinal appends the final configuration although the joint one is not committed.
func (b modelBugs) appendEarlyFinal(m *Machine) {
	members := m.log.latestConfiguration().members
	if m.role == leader && m.commitIndex >= m.termStartIndex && members.isJoint() {
		members.Old = nil
		m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Members: &members})
		m.updatePeers()
	}
}

// commitByUnion commits what a majority of the union of both voter sets has synced.
func (b modelBugs) commitByUnion(_ *modelState, m *Machine) {
	members := m.log.latestConfiguration().members
	if m.role != leader || !members.isJoint() {
		return
	}
	index := majorityValue(members.allVoters(), func(v Member) uint64 {
		if m.isSelf(v) {
			return m.syncedIndex
		}
		return m.voterProgress(v).matchIndex
	})
	if term, _ := m.log.termAt(index); index > m.commitIndex && term == m.hardState.Term {
		m.commitTo(index)
		m.reconcileMembers()
	}
}

// newReplacementState returns a model in which a leads three members, and some members are replaced
// by learners that have caught up. The joint configuration was just appended at a, and no other
// host has received it. The replaced hosts may still respond: since all orders of events are
// explored, they may just be slow.
func newReplacementState(limits explorationLimits, bugs modelBugs, replaced ...string) *modelState {
	hostCount := 3 + len(replaced)
	s := &modelState{hosts: make([]*modelHost, hostCount), links: make([][]inFlightMessage, hostCount*hostCount)}
	s.remaining = explorationLimits{MaxTerm: 2, LinkCapacity: 4, CandidateNames: "a"}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range s.hosts {
		s.start(i, newModelDisk(i, members), uint64(i+1))
	}
	s = s.afterAction(0, func(_ *modelState, h *modelHost) { h.machine.campaign(candidate) })
	s = s.deliverAll()
	for i := 3; i < hostCount; i++ {
		s = s.afterAction(i, func(_ *modelState, h *modelHost) { h.machine.sendJoin("a") })
	}
	s = s.deliverAll()
	s = s.afterAction(0, func(_ *modelState, h *modelHost) { h.machine.startHeartbeatRound() })
	s = s.deliverAll()
	s.remaining, s.bugs, s.startsWithLostHost = limits, bugs, limits.Down != ""
	return s.afterAction(0, func(_ *modelState, h *modelHost) {
		for _, p := range h.machine.peers {
			switch {
			case !slices.Contains(replaced, p.member.Address):
			case len(replaced) == 1:
				p.lastContact -= h.machine.replaceAfter
			default: // they count as leaving: if two of three voters were unreachable, there would be no quorum
				p.leavingUntil = leavingExpiry
			}
		}
		h.machine.reconcileMembers()
		if len(replaced) > 0 && !h.machine.log.latestConfiguration().members.isJoint() {
			panic("the leader has not started to replace a voter")
		}
	})
}

// newRestoredDiskState returns a model in which a leads three members, and c has come back with an
// empty disk and has caught up. The joint configuration in which its new disk replaces the lost one
// was just appended at a.
func newRestoredDiskState(limits explorationLimits) *modelState {
	s := newReplacementState(explorationLimits{MaxTerm: 2, LinkCapacity: 4, CandidateNames: "a"}, modelBugs{}).deliverAll()
	s = s.copyState()
	s.start(2, &State{Disk: 13}, 13)
	s.processOutput(2)
	isJoint := func(s *modelState) bool { return s.hosts[0].machine.log.latestConfiguration().members.isJoint() }
	s = s.afterAction(2, func(_ *modelState, h *modelHost) { h.machine.sendJoin("a") }).deliverUntil(isJoint)
	for !isJoint(s) {
		s = s.afterAction(0, func(_ *modelState, h *modelHost) { h.machine.startHeartbeatRound() }).deliverUntil(isJoint)
	}
	s.remaining, s.startsWithLostHost = limits, true
	return s
}

// deliverAll delivers all messages and completes all saves, until nothing is in progress.
func (s *modelState) deliverAll() *modelState {
	return s.deliverUntil(func(*modelState) bool { return false })
}

// deliverUntil delivers messages and completes saves until a condition is met or nothing is in
// progress.
func (s *modelState) deliverUntil(isDone func(*modelState) bool) *modelState {
	for progressed := true; progressed; {
		progressed = false
		for i := range s.hosts {
			if isDone(s) {
				return s
			}
			if s.hosts[i].saveInProgress != nil {
				s, progressed = s.afterSync(i), true
			}
			for to := range s.hosts {
				for index := s.linkIndex(i, to); len(s.links[index]) > 0 && !isDone(s); {
					inFlight := s.links[index][0]
					s, progressed = s.afterAction(to, func(n *modelState, h *modelHost) {
						n.links[index] = n.links[index][1:]
						h.machine.HandleMessage(inFlight.msg)
					}), true
				}
			}
		}
	}
	return s
}

// latestMembers returns the last configuration on a disk, committed or not.
func (d *State) latestMembers() Members {
	var members Members
	if d.Snapshot != nil {
		members = d.Snapshot.Members
	}
	for _, e := range d.Entries {
		if e.Members != nil {
			members = *e.Members
		}
	}
	return members
}

// lastPlace returns the place of the last entry on a disk.
func (d *State) lastPlace() Place {
	if len(d.Entries) == 0 {
		return Place{d.BaseTerm, d.BaseIndex}
	}
	last := d.Entries[len(d.Entries)-1]
	return Place{last.Term, last.Index}
}

// holdsEntry reports whether a disk holds an entry, or has compacted it away.
func (d *State) holdsEntry(e Entry) bool {
	return e.Index <= d.BaseIndex || e.Index-d.BaseIndex <= uint64(len(d.Entries)) && d.Entries[e.Index-d.BaseIndex-1].Term == e.Term
}

// canLoseHost reports whether the mesh has to tolerate the loss of the i-th host now. One host may
// be lost at a time. A host that is being replaced counts as lost until its successor has caught up
// and the configuration change is committed.
func (s *modelState) canLoseHost(i int) bool {
	if s.hasLostDisk || modelHostNames[i] == s.remaining.Down {
		return false
	}
	return !s.startsWithLostHost || slices.ContainsFunc(s.committed, func(e Entry) bool {
		return e.Members != nil && !e.Members.isJoint()
	})
}

// possibleLosses returns the sets of hosts whose simultaneous loss the mesh has to tolerate.
func (s *modelState) possibleLosses() [][]string {
	lossSets := [][]string{{s.remaining.Down}}
	for i := range s.hosts {
		if s.canLoseHost(i) {
			lossSets = append(lossSets, []string{modelHostNames[i], s.remaining.Down})
		}
	}
	return lossSets
}

// checkSurvivors assumes that each of the possible losses happens and that all other hosts lose
// power. It panics unless some host can then be elected, and each host that can be elected holds
// all committed entries on its disk.
func checkSurvivors(s *modelState) {
	for _, lost := range s.possibleLosses() {
		electable := 0
		for i, h := range s.hosts {
			if slices.Contains(lost, modelHostNames[i]) || !s.isElectable(i, lost) {
				continue
			}
			electable++
			for _, e := range s.committed {
				if !h.disk.holdsEntry(e) {
					panic(fmt.Sprintf("lost: without %v, %s can be elected, but lacks %v", lost, modelHostNames[i], e))
				}
			}
		}
		if electable == 0 {
			panic(fmt.Sprintf("no quorum: without %v no host can be elected", lost))
		}
	}
}

// isElectable reports whether the i-th host can win an election against the disks that are not
// lost.
func (s *modelState) isElectable(i int, lost []string) bool {
	disk := s.hosts[i].disk
	if _, isVoter := disk.latestMembers().findVoter(modelHostNames[i], disk.Disk, false); !isVoter {
		return false
	}
	return disk.latestMembers().hasQuorum(func(v Member) bool {
		j := slices.Index(modelHostNames, v.Address)
		other := s.hosts[j].disk
		return !slices.Contains(lost, v.Address) && other.Disk == v.Disk && !disk.lastPlace().before(other.lastPlace())
	})
}

// A learner replaces a voter, while one machine loses its disk or all lose power, before or after
// each message and each sync.
func TestWholeReplacement(t *testing.T) {
	maxStates := 60_000
	if testing.Short() { // short runs use the race detector, which is too slow for all states
		maxStates = 5_000
	}
	if *maxModelStates > 0 {
		maxStates = *maxModelStates
	}
	for i, limits := range []explorationLimits{
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, Proposals: 2},
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, Proposals: 1, PowerLosses: 1},
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, DiskLosses: 1, Joins: 1},
		{MaxTerm: 3, LinkCapacity: 1, Down: "c", CandidateNames: "b"},
		{MaxTerm: 3, LinkCapacity: 1, Down: "c", CandidateNames: "d"},
		{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "c"},
		{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, // explored only in part, up to maxStates
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			startedAt := time.Now()
			initial := newReplacementState(limits, modelBugs{}, "c")
			initial.check = checkSurvivors
			stateCount, complete, acked, failure := exploreAllStates(t, initial, maxStates)
			t.Logf("%+v: %d states in %v, all of them: %v, %d acknowledged", limits, stateCount, time.Since(startedAt), complete, acked)
			require.Nil(t, failure)
		})
	}
}

// A voter loses its disk, and its new disk replaces the old one at the same address. The voter may
// be elected while both disks are in the joint configuration.
func TestWholeRestored(t *testing.T) {
	maxStates := 60_000
	if testing.Short() {
		maxStates = 5_000
	}
	for _, limits := range []explorationLimits{{MaxTerm: 2, LinkCapacity: 1, Proposals: 1, OnlyLeaderProposes: true}, {MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, {MaxTerm: 3, LinkCapacity: 1, CandidateNames: "c"}} {
		t.Run(limits.CandidateNames, func(t *testing.T) {
			t.Parallel()
			initial := newRestoredDiskState(limits)
			initial.check = checkSurvivors
			stateCount, complete, acked, failure := exploreAllStates(t, initial, maxStates)
			t.Logf("%+v: %d states, all of them: %v, %d acknowledged", limits, stateCount, complete, acked)
			require.Nil(t, failure)
		})
	}
}

// The checks find each injected bug by the guarantee that it breaks.
func TestWholeReplacementFindsPlanted(t *testing.T) {
	for name, c := range map[string]struct {
		bugs        modelBugs
		replaced    []string
		wantFailure string
	}{
		"the final set before the joint one is committed": {modelBugs{earlyFinalConfiguration: true}, []string{"c"}, "lost"},
		"a majority of both sets together":                {modelBugs{unionMajority: true}, []string{"b", "c"}, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			initial := newReplacementState(explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, c.bugs, c.replaced...)
			initial.check = checkSurvivors
			_, _, _, failure := exploreAllStates(t, initial, 60_000)
			require.Contains(t, fmt.Sprint(failure), c.wantFailure)
		})
	}
}
