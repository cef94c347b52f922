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

// TestReadyOnlyWithProof starts an agent that receives a configuration from a partitioned
// control-plane node, and the proof of a later one from another node. The older configuration must
// not count as proven.
func TestReadyOnlyWithProof(t *testing.T) {
	order := meshconfig.Order{Op: meshconfig.OpEvacuate, Zone: "z"}
	config, err := meshconfig.New().ApplyOrder(&order)
	require.NoError(t, err)
	update := func(index uint64) *transport.CoreUpdate {
		return &transport.CoreUpdate{Index: index, Digest: config.Digest(), Steps: []transport.ConfigStep{{Index: index, Order: order}}}
	}
	a := &Agent{config: meshconfig.New(), table: registry.New(), feeds: map[string]*feed{}, commands: make(chan func(), commandQueueSize), life: 1,
		log: &log.Logger{Handler: discard.Default}}
	stale, current := &feed{address: "a", wakeup: make(chan struct{}, 1)}, &feed{address: "b", wakeup: make(chan struct{}, 1)}
	a.feeds["a"], a.feeds["b"] = stale, current
	a.handleUpdate(stale, update(3), nil)
	require.EqualValues(t, 3, a.configIndex)
	require.False(t, a.configProven, "no node has proven that this is current")
	a.handleUpdate(current, &transport.CoreUpdate{Index: 5, Fresh: 1}, nil)
	require.False(t, a.configProven, "the agent does not have the current configuration")
	a.handleUpdate(stale, &transport.CoreUpdate{Index: 3}, nil)
	require.False(t, a.configProven)
	a.handleUpdate(current, &transport.CoreUpdate{Index: 5, Digest: config.Digest(), Steps: []transport.ConfigStep{{Before: 3, Index: 5, Order: order}}}, nil)
	require.True(t, a.configProven)
}

// TestFeedsFollowEveryList checks that an agent keeps feeds to all current members while a
// partitioned node still sends the members from before two replacements.
func TestFeedsFollowEveryList(t *testing.T) {
	stale, current, seeds := []string{"a", "b", "c"}, []string{"c", "d", "e"}, []string{"a", "b", "c"}
	for _, lists := range [][][]string{{stale, current}, {current, stale}} {
		want := selectFeedTargets(lists, seeds, maxFeeds)
		for _, core := range current {
			require.Contains(t, want, core)
		}
	}
	many := [][]string{current, current, {"f", "g", "h", "i", "j", "k", "l", "m"}}
	want := selectFeedTargets(many, seeds, maxFeeds)
	require.Len(t, want, maxFeeds)
	require.Equal(t, current, want[:3], "nodes in most lists come first")
	require.Equal(t, seeds, selectFeedTargets(nil, seeds, maxFeeds))
}

// TestListsOfTheHeard checks that the member lists of connected nodes are used, and the last known
// lists if no node is connected.
func TestListsOfTheHeard(t *testing.T) {
	a := &Agent{feeds: map[string]*feed{
		"a": {address: "a", connected: true, members: []string{"a", "b"}},
		"d": {address: "d", connected: true, members: []string{"d", "e"}},
	}}
	require.ElementsMatch(t, [][]string{{"a", "b"}, {"d", "e"}}, a.currentMemberLists())
	a.feeds["a"].connected = false
	require.Equal(t, [][]string{{"d", "e"}}, a.currentMemberLists())
	a.feeds["d"].connected = false
	require.Equal(t, [][]string{{"d", "e"}}, a.currentMemberLists(), "without contact to any node, the last known lists are used")
}
