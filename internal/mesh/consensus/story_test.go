package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// carryOut does what a machine wants until it wants no more, on a disk that takes no time.
func carryOut(m *Machine) {
	for o := m.Take(); !o.Empty(); o = m.Take() {
		if o.Save != nil {
			m.Saved()
		}
	}
}

// alone is the machine of a, of which a disk holds the members a and b as of 1, and more entries.
func alone(target int, entries ...Entry) *Machine {
	members := Members{Voters: []Member{{"a", 1}, {"b", 2}}, Target: target}
	if target == 3 {
		members.Voters = append(members.Voters, Member{"c", 3})
	}
	at := Place{1, 1}
	return New(Config{Self: "a", Life: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 1, Hard: Hard{Term: 3}, Base: 1, BaseTerm: 1,
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, MembersAt: at}, Entries: entries}})
}

// said brings a reply of another node in the machine's term.
func said(m *Machine, msg Message) {
	msg.To, msg.Term, msg.Sequence = "a", m.hard.Term, m.round
	if msg.Kind == PreVoteReply {
		msg.Term++
	}
	m.Step(msg)
	carryOut(m)
}

// elected has b vote for a.
func elected(t *testing.T, m *Machine) {
	m.Advance(m.Deadline())
	carryOut(m)
	said(m, Message{Kind: PreVoteReply, From: "b", Disk: 2})
	said(m, Message{Kind: VoteReply, From: "b", Disk: 2})
	require.Equal(t, leader, m.role)
}

// beats lets time pass; the others answer with what they have.
func beats(m *Machine, have map[string]uint64) {
	disks := map[string]uint64{"b": 2, "c": 3, "d": 4, "e": 5}
	for range 3 {
		m.Advance(m.now + heartbeat)
		carryOut(m)
		for _, name := range []string{"b", "c", "d", "e"} {
			if index, ok := have[name]; ok {
				said(m, Message{Kind: AppendReply, From: name, Disk: disks[name], Index: index})
			}
		}
	}
}

// What a majority has of an earlier term may still be overwritten by a leader that lacks it and has
// a later term at the end; an entry of the leader's own term shuts that out.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	m := alone(3, Entry{Index: 2, Term: 2})
	elected(t, m)
	beats(m, map[string]uint64{"b": 2})
	require.Equal(t, uint64(1), m.commit)
	beats(m, map[string]uint64{"b": 3})
	require.Equal(t, uint64(3), m.commit)
}

// Before an entry of its own term holds, a leader doesn't know whether a change of members of the
// leader before it does. A change needs majorities of both sets, and only once it is committed do the
// incoming voters decide alone.
func TestMembersChangeOneAtATime(t *testing.T) {
	m := alone(4)
	elected(t, m)
	for _, learner := range []Member{{"d", 4}, {"e", 5}} {
		said(m, Message{Kind: Join, From: learner.Address, Disk: learner.Disk})
	}
	beats(m, map[string]uint64{"b": 1, "d": 2, "e": 2})
	require.Len(t, m.log.current().members.Voters, 2, "nothing of this term is committed")
	beats(m, map[string]uint64{"b": 2, "d": 2, "e": 2})
	joint := m.log.current().members
	require.Equal(t, []Member{{"a", 1}, {"b", 2}}, joint.Old)
	require.Equal(t, []Member{{"a", 1}, {"b", 2}, {"d", 4}, {"e", 5}}, joint.Voters)
	beats(m, map[string]uint64{"b": 2, "d": 3, "e": 3})
	require.Equal(t, joint, m.log.current().members, "no majority of the outgoing voters has it")
	require.Equal(t, uint64(2), m.commit)
	beats(m, map[string]uint64{"b": 3, "d": 2, "e": 2})
	require.Equal(t, uint64(3), m.commit, "three of four, and both of two")
	require.Equal(t, Members{Voters: joint.Voters, Target: 4}, m.log.current().members)
}

// A sync that was under way when the entries in it gave way to others tells nothing of those.
func TestSyncOfWhatWasOverwritten(t *testing.T) {
	m := alone(3)
	entries := func(from, to, term uint64) (list []Entry) {
		for i := from; i <= to; i++ {
			list = append(list, Entry{Index: i, Term: term})
		}
		return list
	}
	m.Step(Message{Kind: Append, From: "b", To: "a", Disk: 2, Term: 4, Index: 1, LogTerm: 1, Entries: entries(2, 5, 4)})
	require.NotNil(t, m.Take().Save)
	m.Step(Message{Kind: Append, From: "c", To: "a", Disk: 3, Term: 5, Index: 2, LogTerm: 4, Entries: entries(3, 6, 5)})
	m.Saved()
	require.Equal(t, uint64(2), m.synced)
	for _, msg := range m.Take().Send {
		require.Equal(t, uint64(4), msg.Term, "what is not synced is promised")
	}
	m.Saved()
	require.Equal(t, uint64(6), m.synced)
	require.Equal(t, uint64(6), m.Take().Send[0].Index)
	require.Less(t, m.now, time.Second)
}

// A node with an empty disk that hears an old mesh, and then the one that was founded from its
// backup: terms of the two may be alike, and have nothing to do with each other.
func TestTwoMeshesSpeak(t *testing.T) {
	m := New(Config{Self: "c", Seeds: seedNames, Life: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: 9}})
	m.Step(Message{Kind: Append, From: "b", To: "c", Disk: 2, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	carryOut(m)
	m.Propose(1, []byte("x"))
	m.Step(Message{Kind: Append, From: "a", To: "c", Disk: 5, Term: 3, Mesh: 77, Index: 9, LogTerm: 3})
	require.Equal(t, []Done{{ID: 1, Err: ErrUnknown}}, m.Take().Done)
	require.Equal(t, "a", m.leader.Address)
	members := Members{Voters: []Member{{"a", 5}}, Target: 3, Mesh: 77}
	m.Step(Message{Kind: Install, From: "a", To: "c", Disk: 5, Term: 3, Mesh: 77, Snapshot: &Snapshot{Index: 9, Term: 3, Members: members, MembersAt: Place{3, 9}}})
	carryOut(m)
	m.Step(Message{Kind: Append, From: "b", To: "c", Disk: 2, Term: 3, Mesh: firstMesh, Index: 7, LogTerm: 3})
	require.Equal(t, "a", m.leader.Address)
	require.Equal(t, uint64(1), m.Status().Foreign)
}
