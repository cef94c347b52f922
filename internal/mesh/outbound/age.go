package outbound

import (
	"sync"
	"time"
)

// waitEstimator estimates how long a client has already waited for a request in tries before this
// one. Each try has an id of its own, so the only sign of earlier tries is the remaining time that
// the client states: the first tries of a route have the most. Without the estimate, clients that
// return after a refusal, too late for the target latency, would take the slots of those that can
// still be served in time, which then return late too.
//
// The longest remaining times are kept by route, in two generations. A client that always waits
// less than others of its route is taken for one that has waited before. The only consequence is
// that it doesn't queue when no slot is free.
type waitEstimator struct {
	mu          sync.Mutex
	rotatedAt   time.Time                   // of the current generation
	longestLeft [2]map[string]time.Duration // longest remaining time by route; the current generation comes first
}

// estimateGeneration is how long a generation lasts. A route's longest remaining time is kept for
// one to two of these.
const estimateGeneration = 10 * time.Second

// timeWaited records the remaining time of a try on a route, and returns how long its client has
// already waited.
func (e *waitEstimator) timeWaited(now time.Time, route string, remaining time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.longestLeft[0] == nil || now.Sub(e.rotatedAt) >= estimateGeneration {
		e.longestLeft[0], e.longestLeft[1], e.rotatedAt = map[string]time.Duration{}, e.longestLeft[0], now
	}
	if remaining > e.longestLeft[0][route] {
		e.longestLeft[0][route] = remaining
	}
	return max(e.longestLeft[0][route], e.longestLeft[1][route]) - remaining
}
