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
	rememberDisk bool // a wiped disk keeps its number, so that its node takes part at once
	forgetVote   bool // the disk doesn't keep votes
	earlyAck     bool // a leader's own sync is taken for a commit
	localRead    bool // who leads answers reads alone
	singleSteps  bool // one voter goes in or out at a time, without a joint configuration
	leavesAtOnce bool // a member that is told to go doesn't wait

	dropTerm     bool // a snapshot is installed without its term
	mixChunks    bool // a chunk of another snapshot is put behind those that have come
	keepOldImage bool // the log is compacted on the disk, and the snapshot isn't written
	trustFailed  bool // a node whose save failed goes on as if it had not
	oldState     bool // a restarted node has lost what its disk had behind the snapshot
}

// world is a few machines in virtual time, with a network and disks that fail by a seed, and a
// judge.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  []event // by time
	hosts   []*host
	voters  int // that there are to be; 0: as many as seeds
	cut     map[[2]string]bool
	rough   float64       // chance that a message is lost, doubled or late
	late    time.Duration // by how much at most
	slow    time.Duration // a sync, at most
	slowest time.Duration // a sync, at times; 0: never
	compact uint64        // see Machine
	chunk   int
	crashes float64       // chance that a sync ends in a crash, done or not
	broken  float64       // chance that a save fails, done or not, and the node is suspended
	gone    *host         // for good
	replace time.Duration // how long a voter is unheard before a learner takes its place
	bugs    injectedBugs
	life    uint64

	committed []Entry // by index - 1, as first applied anywhere
	members   Members // committed last
	fate      map[uint64]string
	at        map[uint64]uint64 // where a value is in the log
	acked     map[uint64]uint64
	acks      int
	reads     int
	lost      map[Member]bool // disks
	installs  int             // of snapshots that came in several chunks
	suspended int             // disks that failed
	history   *history        // of what operators saw; nil: not kept
}

type host struct {
	address string
	zone    string
	machine *Machine // nil: down
	disk    *State   // nil: empty
	life    uint64
	frozen  time.Duration // until when
	table   []Entry       // applied commands
	kept    bool          // the table outlives the machine, whose disk has failed
	tableAt uint64        // what the table held when the machine was made
	applied uint64
	saving  *Save
	next    uint64
	asked   map[uint64]uint64 // a read's or proposal's number: the floor or the value
	isRead  map[uint64]bool
	early   []uint64 // proposals at a leader, for earlyAck
	due     time.Duration
	first   bool
	seeds   []string
	slow    time.Duration // until when its disk takes slowDisk times as long
}

const slowDisk = 30

type event struct {
	at time.Duration
	do func()
}

var seedNames = []string{"a", "b", "c"}

func newWorld(seed uint64, bugs injectedBugs) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, bugs: bugs, fate: map[uint64]string{},
		at: map[uint64]uint64{}, acked: map[uint64]uint64{}, lost: map[Member]bool{}, late: time.Second, slow: 5 * time.Millisecond, compact: 24, chunk: maxChunkBytes, replace: 3 * time.Second}
	for _, a := range []string{"a", "b", "c", "d"} {
		w.hosts = append(w.hosts, &host{address: a, first: a != "d", seeds: seedNames})
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

func (w *world) after(d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(w.events, w.now+d, func(e event, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1) // behind those of the same time
	})
	w.events = slices.Insert(w.events, i, event{w.now + d, do})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events, w.now = w.events[1:], e.at
		e.do()
	}
	w.now = end
}

func pick[T any](w *world, of ...T) T { return of[w.rng.IntN(len(of))] }

// within draws a time.
func (w *world) within(low, high time.Duration) time.Duration {
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
		h.disk = &State{Disk: w.rng.Uint64() | 1, Founder: h.first}
		if h.first {
			h.disk.Hard.Term, h.disk.Entries = 1, BootstrapEntries(seedNames)
		}
	}
	h.first = false
	w.trace("start %s %x", h.address, h.disk.Disk)
	w.life++
	h.life = w.life
	state := *h.disk
	state.Entries = slices.Clone(state.Entries)
	if err := state.validate(); err != nil {
		w.fail("%s: %v", h.address, err)
	}
	if w.bugs.oldState && state.Snapshot != nil {
		state.Entries = state.Entries[:state.Snapshot.Index-state.BaseIndex]
	}
	h.tableAt = 0
	if h.kept {
		h.tableAt = h.applied
	} else {
		h.table, h.applied = nil, 0
	}
	h.kept = false
	c := Config{Self: h.address, Seeds: h.seeds, Incarnation: h.life, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		State: state, ReplaceAfter: w.replace, TargetVoters: w.voters, Zone: h.zone, TableIndex: h.tableAt}
	h.machine = New(c)
	h.machine.compactEntries, h.machine.chunkBytes = w.compact, w.chunk
	h.machine.now = w.now
	h.machine.resetElectionTimer()
	h.saving, h.next, h.frozen, h.due = nil, 0, 0, 0
	h.asked, h.isRead, h.early = map[uint64]uint64{}, map[uint64]bool{}, nil
	if s := state.Snapshot; s != nil {
		w.restore(h, s)
	}
	w.settle(h)
}

// stop kills a host. What is being saved is on the disk, or not.
func (w *world) stop(h *host) {
	if h.machine == nil {
		return
	}
	w.trace("stop %s %+v", h.address, h.machine.Status())
	for id, value := range h.asked {
		if !h.isRead[id] && w.fate[value] == "" {
			w.fate[value] = "unknown"
		}
	}
	if h.saving != nil && w.rng.IntN(2) == 0 {
		w.write(h, h.saving)
	}
	h.machine, h.saving, h.kept = nil, nil, false
}

// mayWipe tells whether the disk of a host may be lost now: all others of the members are whole,
// those of the outgoing ones too while they change.
func (w *world) mayWipe() bool {
	var newest configuration
	for _, h := range w.hosts {
		if h.machine != nil {
			if c := h.machine.log.latestConfiguration(); newest.place.before(c.place) {
				newest = c
			}
		}
	}
	return !w.anyLost(newest.members.allVoters()) && !w.anyLost(w.members.allVoters()) && len(newest.members.Voters) >= 3 && len(w.members.Voters) >= 3
}

func (w *world) wipe(h *host) {
	w.trace("wipe %s", h.address)
	w.stop(h)
	if h.disk == nil {
		return
	}
	if w.bugs.rememberDisk {
		h.disk = &State{Disk: h.disk.Disk, Founder: h.disk.Founder}
		return
	}
	w.lost[Member{h.address, h.disk.Disk}] = true
	if h.disk.Founder {
		w.lost[Member{Address: h.address}] = true
	}
	h.disk = nil
}

func (w *world) write(h *host, s *Save) {
	d := h.disk
	d.Hard, d.BaseIndex, d.BaseTerm = s.Hard, s.BaseIndex, s.BaseTerm
	if w.bugs.forgetVote {
		d.Hard.Vote = Member{}
	}
	if s.Snapshot != nil && !(w.bugs.keepOldImage && d.Snapshot != nil) {
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
func (w *world) touch(h *host, life uint64, do func(m *Machine)) {
	if h.machine == nil || h.life != life {
		return
	}
	if h.frozen > w.now {
		w.after(h.frozen-w.now, func() { w.touch(h, life, do) })
		return
	}
	h.machine.SetClock(w.now)
	do(h.machine)
	if w.bugs.singleSteps {
		takeSingleSteps(h.machine)
	}
	if h.machine != nil {
		w.settle(h)
	}
}

func (w *world) settle(h *host) {
	m, life := h.machine, h.life
	for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
		for _, msg := range o.Messages {
			w.send(msg)
		}
		if o.Restore != nil {
			w.restore(h, o.Restore)
		}
		for _, e := range o.Apply {
			w.apply(h, e)
		}
		for _, d := range o.Completions {
			w.done(h, d)
		}
		if o.Compact {
			var b bytes.Buffer
			if err := gob.NewEncoder(&b).Encode(h.table); err != nil {
				w.fail("%v", err)
			}
			m.Compact(b.Bytes())
		}
		if s := o.Save; s != nil {
			h.saving = s
			took := w.within(500*time.Microsecond, w.slow)
			if h.slow > w.now {
				took *= slowDisk
			}
			w.after(took, func() {
				w.touch(h, life, func(m *Machine) {
					if w.rng.Float64() < w.crashes { // before what waits for the sync has left, or right after
						crash := func() {
							if h.life == life {
								w.stop(h)
								w.after(w.within(0, 100*time.Millisecond), func() { w.revive(h) })
							}
						}
						if w.rng.IntN(2) == 0 {
							crash()
							return
						}
						w.after(w.within(0, time.Millisecond), crash)
					}
					if w.rng.Float64() < w.broken {
						if !w.bugs.trustFailed {
							w.suspendHost(h)
							return
						}
						h.saving = nil
						m.SaveCompleted()
						return
					}
					w.write(h, s)
					h.saving = nil
					m.SaveCompleted()
					if w.bugs.earlyAck && m.role == leader {
						for _, id := range h.early {
							w.done(h, Completion{ID: id, Index: m.log.entries[slices.IndexFunc(m.log.entries, func(e Entry) bool { return e.Origin == h.life && e.ID == id })].Index})
						}
					}
					h.early = nil
				})
			})
		}
	}
	if at := m.Deadline(); h.due <= w.now || at < h.due {
		h.due = max(at, w.now+time.Microsecond)
		w.after(h.due-w.now, func() {
			w.touch(h, life, func(m *Machine) { m.Advance(w.now) })
		})
	}
}

func (w *world) send(msg Message) {
	times := 1
	if w.rng.Float64() < w.rough {
		times = w.rng.IntN(3)
	}
	for range times {
		delay := w.within(300*time.Microsecond, 3*time.Millisecond)
		if w.rng.Float64() < w.rough {
			delay = w.within(0, w.late)
		}
		w.after(delay, func() {
			h := w.host(msg.To)
			if !w.cut[[2]string{msg.From, msg.To}] {
				w.touch(h, h.life, func(m *Machine) { w.deliver(m, msg) })
			}
		})
	}
}

func (w *world) propose(h *host, value uint64) {
	w.touch(h, h.life, func(m *Machine) {
		h.next++
		h.asked[h.next] = value
		w.history.beginSet(h, value)
		if m.role == leader {
			h.early = append(h.early, h.next)
		}
		m.Propose(h.next, []byte{byte(value >> 16), byte(value >> 8), byte(value)})
	})
}

// read notes what has been committed before.
func (w *world) read(h *host) {
	w.touch(h, h.life, func(m *Machine) {
		h.next++
		h.asked[h.next], h.isRead[h.next] = uint64(len(w.committed)), true
		if w.history.beginGet(h) {
			h.asked[h.next] = 0 // the history is to tell
		}
		m.Read(h.next)
		if w.bugs.localRead && m.role == leader {
			w.done(h, Completion{ID: h.next})
		}
	})
}
