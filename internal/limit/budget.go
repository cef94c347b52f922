package limit

import (
	"slices"
	"time"
)

// maxTimestamps is the most timestamps that a RetryBudget keeps of requests, and of retries. The
// oldest are dropped, so that fewer retries are allowed than the budget would permit.
const maxTimestamps = 4096

// RetryBudget counts requests and retries in a sliding window. The zero value is empty. Retries add
// to the overload that causes them; a budget in proportion to the requests stops that.
type RetryBudget struct {
	requests, retries timestamps
}

// AddRequest counts a request.
func (b *RetryBudget) AddRequest(now time.Duration) { b.requests.add(now) }

// AddRetry counts an attempt beyond a request's first.
func (b *RetryBudget) AddRetry(now time.Duration) { b.retries.add(now) }

// RequestsSince returns how many requests arrived at a time or later.
func (b *RetryBudget) RequestsSince(from time.Duration) int { return b.requests.countSince(from) }

// Allows says whether one more retry is within the budget. In any window the budget is a floor,
// plus a ratio for each request.
func (b *RetryBudget) Allows(now, window time.Duration, floor, ratio float64) bool {
	spent, allowed := b.Usage(now, window, floor, ratio)
	return float64(spent+1) <= allowed
}

// Usage returns the number of retries in the window that ends now, and how many the budget allows
// there.
func (b *RetryBudget) Usage(now, window time.Duration, floor, ratio float64) (spent int, allowed float64) {
	from := now - window
	// At the start of the window a retry counts and a request does not, so that the budget holds
	// whether or not the window includes its start.
	requests, retries := b.requests.countSince(from+1), b.retries.countSince(from)
	return retries, min(floor+ratio*float64(requests), maxTimestamps/2)
}

// timestamps are in ascending order.
type timestamps []time.Duration

func (t *timestamps) add(at time.Duration) {
	if len(*t) >= maxTimestamps {
		*t = append((*t)[:0], (*t)[maxTimestamps/2:]...)
	}
	*t = append(*t, at)
}

// countSince returns the number of timestamps at a time or later.
func (t timestamps) countSince(from time.Duration) int {
	i, _ := slices.BinarySearch(t, from)
	return len(t) - i
}
