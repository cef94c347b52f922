package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// batchTable records the applied indexes, and how many there were each time the table was
// published.
type batchTable struct {
	applied   []uint64
	published []int
}

func (t *batchTable) Apply(index uint64, _ []byte) []byte {
	t.applied = append(t.applied, index)
	return nil
}

func (t *batchTable) Batch(apply func(), publish bool) {
	apply()
	if publish {
		t.published = append(t.published, len(t.applied))
	}
}

func (t *batchTable) Snapshot() []byte             { return nil }
func (t *batchTable) Restore(uint64, []byte) error { return nil }

// Entries committed after the node's snapshot are applied once each, and the table is published
// once per batch.
func TestEntriesAreAppliedInBatches(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: new(Machine), tableIndex: 1}
	require.NoError(t, node.updateTable(&Output{Apply: []Entry{{Index: 1, Origin: 1}, {Index: 2, Origin: 1}, {Index: 3}, {Index: 4, Origin: 1}}}))
	require.Equal(t, []uint64{2, 4}, table.applied, "each command once, and no entry without a command")
	require.Equal(t, []int{2}, table.published)
	require.EqualValues(t, 4, node.tableIndex)
}

// A node that falls behind under a constant load publishes its table at the end of each backlog,
// and whenever a proposal or a read completes. Otherwise the table would never be published under
// such a load.
func TestBacklogIsShownAtItsEnd(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: &Machine{commitIndex: 3}}
	applyNext := func(done ...Completion) {
		node.machine.appliedIndex++
		require.NoError(t, node.updateTable(&Output{Apply: []Entry{{Index: node.machine.appliedIndex, Origin: 1}}, MoreToApply: true, Completions: done}))
		node.machine.commitIndex++ // the node stays behind
	}
	for range 3 {
		applyNext()
	}
	require.Equal(t, []int{3}, table.published)
	applyNext(Completion{ID: 1})
	require.Equal(t, []int{3, 4}, table.published, "a completed proposal is visible to its caller")
	applyNext()
	applyNext()
	require.Equal(t, []int{3, 4, 5}, table.published, "the second backlog consists of the 5 entries that were committed when the first one ended")
}

// All nodes restart with a backlog of committed commands. Two of them need longer than an election
// timeout to apply it, each a different time. Applying must not delay heartbeats, so the first
// elected leader stays.
func TestBacklogHoldsUpNoHeartbeat(t *testing.T) {
	const backlog = 60
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		for i := range backlog {
			require.NoError(m, m.propose(leaderName, fmt.Sprint(i), time.Second))
		}
		m.stopAll()
		m.applyDelays = map[string]time.Duration{"a": 41 * time.Millisecond, "b": 19 * time.Millisecond}
		for name := range m.dirs {
			m.start(name)
		}
		var elected Status
		m.waitUntil("a leader", func() bool {
			elected = m.nodes["c"].Status()
			return elected.Leader != ""
		})
		for name, node := range m.nodes {
			m.waitUntil("all commands are applied", func() bool { return node.Read(m.Context()) == nil })
			require.Len(m, m.tables[name].appliedLines(), backlog)
			require.EqualValues(m, elected.Term, node.Status().Term, "%s: the term changed after the election of %s", name, elected.Leader)
		}
	})
}
