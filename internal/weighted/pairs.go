package weighted

// epsilonShare is the part of the bound on epsilon that is used: farthest from both ends, where a
// pair starves.
const epsilonShare = 0.5

// Pairs appends the running sums of the weights of a line's pairs, by the speeds of its servers in
// the order of the line: He and Down's line variant of limited choice for servers of unequal speed.
// A pair weighs the speed of its first server plus epsilon, the last pair what remains, so that all
// weights together are all speeds. Epsilon lies below the bound beyond which a pair would weigh
// less than nothing. A line of fewer than two servers has no pairs.
func Pairs(speeds []float64, sums Sums) Sums {
	n := len(speeds)
	if n < 2 {
		return sums
	}
	eps := 0.0
	if n > 2 {
		bound := (speeds[n-1] + speeds[n-2]) / float64(n-2)
		for j := 1; j < n-1; j++ {
			bound = min(bound, speeds[j]/float64(j))
		}
		eps = epsilonShare * bound
	}
	for j, speed := range speeds[:n-1] {
		if j == n-2 {
			eps = speeds[n-1] - float64(n-2)*eps
		}
		sums = sums.Add(speed + eps)
	}
	return sums
}
