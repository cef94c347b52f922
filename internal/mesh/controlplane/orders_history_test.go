package controlplane

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

var (
	orderFirstSeed = flag.Uint64("order-first", 0, "first seed of the simulated histories")
	orderSeedCount = flag.Uint64("order-seeds", 4, "number of seeds")
)

// simInput is an attempt at an operator's call.
type simInput struct {
	items []simItem
	read  bool
	zone  string // zone order: its HTTP method; zone read: the zone; otherwise ""
}

// simOutput is the result that an operator saw. An attempt without a definite result, such as one
// without a response, may or may not have been applied.
type simOutput struct {
	status    int
	items     map[string]simItem // result of a read of the items
	evacuated bool               // result of a read of the zone
}

// simHistory records the attempts of all operators.
type simHistory struct {
	mu            sync.Mutex
	attempts      []porcupine.Operation
	countByStatus map[int]int
}

func (h *simHistory) record(in simInput, sent, ended time.Duration, status int, response []byte) {
	out := simOutput{status: status}
	switch {
	case !in.read || status != http.StatusOK:
	case in.zone == "":
		out.items = itemsOf(response)
	default:
		out.evacuated = string(response) == "true"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.countByStatus == nil {
		h.countByStatus = map[int]int{}
	}
	h.countByStatus[status]++
	// A 503 states that the attempt was not applied and never will be.
	if status == http.StatusServiceUnavailable || in.read && status != http.StatusOK {
		return
	}
	// Two attempts may end and begin at the same virtual time. Then the end counts as earlier.
	operation := porcupine.Operation{ClientId: len(h.attempts), Input: in, Output: out, Call: int64(sent)*2 + 1, Return: int64(ended) * 2}
	if operation.Return < operation.Call {
		operation.Return = operation.Call
	}
	h.attempts = append(h.attempts, operation)
}

func (o simOutput) definite() bool { return o.status != 0 && o.status < http.StatusInternalServerError }

// configModel is the configuration, with the content of every version that was ever confirmed.
type configModel struct {
	newest   map[string]simItem  // newest version of each name, including removals
	contents map[itemVersion]int // content of each version
}

type itemVersion struct {
	name    string
	version uint64
}

func (m configModel) contradicts(items []simItem) bool {
	inCall := make(map[itemVersion]int)
	for _, item := range items {
		version := itemVersion{item.Name, item.Version}
		if content, known := m.contents[version]; known && content != item.Content {
			return true
		}
		if content, known := inCall[version]; known && content != item.Content {
			return true
		}
		inCall[version] = item.Content
	}
	return false
}

func (m configModel) confirm(items []simItem) configModel {
	next := configModel{maps.Clone(m.newest), maps.Clone(m.contents)}
	for _, item := range items {
		next.contents[itemVersion{item.Name, item.Version}] = item.Content
		if item.Version > next.newest[item.Name].Version {
			next.newest[item.Name] = item
		}
	}
	return next
}

func (m configModel) present() map[string]simItem {
	items := make(map[string]simItem)
	for name, item := range m.newest {
		if item.Content != 0 {
			items[name] = item
		}
	}
	return items
}

var orderModel = porcupine.Model{
	Init: func() any { return configModel{map[string]simItem{}, map[itemVersion]int{}} },
	Step: func(state, input, output any) (bool, any) {
		m, in, out := state.(configModel), input.(simInput), output.(simOutput)
		if in.read {
			return maps.Equal(out.items, m.present()), m
		}
		contradicts := m.contradicts(in.items)
		switch {
		case out.status == http.StatusOK:
			return !contradicts, m.confirm(in.items)
		case out.definite(): // refused
			return contradicts, m
		case contradicts:
			return true, m
		}
		return true, m.confirm(in.items)
	},
	Equal: func(a, b any) bool {
		first, second := a.(configModel), b.(configModel)
		return maps.Equal(first.newest, second.newest) && maps.Equal(first.contents, second.contents)
	},
}

// checkOrders checks the attempts on configuration items for linearizability.
func (h *simHistory) checkOrders() porcupine.CheckResult {
	attempts := slices.DeleteFunc(slices.Clone(h.attempts), func(op porcupine.Operation) bool { return op.Input.(simInput).zone != "" })
	for i := range attempts {
		if !attempts[i].Output.(simOutput).definite() {
			attempts[i].Return = math.MaxInt64
		}
	}
	return porcupine.CheckOperationsTimeout(orderModel, attempts, 20*time.Second)
}

// zoneModel models whether the zone is evacuated. An order without a definite result may or may not
// have been applied.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		in, out := input.(simInput), output.(simOutput)
		after := in.zone == http.MethodPost
		switch {
		case in.read && out.evacuated != state.(bool):
			return nil
		case in.read:
			return []any{state}
		case out.status == http.StatusOK:
			return []any{after}
		case out.definite(): // an order for a known zone is never refused
			return nil
		}
		return []any{state, after}
	},
}

// checkZone checks the attempts on the zone for linearizability. An order without a definite result
// may be applied at any time until an opposite order is acknowledged that was sent after the caller
// gave up on the first.
func (h *simHistory) checkZone() porcupine.CheckResult {
	attempts := slices.DeleteFunc(slices.Clone(h.attempts), func(op porcupine.Operation) bool { return op.Input.(simInput).zone == "" })
	bounded := slices.Clone(attempts)
	for i, op := range attempts {
		if op.Output.(simOutput).definite() {
			continue
		}
		bounded[i].Return = math.MaxInt64
		for _, other := range attempts {
			in := other.Input.(simInput)
			opposite := !in.read && in.zone != op.Input.(simInput).zone && other.Output.(simOutput).status == http.StatusOK
			if opposite && other.Call > op.Return {
				bounded[i].Return = min(bounded[i].Return, other.Return)
			}
		}
	}
	return porcupine.CheckOperationsTimeout(zoneModel.ToModel(), bounded, 20*time.Second)
}

// String returns the number of attempts for each status, for the log.
func (h *simHistory) String() string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(h.countByStatus)) {
		parts = append(parts, fmt.Sprint(h.countByStatus[status], " ended ", status))
	}
	return strings.Join(parts, ", ")
}

// Operators send changes with few names, versions and contents, and repeat them at other
// control-plane nodes if a response is lost, while nodes restart, are cut off, and have their state
// replaced by snapshots. The results must fit a single order of all calls in which each version has
// one content, and reads must show it.
func TestOrderHistories(t *testing.T) {
	counts := playSeeds(t, *orderFirstSeed, *orderSeedCount, func(t *testing.T, seed uint64) map[int]int {
		h := simulateOrders(t, seed, "")
		require.Equal(t, porcupine.Ok, h.checkOrders(), "%v", h)
		require.Equal(t, porcupine.Ok, h.checkZone(), "%v", h)
		return h.countByStatus
	})
	require.Greater(t, min(counts[http.StatusOK], counts[http.StatusConflict], counts[0]), 4*int(*orderSeedCount))
}

// The linearizability check detects planted faults from the operators' results alone.
func TestOrderHistoriesFindPlanted(t *testing.T) {
	for _, planted := range []fault{historyLost, equalVersionAccepted, supersededRefused} {
		t.Run(string(planted), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); ; seed++ {
				require.Less(t, seed, uint64(30), "fault not detected")
				if simulateOrders(t, seed, planted).checkOrders() == porcupine.Illegal {
					t.Log("seed", seed)
					return
				}
			}
		})
	}
}

// An order for a zone is delayed between control-plane nodes. Its caller gives up, and the zone is
// evacuated and returned through another node. The delayed order must not evacuate the zone again.
func TestZoneOrderThatWasHeldUp(t *testing.T) {
	for planted, evacuated := range map[fault]bool{"": false, lateZoneOrderApplied: true} {
		t.Run(string(planted), func(t *testing.T) {
			holdForwarded(t, planted, func(s *sim, follower, other int, release func()) {
				status, _ := s.call(s.faultRNG, follower, http.MethodPost, "/api/drain-zone/"+simZone, nil)
				require.NotEqual(t, http.StatusOK, status)
				status, _ = s.call(s.faultRNG, other, http.MethodPost, "/api/drain-zone/"+simZone, nil)
				require.Equal(t, http.StatusOK, status)
				status, _ = s.call(s.faultRNG, other, http.MethodDelete, "/api/drain-zone/"+simZone, nil)
				require.Equal(t, http.StatusOK, status)
				release()
				_, body := s.readZone(other)
				require.Equal(t, fmt.Sprint(evacuated), string(body))
			})
		})
	}
}
