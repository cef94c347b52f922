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
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
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
	MostMembers = 7
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

// Boot is a start of a member: a number at random, and those of its starts before. Danger: a member that goes on from a copy of its
// disk has said things that it does not know. Its later starts are not among those that the copy names, however often it is
// started again.
type Boot struct {
	Life uint64   `json:"life"`
	Past []uint64 `json:"past,omitempty"` // the latest last
}

// after says whether a start may follow another: it is the same, or names it among those before.
func (b *Boot) after(o *Boot) bool {
	return o.Life == 0 || b.Life == o.Life || slices.Contains(b.Past, o.Life)
}

// mostPast starts are remembered: who was started more often since it was last heard is taken for a copy.
const mostPast = 64

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

// started is a start of a member that somebody has heard.
type started struct {
	Member uint64 `json:"member"`
	Boot
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
	ErrOld = errors.New("its disk is older than what it has told the others: remove it from the group, and add it with an empty one")
	// ErrRemoved is a member that was removed.
	ErrRemoved = errors.New("it was removed from the group")
	// errUnconfirmed is a member that was the only voter when its journal was written, until most of its peers have confirmed it.
	errUnconfirmed = errors.New("its journal says that it alone votes, and most of its peers have not confirmed that yet")
	// errUnknownGroup is a peer that is in a group of which this member's journal knows nothing.
	errUnknownGroup = errors.New("it is in a group that this member's journal does not know of")
)

// Work is what is to be done, in this order: Records written in one transaction, Messages sent, Done called.
type Work struct {
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
	clock   lease.Watch
	dirty   map[string]bool // duties that are not in the records as they are
	steps   uint64          // of the history that is
	peers   int             // how many others the deployment names
	agreed  uint64          // term whose leader's log and this one's have been found the same since the start
	// confirmed are the peers that have taken this start for one that may follow those they know; nil if none need to.
	confirmed map[string]bool
}

// store is raft's view of the log: its snapshots are made when they are needed.
type store struct {
	*raft.MemoryStorage
	core *Core
}

func (s *store) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	hard, _, err := s.MemoryStorage.InitialState()
	return hard, s.core.conf, err
}

func (s *store) Snapshot() (*raftpb.Snapshot, error) {
	c := s.core
	term, err := s.Term(c.state.Applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{
		Data:     c.image(),
		Metadata: &raftpb.SnapshotMetadata{Index: new(c.state.Applied), Term: &term, ConfState: c.conf},
	}, nil
}

// image is all that is agreed on.
type image struct {
	State state                        `json:"state"`
	Data  map[string]map[string][]byte `json:"data"`
}

func (c *Core) image() []byte {
	text, err := json.Marshal(image{c.state, c.data})
	if err != nil {
		panic(err) // of our own types, which hold nothing that JSON can't
	}
	return text
}

// quiet is the logger of raft: what matters is in the status.
type quiet struct{}

func (quiet) Debug(...any)                   {}
func (quiet) Debugf(string, ...any)          {}
func (quiet) Error(...any)                   {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Info(...any)                    {}
func (quiet) Infof(string, ...any)           {}
func (quiet) Warning(...any)                 {}
func (quiet) Warningf(string, ...any)        {}
func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quiet) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Load makes a member of what its journal holds. The buckets are those whose records are agreed on; peers is how many others the
// deployment names; id is that of its disk, if that is empty, and life at random. What it returns must be written first.
func Load(s journal.Store, name string, peers int, buckets []string, id, life uint64) (*Core, []journal.Record, error) {
	c := &Core{
		self: self{Name: name, ID: id}, buckets: buckets, log: raft.NewMemoryStorage(), conf: &raftpb.ConfState{}, first: 1,
		data: map[string]map[string][]byte{}, waits: map[string]bool{}, dirty: map[string]bool{},
		state: state{Members: map[uint64]*Member{}, Wrote: map[string]wrote{}}, peers: peers,
	}
	damaged := func(bucket, key string) error {
		return fmt.Errorf("the journal's record %s/%q is damaged", bucket, key)
	}
	var hard raftpb.HardState
	var base raftpb.SnapshotMetadata
	var entries []*raftpb.Entry
	err := s.Read(logBucket, func(key string, v []byte) error {
		var err error
		switch {
		case v == nil:
			return damaged(logBucket, key)
		case key == hardKey:
			err = proto.Unmarshal(v, &hard)
		case key == baseKey:
			err = proto.Unmarshal(v, &base)
		case key == selfKey:
			err = json.Unmarshal(v, &c.self)
		case strings.HasPrefix(key, entryPrefix):
			var e raftpb.Entry
			err = proto.Unmarshal(v, &e)
			entries = append(entries, &e)
		}
		if err != nil {
			return damaged(logBucket, key)
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if c.self.Name != name {
		return nil, nil, fmt.Errorf("the journal is that of member %q, not of %q", c.self.Name, name)
	}
	duties := map[string]*lease.Duty{}
	var history []lease.Change
	err = s.Read(stateBucket, func(key string, v []byte) error {
		c.found = true
		var err error
		if name, ok := strings.CutPrefix(key, dutyPrefix); ok {
			duties[name] = &lease.Duty{}
			err = json.Unmarshal(v, duties[name])
		} else if key == historyKey {
			err = json.Unmarshal(v, &history)
		} else {
			err = json.Unmarshal(v, &c.state)
		}
		if v == nil || err != nil {
			return damaged(stateBucket, key)
		}
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	if c.state.Leases.Duties == nil {
		c.state.Leases.Duties = duties
	}
	maps.Copy(c.state.Leases.Duties, duties)
	if history != nil {
		c.state.Leases.History = history
	}
	for name := range c.state.Leases.Duties { // of a journal that had them in one record
		c.dirty[name] = duties[name] == nil
	}
	for _, bucket := range buckets {
		c.data[bucket] = map[string][]byte{}
		err := s.Read(bucket, func(key string, v []byte) error {
			if v == nil && c.found {
				return damaged(bucket, key)
			}
			c.data[bucket][key] = v
			return nil
		})
		if err != nil {
			return nil, nil, err
		}
	}
	if err := proto.Unmarshal(c.state.Conf, c.conf); err != nil {
		return nil, nil, damaged(stateBucket, stateKey)
	}
	if c.self.Life != 0 {
		c.self.Past = append(c.self.Past, c.self.Life)
		c.self.Past = c.self.Past[max(0, len(c.self.Past)-mostPast):]
	}
	c.self.Life = life
	if base.GetIndex() > 0 {
		c.first = base.GetIndex() + 1
		c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: &base}) // never older than an empty log
	}
	slices.SortFunc(entries, func(a, b *raftpb.Entry) int { return cmp.Compare(a.GetIndex(), b.GetIndex()) })
	for i, e := range entries {
		if e.GetIndex() != c.first+uint64(i) {
			return nil, nil, fmt.Errorf("the journal's log lacks entry %d", c.first+uint64(i))
		}
	}
	if err := c.log.Append(entries); err != nil {
		return nil, nil, err
	}
	c.log.SetHardState(&hard)
	if c.found {
		if peers > 0 && c.onlyVoter() {
			c.confirmed = map[string]bool{}
		}
		if err := c.start(); err != nil {
			return nil, nil, err
		}
	}
	return c, []journal.Record{put(logBucket, selfKey, c.self)}, nil
}

func (c *Core) start() error {
	return c.safely(func() (err error) {
		c.raw, err = raft.NewRawNode(&raft.Config{
			ID: c.self.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: &store{c.log, c}, Applied: c.state.Applied,
			MaxSizePerMsg: mostMessage, MaxCommittedSizePerReady: 4 * mostMessage, MaxUncommittedEntriesSize: mostPending, MaxInflightMsgs: mostInflight,
			CheckQuorum: true, PreVote: true, Logger: quiet{},
		})
		return err
	})
}

// Grouped says whose journal it is, if it is that of a member of a group.
func Grouped(s journal.Store) (name string, grouped bool, err error) {
	if err := s.Read(stateBucket, func(string, []byte) error { grouped = true; return nil }); err != nil {
		return "", false, err
	}
	err = s.Read(logBucket, func(key string, v []byte) error {
		var me self
		if key != selfKey {
			return nil
		}
		if err := json.Unmarshal(v, &me); err != nil {
			return fmt.Errorf("the journal's record %s/%q is damaged", logBucket, key)
		}
		name = me.Name
		return nil
	})
	return name, grouped, err
}

func put(bucket, key string, v any) journal.Record {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // of our own types
	}
	return journal.Record{Bucket: bucket, Key: key, Value: text}
}

func putProto(bucket, key string, m proto.Message) journal.Record {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err) // of raft's own types
	}
	return journal.Record{Bucket: bucket, Key: key, Value: text}
}

func entryKey(index uint64) string {
	return entryPrefix + string(binary.BigEndian.AppendUint64(nil, index))
}

// --- The beginning, and members ---

// Found begins a group of this member alone, with the records that its journal has. It returns what is to be written.
func (c *Core) Found() ([]journal.Record, error) {
	if c.found {
		return nil, errors.New("it is in a group already")
	}
	c.conf = &raftpb.ConfState{Voters: []uint64{c.self.ID}}
	c.state.Members[c.self.ID] = &Member{c.self.Name, c.self.ID, true}
	c.state.Applied = 1
	base := &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: c.conf}
	c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: base})
	c.first, c.found = 2, true
	hard := &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	c.log.SetHardState(hard)
	if err := c.start(); err != nil {
		return nil, err
	}
	return append(c.stateRecords(), putProto(logBucket, baseKey, base), putProto(logBucket, hardKey, hard)), nil
}

// stateRecords are what has changed of the state. Each duty has a record of its own: a renewal among thousands must not write them all.
func (c *Core) stateRecords() []journal.Record {
	text, err := proto.Marshal(c.conf)
	if err != nil {
		panic(err) // of raft's own type
	}
	c.state.Conf = text
	rest := c.state
	rest.Leases.Duties, rest.Leases.History = nil, nil
	records := []journal.Record{put(stateBucket, stateKey, rest)}
	if t := &c.state.Leases; c.steps != t.Steps {
		c.steps = t.Steps
		records = append(records, put(stateBucket, historyKey, t.History))
	}
	for _, name := range slices.Sorted(maps.Keys(c.dirty)) {
		if d := c.state.Leases.Duties[name]; c.dirty[name] && d != nil {
			records = append(records, put(stateBucket, dutyPrefix+name, d))
		}
	}
	clear(c.dirty)
	return records
}

// member returns who has a name.
func (c *Core) member(name string) *Member {
	for _, m := range c.state.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Add proposes a new member, which becomes a voter once it has what the others have. The lead decides.
func (c *Core) Add(name string, id uint64) error {
	if err := c.leads(); err != nil {
		return err
	}
	if m := c.member(name); m != nil && m.ID == id {
		return nil
	} else if m != nil {
		return fmt.Errorf("%s is a member with another disk: remove it first", name)
	}
	switch {
	case slices.Contains(c.state.Gone, id):
		return fmt.Errorf("%s was removed, and comes back with an empty disk only", name)
	case len(c.state.Members) >= MostMembers:
		return fmt.Errorf("there are %d members already", len(c.state.Members))
	}
	return c.change(raftpb.ConfChangeAddLearnerNode, &Member{Name: name, ID: id})
}

// Remove proposes that a member goes for good.
func (c *Core) Remove(name string) error {
	if err := c.leads(); err != nil {
		return err
	}
	m := c.member(name)
	switch {
	case m == nil:
		return fmt.Errorf("%s is no member", name)
	case len(c.conf.Voters) == 1 && m.Voter:
		return fmt.Errorf("%s is the last that counts", name)
	}
	return c.change(raftpb.ConfChangeRemoveNode, m)
}

// Promote proposes to count members that have what the others have.
func (c *Core) Promote() {
	if c.leads() != nil {
		return
	}
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && !m.Voter && p.Match > 0 && p.Match+16 >= c.raw.BasicStatus().GetCommit() {
			c.change(raftpb.ConfChangeAddNode, &Member{m.Name, m.ID, true}) // else at another tick
		}
	})
}

// heir is the member that is there and has the most; none if there is no such member, or this one does not lead.
func (c *Core) heir() (best Member) {
	if c.leads() != nil {
		return best
	}
	match := uint64(0)
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && m.Voter && id != c.self.ID && p.RecentActive && p.Match >= match {
			best, match = *m, p.Match
		}
	})
	return best
}

// Abdicate hands the lead to that member.
func (c *Core) Abdicate() {
	if to := c.heir(); to.ID != 0 {
		c.safely(func() error {
			c.raw.TransferLeader(to.ID)
			return nil
		})
	}
}

func (c *Core) change(kind raftpb.ConfChangeType, m *Member) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return c.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &m.ID, Context: text})
}

func (c *Core) leads() error {
	if err := c.part(); err != nil {
		return err
	}
	if c.raw.BasicStatus().RaftState != raft.StateLeader {
		return errors.New("it does not lead")
	}
	return nil
}

// part says why the member takes no part, nil if it does.
func (c *Core) part() error {
	switch {
	case c.wrong != nil:
		return c.wrong
	case !c.found:
		return errors.New("it is in no group yet")
	case c.unconfirmed():
		return errUnconfirmed
	}
	return nil
}

// onlyVoter says whether no other member's vote counts.
func (c *Core) onlyVoter() bool {
	return len(c.conf.Voters) == 1 && c.conf.Voters[0] == c.self.ID
}

// unconfirmed says whether this member started from a journal by which it alone votes, and most of its peers have not confirmed
// it since. Danger: the journal may be a copy of before others became voters. Whoever alone votes elects itself and agrees with
// itself, so a member that goes on from such a copy while it is cut off would write beside the group that it has founded.
func (c *Core) unconfirmed() bool { return c.confirmed != nil && c.onlyVoter() }

// Confirm takes in that a peer has taken this member's start for one that may follow those it knows, and who the peer is. It fails
// if that peer itself shows that this member's journal is not the latest. Most of the peers have to confirm, this member counted,
// as for the founding of a group: any group of theirs has one of them.
func (c *Core) Confirm(name string, id uint64, grouped bool) error {
	if !c.unconfirmed() {
		return nil
	}
	known := c.member(name)
	if grouped && (known == nil || known.ID != id) && !slices.Contains(c.state.Gone, id) {
		return errUnknownGroup
	}
	c.confirmed[name] = true
	if 2*(len(c.confirmed)+1) > c.peers+1 {
		c.confirmed = nil
	}
	return nil
}

// --- What happens ---

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
			c.Promote()
			if c.ticks++; c.ticks%electionTicks == 0 {
				c.spread()
			}
			return nil
		})
	}
}

// Meet takes in who speaks for a member. One whose disk is a copy is told so.
func (c *Core) Meet(id uint64, boot Boot) error {
	known := c.self.Known[id]
	if c.state.Old[id] || !boot.after(&known) {
		return ErrOld
	}
	if known.Life != boot.Life && c.state.Members[id] != nil {
		if c.self.Known == nil {
			c.self.Known = map[uint64]Boot{}
		}
		c.self.Known[id], c.met = boot, true
		for id := range c.self.Known {
			if c.state.Members[id] == nil {
				delete(c.self.Known, id)
			}
		}
	}
	return nil
}

// spread has the others know of the starts that this member has heard.
func (c *Core) spread() {
	for _, id := range slices.Sorted(maps.Keys(c.self.Known)) { // in one order, so that a run can be played again
		boot, known := c.self.Known[id], c.state.Starts[id]
		if c.state.Members[id] != nil && !c.state.Old[id] && (known == nil || !known.after(&boot)) {
			c.propose(&command{Start: &started{id, boot}}) // else at another tick
		}
	}
}

// heard takes in that somebody has heard of a start.
func (c *Core) heard(s *started) {
	known := c.state.Starts[s.Member]
	switch {
	case c.state.Members[s.Member] == nil || known != nil && known.after(&s.Boot):
	case known == nil || s.Boot.after(known):
		if c.state.Starts == nil {
			c.state.Starts = map[uint64]*Boot{}
		}
		c.state.Starts[s.Member] = &s.Boot
	default:
		if c.state.Old == nil {
			c.state.Old = map[uint64]bool{}
		}
		if c.state.Old[s.Member] = true; s.Member == c.self.ID {
			c.wrong = ErrOld
		}
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
		c.wrong = fmt.Errorf("%w: entry %d was agreed on with it, and its log ends at %d", ErrOld, m.GetCommit(), last) // else raft ends the process for it; a lead of before may know of entries that were replaced
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
func (c *Core) Unreachable(m *raftpb.Message) {
	if c.part() != nil {
		return
	}
	c.raw.ReportUnreachable(m.GetTo())
	if m.GetType() == raftpb.MsgSnap {
		c.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
	}
}

// Sent takes in that a snapshot has arrived.
func (c *Core) Sent(m *raftpb.Message) {
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
func (c *Core) Ready() (w *Work) {
	c.safely(func() error {
		w = c.next()
		return nil
	})
	if c.wrong != nil && !errors.Is(c.wrong, ErrRemoved) { // which the others are told of
		return nil
	}
	return w
}

func (c *Core) next() *Work {
	if c.raw == nil || c.wrong != nil || !c.raw.HasReady() && !c.met {
		return nil
	}
	w := &Work{}
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
func (c *Core) Done() {
	if c.ready != nil {
		c.safely(func() error {
			c.raw.Advance(*c.ready)
			return nil
		})
		c.ready = nil
	}
}

// apply carries out an entry that is agreed on.
func (c *Core) apply(w *Work, e *raftpb.Entry) {
	c.state.Applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		var m Member
		if proto.Unmarshal(e.GetData(), &cc) != nil || json.Unmarshal(cc.GetContext(), &m) != nil {
			break // of a build that this one does not know: the others have not agreed on it either
		}
		c.conf = c.raw.ApplyConfChange(&cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(c.state.Members, m.ID)
			delete(c.state.Starts, m.ID)
			delete(c.state.Old, m.ID)
			if c.state.Gone = append(c.state.Gone, m.ID); len(c.state.Gone) > mostGone {
				c.state.Gone = c.state.Gone[1:]
			}
			if m.ID == c.self.ID {
				c.wrong = ErrRemoved
			}
		} else {
			c.state.Members[m.ID] = &Member{m.Name, m.ID, cc.GetType() == raftpb.ConfChangeAddNode}
		}
	case raftpb.EntryNormal:
		var cmd command
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &cmd) != nil {
			break // a new lead's first
		}
		r := Result{ID: cmd.ID}
		switch {
		case cmd.Start != nil:
			c.heard(cmd.Start)
		case cmd.Lease != nil:
			r.Lease = c.state.Leases.Apply(cmd.Lease)
			c.dirty[cmd.Lease.Duty] = true
			r.Refused = r.Lease.Refused
		case cmd.Write != nil:
			r.Refused = c.write(w, cmd.Write)
		}
		if c.waits[cmd.ID] {
			delete(c.waits, cmd.ID)
			c.results = append(c.results, r)
		}
	}
}

// write carries out what a duty's holder writes.
func (c *Core) write(w *Work, x *write) string {
	d, last := c.state.Leases.Duties[x.Duty], c.state.Wrote[x.Duty]
	if last.Epoch != x.Epoch {
		last = wrote{x.Epoch, 0}
	}
	switch {
	case d == nil || d.Epoch != x.Epoch || d.Holder == "":
		return "another holds the duty, or nobody"
	case x.Seq == last.Seq:
		return "" // it has been done
	case x.Seq != last.Seq+1:
		return fmt.Sprintf("write %d comes after %d", x.Seq, last.Seq)
	}
	for _, r := range x.Records {
		if !slices.Contains(c.buckets, r.Bucket) {
			return fmt.Sprintf("there is no bucket %q", r.Bucket)
		}
	}
	c.state.Wrote[x.Duty] = wrote{x.Epoch, x.Seq}
	for _, r := range x.Records {
		if r.Value == nil {
			delete(c.data[r.Bucket], r.Key)
		} else {
			c.data[r.Bucket][r.Key] = r.Value
		}
	}
	w.Records = append(w.Records, x.Records...)
	return ""
}

// restore takes a snapshot in the place of all that is known.
func (c *Core) restore(w *Work, s *raftpb.Snapshot) error {
	var im image
	if err := json.Unmarshal(s.GetData(), &im); err != nil {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	last, _ := c.log.LastIndex()
	for i := c.first; i <= last; i++ {
		w.Records = append(w.Records, journal.Record{Bucket: logBucket, Key: entryKey(i)})
	}
	if err := c.log.ApplySnapshot(s); err != nil {
		return err
	}
	c.first, c.conf = s.GetMetadata().GetIndex()+1, s.GetMetadata().GetConfState()
	for _, bucket := range c.buckets {
		for key := range c.data[bucket] {
			if _, stays := im.Data[bucket][key]; !stays {
				w.Records = append(w.Records, journal.Record{Bucket: bucket, Key: key})
			}
		}
		c.data[bucket] = map[string][]byte{}
		for _, key := range slices.Sorted(maps.Keys(im.Data[bucket])) {
			c.data[bucket][key] = im.Data[bucket][key]
			w.Records = append(w.Records, journal.Record{Bucket: bucket, Key: key, Value: im.Data[bucket][key]})
		}
	}
	for name := range c.state.Leases.Duties {
		if im.State.Leases.Duties[name] == nil {
			w.Records = append(w.Records, journal.Record{Bucket: stateBucket, Key: dutyPrefix + name})
		}
	}
	c.state, c.steps = im.State, 0
	for name := range c.state.Leases.Duties {
		c.dirty[name] = true
	}
	if c.state.Wrote == nil {
		c.state.Wrote = map[string]wrote{}
	}
	c.state.Applied = s.GetMetadata().GetIndex()
	w.Records = append(append(w.Records, putProto(logBucket, baseKey, s.GetMetadata())), c.stateRecords()...)
	return nil
}

// cut drops the beginning of a log that has become long.
func (c *Core) cut(w *Work) {
	if c.state.Applied < c.first+mostLog {
		return
	}
	at := c.state.Applied - keepLog
	term, err := c.log.Term(at)
	if err != nil || c.log.Compact(at) != nil {
		return
	}
	for ; c.first <= at; c.first++ {
		w.Records = append(w.Records, journal.Record{Bucket: logBucket, Key: entryKey(c.first)})
	}
	w.Records = append(w.Records, putProto(logBucket, baseKey, &raftpb.SnapshotMetadata{Index: &at, Term: &term, ConfState: c.conf}))
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
func (c *Core) Lead() uint64 {
	if c.part() != nil {
		return 0
	}
	return c.raw.BasicStatus().Lead
}

// Rules says that this member leads and has carried out all that was agreed on before.
func (c *Core) Rules() bool {
	if c.leads() != nil {
		return false
	}
	term, err := c.log.Term(c.state.Applied)
	return err == nil && term == c.raw.BasicStatus().GetTerm()
}

// reached says whether a lead hears of a member.
func (c *Core) reached(id uint64) (active bool) {
	c.raw.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
		active = active || of == id && (p.RecentActive || of == c.self.ID)
	})
	return active
}
