package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/micaline/policy"
)

// The load alternates in bursts of two seconds. Whether the loss of a site can be carried must not
// depend on the moment at which it is computed.
func TestPlanGoesBySustainedLoad(t *testing.T) {
	const servers, capacity = 3, 4.0
	utilizationRange := func(meanInFlight float64) (lowest, highest float64) {
		m := New(Settings{Names: []string{"a", "b", "c"}}, 1, 0)
		var serverList []Server
		for i := range servers {
			serverList = append(serverList, Server{ID: policy.ServerID(i + 1), Site: i, Ready: true})
		}
		m.SetServers(0, serverList)
		lowest = 1e9
		for sample := range 300 {
			loads := make([]Load, servers)
			for i := range loads {
				loads[i] = Load{ID: policy.ServerID(i + 1), Capacity: capacity}
				if sample/10%2 == 0 {
					loads[i].InFlight = 2 * meanInFlight
				}
			}
			now := time.Duration(sample) * 100 * time.Millisecond
			m.Evaluate(now, loads)
			if sample >= 30 {
				utilization := m.lossImpact(0).Utilization
				lowest, highest = min(lowest, utilization), max(highest, utilization)
			}
		}
		return lowest, highest
	}
	_, highest := utilizationRange(1.6)
	require.Less(t, highest, MaxUtilization, "a load that would use 60% of the other sites' capacity")
	lowest, _ := utilizationRange(3.2)
	require.Greater(t, lowest, MaxUtilization, "a load that would use 120% of the other sites' capacity")
}
