package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/policy"
)

// What is in work comes and goes in bursts of two seconds; whether a site can be spared does not hang
// on the moment at which this is asked.
func TestPlanGoesBySustainedLoad(t *testing.T) {
	const servers, room = 3, 4.0
	bursts := func(held float64) (least, most float64) {
		m := New(Settings{Names: []string{"a", "b", "c"}}, 1, 0)
		var list []Server
		for i := range servers {
			list = append(list, Server{ID: policy.ServerID(i + 1), Site: i, Ready: true})
		}
		m.SetServers(0, list)
		least = 1e9
		for look := range 300 {
			uses := make([]Load, servers)
			for i := range uses {
				uses[i] = Load{ID: policy.ServerID(i + 1), Capacity: room}
				if look/10%2 == 0 {
					uses[i].InFlight = 2 * held
				}
			}
			now := time.Duration(look) * 100 * time.Millisecond
			m.Evaluate(now, uses)
			if look >= 30 {
				after := m.plan(0).Utilization
				least, most = min(least, after), max(most, after)
			}
		}
		return least, most
	}
	_, most := bursts(1.6)
	require.Less(t, most, MaxUtilization, "what would use the others to 60%")
	least, _ := bursts(3.2)
	require.Greater(t, least, MaxUtilization, "what would use them to 120%")
}
