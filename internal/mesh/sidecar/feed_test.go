package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"
)

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
