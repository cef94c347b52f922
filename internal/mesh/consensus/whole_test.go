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

var wholeStates = flag.Int("whole", 0, "look at larger worlds too, at so many states of each")

// bounds are what may happen in a small world, whose states are all looked at. Time stands still:
// who is slow and when timers ring is told by the order of what happens.
type bounds struct {
	Terms, Link, Candidates            int    // the highest, messages that a link holds, and who may campaign
	Items, Wipes, Losses, Beats, Joins int    // left
	Campaigners                        string // who may campaign instead of the first Candidates
	Down                               string // who is lost for good
	AtLeader                           bool   // the leader alone proposes
}

func (b *bounds) mayCampaign(i int) bool {
	if b.Campaigners != "" {
		return strings.Contains(b.Campaigners, wholeNames[i])
	}
	return i < b.Candidates
}

// wholeNames are the hosts of small worlds; the first three are the seeds.
var wholeNames = []string{"a", "b", "c", "d", "e"}

// flying is a message under way.
type flying struct {
	msg Message
	key uint64
}

// cell is one host. It never changes once it is part of a state.
type cell struct {
	machine *Machine
	disk    *State
	saving  *Save
	applied uint64
	key     uint64
}

// small is one state. Of the messages that a link holds any may come next, or none ever; one
// too many displaces the first.
type small struct {
	cells     []*cell
	links     [][]flying // from the first cell to all, from the second to all, and so on
	committed []Entry
	refused   []uint64
	left      bounds
	acked     []uint64 // indexes
	bugs      smallBugs
	judge     func(*small) // panics
	wiped     bool
	oneIsLost bool // from the start, until its successor is among the voters
}

// link is where messages from one cell to another are.
func (s *small) link(from, to int) int { return from*len(s.cells) + to }

// copied is a copy whose cells and links can be replaced.
func (s *small) copied() *small {
	n := *s
	n.cells, n.links = slices.Clone(s.cells), slices.Clone(s.links)
	return &n
}

var keySeed = maphash.MakeSeed()

// ink writes down what a key is made of.
type ink []byte

func (k *ink) num(all ...uint64) {
	for _, v := range all {
		*k = binary.AppendUvarint(*k, v)
	}
}

func (k *ink) truth(all ...bool) {
	for _, v := range all {
		*k = strconv.AppendBool(*k, v)
	}
}

func (k *ink) members(all ...Member) {
	k.num(uint64(len(all)))
	for _, v := range all {
		*k = append(*k, v.Address...)
		k.num(v.Disk)
	}
}

func (k *ink) entries(all []Entry) {
	k.num(uint64(len(all)))
	for _, e := range all {
		k.num(e.Index, e.Term, e.Origin, e.ID)
		if k.truth(e.Members != nil); e.Members != nil {
			k.members(e.Members.Voters...)
			k.members(e.Members.Old...)
		}
	}
}

func (k *ink) messages(all ...Message) {
	k.num(uint64(len(all)))
	for _, m := range all {
		k.members(Member{m.From, m.Disk}, Member{m.To, m.ToDisk}, Member{Address: m.Leader})
		k.num(uint64(m.Kind), m.Term, m.Index, m.LogTerm, m.Commit, m.Sequence, m.About, m.MembersAt.Term, m.MembersAt.Index, m.Origin, m.ID)
		k.truth(m.Founder, m.Quiet, m.Reject)
		k.entries(m.Entries)
		if m.Snapshot != nil {
			k.num(m.Snapshot.Index)
		}
		if m.Members != nil {
			k.members(m.Members.Voters...)
			k.members(m.Members.Old...)
		}
	}
}

func (k *ink) key() uint64 { return maphash.Bytes(keySeed, *k) }

func (s *small) key() uint64 {
	var k ink
	for _, c := range s.cells {
		k.num(c.key)
	}
	for _, l := range s.links {
		k.num(uint64(len(l)))
		for _, f := range l {
			k.num(f.key)
		}
	}
	k.num(uint64(len(s.committed)))
	k.num(s.refused...)
	k = fmt.Append(k, s.left)
	return k.key()
}

// seal notes what tells a host from others, without what only time or counting is about.
func (c *cell) seal() {
	m := c.machine
	var k ink
	for _, h := range []Hard{c.disk.Hard, m.hardState, m.lastLeader} {
		k.num(h.Term)
		k.members(h.Vote)
	}
	k.num(c.disk.Disk, c.disk.BaseIndex, m.diskID, m.incarnation, uint64(m.role), m.log.baseIndex, m.commitIndex, m.appliedIndex, m.handedOffIndex, m.savingIndex, m.syncedIndex, m.termStartIndex,
		m.heartbeatRound, m.excludedAt.Term, m.excludedAt.Index)
	k.entries(c.disk.Entries)
	k.entries(m.log.entries)
	k.members(append([]Member{m.leader}, m.votes...)...)
	k.truth(m.departure.requested, m.departure.finished)
	if k.truth(m.hardStateDirty, m.snapshotDirty, c.saving != nil, c.disk.Snapshot != nil); c.saving != nil {
		k.num(c.saving.Hard.Term, c.saving.FirstIndex, c.saving.BaseIndex)
		k.members(c.saving.Hard.Vote)
		k.entries(c.saving.Entries)
	}
	k.messages(m.awaitingSave...)
	k.messages(m.awaitingSync...)
	for _, p := range m.peers {
		k.members(p.member)
		k.truth(p.isLearner, p.probeSent, p.leavingUntil > 0)
		k.num(p.discoveredDisk, uint64(p.state), p.matchIndex, p.nextIndex, p.sentCommit, p.ackedRound, p.sentRound, p.learnerSinceRound)
	}
	for _, p := range m.pendingProposals {
		k.truth(p.retried)
		k.num(p.id, p.forwardedTerm)
	}
	for _, o := range m.proposalWindows {
		k.num(o.incarnation, o.highestID, o.seenBits[0])
	}
	c.key = k.key()
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

func (s *small) start(i int, disk *State, life uint64) {
	m := New(Config{Self: wholeNames[i], Seeds: seedNames, Incarnation: life, Rand: rand.New(rand.NewPCG(1, 1)), State: *disk})
	s.cells[i] = &cell{machine: m, disk: disk, applied: m.appliedIndex}
}

// step has a host of a copy of the state do something.
func (s *small) step(i int, do func(n *small, c *cell)) *small {
	n := s.copied()
	n.cells[i] = &cell{machine: s.cells[i].machine.clone(), disk: s.cells[i].disk, saving: s.cells[i].saving, applied: s.cells[i].applied}
	do(n, n.cells[i])
	n.bugs.tamper(n, n.cells[i].machine)
	n.settle(i)
	return n
}

func (s *small) settle(i int) {
	c := s.cells[i]
	for o := c.machine.NextOutput(); !o.Empty(); o = c.machine.NextOutput() {
		for _, msg := range o.Messages {
			if msg.To == s.left.Down {
				continue
			}
			l := s.link(i, slices.Index(wholeNames, msg.To))
			var k ink
			k.messages(msg)
			next := append(slices.Clone(s.links[l]), flying{msg, k.key()})
			if slices.ContainsFunc(s.links[l], func(f flying) bool { return f.key == next[len(next)-1].key }) {
				continue
			}
			s.links[l] = next[max(0, len(next)-s.left.Link):]
		}
		if o.Restore != nil {
			c.applied = o.Restore.Index
		}
		for _, e := range o.Apply {
			if c.applied++; e.Index != c.applied {
				panic(fmt.Sprintf("%d applied after %d", e.Index, c.applied-1))
			}
			at := int(e.Index) - 2 // the world begins at 1
			if at == len(s.committed) {
				s.committed = append(slices.Clip(s.committed), e)
			}
			if was := s.committed[at]; was.Term != e.Term || was.ID != e.ID || was.Origin != e.Origin {
				panic(fmt.Sprintf("%v applied where there was %v", e, was))
			}
			if e.Origin != 0 && slices.Contains(s.refused, e.Origin<<8|e.ID) {
				panic(fmt.Sprintf("%v was refused", e))
			}
		}
		for _, d := range o.Completions {
			if d.Err == nil {
				s.acked = append(slices.Clip(s.acked), d.Index)
			} else if !errors.Is(d.Err, ErrUnknown) {
				id := c.machine.incarnation<<8 | d.ID
				if slices.ContainsFunc(s.committed, func(e Entry) bool { return e.Origin<<8|e.ID == id }) {
					panic("what was refused is committed")
				}
				s.refused = append(slices.Clip(s.refused), id)
			}
		}
		if o.Save != nil {
			c.saving = o.Save
		}
	}
	if c.machine.role == leader {
		for j, other := range s.cells {
			if j != i && other.machine.role == leader && other.machine.hardState.Term == c.machine.hardState.Term {
				panic("two leaders in one term")
			}
		}
	}
	c.seal()
}

// synced is the state in which what a host saves is on its disk.
func (s *small) synced(i int) *small {
	return s.step(i, func(_ *small, c *cell) {
		disk := *c.disk
		(&world{}).write(&host{disk: &disk}, c.saving)
		c.disk, c.saving = &disk, nil
		c.machine.SaveCompleted()
	})
}

// next are the states that may follow, each with what happens.
func (s *small) next(visit func(what string, n *small)) {
	lowest := uint64(s.left.Terms)
	for i, c := range s.cells {
		if s.left.Down == wholeNames[i] {
			continue
		}
		for to := range s.cells {
			link := s.links[s.link(i, to)]
			for k, f := range link {
				n := s.step(to, func(n *small, c *cell) {
					n.links[n.link(i, to)] = slices.Delete(slices.Clone(link), k, k+1)
					c.machine.HandleMessage(f.msg)
				})
				visit(fmt.Sprintf("%s gets %d of %s, term %d, index %d", f.msg.To, f.msg.Kind, f.msg.From, f.msg.Term, f.msg.Index), n)
			}
		}
		m := c.machine
		if c.saving != nil {
			visit(m.self+" has synced", s.synced(i))
		}
		if s.left.mayCampaign(i) && m.canCampaign() && m.role != leader && m.hardState.Term < lowest {
			visit(m.self+" campaigns", s.step(i, func(_ *small, c *cell) { c.machine.campaign(candidate) }))
		}
		if m.role == leader && s.left.Beats > 0 {
			n := s.step(i, func(_ *small, c *cell) { c.machine.startHeartbeatRound() })
			n.left.Beats--
			visit(m.self+" beats", n)
		}
		if m.leader.Address != "" && s.left.Items > 0 && (m.role == leader || !s.left.AtLeader) {
			n := s.step(i, func(_ *small, c *cell) { c.machine.Propose(uint64(s.left.Items), []byte("x")) })
			n.left.Items--
			visit(m.self+" proposes", n)
		}
		if !m.canCampaign() && m.role != leader && s.left.Joins > 0 {
			n := s.step(i, func(_ *small, c *cell) { c.machine.requestJoin() })
			n.left.Joins--
			visit(m.self+" asks to join", n)
		}
		if s.left.Wipes > 0 && s.mayBeLost(i) {
			n := s.copied()
			n.left.Wipes--
			n.wiped = true
			n.start(i, &State{Disk: uint64(10 + i)}, uint64(10+i))
			n.settle(i)
			visit(m.self+" loses its disk", n)
		}
	}
	if s.left.Losses > 0 { // that a save is on disk already is the state in which it has synced
		n := s.copied()
		n.left.Losses--
		for i, c := range s.cells {
			n.start(i, c.disk, uint64(20+i))
		}
		for i := range n.cells {
			n.settle(i)
		}
		visit("all lose power", n)
	}
}

// threeMembers is a small world of the three seeds, all of them members.
func threeMembers(left bounds) *small {
	first := &small{left: left, cells: make([]*cell, 3), links: make([][]flying, 9)}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range first.cells {
		first.start(i, memberState(i, members), uint64(i+1))
	}
	for i := range first.cells {
		first.settle(i)
	}
	return first
}

// memberState is a disk that holds the members as of 1, and is that of the i-th host.
func memberState(i int, members Members) *State {
	return &State{Disk: uint64(i + 1), Hard: Hard{Term: 1}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: Place{1, 1}}}
}

// whole looks at all states that may come of one, the near ones first, up to a number. It tells how
// many there were, whether these are all, how many acknowledgements the richest had, and what went
// wrong, if anything did.
func whole(t *testing.T, first *small, most int) (states int, all bool, acked int, trouble any) {
	type step struct {
		from uint64
		what string
	}
	came := map[uint64]step{first.key(): {}}
	for frontier := []*small{first}; len(frontier) > 0; {
		var after []*small
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
				s.next(func(what string, n *small) {
					if k := n.key(); came[k] == (step{}) {
						came[k] = step{at, what}
						after = append(after, n)
						if n.judge != nil {
							n.judge(n)
						}
						acked = max(acked, len(n.acked))
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
	worlds := []bounds{
		{Terms: 2, Link: 1, Candidates: 2, Items: 1},
		{Terms: 2, Link: 1, Candidates: 1, Items: 1, Losses: 1},
		{Terms: 2, Link: 1, Candidates: 1, Items: 1, Wipes: 1},
	}
	most := 60_000
	if *wholeStates > 0 {
		most = *wholeStates
		worlds = append(worlds, bounds{Terms: 3, Link: 1, Candidates: 2}, bounds{Terms: 2, Link: 1, Candidates: 1, Items: 2},
			bounds{Terms: 3, Link: 1, Candidates: 2, Items: 2, Wipes: 1, Losses: 1, Beats: 1, Joins: 1})
	}
	for i, left := range worlds {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			states, all, acked, trouble := whole(t, threeMembers(left), most)
			require.Nil(t, trouble)
			t.Logf("%+v: %d states in %v, all of them: %v, %d acknowledged", left, states, time.Since(began), all, acked)
			if i < 3 {
				require.True(t, all)
				require.Equal(t, left.Items, acked)
			}
		})
	}
}
