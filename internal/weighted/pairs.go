package weighted

// epsilonShare is the part of the bound on epsilon that is used: at either end of the range some
// server gets no requests from one of its pairs.
const epsilonShare = 0.5

// PairWeights appends the running sums of the weights of neighboring pairs to sums. It implements
// He and Down's line variant of limited choice for servers of unequal speed, which are given in the
// order of the line. The weight of a pair is the speed of its first server plus epsilon, and that
// of the last pair is the rest, so that the weights add up to all speeds. Epsilon is below the
// bound at which a pair, or the part of a pair that one of its servers gets, would become negative.
// Fewer than two servers have no pairs.
func PairWeights(speeds []float64, sums PrefixSums) PrefixSums {
	n := len(speeds)
	if n < 2 {
		return sums
	}
	epsilon := 0.0
	if n > 2 {
		bound := (speeds[n-1] + speeds[n-2]) / float64(n-2)
		for j := 1; j < n-1; j++ {
			bound = min(bound, speeds[j]/float64(j))
		}
		epsilon = epsilonShare * bound
	}
	for j, speed := range speeds[:n-1] {
		if j == n-2 {
			epsilon = speeds[n-1] - float64(n-2)*epsilon
		}
		sums = sums.Append(speed + epsilon)
	}
	return sums
}
