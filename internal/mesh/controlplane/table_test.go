package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/stretchr/testify/require"
)

// randomOrders returns an operator's calls: items that are set, removed, outdated or invalid, and
// zones that are evacuated and returned.
func randomOrders(rng *rand.Rand) (orders []meshconfig.Order) {
	for range 40 {
		order := meshconfig.Order{Op: []string{meshconfig.OpEvacuate, meshconfig.OpReturn, meshconfig.OpPatch}[min(rng.IntN(6), 2)], Zone: fmt.Sprint("z", rng.IntN(3))}
		if order.Op == meshconfig.OpPatch {
			lists := map[string][]string{}
			for range 1 + rng.IntN(4) {
				kind, n := []string{"services", "routes"}[rng.IntN(2)], rng.IntN(3)
				metadata := fmt.Sprintf(`"name":"%s%d","version":"%08x"`, kind, n, 1+rng.IntN(30))
				body := fmt.Sprintf(`"warmup":"%ds"`, rng.IntN(9))
				if kind == "routes" { // its service may be unknown and its kind invalid
					body = fmt.Sprintf(`"domain":"d","path_start":"/%d/","kind":"%s","service":"services%d"`,
						rng.IntN(5), []string{"safe", "unsafe", "odd"}[rng.IntN(3)*rng.IntN(2)], rng.IntN(3))
				}
				if rng.IntN(4) == 0 {
					lists[kind] = append(lists[kind], "{"+metadata+"}")
				} else {
					lists["add"] = append(lists["add"], fmt.Sprintf(`{"item_kind":"%s","metadata":{%s},"body":{%s}}`, kind, metadata, body))
				}
			}
			join := func(name string) string { return strings.Join(lists[name], ",") }
			order.Body = fmt.Appendf(nil, `{"add":{"items":[%s]},"remove":{"routes":[%s],"services":[%s]}}`, join("add"), join("routes"), join("services"))
			if rng.IntN(12) == 0 {
				order.Body = order.Body[:rng.IntN(len(order.Body))]
			}
		}
		orders = append(orders, order)
	}
	return orders
}

// Checks the rule CONFIG of package meshtest on the table alone, where the order of all calls is
// known: an invalid call has no effect, members agree whether they applied the orders one by one or
// restored a snapshot, a repeated order changes nothing more, and an order without effect notifies
// no agents.
func TestTable(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(100) {
		rng, changes := rand.New(rand.NewPCG(seed, 4)), 0
		table, restored := newTable(func() { changes++ }), newTable(func() {})
		orders := randomOrders(rng)
		restoreAt := rng.IntN(len(orders))
		for i, order := range orders {
			before, changesBefore := table.published.Load(), changes
			text := encodedText(before)
			command := encodeOrder(&order)
			reply := table.Apply(uint64(i+1), command)
			after := table.published.Load()
			require.Equal(t, text, encodedText(before), "seed %d: a published state changed", seed)
			require.Equal(t, before != after, changesBefore != changes, "seed %d", seed)
			if patch, err := meshconfig.ParsePatch(order.Body); order.Op != meshconfig.OpPatch {
				require.Equal(t, order.Op == meshconfig.OpEvacuate, after.config.Evacuated(order.Zone), "seed %d", seed)
			} else {
				if err == nil {
					_, _, err = before.config.Apply(patch)
				}
				require.Equal(t, err != nil, len(reply) > 0, "seed %d: an invalid call was acknowledged, or a valid one was not", seed)
			}
			if len(reply) > 0 {
				outcomes["invalid"]++
				require.Same(t, before, after, "seed %d: an invalid call changed something: %s", seed, reply)
			}
			if before != after {
				outcomes["changed"]++
				require.Equal(t, uint64(i+1), after.index)
				require.NotEqual(t, text, encodedText(after), "seed %d: published without a change", seed)
			}
			if rng.IntN(4) == 0 { // a call without a definite result is repeated
				require.Equal(t, reply, table.Apply(uint64(i+1), command))
				require.Same(t, after, table.published.Load(), "seed %d: the same call changed something twice", seed)
			}
			if i == restoreAt { // the snapshot replaces the earlier state
				require.NoError(t, restored.Restore(uint64(i+1), table.Snapshot()))
			} else if i > restoreAt || rng.IntN(2) == 0 {
				restored.Apply(uint64(i+1), command)
			}
		}
		require.Equal(t, table.Snapshot(), restored.Snapshot(), "seed %d: a restored member differs", seed)
		require.Error(t, restored.Restore(1, table.Snapshot()[:20]))
	}
	require.Greater(t, min(outcomes["invalid"], outcomes["changed"]), 500)
}

// encodedText returns a state as it is sent to agents.
func encodedText(s *configState) string {
	return string(s.encodedConfig())
}
