package consensus

import (
	"errors"
	"time"

	"github.com/apex/log"
)

var (
	// ErrNoLeader is returned if no leader could be reached. The command was not appended and never
	// will be, so it is safe to retry it at this node or another one.
	ErrNoLeader = errors.New("consensus: no leader; the command was not appended")
	// ErrUnknown is returned if the command may be committed, now or later.
	ErrUnknown = errors.New("consensus: unknown whether the command is committed")
	// ErrBusy is returned if too many requests are queued. The command was not appended.
	ErrBusy = errors.New("consensus: too many requests; the command was not appended")
	// ErrAbandoned is returned if the context of a proposal had ended before the call. The command was
	// not appended.
	ErrAbandoned = errors.New("consensus: the caller has given up; the command was not appended")
	// ErrClosed is returned if the node was closed before it processed the request.
	ErrClosed = errors.New("consensus: node is closed; the command was not appended")
)

// Result describes a command that was committed and applied: the index of its log entry, and what
// Table.Apply returned for it.
type Result struct {
	Index uint64
	Reply []byte
}

// Table is the replicated state machine to which a Node applies committed commands. A Node calls it
// from one goroutine at a time, in log order.
type Table interface {
	// Apply applies a committed command. The reply is passed to the caller of Propose if the
	// command was proposed at this node.
	Apply(index uint64, command []byte) (reply []byte)
	// Snapshot returns an encoding of the current state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot that was taken after the entry at index was applied.
	Restore(index uint64, snapshot []byte) error
}

// Batcher is a Table that publishes its state to readers in other goroutines. Publishing after each
// entry would be expensive, so the Node tells it when to publish.
type Batcher interface {
	// Batch calls apply, which applies some entries, and then publishes the state if publish is
	// true. It is false only if more committed entries follow immediately and no caller waits for
	// the result of these.
	Batch(apply func(), publish bool)
}

// Options are the parameters of a Node. Self, Dir, Table, Send and Log are required.
type Options struct {
	Self string // address of this node
	// Seeds are the control addresses "ip:port" of the first members, or of nodes that know the
	// members.
	Seeds []string
	// FirstStart is set when the mesh starts for the first time: Seeds are its members, and all
	// disks are empty.
	FirstStart bool
	Dir        string // data folder, in which the store is created
	Table      Table
	// Send sends a message to the node at m.To. It must not block and may lose the message.
	Send             func(m Message)
	Log              log.Interface
	MinTimerInterval time.Duration // minimum delay of the node's timer; 0: 50 ms
	ReplaceAfter     time.Duration // silence after which a voter is replaced; 0: 2 s
	TargetVoters     int           // see VotersToTolerate; the number of seeds if that is higher
	Zone             string        // zone of this node; empty: unknown
	// OnChange is called from the node's goroutine when its role, the leader or the members have
	// changed. It must not block. It may be nil.
	OnChange func(Status)

	wrapDisk func(disk) disk // lets tests put a faulty disk between the node and its store
}

// Status is the state of a node at one point in time. It must not be modified.
type Status struct {
	// Role is "leader", "follower", "candidate", "learner", "recovering" (a voter that has lost its
	// disk) or "suspended" (a node whose disk has failed).
	Role                  string
	Leader                string // empty: unknown
	Term, Commit, Applied uint64
	// Members are the voters, during a configuration change the incoming ones. Learners is set only
	// by a leader.
	Members, Learners    []string
	Outgoing             []string          // voters that a change in progress removes
	Unreachable          []string          // voters silent for peerTimeout; set only by a leader
	Zones                map[string]string // by node address; set only by a leader
	LeaderChanges, Syncs uint64            // LeaderChanges restarts at 0 after a disk failure
	ForeignMessages      uint64            // dropped messages of other meshes
	OtherDiskMessages    uint64            // messages for a disk that was at this address before
	LongestSync          time.Duration
}
