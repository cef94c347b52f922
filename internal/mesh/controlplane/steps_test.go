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

// An agent that follows the steps from any index gets the committed configuration, or has to
// request the complete one.
func TestStepsLeadToWhatWasAgreedOn(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := newTable(func() {})
	versions := []*configState{table.published.Load()}
	followed := 0
	for index := uint64(1); index < 600; index++ {
		order := meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", rng.IntN(3))}
		switch rng.IntN(6) {
		case 0:
			order.Op = meshconfig.OpReturn
		case 1:
			order = meshconfig.Order{Op: "none"}
		case 2, 3, 4:
			filler := make([]byte, rng.IntN(100))
			if rng.IntN(20) == 0 {
				filler = make([]byte, rng.IntN(maxPushedBytes*3/2))
			}
			for i := range filler {
				filler[i] = 'x'
			}
			order = meshconfig.Order{Op: meshconfig.OpPatch, Body: fmt.Appendf(nil, `{"add":{"items":[{"item_kind":"services","metadata":`+
				`{"name":"s%d","version":"%08x"},"body":{"health_path":"/%s"}}]}}`, rng.IntN(9), rng.IntN(600), filler)}
		}
		table.Apply(index, encodeOrder(&order))
		latest := table.published.Load()
		if latest != versions[len(versions)-1] {
			versions = append(versions, latest)
		}
		size := 0
		for _, step := range latest.steps {
			size += len(step.Order.Body)
		}
		require.LessOrEqual(t, len(latest.steps), maxSteps)
		require.LessOrEqual(t, size, min(max(latest.config.TextSize(), maxPushedBytes), maxStepBytes))
		require.LessOrEqual(t, latest.config.TextSize(), len(latest.config.Encode()))
		require.LessOrEqual(t, stepsSize(latest.pushedSteps(versions[rng.IntN(len(versions))].index)), maxPushedBytes)

		base := versions[rng.IntN(len(versions))]
		if rng.IntN(3) > 0 {
			base = versions[max(0, len(versions)-1-rng.IntN(10))]
		}
		steps := latest.stepsFrom(base.index)
		if len(steps) == 0 {
			continue
		}
		followed++
		config, current := base.config, base.index
		for _, step := range steps {
			require.Equal(t, current, step.Before)
			var err error
			config, err = config.ApplyOrder(&step.Order)
			require.NoError(t, err)
			current = step.Index
		}
		require.Equal(t, latest.index, current)
		require.Equal(t, latest.config.Digest(), config.Digest())
		require.Equal(t, latest.config.Encode(), config.Encode())
	}
	require.Greater(t, followed, 200)
}

// After a large change in a large deployment, each agent requests the steps that it lacks and is
// not sent the complete configuration, unless it does not trust its own (rule CONFIG of package
// meshtest).
func TestLargeChangeIsSentAsSteps(t *testing.T) {
	table := tableWithRoutes(t, 2000)
	before := table.published.Load()
	table.Apply(2, encodeOrder(routesOrder(2000, 1000, 1)))
	table.Apply(3, encodeOrder(routeOrder(1, 3)))
	latest := table.published.Load()
	require.Greater(t, stepsSize(latest.steps), maxPushedBytes)

	c := &Core{table: table}
	f := &feed{announced: true, configIndex: before.index, pendingStations: map[string]bool{}}
	update, raw := c.nextUpdate(f)
	require.Empty(t, update.Steps, "large steps are not pushed by each node")
	require.Empty(t, raw)
	f.wantedIndex, f.wantedSince = latest.index, before.index
	update, raw = c.nextUpdate(f)
	require.True(t, update.RawSteps)
	require.Less(t, len(raw), len(latest.encodedConfig())/2)
	steps, err := transport.DecodeSteps(raw)
	require.NoError(t, err)
	config := before.config
	for _, step := range steps {
		config, err = config.ApplyOrder(&step.Order)
		require.NoError(t, err)
	}
	require.Equal(t, update.Digest, config.Digest())

	f.wantedIndex, f.wantedSince = latest.index, 0
	update, raw = c.nextUpdate(f)
	require.False(t, update.RawSteps)
	require.Equal(t, latest.encodedConfig(), raw)

	for _, since := range []uint64{before.index, 0} { // the compressed response has the same content
		f.wantedIndex, f.wantedSince, f.acceptsDeflate = latest.index, since, false
		_, plain := c.nextUpdate(f)
		f.wantedIndex, f.acceptsDeflate = latest.index, true
		update, raw = c.nextUpdate(f)
		require.Equal(t, since != 0, update.RawSteps)
		require.True(t, update.Deflated)
		require.EqualValues(t, len(raw), update.Raw)
		require.Less(t, len(raw), len(plain)/5)
		decompressed, err := transport.Decompress(raw, int64(len(plain)))
		require.NoError(t, err)
		require.True(t, bytes.Equal(plain, decompressed))
		_, err = transport.Decompress(raw, int64(len(plain))-1)
		require.Error(t, err, "larger than the limit")
		_, err = transport.Decompress(raw[:len(raw)-1], int64(len(plain)))
		require.Error(t, err, "truncated")
	}
	for index := uint64(4); index < 40; index++ { // each is as large as a tenth of the configuration
		table.Apply(index, encodeOrder(routesOrder(0, 300, int(index))))
		size := table.published.Load().config.TextSize()
		require.LessOrEqual(t, stepsSize(table.published.Load().steps), size)
	}
	require.Empty(t, table.published.Load().stepsFrom(before.index), "the steps that are kept exceed the configuration")
}

// During a batch of orders, as after a start, no intermediate state is published. The steps lead
// from the state before the batch to the one after it.
func TestBatchShowsItsEndOnly(t *testing.T) {
	changes := 0
	table := newTable(func() { changes++ })
	before := table.published.Load()
	table.Batch(func() {
		for index := uint64(1); index <= 100; index++ {
			table.Apply(index, encodeOrder(&meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: fmt.Sprint("zone", index)}))
			require.Same(t, before, table.published.Load())
		}
	}, false)
	require.Same(t, before, table.published.Load(), "another batch follows")
	table.Batch(func() {}, true)
	after := table.published.Load()
	require.Equal(t, 1, changes)
	require.EqualValues(t, 100, after.index)
	require.Len(t, after.stepsFrom(0), 100)
	table.Batch(func() {}, true)
	require.Equal(t, 1, changes, "published without a change")
}
