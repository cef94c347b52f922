package processtest

import (
	"fmt"
	"slices"
	"strings"

	"example.org/micaline/internal/scenario"
)

// mostPlays bounds the plays of a reduction: a day with processes takes its length.
const mostPlays = 24

// Reduce cuts a day that fails down to faults that matter, as far as so many plays can tell. Fails says whether a day still does. It is
// delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002): without a part of the faults, the parts
// ever smaller, until none can be left out. What fails by chance may be cut too far or too little; the day that is returned has failed.
func Reduce(s *scenario.Scenario, fails func(*scenario.Scenario) bool) *scenario.Scenario {
	best := *s
	plays, parts := 0, 2
	for len(best.Faults) > 1 && parts <= len(best.Faults) {
		size := (len(best.Faults) + parts - 1) / parts
		cut := false
		for from := 0; from < len(best.Faults) && !cut; from += size {
			if plays++; plays > mostPlays {
				return &best
			}
			less := best
			less.Faults = slices.Delete(slices.Clone(best.Faults), from, min(from+size, len(best.Faults)))
			if cut = fails(&less); cut {
				best = less
			}
		}
		switch {
		case cut:
			parts = max(2, parts-1)
		case parts == len(best.Faults):
			return &best
		default:
			parts = min(2*parts, len(best.Faults))
		}
	}
	return &best
}

// Faults are those of a day, a line each.
func Faults(s *scenario.Scenario) string {
	var b strings.Builder
	for i := range s.Faults {
		f := &s.Faults[i]
		fmt.Fprintf(&b, "%s zone=%q at=%v for=%v share=%v count=%d size=%v times=%d\n", f.Kind, f.Zone, f.At.D(), f.For.D(), f.Share, f.Count, f.Size, max(1, f.Times))
	}
	return b.String()
}
