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

// history records what clients observed of a set of versioned items, for a linearizability check. A
// set is accepted if its version is newer than the current one, and a get returns the current
// version at the node that is asked.
type history struct {
	clock     int64
	pending   map[callID]*porcupine.Operation
	completed []porcupine.Operation
}

// callID identifies a call: the process it was made at, and its ID there.
type callID struct{ incarnation, id uint64 }

// itemCount is the number of items; fewer items make the check stricter.
const itemCount = 8

// item is an item and its version: the current one, the one to be set, or version 0 in a get.
type item struct{ number, version uint64 }

type input struct {
	item
	isGet bool
}

type output struct {
	current  item // of a get
	accepted bool // of a set
	unknown  bool // whether the set was accepted is unknown
}

// itemFor returns the item that a proposed value sets. Versions grow with the values overall, but
// not strictly in order.
func itemFor(value uint64) item { return item{value % itemCount, value + value*37%41 + 1} }

// currentItem returns the state of an item after some commands, and whether the last command for it
// was accepted.
func currentItem(table []Entry, number uint64) (current item, accepted bool) {
	current.number = number
	for _, e := range table {
		if update := itemFor(decodeValue(e.Command)); update.number == number {
			if accepted = update.version > current.version; accepted {
				current = update
			}
		}
	}
	return current, accepted
}

func (hist *history) beginCall(h *host, in input) {
	hist.clock++
	hist.pending[callID{h.incarnation, h.lastRequestID}] = &porcupine.Operation{Input: in, Call: hist.clock, Return: math.MaxInt64, Output: output{unknown: true}}
}

func (hist *history) beginSet(h *host, value uint64) {
	if hist != nil {
		hist.beginCall(h, input{item: itemFor(value)})
	}
}

func (hist *history) beginGet(h *host) bool {
	if hist != nil {
		hist.beginCall(h, input{item: item{number: h.lastRequestID % itemCount}, isGet: true})
	}
	return hist != nil
}

// endCall records the result of a call. A call that was certainly rejected is dropped from the
// history. A call with an unknown outcome stays pending, like one that a crash left without an
// answer.
func (hist *history) endCall(h *host, d Completion) {
	if hist == nil || errors.Is(d.Err, ErrUnknown) {
		return
	}
	id := callID{h.incarnation, d.ID}
	op := hist.pending[id]
	delete(hist.pending, id)
	if d.Err != nil {
		return
	}
	hist.clock++
	op.Return = hist.clock
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
	hist.completed = append(hist.completed, *op)
}

var registerModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, itemCount)
		for _, op := range operations {
			itemNumber := op.Input.(input).number
			parts[itemNumber] = append(parts[itemNumber], op)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, call, result := state.(uint64), in.(input), out.(output)
		if call.isGet {
			return result.current.version == version, version
		}
		return result.unknown || result.accepted == (call.version > version), max(version, call.version)
	},
}

// checkLinearizable runs a seed and checks the observed history. It also returns the number of
// answered calls and the failure that the simulation itself found, if any.
func checkLinearizable(seed uint64, bugs injectedBugs) (porcupine.CheckResult, int, any) {
	w := newWorld(seed, bugs)
	w.history = &history{pending: map[callID]*porcupine.Operation{}}
	failure := w.runWithFaults()
	operations := w.history.completed
	for _, op := range w.history.pending {
		if !op.Input.(input).isGet { // an unanswered get observed nothing
			operations = append(operations, *op)
		}
	}
	for i := range operations {
		operations[i].ClientId = i
	}
	return porcupine.CheckOperationsTimeout(registerModel, operations, 10*time.Second), len(w.history.completed), failure
}

func TestHistories(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		result, count, failure := checkLinearizable(seed, injectedBugs{})
		require.Nil(t, failure, "seed %d", seed)
		require.Equal(t, porcupine.Ok, result, "seed %d", seed)
		answered += count
	}
	t.Logf("%d calls answered", answered)
	require.Greater(t, answered, 60*100)
}

// The observed history alone reveals each injected bug.
func TestHistoriesFindPlanted(t *testing.T) {
	for name, bugs := range map[string]injectedBugs{"reads unconfirmed": {answersReadsLocally: true}, "acks come too early": {acknowledgesBeforeQuorum: true}} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); ; seed++ {
				require.Less(t, seed, uint64(300), "not found")
				if result, _, failure := checkLinearizable(seed, bugs); result == porcupine.Illegal {
					t.Log(fmt.Sprint("seed ", seed, ", failure found by the simulation itself: ", failure))
					return
				}
			}
		})
	}
}
