package consensus

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// history is what operators saw of some items with versions: a set takes if its version is newer
// than what stands, and a get shows what stands at the node that it is asked of.
type history struct {
	clock     int64
	pending   map[callID]*porcupine.Operation
	completed []porcupine.Operation
}

// asker is a call at one life of a process.
type callID struct{ incarnation, id uint64 }

// items is how many items there are: the fewer, the harder the check.
const itemCount = 8

// item is what stands of one; as a call, what is to stand, or nothing of a get.
type item struct{ number, version uint64 }

type input struct {
	item
	isGet bool
}

type output struct {
	current  item // of a get
	accepted bool // of a set,
	unknown  bool // if that is known
}

// setOf tells what a value of the world sets. Versions go up with the values, but not in order.
func itemFor(value uint64) item { return item{value % itemCount, value + value*37%41 + 1} }

// standing is what stands of an item after some commands, and whether the last of them took.
func currentItem(table []Entry, number uint64) (stands item, took bool) {
	stands.number = number
	for _, e := range table {
		if i := itemFor(valueOf(e.Command)); i.number == number {
			if took = i.version > stands.version; took {
				stands = i
			}
		}
	}
	return stands, took
}

func (y *history) beginCall(h *host, in input) {
	y.clock++
	y.pending[callID{h.life, h.next}] = &porcupine.Operation{Input: in, Call: y.clock, Return: math.MaxInt64, Output: output{unknown: true}}
}

func (y *history) beginSet(h *host, value uint64) {
	if y != nil {
		y.beginCall(h, input{item: itemFor(value)})
	}
}

func (y *history) beginGet(h *host) bool {
	if y != nil {
		y.beginCall(h, input{item: item{number: h.next % itemCount}, isGet: true})
	}
	return y != nil
}

// answer notes the end of a call. What was refused for certain is no part of the history; of what
// may hold, the end stays open, as of what a crash left without an answer.
func (y *history) endCall(h *host, d Completion) {
	if y == nil || errors.Is(d.Err, ErrUnknown) {
		return
	}
	at := callID{h.life, d.ID}
	op := y.pending[at]
	delete(y.pending, at)
	if d.Err != nil {
		return
	}
	y.clock++
	op.Return = y.clock
	out := output{unknown: true}
	if in := op.Input.(input); in.isGet {
		out.current, _ = currentItem(h.table, in.number)
	} else {
		for i, e := range h.table {
			if e.Index == d.Index {
				_, out.accepted = currentItem(h.table[:i+1], in.number)
				out.unknown = false
			}
		}
	}
	op.Output = out
	y.completed = append(y.completed, *op)
}

var registerModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, itemCount)
		for _, op := range all {
			n := op.Input.(input).number
			parts[n] = append(parts[n], op)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, call, answer := state.(uint64), in.(input), out.(output)
		if call.isGet {
			return answer.current.version == version, version
		}
		return answer.unknown || answer.accepted == (call.version > version), max(version, call.version)
	},
}

// linearizable plays a seed and checks what operators saw.
func checkLinearizable(seed uint64, bugs injectedBugs) (porcupine.CheckResult, int, any) {
	w := newWorld(seed, bugs)
	w.history = &history{pending: map[callID]*porcupine.Operation{}}
	trouble := w.play()
	all := w.history.completed
	for _, op := range w.history.pending {
		if !op.Input.(input).isGet { // a get that nobody saw the answer of says nothing
			all = append(all, *op)
		}
	}
	for i := range all {
		all[i].ClientId = i
	}
	return porcupine.CheckOperationsTimeout(registerModel, all, 10*time.Second), len(w.history.completed), trouble
}

func TestHistories(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		result, n, trouble := checkLinearizable(seed, injectedBugs{})
		require.Nil(t, trouble, "seed %d", seed)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
		answered += n
	}
	t.Logf("%d calls answered", answered)
	require.Greater(t, answered, 60*100)
}

// Planted faults are found by what operators saw alone.
func TestHistoriesFindPlanted(t *testing.T) {
	for name, p := range map[string]injectedBugs{"reads unconfirmed": {localRead: true}, "acks come too early": {earlyAck: true}} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(300), "not found")
				if result, _, trouble := checkLinearizable(seed, p); result == porcupine.Illegal {
					t.Log(fmt.Sprint("seed ", seed, ", the judge's own word: ", trouble))
					return
				}
			}
		})
	}
}
