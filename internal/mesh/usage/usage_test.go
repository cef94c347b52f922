package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/micaline/internal/mesh/meshtime"
)

const length = 5 * time.Second

// What Counters tell in any order of losses and repetitions adds up to what they counted, and a window
// is complete only once all of it has been told.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			clock := meshtime.New()
			collector := NewCollector()
			agents := []string{"a", "b", "c"}
			counters, told := map[string]*Counter{}, map[string]uint64{}
			truth := map[int64]map[string]uint64{}
			process := uint64(0)
			for _, agent := range agents {
				process++
				counters[agent] = NewCounter(process, length, clock)
			}
			tell := func(agent string) {
				u, revision := counters[agent].ChangesSince(told[agent])
				collector.Merge(agent, &u)
				told[agent] = revision
			}
			for range rapid.IntRange(1, 200).Draw(r, "steps") {
				agent := rapid.SampledFrom(agents).Draw(r, "agent")
				tenant := rapid.SampledFrom([]string{"x", "y", ""}).Draw(r, "tenant")
				switch rapid.IntRange(0, 6).Draw(r, "what") {
				case 0, 1, 2:
					m := counters[agent].Add(tenant)
					if rapid.IntRange(0, 4).Draw(r, "undo") == 0 {
						counters[agent].Undo(m)
					} else if tenant != "" {
						w := meshtime.WindowAt(clock.Now(), length)
						if truth[w] == nil {
							truth[w] = map[string]uint64{}
						}
						truth[w][tenant]++
					}
				case 3:
					tell(agent)
				case 4:
					told[agent] = 0 // another connection: all is told again
				case 5: // the process ends in order, and another counts
					tell(agent)
					process++
					counters[agent], told[agent] = NewCounter(process, length, clock), 0
				case 6:
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
				}
			}
			time.Sleep(length + 2*closeAfter)
			last := counters["a"].LastClosed() // not that before now: a window closes some time after its end
			require.False(t, collector.Complete(last, agents), "nobody has told since it ended")
			for _, agent := range agents {
				tell(agent)
			}
			require.True(t, collector.Complete(last, agents))
			require.False(t, collector.Complete(last, append(agents, "d")))
			for w, tenants := range truth {
				if w > last-MaxPendingWindows {
					require.Equal(t, tenants, collector.Total(w))
				}
			}
			collector.DiscardThrough(last)
			counters["a"].DiscardThrough(last)
			u, _ := counters["a"].ChangesSince(0)
			require.Empty(t, u.Parts)
			require.Empty(t, collector.Total(last))
			require.Equal(t, CountID{}, (*Counter)(nil).Add("x"))
		})
	})
}

// No report changes, and of too many the oldest is given up.
func TestLedger(t *testing.T) {
	l := &Ledger{}
	for w := int64(100); w < 100+MaxOpenReports+3; w++ {
		before := l.Clone()
		require.NoError(t, l.Finalize(&Report{Window: w}))
		require.Error(t, l.Finalize(&Report{Window: w, Counts: map[string]uint64{"x": 1}}))
		require.NoError(t, before.Finalize(&Report{Window: w + 7}), "the other ledger goes its own way")
	}
	require.Len(t, l.Open, MaxOpenReports)
	require.Equal(t, []any{int64(103), uint64(3), uint64(0)}, []any{l.Open[0].Window, l.GaveUp, l.Missed})
	require.NoError(t, l.MarkAccepted(103))
	require.Error(t, l.MarkAccepted(103))
	require.NoError(t, l.Finalize(&Report{Window: l.Through + 4}))
	require.Equal(t, uint64(3), l.Missed)
}
