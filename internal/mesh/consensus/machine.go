// Package consensus is the mesh's agreement: consensus on a replicated log, by an elected leader,
// as Raft has it.
//
// The model. There are members, each a disk at an address, a log of entries, and a table at every
// node that the committed entries are applied to in order. A Machine is one node's part. It does no
// I/O, has no clock and starts no goroutines: it is handed messages, the time and what its disk has
// synced, and it says what to save, what to send, what to apply and which proposals and reads are
// done. A Node runs one over a bbolt file.
//
// What may happen. Messages are lost, doubled, delayed and reordered, in one direction or both.
// Processes are killed and frozen at any time, also between a sync and an answer. Power goes, and
// takes what wasn't synced. A disk is lost whole. Clocks are only used to decide when to try
// something.
//
// What is promised. An entry is committed once a majority of the members has synced it, and stays
// at its place for ever. A proposal that was reported as done is committed; one that failed with
// ErrNoLeader is nowhere and never will be; only ErrUnknown leaves it open. A read that succeeded
// sees all that was committed before it was asked. All this holds while fewer than a majority of
// the disks are lost at a time, whoever else is down.
//
// A disk that is lost is another member. Each store draws a number when it is made; votes and
// acknowledgements carry it, and count only for the member with that number. So a node that has
// lost what it promised is nobody: it asks to be replicated to as a learner, and when it has caught
// up, the leader has the new disk take the place of the lost one. That needs a majority of the disks
// that were there before, so with three members both others. The first members don't know each
// other's numbers: disk 0 stands for a disk made at the first start, until a leader has heard its
// number and has it written into the members, which changes no majority.
//
// A mesh that was founded from a backup is another mesh, at the same addresses and perhaps with the
// same indexes. Its number stands in its members, and nodes don't heed messages of another number.
//
// Members change by joint configurations, each once the change before is committed and the leader
// has committed an entry of its own term: see members.go. A voter that is taken out and comes back
// is told so when it campaigns, and becomes a learner.
package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	heartbeat   = 250 * time.Millisecond
	electionMin = 900 * time.Millisecond
	electionMax = 1500 * time.Millisecond
	firstMin    = 60 * time.Millisecond // until a leader has been heard of in this life
	firstMax    = 350 * time.Millisecond
	mostTries   = 4                      // by then they are as long as all others
	healthy     = time.Second            // a peer that was heard in this time is there
	joinFirst   = 125 * time.Millisecond // before a Join is repeated, while nobody replicates to us;
	joinEvery   = time.Second            // twice as long each time, up to this
	resendAfter = 500 * time.Millisecond
	chunkWait   = time.Second // for a chunk of a snapshot to be acknowledged, before it is sent again
	// A sync that takes longer is no contact with the leader any more: see answersEarly.
	stalledAfter = 4 * time.Second

	mostPending   = 512       // proposals and reads of one node
	mostReads     = 1024      // that a leader keeps, of all nodes
	mostLearners  = 64        //
	mostKnown     = 64        // addresses that a learner asks
	mostOrigins   = 64        // lives of processes whose proposals a leader tells apart
	mostMessage   = 64 << 10  // bytes of entries in one message, so that heartbeats don't wait long behind it
	mostInFlight  = 512 << 10 // bytes of entries that a follower hasn't acknowledged
	mostChunk     = 32 << 10  // bytes of a snapshot in one message
	mostSnapshot  = 64 << 20  // bytes of a snapshot
	mostOpen      = 8 << 20   // bytes of entries that aren't committed
	mostApplied   = 8         // entries that are applied at a time: see Output.Behind
	compactAfter  = 512       // entries,
	compactBytes  = 4 << 20   // or so many bytes
	unheardFactor = 4         // learners are dropped after this many times Replace

	defaultReplace = 2 * time.Second // half of the time that a repaired machine has to catch up
	askAllAfter    = 2 * electionMax // without a leader, a voter asks everybody who leads
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Hard is what a node must not forget: its term and whom it voted for.
type Hard struct {
	Term uint64
	Vote Member
}

// State is what a disk holds.
type State struct {
	Disk           uint64
	Founder        bool // made at the first start of all
	Hard           Hard
	Base, BaseTerm uint64
	Entries        []Entry // after the base
	Snapshot       *Snapshot
}

// Config is what a Machine is made of.
type Config struct {
	Self    string
	Seeds   []string
	Life    uint64 // a number that no other process has had
	Replace time.Duration
	Voters  int    // how many there are to be; fewer than there are seeds: as many as those
	Zone    string // in which this node stands; empty: unknown
	Rand    *rand.Rand
	State   State
	TableAt uint64 // what the table holds already: more than the disk, after that had failed
}

// Save is to be written in one transaction, and synced.
type Save struct {
	Hard           Hard
	Snapshot       *Snapshot // nil: as before
	Base, BaseTerm uint64    // entries up to Base go
	First          uint64    // entries from here on go, in favour of
	Entries        []Entry
}

// Done is the end of a proposal or a read.
type Done struct {
	ID    uint64
	Index uint64 // where the proposal was applied
	Err   error
}

// Output is what a Machine wants done, in this order; but Save may be under way while more is
// handed to the machine, until it is told of it by Saved.
//
// After a loss of all power hundreds of entries are committed at once, which a node with a small
// share of a processor needs seconds to apply. They are handed out a few at a time, so that it can
// send and answer heartbeats in between: a leader that applied them all first would lose its
// followers, and the next one would begin the same again.
type Output struct {
	Send    []Message
	Restore *Snapshot
	Apply   []Entry
	Behind  bool // more is committed than Apply reaches
	Done    []Done
	Compact bool // call Compact with the table's snapshot, as of Apply's last entry
	Save    *Save
}

// Empty tells that there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Send) == 0 && o.Restore == nil && len(o.Apply) == 0 && len(o.Done) == 0 && !o.Compact && o.Save == nil
}

// Machine is one node's part in the agreement. It is not safe for concurrent use.
type Machine struct {
	self    string
	seeds   []string
	life    uint64
	replace time.Duration
	rng     *rand.Rand
	disk    uint64
	founder bool

	now      time.Duration
	hard     Hard
	log      entryLog
	snapshot *Snapshot
	commit   uint64
	applied  uint64
	tableAt  uint64 // the table holds this at least, so no snapshot is taken before it
	compact  uint64 // entries after which a snapshot is taken; half of them are kept behind it

	role       role
	leader     Member        // of this term, if it is known; Address empty if not
	leaderTime time.Duration // how long it had led when it was heard last; 0 if it was not
	led        Hard          // who was last known to lead, and in which term
	heard      time.Duration // when a leader was last heard
	electionAt time.Duration
	tries      int // elections waited for before any leader was heard of
	votes      []Member
	began      uint64 // the term that this life began in
	changes    uint64 // of the leader
	foreign    uint64 // messages of another mesh
	met        uint64 // the mesh that was heard last, while we belong to none

	// What the disk has. A promise waits in held until a Save that covers it is under way, then in
	// waiting until it is synced.
	hardDirty, baseDirty    bool
	saving                  bool
	savingSince             time.Duration
	savingTerm, syncedTerm  uint64 // the term in the Save under way, and on disk
	handed, savedTo, synced uint64 // entries up to here were handed out, are in the Save under way, are on disk
	out, held, waiting      []Message

	// As a leader.
	peers                      []*progress
	opened                     uint64 // the index of the entry that opened the term
	round                      uint64 // of heartbeats
	reads                      []read
	beatAt, ledSince           time.Duration
	commitAtBeat, commitBefore uint64    // at the last beat, and at the one before
	transferee                 *progress // who leadership is handed to
	transferUntil              time.Duration
	seen                       []origin

	// As a learner.
	outside  Place // members newer than those in the log don't hold us
	known    []string
	joinAt   time.Duration
	joinWait time.Duration // until the next Join
	joinedAt time.Duration // when the leader was last asked
	adopted  time.Duration // when a leader last replicated to this very disk

	departure departure
	incoming  *incoming         // the snapshot that is being received
	voters    int               // that there are to be
	zone      string            // of this node,
	zones     map[string]string // and of others, by address
	chunk     int               // bytes of one that are sent at a time

	pending      []pending // proposals, in order
	pendingReads []pendingRead
	done         []Done
	restore      *Snapshot
}

// New makes a machine of what a disk holds. A first member finds the first members in its log: see
// Found.
func New(c Config) *Machine {
	m := &Machine{self: c.Self, seeds: c.Seeds, life: c.Life, replace: c.Replace, rng: c.Rand, disk: c.State.Disk,
		founder: c.State.Founder, hard: c.State.Hard, began: c.State.Hard.Term, snapshot: c.State.Snapshot, tableAt: c.TableAt,
		voters: c.Voters, zone: c.Zone, zones: map[string]string{}, compact: compactAfter, chunk: mostChunk, syncedTerm: c.State.Hard.Term}
	if m.replace == 0 {
		m.replace = defaultReplace
	}
	m.replace = max(m.replace, healthy)
	m.log.base, m.log.baseTerm = c.State.Base, c.State.BaseTerm
	if s := m.snapshot; s != nil {
		m.commit, m.applied = s.Index, s.Index
		m.log.members = []decided{{s.MembersAt, s.Members}}
	}
	for _, e := range c.State.Entries {
		if e.Members != nil && m.log.current().at.Index >= e.Index { // the snapshot knows it already
			members := e.Members
			e.Members = nil
			m.log.append(e)
			m.log.entries[len(m.log.entries)-1].Members = members
			continue
		}
		m.log.append(e)
	}
	if m.log.last() < m.commit {
		panic(fmt.Sprintf("consensus: the log ends at %d, before the snapshot at %d", m.log.last(), m.commit))
	}
	m.handed, m.savedTo, m.synced = m.log.last(), m.log.last(), m.log.last()
	m.learnAddresses(c.Seeds)
	m.resetElection()
	return m
}

// Found is the log of a first member: the seeds, by addresses alone, since nobody knows any disk
// yet.
func Found(seeds []string) []Entry {
	members := &Members{Target: len(seeds)}
	for _, s := range sorted(seeds) {
		members.Voters = append(members.Voters, Member{Address: s})
	}
	return []Entry{{Index: 1, Term: 1, Members: members}}
}

// Clock tells the time, which never goes back.
func (m *Machine) Clock(now time.Duration) { m.now = max(m.now, now) }

// Advance tells the time and does what is due.
func (m *Machine) Advance(now time.Duration) {
	m.Clock(now)
	m.advanceDeparture()
	switch {
	case m.role == leader:
		if m.now >= m.beatAt {
			m.beat()
		}
	case m.mayCampaign():
		if m.now >= m.electionAt {
			m.campaign(preCandidate)
		}
	default:
		if m.now >= m.joinAt {
			m.join()
		}
	}
}

// Deadline is when Advance is next due.
func (m *Machine) Deadline() time.Duration {
	if m.isDeparting() {
		return min(m.timerDue(), m.departure.repeatAt, m.departure.until)
	}
	return m.timerDue()
}

func (m *Machine) timerDue() time.Duration {
	switch {
	case m.role == leader:
		return m.beatAt
	case m.mayCampaign():
		return m.electionAt
	}
	return m.joinAt
}

// Step takes a message.
func (m *Machine) Step(msg Message) {
	if msg.To != m.self || msg.From == "" {
		return
	}
	switch mine := m.log.mesh(); {
	case msg.Mesh == 0:
	case mine == 0 && msg.Mesh != m.met:
		m.meet(msg.Mesh)
	case mine != 0 && msg.Mesh != mine:
		m.foreign++ // indexes and terms of another mesh mean nothing here
		return
	}
	m.learnZone(msg)
	switch msg.Kind {
	case PreVote, Vote:
		m.onVote(msg)
	case PreVoteReply, VoteReply:
		m.onVoteReply(msg)
	case Append:
		m.onAppend(msg)
	case AppendReply:
		m.onAppendReply(msg)
	case Install:
		m.onInstall(msg)
	case InstallReply:
		m.onInstallReply(msg)
	case TimeoutNow:
		if msg.Term == m.hard.Term && m.role == follower && m.mayCampaign() {
			m.campaign(candidate)
		}
	case Join:
		m.onJoin(msg)
	case Hint:
		m.onHint(msg)
	case Forward:
		m.onForward(msg)
	case Refuse:
		m.onRefuse(msg)
	case ReadAsk:
		m.onReadAsk(msg)
	case ReadReply:
		m.onReadReply(msg)
	case Leave:
		m.onLeave(msg)
	case LeaveReply:
		m.onLeaveReply(msg)
	}
	m.advanceDeparture()
}

// meet turns to another mesh. Who knows no members has an empty log, and no vote that counts: it
// belongs to none, and hears whichever speaks. Who led the other one leads nobody here.
func (m *Machine) meet(mesh uint64) {
	m.met, m.led, m.leader = mesh, Hard{}, Member{}
	for _, p := range m.pending {
		m.done = append(m.done, Done{ID: p.id, Err: ErrUnknown})
	}
	m.pending = nil
	m.failReads(ErrNoLeader)
}

// Take says what is to be done. It is to be called again until there is nothing.
func (m *Machine) Take() Output {
	if m.role == leader {
		m.replicate()
	}
	var o Output
	if !m.saving {
		if m.hardDirty || m.baseDirty || m.handed < m.log.last() {
			o.Save = m.save()
			m.waiting, m.held = m.held, nil
			m.saving, m.savingSince, m.savingTerm = true, m.now, m.hard.Term
		} else if len(m.held) > 0 {
			held := m.held
			m.held = nil
			m.release(held)
		}
	}
	o.Send, m.out = m.out, nil
	o.Restore, m.restore = m.restore, nil
	if m.applied < m.commit {
		to := min(m.commit, m.applied+mostApplied)
		o.Apply = m.log.between(m.applied, to, mostMessage)
		for _, e := range o.Apply {
			m.onApplied(e)
		}
		m.applied += uint64(len(o.Apply))
		o.Behind = m.applied < m.commit
	}
	m.finishReads()
	o.Done, m.done = m.done, nil
	o.Compact = m.compactDue()
	return o
}

// Saved tells that the Save under way is synced.
func (m *Machine) Saved() {
	m.saving = false
	m.synced, m.syncedTerm = max(m.synced, m.savedTo), m.savingTerm
	waiting := m.waiting
	m.waiting = nil
	m.release(waiting)
	if m.role == leader {
		m.advanceCommit()
	}
}

// release lets promises go that are kept. What a machine promises itself comes back to it.
func (m *Machine) release(messages []Message) {
	for _, msg := range messages {
		if msg.To == m.self {
			m.Step(msg)
		} else {
			m.out = append(m.out, msg)
		}
	}
}

func (m *Machine) save() *Save {
	s := &Save{Hard: m.hard, Base: m.log.base, BaseTerm: m.log.baseTerm, First: m.handed + 1,
		Entries: m.log.between(m.handed, m.log.last(), math.MaxUint64)}
	if m.baseDirty {
		s.Snapshot = m.snapshot
	}
	m.hardDirty, m.baseDirty = false, false
	m.handed, m.savedTo = m.log.last(), m.log.last()
	return s
}

// cut drops entries in favour of a leader's.
func (m *Machine) cut(from uint64) {
	if from <= m.commit {
		panic(fmt.Sprintf("consensus: a committed entry overwritten, at %d of %d", from, m.commit))
	}
	m.log.cut(from)
	m.handed, m.savedTo, m.synced = min(m.handed, from-1), min(m.savedTo, from-1), min(m.synced, from-1)
}

func (m *Machine) commitTo(index uint64) {
	if index < m.commit || index > m.log.last() {
		panic(fmt.Sprintf("consensus: commit goes from %d to %d, and the log ends at %d", m.commit, index, m.log.last()))
	}
	m.commit = index
	if in := m.incoming; in != nil && in.transferID.at.Index <= index {
		m.incoming = nil
	}
}

// send fills in who we are. A message that promises something goes through promise instead.
func (m *Machine) send(msg Message) { m.out = append(m.out, m.signed(msg)) }

func (m *Machine) promise(msg Message) { m.held = append(m.held, m.signed(msg)) }

func (m *Machine) signed(msg Message) Message {
	msg.From, msg.Disk, msg.Founder, msg.Mesh, msg.Zone = m.self, m.disk, m.founder, m.log.mesh(), m.zone
	if msg.Term == 0 {
		msg.Term = m.hard.Term
	}
	return msg
}

// Status is how the machine stands.
func (m *Machine) Status() Status {
	s := Status{Leader: m.leader.Address, Term: m.hard.Term, Commit: m.commit, Applied: m.applied, LeaderChanges: m.changes, Foreign: m.foreign}
	members := m.log.current().members
	for _, v := range members.Voters {
		s.Members = append(s.Members, v.Address)
	}
	for _, v := range members.Old {
		if !slices.Contains(members.Voters, v) {
			s.Outgoing = append(s.Outgoing, v.Address)
		}
	}
	for _, p := range m.peers {
		switch {
		case p.learner:
			s.Learners = append(s.Learners, p.member.Address)
		case m.role == leader && m.now-p.heard >= healthy:
			s.Silent = append(s.Silent, p.member.Address)
		}
	}
	switch {
	case m.role == leader:
		s.Role, s.Zones = "leader", m.zones
	case !m.mayCampaign():
		s.Role = "learner"
		if m.lostDisk() {
			s.Role = "recovering"
		}
	case m.role == follower:
		s.Role = "follower"
	default:
		s.Role = "candidate"
	}
	return s
}
