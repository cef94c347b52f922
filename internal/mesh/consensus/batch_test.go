package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// batchTable counts what is applied in each batch.
type batchTable struct {
	applied []uint64
	batches []int
}

func (t *batchTable) Apply(index uint64, _ []byte) []byte {
	t.applied = append(t.applied, index)
	return nil
}

func (t *batchTable) Batch(apply func()) {
	before := len(t.applied)
	apply()
	t.batches = append(t.batches, len(t.applied)-before)
}

func (t *batchTable) Snapshot() []byte             { return nil }
func (t *batchTable) Restore(uint64, []byte) error { return nil }

// TestEntriesAreAppliedInBatches has a node carry out what was committed since its snapshot.
func TestEntriesAreAppliedInBatches(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: new(Machine), tableAt: 1}
	require.NoError(t, node.bring(nil, []Entry{{Index: 1, Origin: 1}, {Index: 2, Origin: 1}, {Index: 3}, {Index: 4, Origin: 1}}))
	require.Equal(t, []uint64{2, 4}, table.applied, "each once, and none that has no command")
	require.Equal(t, []int{2}, table.batches)
	require.EqualValues(t, 4, node.tableAt)
}
