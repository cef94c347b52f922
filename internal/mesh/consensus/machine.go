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
	heartbeatInterval       = 250 * time.Millisecond
	minElectionTimeout      = 900 * time.Millisecond
	maxElectionTimeout      = 1500 * time.Millisecond
	minFirstElectionTimeout = 60 * time.Millisecond // until a leader has been heard of in this life
	maxFirstElectionTimeout = 350 * time.Millisecond
	maxTimeoutDoublings     = 4                      // by then they are as long as all others
	peerTimeout             = time.Second            // a peer that was heard in this time is there
	minJoinBackoff          = 125 * time.Millisecond // before a Join is repeated, while nobody replicates to us;
	maxJoinBackoff          = time.Second            // twice as long each time, up to this
	resendTimeout           = 500 * time.Millisecond
	chunkAckTimeout         = time.Second // for a chunk of a snapshot to be acknowledged, before it is sent again
	// A sync that takes longer is no contact with the leader any more: see answersEarly.
	syncStallTimeout = 4 * time.Second

	maxPendingRequests    = 512       // proposals and reads of one node
	maxLeaderReads        = 1024      // that a leader keeps, of all nodes
	maxLearners           = 64        //
	maxKnownAddresses     = 64        // addresses that a learner asks
	maxProposalWindows    = 64        // lives of processes whose proposals a leader tells apart
	maxMessageBytes       = 64 << 10  // bytes of entries in one message, so that heartbeats don't wait long behind it
	maxInFlightBytes      = 512 << 10 // bytes of entries that a follower hasn't acknowledged
	maxChunkBytes         = 32 << 10  // bytes of a snapshot in one message
	maxSnapshotBytes      = 64 << 20  // bytes of a snapshot
	maxUncommittedBytes   = 8 << 20   // bytes of entries that aren't committed
	maxApplyBatch         = 8         // entries that are applied at a time: see Output.Behind
	defaultCompactEntries = 512       // entries,
	compactBytes          = 4 << 20   // or so many bytes
	learnerTimeoutFactor  = 4         // learners are dropped after this many times Replace

	defaultReplaceAfter = 2 * time.Second        // half of the time that a repaired machine has to catch up
	joinBroadcastDelay  = 2 * maxElectionTimeout // without a leader, a voter asks everybody who leads
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
	Disk                uint64
	Founder             bool // made at the first start of all
	Hard                Hard
	BaseIndex, BaseTerm uint64
	Entries             []Entry // after the base
	Snapshot            *Snapshot
}

// Config is what a Machine is made of.
type Config struct {
	Self         string
	Seeds        []string
	Incarnation  uint64 // a number that no other process has had
	ReplaceAfter time.Duration
	TargetVoters int    // how many there are to be; fewer than there are seeds: as many as those
	Zone         string // in which this node stands; empty: unknown
	Rand         *rand.Rand
	State        State
	TableIndex   uint64 // what the table holds already: more than the disk, after that had failed
}

// Save is to be written in one transaction, and synced.
type Save struct {
	Hard                Hard
	Snapshot            *Snapshot // nil: as before
	BaseIndex, BaseTerm uint64    // entries up to Base go
	FirstIndex          uint64    // entries from here on go, in favour of
	Entries             []Entry
}

// Done is the end of a proposal or a read.
type Completion struct {
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
	Messages    []Message
	Restore     *Snapshot
	Apply       []Entry
	MoreToApply bool // more is committed than Apply reaches
	Completions []Completion
	Compact     bool // call Compact with the table's snapshot, as of Apply's last entry
	Save        *Save
}

// Empty tells that there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Messages) == 0 && o.Restore == nil && len(o.Apply) == 0 && len(o.Completions) == 0 && !o.Compact && o.Save == nil
}

// Machine is one node's part in the agreement. It is not safe for concurrent use.
type Machine struct {
	self         string
	seeds        []string
	incarnation  uint64
	replaceAfter time.Duration
	rng          *rand.Rand
	diskID       uint64
	founder      bool

	now            time.Duration
	hardState      Hard
	log            entryLog
	snapshot       *Snapshot
	commitIndex    uint64
	appliedIndex   uint64
	tableIndex     uint64 // the table holds this at least, so no snapshot is taken before it
	compactEntries uint64 // entries after which a snapshot is taken; half of them are kept behind it

	role              role
	leader            Member        // of this term, if it is known; Address empty if not
	leaderTenure      time.Duration // how long it had led when it was heard last; 0 if it was not
	lastLeader        Hard          // who was last known to lead, and in which term
	lastLeaderContact time.Duration // when a leader was last heard
	electionDeadline  time.Duration
	timeoutDoublings  int // elections waited for before any leader was heard of
	votes             []Member
	initialTerm       uint64 // the term that this life began in
	leaderChanges     uint64 // of the leader
	foreignMessages   uint64 // messages of another mesh
	provisionalMesh   uint64 // the mesh that was heard last, while we belong to none

	// What the disk has. A promise waits in held until a Save that covers it is under way, then in
	// waiting until it is synced.
	hardStateDirty, snapshotDirty            bool
	saveInProgress                           bool
	saveStartedAt                            time.Duration
	savingTerm, syncedTerm                   uint64 // the term in the Save under way, and on disk
	handedOffIndex, savingIndex, syncedIndex uint64 // entries up to here were handed out, are in the Save under way, are on disk
	outbox, awaitingSave, awaitingSync       []Message

	// As a leader.
	peers                                            []*progress
	termStartIndex                                   uint64 // the index of the entry that opened the term
	heartbeatRound                                   uint64 // of heartbeats
	leaderReads                                      []leaderRead
	nextHeartbeat, leaderSince                       time.Duration
	commitAtLastHeartbeat, commitAtPreviousHeartbeat uint64    // at the last beat, and at the one before
	transferee                                       *progress // who leadership is handed to
	transferDeadline                                 time.Duration
	proposalWindows                                  []proposalWindow

	// As a learner.
	excludedAt       Place // members newer than those in the log don't hold us
	knownAddresses   []string
	nextJoin         time.Duration
	joinBackoff      time.Duration // until the next Join
	lastJoinSent     time.Duration // when the leader was last asked
	lastReplicatedTo time.Duration // when a leader last replicated to this very disk

	departure        departure
	incomingSnapshot *incomingSnapshot // the snapshot that is being received
	targetVoters     int               // that there are to be
	zone             string            // of this node,
	zones            map[string]string // and of others, by address
	chunkBytes       int               // bytes of one that are sent at a time

	pendingProposals  []pendingProposal // proposals, in order
	pendingReads      []pendingRead
	completions       []Completion
	snapshotToRestore *Snapshot
}

// New makes a machine of what a disk holds. A first member finds the first members in its log: see
// Found.
func New(c Config) *Machine {
	m := &Machine{self: c.Self, seeds: c.Seeds, incarnation: c.Incarnation, replaceAfter: c.ReplaceAfter, rng: c.Rand, diskID: c.State.Disk,
		founder: c.State.Founder, hardState: c.State.Hard, initialTerm: c.State.Hard.Term, snapshot: c.State.Snapshot, tableIndex: c.TableIndex,
		targetVoters: c.TargetVoters, zone: c.Zone, zones: map[string]string{}, compactEntries: defaultCompactEntries, chunkBytes: maxChunkBytes, syncedTerm: c.State.Hard.Term}
	if m.replaceAfter == 0 {
		m.replaceAfter = defaultReplaceAfter
	}
	m.replaceAfter = max(m.replaceAfter, peerTimeout)
	m.log.baseIndex, m.log.baseTerm = c.State.BaseIndex, c.State.BaseTerm
	if s := m.snapshot; s != nil {
		m.commitIndex, m.appliedIndex = s.Index, s.Index
		m.log.configurations = []configuration{{s.MembersAt, s.Members}}
	}
	for _, e := range c.State.Entries {
		if e.Members != nil && m.log.latestConfiguration().place.Index >= e.Index { // the snapshot knows it already
			members := e.Members
			e.Members = nil
			m.log.append(e)
			m.log.entries[len(m.log.entries)-1].Members = members
			continue
		}
		m.log.append(e)
	}
	if m.log.lastIndex() < m.commitIndex {
		panic(fmt.Sprintf("consensus: the log ends at %d, before the snapshot at %d", m.log.lastIndex(), m.commitIndex))
	}
	m.handedOffIndex, m.savingIndex, m.syncedIndex = m.log.lastIndex(), m.log.lastIndex(), m.log.lastIndex()
	m.learnAddresses(c.Seeds)
	m.resetElectionTimer()
	return m
}

// Found is the log of a first member: the seeds, by addresses alone, since nobody knows any disk
// yet.
func BootstrapEntries(seeds []string) []Entry {
	members := &Members{Target: len(seeds)}
	for _, s := range sortedUnique(seeds) {
		members.Voters = append(members.Voters, Member{Address: s})
	}
	return []Entry{{Index: 1, Term: 1, Members: members}}
}

// Clock tells the time, which never goes back.
func (m *Machine) SetClock(now time.Duration) { m.now = max(m.now, now) }

// Advance tells the time and does what is due.
func (m *Machine) Advance(now time.Duration) {
	m.SetClock(now)
	m.advanceDeparture()
	switch {
	case m.role == leader:
		if m.now >= m.nextHeartbeat {
			m.startHeartbeatRound()
		}
	case m.canCampaign():
		if m.now >= m.electionDeadline {
			m.campaign(preCandidate)
		}
	default:
		if m.now >= m.nextJoin {
			m.requestJoin()
		}
	}
}

// Deadline is when Advance is next due.
func (m *Machine) Deadline() time.Duration {
	if m.isDeparting() {
		return min(m.timerDeadline(), m.departure.nextRequest, m.departure.deadline)
	}
	return m.timerDeadline()
}

func (m *Machine) timerDeadline() time.Duration {
	switch {
	case m.role == leader:
		return m.nextHeartbeat
	case m.canCampaign():
		return m.electionDeadline
	}
	return m.nextJoin
}

// Step takes a message.
func (m *Machine) HandleMessage(msg Message) {
	if msg.To != m.self || msg.From == "" {
		return
	}
	switch mine := m.log.mesh(); {
	case msg.Mesh == 0:
	case mine == 0 && msg.Mesh != m.provisionalMesh:
		m.switchMesh(msg.Mesh)
	case mine != 0 && msg.Mesh != mine:
		m.foreignMessages++ // indexes and terms of another mesh mean nothing here
		return
	}
	m.recordZone(msg)
	switch msg.Kind {
	case PreVote, Vote:
		m.handleVote(msg)
	case PreVoteReply, VoteReply:
		m.handleVoteReply(msg)
	case AppendEntries:
		m.handleAppend(msg)
	case AppendEntriesReply:
		m.handleAppendReply(msg)
	case InstallSnapshot:
		m.handleInstallSnapshot(msg)
	case InstallSnapshotReply:
		m.handleInstallSnapshotReply(msg)
	case TimeoutNow:
		if msg.Term == m.hardState.Term && m.role == follower && m.canCampaign() {
			m.campaign(candidate)
		}
	case Join:
		m.handleJoin(msg)
	case Hint:
		m.handleHint(msg)
	case Forward:
		m.handleForward(msg)
	case ForwardReject:
		m.handleForwardReject(msg)
	case ReadIndex:
		m.handleReadIndex(msg)
	case ReadIndexReply:
		m.handleReadIndexReply(msg)
	case Leave:
		m.handleLeave(msg)
	case LeaveReply:
		m.handleLeaveReply(msg)
	}
	m.advanceDeparture()
}

// meet turns to another mesh. Who knows no members has an empty log, and no vote that counts: it
// belongs to none, and hears whichever speaks. Who led the other one leads nobody here.
func (m *Machine) switchMesh(mesh uint64) {
	m.provisionalMesh, m.lastLeader, m.leader = mesh, Hard{}, Member{}
	for _, p := range m.pendingProposals {
		m.completions = append(m.completions, Completion{ID: p.id, Err: ErrUnknown})
	}
	m.pendingProposals = nil
	m.failReads(ErrNoLeader)
}

// Take says what is to be done. It is to be called again until there is nothing.
func (m *Machine) NextOutput() Output {
	if m.role == leader {
		m.replicate()
	}
	var o Output
	if !m.saveInProgress {
		if m.hardStateDirty || m.snapshotDirty || m.handedOffIndex < m.log.lastIndex() {
			o.Save = m.buildSave()
			m.awaitingSync, m.awaitingSave = m.awaitingSave, nil
			m.saveInProgress, m.saveStartedAt, m.savingTerm = true, m.now, m.hardState.Term
		} else if len(m.awaitingSave) > 0 {
			held := m.awaitingSave
			m.awaitingSave = nil
			m.releaseMessages(held)
		}
	}
	o.Messages, m.outbox = m.outbox, nil
	o.Restore, m.snapshotToRestore = m.snapshotToRestore, nil
	if m.appliedIndex < m.commitIndex {
		to := min(m.commitIndex, m.appliedIndex+maxApplyBatch)
		o.Apply = m.log.entriesBetween(m.appliedIndex, to, maxMessageBytes)
		for _, e := range o.Apply {
			m.completeProposals(e)
		}
		m.appliedIndex += uint64(len(o.Apply))
		o.MoreToApply = m.appliedIndex < m.commitIndex
	}
	m.completeReads()
	o.Completions, m.completions = m.completions, nil
	o.Compact = m.isCompactionDue()
	return o
}

// Saved tells that the Save under way is synced.
func (m *Machine) SaveCompleted() {
	m.saveInProgress = false
	m.syncedIndex, m.syncedTerm = max(m.syncedIndex, m.savingIndex), m.savingTerm
	waiting := m.awaitingSync
	m.awaitingSync = nil
	m.releaseMessages(waiting)
	if m.role == leader {
		m.advanceCommit()
	}
}

// release lets promises go that are kept. What a machine promises itself comes back to it.
func (m *Machine) releaseMessages(messages []Message) {
	for _, msg := range messages {
		if msg.To == m.self {
			m.HandleMessage(msg)
		} else {
			m.outbox = append(m.outbox, msg)
		}
	}
}

func (m *Machine) buildSave() *Save {
	s := &Save{Hard: m.hardState, BaseIndex: m.log.baseIndex, BaseTerm: m.log.baseTerm, FirstIndex: m.handedOffIndex + 1,
		Entries: m.log.entriesBetween(m.handedOffIndex, m.log.lastIndex(), math.MaxUint64)}
	if m.snapshotDirty {
		s.Snapshot = m.snapshot
	}
	m.hardStateDirty, m.snapshotDirty = false, false
	m.handedOffIndex, m.savingIndex = m.log.lastIndex(), m.log.lastIndex()
	return s
}

// cut drops entries in favour of a leader's.
func (m *Machine) truncateFrom(from uint64) {
	if from <= m.commitIndex {
		panic(fmt.Sprintf("consensus: a committed entry overwritten, at %d of %d", from, m.commitIndex))
	}
	m.log.truncateFrom(from)
	m.handedOffIndex, m.savingIndex, m.syncedIndex = min(m.handedOffIndex, from-1), min(m.savingIndex, from-1), min(m.syncedIndex, from-1)
}

func (m *Machine) commitTo(index uint64) {
	if index < m.commitIndex || index > m.log.lastIndex() {
		panic(fmt.Sprintf("consensus: commit goes from %d to %d, and the log ends at %d", m.commitIndex, index, m.log.lastIndex()))
	}
	m.commitIndex = index
	if in := m.incomingSnapshot; in != nil && in.transferID.place.Index <= index {
		m.incomingSnapshot = nil
	}
}

// send fills in who we are. A message that promises something goes through promise instead.
func (m *Machine) send(msg Message) { m.outbox = append(m.outbox, m.withSender(msg)) }

func (m *Machine) sendAfterSync(msg Message) {
	m.awaitingSave = append(m.awaitingSave, m.withSender(msg))
}

func (m *Machine) withSender(msg Message) Message {
	msg.From, msg.Disk, msg.Founder, msg.Mesh, msg.Zone = m.self, m.diskID, m.founder, m.log.mesh(), m.zone
	if msg.Term == 0 {
		msg.Term = m.hardState.Term
	}
	return msg
}

// Status is how the machine stands.
func (m *Machine) Status() Status {
	s := Status{Leader: m.leader.Address, Term: m.hardState.Term, Commit: m.commitIndex, Applied: m.appliedIndex, LeaderChanges: m.leaderChanges, Foreign: m.foreignMessages}
	members := m.log.latestConfiguration().members
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
		case p.isLearner:
			s.Learners = append(s.Learners, p.member.Address)
		case m.role == leader && m.now-p.lastContact >= peerTimeout:
			s.Silent = append(s.Silent, p.member.Address)
		}
	}
	switch {
	case m.role == leader:
		s.Role, s.Zones = "leader", m.zones
	case !m.canCampaign():
		s.Role = "learner"
		if m.hasLostDisk() {
			s.Role = "recovering"
		}
	case m.role == follower:
		s.Role = "follower"
	default:
		s.Role = "candidate"
	}
	return s
}
