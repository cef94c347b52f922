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

var maxModelStates = flag.Int("whole", 0, "also explore larger models, up to this number of states of each")

// explorationLimits bound the events in a model of which all states are explored. Time does not
// pass in the model. All orders of events are explored instead, which covers slow hosts and timers
// that fire at any time.
type explorationLimits struct {
	// MaxTerm is the highest term, LinkCapacity is the number of messages that a link holds, and
	// the first CandidateCount hosts may campaign.
	MaxTerm, LinkCapacity, CandidateCount int
	// How many of these events may still happen. Joins counts Join messages of learners.
	Proposals, DiskLosses, PowerLosses, HeartbeatRounds, Joins int

	CandidateNames     string // if not empty, the hosts that may campaign instead
	Down               string // a host that is lost for good; empty: none
	OnlyLeaderProposes bool   // followers make no proposals
}

// mayCampaign reports whether the i-th host may campaign.
func (limits *explorationLimits) mayCampaign(i int) bool {
	if limits.CandidateNames != "" {
		return strings.Contains(limits.CandidateNames, modelHostNames[i])
	}
	return i < limits.CandidateCount
}

// modelHostNames are the names of the hosts of a model. The first three are the seeds.
var modelHostNames = []string{"a", "b", "c", "d", "e"}

// inFlightMessage is a message on a link, and its hash.
type inFlightMessage struct {
	msg Message
	key uint64
}

// modelHost is a host of a model. It is not modified once it is part of a state.
type modelHost struct {
	machine        *Machine
	disk           *State
	saveInProgress *Save
	appliedIndex   uint64
	key            uint64 // hash of the fields above: see updateKey
}

// modelState is one state of a model. The messages on a link may be delivered in any order, or
// never. A message that exceeds the capacity of a link displaces the oldest one.
type modelState struct {
	hosts        []*modelHost
	links        [][]inFlightMessage // by sender and receiver: see linkIndex
	committed    []Entry             // entries that some host has applied, from index 2 on
	rejectedIDs  []uint64            // rejected proposals, as incarnation<<8 | ID
	remaining    explorationLimits   // events that may still happen
	ackedIndexes []uint64            // of acknowledged proposals
	bugs         modelBugs
	check        func(*modelState) // panics if the state is wrong; nil: no check
	hasLostDisk  bool              // a host lost its disk in the course of events
	// startsWithLostHost means that one host counts as lost until its successor is a voter.
	startsWithLostHost bool
}

// linkIndex returns the index in links of the messages from one host to another.
func (s *modelState) linkIndex(from, to int) int { return from*len(s.hosts) + to }

// copyState returns a copy of which hosts and links can be replaced.
func (s *modelState) copyState() *modelState {
	n := *s
	n.hosts, n.links = slices.Clone(s.hosts), slices.Clone(s.links)
	return &n
}

var keySeed = maphash.MakeSeed()

// stateHasher collects the data of which a hash is computed.
type stateHasher []byte

func (hasher *stateHasher) addNumbers(values ...uint64) {
	for _, v := range values {
		*hasher = binary.AppendUvarint(*hasher, v)
	}
}

func (hasher *stateHasher) addBools(values ...bool) {
	for _, v := range values {
		*hasher = strconv.AppendBool(*hasher, v)
	}
}

func (hasher *stateHasher) addMembers(values ...Member) {
	hasher.addNumbers(uint64(len(values)))
	for _, v := range values {
		*hasher = append(*hasher, v.Address...)
		hasher.addNumbers(v.Disk)
	}
}

func (hasher *stateHasher) addEntries(values []Entry) {
	hasher.addNumbers(uint64(len(values)))
	for _, e := range values {
		hasher.addNumbers(e.Index, e.Term, e.Origin, e.ID)
		if hasher.addBools(e.Members != nil); e.Members != nil {
			hasher.addMembers(e.Members.Voters...)
			hasher.addMembers(e.Members.Old...)
		}
	}
}

func (hasher *stateHasher) addMessages(values ...Message) {
	hasher.addNumbers(uint64(len(values)))
	for _, m := range values {
		hasher.addMembers(Member{m.From, m.Disk}, Member{m.To, m.ToDisk}, Member{Address: m.Leader})
		hasher.addNumbers(uint64(m.Kind), m.Term, m.Index, m.LogTerm, m.Commit, m.Sequence, m.About, m.MembersAt.Term, m.MembersAt.Index, m.Origin, m.ID)
		hasher.addBools(m.Founder, m.Quiet, m.Reject)
		hasher.addEntries(m.Entries)
		if m.Snapshot != nil {
			hasher.addNumbers(m.Snapshot.Index)
		}
		if m.Members != nil {
			hasher.addMembers(m.Members.Voters...)
			hasher.addMembers(m.Members.Old...)
		}
	}
}

func (hasher *stateHasher) sum() uint64 { return maphash.Bytes(keySeed, *hasher) }

// key returns a hash that identifies the state.
func (s *modelState) key() uint64 {
	var hasher stateHasher
	for _, h := range s.hosts {
		hasher.addNumbers(h.key)
	}
	for _, link := range s.links {
		hasher.addNumbers(uint64(len(link)))
		for _, inFlight := range link {
			hasher.addNumbers(inFlight.key)
		}
	}
	hasher.addNumbers(uint64(len(s.committed)))
	hasher.addNumbers(s.rejectedIDs...)
	hasher = fmt.Append(hasher, s.remaining)
	return hasher.sum()
}

// updateKey computes the key of a host. Fields that only depend on time, or only count events, are
// left out.
func (h *modelHost) updateKey() {
	m := h.machine
	var hasher stateHasher
	for _, hardState := range []Hard{h.disk.Hard, m.hardState, m.lastLeader} {
		hasher.addNumbers(hardState.Term)
		hasher.addMembers(hardState.Vote)
	}
	hasher.addNumbers(h.disk.Disk, h.disk.BaseIndex, m.diskID, m.incarnation, uint64(m.role), m.log.baseIndex, m.commitIndex, m.appliedIndex, m.handedOffIndex, m.savingIndex, m.syncedIndex, m.termStartIndex,
		m.heartbeatRound, m.excludedAt.Term, m.excludedAt.Index)
	hasher.addEntries(h.disk.Entries)
	hasher.addEntries(m.log.entries)
	hasher.addMembers(append([]Member{m.leader}, m.votes...)...)
	hasher.addBools(m.departure.requested, m.departure.finished)
	if hasher.addBools(m.hardStateDirty, m.snapshotDirty, h.saveInProgress != nil, h.disk.Snapshot != nil); h.saveInProgress != nil {
		hasher.addNumbers(h.saveInProgress.Hard.Term, h.saveInProgress.FirstIndex, h.saveInProgress.BaseIndex)
		hasher.addMembers(h.saveInProgress.Hard.Vote)
		hasher.addEntries(h.saveInProgress.Entries)
	}
	hasher.addMessages(m.awaitingSave...)
	hasher.addMessages(m.awaitingSync...)
	for _, p := range m.peers {
		hasher.addMembers(p.member)
		hasher.addBools(p.isLearner, p.probeSent, p.leavingUntil > 0)
		hasher.addNumbers(p.discoveredDisk, uint64(p.state), p.matchIndex, p.nextIndex, p.sentCommit, p.ackedRound, p.sentRound, p.learnerSinceRound)
	}
	for _, p := range m.pendingProposals {
		hasher.addBools(p.retried)
		hasher.addNumbers(p.id, p.forwardedTerm)
	}
	for _, window := range m.proposalWindows {
		hasher.addNumbers(window.incarnation, window.highestID, window.seenBits[0])
	}
	h.key = hasher.sum()
}

// clone returns a copy that can be modified independently.
func (m *Machine) clone() *Machine {
	clone := *m
	clone.log.entries, clone.log.cumulativeBytes, clone.log.configurations = slices.Clone(m.log.entries), slices.Clone(m.log.cumulativeBytes), slices.Clone(m.log.configurations)
	clone.votes, clone.knownAddresses, clone.proposalWindows = slices.Clone(m.votes), slices.Clone(m.knownAddresses), slices.Clone(m.proposalWindows)
	clone.outbox, clone.awaitingSave, clone.awaitingSync = slices.Clone(m.outbox), slices.Clone(m.awaitingSave), slices.Clone(m.awaitingSync)
	clone.pendingProposals, clone.pendingReads, clone.completions, clone.leaderReads = slices.Clone(m.pendingProposals), slices.Clone(m.pendingReads), slices.Clone(m.completions), slices.Clone(m.leaderReads)
	clone.peers = slices.Clone(m.peers)
	for i, p := range m.peers {
		q := *p
		clone.peers[i] = &q
	}
	return &clone
}

// start creates a machine for the i-th host from the content of a disk.
func (s *modelState) start(i int, disk *State, incarnation uint64) {
	m := New(Config{Self: modelHostNames[i], Seeds: seedNames, Incarnation: incarnation, Rand: rand.New(rand.NewPCG(1, 1)), State: *disk})
	s.hosts[i] = &modelHost{machine: m, disk: disk, appliedIndex: m.appliedIndex}
}

// afterAction returns the state after an action of the i-th host, including the output of its
// machine.
func (s *modelState) afterAction(i int, action func(n *modelState, h *modelHost)) *modelState {
	n := s.copyState()
	n.hosts[i] = &modelHost{machine: s.hosts[i].machine.clone(), disk: s.hosts[i].disk, saveInProgress: s.hosts[i].saveInProgress, appliedIndex: s.hosts[i].appliedIndex}
	action(n, n.hosts[i])
	n.bugs.inject(n, n.hosts[i].machine)
	n.processOutput(i)
	return n
}

// processOutput does the work that the machine of the i-th host requests, and updates the host's
// key. It panics if the host applies other entries than other hosts, if a rejected proposal is
// committed, or if there are two leaders in a term.
func (s *modelState) processOutput(i int) {
	h := s.hosts[i]
	for output := h.machine.NextOutput(); !output.Empty(); output = h.machine.NextOutput() {
		for _, msg := range output.Messages {
			if msg.To == s.remaining.Down {
				continue
			}
			index := s.linkIndex(i, slices.Index(modelHostNames, msg.To))
			var hasher stateHasher
			hasher.addMessages(msg)
			queued := append(slices.Clone(s.links[index]), inFlightMessage{msg, hasher.sum()})
			if slices.ContainsFunc(s.links[index], func(other inFlightMessage) bool { return other.key == queued[len(queued)-1].key }) {
				continue
			}
			s.links[index] = queued[max(0, len(queued)-s.remaining.LinkCapacity):]
		}
		if output.Restore != nil {
			h.appliedIndex = output.Restore.Index
		}
		for _, e := range output.Apply {
			if h.appliedIndex++; e.Index != h.appliedIndex {
				panic(fmt.Sprintf("entry %d applied after entry %d", e.Index, h.appliedIndex-1))
			}
			position := int(e.Index) - 2 // the model starts with a snapshot at index 1
			if position == len(s.committed) {
				s.committed = append(slices.Clip(s.committed), e)
			}
			if previous := s.committed[position]; previous.Term != e.Term || previous.ID != e.ID || previous.Origin != e.Origin {
				panic(fmt.Sprintf("%v applied where %v was applied before", e, previous))
			}
			if e.Origin != 0 && slices.Contains(s.rejectedIDs, e.Origin<<8|e.ID) {
				panic(fmt.Sprintf("%v was rejected and is committed", e))
			}
		}
		for _, completion := range output.Completions {
			if completion.Err == nil {
				s.ackedIndexes = append(slices.Clip(s.ackedIndexes), completion.Index)
			} else if !errors.Is(completion.Err, ErrUnknown) {
				proposalID := h.machine.incarnation<<8 | completion.ID
				if slices.ContainsFunc(s.committed, func(e Entry) bool { return e.Origin<<8|e.ID == proposalID }) {
					panic("a committed proposal is reported as rejected")
				}
				s.rejectedIDs = append(slices.Clip(s.rejectedIDs), proposalID)
			}
		}
		if output.Save != nil {
			h.saveInProgress = output.Save
		}
	}
	if h.machine.role == leader {
		for j, other := range s.hosts {
			if j != i && other.machine.role == leader && other.machine.hardState.Term == h.machine.hardState.Term {
				panic("two leaders in one term")
			}
		}
	}
	h.updateKey()
}

// afterSync returns the state after the save in progress of the i-th host is synced.
func (s *modelState) afterSync(i int) *modelState {
	return s.afterAction(i, func(_ *modelState, h *modelHost) {
		disk := *h.disk
		(&world{}).writeSave(&host{disk: &disk}, h.saveInProgress)
		h.disk, h.saveInProgress = &disk, nil
		h.machine.SaveCompleted()
	})
}

// visitSuccessors calls visit with each state that may follow, and with the event that leads to it.
func (s *modelState) visitSuccessors(visit func(event string, n *modelState)) {
	maxTerm := uint64(s.remaining.MaxTerm)
	for i, h := range s.hosts {
		if s.remaining.Down == modelHostNames[i] {
			continue
		}
		for to := range s.hosts {
			link := s.links[s.linkIndex(i, to)]
			for position, inFlight := range link {
				n := s.afterAction(to, func(n *modelState, h *modelHost) {
					n.links[n.linkIndex(i, to)] = slices.Delete(slices.Clone(link), position, position+1)
					h.machine.HandleMessage(inFlight.msg)
				})
				visit(fmt.Sprintf("%s receives a message of kind %d from %s, term %d, index %d", inFlight.msg.To, inFlight.msg.Kind, inFlight.msg.From, inFlight.msg.Term, inFlight.msg.Index), n)
			}
		}
		m := h.machine
		if h.saveInProgress != nil {
			visit(m.self+" has synced", s.afterSync(i))
		}
		if s.remaining.mayCampaign(i) && m.canCampaign() && m.role != leader && m.hardState.Term < maxTerm {
			visit(m.self+" campaigns", s.afterAction(i, func(_ *modelState, h *modelHost) { h.machine.campaign(candidate) }))
		}
		if m.role == leader && s.remaining.HeartbeatRounds > 0 {
			n := s.afterAction(i, func(_ *modelState, h *modelHost) { h.machine.startHeartbeatRound() })
			n.remaining.HeartbeatRounds--
			visit(m.self+" starts a heartbeat round", n)
		}
		if m.leader.Address != "" && s.remaining.Proposals > 0 && (m.role == leader || !s.remaining.OnlyLeaderProposes) {
			n := s.afterAction(i, func(_ *modelState, h *modelHost) { h.machine.Propose(uint64(s.remaining.Proposals), []byte("x")) })
			n.remaining.Proposals--
			visit(m.self+" proposes", n)
		}
		if !m.canCampaign() && m.role != leader && s.remaining.Joins > 0 {
			n := s.afterAction(i, func(_ *modelState, h *modelHost) { h.machine.requestJoin() })
			n.remaining.Joins--
			visit(m.self+" sends a Join message", n)
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
	// A save in progress is lost. The state in which it was synced before covers the other case.
	if s.remaining.PowerLosses > 0 {
		n := s.copyState()
		n.remaining.PowerLosses--
		for i, h := range s.hosts {
			n.start(i, h.disk, uint64(20+i))
		}
		for i := range n.hosts {
			n.processOutput(i)
		}
		visit("all lose power", n)
	}
}

// newThreeMemberState returns a model of the three seeds, all of which are members.
func newThreeMemberState(limits explorationLimits) *modelState {
	initial := &modelState{remaining: limits, hosts: make([]*modelHost, 3), links: make([][]inFlightMessage, 9)}
	members := Members{Target: 3, Voters: []Member{{"a", 1}, {"b", 2}, {"c", 3}}}
	for i := range initial.hosts {
		initial.start(i, newModelDisk(i, members), uint64(i+1))
	}
	for i := range initial.hosts {
		initial.processOutput(i)
	}
	return initial
}

// newModelDisk returns the disk of the i-th host, with a snapshot at index 1 that contains the
// members.
func newModelDisk(i int, members Members) *State {
	return &State{Disk: uint64(i + 1), Hard: Hard{Term: 1}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: Place{1, 1}}}
}

// exploreAllStates explores the states that can be reached from one, breadth-first, up to
// maxStates. It returns the number of states, whether these are all, the highest number of
// acknowledgements in a state, and the failure that a check found, or nil.
func exploreAllStates(t *testing.T, initial *modelState, maxStates int) (stateCount int, complete bool, maxAcked int, failure any) {
	type transition struct {
		previous uint64
		event    string
	}
	reachedBy := map[uint64]transition{initial.key(): {}}
	for frontier := []*modelState{initial}; len(frontier) > 0; {
		var nextFrontier []*modelState
		for _, s := range frontier {
			current := s.key()
			func() {
				defer func() {
					if failure = recover(); failure != nil {
						t.Log("events that lead to the failure, the last one first: ", failure)
						for key := current; reachedBy[key].event != ""; key = reachedBy[key].previous {
							t.Log(reachedBy[key].event)
						}
					}
				}()
				s.visitSuccessors(func(event string, n *modelState) {
					if key := n.key(); reachedBy[key] == (transition{}) {
						reachedBy[key] = transition{current, event}
						nextFrontier = append(nextFrontier, n)
						if n.check != nil {
							n.check(n)
						}
						maxAcked = max(maxAcked, len(n.ackedIndexes))
					}
				})
			}()
			if len(reachedBy) >= maxStates || failure != nil {
				return len(reachedBy), false, maxAcked, failure
			}
		}
		frontier = nextFrontier
	}
	return len(reachedBy), true, maxAcked, nil
}

// Explores all states of small models of three hosts. With the flag -whole it also explores larger
// models, up to the given number of states.
func TestWhole(t *testing.T) {
	limitSets := []explorationLimits{
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 2, Proposals: 1},
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 1, PowerLosses: 1},
		{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 1, DiskLosses: 1},
	}
	maxStates := 60_000
	if *maxModelStates > 0 {
		maxStates = *maxModelStates
		limitSets = append(limitSets, explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateCount: 2}, explorationLimits{MaxTerm: 2, LinkCapacity: 1, CandidateCount: 1, Proposals: 2},
			explorationLimits{MaxTerm: 3, LinkCapacity: 1, CandidateCount: 2, Proposals: 2, DiskLosses: 1, PowerLosses: 1, HeartbeatRounds: 1, Joins: 1})
	}
	for i, limits := range limitSets {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			startedAt := time.Now()
			stateCount, complete, acked, failure := exploreAllStates(t, newThreeMemberState(limits), maxStates)
			require.Nil(t, failure)
			t.Logf("%+v: %d states in %v, all of them: %v, %d acknowledged", limits, stateCount, time.Since(startedAt), complete, acked)
			if i < 3 {
				require.True(t, complete)
				require.Equal(t, limits.Proposals, acked)
			}
		})
	}
}
