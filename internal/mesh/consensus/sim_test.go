package consensus

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"
)

// plant is a fault that is put into the world around the machines, to see that the checks find it.
type plant struct {
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
	plant   plant
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

func newWorld(seed uint64, p plant) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, plant: p, fate: map[uint64]string{},
		at: map[uint64]uint64{}, acked: map[uint64]uint64{}, lost: map[Member]bool{}, late: time.Second, slow: 5 * time.Millisecond, compact: 24, chunk: mostChunk, replace: 3 * time.Second}
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
	if *tracing {
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
			h.disk.Hard.Term, h.disk.Entries = 1, Found(seedNames)
		}
	}
	h.first = false
	w.trace("start %s %x", h.address, h.disk.Disk)
	w.life++
	h.life = w.life
	state := *h.disk
	state.Entries = slices.Clone(state.Entries)
	if err := state.check(); err != nil {
		w.fail("%s: %v", h.address, err)
	}
	if w.plant.oldState && state.Snapshot != nil {
		state.Entries = state.Entries[:state.Snapshot.Index-state.Base]
	}
	h.tableAt = 0
	if h.kept {
		h.tableAt = h.applied
	} else {
		h.table, h.applied = nil, 0
	}
	h.kept = false
	c := Config{Self: h.address, Seeds: h.seeds, Life: h.life, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		State: state, Replace: w.replace, TableAt: h.tableAt}
	h.machine = New(c)
	h.machine.compact, h.machine.chunk = w.compact, w.chunk
	h.machine.now = w.now
	h.machine.resetElection()
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
	var newest decided
	for _, h := range w.hosts {
		if h.machine != nil {
			if c := h.machine.log.current(); newest.at.before(c.at) {
				newest = c
			}
		}
	}
	return !w.anyLost(newest.members.all()) && !w.anyLost(w.members.all()) && len(newest.members.Voters) >= 3 && len(w.members.Voters) >= 3
}

func (w *world) wipe(h *host) {
	w.trace("wipe %s", h.address)
	w.stop(h)
	if h.disk == nil {
		return
	}
	if w.plant.rememberDisk {
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
	d.Hard, d.Base, d.BaseTerm = s.Hard, s.Base, s.BaseTerm
	if w.plant.forgetVote {
		d.Hard.Vote = Member{}
	}
	if s.Snapshot != nil && !(w.plant.keepOldImage && d.Snapshot != nil) {
		d.Snapshot = s.Snapshot
	}
	var entries []Entry
	for _, e := range d.Entries {
		if e.Index > s.Base && e.Index < s.First {
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
	h.machine.Clock(w.now)
	do(h.machine)
	if w.plant.singleSteps {
		takeSingleSteps(h.machine)
	}
	if h.machine != nil {
		w.settle(h)
	}
}

func (w *world) settle(h *host) {
	m, life := h.machine, h.life
	for o := m.Take(); !o.Empty(); o = m.Take() {
		for _, msg := range o.Send {
			w.send(msg)
		}
		if o.Restore != nil {
			w.restore(h, o.Restore)
		}
		for _, e := range o.Apply {
			w.apply(h, e)
		}
		for _, d := range o.Done {
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
						if !w.plant.trustFailed {
							w.suspend(h)
							return
						}
						h.saving = nil
						m.Saved()
						return
					}
					w.write(h, s)
					h.saving = nil
					m.Saved()
					if w.plant.earlyAck && m.role == leader {
						for _, id := range h.early {
							w.done(h, Done{ID: id, Index: m.log.entries[slices.IndexFunc(m.log.entries, func(e Entry) bool { return e.Origin == h.life && e.ID == id })].Index})
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
				w.touch(h, h.life, func(m *Machine) { w.step(m, msg) })
			}
		})
	}
}

func (w *world) apply(h *host, e Entry) {
	if e.Index <= h.tableAt {
		return
	}
	if e.Index != h.applied+1 {
		w.fail("%s applies %d after %d", h.address, e.Index, h.applied)
	}
	h.applied = e.Index
	if e.Origin != 0 {
		h.table = append(h.table, e)
	}
	if e.Index <= uint64(len(w.committed)) {
		if c := w.committed[e.Index-1]; c.Term != e.Term || c.Origin != e.Origin || c.ID != e.ID {
			w.fail("%s applies %v at %d, where there was %v", h.address, e, e.Index, c)
		}
		return
	}
	w.committed = append(w.committed, e)
	if e.Members != nil {
		w.trace("%s: members at %d: %v", h.address, e.Index, e.Members)
		w.members = *e.Members
	}
	if e.Origin != 0 {
		value := valueOf(e.Command)
		if w.at[value] != 0 {
			w.fail("%d is at %d and at %d", value, w.at[value], e.Index)
		}
		w.at[value] = e.Index
		if w.fate[value] == "refused" {
			w.fail("%d was refused and is at %d", value, e.Index)
		}
	}
}

func (w *world) restore(h *host, s *Snapshot) {
	if s.Index <= h.tableAt {
		return
	}
	h.table = nil
	if err := gob.NewDecoder(bytes.NewReader(s.Data)).Decode(&h.table); err != nil {
		w.fail("%v", err)
	}
	h.applied = s.Index
	want := slices.DeleteFunc(slices.Clone(w.committed[:s.Index]), func(e Entry) bool { return e.Origin == 0 })
	if !slices.EqualFunc(h.table, want, func(e, c Entry) bool { return e.Index == c.Index && e.Origin == c.Origin && e.ID == c.ID }) {
		w.fail("%s: the snapshot as of %d has %v for %v", h.address, s.Index, h.table, want)
	}
}

func valueOf(command []byte) (v uint64) {
	for _, b := range command {
		v = v<<8 | uint64(b)
	}
	return v
}

func (w *world) propose(h *host, value uint64) {
	w.touch(h, h.life, func(m *Machine) {
		h.next++
		h.asked[h.next] = value
		w.history.set(h, value)
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
		if w.history.get(h) {
			h.asked[h.next] = 0 // the history is to tell
		}
		m.Read(h.next)
		if w.plant.localRead && m.role == leader {
			w.done(h, Done{ID: h.next})
		}
	})
}

func (w *world) done(h *host, d Done) {
	what, ok := h.asked[d.ID]
	if !ok {
		return
	}
	delete(h.asked, d.ID)
	w.history.answer(h, d)
	switch {
	case h.isRead[d.ID]:
		if d.Err == nil {
			w.reads++
			if h.applied < what {
				w.fail("%s answers a read at %d, and %d was committed before", h.address, h.applied, what)
			}
		}
	case d.Err == nil:
		w.acks++
		w.fate[what], w.acked[what] = "acked", d.Index
		if at := w.at[what]; at != 0 && at != d.Index {
			w.fail("%d is acknowledged at %d and is at %d", what, d.Index, at)
		}
	case errors.Is(d.Err, ErrUnknown):
		w.fate[what] = "unknown"
	default:
		w.fate[what] = "refused"
		if at := w.at[what]; at != 0 {
			w.fail("%d is refused and is at %d", what, at)
		}
	}
}

// calm tells whether all that are up follow one leader, with as many members as there should be and
// all applied.
func (w *world) calm() bool {
	var leads *host
	for _, h := range w.hosts {
		if h.machine != nil && h.machine.role == leader {
			if leads != nil {
				return false
			}
			leads = h
		}
	}
	for _, h := range w.hosts {
		if leads == nil || h != w.gone && (h.machine.leader.Address != leads.address || h.applied != leads.applied) {
			return false
		}
	}
	return len(w.members.Voters) == 3 && !w.anyLost(w.members.Voters)
}

func (w *world) anyLost(voters []Member) bool {
	return slices.ContainsFunc(voters, func(v Member) bool { return w.lost[v] })
}

// heal mends all, and demands that the hosts that are up agree, take proposals, and have lost
// nothing.
func (w *world) heal() {
	clear(w.cut)
	w.rough, w.crashes, w.broken, w.slow = 0, 0, 0, min(w.slow, 100*time.Millisecond)
	for _, h := range w.hosts {
		h.frozen = min(h.frozen, w.now)
		if h != w.gone {
			w.start(h)
		}
	}
	w.run(3 * time.Second) // until no old message is left
	for end := w.now + 16*time.Second; w.now < end && !w.calm(); {
		w.run(time.Second)
	}
	for i, h := range w.hosts {
		if h == w.gone {
			continue
		}
		value := 1<<20 + uint64(i)
		w.propose(h, value)
		w.read(h)
		w.run(time.Second)
		if w.fate[value] != "acked" {
			w.fail("%s: a proposal after all is mended comes to %q", h.address, w.fate[value])
		}
	}
	if len(w.members.Voters) != 3 || w.anyLost(w.members.Voters) {
		w.fail("the members are %v", w.members)
	}
	for value, index := range w.acked {
		if w.at[value] != index {
			w.fail("%d was acknowledged at %d and is at %d", value, index, w.at[value])
		}
	}
}

// explore plays one seed.
func explore(seed uint64, p plant) (w *world, trouble any) {
	w = newWorld(seed, p)
	return w, w.play()
}

func (w *world) play() (trouble any) {
	defer func() {
		if r := recover(); r != nil {
			trouble = fmt.Sprint(r)
			if _, ok := r.(error); ok {
				trouble = fmt.Sprintf("%v\n%s", r, debug.Stack())
			}
		}
	}()
	w.rough = pick(w, 0, 0.02, 0.1, 0.5)
	w.crashes = pick(w, 0, 0.005, 0.05, 0.3)
	w.late = pick(w, 60*time.Millisecond, 3*time.Second)
	pause := pick(w, 300*time.Millisecond, 1500*time.Millisecond)
	w.slow = pick(w, 5*time.Millisecond, 100*time.Millisecond)
	if w.slowest > 0 && w.rng.IntN(4) == 0 {
		w.slow = w.slowest
	}
	for _, h := range w.hosts {
		w.after(w.within(0, 2*time.Second), func() { w.start(h) })
	}
	end := 12 * time.Second
	value := uint64(0)
	var ask func()
	ask = func() {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		value++
		w.propose(h, value)
		w.read(w.hosts[w.rng.IntN(len(w.hosts))])
		if w.now < end {
			w.after(w.within(0, 80*time.Millisecond), ask)
		}
	}
	w.after(0, ask)
	var harm func()
	harm = func() {
		if w.now >= end {
			return
		}
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		back := func(d time.Duration) { w.after(d, func() { w.revive(h) }) }
		switch w.rng.IntN(9) {
		case 0, 1:
			w.stop(h)
			back(w.within(0, 3*time.Second))
		case 2:
			h.frozen = w.now + w.within(0, 3*time.Second)
		case 3, 4:
			link := [2]string{h.address, w.hosts[w.rng.IntN(len(w.hosts))].address}
			w.cut[link] = true
			both := w.rng.IntN(2) == 0
			if both {
				w.cut[[2]string{link[1], link[0]}] = true
			}
			w.after(w.within(0, 3*time.Second), func() {
				delete(w.cut, link)
				delete(w.cut, [2]string{link[1], link[0]})
			})
		case 5, 6:
			if w.mayWipe() {
				w.wipe(h)
				back(w.within(0, time.Second))
			}
		case 7:
			for _, h := range w.hosts {
				w.touch(h, h.life, func(m *Machine) { m.TransferLeadership() })
			}
		case 8:
			if w.rng.IntN(4) == 0 && w.gone == nil && w.mayWipe() {
				w.gone = h
				w.wipe(h)
				break
			}
			for _, h := range w.hosts {
				w.stop(h)
				w.after(w.within(0, time.Second), func() { w.revive(h) })
			}
		}
		w.after(w.within(0, pause), harm)
	}
	w.after(3*time.Second, harm)
	w.run(end)
	w.heal()
	return nil
}

func (w *world) revive(h *host) {
	if h != w.gone {
		w.start(h)
	}
}
