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

// injectedBugs are faults that are put into the world around the machines, to see that the checks find it.
type injectedBugs struct {
	keepsDiskNumber          bool // a wiped disk keeps its number, so that its node takes part at once
	forgetsVote              bool // the disk doesn't keep votes
	acknowledgesBeforeQuorum bool // a leader's own sync is taken for a commit
	answersReadsLocally      bool // who leads answers reads alone
	singleVoterChanges       bool // one voter goes in or out at a time, without a joint configuration
	leavesImmediately        bool // a member that is told to go doesn't wait

	dropsSnapshotTerm   bool // a snapshot is installed without its term
	mixesChunks         bool // a chunk of another snapshot is put behind those that have come
	keepsOldSnapshot    bool // the log is compacted on the disk, and the snapshot isn't written
	ignoresSaveFailures bool // a node whose save failed goes on as if it had not
	losesLatestEntries  bool // a restarted node has lost what its disk had behind the snapshot
}

// world is a few machines in virtual time, with a network and disks that fail by a seed, and a
// judge.
type world struct {
	rng              *rand.Rand
	now              time.Duration
	events           []event // by time
	hosts            []*host
	targetVoters     int // that there are to be; 0: as many as seeds
	cutLinks         map[[2]string]bool
	messageFaultRate float64       // chance that a message is lost, doubled or late
	maxExtraDelay    time.Duration // by how much at most
	maxSyncTime      time.Duration // a sync, at most
	maxSlowSyncTime  time.Duration // a sync, at times; 0: never
	compactEntries   uint64        // see Machine
	chunkBytes       int
	crashRate        float64       // chance that a sync ends in a crash, done or not
	saveFailureRate  float64       // chance that a save fails, done or not, and the node is suspended
	absentHost       *host         // for good
	replaceAfter     time.Duration // how long a voter is unheard before a learner takes its place
	bugs             injectedBugs
	lastIncarnation  uint64

	committed          []Entry // by index - 1, as first applied anywhere
	committedMembers   Members // committed last
	outcomes           map[uint64]string
	committedAt        map[uint64]uint64 // where a value is in the log
	ackedAt            map[uint64]uint64
	ackCount           int
	readCount          int
	lostDisks          map[Member]bool // disks
	multiChunkInstalls int             // of snapshots that came in several chunks
	suspensions        int             // disks that failed
	history            *history        // of what operators saw; nil: not kept
}

type host struct {
	address           string
	zone              string
	machine           *Machine // nil: down
	disk              *State   // nil: empty
	incarnation       uint64
	pausedUntil       time.Duration // until when
	table             []Entry       // applied commands
	keepsTable        bool          // the table outlives the machine, whose disk has failed
	initialTableIndex uint64        // what the table held when the machine was made
	appliedIndex      uint64
	saveInProgress    *Save
	lastRequestID     uint64
	pendingRequests   map[uint64]uint64 // a read's or proposal's number: the floor or the value
	isReadRequest     map[uint64]bool
	unackedProposals  []uint64 // proposals at a leader, for earlyAck
	nextAdvance       time.Duration
	isFounder         bool
	seeds             []string
	slowDiskUntil     time.Duration // until when its disk takes slowDisk times as long
}

const slowDiskFactor = 30

type event struct {
	at     time.Duration
	action func()
}

var seedNames = []string{"a", "b", "c"}

func newWorld(seed uint64, bugs injectedBugs) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]string]bool{}, bugs: bugs, outcomes: map[uint64]string{},
		committedAt: map[uint64]uint64{}, ackedAt: map[uint64]uint64{}, lostDisks: map[Member]bool{}, maxExtraDelay: time.Second, maxSyncTime: 5 * time.Millisecond, compactEntries: 24, chunkBytes: maxChunkBytes, replaceAfter: 3 * time.Second}
	for _, a := range []string{"a", "b", "c", "d"} {
		w.hosts = append(w.hosts, &host{address: a, isFounder: a != "d", seeds: seedNames})
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	panic(fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...))
}

// trace writes what goes on, for -first SEED -seeds 1 -tell.
func (w *world) trace(format string, args ...any) {
	if *traceEnabled {
		fmt.Printf("%12v "+format+"\n", append([]any{w.now}, args...)...)
	}
}

func (w *world) schedule(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(w.events, w.now+d, func(e event, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1) // behind those of the same time
	})
	w.events = slices.Insert(w.events, i, event{w.now + d, do})
}

func (w *world) runFor(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events, w.now = w.events[1:], e.at
		e.action()
	}
	w.now = end
}

func pickOne[T any](w *world, of ...T) T { return of[w.rng.IntN(len(of))] }

// within draws a time.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) host(address string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.address == address })]
}

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
	c := Config{Self: h.address, Seeds: h.seeds, Incarnation: h.incarnation, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		State: state, ReplaceAfter: w.replaceAfter, TargetVoters: w.targetVoters, Zone: h.zone, TableIndex: h.initialTableIndex}
	h.machine = New(c)
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

// stop kills a host. What is being saved is on the disk, or not.
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

// mayWipe tells whether the disk of a host may be lost now: all others of the members are whole,
// those of the outgoing ones too while they change.
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

func (w *world) writeSave(h *host, s *Save) {
	d := h.disk
	d.Hard, d.BaseIndex, d.BaseTerm = s.Hard, s.BaseIndex, s.BaseTerm
	if w.bugs.forgetsVote {
		d.Hard.Vote = Member{}
	}
	if s.Snapshot != nil && !(w.bugs.keepsOldSnapshot && d.Snapshot != nil) {
		d.Snapshot = s.Snapshot
	}
	var entries []Entry
	for _, e := range d.Entries {
		if e.Index > s.BaseIndex && e.Index < s.FirstIndex {
			entries = append(entries, e)
		}
	}
	d.Entries = append(entries, s.Entries...)
}

// touch has a host do something now, or once it wakes.
func (w *world) runOn(h *host, life uint64, do func(m *Machine)) {
	if h.machine == nil || h.incarnation != life {
		return
	}
	if h.pausedUntil > w.now {
		w.schedule(h.pausedUntil-w.now, func() { w.runOn(h, life, do) })
		return
	}
	h.machine.SetClock(w.now)
	do(h.machine)
	if w.bugs.singleVoterChanges {
		useSingleVoterChanges(h.machine)
	}
	if h.machine != nil {
		w.processOutput(h)
	}
}

func (w *world) processOutput(h *host) {
	m, life := h.machine, h.incarnation
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
		for _, d := range o.Completions {
			w.recordCompletion(h, d)
		}
		if o.Compact {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(h.table); err != nil {
				w.fail("%v", err)
			}
			m.Compact(b.Bytes())
		}
		if s := o.Save; s != nil {
			h.saveInProgress = s
			took := w.randomDuration(500*time.Microsecond, w.maxSyncTime)
			if h.slowDiskUntil > w.now {
				took *= slowDiskFactor
			}
			w.schedule(took, func() {
				w.runOn(h, life, func(m *Machine) {
					if w.rng.Float64() < w.crashRate { // before what waits for the sync has left, or right after
						crash := func() {
							if h.incarnation == life {
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
					w.writeSave(h, s)
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
	if at := m.Deadline(); h.nextAdvance <= w.now || at < h.nextAdvance {
		h.nextAdvance = max(at, w.now+time.Microsecond)
		w.schedule(h.nextAdvance-w.now, func() {
			w.runOn(h, life, func(m *Machine) { m.Advance(w.now) })
		})
	}
}

func (w *world) send(msg Message) {
	times := 1
	if w.rng.Float64() < w.messageFaultRate {
		times = w.rng.IntN(3)
	}
	for range times {
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

// read notes what has been committed before.
func (w *world) read(h *host) {
	w.runOn(h, h.incarnation, func(m *Machine) {
		h.lastRequestID++
		h.pendingRequests[h.lastRequestID], h.isReadRequest[h.lastRequestID] = uint64(len(w.committed)), true
		if w.history.beginGet(h) {
			h.pendingRequests[h.lastRequestID] = 0 // the history is to tell
		}
		m.Read(h.lastRequestID)
		if w.bugs.answersReadsLocally && m.role == leader {
			w.recordCompletion(h, Completion{ID: h.lastRequestID})
		}
	})
}
