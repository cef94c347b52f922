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
type ages struct {
	mu     sync.Mutex
	turned time.Time
	most   [2]map[string]time.Duration // time left of first tries, by route
}

const generation = 10 * time.Second

// of takes in how much time a try of a route has left, and returns for how long its client has
// waited.
func (a *ages) of(now time.Time, route string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.most[0] == nil || now.Sub(a.turned) >= generation {
		a.most[0], a.most[1], a.turned = map[string]time.Duration{}, a.most[0], now
	}
	if left > a.most[0][route] {
		a.most[0][route] = left
	}
	return max(a.most[0][route], a.most[1][route]) - left
}
