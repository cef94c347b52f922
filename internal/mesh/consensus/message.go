package consensus

import "time"

// Kind is what a message is about.
type Kind uint8

// The kinds of message.
const (
	PreVote              Kind = iota + 1 // would you vote for me in this term?
	PreVoteReply                         //
	Vote                                 // vote for me
	VoteReply                            // a promise: it leaves once the vote is synced
	AppendEntries                        // entries of the leader's log, or none: a heartbeat
	AppendEntriesReply                   // a promise: it leaves once the entries are synced
	InstallSnapshot                      // a chunk of a snapshot in place of entries that the leader no longer has
	TimeoutNow                           // campaign now: leadership is being transferred
	Join                                 // replicate to me: I am no voter
	Hint                                 // these are the members and the leader that I know
	Forward                              // append this command
	ForwardReject                        // the command was not appended and never will be
	ReadIndex                            // which index must I have applied to answer a read?
	ReadIndexReply                       //
	Leave                                // I am about to end: have a learner take my vote
	LeaveReply                           // you have no vote any more, or nobody can take it
	InstallSnapshotReply                 // up to where the chunks have come; promises nothing
)

// Entry is one place of the log: a command, a change of members, or nothing but the opening of a
// term.
type Entry struct {
	Index, Term uint64
	Origin      uint64 // of a command: the life of the process that it was proposed at,
	ID          uint64 // and its number there; 0 if this is no command
	Command     []byte
	Members     *Members
}

// Member is a voter. It is a disk at an address: a disk that is gone takes its promises with it, so
// what comes back empty at the same address is somebody else. Disk 0 stands for the disk of the
// first start, until its number has been heard.
type Member struct {
	Address string
	Disk    uint64
}

// Place is a place of the log as one leader had it. Of two places the one with the later term is
// newer, whatever their indexes: entries that never held may lie further on.
type Place struct{ Term, Index uint64 }

func (p Place) before(q Place) bool { return p.Term < q.Term || p.Term == q.Term && p.Index < q.Index }

// Members are the voters. While they change, Old are the outgoing voters and Voters the incoming
// ones, and a quorum is a majority of both: a joint configuration. Target is how many voters there
// are to be. Mesh tells meshes apart that began at the same addresses: 0 stands for the one of the
// first start, and one that was founded from a backup has a number of its own.
type Members struct {
	Voters []Member
	Old    []Member
	Target int
	Mesh   uint64
}

// Snapshot is the state at an index.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	MembersAt   Place // where these members were decided
	Data        []byte
}

// Message goes between nodes.
type Message struct {
	Kind     Kind
	From, To string
	Disk     uint64 // the sender's,
	Founder  bool   // which was made at the first start
	ToDisk   uint64 // the one that the leader means; 0 if it isn't known
	Term     uint64
	Mesh     uint64 // of the sender's members; 0 if it knows none
	Zone     string // in which the sender stands; empty: unknown

	Index   uint64 // before the entries; of the last entry; up to which a follower agrees; to be applied before a read
	LogTerm uint64 // the term at Index
	Commit  uint64
	Entries []Entry
	Quiet   bool // tells the commit alone: no reply unless the logs disagree

	Sequence uint64 // of the leader's sends, told back by replies
	// How long the leader has led, by its own clock: in what it sends, and as a follower heard it
	// last in what that forwards. 0: not known.
	LeaderTime time.Duration
	Reject     bool      // of replies
	About      uint64    // the index that doesn't agree; the term in which a refused command was given to the leader
	Snapshot   *Snapshot // its Data is the chunk

	Offset, Size uint64 // of the chunk, or up to where all have come; of the whole snapshot's data
	Sum          uint32 // of the whole snapshot's data

	Leader    string // known to the sender
	Members   *Members
	MembersAt Place

	Origin, ID uint64 // of a command or a read
	Command    []byte
}
