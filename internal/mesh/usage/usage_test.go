package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/micaline/internal/mesh/meshtime"
)

const windowLength = 5 * time.Second

// The updates of Counters add up to what they counted, whatever order, losses and repetitions
// occur. A window is complete only once all of its counts have arrived.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			clock := meshtime.New()
			collector := NewCollector()
			agents := []string{"a", "b", "c"}
			counters, sentRevision := map[string]*Counter{}, map[string]uint64{}
			expected := map[int64]map[string]uint64{}
			process := uint64(0)
			for _, agent := range agents {
				process++
				counters[agent] = NewCounter(process, windowLength, clock)
			}
			send := func(agent string) {
				update, revision := counters[agent].ChangesSince(sentRevision[agent])
				collector.Merge(agent, &update)
				sentRevision[agent] = revision
			}
			for range rapid.IntRange(1, 200).Draw(r, "steps") {
				agent := rapid.SampledFrom(agents).Draw(r, "agent")
				tenant := rapid.SampledFrom([]string{"x", "y", ""}).Draw(r, "tenant")
				switch rapid.IntRange(0, 6).Draw(r, "what") {
				case 0, 1, 2:
					id := counters[agent].Add(tenant)
					if rapid.IntRange(0, 4).Draw(r, "undo") == 0 {
						counters[agent].Undo(id)
					} else if tenant != "" {
						window := meshtime.WindowAt(clock.Now(), windowLength)
						if expected[window] == nil {
							expected[window] = map[string]uint64{}
						}
						expected[window][tenant]++
					}
				case 3:
					send(agent)
				case 4:
					sentRevision[agent] = 0 // a new connection: all counts are sent again
				case 5: // the process shuts down gracefully and a new one starts
					send(agent)
					process++
					counters[agent], sentRevision[agent] = NewCounter(process, windowLength, clock), 0
				case 6:
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
				}
			}
			time.Sleep(windowLength + 2*closeDelay)
			lastClosed := counters["a"].LastClosed() // windows close some time after their end
			require.False(t, collector.Complete(lastClosed, agents), "no agent has sent an update since it ended")
			for _, agent := range agents {
				send(agent)
			}
			require.True(t, collector.Complete(lastClosed, agents))
			require.False(t, collector.Complete(lastClosed, append(agents, "d")))
			for window, tenants := range expected {
				if window > lastClosed-MaxPendingWindows {
					require.Equal(t, tenants, collector.Total(window))
				}
			}
			collector.DiscardThrough(lastClosed)
			counters["a"].DiscardThrough(lastClosed)
			update, _ := counters["a"].ChangesSince(0)
			require.Empty(t, update.Parts)
			require.Empty(t, collector.Total(lastClosed))
			require.Equal(t, CountID{}, (*Counter)(nil).Add("x"))
		})
	})
}

// Reports never change. If there are too many, the oldest is discarded.
func TestLedger(t *testing.T) {
	ledger := &Ledger{}
	for window := int64(100); window < 100+MaxOpenReports+3; window++ {
		other := ledger.Clone()
		require.NoError(t, ledger.Finalize(&Report{Window: window}))
		require.Error(t, ledger.Finalize(&Report{Window: window, Counts: map[string]uint64{"x": 1}}))
		require.NoError(t, other.Finalize(&Report{Window: window + 7}), "the clone changes independently")
	}
	require.Len(t, ledger.Open, MaxOpenReports)
	require.Equal(t, []any{int64(103), uint64(3), uint64(0)}, []any{ledger.Open[0].Window, ledger.GaveUp, ledger.Missed})
	require.NoError(t, ledger.MarkAccepted(103))
	require.Error(t, ledger.MarkAccepted(103))
	require.NoError(t, ledger.Finalize(&Report{Window: ledger.Through + 4}))
	require.Equal(t, uint64(3), ledger.Missed)
}
