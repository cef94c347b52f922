package controlplane

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"github.com/stretchr/testify/require"
)

// drawOrders makes calls of the operator: items that are set, dropped, out of date or wrong, and
// zones emptied and returned.
func drawOrders(r *rand.Rand) (orders []meshconfig.Order) {
	for range 40 {
		o := meshconfig.Order{Op: []string{meshconfig.OpEvacuate, meshconfig.OpReturn, meshconfig.OpPatch}[min(r.IntN(6), 2)], Zone: fmt.Sprint("z", r.IntN(3))}
		if o.Op == meshconfig.OpPatch {
			lists := map[string][]string{}
			for range 1 + r.IntN(4) {
				kind, n := []string{"services", "routes"}[r.IntN(2)], r.IntN(3)
				head := fmt.Sprintf(`"name":"%s%d","version":"%08x"`, kind, n, 1+r.IntN(30))
				body := fmt.Sprintf(`"warmup":"%ds"`, r.IntN(9))
				if kind == "routes" { // its service may be unknown, its kind none that there is
					body = fmt.Sprintf(`"domain":"d","path_start":"/%d/","kind":"%s","service":"services%d"`,
						r.IntN(5), []string{"safe", "unsafe", "odd"}[r.IntN(3)*r.IntN(2)], r.IntN(3))
				}
				if r.IntN(4) == 0 {
					lists[kind] = append(lists[kind], "{"+head+"}")
				} else {
					lists["add"] = append(lists["add"], fmt.Sprintf(`{"item_kind":"%s","metadata":{%s},"body":{%s}}`, kind, head, body))
				}
			}
			join := func(name string) string { return strings.Join(lists[name], ",") }
			o.Body = fmt.Appendf(nil, `{"add":{"items":[%s]},"remove":{"routes":[%s],"services":[%s]}}`, join("add"), join("routes"), join("services"))
			if r.IntN(12) == 0 {
				o.Body = o.Body[:r.IntN(len(o.Body))]
			}
		}
		orders = append(orders, o)
	}
	return orders
}

// TestTable provokes CONFIG at the order of all calls: nothing of an invalid call comes into force,
// members agree however they came to know the orders (each alone, or a snapshot of another and the
// rest), an order that is carried out twice changes nothing more, and what no change came of wakes
// nobody.
func TestTable(t *testing.T) {
	counted := map[string]int{}
	for seed := range uint64(100) {
		r, changes := rand.New(rand.NewPCG(seed, 4)), 0
		one, behind := newTable(func() { changes++ }), newTable(func() {})
		orders := drawOrders(r)
		cut := r.IntN(len(orders))
		for i, o := range orders {
			before, woken := one.now.Load(), changes
			text := textOf(before)
			command := encodeOrder(&o)
			reply := one.Apply(uint64(i+1), command)
			after := one.now.Load()
			require.Equal(t, text, textOf(before), "seed %d: a state that was shown changed", seed)
			require.Equal(t, before != after, woken != changes, "seed %d", seed)
			if p, err := meshconfig.ParsePatch(o.Body); o.Op != meshconfig.OpPatch {
				require.Equal(t, o.Op == meshconfig.OpEvacuate, after.config.Evacuated(o.Zone), "seed %d", seed)
			} else {
				if err == nil {
					_, _, err = before.config.Apply(p)
				}
				require.Equal(t, err != nil, len(reply) > 0, "seed %d: an invalid call is acknowledged, or a valid one is not", seed)
			}
			if len(reply) > 0 {
				counted["invalid"]++
				require.Same(t, before, after, "seed %d: an invalid call changed something: %s", seed, reply)
			}
			if before != after {
				counted["changed"]++
				require.Equal(t, uint64(i+1), after.index)
				require.NotEqual(t, text, textOf(after), "seed %d: nothing changed, but agents hear of it", seed)
			}
			if r.IntN(4) == 0 { // a call that got no clear answer comes again
				require.Equal(t, reply, one.Apply(uint64(i+1), command))
				require.Same(t, after, one.now.Load(), "seed %d: the same call changed something twice", seed)
			}
			if i == cut { // what it had by then is replaced
				require.NoError(t, behind.Restore(uint64(i+1), one.Snapshot()))
			} else if i > cut || r.IntN(2) == 0 {
				behind.Apply(uint64(i+1), command)
			}
		}
		require.Equal(t, one.Snapshot(), behind.Snapshot(), "seed %d: a restored member differs", seed)
		require.Error(t, behind.Restore(1, one.Snapshot()[:20]))
	}
	require.Greater(t, min(counted["invalid"], counted["changed"]), 500)
}

// textOf is a state as agents get it.
func textOf(s *state) string {
	return string(s.encoded())
}
