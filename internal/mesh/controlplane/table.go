package controlplane

import (
	"slices"
	"sync"
	"sync/atomic"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/plaingob"
	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

// encodeOrder gives an order as a command of the log.
func encodeOrder(o *meshconfig.Order) []byte { return plaingob.Encode(o) }

// state is the configuration after an index of the log. It never changes.
type state struct {
	index  uint64
	config *meshconfig.Config
	steps  []transport.ConfigStep // that led here, one after the other, the last few

	once sync.Once
	text []byte

	asked encodedSteps // last; the owner's of the feeds

	compressOnce sync.Once
	compressed   []byte // text
}

// encodedSteps are the steps from an index: after a large change all agents ask for the same.
type encodedSteps struct {
	since      uint64
	raw        []byte
	compressed []byte // raw
}

// What is kept of steps: an agent that was away for longer is sent the whole. Beyond pushedBytes
// they are kept as long as they are smaller than the whole.
const (
	mostSteps     = 256
	mostStepBytes = 4 << 20
	// pushedBytes is what an agent is sent of steps unasked. Each core machine tells each agent, so
	// larger ones would come as many times as there are core machines: the agent asks one of them.
	pushedBytes = 64 << 10
)

// encoded is the whole configuration as it is sent to agents; made once however many there are, and
// not at all where all agents take the steps.
func (s *state) encoded() []byte {
	s.once.Do(func() { s.text = s.config.Encode() })
	return s.text
}

// since returns the steps from an index that an agent has to this state; none if they are not kept.
func (s *state) since(have uint64) []transport.ConfigStep {
	for i := range s.steps {
		if s.steps[i].Before == have {
			return s.steps[i:]
		}
	}
	return nil
}

// pushed returns the steps that an agent is sent unasked; none if they are too large for that.
func (s *state) pushed(have uint64) []transport.ConfigStep {
	steps := s.since(have)
	if sizeOf(steps) > pushedBytes {
		return nil
	}
	return steps
}

// stepsSince returns the encoded steps from an index to this state; none if they are not kept, or
// the whole is no larger. One goroutine alone calls it.
func (s *state) stepsSince(have uint64) []byte {
	if have != 0 && s.asked.since == have {
		return s.asked.raw
	}
	steps := s.since(have)
	if len(steps) == 0 || sizeOf(steps) >= max(s.config.TextSize(), pushedBytes) {
		return nil
	}
	raw := transport.EncodeSteps(steps)
	s.asked = encodedSteps{have, raw, transport.Compress(raw)}
	return s.asked.raw
}

// compressedStepsSince returns what stepsSince does, compressed. One goroutine alone calls it.
func (s *state) compressedStepsSince(have uint64) []byte {
	if s.stepsSince(have) == nil {
		return nil
	}
	return s.asked.compressed
}

// compressedWhole returns what encoded does, compressed; made once.
func (s *state) compressedWhole() []byte {
	s.compressOnce.Do(func() { s.compressed = transport.Compress(s.encoded()) })
	return s.compressed
}

func sizeOf(steps []transport.ConfigStep) (size int) {
	for i := range steps {
		size += len(steps[i].Order.Body)
	}
	return size
}

// after returns the state that a step leads to.
func (s *state) after(index uint64, next *meshconfig.Config, o *meshconfig.Order) *state {
	// The array is shared with the states before, which see no more of it than they have: each state
	// is followed by one other.
	steps := append(s.steps, transport.ConfigStep{Before: s.index, Index: index, Order: *o})
	size, most := 0, min(max(next.TextSize(), pushedBytes), mostStepBytes)
	for i := len(steps) - 1; i >= 0; i-- {
		if size += len(steps[i].Order.Body); size > most || len(steps)-i > mostSteps {
			steps = slices.Clone(steps[i+1:])
			break
		}
	}
	return &state{index: index, config: next, steps: steps}
}

// table is the state that the agreement drives. The node's goroutine alone changes it.
type table struct {
	now     atomic.Pointer[state] // as others see it
	newest  *state                // of the node's goroutine: ahead of now within a batch
	batch   bool                  // one is under way; of the node's goroutine
	applied atomic.Uint64         // index of the last order, whatever came of it
	history *meshconfig.History   // of the node's goroutine
	changed func()                // must not block

	duties      *duties.Table // of the node's goroutine
	dutiesMoved bool          // since they were shown
	dutiesNow   atomic.Pointer[duties.Table]

	windows    *maintenance.Table // of the node's goroutine
	windowsNow atomic.Pointer[maintenance.Table]
}

func newTable(changed func()) *table {
	t := &table{changed: changed, history: meshconfig.NewHistory()}
	t.newest = &state{config: meshconfig.New()}
	t.now.Store(t.newest)
	t.duties = duties.NewTable()
	t.showDuties()
	t.windows = &maintenance.Table{}
	t.windowsNow.Store(t.windows.Clone())
	return t
}

// Batch has a number of orders carried out, and shows what they and those before lead to, or leaves
// that to a later batch. A process that starts carries out all orders since its snapshot: agents that
// were sent states in between would each ask for several, and the process would be busy with that
// instead of with the agreement.
func (t *table) Batch(apply func(), show bool) {
	t.batch = true
	apply()
	t.batch = false
	if t.dutiesMoved {
		t.showDuties()
	}
	if show {
		t.show()
	}
}

// show has others see the newest state.
func (t *table) show() {
	if t.batch || t.now.Load() == t.newest {
		return
	}
	t.now.Store(t.newest)
	t.changed()
}

// Apply carries out an order. The reply is empty, or the encoded refusal: validity, and whether the
// order contradicts an earlier one, are judged here, where the order of all calls is known.
func (t *table) Apply(index uint64, command []byte) []byte {
	defer t.applied.Store(index)
	o, err := plaingob.Decode[meshconfig.Order](command)
	if err != nil {
		return refusalOf(err).encode()
	}
	switch o.Op {
	case opDuty:
		return t.applyDuty(index, o.Body)
	case opWindow:
		return t.applyWindow(index, o.Body)
	}
	old := t.newest
	next, err := t.history.ApplyOrder(index, old.config, o)
	if err != nil {
		return refusalOf(err).encode()
	}
	if next != old.config {
		t.newest = old.after(index, next, o)
		t.show()
	}
	return nil
}

// kept is a snapshot of the state. Programs before the history wrote and read the first two fields.
type kept struct {
	Index   uint64
	Config  []byte
	History []byte
	Duties  []byte
	Windows []byte
}

// Snapshot returns the whole state.
func (t *table) Snapshot() []byte {
	s := t.newest
	return plaingob.Encode(kept{s.index, s.encoded(), t.history.Encode(), t.duties.Encode(), t.windows.Encode()})
}

// Restore takes a snapshot in.
func (t *table) Restore(index uint64, snapshot []byte) error {
	k, err := plaingob.Decode[kept](snapshot)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	config, err := meshconfig.Decode(k.Config)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	history := meshconfig.HistoryFromConfig(config) // of a program that kept none
	if len(k.History) > 0 {
		if history, err = meshconfig.DecodeHistory(k.History); err != nil {
			return oops.In("snapshot").Wrap(err)
		}
	}
	if t.duties, err = duties.Decode(k.Duties); err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.showDuties()
	if t.windows, err = maintenance.Decode(k.Windows); err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.windowsNow.Store(t.windows.Clone())
	t.history = history
	t.applied.Store(index)
	t.newest = &state{index: k.Index, config: config}
	t.show()
	return nil
}
