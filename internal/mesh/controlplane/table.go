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

// encodeOrder encodes an order as a command of the log.
func encodeOrder(order *meshconfig.Order) []byte { return plaingob.Encode(order) }

// configState is the configuration at an index of the log. It is immutable.
type configState struct {
	index  uint64
	config *meshconfig.Config
	steps  []transport.ConfigStep // the most recent steps, ending at index

	encodeOnce sync.Once
	encoding   []byte

	lastEncodedSteps encodedSteps // latest requested steps; used by runLoop only

	compressOnce sync.Once
	compressed   []byte // compressed encoding
}

// encodedSteps are encoded steps from an index. After a large change all agents request the same.
type encodedSteps struct {
	since      uint64
	raw        []byte
	compressed []byte // compressed raw
}

// Limits of the steps that are kept. An agent that was away for longer gets the complete
// configuration. Steps beyond maxPushedBytes are kept while they are smaller than the
// configuration.
const (
	maxSteps     = 256
	maxStepBytes = 4 << 20
	// maxPushedBytes is the size of steps up to which agents get them without a request. All
	// control-plane nodes push to each agent, so larger steps would be sent once by each node.
	// Instead, the agent requests them from one node.
	maxPushedBytes = 64 << 10
)

// encodedConfig returns the complete configuration as sent to agents. It is encoded once for all
// agents, and not at all if steps are sufficient for all of them.
func (s *configState) encodedConfig() []byte {
	s.encodeOnce.Do(func() { s.encoding = s.config.Encode() })
	return s.encoding
}

// stepsFrom returns the steps from an index to this state, or nil if they are not kept.
func (s *configState) stepsFrom(from uint64) []transport.ConfigStep {
	for i := range s.steps {
		if s.steps[i].Before == from {
			return s.steps[i:]
		}
	}
	return nil
}

// pushedSteps returns the steps to send without a request, or nil if they are too large.
func (s *configState) pushedSteps(from uint64) []transport.ConfigStep {
	steps := s.stepsFrom(from)
	if stepsSize(steps) > maxPushedBytes {
		return nil
	}
	return steps
}

// encodedStepsFrom returns the encoded steps from an index to this state. It returns nil if they
// are not kept, or if they are neither smaller than the configuration nor than maxPushedBytes. It
// must be called from one goroutine only.
func (s *configState) encodedStepsFrom(from uint64) []byte {
	if from != 0 && s.lastEncodedSteps.since == from {
		return s.lastEncodedSteps.raw
	}
	steps := s.stepsFrom(from)
	if len(steps) == 0 || stepsSize(steps) >= max(s.config.TextSize(), maxPushedBytes) {
		return nil
	}
	raw := transport.EncodeSteps(steps)
	s.lastEncodedSteps = encodedSteps{from, raw, transport.Compress(raw)}
	return s.lastEncodedSteps.raw
}

// compressedStepsFrom is like encodedStepsFrom, but compressed. The same restriction applies.
func (s *configState) compressedStepsFrom(from uint64) []byte {
	if s.encodedStepsFrom(from) == nil {
		return nil
	}
	return s.lastEncodedSteps.compressed
}

// compressedConfig is like encodedConfig, but compressed. It is compressed once.
func (s *configState) compressedConfig() []byte {
	s.compressOnce.Do(func() { s.compressed = transport.Compress(s.encodedConfig()) })
	return s.compressed
}

func stepsSize(steps []transport.ConfigStep) (size int) {
	for i := range steps {
		size += len(steps[i].Order.Body)
	}
	return size
}

// successor returns the state after a step.
func (s *configState) successor(index uint64, next *meshconfig.Config, order *meshconfig.Order) *configState {
	// The array is shared with earlier states. This is safe because these are limited by their own
	// lengths, and each state has one successor only.
	step := transport.ConfigStep{Before: s.index, Index: index, Order: *order}
	step.Order.Call = nil // of no use to agents
	steps := append(s.steps, step)
	size, maxSize := 0, min(max(next.TextSize(), maxPushedBytes), maxStepBytes)
	for i := len(steps) - 1; i >= 0; i-- {
		if size += len(steps[i].Order.Body); size > maxSize || len(steps)-i > maxSteps {
			steps = slices.Clone(steps[i+1:])
			break
		}
	}
	return &configState{index: index, config: next, steps: steps}
}

// table is the replicated state. Only the node's goroutine changes it, and the fields without an
// atomic type belong to that goroutine.
type table struct {
	published atomic.Pointer[configState] // state that other goroutines see
	newest    *configState                // ahead of published during a batch
	inBatch   bool                        // a batch is in progress
	applied   atomic.Uint64               // index of the latest order, even if it was refused
	history   *meshconfig.History
	onChange  func() // must not block

	refusedCalls *refusedCalls

	duties          *duties.Table
	dutiesChanged   bool // since duties were published
	publishedDuties atomic.Pointer[duties.Table]

	windows          *maintenance.Table
	publishedWindows atomic.Pointer[maintenance.Table]
}

func newTable(onChange func()) *table {
	t := &table{onChange: onChange, history: meshconfig.NewHistory(), refusedCalls: newRefusedCalls(refusedCallsState{})}
	t.newest = &configState{config: meshconfig.New()}
	t.published.Store(t.newest)
	t.duties = duties.NewTable()
	t.publishDuties()
	t.windows = &maintenance.Table{}
	t.publishedWindows.Store(t.windows.Clone())
	return t
}

// Batch applies a number of orders. If publish is set, it then publishes the resulting state;
// otherwise a later batch does. After a start, a process applies all orders since its snapshot. If
// agents were sent the states in between, each would request several of them, and the process would
// be busy with that instead of consensus.
func (t *table) Batch(apply func(), publish bool) {
	t.inBatch = true
	apply()
	t.inBatch = false
	if t.dutiesChanged {
		t.publishDuties()
	}
	if publish {
		t.publish()
	}
}

// publish makes the newest state visible to other goroutines.
func (t *table) publish() {
	if t.inBatch || t.published.Load() == t.newest {
		return
	}
	t.published.Store(t.newest)
	t.onChange()
}

// opRefusal marks an order that has no effect but the refusal of its call. Control-plane nodes
// propose it for what they refuse themselves.
const opRefusal = "refusal"

// Apply applies an order. The reply is refusedSinceReply if the call was refused since it arrived,
// and otherwise depends on the kind of the order. Validity, and whether an order contradicts an
// earlier one, are checked here, because only here the order of all changes is known.
func (t *table) Apply(index uint64, command []byte) []byte {
	defer t.applied.Store(index)
	order, err := plaingob.Decode[meshconfig.Order](command)
	if err != nil {
		return newRefusal(err).encode()
	}
	isCall := len(order.Call) > 0
	if isCall && t.refusedCalls.refusedSince(order.Since, order.Call) {
		return refusedSinceReply
	}
	reply, refused := t.applyOrder(index, order)
	if isCall && refused {
		t.refusedCalls.record(index, order.Call)
	}
	return reply
}

// applyOrder applies an order. It returns the reply and whether the order was refused for good.
func (t *table) applyOrder(index uint64, order *meshconfig.Order) (reply []byte, refused bool) {
	switch order.Op {
	case opDuty:
		return t.applyDuty(index, order.Body)
	case opWindow:
		return t.applyWindow(index, order.Body)
	case opRefusal:
		return nil, true
	}
	return t.applyConfigOrder(index, order)
}

// applyConfigOrder applies an order that changes the configuration. The reply is empty, or an
// encoded refusal.
func (t *table) applyConfigOrder(index uint64, order *meshconfig.Order) (reply []byte, refused bool) {
	previous := t.newest
	next, err := t.history.ApplyOrder(index, previous.config, order)
	if err != nil {
		refusal := newRefusal(err)
		return refusal.encode(), refusal.isFinal()
	}
	if next != previous.config {
		t.newest = previous.successor(index, next, order)
		t.publish()
	}
	return nil, false
}

// tableSnapshot is the encoded form of a snapshot. Early versions have only the first fields.
type tableSnapshot struct {
	Index   uint64
	Config  []byte
	History []byte
	Duties  []byte
	Windows []byte
	Refused refusedCallsState
}

// Snapshot returns the encoded state.
func (t *table) Snapshot() []byte {
	state := t.newest
	return plaingob.Encode(tableSnapshot{state.index, state.encodedConfig(), t.history.Encode(), t.duties.Encode(), t.windows.Encode(), t.refusedCalls.state()})
}

// Restore replaces the state by a snapshot.
func (t *table) Restore(index uint64, snapshot []byte) error {
	decoded, err := plaingob.Decode[tableSnapshot](snapshot)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	config, err := meshconfig.Decode(decoded.Config)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	history := meshconfig.HistoryFromConfig(config) // for snapshots without a history
	if len(decoded.History) > 0 {
		if history, err = meshconfig.DecodeHistory(decoded.History); err != nil {
			return oops.In("snapshot").Wrap(err)
		}
	}
	if t.duties, err = duties.Decode(decoded.Duties); err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.publishDuties()
	if t.windows, err = maintenance.Decode(decoded.Windows); err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.publishedWindows.Store(t.windows.Clone())
	t.history = history
	t.refusedCalls = newRefusedCalls(decoded.Refused)
	t.applied.Store(index)
	t.newest = &configState{index: decoded.Index, config: config}
	t.publish()
	return nil
}
