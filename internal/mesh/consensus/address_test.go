package consensus

import (
	"fmt"
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

// Guards against any message for a lost disk that changes the state of the disk that replaced it:
// only who leads is taken from it.
func TestMessagesForALostDiskChangeNothing(t *testing.T) {
	entry := Entry{Index: 2, Term: 4, Command: []byte("x")}
	for _, msg := range []Message{
		{Kind: PreVoteReply, Term: 4},
		{Kind: VoteReply, Term: 3},
		{Kind: AppendEntries, Term: 4, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{entry}},
		{Kind: AppendEntriesReply, Term: 3, Index: 1},
		{Kind: InstallSnapshot, Term: 4, Size: 1, Sum: crc32.Checksum([]byte("x"), castagnoli),
			Snapshot: &Snapshot{Index: 5, Term: 4, Members: Members{Voters: []Member{{"b", 2}}}, MembersAt: Place{4, 5}, Data: []byte("x")}},
		{Kind: InstallSnapshotReply, Term: 3, Index: 1},
		{Kind: TimeoutNow, Term: 3},
		{Kind: LeaveReply, Term: 3},
		{Kind: Forward, Term: 3, Origin: 7, ID: 1, Command: []byte("x")},
		{Kind: ForwardReject, Term: 3, Origin: 1, ID: 1, About: 3},
	} {
		t.Run(fmt.Sprint(msg.Kind), func(t *testing.T) {
			m := newTestMachine(3)
			m.Leave()
			m.Advance(m.Deadline())
			drainOutput(m)
			role, log, votes := m.role, m.log.lastIndex(), len(m.votes)
			msg.From, msg.To, msg.Disk, msg.ToDisk = "b", "a", 2, lostDiskID
			m.HandleMessage(msg)
			output := m.NextOutput()
			isOfLeader := msg.Kind == AppendEntries || msg.Kind == InstallSnapshot
			if isOfLeader {
				require.Equal(t, "b", m.leader.Address)
				role, votes = follower, 0
			} else {
				require.Empty(t, output.Messages)
			}
			require.Equal(t, role, m.role)
			require.Len(t, m.votes, votes)
			require.Equal(t, log, m.log.lastIndex())
			require.Equal(t, uint64(1), m.commitIndex)
			require.Nil(t, m.incomingSnapshot)
			require.Empty(t, m.proposalWindows)
			require.Empty(t, output.Completions)
			require.False(t, m.HasLeft())
			require.Equal(t, uint64(1), m.Status().OtherDiskMessages)
		})
	}
}
