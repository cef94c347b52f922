package consensus

import "time"

// Kind is the type of a message.
type Kind uint8

// The types of messages.
const (
	PreVote Kind = iota + 1 // asks whether the receiver would vote for the sender in this term
	PreVoteReply
	Vote               // requests a vote
	VoteReply          // grants a vote, sent after the vote is synced; or rejects it
	AppendEntries      // carries entries of the leader's log, or none as a heartbeat
	AppendEntriesReply // acknowledges entries, sent after they are synced; or reports a mismatch
	InstallSnapshot    // carries a chunk of a snapshot that replaces compacted entries
	TimeoutNow         // asks the receiver to campaign at once: a leadership transfer
	Join               // asks to be replicated to as a learner
	Hint               // conveys the members and the leader that the sender knows
	Forward            // asks the leader to append a command
	ForwardReject      // the forwarded command was not appended and never will be
	ReadIndex          // asks for the index that has to be applied before a read is answered
	ReadIndexReply
	Leave                // announces that the sender is about to leave
	LeaveReply           // the receiver has no vote, or with Reject: no learner can take it over
	InstallSnapshotReply // conveys the offset of the next chunk; promises nothing
)

// Entry is one entry of the log: a command, a configuration, or the empty entry that starts a
// leader's term.
type Entry struct {
	Index, Term uint64
	Origin      uint64 // of a command: number of the proposing process; 0 otherwise
	ID          uint64 // of a command: its ID in that process
	Command     []byte
	Members     *Members
}

// Member is a voter, identified by a disk at an address. The votes and acknowledgements of a disk
// are lost with it, so an empty disk that appears at the same address is a different member. Disk 0
// stands for the disk of the first start, until its real number is known.
type Member struct {
	Address string
	Disk    uint64
}

// Place identifies an entry by its term and index. Of two places, the one with the higher term is
// newer regardless of the indexes, since uncommitted entries of an earlier term may have higher
// indexes.
type Place struct{ Term, Index uint64 }

func (p Place) before(q Place) bool { return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index }

// Members is a configuration of the voters. During a change it is a joint configuration: Old are
// the outgoing voters and Voters the incoming ones, and a quorum is a majority of both. Target is
// the intended number of voters. Mesh distinguishes meshes at the same addresses: it is 0 for the
// original mesh and a unique number for one that was founded from a backup.
type Members struct {
	Voters []Member
	Old    []Member
	Target int
	Mesh   uint64
}

// Snapshot is the state of the table and the configuration at an index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	MembersAt   Place // where Members was decided
	Data        []byte
}

// Message is sent between nodes. Which fields are set depends on its Kind.
type Message struct {
	Kind     Kind
	From, To string
	Disk     uint64 // disk number of the sender
	Founder  bool   // the sender's disk was created at the first start
	ToDisk   uint64 // disk number of the intended receiver; 0: unknown
	Term     uint64
	Mesh     uint64 // mesh of the sender; 0 if it knows no members
	Zone     string // zone of the sender; empty: unknown

	// Index depends on Kind: the index before Entries, the last index of the sender's log, the index
	// up to which a follower's log matches, or with Reject the index to probe next, the index of the
	// snapshot that is being received, or the index to be applied before a read.
	Index   uint64
	LogTerm uint64 // term of the entry at Index
	Commit  uint64
	Entries []Entry
	Quiet   bool // the message only conveys Commit; it is answered only if the logs don't match

	Sequence uint64 // heartbeat round of the leader, repeated in replies
	// How long the leader has led, by its own clock: in messages of the leader, and in proposals
	// that a follower forwards, as the follower last heard it. 0: unknown.
	LeaderTime time.Duration
	Reject     bool // of replies: the request was rejected
	// About is the index that doesn't match, in a reply to AppendEntries, or the term in which a
	// rejected command was forwarded.
	About    uint64
	Snapshot *Snapshot // its Data is the chunk

	// Offset is that of the chunk, or in a reply the offset up to which all chunks have arrived.
	// Size is the size of the whole snapshot's Data.
	Offset, Size uint64
	Sum          uint32 // CRC-32C of the whole snapshot's Data

	Leader    string // the leader that the sender knows
	Members   *Members
	MembersAt Place

	Origin, ID uint64 // of a command or a read
	Command    []byte
}
