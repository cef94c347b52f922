package limit

import (
	"slices"
	"time"
)

// mostKnown is how many points in time a Budget keeps of each sort, at most. Where more are asked about, the oldest are
// missing, and fewer further attempts are allowed than might be.
const mostKnown = 4096

// Budget counts requests and the attempts beyond each request's first, in a window that slides. The zero value has
// counted nothing. Retries feed the overload that causes them; a budget in proportion to the requests ends that.
type Budget struct {
	taken, extra history
}

// Take counts a request.
func (b *Budget) Take(now time.Duration) { b.taken.add(now) }

// Spend counts an attempt beyond a request's first.
func (b *Budget) Spend(now time.Duration) { b.extra.add(now) }

// Taken is how many requests came at a time or later.
func (b *Budget) Taken(from time.Duration) int { return b.taken.since(from) }

// Allows says whether one more attempt beyond a request's first keeps the budget: in any window at most a floor, and a
// ratio for each request in it.
func (b *Budget) Allows(now, window time.Duration, floor, ratio float64) bool {
	spent, allowed := b.Spent(now, window, floor, ratio)
	return float64(spent+1) <= allowed
}

// Spent is how many attempts beyond each request's first there were in the window, and how many the budget allows in it.
func (b *Budget) Spent(now, window time.Duration, floor, ratio float64) (spent int, allowed float64) {
	from := now - window
	taken, extra := b.taken.since(from+1), b.extra.since(from) // an edge counts against us
	return extra, min(floor+ratio*float64(taken), mostKnown/2)
}

// history keeps when things happened, oldest first.
type history []time.Duration

func (h *history) add(at time.Duration) {
	if len(*h) >= mostKnown {
		*h = append((*h)[:0], (*h)[mostKnown/2:]...)
	}
	*h = append(*h, at)
}

// since counts what happened at a time or later.
func (h history) since(from time.Duration) int {
	i, _ := slices.BinarySearch(h, from)
	return len(h) - i
}
