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
	"testing/synctest"
	"time"

	"example.org/micaline/internal/mesh/consensus"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

var (
	orderFirst = flag.Uint64("order-first", 0, "first seed of the operators' histories")
	orderSeeds = flag.Uint64("order-seeds", 4, "how many seeds")
)

// simInput is a call of an operator, or one try of it.
type simInput struct {
	items []simItem
	read  bool
	zone  string // the method of an order for the zone; as a read: it is the zone that is read
}

// simOutput is what an operator saw. Of a try without a clear answer it saw nothing: it may hold.
type simOutput struct {
	status int
	items  map[string]simItem // of a read
	zone   bool               // of a read: it is evacuated
}

// simHistory is what all operators saw, try by try.
type simHistory struct {
	mu    sync.Mutex
	tries []porcupine.Operation
	count map[int]int // by status
}

func (h *simHistory) add(in simInput, sent, ended time.Duration, status int, answer []byte) {
	out := simOutput{status: status}
	switch {
	case !in.read || status != http.StatusOK:
	case in.zone == "":
		out.items = itemsOf(answer)
	default:
		out.zone = string(answer) == "true"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count == nil {
		h.count = map[int]int{}
	}
	h.count[status]++
	// A 503 says that the try did not hold and never will.
	if status == http.StatusServiceUnavailable || in.read && status != http.StatusOK {
		return
	}
	// Two tries may end and begin at one moment of virtual time; the end comes first then.
	op := porcupine.Operation{ClientId: len(h.tries), Input: in, Output: out, Call: int64(sent)*2 + 1, Return: int64(ended) * 2}
	if op.Return < op.Call {
		op.Return = op.Call
	}
	h.tries = append(h.tries, op)
}

func (o simOutput) clear() bool { return o.status != 0 && o.status < http.StatusInternalServerError }

// configModel is the configuration with the identity of all that was ever confirmed.
type configModel struct {
	held   map[string]simItem // the newest of each name, drops included
	claims map[simClaim]int   // the content of each version
}

type simClaim struct {
	name    string
	version uint64
}

func (m configModel) contradicts(items []simItem) bool {
	within := make(map[simClaim]int)
	for _, i := range items {
		claim := simClaim{i.Name, i.Version}
		if content, known := m.claims[claim]; known && content != i.Content {
			return true
		}
		if content, known := within[claim]; known && content != i.Content {
			return true
		}
		within[claim] = i.Content
	}
	return false
}

func (m configModel) confirm(items []simItem) configModel {
	next := configModel{maps.Clone(m.held), maps.Clone(m.claims)}
	for _, i := range items {
		next.claims[simClaim{i.Name, i.Version}] = i.Content
		if i.Version > next.held[i.Name].Version {
			next.held[i.Name] = i
		}
	}
	return next
}

func (m configModel) standing() map[string]simItem {
	items := make(map[string]simItem)
	for name, i := range m.held {
		if i.Content != 0 {
			items[name] = i
		}
	}
	return items
}

var orderModel = porcupine.Model{
	Init: func() any { return configModel{map[string]simItem{}, map[simClaim]int{}} },
	Step: func(state, input, output any) (bool, any) {
		m, in, out := state.(configModel), input.(simInput), output.(simOutput)
		if in.read {
			return maps.Equal(out.items, m.standing()), m
		}
		contradicts := m.contradicts(in.items)
		switch {
		case out.status == http.StatusOK:
			return !contradicts, m.confirm(in.items)
		case out.clear(): // a refusal
			return contradicts, m
		case contradicts:
			return true, m
		}
		return true, m.confirm(in.items)
	},
	Equal: func(a, b any) bool {
		one, two := a.(configModel), b.(configModel)
		return maps.Equal(one.held, two.held) && maps.Equal(one.claims, two.claims)
	},
}

// checkOrders judges what operators saw of the configuration.
func (h *simHistory) checkOrders() porcupine.CheckResult {
	all := slices.DeleteFunc(slices.Clone(h.tries), func(op porcupine.Operation) bool { return op.Input.(simInput).zone != "" })
	for i := range all {
		if !all[i].Output.(simOutput).clear() {
			all[i].Return = math.MaxInt64
		}
	}
	return porcupine.CheckOperationsTimeout(orderModel, all, 20*time.Second)
}

// zoneModel is whether the zone is evacuated. An order without a clear answer took or did not.
var zoneModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		in, out := input.(simInput), output.(simOutput)
		after := in.zone == http.MethodPost
		switch {
		case in.read && out.zone != state.(bool):
			return nil
		case in.read:
			return []any{state}
		case out.status == http.StatusOK:
			return []any{after}
		case out.clear(): // an order for a known zone is never refused
			return nil
		}
		return []any{state, after}
	},
}

// checkZone judges what operators saw of the zone. An order without a clear answer may take at any
// time until an opposite one is acknowledged that was sent after its caller had gone on.
func (h *simHistory) checkZone() porcupine.CheckResult {
	all := slices.DeleteFunc(slices.Clone(h.tries), func(op porcupine.Operation) bool { return op.Input.(simInput).zone == "" })
	judged := slices.Clone(all)
	for i, op := range all {
		if op.Output.(simOutput).clear() {
			continue
		}
		judged[i].Return = math.MaxInt64
		for _, other := range all {
			in := other.Input.(simInput)
			opposite := !in.read && in.zone != op.Input.(simInput).zone && other.Output.(simOutput).status == http.StatusOK
			if opposite && other.Call > op.Return {
				judged[i].Return = min(judged[i].Return, other.Return)
			}
		}
	}
	return porcupine.CheckOperationsTimeout(zoneModel.ToModel(), judged, 20*time.Second)
}

// count of each end, for the log.
func (h *simHistory) String() string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(h.count)) {
		parts = append(parts, fmt.Sprint(h.count[status], " ended ", status))
	}
	return strings.Join(parts, ", ")
}

// TestOrderHistories has operators send changes with few names, versions and contents, again and
// again to other core machines where an answer is lost, while core machines are restarted and cut
// off and their state is replaced by snapshots. What they saw must fit one order of all calls in
// which each version has one content, and reads must show it.
func TestOrderHistories(t *testing.T) {
	var mu sync.Mutex
	counts := map[int]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *orderFirst; seed < *orderFirst+*orderSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				h := playOrders(t, seed, "")
				require.Equal(t, porcupine.Ok, h.checkOrders(), "%v", h)
				require.Equal(t, porcupine.Ok, h.checkZone(), "%v", h)
				mu.Lock()
				defer mu.Unlock()
				for status, n := range h.count {
					counts[status] += n
				}
			})
		}
	})
	t.Log(counts)
	require.Greater(t, min(counts[http.StatusOK], counts[http.StatusConflict], counts[0]), 4*int(*orderSeeds))
}

// Planted faults are found by what operators saw alone.
func TestOrderHistoriesFindPlanted(t *testing.T) {
	for _, planted := range []wrong{loseHistory, equalAccepted, overtakenRefused} {
		t.Run(string(planted), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); ; seed++ {
				require.Less(t, seed, uint64(30), "not found")
				if playOrders(t, seed, planted).checkOrders() == porcupine.Illegal {
					t.Log("seed", seed)
					return
				}
			}
		})
	}
}

// An order for a zone is held up between core machines. Its caller goes on, and the zone is returned
// through another one. What was held up then arrives, and must not evacuate the zone again.
func TestZoneOrderThatWasHeldUp(t *testing.T) {
	for planted, evacuated := range map[wrong]bool{"": false, lateZoneOrder: true} {
		t.Run(string(planted), func(t *testing.T) {
			s := newSim(t, 1, planted)
			s.late, s.lost = 0, 0
			synctest.Test(t, func(t *testing.T) {
				s.found(t)
				defer s.end()
				time.Sleep(simLate) // by now somebody leads
				follower := slices.IndexFunc(s.cores, func(c *simCore) bool { return c.core.node.Status().Role == "follower" })
				released := make(chan struct{})
				s.holdUp(func(m consensus.Message) <-chan struct{} {
					if m.Kind == consensus.Forward && m.From == simName(follower) {
						return released
					}
					return nil
				})
				status, _ := s.call(s.rng, follower, http.MethodPost, "/api/drain-zone/"+simZone, nil)
				require.NotEqual(t, http.StatusOK, status)
				other := (follower + 1) % simCores
				status, _ = s.call(s.rng, other, http.MethodPost, "/api/drain-zone/"+simZone, nil)
				require.Equal(t, http.StatusOK, status)
				status, _ = s.call(s.rng, other, http.MethodDelete, "/api/drain-zone/"+simZone, nil)
				require.Equal(t, http.StatusOK, status)
				close(released)
				time.Sleep(simPatience)
				_, answer := s.readZone(other)
				require.Equal(t, fmt.Sprint(evacuated), string(answer))
			})
		})
	}
}
