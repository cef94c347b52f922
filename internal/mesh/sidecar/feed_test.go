package sidecar

import (
	"testing"

	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/registry"
	"example.org/micaline/internal/mesh/transport"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// TestReadyOnlyWithProof has an agent start that hears a configuration from a core machine that is
// cut off, and the proof of a later one from another.
func TestReadyOnlyWithProof(t *testing.T) {
	order := meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: "z"}
	config, err := meshconfig.New().ApplyOrder(&order)
	require.NoError(t, err)
	down := func(index uint64) *transport.CoreUpdate {
		return &transport.CoreUpdate{Index: index, Digest: config.Digest(), Steps: []transport.ConfigStep{{Index: index, Order: order}}}
	}
	a := &Agent{config: meshconfig.New(), table: registry.New(), feeds: map[string]*feed{}, commands: make(chan func(), queue), life: 1,
		log: &log.Logger{Handler: discard.Default}}
	stale, sound := &feed{core: "a", woken: make(chan struct{}, 1)}, &feed{core: "b", woken: make(chan struct{}, 1)}
	a.feeds["a"], a.feeds["b"] = stale, sound
	a.hear(stale, down(3), nil)
	require.EqualValues(t, 3, a.index)
	require.False(t, a.proven, "nobody has said that this is current")
	a.hear(sound, &transport.CoreUpdate{Index: 5, Fresh: 1}, nil)
	require.False(t, a.proven, "it does not have what is current")
	a.hear(stale, &transport.CoreUpdate{Index: 3}, nil)
	require.False(t, a.proven)
	a.hear(sound, &transport.CoreUpdate{Index: 5, Digest: config.Digest(), Steps: []transport.ConfigStep{{Before: 3, Index: 5, Order: order}}}, nil)
	require.True(t, a.proven)
}

// TestFeedsFollowEveryList has an agent hear a core machine that is cut off from the others, and
// names the members of before two replacements, behind one that names those of now.
func TestFeedsFollowEveryList(t *testing.T) {
	stale, now, seeds := []string{"a", "b", "c"}, []string{"c", "d", "e"}, []string{"a", "b", "c"}
	for _, lists := range [][][]string{{stale, now}, {now, stale}} {
		want := wantedCores(lists, seeds, mostFeeds)
		for _, core := range now {
			require.Contains(t, want, core)
		}
	}
	many := [][]string{now, now, {"f", "g", "h", "i", "j", "k", "l", "m"}}
	want := wantedCores(many, seeds, mostFeeds)
	require.Len(t, want, mostFeeds)
	require.Equal(t, now, want[:3], "those that most name come first")
	require.Equal(t, seeds, wantedCores(nil, seeds, mostFeeds))
}

// TestListsOfTheHeard has the lists hold of those core machines that are heard, and the last ones
// where none is.
func TestListsOfTheHeard(t *testing.T) {
	a := &Agent{feeds: map[string]*feed{
		"a": {core: "a", alive: true, cores: []string{"a", "b"}},
		"d": {core: "d", alive: true, cores: []string{"d", "e"}},
	}}
	require.ElementsMatch(t, [][]string{{"a", "b"}, {"d", "e"}}, a.told())
	a.feeds["a"].alive = false
	require.Equal(t, [][]string{{"d", "e"}}, a.told())
	a.feeds["d"].alive = false
	require.Equal(t, [][]string{{"d", "e"}}, a.told(), "cut off from all, it goes on with what it has")
}
