package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallBugs is a fault that is put into the machines of a small world.
type smallBugs struct {
	earlyFinal bool // the final configuration is appended before the joint one is committed
	unionOnly  bool // in a joint configuration, a majority of both sets together decides
}

// tamper does what a machine with the fault would do, before anything is handed out.
func (p smallBugs) tamper(s *small, m *Machine) {
	if p.earlyFinal {
		p.appendEarlyFinal(m)
	}
	if p.unionOnly {
		p.commitByUnion(s, m)
	}
}

func (p smallBugs) appendEarlyFinal(m *Machine) {
	members := m.log.latestConfiguration().members
	if m.role == leader && m.commitIndex >= m.termStartIndex && members.isJoint() {
		members.Old = nil
		m.log.append(Entry{Index: m.log.lastIndex() + 1, Term: m.hardState.Term, Members: &members})
		m.updatePeers()
	}
}

func (p smallBugs) commitByUnion(_ *small, m *Machine) {
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
func replacing(left bounds, bugs smallBugs, replaced ...string) *small {
	hosts := 3 + len(replaced)
	s := &small{cells: make([]*cell, hosts), links: make([][]flying, hosts*hosts)}
	s.left = bounds{Terms: 2, Link: 4, Campaigners: "a"}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range s.cells {
		s.start(i, memberState(i, members), uint64(i+1))
	}
	s = s.step(0, func(_ *small, c *cell) { c.machine.campaign(candidate) })
	s = s.calm()
	for i := 3; i < hosts; i++ {
		s = s.step(i, func(_ *small, c *cell) { c.machine.sendJoin("a") })
	}
	s = s.calm()
	s = s.step(0, func(_ *small, c *cell) { c.machine.startHeartbeatRound() })
	s = s.calm()
	s.left, s.bugs, s.oneIsLost = left, bugs, left.Down != ""
	return s.step(0, func(_ *small, c *cell) {
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
func restored(left bounds) *small {
	s := replacing(bounds{Terms: 2, Link: 4, Campaigners: "a"}, smallBugs{}).calm()
	s = s.copied()
	s.start(2, &State{Disk: 13}, 13)
	s.settle(2)
	isJoint := func(s *small) bool { return s.cells[0].machine.log.latestConfiguration().members.isJoint() }
	s = s.step(2, func(_ *small, c *cell) { c.machine.sendJoin("a") }).calmUntil(isJoint)
	for !isJoint(s) {
		s = s.step(0, func(_ *small, c *cell) { c.machine.startHeartbeatRound() }).calmUntil(isJoint)
	}
	s.left, s.oneIsLost = left, true
	return s
}

// calm delivers and syncs until nothing is under way.
func (s *small) calm() *small { return s.calmUntil(func(*small) bool { return false }) }

func (s *small) calmUntil(stop func(*small) bool) *small {
	for again := true; again; {
		again = false
		for i := range s.cells {
			if stop(s) {
				return s
			}
			if s.cells[i].saving != nil {
				s, again = s.synced(i), true
			}
			for to := range s.cells {
				for l := s.link(i, to); len(s.links[l]) > 0 && !stop(s); {
					f := s.links[l][0]
					s, again = s.step(to, func(n *small, c *cell) {
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
func (d *State) newest() Members {
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

func (d *State) end() Place {
	if len(d.Entries) == 0 {
		return Place{d.BaseTerm, d.BaseIndex}
	}
	last := d.Entries[len(d.Entries)-1]
	return Place{last.Term, last.Index}
}

func (d *State) holds(e Entry) bool {
	return e.Index <= d.BaseIndex || e.Index-d.BaseIndex <= uint64(len(d.Entries)) && d.Entries[e.Index-d.BaseIndex-1].Term == e.Term
}

// mayBeLost tells whether a host may be lost, by what the pages count: one at a time. One that was
// replaced is lost until its successor has had its time, of which the change takes a part; then it
// counts no more.
func (s *small) mayBeLost(i int) bool {
	if s.wiped || wholeNames[i] == s.left.Down {
		return false
	}
	return !s.oneIsLost || slices.ContainsFunc(s.committed, func(e Entry) bool {
		return e.Members != nil && !e.Members.isJoint()
	})
}

// mayLose are the sets of hosts that may be lost at once.
func (s *small) mayLose() [][]string {
	sets := [][]string{{s.left.Down}}
	for i := range s.cells {
		if s.mayBeLost(i) {
			sets = append(sets, []string{wholeNames[i], s.left.Down})
		}
	}
	return sets
}

// survivorsSuffice panics unless, whatever may be lost now, and with all others' power, somebody can
// be elected of what is on the disks that are left, and whoever can holds all that was committed.
func survivorsSuffice(s *small) {
	for _, lost := range s.mayLose() {
		electable := 0
		for i, c := range s.cells {
			if slices.Contains(lost, wholeNames[i]) || !s.isElectable(i, lost) {
				continue
			}
			electable++
			for _, e := range s.committed {
				if !c.disk.holds(e) {
					panic(fmt.Sprintf("lost: without %v, %s can be elected and lacks %v", lost, wholeNames[i], e))
				}
			}
		}
		if electable == 0 {
			panic(fmt.Sprintf("no quorum: without %v nobody can be elected", lost))
		}
	}
}

func (s *small) isElectable(i int, lost []string) bool {
	disk := s.cells[i].disk
	if _, isVoter := disk.newest().findVoter(wholeNames[i], disk.Disk, false); !isVoter {
		return false
	}
	return disk.newest().hasQuorum(func(v Member) bool {
		j := slices.Index(wholeNames, v.Address)
		other := s.cells[j].disk
		return !slices.Contains(lost, v.Address) && other.Disk == v.Disk && !disk.end().before(other.end())
	})
}

// A learner takes the place of a voter, and one machine loses its disk or all lose power, at each
// message and each sync.
func TestWholeReplacement(t *testing.T) {
	most := 60_000
	if testing.Short() { // with the race detector; all of them is for a run without
		most = 5_000
	}
	if *wholeStates > 0 {
		most = *wholeStates
	}
	for i, left := range []bounds{
		{Terms: 2, Link: 1, Down: "c", AtLeader: true, Items: 2},
		{Terms: 2, Link: 1, Down: "c", AtLeader: true, Items: 1, Losses: 1},
		{Terms: 2, Link: 1, Down: "c", AtLeader: true, Wipes: 1, Joins: 1},
		{Terms: 3, Link: 1, Down: "c", Campaigners: "b"},
		{Terms: 3, Link: 1, Down: "c", Campaigners: "d"},
		{Terms: 3, Link: 1, Campaigners: "c"},
		{Terms: 3, Link: 1, Campaigners: "b"}, // in part
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			first := replacing(left, smallBugs{}, "c")
			first.judge = survivorsSuffice
			states, all, acked, trouble := whole(t, first, most)
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
	for _, left := range []bounds{{Terms: 2, Link: 1, Items: 1, AtLeader: true}, {Terms: 3, Link: 1, Campaigners: "b"}, {Terms: 3, Link: 1, Campaigners: "c"}} {
		t.Run(left.Campaigners, func(t *testing.T) {
			t.Parallel()
			first := restored(left)
			first.judge = survivorsSuffice
			states, all, acked, trouble := whole(t, first, most)
			t.Logf("%+v: %d states, all of them: %v, %d acknowledged", left, states, all, acked)
			require.Nil(t, trouble)
		})
	}
}

// Each planted fault is found by what it breaks.
func TestWholeReplacementFindsPlanted(t *testing.T) {
	for name, p := range map[string]struct {
		bugs     smallBugs
		replaced []string
		finds    string
	}{
		"the final set before the joint one is committed": {smallBugs{earlyFinal: true}, []string{"c"}, "lost"},
		"a majority of both sets together":                {smallBugs{unionOnly: true}, []string{"b", "c"}, "lost"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := replacing(bounds{Terms: 3, Link: 1, Campaigners: "b"}, p.bugs, p.replaced...)
			first.judge = survivorsSuffice
			_, _, _, trouble := whole(t, first, 60_000)
			require.Contains(t, fmt.Sprint(trouble), p.finds)
		})
	}
}
