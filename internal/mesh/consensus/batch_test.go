package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// batchTable keeps what is applied, and how much of it each time that it is shown.
type batchTable struct {
	applied   []uint64
	published []int
}

func (t *batchTable) Apply(index uint64, _ []byte) []byte {
	t.applied = append(t.applied, index)
	return nil
}

func (t *batchTable) Batch(apply func(), show bool) {
	apply()
	if show {
		t.published = append(t.published, len(t.applied))
	}
}

func (t *batchTable) Snapshot() []byte             { return nil }
func (t *batchTable) Restore(uint64, []byte) error { return nil }

// TestEntriesAreAppliedInBatches has a node carry out what was committed since its snapshot.
func TestEntriesAreAppliedInBatches(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: new(Machine), tableAt: 1}
	require.NoError(t, node.bring(&Output{Apply: []Entry{{Index: 1, Origin: 1}, {Index: 2, Origin: 1}, {Index: 3}, {Index: 4, Origin: 1}}}))
	require.Equal(t, []uint64{2, 4}, table.applied, "each once, and none that has no command")
	require.Equal(t, []int{2}, table.published)
	require.EqualValues(t, 4, node.tableAt)
}

// TestBacklogIsShownAtItsEnd has a node fall behind while orders never cease: the table is shown where
// each backlog ends, and whenever somebody is told that something is done.
func TestBacklogIsShownAtItsEnd(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: &Machine{commitIndex: 3}}
	next := func(done ...Completion) {
		node.machine.appliedIndex++
		require.NoError(t, node.bring(&Output{Apply: []Entry{{Index: node.machine.appliedIndex, Origin: 1}}, MoreToApply: true, Completions: done}))
		node.machine.commitIndex++ // never reached
	}
	for range 3 {
		next()
	}
	require.Equal(t, []int{3}, table.published)
	next(Completion{ID: 1})
	require.Equal(t, []int{3, 4}, table.published, "who waits for it finds it")
	next()
	next()
	require.Equal(t, []int{3, 4, 5}, table.published, "5 were committed when the first backlog ended")
}

// TestBacklogHoldsUpNoHeartbeat has all nodes start with orders to carry out, for which two of them
// need longer than an election waits, and not equally long. Whoever is elected first stays.
func TestBacklogHoldsUpNoHeartbeat(t *testing.T) {
	const backlog = 60
	withTrio(t, func(m *trio) {
		leads := m.leader()
		for i := range backlog {
			require.NoError(m, m.propose(leads, fmt.Sprint(i), time.Second))
		}
		m.stopAll()
		m.applying = map[string]time.Duration{"a": 41 * time.Millisecond, "b": 19 * time.Millisecond}
		for name := range m.dirs {
			m.start(name)
		}
		var elected Status
		m.until("a leader", func() bool {
			elected = m.nodes["c"].Status()
			return elected.Leader != ""
		})
		for name, node := range m.nodes {
			m.until("all is carried out", func() bool { return node.Read(m.Context()) == nil })
			require.Len(m, m.tables[name].get(), backlog)
			require.EqualValues(m, elected.Term, node.Status().Term, "%s: somebody else was elected than %s", name, elected.Leader)
		}
	})
}
