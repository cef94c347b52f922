package consensus

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var maxModelStates = flag.Int("whole", 0, "look at larger worlds too, at so many states of each")

// bounds are what may happen in a small world, whose states are all looked at. Time stands still:
// who is slow and when timers ring is told by the order of what happens.
type explorationLimits struct {
	MaxTerm, LinkCapacity, CandidateCount                      int    // the highest, messages that a link holds, and who may campaign
	Proposals, DiskLosses, PowerLosses, HeartbeatRounds, Joins int    // left
	CandidateNames                                             string // who may campaign instead of the first Candidates
	Down                                                       string // who is lost for good
	OnlyLeaderProposes                                         bool   // the leader alone proposes
}

func (b *explorationLimits) mayCampaign(i int) bool {
	if b.CandidateNames != "" {
		return strings.Contains(b.CandidateNames, modelHostNames[i])
	}
	return i < b.CandidateCount
}

// wholeNames are the hosts of small worlds; the first three are the seeds.
var modelHostNames = []string{"a", "b", "c", "d", "e"}

// flying is a message under way.
type inFlightMessage struct {
	msg Message
	key uint64
}

// cell is one host. It never changes once it is part of a state.
type modelHost struct {
	machine        *Machine
	disk           *State
	saveInProgress *Save
	appliedIndex   uint64
	key            uint64
}

// small is one state. Of the messages that a link holds any may come next, or none ever; one
// too many displaces the first.
type modelState struct {
	hosts              []*modelHost
	links              [][]inFlightMessage // from the first cell to all, from the second to all, and so on
	committed          []Entry
	rejectedIDs        []uint64
	remaining          explorationLimits
	ackedIndexes       []uint64 // indexes
	bugs               modelBugs
	check              func(*modelState) // panics
	hasLostDisk        bool
	startsWithLostHost bool // from the start, until its successor is among the voters
}

// link is where messages from one cell to another are.
func (s *modelState) linkIndex(from, to int) int { return from*len(s.hosts) + to }

// copied is a copy whose cells and links can be replaced.
func (s *modelState) copyState() *modelState {
	n := *s
	n.hosts, n.links = slices.Clone(s.hosts), slices.Clone(s.links)
	return &n
}

var keySeed = maphash.MakeSeed()

// ink writes down what a key is made of.
type stateHasher []byte

func (k *stateHasher) addNumbers(all ...uint64) {
	for _, v := range all {
		*k = binary.AppendUvarint(*k, v)
	}
}

func (k *stateHasher) addBools(all ...bool) {
	for _, v := range all {
		*k = strconv.AppendBool(*k, v)
	}
}

func (k *stateHasher) addMembers(all ...Member) {
	k.addNumbers(uint64(len(all)))
	for _, v := range all {
		*k = append(*k, v.Address...)
		k.addNumbers(v.Disk)
	}
}

func (k *stateHasher) addEntries(all []Entry) {
	k.addNumbers(uint64(len(all)))
	for _, e := range all {
		k.addNumbers(e.Index, e.Term, e.Origin, e.ID)
		if k.addBools(e.Members != nil); e.Members != nil {
			k.addMembers(e.Members.Voters...)
			k.addMembers(e.Members.Old...)
		}
	}
}

func (k *stateHasher) addMessages(all ...Message) {
	k.addNumbers(uint64(len(all)))
	for _, m := range all {
		k.addMembers(Member{m.From, m.Disk}, Member{m.To, m.ToDisk}, Member{Address: m.Leader})
		k.addNumbers(uint64(m.Kind), m.Term, m.Index, m.LogTerm, m.Commit, m.Sequence, m.About, m.MembersAt.Term, m.MembersAt.Index, m.Origin, m.ID)
		k.addBools(m.Founder, m.Quiet, m.Reject)
		k.addEntries(m.Entries)
		if m.Snapshot != nil {
			k.addNumbers(m.Snapshot.Index)
		}
		if m.Members != nil {
			k.addMembers(m.Members.Voters...)
			k.addMembers(m.Members.Old...)
		}
	}
}

func (k *stateHasher) sum() uint64 { return maphash.Bytes(keySeed, *k) }

func (s *modelState) key() uint64 {
	var k stateHasher
	for _, c := range s.hosts {
		k.addNumbers(c.key)
	}
	for _, l := range s.links {
		k.addNumbers(uint64(len(l)))
		for _, f := range l {
			k.addNumbers(f.key)
		}
	}
	k.addNumbers(uint64(len(s.committed)))
	k.addNumbers(s.rejectedIDs...)
	k = fmt.Append(k, s.remaining)
	return k.sum()
}

// seal notes what tells a host from others, without what only time or counting is about.
func (c *modelHost) updateKey() {
	m := c.machine
	var k stateHasher
	for _, h := range []Hard{c.disk.Hard, m.hardState, m.lastLeader} {
		k.addNumbers(h.Term)
		k.addMembers(h.Vote)
	}
	k.addNumbers(c.disk.Disk, c.disk.BaseIndex, m.diskID, m.incarnation, uint64(m.role), m.log.baseIndex, m.commitIndex, m.appliedIndex, m.handedOffIndex, m.savingIndex, m.syncedIndex, m.termStartIndex,
		m.heartbeatRound, m.excludedAt.Term, m.excludedAt.Index)
	k.addEntries(c.disk.Entries)
	k.addEntries(m.log.entries)
	k.addMembers(append([]Member{m.leader}, m.votes...)...)
	k.addBools(m.departure.requested, m.departure.finished)
	if k.addBools(m.hardStateDirty, m.snapshotDirty, c.saveInProgress != nil, c.disk.Snapshot != nil); c.saveInProgress != nil {
		k.addNumbers(c.saveInProgress.Hard.Term, c.saveInProgress.FirstIndex, c.saveInProgress.BaseIndex)
		k.addMembers(c.saveInProgress.Hard.Vote)
		k.addEntries(c.saveInProgress.Entries)
	}
	k.addMessages(m.awaitingSave...)
	k.addMessages(m.awaitingSync...)
	for _, p := range m.peers {
		k.addMembers(p.member)
		k.addBools(p.isLearner, p.probeSent, p.leavingUntil > 0)
		k.addNumbers(p.discoveredDisk, uint64(p.state), p.matchIndex, p.nextIndex, p.sentCommit, p.ackedRound, p.sentRound, p.learnerSinceRound)
	}
	for _, p := range m.pendingProposals {
		k.addBools(p.retried)
		k.addNumbers(p.id, p.forwardedTerm)
	}
	for _, o := range m.proposalWindows {
		k.addNumbers(o.incarnation, o.highestID, o.seenBits[0])
	}
	c.key = k.sum()
}

// clone is a machine of its own.
func (m *Machine) clone() *Machine {
	c := *m
	c.log.entries, c.log.cumulativeBytes, c.log.configurations = slices.Clone(m.log.entries), slices.Clone(m.log.cumulativeBytes), slices.Clone(m.log.configurations)
	c.votes, c.knownAddresses, c.proposalWindows = slices.Clone(m.votes), slices.Clone(m.knownAddresses), slices.Clone(m.proposalWindows)
	c.outbox, c.awaitingSave, c.awaitingSync = slices.Clone(m.outbox), slices.Clone(m.awaitingSave), slices.Clone(m.awaitingSync)
	c.pendingProposals, c.pendingReads, c.completions, c.leaderReads = slices.Clone(m.pendingProposals), slices.Clone(m.pendingReads), slices.Clone(m.completions), slices.Clone(m.leaderReads)
	c.peers = slices.Clone(m.peers)
	for i, p := range m.peers {
		q := *p
		c.peers[i] = &q
	}
	return &c
}

func (s *modelState) start(i int, disk *State, life uint64) {
	m := New(Config{Self: modelHostNames[i], Seeds: seedNames, Incarnation: life, Rand: rand.New(rand.NewPCG(1, 1)), State: *disk})
	s.hosts[i] = &modelHost{machine: m, disk: disk, appliedIndex: m.appliedIndex}
}

// step has a host of a copy of the state do something.
func (s *modelState) afterAction(i int, do func(n *modelState, c *modelHost)) *modelState {
	n := s.copyState()
	n.hosts[i] = &modelHost{machine: s.hosts[i].machine.clone(), disk: s.hosts[i].disk, saveInProgress: s.hosts[i].saveInProgress, appliedIndex: s.hosts[i].appliedIndex}
	do(n, n.hosts[i])
	n.bugs.inject(n, n.hosts[i].machine)
	n.processOutput(i)
	return n
}

func (s *modelState) processOutput(i int) {
	c := s.hosts[i]
	for o := c.machine.NextOutput(); !o.Empty(); o = c.machine.NextOutput() {
		for _, msg := range o.Messages {
			if msg.To == s.remaining.Down {
				continue
			}
			l := s.linkIndex(i, slices.Index(modelHostNames, msg.To))
			var k stateHasher
			k.addMessages(msg)
			next := append(slices.Clone(s.links[l]), inFlightMessage{msg, k.sum()})
			if slices.ContainsFunc(s.links[l], func(f inFlightMessage) bool { return f.key == next[len(next)-1].key }) {
				continue
			}
			s.links[l] = next[max(0, len(next)-s.remaining.LinkCapacity):]
		}
		if o.Restore != nil {
			c.appliedIndex = o.Restore.Index
		}
		for _, e := range o.Apply {
			if c.appliedIndex++; e.Index != c.appliedIndex {
				panic(fmt.Sprintf("%d applied after %d", e.Index, c.appliedIndex-1))
			}
			at := int(e.Index) - 2 // the world begins at 1
			if at == len(s.committed) {
				s.committed = append(slices.Clip(s.committed), e)
			}
			if was := s.committed[at]; was.Term != e.Term || was.ID != e.ID || was.Origin != e.Origin {
				panic(fmt.Sprintf("%v applied where there was %v", e, was))
			}
			if e.Origin != 0 && slices.Contains(s.rejectedIDs, e.Origin<<8|e.ID) {
				panic(fmt.Sprintf("%v was refused", e))
			}
		}
		for _, d := range o.Completions {
			if d.Err == nil {
				s.ackedIndexes = append(slices.Clip(s.ackedIndexes), d.Index)
			} else if !errors.Is(d.Err, ErrUnknown) {
				id := c.machine.incarnation<<8 | d.ID
				if slices.ContainsFunc(s.committed, func(e Entry) bool { return e.Origin<<8|e.ID == id }) {
					panic("what was refused is committed")
				}
				s.rejectedIDs = append(slices.Clip(s.rejectedIDs), id)
			}
		}
		if o.Save != nil {
			c.saveInProgress = o.Save
		}
	}
	if c.machine.role == leader {
		for j, other := range s.hosts {
			if j != i && other.machine.role == leader && other.machine.hardState.Term == c.machine.hardState.Term {
				panic("two leaders in one term")
			}
		}
	}
	c.updateKey()
}

// synced is the state in which what a host saves is on its disk.
func (s *modelState) afterSync(i int) *modelState {
	return s.afterAction(i, func(_ *modelState, c *modelHost) {
		disk := *c.disk
		(&world{}).writeSave(&host{disk: &disk}, c.saveInProgress)
		c.disk, c.saveInProgress = &disk, nil
		c.machine.SaveCompleted()
	})
}

// next are the states that may follow, each with what happens.
func (s *modelState) visitSuccessors(visit func(what string, n *modelState)) {
	lowest := uint64(s.remaining.MaxTerm)
	for i, c := range s.hosts {
		if s.remaining.Down == modelHostNames[i] {
			continue
		}
		for to := range s.hosts {
			link := s.links[s.linkIndex(i, to)]
			for k, f := range link {
				n := s.afterAction(to, func(n *modelState, c *modelHost) {
					n.links[n.linkIndex(i, to)] = slices.Delete(slices.Clone(link), k, k+1)
					c.machine.HandleMessage(f.msg)
				})
				visit(fmt.Sprintf("%s gets %d of %s, term %d, index %d", f.msg.To, f.msg.Kind, f.msg.From, f.msg.Term, f.msg.Index), n)
			}
		}
		m := c.machine
		if c.saveInProgress != nil {
			visit(m.self+" has synced", s.afterSync(i))
		}
		if s.remaining.mayCampaign(i) && m.canCampaign() && m.role != leader && m.hardState.Term < lowest {
			visit(m.self+" campaigns", s.afterAction(i, func(_ *modelState, c *modelHost) { c.machine.campaign(candidate) }))
		}
		if m.role == leader && s.remaining.HeartbeatRounds > 0 {
			n := s.afterAction(i, func(_ *modelState, c *modelHost) { c.machine.startHeartbeatRound() })
			n.remaining.HeartbeatRounds--
			visit(m.self+" beats", n)
		}
		if m.leader.Address != "" && s.remaining.Proposals > 0 && (m.role == leader || !s.remaining.OnlyLeaderProposes) {
			n := s.afterAction(i, func(_ *modelState, c *modelHost) { c.machine.Propose(uint64(s.remaining.Proposals), []byte("x")) })
			n.remaining.Proposals--
			visit(m.self+" proposes", n)
		}
		if !m.canCampaign() && m.role != leader && s.remaining.Joins > 0 {
			n := s.afterAction(i, func(_ *modelState, c *modelHost) { c.machine.requestJoin() })
			n.remaining.Joins--
			visit(m.self+" asks to join", n)
		}
		if s.remaining.DiskLosses > 0 && s.canLoseHost(i) {
			n := s.copyState()
			n.remaining.DiskLosses--
			n.hasLostDisk = true
			n.start(i, &State{Disk: uint64(10 + i)}, uint64(10+i))
			n.processOutput(i)
			visit(m.self+" loses its disk", n)
		}
	}
	if s.remaining.PowerLosses > 0 { // that a save is on disk already is the state in which it has synced
		n := s.copyState()
		n.remaining.PowerLosses--
		for i, c := range s.hosts {
			n.start(i, c.disk, uint64(20+i))
		}
		for i := range n.hosts {
			n.processOutput(i)
		}
		visit("all lose power", n)
	}
}

// threeMembers is a small world of the three seeds, all of them members.
func newThreeMemberState(left explorationLimits) *modelState {
	first := &modelState{remaining: left, hosts: make([]*modelHost, 3), links: make([][]inFlightMessage, 9)}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range first.hosts {
		first.start(i, newModelDisk(i, members), uint64(i+1))
	}
	for i := range first.hosts {
		first.processOutput(i)
	}
	return first
}

// memberState is a disk that holds the members as of 1, and is that of the i-th host.
func newModelDisk(i int, members Members) *State {
	return &State{Disk: uint64(i + 1), Hard: Hard{Term: 1}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: Place{1, 1}}}
}

// whole looks at all states that may come of one, the near ones first, up to a number. It tells how
// many there were, whether these are all, how many acknowledgements the richest had, and what went
// wrong, if anything did.
func exploreAllStates(t *testing.T, first *modelState, most int) (states int, all bool, acked int, trouble any) {
	type step struct {
		from uint64
		what string
	}
	came := map[uint64]step{first.key(): {}}
	for frontier := []*modelState{first}; len(frontier) > 0; {
		var after []*modelState
		for _, s := range frontier {
			at := s.key()
			func() {
				defer func() {
					if trouble = recover(); trouble != nil {
						t.Log("the way to what follows, backwards: ", trouble)
						for k := at; came[k].what != ""; k = came[k].from {
							t.Log(came[k].what)
						}
					}
				}()
				s.visitSuccessors(func(what string, n *modelState) {
					if k := n.key(); came[k] == (step{}) {
						came[k] = step{at, what}
						after = append(after, n)
						if n.check != nil {
							n.check(n)
						}
						acked = max(acked, len(n.ackedIndexes))
					}
				})
			}()
			if len(came) >= most || trouble != nil {
				return len(came), false, acked, trouble
			}
		}
		frontier = after
	}
	return len(came), true, acked, nil
}

// All states of little worlds of three machines; with -whole of larger ones, as many as are asked
// for.
func TestWhole(t *testing.T) {
	worlds := []explorationLimits{
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 2, Proposals: 1},
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 1, PowerLosses: 1},
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 1, DiskLosses: 1},
	}
	most := 60_000
	if *maxModelStates > 0 {
		most = *maxModelStates
		worlds = append(worlds, explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateCount: 2}, explorationLimits{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 2},
			explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateCount: 2, Proposals: 2, DiskLosses: 1, PowerLosses: 1, HeartbeatRounds: 1, Joins: 1})
	}
	for i, left := range worlds {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			states, all, acked, trouble := exploreAllStates(t, newThreeMemberState(left), most)
			require.Nil(t, trouble)
			t.Logf("%+v: %d states in %v, all of them: %v, %d acknowledged", left, states, time.Since(began), all, acked)
			if i < 3 {
				require.True(t, all)
				require.Equal(t, left.Proposals, acked)
			}
		})
	}
}
