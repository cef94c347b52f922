package averau

import (
	"bytes"
	"encoding/gob"
	"sync"
	"sync/atomic"

	"example.org/micaline/internal/margherita"
	"github.com/samber/oops"
)

// Ops of an order.
const (
	opPatch    = "patch"
	opEvacuate = "evacuate"
	opReturn   = "return"
)

// order is a command of the log: a call of the operator that is to hold.
type order struct {
	Op   string
	Zone string
	Body []byte
}

func (o *order) encode() []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(o); err != nil {
		panic(err) // plain fields always encode
	}
	return b.Bytes()
}

// state is the configuration after an index of the log. It never changes.
type state struct {
	index  uint64
	config *margherita.Config

	once sync.Once
	text []byte
}

// encoded is the configuration as it is sent to agents; made once however many there are.
func (s *state) encoded() []byte {
	s.once.Do(func() { s.text = s.config.Encode() })
	return s.text
}

// table is the state that the agreement drives.
type table struct {
	now     atomic.Pointer[state]
	changed func() // must not block
}

func newTable(changed func()) *table {
	t := &table{changed: changed}
	t.now.Store(&state{config: margherita.New()})
	return t
}

// Apply carries out an order. The reply is empty, or says what is wrong with it: validity is judged here, where the order of all
// calls is known.
func (t *table) Apply(index uint64, command []byte) []byte {
	var o order
	if err := gob.NewDecoder(bytes.NewReader(command)).Decode(&o); err != nil {
		return []byte("command: " + err.Error())
	}
	old := t.now.Load()
	next := old.config
	switch o.Op {
	case opPatch:
		p, err := margherita.ParsePatch(o.Body)
		if err != nil {
			return []byte(err.Error())
		}
		if next, _, err = next.Apply(p); err != nil {
			return []byte(err.Error())
		}
	case opEvacuate:
		next = next.Evacuate(o.Zone)
	case opReturn:
		next = next.Return(o.Zone)
	default:
		return []byte("op: " + o.Op + " is not known")
	}
	if next != old.config {
		t.now.Store(&state{index: index, config: next})
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
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(kept{s.index, s.encoded()}); err != nil {
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
	config, err := margherita.Decode(k.Config)
	if err != nil {
		return oops.In("snapshot").Wrap(err)
	}
	t.now.Store(&state{index: k.Index, config: config})
	t.changed()
	return nil
}
