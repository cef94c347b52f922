// Package weighted has weighted random choice and weighted averages.
package weighted

import "slices"

// PrefixSums are running sums of weights, for weighted random choice in logarithmic time.
type PrefixSums []float64

// Append appends a weight.
func (s PrefixSums) Append(weight float64) PrefixSums { return append(s, s.RangeSum(0, len(s))+weight) }

// RangeSum returns the sum of the weights i to j-1; those out of range count as 0.
func (s PrefixSums) RangeSum(i, j int) float64 {
	prefix := func(k int) float64 {
		if k = min(k, len(s)); k <= 0 {
			return 0
		}
		return s[k-1]
	}
	return prefix(j) - prefix(i)
}

// Pick returns an index with a probability in proportion to its weight, u being uniform in [0, 1).
// There must be a weight.
func (s PrefixSums) Pick(u float64) int {
	i, _ := slices.BinarySearch(s, u*s[len(s)-1])
	return min(i, len(s)-1)
}
