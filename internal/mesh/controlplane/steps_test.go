package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
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
				filler = make([]byte, r.IntN(mostStepBytes*3/2))
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
		require.LessOrEqual(t, size, mostStepBytes)

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
			config, err = config.Carry(&s.Order)
			require.NoError(t, err)
			at = s.Index
		}
		require.Equal(t, now.index, at)
		require.Equal(t, now.config.Digest(), config.Digest())
		require.Equal(t, now.config.Encode(), config.Encode())
	}
	require.Greater(t, followed, 200)
}
