package maintenance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What the loss of a region would move and refuse, the least urgent route first.
func TestPlanRegion(t *testing.T) {
	backends := []Backend{
		{"finder", "a1", "1", 10, 4, true}, {"finder", "a2", "2", 10, 4, true}, {"finder", "b1", "3", 20, 4, true}, {"finder", "b2", "4", 20, 2, false},
		{"ledger", "a1", "5", 10, 9, true}, {"ledger", "b1", "6", 10, 6, true},
		{"docbox", "a2", "7", 10, 0, true},
	}
	routes := []Route{{"book", 0, []string{"ledger"}}, {"status", 3, []string{"ledger"}}, {"search", 2, []string{"finder"}}}
	plan := PlanRegion([]string{"a1", "a2"}, backends, routes)
	require.Equal(t, []string{"docbox", "ledger", "finder"}, []string{plan.Services[0].Service, plan.Services[1].Service, plan.Services[2].Service})
	docbox, ledger, finder := plan.Services[0], plan.Services[1], plan.Services[2]
	require.Equal(t, []any{1.0, 0, 0.0}, []any{docbox.Refused, docbox.Room, docbox.Lost})
	require.InDelta(t, 1.0/3, ledger.Refused, 1e-9, "15 in work, and room for 10")
	require.Equal(t, []RankedRoute{{"status", 3}, {"book", 0}}, ledger.First)
	require.Equal(t, []ZoneCapacity{{"b1", 20, 4}}, finder.To)
	require.Equal(t, []any{8.0, 0.0, 1}, []any{finder.Lost, finder.Refused, finder.Unready})
	require.Empty(t, finder.First)
}
