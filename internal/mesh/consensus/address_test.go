package consensus

import (
	"hash/crc32"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const lostDiskID = 99 // the disk that was at the test machine's address before

// Guards against a snapshot that is never completed, as a chunk of a newer one for the lost disk at
// the same address takes its place.
func TestSnapshotSurvivesAnotherForTheLostDisk(t *testing.T) {
	const diskID = 9
	m := New(Config{Self: "c", Seeds: seedNames, Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1)), State: State{Disk: diskID}})
	data := []byte("the table")
	members := Members{Voters: []Member{{"a", 1}, {"b", 2}, {"c", lostDiskID}}, Target: 3}
	chunk := func(toDisk, index uint64, from, to int) Message {
		return Message{Kind: InstallSnapshot, From: "a", To: "c", Disk: 1, ToDisk: toDisk, Term: 3, Mesh: firstMesh, Offset: uint64(from), Size: uint64(len(data)),
			Sum: crc32.Checksum(data, castagnoli), Snapshot: &Snapshot{Index: index, Term: 3, Members: members, MembersAt: Place{3, 2}, Data: data[from:to]}}
	}
	m.HandleMessage(chunk(diskID, 7, 0, 4))
	m.HandleMessage(chunk(lostDiskID, 9, 0, 4))
	m.HandleMessage(chunk(diskID, 7, 4, len(data)))
	require.Equal(t, uint64(7), m.commitIndex)
	require.Equal(t, data, m.snapshot.Data)
}

// messageEffects is the state of a machine that messages of other nodes change.
type messageEffects struct {
	hard        Hard
	role        role
	votes       []Member
	lastIndex   uint64
	commitIndex uint64
	peers       []progress
	proposals   []pendingProposal
	windows     int
	departure   bool
	incoming    *incomingSnapshot
}

func effectsOn(m *Machine) messageEffects {
	e := messageEffects{hard: m.hardState, role: m.role, votes: m.votes, lastIndex: m.log.lastIndex(), commitIndex: m.commitIndex,
		proposals: m.pendingProposals, windows: len(m.proposalWindows), departure: m.departure.finished, incoming: m.incomingSnapshot}
	for _, p := range m.peers {
		e.peers = append(e.peers, *p)
	}
	return e
}

// Guards against any message for a lost disk that changes the state of the disk that replaced it:
// only who leads is taken from it. Each is sent to a machine that waits for it.
func TestMessagesForALostDiskChangeNothing(t *testing.T) {
	idle := func(*testing.T, *Machine) {}
	campaigning := func(_ *testing.T, m *Machine) {
		m.Advance(m.Deadline())
		drainOutput(m)
	}
	candidate := func(t *testing.T, m *Machine) {
		campaigning(t, m)
		deliverReply(m, Message{Kind: PreVoteReply, From: "b", Disk: 2})
	}
	leading := func(t *testing.T, m *Machine) {
		electLeader(t, m)
		m.SetClock(m.now + heartbeatInterval)
	}
	leaving := func(_ *testing.T, m *Machine) { m.Leave() }
	proposing := func(_ *testing.T, m *Machine) {
		m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: 4, Index: 1, LogTerm: 1})
		m.Propose(1, []byte("x"))
		drainOutput(m)
	}
	snapshot := &Snapshot{Index: 5, Term: 4, Members: Members{Voters: []Member{{"b", 2}}}, MembersAt: Place{4, 5}, Data: []byte("x")}
	for _, test := range []struct {
		name    string
		prepare func(*testing.T, *Machine)
		msg     Message
	}{
		{"a preliminary vote", campaigning, Message{Kind: PreVoteReply, Term: 4}},
		{"a vote", candidate, Message{Kind: VoteReply, Term: 4}},
		{"entries", idle, Message{Kind: AppendEntries, Term: 4, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 4}}}},
		{"an acknowledgement", leading, Message{Kind: AppendEntriesReply, Term: 4, Index: 2}},
		{"a snapshot", idle, Message{Kind: InstallSnapshot, Term: 4, Size: 1, Sum: crc32.Checksum([]byte("x"), castagnoli), Snapshot: snapshot}},
		{"the offset of a snapshot", leading, Message{Kind: InstallSnapshotReply, Term: 4, Index: 1}},
		{"a request to campaign", idle, Message{Kind: TimeoutNow, Term: 3}},
		{"the end of a departure", leaving, Message{Kind: LeaveReply, Term: 3}},
		{"a proposal", leading, Message{Kind: Forward, Term: 4, Origin: 7, ID: 1, Command: []byte("x")}},
		{"a rejected proposal", proposing, Message{Kind: ForwardReject, Term: 4, Origin: 1, ID: 1, About: 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine(3)
			test.prepare(t, m)
			want := effectsOn(m)
			msg := test.msg
			msg.From, msg.To, msg.Disk, msg.ToDisk = "b", "a", 2, lostDiskID
			isOfLeader := msg.Kind == AppendEntries || msg.Kind == InstallSnapshot
			if isOfLeader {
				want.hard = Hard{Term: msg.Term}
			}
			m.HandleMessage(msg)
			require.True(t, !isOfLeader || m.leader.Address == "b")
			require.Equal(t, want, effectsOn(m))
			require.Equal(t, uint64(1), m.Status().OtherDiskMessages)
			drainOutput(m)
			msg.ToDisk = m.diskID
			m.HandleMessage(msg)
			require.NotEqual(t, want, effectsOn(m), "it has no effect on the disk that it is for")
		})
	}
}
