package consensus

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// injectedBugs are bugs that a test injects into the simulated world around the machines, to show
// that the checks find them.
type injectedBugs struct {
	keepsDiskNumber          bool // a new disk has the number of the lost one, so its node votes at once
	forgetsVote              bool // the disk does not store votes
	acknowledgesBeforeQuorum bool // a leader acknowledges proposals after its own sync
	answersReadsLocally      bool // a leader answers reads without a heartbeat round
	singleVoterChanges       bool // voters change one at a time, without joint configurations
	leavesImmediately        bool // a leaving member stops without handing over its vote

	dropsSnapshotTerm   bool // a snapshot is installed without its term
	mixesChunks         bool // a chunk is appended to the chunks of another snapshot
	keepsOldSnapshot    bool // the log on disk is compacted, but the snapshot is not written
	ignoresSaveFailures bool // a node continues after a failed save as if it had succeeded
	losesLatestEntries  bool // a restarted node has lost the entries after its snapshot

	votersNeverJoin          bool // a node that counts itself a voter sends no Join messages while it hears a leader
	takesMessagesForLostDisk bool // messages for the lost disk at an address are taken by the new one
}

// world simulates a few hosts in virtual time. The faults of their network and their disks follow
// from a seed. It checks that committed entries, acknowledgements and reads are consistent.
type world struct {
	rng              *rand.Rand
	now              time.Duration
	events           []event // in the order of their time
	hosts            []*host
	targetVoters     int                // intended number of voters; 0: the number of seeds
	cutLinks         map[[2]string]bool // links that drop all messages, by sender and receiver
	messageFaultRate float64            // probability of loss or duplication, and of a delay
	maxExtraDelay    time.Duration      // upper bound of such a delay
	maxSyncTime      time.Duration      // upper bound of the duration of a sync
	maxSlowSyncTime  time.Duration      // maxSyncTime in a quarter of the seeds; 0: no such seeds
	compactEntries   uint64             // of each machine: see Machine
	chunkBytes       int
	crashRate        float64       // probability of a crash before or after a sync
	saveFailureRate  float64       // probability that a save fails, which suspends the node
	absentHost       *host         // a host that never starts, or is lost for good; may be nil
	replaceAfter     time.Duration // silence after which a voter is replaced by a learner
	bugs             injectedBugs
	lastIncarnation  uint64
	lastProposal     uint64 // the last value that sendRequests proposed

	committed          []Entry           // entry i+1 as it was first applied at any host
	committedMembers   Members           // the last committed configuration
	outcomes           map[uint64]string // acked, refused or unknown, by value; none yet: empty
	committedAt        map[uint64]uint64 // the index of a committed value
	ackedAt            map[uint64]uint64 // the index in the acknowledgement of a value
	ackCount           int
	readCount          int
	lostDisks          map[Member]bool
	multiChunkInstalls int      // installed snapshots that arrived in several chunks
	suspensions        int      // how often a disk failed and its node was suspended
	history            *history // what clients observed; nil: not recorded
}

// host is a machine with its disk and its table.
type host struct {
	address           string
	zone              string
	machine           *Machine // nil: down
	disk              *State   // nil: empty
	incarnation       uint64
	pausedUntil       time.Duration // its process is paused until then
	table             []Entry       // applied commands
	keepsTable        bool          // its disk failed: only the machine was discarded
	initialTableIndex uint64        // the last index in the table when the machine was created
	appliedIndex      uint64
	saveInProgress    *Save
	lastRequestID     uint64
	// pendingRequests holds by ID the index that a read has to observe, or the proposed value.
	pendingRequests  map[uint64]uint64
	isReadRequest    map[uint64]bool
	unackedProposals []uint64      // made while leading, since the last sync
	nextAdvance      time.Duration // when Advance is scheduled
	isFounder        bool          // it will create the disk of a first member
	seeds            []string
	slowDiskUntil    time.Duration // until then, syncs take slowDiskFactor times as long
}

const slowDiskFactor = 30

// event is an action that is scheduled in virtual time.
type event struct {
	at     time.Duration
	action func()
}

var seedNames = []string{"a", "b", "c"}

// newWorld returns a world of the hosts a, b and c, which are the seeds, and d. None is started.
func newWorld(seed uint64, bugs injectedBugs) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]string]bool{}, bugs: bugs, outcomes: map[uint64]string{},
		committedAt: map[uint64]uint64{}, ackedAt: map[uint64]uint64{}, lostDisks: map[Member]bool{}, maxExtraDelay: time.Second, maxSyncTime: 5 * time.Millisecond, compactEntries: 24, chunkBytes: maxChunkBytes, replaceAfter: 3 * time.Second}
	for _, a := range []string{"a", "b", "c", "d"} {
		w.hosts = append(w.hosts, &host{address: a, isFounder: a != "d", seeds: seedNames})
	}
	return w
}

// resize sets the intended number of voters, and how many hosts there are. None of them may run.
func (w *world) resize(voters, hosts int) {
	w.targetVoters = voters
	for i := len(w.hosts); i < hosts; i++ {
		w.hosts = append(w.hosts, &host{address: fmt.Sprintf("n%d", i), seeds: seedNames})
	}
	w.hosts = w.hosts[:hosts]
}

// fail ends the simulation of the seed with a failure.
func (w *world) fail(format string, args ...any) {
	panic(fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...))
}

// trace prints an event of the simulation: see the flags -first SEED -seeds 1 -tell.
func (w *world) trace(format string, args ...any) {
	if *traceEnabled {
		fmt.Printf("%12v "+format+"\n", append([]any{w.now}, args...)...)
	}
}

// schedule schedules an action after a delay.
func (w *world) schedule(delay time.Duration, action func()) {
	i, _ := slices.BinarySearchFunc(w.events, w.now+delay, func(e event, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1) // after earlier events of the same time
	})
	w.events = slices.Insert(w.events, i, event{w.now + delay, action})
}

// runFor runs the events of a period.
func (w *world) runFor(duration time.Duration) {
	end := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events, w.now = w.events[1:], e.at
		e.action()
	}
	w.now = end
}

func pickOne[T any](w *world, choices ...T) T { return choices[w.rng.IntN(len(choices))] }

// randomDuration returns a random duration in [low, high).
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) host(address string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.address == address })]
}

// start starts a host that is down, with a new disk if it has none.
func (w *world) start(h *host) {
	if h.machine != nil {
		return
	}
	if h.disk == nil {
		h.disk = &State{Disk: w.rng.Uint64() | 1, Founder: h.isFounder}
		if h.isFounder {
			h.disk.Hard.Term, h.disk.Entries = 1, BootstrapEntries(seedNames)
		}
	}
	h.isFounder = false
	w.trace("start %s %x", h.address, h.disk.Disk)
	w.lastIncarnation++
	h.incarnation = w.lastIncarnation
	state := *h.disk
	state.Entries = slices.Clone(state.Entries)
	if err := state.validate(); err != nil {
		w.fail("%s: %v", h.address, err)
	}
	if w.bugs.losesLatestEntries && state.Snapshot != nil {
		state.Entries = state.Entries[:state.Snapshot.Index-state.BaseIndex]
	}
	h.initialTableIndex = 0
	if h.keepsTable {
		h.initialTableIndex = h.appliedIndex
	} else {
		h.table, h.appliedIndex = nil, 0
	}
	h.keepsTable = false
	config := Config{Self: h.address, Seeds: h.seeds, Incarnation: h.incarnation, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		State: state, ReplaceAfter: w.replaceAfter, TargetVoters: w.targetVoters, Zone: h.zone, TableIndex: h.initialTableIndex}
	h.machine = New(config)
	h.machine.compactEntries, h.machine.chunkBytes = w.compactEntries, w.chunkBytes
	h.machine.now = w.now
	h.machine.resetElectionTimer()
	h.saveInProgress, h.lastRequestID, h.pausedUntil, h.nextAdvance = nil, 0, 0, 0
	h.pendingRequests, h.isReadRequest, h.unackedProposals = map[uint64]uint64{}, map[uint64]bool{}, nil
	if s := state.Snapshot; s != nil {
		w.restore(h, s)
	}
	w.processOutput(h)
}

// stop kills a host. A save in progress may or may not have reached the disk.
func (w *world) stop(h *host) {
	if h.machine == nil {
		return
	}
	w.trace("stop %s %+v", h.address, h.machine.Status())
	for id, value := range h.pendingRequests {
		if !h.isReadRequest[id] && w.outcomes[value] == "" {
			w.outcomes[value] = "unknown"
		}
	}
	if h.saveInProgress != nil && w.rng.IntN(2) == 0 {
		w.writeSave(h, h.saveInProgress)
	}
	h.machine, h.saveInProgress, h.keepsTable = nil, nil, false
}

// canLoseDisk reports whether the loss of one disk can be tolerated now: no disk of the voters in
// the newest and in the committed configuration is lost, including outgoing voters.
func (w *world) canLoseDisk() bool {
	var newest configuration
	for _, h := range w.hosts {
		if h.machine != nil {
			if c := h.machine.log.latestConfiguration(); newest.place.before(c.place) {
				newest = c
			}
		}
	}
	return !w.isAnyDiskLost(newest.members.allVoters()) && !w.isAnyDiskLost(w.committedMembers.allVoters()) && len(newest.members.Voters) >= 3 && len(w.committedMembers.Voters) >= 3
}

// wipe stops a host and discards its disk.
func (w *world) wipe(h *host) {
	w.trace("wipe %s", h.address)
	w.stop(h)
	if h.disk == nil {
		return
	}
	if w.bugs.keepsDiskNumber {
		h.disk = &State{Disk: h.disk.Disk, Founder: h.disk.Founder}
		return
	}
	w.lostDisks[Member{h.address, h.disk.Disk}] = true
	if h.disk.Founder {
		w.lostDisks[Member{Address: h.address}] = true
	}
	h.disk = nil
}

// writeSave applies a save to the disk of a host.
func (w *world) writeSave(h *host, save *Save) {
	disk := h.disk
	disk.Hard, disk.BaseIndex, disk.BaseTerm = save.Hard, save.BaseIndex, save.BaseTerm
	if w.bugs.forgetsVote {
		disk.Hard.Vote = Member{}
	}
	if save.Snapshot != nil && !(w.bugs.keepsOldSnapshot && disk.Snapshot != nil) {
		disk.Snapshot = save.Snapshot
	}
	var entries []Entry
	for _, e := range disk.Entries {
		if e.Index > save.BaseIndex && e.Index < save.FirstIndex {
			entries = append(entries, e)
		}
	}
	disk.Entries = append(entries, save.Entries...)
}

// runOn runs an action on the machine of a host, now or once the host is no longer paused. It does
// nothing if the process has ended meanwhile.
func (w *world) runOn(h *host, incarnation uint64, action func(m *Machine)) {
	if h.machine == nil || h.incarnation != incarnation {
		return
	}
	if h.pausedUntil > w.now {
		w.schedule(h.pausedUntil-w.now, func() { w.runOn(h, incarnation, action) })
		return
	}
	h.machine.SetClock(w.now)
	action(h.machine)
	if w.bugs.singleVoterChanges {
		useSingleVoterChanges(h.machine)
	}
	if h.machine != nil {
		w.processOutput(h)
	}
}

// processOutput does the work that the machine of a host requests, and schedules its next Advance.
func (w *world) processOutput(h *host) {
	m, incarnation := h.machine, h.incarnation
	for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
		for _, msg := range o.Messages {
			w.send(msg)
		}
		if o.Restore != nil {
			w.restore(h, o.Restore)
		}
		for _, e := range o.Apply {
			w.applyEntry(h, e)
		}
		for _, completion := range o.Completions {
			w.recordCompletion(h, completion)
		}
		if o.Compact {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(h.table); err != nil {
				w.fail("%v", err)
			}
			m.Compact(b.Bytes())
		}
		if save := o.Save; save != nil {
			h.saveInProgress = save
			syncTime := w.randomDuration(500*time.Microsecond, w.maxSyncTime)
			if h.slowDiskUntil > w.now {
				syncTime *= slowDiskFactor
			}
			w.schedule(syncTime, func() {
				w.runOn(h, incarnation, func(m *Machine) {
					// The crash happens before the messages that depend on the sync are sent, or
					// right after.
					if w.rng.Float64() < w.crashRate {
						crash := func() {
							if h.incarnation == incarnation {
								w.stop(h)
								w.schedule(w.randomDuration(0, 100*time.Millisecond), func() { w.restart(h) })
							}
						}
						if w.rng.IntN(2) == 0 {
							crash()
							return
						}
						w.schedule(w.randomDuration(0, time.Millisecond), crash)
					}
					if w.rng.Float64() < w.saveFailureRate {
						if !w.bugs.ignoresSaveFailures {
							w.suspendHost(h)
							return
						}
						h.saveInProgress = nil
						m.SaveCompleted()
						return
					}
					w.writeSave(h, save)
					h.saveInProgress = nil
					m.SaveCompleted()
					if w.bugs.acknowledgesBeforeQuorum && m.role == leader {
						for _, id := range h.unackedProposals {
							w.recordCompletion(h, Completion{ID: id, Index: m.log.entries[slices.IndexFunc(m.log.entries, func(e Entry) bool { return e.Origin == h.incarnation && e.ID == id })].Index})
						}
					}
					h.unackedProposals = nil
				})
			})
		}
	}
	if deadline := m.Deadline(); h.nextAdvance <= w.now || deadline < h.nextAdvance {
		h.nextAdvance = max(deadline, w.now+time.Microsecond)
		w.schedule(h.nextAdvance-w.now, func() {
			w.runOn(h, incarnation, func(m *Machine) { m.Advance(w.now) })
		})
	}
}

// send delivers a message with a random delay, and with faults at messageFaultRate. It fails if a reply
// does not name the disk that it is for, which another disk at that address has to ignore.
func (w *world) send(msg Message) {
	switch msg.Kind {
	case PreVoteReply, VoteReply, AppendEntriesReply, InstallSnapshotReply, LeaveReply, ForwardReject:
		if msg.ToDisk == 0 {
			w.fail("%s sends a reply of kind %d that names no disk", msg.From, msg.Kind)
		}
	}
	if w.bugs.votersNeverJoin && msg.Kind == Join {
		if sender := w.host(msg.From).machine; sender != nil && sender.canCampaign() && sender.leader.Address != "" {
			return
		}
	}
	copies := 1
	if w.rng.Float64() < w.messageFaultRate {
		copies = w.rng.IntN(3)
	}
	for range copies {
		delay := w.randomDuration(300*time.Microsecond, 3*time.Millisecond)
		if w.rng.Float64() < w.messageFaultRate {
			delay = w.randomDuration(0, w.maxExtraDelay)
		}
		w.schedule(delay, func() {
			h := w.host(msg.To)
			if !w.cutLinks[[2]string{msg.From, msg.To}] {
				w.runOn(h, h.incarnation, func(m *Machine) { w.deliver(m, msg) })
			}
		})
	}
}

// propose proposes a value at a host.
func (w *world) propose(h *host, value uint64) {
	w.runOn(h, h.incarnation, func(m *Machine) {
		h.lastRequestID++
		h.pendingRequests[h.lastRequestID] = value
		w.history.beginSet(h, value)
		if m.role == leader {
			h.unackedProposals = append(h.unackedProposals, h.lastRequestID)
		}
		m.Propose(h.lastRequestID, []byte{byte(value >> 16), byte(value >> 8), byte(value)})
	})
}

// read starts a read at a host, and records the last committed index, which it has to observe.
func (w *world) read(h *host) {
	w.runOn(h, h.incarnation, func(m *Machine) {
		h.lastRequestID++
		h.pendingRequests[h.lastRequestID], h.isReadRequest[h.lastRequestID] = uint64(len(w.committed)), true
		if w.history.beginGet(h) {
			h.pendingRequests[h.lastRequestID] = 0 // the check of the history decides instead
		}
		m.Read(h.lastRequestID)
		if w.bugs.answersReadsLocally && m.role == leader {
			w.recordCompletion(h, Completion{ID: h.lastRequestID})
		}
	})
}
