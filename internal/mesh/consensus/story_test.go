package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// carryOut does what a machine wants until it wants no more, on a disk that takes no time.
func drainOutput(m *Machine) {
	for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
		if o.Save != nil {
			m.SaveCompleted()
		}
	}
}

// alone is the machine of a, of which a disk holds the members a and b as of 1, and more entries.
func newTestMachine(target int, entries ...Entry) *Machine {
	members := Members{Voters: []Member{{"a", 1}, {"b", 2}}, Target: target}
	if target == 3 {
		members.Voters = append(members.Voters, Member{"c", 3})
	}
	at := Place{1, 1}
	return New(Config{Self: "a", Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 1, Hard: Hard{Term: 3}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: at}, Entries: entries}})
}

// said brings a reply of another node in the machine's term.
func deliverReply(m *Machine, msg Message) {
	msg.To, msg.Term, msg.Sequence = "a", m.hardState.Term, m.heartbeatRound
	if msg.Kind == PreVoteReply {
		msg.Term++
	}
	m.HandleMessage(msg)
	drainOutput(m)
}

// elected has b vote for a.
func electLeader(t *testing.T, m *Machine) {
	m.Advance(m.Deadline())
	drainOutput(m)
	deliverReply(m, Message{Kind: PreVoteReply, From: "b", Disk: 2})
	deliverReply(m, Message{Kind: VoteReply, From: "b", Disk: 2})
	require.Equal(t, leader, m.role)
}

// beats lets time pass; the others answer with what they have.
func runHeartbeats(m *Machine, have map[string]uint64) {
	disks := map[string]uint64{"b": 2, "c": 3, "d": 4, "e": 5}
	for range 3 {
		m.Advance(m.now + heartbeatInterval)
		drainOutput(m)
		for _, name := range []string{"b", "c", "d", "e"} {
			if index, ok := have[name]; ok {
				deliverReply(m, Message{Kind: AppendEntriesReply, From: name, Disk: disks[name], Index: index})
			}
		}
	}
}

// What a majority has of an earlier term may still be overwritten by a leader that lacks it and has
// a later term at the end; an entry of the leader's own term shuts that out.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	m := newTestMachine(3, Entry{Index: 2, Term: 2})
	electLeader(t, m)
	runHeartbeats(m, map[string]uint64{"b": 2})
	require.Equal(t, uint64(1), m.commitIndex)
	runHeartbeats(m, map[string]uint64{"b": 3})
	require.Equal(t, uint64(3), m.commitIndex)
}

// Before an entry of its own term holds, a leader doesn't know whether a change of members of the
// leader before it does. A change needs majorities of both sets, and only once it is committed do the
// incoming voters decide alone.
func TestMembersChangeOneAtATime(t *testing.T) {
	m := newTestMachine(4)
	electLeader(t, m)
	for _, learner := range []Member{{"d", 4}, {"e", 5}} {
		deliverReply(m, Message{Kind: Join, From: learner.Address, Disk: learner.Disk})
	}
	runHeartbeats(m, map[string]uint64{"b": 1, "d": 2, "e": 2})
	require.Len(t, m.log.latestConfiguration().members.Voters, 2, "nothing of this term is committed")
	runHeartbeats(m, map[string]uint64{"b": 2, "d": 2, "e": 2})
	joint := m.log.latestConfiguration().members
	require.Equal(t, []Member{{"a", 1}, {"b", 2}}, joint.Old)
	require.Equal(t, []Member{{"a", 1}, {"b", 2}, {"d", 4}, {"e", 5}}, joint.Voters)
	runHeartbeats(m, map[string]uint64{"b": 2, "d": 3, "e": 3})
	require.Equal(t, joint, m.log.latestConfiguration().members, "no majority of the outgoing voters has it")
	require.Equal(t, uint64(2), m.commitIndex)
	runHeartbeats(m, map[string]uint64{"b": 3, "d": 2, "e": 2})
	require.Equal(t, uint64(3), m.commitIndex, "three of four, and both of two")
	require.Equal(t, Members{Voters: joint.Voters, Target: 4}, m.log.latestConfiguration().members)
}

// A sync that was under way when the entries in it gave way to others tells nothing of those.
func TestSyncOfWhatWasOverwritten(t *testing.T) {
	m := newTestMachine(3)
	entries := func(from, to, term uint64) (list []Entry) {
		for i := from; i <= to; i++ {
			list = append(list, Entry{Index: i, Term: term})
		}
		return list
	}
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "a", Disk: 2, Term: 4, Index: 1, LogTerm: 1, Entries: entries(2, 5, 4)})
	require.NotNil(t, m.NextOutput().Save)
	m.HandleMessage(Message{Kind: AppendEntries, From: "c", To: "a", Disk: 3, Term: 5, Index: 2, LogTerm: 4, Entries: entries(3, 6, 5)})
	m.SaveCompleted()
	require.Equal(t, uint64(2), m.syncedIndex)
	for _, msg := range m.NextOutput().Messages {
		require.Equal(t, uint64(4), msg.Term, "what is not synced is promised")
	}
	m.SaveCompleted()
	require.Equal(t, uint64(6), m.syncedIndex)
	require.Equal(t, uint64(6), m.NextOutput().Messages[0].Index)
	require.Less(t, m.now, time.Second)
}

// A node with an empty disk that hears an old mesh, and then the one that was founded from its
// backup: terms of the two may be alike, and have nothing to do with each other.
func TestTwoMeshesSpeak(t *testing.T) {
	m := New(Config{Self: "c", Seeds: seedNames, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 9}})
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "c", Disk: 2, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	drainOutput(m)
	m.Propose(1, []byte("x"))
	m.HandleMessage(Message{Kind: AppendEntries, From: "a", To: "c", Disk: 5, Term: 3, Mesh: 77, Index: 9, LogTerm: 3})
	require.Equal(t, []Completion{{ID: 1, Err: ErrUnknown}}, m.NextOutput().Completions)
	require.Equal(t, "a", m.leader.Address)
	members := Members{Voters: []Member{{"a", 5}}, Target: 3, Mesh: 77}
	m.HandleMessage(Message{Kind: InstallSnapshot, From: "a", To: "c", Disk: 5, Term: 3, Mesh: 77, Snapshot: &Snapshot{Index: 9, Term: 3, Members: members, MembersAt: Place{3, 9}}})
	drainOutput(m)
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "c", Disk: 2, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	require.Equal(t, "a", m.leader.Address)
	require.Equal(t, uint64(1), m.Status().Foreign)
}
