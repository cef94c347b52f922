package controlplane

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// Whoever follows the steps from any index that it may have, has what was agreed on, or has to ask for the whole.
func TestStepsLeadToWhatWasAgreedOn(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	table := newTable(func() {})
	had := []*state{table.now.Load()}
	followed := 0
	for index := uint64(1); index < 600; index++ {
		o := meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", r.IntN(3))}
		switch r.IntN(6) {
		case 0:
			o.Op = meshconfig.OpReturn
		case 1:
			o = meshconfig.Order{Op: "none"}
		case 2, 3, 4:
			filler := make([]byte, r.IntN(100))
			if r.IntN(20) == 0 {
				filler = make([]byte, r.IntN(pushedBytes*3/2))
			}
			for i := range filler {
				filler[i] = 'x'
			}
			o = meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[{"item_kind":"services","metadata":`+
				`{"name":"s%d","version":"%08x"},"body":{"health_path":"/%s"}}]}}`, r.IntN(9), r.IntN(600), filler)}
		}
		table.Apply(index, encodeOrder(&o))
		now := table.now.Load()
		if now != had[len(had)-1] {
			had = append(had, now)
		}
		size := 0
		for _, s := range now.steps {
			size += len(s.Order.Body)
		}
		require.LessOrEqual(t, len(now.steps), mostSteps)
		require.LessOrEqual(t, size, min(max(now.config.TextSize(), pushedBytes), mostStepBytes))
		require.LessOrEqual(t, now.config.TextSize(), len(now.config.Encode()))
		require.LessOrEqual(t, sizeOf(now.pushed(had[r.IntN(len(had))].index)), pushedBytes)

		old := had[r.IntN(len(had))]
		if r.IntN(3) > 0 {
			old = had[max(0, len(had)-1-r.IntN(10))]
		}
		steps := now.since(old.index)
		if len(steps) == 0 {
			continue
		}
		followed++
		config, at := old.config, old.index
		for _, s := range steps {
			require.Equal(t, at, s.Before)
			var err error
			config, err = config.ApplyOrder(&s.Order)
			require.NoError(t, err)
			at = s.Index
		}
		require.Equal(t, now.index, at)
		require.Equal(t, now.config.Digest(), config.Digest())
		require.Equal(t, now.config.Encode(), config.Encode())
	}
	require.Greater(t, followed, 200)
}

// TestLargeChangeIsSentAsSteps provokes CONFIG on a grown deployment: each agent has all but a large
// change and the small ones after it, asks for what it lacks, and is not sent the whole. An agent
// that does not trust what it has is.
func TestLargeChangeIsSentAsSteps(t *testing.T) {
	table := tableOf(t, 2000)
	before := table.now.Load()
	table.Apply(2, encodeOrder(routesOrder(2000, 1000, 1)))
	table.Apply(3, encodeOrder(routeOrder(1, 3)))
	now := table.now.Load()
	require.Greater(t, sizeOf(now.steps), pushedBytes)

	c := &Core{table: table}
	f := &feed{known: true, have: before.index, dirty: map[string]bool{}}
	down, raw := c.next(f)
	require.Empty(t, down.Steps, "a large step from each core machine")
	require.Empty(t, raw)
	f.want, f.since = now.index, before.index
	down, raw = c.next(f)
	require.True(t, down.RawSteps)
	require.Less(t, len(raw), len(now.encoded())/2)
	steps, err := transport.DecodeSteps(raw)
	require.NoError(t, err)
	config := before.config
	for _, s := range steps {
		config, err = config.ApplyOrder(&s.Order)
		require.NoError(t, err)
	}
	require.Equal(t, down.Digest, config.Digest())

	f.want, f.since = now.index, 0
	down, raw = c.next(f)
	require.False(t, down.RawSteps)
	require.Equal(t, now.encoded(), raw)

	for _, since := range []uint64{before.index, 0} { // an agent that takes it compressed gets the same
		f.want, f.since, f.deflate = now.index, since, false
		_, plain := c.next(f)
		f.want, f.deflate = now.index, true
		down, raw = c.next(f)
		require.Equal(t, since != 0, down.RawSteps)
		require.True(t, down.Deflated)
		require.EqualValues(t, len(raw), down.Raw)
		require.Less(t, len(raw), len(plain)/5)
		whole, err := transport.Decompress(raw, int64(len(plain)))
		require.NoError(t, err)
		require.True(t, bytes.Equal(plain, whole))
		_, err = transport.Decompress(raw, int64(len(plain))-1)
		require.Error(t, err, "more than may be")
		_, err = transport.Decompress(raw[:len(raw)-1], int64(len(plain)))
		require.Error(t, err, "cut short")
	}
	for index := uint64(4); index < 40; index++ { // each as large as a tenth of the whole
		table.Apply(index, encodeOrder(routesOrder(0, 300, int(index))))
		size := table.now.Load().config.TextSize()
		require.LessOrEqual(t, sizeOf(table.now.Load().steps), size)
	}
	require.Empty(t, table.now.Load().since(before.index), "more than the whole is kept of steps")
}

// TestBatchShowsItsEndOnly has a table carry out orders as after a start: nobody sees a state in
// between, and the steps lead from the state before to the one after.
func TestBatchShowsItsEndOnly(t *testing.T) {
	changes := 0
	table := newTable(func() { changes++ })
	before := table.now.Load()
	table.Batch(func() {
		for index := uint64(1); index <= 100; index++ {
			table.Apply(index, encodeOrder(&meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", index)}))
			require.Same(t, before, table.now.Load())
		}
	}, false)
	require.Same(t, before, table.now.Load(), "more follow at once")
	table.Batch(func() {}, true)
	now := table.now.Load()
	require.Equal(t, 1, changes)
	require.EqualValues(t, 100, now.index)
	require.Len(t, now.since(0), 100)
	table.Batch(func() {}, true)
	require.Equal(t, 1, changes, "nothing has changed")
}
