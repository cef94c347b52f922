package controlplane

import (
	"bytes"
	"encoding/gob"
	"slices"
	"sync"
	"sync/atomic"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"github.com/samber/oops"
)

// encodeOrder gives an order as a command of the log.
func encodeOrder(o *meshconfig.Order) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(o); err != nil {
		panic(err) // plain fields always encode
	}
	return b.Bytes()
}

// state is the configuration after an index of the log. It never changes.
type state struct {
	index  uint64
	config *meshconfig.Config
	steps  []transport.Step // that led here, one after the other, the last few

	once   sync.Once
	text   []byte
	digest uint64
}

// What is kept of steps: an agent that was away for longer is sent the whole.
const (
	mostSteps     = 64
	mostStepBytes = 64 << 10
)

// encoded is the configuration as it is sent to agents; made once however many there are.
func (s *state) encoded() (text []byte, digest uint64) {
	s.once.Do(func() {
		s.text = s.config.Encode()
		s.digest = meshconfig.Digest(s.text)
	})
	return s.text, s.digest
}

// since returns the steps from an index that an agent has to this state; none if they are not kept.
func (s *state) since(have uint64) []transport.Step {
	for i := range s.steps {
		if s.steps[i].Before == have {
			return s.steps[i:]
		}
	}
	return nil
}

// after returns the state that a step leads to.
func (s *state) after(index uint64, next *meshconfig.Config, o *meshconfig.Order) *state {
	steps := append(s.steps[:len(s.steps):len(s.steps)], transport.Step{Before: s.index, Index: index, Order: *o})
	size := 0
	for i := len(steps) - 1; i >= 0; i-- {
		if size += len(steps[i].Order.Body); size > mostStepBytes || len(steps)-i > mostSteps {
			steps = slices.Clone(steps[i+1:])
			break
		}
	}
	return &state{index: index, config: next, steps: steps}
}

// table is the state that the agreement drives.
type table struct {
	now     atomic.Pointer[state]
	changed func() // must not block
}

func newTable(changed func()) *table {
	t := &table{changed: changed}
	t.now.Store(&state{config: meshconfig.New()})
	return t
}

// Apply carries out an order. The reply is empty, or says what is wrong with it: validity is judged here, where the order of all
// calls is known.
func (t *table) Apply(index uint64, command []byte) []byte {
	var o meshconfig.Order
	if err := gob.NewDecoder(bytes.NewReader(command)).Decode(&o); err != nil {
		return []byte("command: " + err.Error())
	}
	old := t.now.Load()
	next, err := old.config.Carry(&o)
	if err != nil {
		return []byte(err.Error())
	}
	if next != old.config {
		t.now.Store(old.after(index, next, &o))
		t.changed()
	}
	return nil
}

// kept is a snapshot of the state.
type kept struct {
	Index  uint64
	Config []byte
}

// Snapshot returns the whole state.
func (t *table) Snapshot() []byte {
	s := t.now.Load()
	text, _ := s.encoded()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(kept{s.index, text}); err != nil {
		panic(err) // plain fields always encode
	}
	return b.Bytes()
}

// Restore takes a snapshot in.
func (t *table) Restore(index uint64, snapshot []byte) error {
	var k kept
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&k); err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	config, err := meshconfig.Decode(k.Config)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.now.Store(&state{index: k.Index, config: config})
	t.changed()
	return nil
}
