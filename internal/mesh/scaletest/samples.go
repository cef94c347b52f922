package scaletest

import (
	"fmt"
	"slices"
	"time"
)

// samples are times that were measured.
type samples []time.Duration

func (s *samples) add(d time.Duration)     { *s = append(*s, d) }
func (s *samples) take(of []time.Duration) { *s = append(*s, of...) }

func (s samples) String() string {
	if len(s) == 0 {
		return "n=0"
	}
	sorted := slices.Clone(s)
	slices.Sort(sorted)
	at := func(part float64) float64 { return sorted[int(part*float64(len(sorted)-1))].Seconds() * 1e3 }
	return fmt.Sprintf("n=%d p50_ms=%.1f p99_ms=%.1f max_ms=%.1f", len(s), at(0.5), at(0.99), at(1))
}
