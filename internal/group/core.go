// Package group implements a small group of processes that replicate the same records with Raft and
// agree on which of them holds which duty. A duty is a task that at most one process may do at a
// time, under a lease (see package lease). go.etcd.io/raft decides what is committed. This package
// stores the Raft log in buckets of the member's journal, defines and applies the log entries, and
// decides who may be a member.
//
// A Core is one member without I/O, clock or goroutines: it is given ticks, messages and proposals,
// and returns the records to write and the messages to send afterwards. A Node runs a Core.
//
// A founder bootstraps the group. Other members join as learners and become voters once their log
// has caught up. Each start of a member has a random number, which the other members remember, so
// that a member that runs on a copy of an older disk is detected (see Boot).
//
// The package guarantees these properties, which explore_test.go checks:
//   - Same: members that have applied the log up to the same entry have identical records.
//   - Kept: a write that was acknowledged is in the records of every later leader, whichever
//     members are killed, and however often.
//   - Once: a command is applied once, however often it was proposed.
//   - Fenced: after a new holder of a duty has written, no earlier holder's write is applied.
//   - Named: a member whose disk is empty, or older than the state that it has sent to others, does
//     not participate, and the reason is reported together with its name.
package group

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/lease"
)

// The buckets of a member's journal besides the replicated ones.
const (
	logBucket   = "raft"  // log entries by index, and Raft's persistent state
	stateBucket = "group" // the replicated state of the group itself
)

// Buckets are the buckets that a member's journal needs besides the replicated ones.
var Buckets = []string{logBucket, stateBucket}

const (
	hardStateKey, snapshotKey, selfKey, entryPrefix = "hard", "base", "self", "e"
	stateKey, historyKey, dutyPrefix                = "state", "history", "duty/"

	electionTicks       = 10
	heartbeatTicks      = 2
	maxMessageBytes     = 256 << 10 // entries in one Raft message
	maxCommandBytes     = 1 << 20   // one encoded command
	maxInflightMessages = 64
	maxUncommittedBytes = 4 << 20 // proposed entries that are not committed yet
	// keptLogEntries is the number of applied entries that a compaction keeps, so that members that
	// lag slightly need no snapshot. The log is compacted when it exceeds compactionThreshold.
	keptLogEntries      = 1024
	compactionThreshold = 2 * keptLogEntries
	// MaxMembers is the maximum number of members of a group.
	MaxMembers = 7
)

// Member is a member of a group.
type Member struct {
	Name  string `json:"name"`
	ID    uint64 `json:"id"`    // identifies the disk: a new disk under the same name is another member
	Voter bool   `json:"voter"` // false: a learner, which has not caught up yet
}

// localRecord is what a member stores about itself. It is not replicated.
type localRecord struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	Boot
	// Known holds the latest known start of each other member, by ID. It is stored so that a copy
	// of a disk is still detected after all members have been stopped.
	Known map[uint64]Boot `json:"known,omitempty"`
}

// state is the replicated state besides the records.
type state struct {
	Members map[uint64]*Member `json:"members"`
	Gone    []uint64           `json:"gone,omitempty"` // IDs of the members that were removed last
	// Starts holds the latest start of each member that any member has reported. Old holds the
	// members of which two starts were reported that cannot follow one another.
	Starts  map[uint64]*Boot     `json:"starts,omitempty"`
	Old     map[uint64]bool      `json:"old,omitempty"`
	Leases  lease.Table          `json:"leases"`
	Wrote   map[string]lastWrite `json:"wrote"` // last write, by duty
	Applied uint64               `json:"applied"`
	Conf    []byte               `json:"conf"` // encoded raftpb.ConfState
}

// lastWrite identifies the last write that was applied under a duty.
type lastWrite struct {
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// maxRemovedIDs is the maximum length of state.Gone.
const maxRemovedIDs = 64

// command is the content of a log entry. Exactly one of Start, Lease and Write is set.
type command struct {
	ID    string        `json:"id,omitempty"` // identifies the caller that waits for the result
	Start *bootReport   `json:"start,omitempty"`
	Lease *lease.Op     `json:"lease,omitempty"`
	Write *writeCommand `json:"write,omitempty"`
}

// writeCommand writes records on behalf of the holder of a duty. Seq numbers the writes of an
// epoch. A write with the number of the last one is a duplicate and is not applied again. Any other
// number than the next one is refused.
type writeCommand struct {
	Duty    string           `json:"duty"`
	Epoch   uint64           `json:"epoch"`
	Seq     uint64           `json:"seq"`
	Records []journal.Record `json:"records"`
}

// Result is the result of a command.
type Result struct {
	ID      string
	Refused string // why the command was refused; empty if it was applied
	Lease   lease.Answer
}

// Reasons why a member does not participate.
var (
	// ErrStaleDisk means that the disk lacks state that the member has already sent to others.
	ErrStaleDisk = errors.New("its disk is older than the state that it has sent to the others: remove it from the group, and add it with an empty disk")
	// ErrRemoved means that the member was removed.
	ErrRemoved = errors.New("it was removed from the group")
	// errUnconfirmed means that the member is the only voter according to its journal, and that a
	// majority of the deployment has not confirmed this start yet (see needsConfirmation).
	errUnconfirmed = errors.New("it is the only voter according to its journal, and most of its peers have not confirmed that yet")
	// errUnknownGroup means that a peer is in a group that is not in this member's journal.
	errUnknownGroup = errors.New("it is in a group that is not in this member's journal")
)

// Output is what the caller of a Core has to do next, in this order: write Records in one
// transaction, send Messages, deliver Results, and call Advance.
type Output struct {
	Records  []journal.Record
	Messages []*raftpb.Message
	Results  []Result // of commands that were applied and are waited for
}

// Core is one member of a group. It is not safe for concurrent use.
type Core struct {
	self         localRecord
	buckets      []string // replicated buckets
	raft         *raft.RawNode
	log          *raft.MemoryStorage
	state        state
	confState    *raftpb.ConfState
	data         map[string]map[string][]byte
	firstIndex   uint64 // index of the first log entry
	awaitedIDs   map[string]bool
	ready        *raft.Ready
	inGroup      bool  // this member has bootstrapped or joined a group
	failure      error // why the member has stopped participating
	results      []Result
	selfChanged  bool // self is to be written
	ticks        int
	leaseExpiry  lease.ExpiryTracker
	dirtyDuties  map[string]bool // duties that have changed since they were written
	savedSteps   uint64          // Table.Steps of the lease history that was written last
	peerCount    int             // number of other processes in the deployment
	verifiedTerm uint64          // term whose leader has matched its log with this one since the start
	// confirmedBy holds the peers that have confirmed this start as a valid successor of the starts
	// they know. It is nil if no confirmation is needed.
	confirmedBy map[string]bool
}

// recoverPanic calls f and turns a panic into a failure of the member. The raft package panics if
// the journal is inconsistent, and this must not end the process.
func (c *Core) recoverPanic(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			c.failure = fmt.Errorf("its journal is inconsistent: %v", r)
			err = c.failure
		}
	}()
	return f()
}

// Tick advances the member's logical clock. It has to be called once per tick interval.
func (c *Core) Tick() {
	if c.checkParticipates() == nil {
		c.recoverPanic(func() error {
			c.raft.Tick()
			c.PromoteLearners()
			if c.ticks++; c.ticks%electionTicks == 0 {
				c.proposeBoots()
			}
			return nil
		})
	}
}

// Step processes a message of another member.
func (c *Core) Step(m *raftpb.Message) error {
	if m.GetTo() != c.self.ID {
		return fmt.Errorf("the message is for member %x, but this is member %x", m.GetTo(), c.self.ID)
	}
	if c.failure != nil {
		return c.failure
	}
	if raft.IsLocalMsg(m.GetType()) {
		return errors.New("this type of message is local to a member")
	}
	if !c.inGroup {
		// A leader has added this member and sends it the group's state.
		if m.GetType() != raftpb.MsgApp && m.GetType() != raftpb.MsgSnap && m.GetType() != raftpb.MsgHeartbeat {
			return c.checkParticipates()
		}
		c.inGroup = true
		if err := c.startRaft(); err != nil {
			return err
		}
	}
	if lastIndex, _ := c.log.LastIndex(); m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > lastIndex && m.GetTerm() >= c.raft.BasicStatus().GetTerm() {
		// Without this check raft panics. Earlier leaders are exempt: their commit index may refer
		// to entries that were replaced.
		c.failure = fmt.Errorf("%w: it has acknowledged entry %d, and its log ends at %d", ErrStaleDisk, m.GetCommit(), lastIndex)
		return c.failure
	}
	err := c.recoverPanic(func() error { return c.raft.Step(c.limitCommit(m)) })
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}

// limitCommit limits the commit index of a heartbeat until the leader's log has been matched with
// this one since the start. The leader computes the commit index from the entries that it knows to
// be in this log. If the disk was restored from a copy, the log may hold other entries there,
// written by an earlier leader, and these would be applied. Only an append or a snapshot shows that
// both logs match.
func (c *Core) limitCommit(m *raftpb.Message) *raftpb.Message {
	switch m.GetType() {
	case raftpb.MsgApp:
		if term, err := c.log.Term(m.GetIndex()); err == nil && term == m.GetLogTerm() {
			c.verifiedTerm = m.GetTerm()
		}
	case raftpb.MsgSnap:
		c.verifiedTerm = m.GetTerm()
	case raftpb.MsgHeartbeat:
		if c.verifiedTerm != m.GetTerm() {
			m = proto.CloneOf(m)
			m.Commit = new(min(m.GetCommit(), c.raft.BasicStatus().GetCommit()))
		}
	}
	return m
}

// ReportUnreachable reports that a message could not be sent.
func (c *Core) ReportUnreachable(m *raftpb.Message) {
	if c.checkParticipates() != nil {
		return
	}
	c.raft.ReportUnreachable(m.GetTo())
	if m.GetType() == raftpb.MsgSnap {
		c.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
	}
}

// ReportSent reports that a message has arrived. Raft needs this for snapshots.
func (c *Core) ReportSent(m *raftpb.Message) {
	if m.GetType() == raftpb.MsgSnap && c.checkParticipates() == nil {
		c.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// propose proposes a command. It may be lost. If it is committed, a later Output has its result.
func (c *Core) propose(cmd *command) error {
	if err := c.checkParticipates(); err != nil {
		return err
	}
	encoded, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	if len(encoded) > maxCommandBytes {
		return fmt.Errorf("a command of %d bytes, and at most %d are allowed", len(encoded), maxCommandBytes)
	}
	if cmd.ID != "" {
		c.awaitedIDs[cmd.ID] = true
	}
	return c.recoverPanic(func() error { return c.raft.Propose(encoded) })
}

// forgetCommand discards the result of a command that nobody waits for any more.
func (c *Core) forgetCommand(id string) { delete(c.awaitedIDs, id) }

// Ready returns what is to be done next, or nil if there is nothing.
func (c *Core) Ready() (output *Output) {
	c.recoverPanic(func() error {
		output = c.nextOutput()
		return nil
	})
	// The Output that applies the removal of this member is still processed, so that its messages
	// tell the other members of the removal.
	if c.failure != nil && !errors.Is(c.failure, ErrRemoved) {
		return nil
	}
	return output
}

func (c *Core) nextOutput() *Output {
	if c.raft == nil || c.failure != nil || !c.raft.HasReady() && !c.selfChanged {
		return nil
	}
	output := &Output{}
	if c.selfChanged {
		c.selfChanged = false
		output.Records = append(output.Records, jsonRecord(logBucket, selfKey, c.self))
	}
	if !c.raft.HasReady() {
		return output
	}
	ready := c.raft.Ready()
	c.ready, output.Messages = &ready, ready.Messages
	if !raft.IsEmptyHardState(ready.HardState) {
		output.Records = append(output.Records, protoRecord(logBucket, hardStateKey, ready.HardState))
		c.log.SetHardState(ready.HardState)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.restoreSnapshot(output, ready.Snapshot); err != nil {
			c.failure = err
			return nil
		}
	}
	lastIndex, _ := c.log.LastIndex()
	for _, e := range ready.Entries {
		output.Records = append(output.Records, protoRecord(logBucket, entryKey(e.GetIndex()), e))
	}
	if n := len(ready.Entries); n > 0 {
		// Uncommitted entries of an earlier leader that follow the new ones are deleted.
		for i := ready.Entries[n-1].GetIndex() + 1; i <= lastIndex; i++ {
			output.Records = append(output.Records, journal.Record{Bucket: logBucket, Key: entryKey(i)})
		}
		if err := c.log.Append(ready.Entries); err != nil {
			c.failure = err
			return nil
		}
	}
	for _, e := range ready.CommittedEntries {
		c.apply(output, e)
	}
	if len(ready.CommittedEntries) > 0 {
		output.Records = append(output.Records, c.stateRecords()...)
	}
	c.compactLog(output)
	output.Results, c.results = c.results, nil
	return output
}

// Advance reports that the last Output has been processed.
func (c *Core) Advance() {
	if c.ready != nil {
		c.recoverPanic(func() error {
			c.raft.Advance(*c.ready)
			return nil
		})
		c.ready = nil
	}
}

// Read calls f with each record of a replicated bucket, in the order of the keys.
func (c *Core) Read(bucket string, f func(key string, value []byte) error) error {
	for _, key := range slices.Sorted(maps.Keys(c.data[bucket])) {
		if err := f(key, slices.Clone(c.data[bucket][key])); err != nil {
			return err
		}
	}
	return nil
}

// LeaderID returns the ID of the leader, or 0 if it is unknown.
func (c *Core) LeaderID() uint64 {
	if c.checkParticipates() != nil {
		return 0
	}
	return c.raft.BasicStatus().Lead
}

// IsCaughtUpLeader reports whether this member is the leader and has applied all entries that were
// committed before its term.
func (c *Core) IsCaughtUpLeader() bool {
	if c.checkLeader() != nil {
		return false
	}
	term, err := c.log.Term(c.state.Applied)
	return err == nil && term == c.raft.BasicStatus().GetTerm()
}
