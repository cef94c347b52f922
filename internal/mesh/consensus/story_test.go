package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainOutput takes the output of a machine until there is none, with a disk that syncs
// immediately.
func drainOutput(m *Machine) {
	for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
		if o.Save != nil {
			m.SaveCompleted()
		}
	}
}

// newTestMachine returns the machine of node a. Its disk holds a snapshot at index 1 with the
// voters a and b (and c if target is 3), and the given entries.
func newTestMachine(target int, entries ...Entry) *Machine {
	members := Members{Voters: []Member{{"a", 1}, {"b", 2}}, Target: target}
	if target == 3 {
		members.Voters = append(members.Voters, Member{"c", 3})
	}
	place := Place{1, 1}
	return New(Config{Self: "a", Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 1, Hard: Hard{Term: 3}, BaseIndex: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: place}, Entries: entries}})
}

// deliverReply passes a reply of another node in the machine's current term.
func deliverReply(m *Machine, msg Message) {
	msg.To, msg.Term, msg.Sequence = "a", m.hardState.Term, m.heartbeatRound
	if msg.Kind == PreVoteReply {
		msg.Term++
	}
	m.HandleMessage(msg)
	drainOutput(m)
}

// electLeader makes a the leader with the vote of b.
func electLeader(t *testing.T, m *Machine) {
	m.Advance(m.Deadline())
	drainOutput(m)
	deliverReply(m, Message{Kind: PreVoteReply, From: "b", Disk: 2})
	deliverReply(m, Message{Kind: VoteReply, From: "b", Disk: 2})
	require.Equal(t, leader, m.role)
}

// runHeartbeats runs three heartbeats, which the other nodes acknowledge up to the given indexes.
func runHeartbeats(m *Machine, ackedIndexes map[string]uint64) {
	disks := map[string]uint64{"b": 2, "c": 3, "d": 4, "e": 5}
	for range 3 {
		m.Advance(m.now + heartbeatInterval)
		drainOutput(m)
		for _, name := range []string{"b", "c", "d", "e"} {
			if index, ok := ackedIndexes[name]; ok {
				deliverReply(m, Message{Kind: AppendEntriesReply, From: name, Disk: disks[name], Index: index})
			}
		}
	}
}

// An entry of an earlier term that a majority holds may still be overwritten by a leader that lacks
// it and whose last entry has a later term. An entry of the leader's own term rules that out.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	m := newTestMachine(3, Entry{Index: 2, Term: 2})
	electLeader(t, m)
	runHeartbeats(m, map[string]uint64{"b": 2})
	require.Equal(t, uint64(1), m.commitIndex)
	runHeartbeats(m, map[string]uint64{"b": 3})
	require.Equal(t, uint64(3), m.commitIndex)
}

// Until an entry of its own term is committed, a leader can't know whether a configuration of the
// previous leader is in effect. A joint configuration needs majorities of both sets, and only after
// it is committed do the incoming voters decide alone.
func TestMembersChangeOneAtATime(t *testing.T) {
	m := newTestMachine(4)
	electLeader(t, m)
	for _, learner := range []Member{{"d", 4}, {"e", 5}} {
		deliverReply(m, Message{Kind: Join, From: learner.Address, Disk: learner.Disk})
	}
	runHeartbeats(m, map[string]uint64{"b": 1, "d": 2, "e": 2})
	require.Len(t, m.log.latestConfiguration().members.Voters, 2, "no entry of this term is committed")
	runHeartbeats(m, map[string]uint64{"b": 2, "d": 2, "e": 2})
	joint := m.log.latestConfiguration().members
	require.Equal(t, []Member{{"a", 1}, {"b", 2}}, joint.Old)
	require.Equal(t, []Member{{"a", 1}, {"b", 2}, {"d", 4}, {"e", 5}}, joint.Voters)
	runHeartbeats(m, map[string]uint64{"b": 2, "d": 3, "e": 3})
	require.Equal(t, joint, m.log.latestConfiguration().members, "no majority of the outgoing voters holds it")
	require.Equal(t, uint64(2), m.commitIndex)
	runHeartbeats(m, map[string]uint64{"b": 3, "d": 2, "e": 2})
	require.Equal(t, uint64(3), m.commitIndex, "three of four incoming and both outgoing voters hold it")
	require.Equal(t, Members{Voters: joint.Voters, Target: 4}, m.log.latestConfiguration().members)
}

// A Save whose entries were overwritten while it was in progress must not count as a sync of the
// new entries.
func TestSyncOfWhatWasOverwritten(t *testing.T) {
	m := newTestMachine(3)
	entries := func(from, to, term uint64) (result []Entry) {
		for i := from; i <= to; i++ {
			result = append(result, Entry{Index: i, Term: term})
		}
		return result
	}
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: 4, Index: 1, LogTerm: 1, Entries: entries(2, 5, 4)})
	require.NotNil(t, m.NextOutput().Save)
	m.HandleMessage(Message{Kind: AppendEntries, From: "c", To: "a", Disk: 3, ToDisk: 1, Term: 5, Index: 2, LogTerm: 4, Entries: entries(3, 6, 5)})
	m.SaveCompleted()
	require.Equal(t, uint64(2), m.syncedIndex)
	for _, msg := range m.NextOutput().Messages {
		require.Equal(t, uint64(4), msg.Term, "an acknowledgement was sent before its sync")
	}
	m.SaveCompleted()
	require.Equal(t, uint64(6), m.syncedIndex)
	require.Equal(t, uint64(6), m.NextOutput().Messages[0].Index)
	require.Less(t, m.now, time.Second)
}

// A node with an empty disk hears an old mesh, and then the mesh that was founded from a backup of
// it. The terms of the two meshes may be equal but are unrelated.
func TestTwoMeshesSpeak(t *testing.T) {
	m := New(Config{Self: "c", Seeds: seedNames, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 9}})
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "c", Disk: 2, ToDisk: 9, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	drainOutput(m)
	m.Propose(1, []byte("x"))
	m.HandleMessage(Message{Kind: AppendEntries, From: "a", To: "c", Disk: 5, ToDisk: 9, Term: 3, Mesh: 77, Index: 9, LogTerm: 3})
	require.Equal(t, []Completion{{ID: 1, Err: ErrUnknown}}, m.NextOutput().Completions)
	require.Equal(t, "a", m.leader.Address)
	members := Members{Voters: []Member{{"a", 5}}, Target: 3, Mesh: 77}
	m.HandleMessage(Message{Kind: InstallSnapshot, From: "a", To: "c", Disk: 5, ToDisk: 9, Term: 3, Mesh: 77, Snapshot: &Snapshot{Index: 9, Term: 3, Members: members, MembersAt: Place{3, 9}}})
	drainOutput(m)
	m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "c", Disk: 2, ToDisk: 9, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	require.Equal(t, "a", m.leader.Address)
	require.Equal(t, uint64(1), m.Status().ForeignMessages)
}
