// Package group is a few processes that agree: each keeps the same records, in the same order, and who holds which duty
// (package lease). What is agreed on is decided by go.etcd.io/raft; this package keeps its log among the records of a
// journal, says what the log's entries mean, and who may be a member.
//
// A Core is one member without I/O, clock or goroutines: it is told of ticks, messages and proposals, and returns what is to be
// written and then sent. A Node runs one.
//
// What is promised, and explored in explore_test.go:
//   - Same: members that have applied as much have the same records, byte for byte.
//   - Kept: what was told as done is in the records of every later lead, whichever members are killed, and however often.
//   - Once: an order is carried out once, however often it was proposed.
//   - Fenced: nothing is written under a duty by a holder before the present one, however late it comes.
//   - Named: a member whose disk is empty or older than what it has said before takes no part, and says so by name.
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

// The buckets that a member's journal has beside those that are agreed on.
const (
	logBucket   = "raft"  // entries by their index, and what raft has to remember
	stateBucket = "group" // what the group agrees on about itself
)

// Buckets are those.
var Buckets = []string{logBucket, stateBucket}

const (
	hardKey, baseKey, selfKey, entryPrefix = "hard", "base", "self", "e"
	stateKey, historyKey, dutyPrefix       = "state", "history", "duty/"

	electionTicks  = 10
	heartbeatTicks = 2
	mostMessage    = 256 << 10 // bytes of entries
	mostCommand    = 1 << 20   // bytes of one
	mostInflight   = 64
	mostPending    = 4 << 20 // bytes that are not agreed on yet
	// keepLog entries stay behind the one that was applied, for members that come a little late; more is cut by so many at once.
	keepLog = 1024
	mostLog = 2 * keepLog
	// MostMembers is how many there may be.
	MaxMembers = 7
)

// Member is one of a group.
type Member struct {
	Name  string `json:"name"`
	ID    uint64 `json:"id"`    // of its disk: a new one under an old name is another member
	Voter bool   `json:"voter"` // it has what the others have, and counts
}

// self is what a member keeps of itself.
type self struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	Boot
	// Known are the latest starts of the others that this one has heard. They are kept: a copy of a disk must not be taken for the
	// disk after all have stopped.
	Known map[uint64]Boot `json:"known,omitempty"`
}

// state is what the group agrees on beside the records.
type state struct {
	Members map[uint64]*Member `json:"members"`
	Gone    []uint64           `json:"gone,omitempty"` // the latest that were removed
	// Starts are the latest of the members that any of them has heard, and Old those of whom two have been heard of which neither
	// can follow the other.
	Starts  map[uint64]*Boot `json:"starts,omitempty"`
	Old     map[uint64]bool  `json:"old,omitempty"`
	Leases  lease.Table      `json:"leases"`
	Wrote   map[string]wrote `json:"wrote"` // by duty
	Applied uint64           `json:"applied"`
	Conf    []byte           `json:"conf"` // raft's members
}

// wrote is the last write under a duty.
type wrote struct {
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// mostGone bounds what is remembered of members that were removed.
const mostGone = 64

// command is what an entry of the log says.
type command struct {
	ID    string    `json:"id,omitempty"` // of who waits for it
	Start *started  `json:"start,omitempty"`
	Lease *lease.Op `json:"lease,omitempty"`
	Write *write    `json:"write,omitempty"`
}

// write are records under a duty. Seq counts the writes of an epoch: one that comes again, or out of turn, is none.
type write struct {
	Duty    string           `json:"duty"`
	Epoch   uint64           `json:"epoch"`
	Seq     uint64           `json:"seq"`
	Records []journal.Record `json:"records"`
}

// Result is what became of a command.
type Result struct {
	ID      string
	Refused string // why it is not done; "" if it is
	Lease   lease.Answer
}

// The reasons for which a member takes no part.
var (
	// ErrOld is a disk that lacks what the member has told others that it has.
	ErrStaleDisk = errors.New("its disk is older than what it has told the others: remove it from the group, and add it with an empty one")
	// ErrRemoved is a member that was removed.
	ErrRemoved = errors.New("it was removed from the group")
	// errUnconfirmed is a member that was the only voter when its journal was written, until most of its peers have confirmed it.
	errUnconfirmed = errors.New("its journal says that it alone votes, and most of its peers have not confirmed that yet")
	// errUnknownGroup is a peer that is in a group of which this member's journal knows nothing.
	errUnknownGroup = errors.New("it is in a group that this member's journal does not know of")
)

// Work is what is to be done, in this order: Records written in one transaction, Messages sent, Done called.
type Output struct {
	Records  []journal.Record
	Messages []*raftpb.Message
	Results  []Result // of commands that are applied by then
}

// Core is one member. It is not safe for concurrent use.
type Core struct {
	self    self
	buckets []string // that are agreed on
	raw     *raft.RawNode
	log     *raft.MemoryStorage
	state   state
	conf    *raftpb.ConfState
	data    map[string]map[string][]byte
	first   uint64 // index of the log's first entry
	waits   map[string]bool
	ready   *raft.Ready
	found   bool  // the group exists, as far as this member knows
	wrong   error // why it takes no part
	results []Result
	met     bool // self has changed
	ticks   int
	clock   lease.ExpiryTracker
	dirty   map[string]bool // duties that are not in the records as they are
	steps   uint64          // of the history that is
	peers   int             // how many others the deployment names
	agreed  uint64          // term whose leader's log and this one's have been found the same since the start
	// confirmed are the peers that have taken this start for one that may follow those they know; nil if none need to.
	confirmed map[string]bool
}

// safely keeps what raft panics about, a journal that contradicts itself, from ending the process.
func (c *Core) safely(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			c.wrong = fmt.Errorf("its journal contradicts itself: %v", r)
			err = c.wrong
		}
	}()
	return f()
}

// Tick takes in that a tick has passed.
func (c *Core) Tick() {
	if c.part() == nil {
		c.safely(func() error {
			c.raw.Tick()
			c.PromoteLearners()
			if c.ticks++; c.ticks%electionTicks == 0 {
				c.spread()
			}
			return nil
		})
	}
}

// Step takes a message in.
func (c *Core) Step(m *raftpb.Message) error {
	if m.GetTo() != c.self.ID {
		return fmt.Errorf("the message is for member %x, and this is %x", m.GetTo(), c.self.ID)
	}
	if c.wrong != nil {
		return c.wrong
	}
	if raft.IsLocalMsg(m.GetType()) {
		return errors.New("such a message comes from nobody else")
	}
	if !c.found {
		// Somebody has added it. What it is sent is the beginning of what it knows.
		if m.GetType() != raftpb.MsgApp && m.GetType() != raftpb.MsgSnap && m.GetType() != raftpb.MsgHeartbeat {
			return c.part()
		}
		c.found = true
		if err := c.start(); err != nil {
			return err
		}
	}
	if last, _ := c.log.LastIndex(); m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > last && m.GetTerm() >= c.raw.BasicStatus().GetTerm() {
		c.wrong = fmt.Errorf("%w: entry %d was agreed on with it, and its log ends at %d", ErrStaleDisk, m.GetCommit(), last) // else raft ends the process for it; a lead of before may know of entries that were replaced
		return c.wrong
	}
	err := c.safely(func() error { return c.raw.Step(c.checked(m)) })
	if errors.Is(err, raft.ErrProposalDropped) || errors.Is(err, raft.ErrStepPeerNotFound) {
		return nil
	}
	return err
}

// checked is a message of a leader without what this start has not found out to hold. Danger: a heartbeat says how much is
// committed of what the leader takes this log to have in common with its own. A disk that was put back may have other entries
// there, of an earlier leader, and would apply these. Only an append or a snapshot shows that both logs are the same.
func (c *Core) checked(m *raftpb.Message) *raftpb.Message {
	switch m.GetType() {
	case raftpb.MsgApp:
		if term, err := c.log.Term(m.GetIndex()); err == nil && term == m.GetLogTerm() {
			c.agreed = m.GetTerm()
		}
	case raftpb.MsgSnap:
		c.agreed = m.GetTerm()
	case raftpb.MsgHeartbeat:
		if c.agreed != m.GetTerm() {
			m = proto.CloneOf(m)
			m.Commit = new(min(m.GetCommit(), c.raw.BasicStatus().GetCommit()))
		}
	}
	return m
}

// Unreachable takes in that a message could not be sent.
func (c *Core) ReportUnreachable(m *raftpb.Message) {
	if c.part() != nil {
		return
	}
	c.raw.ReportUnreachable(m.GetTo())
	if m.GetType() == raftpb.MsgSnap {
		c.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
	}
}

// Sent takes in that a snapshot has arrived.
func (c *Core) ReportSent(m *raftpb.Message) {
	if m.GetType() == raftpb.MsgSnap && c.part() == nil {
		c.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// propose has a command agreed on, if all goes well. What became of it comes with a Work.
func (c *Core) propose(cmd *command) error {
	if err := c.part(); err != nil {
		return err
	}
	text, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	if len(text) > mostCommand {
		return fmt.Errorf("a command of %d bytes, and %d are allowed", len(text), mostCommand)
	}
	if cmd.ID != "" {
		c.waits[cmd.ID] = true
	}
	return c.safely(func() error { return c.raw.Propose(text) })
}

// forget ends the wait for a command.
func (c *Core) forget(id string) { delete(c.waits, id) }

// Ready returns what is to be done, nil if there is nothing.
func (c *Core) Ready() (w *Output) {
	c.safely(func() error {
		w = c.next()
		return nil
	})
	if c.wrong != nil && !errors.Is(c.wrong, ErrRemoved) { // which the others are told of
		return nil
	}
	return w
}

func (c *Core) next() *Output {
	if c.raw == nil || c.wrong != nil || !c.raw.HasReady() && !c.met {
		return nil
	}
	w := &Output{}
	if c.met {
		c.met = false
		w.Records = append(w.Records, put(logBucket, selfKey, c.self))
	}
	if !c.raw.HasReady() {
		return w
	}
	rd := c.raw.Ready()
	c.ready, w.Messages = &rd, rd.Messages
	if !raft.IsEmptyHardState(rd.HardState) {
		w.Records = append(w.Records, putProto(logBucket, hardKey, rd.HardState))
		c.log.SetHardState(rd.HardState)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.restore(w, rd.Snapshot); err != nil {
			c.wrong = err
			return nil
		}
	}
	last, _ := c.log.LastIndex()
	for _, e := range rd.Entries {
		w.Records = append(w.Records, putProto(logBucket, entryKey(e.GetIndex()), e))
	}
	if n := len(rd.Entries); n > 0 {
		for i := rd.Entries[n-1].GetIndex() + 1; i <= last; i++ { // an earlier lead's, which nobody agreed on
			w.Records = append(w.Records, journal.Record{Bucket: logBucket, Key: entryKey(i)})
		}
		if err := c.log.Append(rd.Entries); err != nil {
			c.wrong = err
			return nil
		}
	}
	for _, e := range rd.CommittedEntries {
		c.apply(w, e)
	}
	if len(rd.CommittedEntries) > 0 {
		w.Records = append(w.Records, c.stateRecords()...)
	}
	c.cut(w)
	w.Results, c.results = c.results, nil
	return w
}

// Done takes in that the last Work has been done.
func (c *Core) Advance() {
	if c.ready != nil {
		c.safely(func() error {
			c.raw.Advance(*c.ready)
			return nil
		})
		c.ready = nil
	}
}

// Read calls a function with each record of a bucket that is agreed on, in the order of their keys.
func (c *Core) Read(bucket string, f func(key string, value []byte) error) error {
	for _, key := range slices.Sorted(maps.Keys(c.data[bucket])) {
		if err := f(key, slices.Clone(c.data[bucket][key])); err != nil {
			return err
		}
	}
	return nil
}

// Lead returns who leads, 0 if that is not known.
func (c *Core) LeaderID() uint64 {
	if c.part() != nil {
		return 0
	}
	return c.raw.BasicStatus().Lead
}

// Rules says that this member leads and has carried out all that was agreed on before.
func (c *Core) IsCaughtUpLeader() bool {
	if c.leads() != nil {
		return false
	}
	term, err := c.log.Term(c.state.Applied)
	return err == nil && term == c.raw.BasicStatus().GetTerm()
}
