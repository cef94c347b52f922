// Package weighted draws by weight and averages by weight.
package weighted

import "slices"

// Sums are running sums of weights, for draws by weight in logarithmic time.
type Sums []float64

// Add appends a weight.
func (s Sums) Add(weight float64) Sums { return append(s, s.Span(0, len(s))+weight) }

// Span is the sum of the weights i to j-1, those that exist.
func (s Sums) Span(i, j int) float64 {
	upTo := func(k int) float64 {
		if k = min(k, len(s)); k <= 0 {
			return 0
		}
		return s[k-1]
	}
	return upTo(j) - upTo(i)
}

// Pick draws an index by weight, u being uniform in [0, 1). There must be a weight.
func (s Sums) Pick(u float64) int {
	i, _ := slices.BinarySearch(s, u*s[len(s)-1])
	return min(i, len(s)-1)
}
