package outbound

import (
	"sync"
	"time"
)

// ages tells how long a client has waited for a request already, over its tries before this one. A
// client names its tries anew, so each looks like a new request but for the time that it still has:
// a first try of a route has the most. Danger: without it those that come back after a refusal,
// past their aim, take the slots of those that may yet be in time, who then come back late too.
//
// It holds two generations of the routes that were asked for. A client that never waits as long as
// others of its route is taken for an old one: it waits for no slot where there is none free, no
// more.
type waitEstimator struct {
	mu          sync.Mutex
	rotatedAt   time.Time
	longestLeft [2]map[string]time.Duration // time left of first tries, by route
}

const estimateGeneration = 10 * time.Second

// of takes in how much time a try of a route has left, and returns for how long its client has
// waited.
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
