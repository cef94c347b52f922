package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallBugs is a fault that is put into the machines of a small world.
type modelBugs struct {
	earlyFinalConfiguration bool // the final configuration is appended before the joint one is committed
	unionMajority           bool // in a joint configuration, a majority of both sets together decides
}

// tamper does what a machine with the fault would do, before anything is handed out.
func (p modelBugs) inject(s *modelState, m *Machine) {
	if p.earlyFinalConfiguration {
		p.appendEarlyFinal(m)
	}
	if p.unionMajority {
		p.commitByUnion(s, m)
	}
}

func (p modelBugs) appendEarlyFinal(m *Machine) {
	members := m.log.latestConfiguration().members
	if m.role == leader && m.commitIndex >= m.termStartIndex && members.isJoint() {
		members.Old = nil
		m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Members: &members})
		m.updatePeers()
	}
}

func (p modelBugs) commitByUnion(_ *modelState, m *Machine) {
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

// replacing is a small world in which a leads three members, and learners that hold all take the
// places of some. The joint configuration has just been appended at a; nobody else has heard of it.
// Time stands still, so those that are replaced may just as well be there: as slow as the order of
// what happens has them.
func newReplacementState(left explorationLimits, bugs modelBugs, replaced ...string) *modelState {
	hosts := 3 + len(replaced)
	s := &modelState{hosts: make([]*modelHost, hosts), links: make([][]inFlightMessage, hosts*hosts)}
	s.remaining = explorationLimits{MaxTerm: 2, LinkCapacity: 4, CandidateNames: "a"}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range s.hosts {
		s.start(i, newModelDisk(i, members), uint64(i+1))
	}
	s = s.afterAction(0, func(_ *modelState, c *modelHost) { c.machine.campaign(candidate) })
	s = s.deliverAll()
	for i := 3; i < hosts; i++ {
		s = s.afterAction(i, func(_ *modelState, c *modelHost) { c.machine.sendJoin("a") })
	}
	s = s.deliverAll()
	s = s.afterAction(0, func(_ *modelState, c *modelHost) { c.machine.startHeartbeatRound() })
	s = s.deliverAll()
	s.remaining, s.bugs, s.startsWithLostHost = left, bugs, left.Down != ""
	return s.afterAction(0, func(_ *modelState, c *modelHost) {
		for _, p := range c.machine.peers {
			switch {
			case !slices.Contains(replaced, p.member.Address):
			case len(replaced) == 1:
				p.lastContact -= c.machine.replaceAfter
			default: // of those that are unheard, two would be too many
				p.leavingUntil = leavingExpiry
			}
		}
		c.machine.reconcileMembers()
		if len(replaced) > 0 && !c.machine.log.latestConfiguration().members.isJoint() {
			panic("nobody is replaced")
		}
	})
}

// restored is a small world in which a leads three members, and c has come back with an empty disk
// and caught up. The joint configuration in which its new disk takes the place of the lost one has
// just been appended at a.
func newRestoredDiskState(left explorationLimits) *modelState {
	s := newReplacementState(explorationLimits{MaxTerm: 2, LinkCapacity: 4, CandidateNames: "a"}, modelBugs{}).deliverAll()
	s = s.copyState()
	s.start(2, &State{Disk: 13}, 13)
	s.processOutput(2)
	isJoint := func(s *modelState) bool { return s.hosts[0].machine.log.latestConfiguration().members.isJoint() }
	s = s.afterAction(2, func(_ *modelState, c *modelHost) { c.machine.sendJoin("a") }).deliverUntil(isJoint)
	for !isJoint(s) {
		s = s.afterAction(0, func(_ *modelState, c *modelHost) { c.machine.startHeartbeatRound() }).deliverUntil(isJoint)
	}
	s.remaining, s.startsWithLostHost = left, true
	return s
}

// calm delivers and syncs until nothing is under way.
func (s *modelState) deliverAll() *modelState {
	return s.deliverUntil(func(*modelState) bool { return false })
}

func (s *modelState) deliverUntil(stop func(*modelState) bool) *modelState {
	for again := true; again; {
		again = false
		for i := range s.hosts {
			if stop(s) {
				return s
			}
			if s.hosts[i].saveInProgress != nil {
				s, again = s.afterSync(i), true
			}
			for to := range s.hosts {
				for l := s.linkIndex(i, to); len(s.links[l]) > 0 && !stop(s); {
					f := s.links[l][0]
					s, again = s.afterAction(to, func(n *modelState, c *modelHost) {
						n.links[l] = n.links[l][1:]
						c.machine.HandleMessage(f.msg)
					}), true
				}
			}
		}
	}
	return s
}

// newest is the last configuration on a disk, committed or not.
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

func (d *State) lastPlace() Place {
	if len(d.Entries) == 0 {
		return Place{d.BaseTerm, d.BaseIndex}
	}
	last := d.Entries[len(d.Entries)-1]
	return Place{last.Term, last.Index}
}

func (d *State) holdsEntry(e Entry) bool {
	return e.Index <= d.BaseIndex || e.Index-d.BaseIndex <= uint64(len(d.Entries)) && d.Entries[e.Index-d.BaseIndex-1].Term == e.Term
}

// mayBeLost tells whether a host may be lost, by what the pages count: one at a time. One that was
// replaced is lost until its successor has had its time, of which the change takes a part; then it
// counts no more.
func (s *modelState) canLoseHost(i int) bool {
	if s.hasLostDisk || modelHostNames[i] == s.remaining.Down {
		return false
	}
	return !s.startsWithLostHost || slices.ContainsFunc(s.committed, func(e Entry) bool {
		return e.Members != nil && !e.Members.isJoint()
	})
}

// mayLose are the sets of hosts that may be lost at once.
func (s *modelState) possibleLosses() [][]string {
	sets := [][]string{{s.remaining.Down}}
	for i := range s.hosts {
		if s.canLoseHost(i) {
			sets = append(sets, []string{modelHostNames[i], s.remaining.Down})
		}
	}
	return sets
}

// survivorsSuffice panics unless, whatever may be lost now, and with all others' power, somebody can
// be elected of what is on the disks that are left, and whoever can holds all that was committed.
func checkSurvivors(s *modelState) {
	for _, lost := range s.possibleLosses() {
		electable := 0
		for i, c := range s.hosts {
			if slices.Contains(lost, modelHostNames[i]) || !s.isElectable(i, lost) {
				continue
			}
			electable++
			for _, e := range s.committed {
				if !c.disk.holdsEntry(e) {
					panic(fmt.Sprintf("lost: without %v, %s can be elected and lacks %v", lost, modelHostNames[i], e))
				}
			}
		}
		if electable == 0 {
			panic(fmt.Sprintf("no quorum: without %v nobody can be elected", lost))
		}
	}
}

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

// A learner takes the place of a voter, and one machine loses its disk or all lose power, at each
// message and each sync.
func TestWholeReplacement(t *testing.T) {
	most := 60_000
	if testing.Short() { // with the race detector; all of them is for a run without
		most = 5_000
	}
	if *maxModelStates > 0 {
		most = *maxModelStates
	}
	for i, left := range []explorationLimits{
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, Proposals: 2},
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, Proposals: 1, PowerLosses: 1},
		{MaxTerm: 2, LinkCapacity: 1, Down: "c", OnlyLeaderProposes: true, DiskLosses: 1, Joins: 1},
		{MaxTerm: 3, LinkCapacity: 1, Down: "c", CandidateNames: "b"},
		{MaxTerm: 3, LinkCapacity: 1, Down: "c", CandidateNames: "d"},
		{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "c"},
		{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, // in part
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			first := newReplacementState(left, modelBugs{}, "c")
			first.check = checkSurvivors
			states, all, acked, trouble := exploreAllStates(t, first, most)
			t.Logf("%+v: %d states in %v, all of them: %v, %d acknowledged", left, states, time.Since(began), all, acked)
			require.Nil(t, trouble)
		})
	}
}

// A voter's disk is lost, and its new one takes the place of the old one at the same address. It
// may be elected while both are in the configuration.
func TestWholeRestored(t *testing.T) {
	most := 60_000
	if testing.Short() {
		most = 5_000
	}
	for _, left := range []explorationLimits{{MaxTerm: 2, LinkCapacity: 1, Proposals: 1, OnlyLeaderProposes: true}, {MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, {MaxTerm: 3, LinkCapacity: 1, CandidateNames: "c"}} {
		t.Run(left.CandidateNames, func(t *testing.T) {
			t.Parallel()
			first := newRestoredDiskState(left)
			first.check = checkSurvivors
			states, all, acked, trouble := exploreAllStates(t, first, most)
			t.Logf("%+v: %d states, all of them: %v, %d acknowledged", left, states, all, acked)
			require.Nil(t, trouble)
		})
	}
}

// Each planted fault is found by what it breaks.
func TestWholeReplacementFindsPlanted(t *testing.T) {
	for name, p := range map[string]struct {
		bugs     modelBugs
		replaced []string
		finds    string
	}{
		"the final set before the joint one is committed": {modelBugs{earlyFinalConfiguration: true}, []string{"c"}, "lost"},
		"a majority of both sets together":                {modelBugs{unionMajority: true}, []string{"b", "c"}, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newReplacementState(explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateNames: "b"}, p.bugs, p.replaced...)
			first.check = checkSurvivors
			_, _, _, trouble := exploreAllStates(t, first, 60_000)
			require.Contains(t, fmt.Sprint(trouble), p.finds)
		})
	}
}
