package consensus

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// batchTable keeps what is applied, and how much of it each time that it is shown.
type batchTable struct {
	applied []uint64
	shown   []int
}

func (t *batchTable) Apply(index uint64, _ []byte) []byte {
	t.applied = append(t.applied, index)
	return nil
}

func (t *batchTable) Batch(apply func(), show bool) {
	apply()
	if show {
		t.shown = append(t.shown, len(t.applied))
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
	require.Equal(t, []int{2}, table.shown)
	require.EqualValues(t, 4, node.tableAt)
}

// TestBacklogIsShownAtItsEnd has a node fall behind while orders never cease: the table is shown where
// each backlog ends, and whenever somebody is told that something is done.
func TestBacklogIsShownAtItsEnd(t *testing.T) {
	table := &batchTable{}
	node := &Node{options: Options{Table: table}, machine: &Machine{commit: 3}}
	next := func(done ...Done) {
		node.machine.applied++
		require.NoError(t, node.bring(&Output{Apply: []Entry{{Index: node.machine.applied, Origin: 1}}, Behind: true, Done: done}))
		node.machine.commit++ // never reached
	}
	for range 3 {
		next()
	}
	require.Equal(t, []int{3}, table.shown)
	next(Done{ID: 1})
	require.Equal(t, []int{3, 4}, table.shown, "who waits for it finds it")
	next()
	next()
	require.Equal(t, []int{3, 4, 5}, table.shown, "5 were committed when the first backlog ended")
}

// slowTable is a table on a machine with little of a processor.
type slowTable struct {
	lines
	applying time.Duration // of an entry
}

func (l *slowTable) Apply(index uint64, command []byte) []byte {
	<-time.After(l.applying)
	return l.lines.Apply(index, command)
}

// TestBacklogHoldsUpNoHeartbeat has all nodes start with 200 orders to carry out, for which two of them
// need longer than an election waits, and not equally long. Whoever is elected first stays.
func TestBacklogHoldsUpNoHeartbeat(t *testing.T) {
	const orders = 200
	applying := map[string]time.Duration{"a": 20 * time.Millisecond, "b": 10 * time.Millisecond, "c": 0}
	dirs := map[string]string{}
	for name := range applying {
		dirs[name] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		net := &network{nodes: map[string]*Node{}}
		nodes := map[string]*Node{}
		start := func(first bool, applying map[string]time.Duration) {
			for name, dir := range dirs {
				node, err := Start(Options{Self: name, Seeds: []string{"a", "b", "c"}, FirstStart: first, Dir: dir, Send: net.send,
					Table: &slowTable{applying: applying[name]}, Log: &log.Logger{Handler: discard.Default}})
				require.NoError(t, err)
				nodes[name] = node
				net.set(name, node)
			}
		}
		stop := func() {
			for name, node := range nodes {
				net.set(name, nil)
				require.NoError(t, node.Close())
			}
		}
		until := func(holds func() bool) {
			for end := time.Now().Add(time.Minute); !holds(); {
				require.Less(t, time.Now(), end)
				<-time.After(50 * time.Millisecond)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start(true, nil)
		for i := range orders {
			until(func() bool {
				_, err := nodes["a"].Propose(ctx, fmt.Append(nil, i))
				return err == nil
			})
		}
		stop()
		<-time.After(time.Second) // nothing is under way any more
		start(false, applying)
		defer stop()
		var elected Status
		until(func() bool {
			elected = nodes["c"].Status()
			return elected.Leader != ""
		})
		for name, node := range nodes {
			until(func() bool { return node.Read(ctx) == nil })
			require.EqualValues(t, elected.Term, node.Status().Term, "%s: somebody else was elected than %s", name, elected.Leader)
		}
	})
}
