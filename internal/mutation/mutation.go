// Package mutation shows that an explorer can fail: bugs that are planted on purpose, each with the property named beforehand that
// finds it.
package mutation

import (
	"slices"
	"strings"
	"testing"
)

// Each plays seeds with each bug until one of the bug's properties, which are parted by bars, is found broken. What play returns
// begins with the property's name and a colon.
func Each(t *testing.T, bugs map[string]string, seeds uint64, play func(seed uint64, bug string) []string) {
	for bug, properties := range bugs {
		t.Run(bug, func(t *testing.T) {
			t.Parallel()
			untilBroken(t, properties, seeds, func(seed uint64) []string { return play(seed, bug) })
		})
	}
}

// EachInTurn is Each for plays that set something of the whole process, such as its source of randomness: they run one after
// another.
func EachInTurn(t *testing.T, bugs map[string]string, seeds uint64, play func(t *testing.T, seed uint64, bug string) []string) {
	for bug, properties := range bugs {
		t.Run(bug, func(t *testing.T) {
			untilBroken(t, properties, seeds, func(seed uint64) []string { return play(t, seed, bug) })
		})
	}
}

// untilBroken plays seeds until one of the properties is found broken, and fails if none does.
func untilBroken(t *testing.T, properties string, seeds uint64, play func(seed uint64) []string) {
	t.Helper()
	broken := func(found string) bool {
		name, _, _ := strings.Cut(found, ":")
		return slices.Contains(strings.Split(properties, "|"), name)
	}
	for seed := range seeds {
		if slices.ContainsFunc(play(seed), broken) {
			return
		}
	}
	t.Errorf("%s still holds", properties)
}
