package consensus

import (
	"errors"
	"time"

	"github.com/apex/log"
)

var (
	// ErrNoLeader says that no leader was found, and that the command was not appended and never
	// will be: it may be tried again, here or at another node.
	ErrNoLeader = errors.New("consensus: no leader; the command was not appended")
	// ErrUnknown says that the command may hold, now or later.
	ErrUnknown = errors.New("consensus: unknown whether the command holds")
	// ErrBusy says that too much is queued; the command did not run.
	ErrBusy = errors.New("consensus: busy; the command did not run")
	// ErrClosed says that the node was closed before the command was taken up.
	ErrClosed = errors.New("consensus: closed; the command did not run")
)

// Result is what a command that holds came to.
type Result struct {
	Index uint64
	Reply []byte
}

// Table is the state that the log drives. All calls come from the node's goroutine, in order.
type Table interface {
	Apply(index uint64, command []byte) (reply []byte)
	Snapshot() []byte
	Restore(index uint64, snapshot []byte) error
}

// Batcher is a Table that shows others what entries lead to, and is told when that is worth it.
type Batcher interface {
	// Batch has entries applied. Unless more of them follow at once, and nobody waits for what these
	// lead to, all that was applied is shown.
	Batch(apply func(), show bool)
}

// Options are what a Node is started with.
type Options struct {
	Self             string
	Seeds            []string // control addresses "ip:port"; members are named by them
	FirstStart       bool     // Seeds are the first members, and disks are empty
	Dir              string   // data folder; the file is made inside
	Table            Table
	Send             func(m Message) // must not block; may lose; goes to m.To
	Log              log.Interface
	MinTimerInterval time.Duration // the coarseness of timers; 0: 50 ms
	ReplaceAfter     time.Duration // how long a voter is unheard before a caught-up learner takes its place; 0: 2 s
	TargetVoters     int           // how many there are to be; see VotersToBear
	Zone             string        // in which the node stands: votes are spread over zones; empty: unknown
	OnChange         func(Status)  // leader or membership changed; called from the node's goroutine, must not block

	wrapDisk func(disk) disk // stands between the node and its store, for tests
}

// Status is how a node stands. It is a copy that never changes.
type Status struct {
	Role                  string // "leader", "follower", "candidate", "learner", "recovering" or "suspended"
	Leader                string // empty: unknown
	Term, Commit, Applied uint64
	Members, Learners     []string          // of learners, only the leader knows
	Outgoing              []string          // voters that leave, while a change is under way
	Unreachable           []string          // voters that were not heard of late; only the leader knows
	Zones                 map[string]string // of the nodes of which it is known; only the leader tells
	LeaderChanges, Syncs  uint64
	ForeignMessages       uint64 // messages of another mesh, which were dropped
	LongestSync           time.Duration
}
