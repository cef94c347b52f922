// Package consensus replicates a log of commands across the core machines of a mesh. It implements
// Raft with pre-vote, joint configurations, learners, linearizable reads by read index, log
// compaction by snapshots, and leadership transfer.
//
// # Model
//
// The cluster, called a mesh, consists of members, each of which is a disk at a network
// address. They replicate a log of entries, and every node applies the committed entries in order
// to its own table. A Machine is the state machine of one node. It does no I/O, has no clock and
// starts no goroutines: its caller passes in messages, the current time and the completion of
// saves, and the Machine returns what to save, send and apply, and which proposals and reads have
// completed. A Node runs a Machine on top of a bbolt file.
//
// # Failures
//
// The package tolerates the following failures. Messages may be lost, duplicated, delayed and
// reordered, in one direction or in both. A process may be killed or paused at any time, also
// between a sync and the reply that depends on it. A power failure discards everything that was not
// synced. A disk may be lost completely. Clocks only decide when something is attempted; safety
// never depends on them.
//
// # Guarantees
//
// An entry is committed once a majority of the voters has synced it, and then keeps its
// index forever. A proposal that is reported as successful is committed. A proposal that fails with
// ErrNoLeader is in no log and never will be. Only ErrUnknown leaves the outcome open. A successful
// read observes everything that was committed before it was requested. These guarantees hold as
// long as fewer than a majority of the disks are lost at a time, no matter how many other nodes are
// down.
//
// # Lost disks
//
// A member whose disk is replaced is a different member. Each store draws a random disk
// number when it is created; votes and acknowledgements carry that number and count only for the
// member with the same number. A node that has lost its state therefore has no vote: it asks to be
// replicated to as a learner, and when it has caught up, the leader replaces the lost disk by the
// new one. This needs a majority of the previous disks, so in a mesh of three members both others.
// The first members don't know each other's disk numbers: number 0 stands for a disk that was
// created at the first start, until a leader has learned the real number and written it into the
// configuration. That step changes no majority.
//
// # Meshes
//
// A mesh that is founded from a backup is a separate mesh, at the same addresses and
// possibly with the same log indexes. Its number is part of its configuration, and nodes ignore
// messages that carry a different number.
//
// # Configuration changes
//
// Voters change through joint configurations, one change at a time: each
// starts only after the previous one is committed and the leader has committed an entry of its own
// term (see members.go). A voter that was removed while it was away is told so when it campaigns,
// and becomes a learner.
package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	heartbeatInterval  = 250 * time.Millisecond
	minElectionTimeout = 900 * time.Millisecond
	maxElectionTimeout = 1500 * time.Millisecond
	// Election timeouts that apply until this process first hears of a leader. They double with
	// each election attempt.
	minFirstElectionTimeout = 60 * time.Millisecond
	maxFirstElectionTimeout = 350 * time.Millisecond
	maxTimeoutDoublings     = 4 // the first timeouts then reach the regular ones
	// A peer that was silent for this long counts as unreachable.
	peerTimeout = time.Second
	// Delay before a Join message is repeated while no leader replicates to this node. It doubles
	// each time, up to maxJoinBackoff.
	minJoinBackoff  = 125 * time.Millisecond
	maxJoinBackoff  = time.Second
	resendTimeout   = 500 * time.Millisecond // until an unanswered request to the leader is repeated
	chunkAckTimeout = time.Second            // until a snapshot chunk that was not acknowledged is sent again
	// A follower whose sync takes longer than this no longer replies to the leader and counts as
	// unreachable: see acknowledgesEarly.
	syncStallTimeout = 4 * time.Second

	maxPendingRequests  = 512  // proposals, and as many reads, that one node has in progress
	maxLeaderReads      = 1024 // unconfirmed reads of all nodes that a leader keeps
	maxLearners         = 64
	maxKnownAddresses   = 64        // addresses to which a learner sends Join messages
	maxProposalWindows  = 64        // processes whose proposals a leader deduplicates
	maxMessageBytes     = 64 << 10  // entries in one message; larger ones would delay heartbeats
	maxInFlightBytes    = 512 << 10 // entries that a follower has not acknowledged
	maxChunkBytes       = 32 << 10  // snapshot data in one message
	maxSnapshotBytes    = 64 << 20
	maxUncommittedBytes = 8 << 20 // uncommitted entries; beyond this a leader rejects proposals
	maxApplyBatch       = 8       // entries in one Output: see Output.MoreToApply
	// A snapshot is taken once this many entries, or compactBytes bytes of entries, were applied
	// since the last one.
	defaultCompactEntries = 512
	compactBytes          = 4 << 20
	// Learners that are silent for this many times ReplaceAfter are dropped.
	learnerTimeoutFactor = 4

	// Default of Config.ReplaceAfter: half of the time within which a repaired machine has to catch
	// up.
	defaultReplaceAfter = 2 * time.Second
	// Without a leader for this long, a voter sends Join messages to all known addresses.
	joinBroadcastDelay = 2 * maxElectionTimeout
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Hard is Raft's hard state, which has to survive a restart: the current term and the vote in it.
type Hard struct {
	Term uint64
	Vote Member
}

// State is the content of a node's store.
type State struct {
	Disk                uint64 // disk number
	Founder             bool   // the store was created at the first start of the mesh
	Hard                Hard
	BaseIndex, BaseTerm uint64  // the last entry that was compacted away; 0: none
	Entries             []Entry // the entries after BaseIndex
	Snapshot            *Snapshot
}

// Config holds the parameters of a new Machine.
type Config struct {
	Self         string
	Seeds        []string      // addresses of the first members, or of nodes that know the members
	Incarnation  uint64        // unique number; new after each restart and each reopening of the store
	ReplaceAfter time.Duration // silence after which a voter is replaced; 0: 2 s
	TargetVoters int           // intended number of voters; the number of seeds if that is higher
	Zone         string        // zone of this node; empty: unknown
	Rand         *rand.Rand
	State        State
	// TableIndex is the index up to which the table is already applied. After a disk failure it may
	// be ahead of State.
	TableIndex uint64
}

// Completion is the result of a proposal or a read.
type Completion struct {
	ID    uint64
	Index uint64 // index at which the proposal was applied
	Err   error
}

// Output lists the work that a Machine requests from its caller, to be done in the order of the
// fields. A Save may still be in progress while the caller passes further input to the Machine; the
// caller reports its end with SaveCompleted.
//
// After a power failure of all nodes, hundreds of entries are committed at once, and a node with a
// small CPU share needs seconds to apply them. They are handed out in small batches so that the
// node can send and answer heartbeats in between. A leader that applied all of them first would
// lose its followers, and the next leader would repeat this.
type Output struct {
	Messages    []Message
	Restore     *Snapshot
	Apply       []Entry
	MoreToApply bool // more entries are committed than Apply contains
	Completions []Completion
	Compact     bool // call Compact with a snapshot of the table as of the last entry of Apply
	Save        *Save
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return len(o.Messages) == 0 && o.Restore == nil && len(o.Apply) == 0 && len(o.Completions) == 0 && !o.Compact && o.Save == nil
}

// Machine is the Raft state machine of one node. It is not safe for concurrent use.
type Machine struct {
	self         string // address of this node
	seeds        []string
	incarnation  uint64        // see Config.Incarnation
	replaceAfter time.Duration // how long a voter is silent before it is replaced
	rng          *rand.Rand
	diskID       uint64
	founder      bool // the disk was created at the first start of the mesh

	now          time.Duration // since any fixed instant, as are all other points in time
	hardState    Hard
	log          entryLog
	snapshot     *Snapshot
	commitIndex  uint64
	appliedIndex uint64
	tableIndex   uint64 // the table holds at least this index, so no snapshot is taken below it
	// A snapshot is taken after this many applied entries. Half as many are kept in the log behind
	// it.
	compactEntries uint64

	role              role
	leader            Member        // of the current term; its Address is empty while unknown
	leaderTenure      time.Duration // how long it had led, by its last message; 0: unknown
	lastLeader        Hard          // Vote is the last known leader, and Term its term
	lastLeaderContact time.Duration // when a leader was last heard
	electionDeadline  time.Duration // when the next election starts
	timeoutDoublings  int           // how often the first election timeouts were doubled
	votes             []Member
	initialTerm       uint64 // the term when this machine was created
	leaderChanges     uint64 // number of times that the known leader changed
	foreignMessages   uint64 // messages of another mesh that were dropped
	otherDiskMessages uint64 // messages for a disk that was at this address before
	provisionalMesh   uint64 // the mesh that was last heard while this node belongs to none

	// Persistence. A message that makes a promise, such as a vote or an acknowledgement, stays in
	// awaitingSave until a Save that covers it is in progress, and then in awaitingSync until that
	// Save is synced.
	hardStateDirty, snapshotDirty bool
	saveInProgress                bool
	saveStartedAt                 time.Duration
	savingTerm, syncedTerm        uint64 // in the Save in progress, and on disk
	// The last entry handed to any Save, in the Save in progress, and on disk.
	handedOffIndex, savingIndex, syncedIndex uint64
	outbox, awaitingSave, awaitingSync       []Message

	// State of a leader.
	peers                                            []*progress
	termStartIndex                                   uint64 // index of the entry that started the term
	heartbeatRound                                   uint64
	leaderReads                                      []leaderRead
	nextHeartbeat, leaderSince                       time.Duration
	commitAtLastHeartbeat, commitAtPreviousHeartbeat uint64
	transferee                                       *progress // the voter to become leader
	transferDeadline                                 time.Duration
	proposalWindows                                  []proposalWindow

	// State of a learner. excludedAt is the newest configuration that is known to exclude this
	// node, although the log lacks it.
	excludedAt     Place
	knownAddresses []string // where Join messages are sent while no leader is known
	nextJoin       time.Duration
	joinBackoff    time.Duration
	lastJoinSent   time.Duration

	departure        departure
	incomingSnapshot *incomingSnapshot // the snapshot that is being received
	targetVoters     int               // how many voters there should be
	zone             string
	zones            map[string]string // zones of other nodes, by address
	chunkBytes       int               // snapshot bytes per message

	pendingProposals  []pendingProposal // in the order of their ID
	pendingReads      []pendingRead
	completions       []Completion
	snapshotToRestore *Snapshot
}

// New returns a Machine that starts from the content of a disk. The log of a first member starts
// with the configuration of the first members: see BootstrapEntries.
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
		// The snapshot already includes this configuration.
		if e.Members != nil && m.log.latestConfiguration().place.Index >= e.Index {
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

// BootstrapEntries returns the log of a first member. Its only entry is the configuration of the
// seeds, which lists only addresses because no disk numbers are known yet.
func BootstrapEntries(seeds []string) []Entry {
	members := &Members{Target: len(seeds)}
	for _, seed := range sortedUnique(seeds) {
		members.Voters = append(members.Voters, Member{Address: seed})
	}
	return []Entry{{Index: 1, Term: 1, Members: members}}
}

// SetClock sets the current time, counted from any fixed instant. An earlier time is ignored.
func (m *Machine) SetClock(now time.Duration) { m.now = max(m.now, now) }

// Advance sets the current time and runs the timers that are due.
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

// Deadline returns the time at which Advance has to be called next.
func (m *Machine) Deadline() time.Duration {
	if m.isDeparting() {
		return min(m.timerDeadline(), m.departure.nextRequest, m.departure.deadline)
	}
	return m.timerDeadline()
}

// timerDeadline returns when the timer of the current role is due: heartbeat, election or Join.
func (m *Machine) timerDeadline() time.Duration {
	switch {
	case m.role == leader:
		return m.nextHeartbeat
	case m.canCampaign():
		return m.electionDeadline
	}
	return m.nextJoin
}

// HandleMessage processes a message from another node, or from this node to itself.
func (m *Machine) HandleMessage(msg Message) {
	if msg.To != m.self || msg.From == "" {
		return
	}
	switch ownMesh := m.log.mesh(); {
	case msg.Mesh == 0:
	case ownMesh == 0 && msg.Mesh != m.provisionalMesh:
		m.switchMesh(msg.Mesh)
	case ownMesh != 0 && msg.Mesh != ownMesh:
		m.foreignMessages++ // its indexes and terms are meaningless here
		return
	}
	m.recordZone(msg)
	if m.isForOtherDisk(msg) {
		m.handleForOtherDisk(msg)
	} else {
		m.dispatch(msg)
	}
	m.advanceDeparture()
}

// dispatch processes a message that is meant for this disk.
func (m *Machine) dispatch(msg Message) {
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
}

// switchMesh makes the node accept messages of another mesh. A node that knows no members has an
// empty log and no vote, so it belongs to no mesh and listens to the one that it heard last. The
// leader of the previous one is not a leader of the new one.
func (m *Machine) switchMesh(mesh uint64) {
	m.provisionalMesh, m.lastLeader, m.leader = mesh, Hard{}, Member{}
	for _, p := range m.pendingProposals {
		m.completions = append(m.completions, Completion{ID: p.id, Err: ErrUnknown})
	}
	m.pendingProposals = nil
	m.failReads(ErrNoLeader)
}

// NextOutput returns the work that is to be done now. It has to be called again until the result is
// empty.
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
			messages := m.awaitingSave
			m.awaitingSave = nil
			m.releaseMessages(messages)
		}
	}
	o.Messages, m.outbox = m.outbox, nil
	o.Restore, m.snapshotToRestore = m.snapshotToRestore, nil
	if m.appliedIndex < m.commitIndex {
		last := min(m.commitIndex, m.appliedIndex+maxApplyBatch)
		o.Apply = m.log.entriesBetween(m.appliedIndex, last, maxMessageBytes)
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

// commitTo advances the commit index.
func (m *Machine) commitTo(index uint64) {
	if index < m.commitIndex || index > m.log.lastIndex() {
		panic(fmt.Sprintf("consensus: commit index can't move from %d to %d in a log that ends at %d", m.commitIndex, index, m.log.lastIndex()))
	}
	m.commitIndex = index
	if receiving := m.incomingSnapshot; receiving != nil && receiving.transferID.place.Index <= index {
		m.incomingSnapshot = nil
	}
}

// send queues a message and fills in the sender. Messages that make a promise go through
// sendAfterSync instead.
func (m *Machine) send(msg Message) { m.outbox = append(m.outbox, m.withSender(msg)) }

// sendAfterSync queues a message that makes a promise. It is sent once the current state is synced.
func (m *Machine) sendAfterSync(msg Message) {
	m.awaitingSave = append(m.awaitingSave, m.withSender(msg))
}

// withSender fills in the sender, and the current term if the message has none.
func (m *Machine) withSender(msg Message) Message {
	msg.From, msg.Disk, msg.Founder, msg.Mesh, msg.Zone = m.self, m.diskID, m.founder, m.log.mesh(), m.zone
	if msg.Term == 0 {
		msg.Term = m.hardState.Term
	}
	return msg
}
