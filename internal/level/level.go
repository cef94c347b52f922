// Package level implements named levels of reduced service. It selects the level of an instance
// from measured values and decides which requests the level refuses before they reach the decision
// module. It does no I/O, has no clock and starts no goroutines.
//
// The levels are ordered above normal service. A Controller is given a sample of measured values at
// regular intervals (Update). It enters the next level when any value reaches an entry threshold of
// that level, and returns to the level below when all values have cleared the exit thresholds. Exit
// thresholds are easier to meet than entry thresholds, so that a value that fluctuates around a
// threshold changes nothing. The level changes by one step at a time, except in emergencies, and is
// kept for at least its dwell time.
//
// While a level is in force, the values it relieves look healthy, so they do not show whether the
// cause is gone. After its dwell time the level is therefore left only if the rate of requests,
// refused ones included, is no higher than the rate that was answered in time when the level was
// entered. At a higher rate it is left on trial, after a dwell time that doubles each time the
// level had to be entered again soon afterwards. With n levels and a dwell time of d there are thus
// at most 2t/d + n changes in any time t, not counting changes by operators: each step down takes a
// dwell time, and all but n steps up follow a step down.
//
// A value that is missing or too old meets no condition, so the level stays. The one exception is a
// level that refuses all requests, so that nothing can be measured. It is left on trial after its
// dwell time.
package level

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"example.org/micaline/internal/limit"
)

// Normal is the name of full service, below all levels.
const Normal = "normal"

const (
	// MaxLevels is the largest number of levels above normal service.
	MaxLevels = 8
	// MaxHistory is the number of changes that are kept.
	MaxHistory = 64

	sampleWindow      = 5    // samples over which shares are computed; a single sample is too noisy
	minRequests       = 10   // least number of requests for which a share is computed
	maxDwellDoublings = 3    // limit on how often the dwell time is doubled
	retryJitter       = 0.25 // largest relative increase of the retry time
)

// Sample holds the values measured since the previous sample, and the values at this moment.
type Sample struct {
	Completed      int           // requests that the decision module has completed
	InAim          int           // completed requests that were answered within the target latency
	Refused        int           // completed requests that the decision module refused
	Shed           int           // requests that the level refused
	Pressure       float64       // share of ordinary requests that the decision module sheds; negative if unknown
	ListAge        time.Duration // time since the last message from discovery; negative if unknown
	Backends       int           // backends listed as ready; 0 if unknown
	Ejected        int           // ready backends that are ejected for at least one class
	AgentLateness  float64       // delay of the agent, relative to the shortest target latency
	WithdrawnSites float64       // share of the sites that are withdrawn
}

// Change is a change of the level, or the start or the end of a hold.
type Change struct {
	At       time.Duration
	From, To string
	Reason   string
}

// Refusal explains why a request is refused.
type Refusal struct {
	Level, Reason string
	// RetryAfter is when the client may retry: the soonest that the level may be left, plus jitter
	// of up to a quarter.
	RetryAfter time.Duration
}

// Controller selects the level of one instance. It is not safe for concurrent use.
type Controller struct {
	levels           []resolvedLevel // the first one is normal service
	config           Config
	guaranteedShares []float64 // of the accounts, by position
	rng              *rand.Rand
	recentRequests   limit.TenantMix

	current         int             // position of the current level in levels
	enteredAt       time.Duration   // when the current level was entered
	lastLeftAt      time.Duration   // when a level was last left for the one below
	reentries       int             // how often in a row a level was entered again soon after that
	samples         []Sample        // the samples in the window, oldest first
	reachedAt       []time.Duration // by level: when an entry threshold was reached; -1: it is not
	answeredAtEntry []float64       // by level: requests per sample answered in time at its entry
	held            bool            // whether operators hold the level
	holdUntil       time.Duration   // end of the hold
	history         []Change
	refusals        []RefusalCount // one entry for each level and reason
}

// resolvedLevel is a level with its refused classes by position.
type resolvedLevel struct {
	Level
	shedsClass []bool
}

// New returns a Controller in normal service. The classes and accounts of the service are
// identified by their positions. The configuration must have been validated for the service.
func New(c *Config, s *Service, seed uint64, now time.Duration) *Controller {
	controller := &Controller{
		config: *c, guaranteedShares: s.Portions, rng: rand.New(rand.NewPCG(seed, 1)), recentRequests: limit.NewTenantMix(len(s.Portions)), enteredAt: now,
		levels: []resolvedLevel{{Level: Level{Name: Normal}, shedsClass: make([]bool, len(s.Classes))}}, reachedAt: make([]time.Duration, len(c.Level)+1),
		answeredAtEntry: make([]float64, len(c.Level)+1),
	}
	for _, l := range c.Level {
		resolved := resolvedLevel{Level: l, shedsClass: make([]bool, len(s.Classes))}
		for i, class := range s.Classes {
			for _, name := range l.Shed {
				resolved.shedsClass[i] = resolved.shedsClass[i] || name == class.Name
			}
		}
		controller.levels = append(controller.levels, resolved)
	}
	for i := range controller.reachedAt {
		controller.reachedAt[i] = -1
	}
	return controller
}

// Allowed returns what the current level allows the decision module to do.
func (c *Controller) Allowed() Allowed {
	l := &c.levels[c.current]
	return Allowed{Hedges: !l.NoSecondCopies, Retries: !l.NoRetries, Probes: !l.NoProbes}
}

// Allowed is what the decision module may do.
type Allowed struct{ Hedges, Retries, Probes bool }

// Admit decides whether a request may go on to the decision module. It returns nil if so. It must
// be called for every request, because it also measures the shares of the accounts.
func (c *Controller) Admit(now time.Duration, class, account, bodyBytes int) *Refusal {
	share := c.relativeShare(account)
	l := &c.levels[c.current]
	reason := ""
	switch {
	case class >= 0 && class < len(l.shedsClass) && l.shedsClass[class] && c.rng.Float64() < l.Part:
		reason = "class"
	case l.MostBody > 0 && bodyBytes > l.MostBody:
		reason = "body size"
	case l.OverShare > 0 && share > l.OverShare:
		reason = "account over its share"
	default:
		return nil
	}
	c.countRefusal(l.Name, reason)
	return &Refusal{Level: l.Name, Reason: reason, RetryAfter: c.retryAfter(now)}
}

// RefusalCount counts the requests that a level has refused for one reason.
type RefusalCount struct {
	Level, Reason string
	Count         int64
}

func (c *Controller) countRefusal(level, reason string) {
	for i := range c.refusals {
		if r := &c.refusals[i]; r.Level == level && r.Reason == reason {
			r.Count++
			return
		}
	}
	c.refusals = append(c.refusals, RefusalCount{level, reason, 1})
}

// relativeShare counts a request and returns the recent requests of its account relative to the
// account's guaranteed share.
func (c *Controller) relativeShare(account int) float64 {
	if account < 0 || account >= len(c.guaranteedShares) || !(c.guaranteedShares[account] > 0) {
		return 1
	}
	guaranteed := c.guaranteedShares[account]
	return c.recentRequests.AddRequest(account, guaranteed)
}

// retryAfter returns when a refused client may retry. The jitter keeps clients that were refused
// together from returning together.
func (c *Controller) retryAfter(now time.Duration) time.Duration {
	earliest := c.enteredAt + c.minDwell()
	if c.held {
		earliest = c.holdUntil
	}
	wait := max(earliest-now, c.config.Every.D())
	return wait + time.Duration(retryJitter*c.rng.Float64()*float64(wait))
}

// minDwell returns the least time that the current level is kept.
func (c *Controller) minDwell() time.Duration {
	return c.config.Dwell.D() << min(c.reentries, maxDwellDoublings)
}

// Update evaluates a new sample. It returns the change of level, or nil if there is none.
func (c *Controller) Update(now time.Duration, sample Sample) *Change {
	if c.samples = append(c.samples, sample); len(c.samples) > sampleWindow {
		c.samples = c.samples[1:]
	}
	measured := c.currentReadings()
	for i := range c.levels[1:] {
		switch reached, _ := c.levels[i+1].Enter.anyReached(&measured); {
		case !reached:
			c.reachedAt[i+1] = -1
		case c.reachedAt[i+1] < 0:
			c.reachedAt[i+1] = now
		}
	}
	if c.held {
		if now < c.holdUntil {
			return nil
		}
		c.held = false
		return c.changeLevel(now, c.current, "the hold is over")
	}
	for target := len(c.levels) - 1; target > c.current; target-- {
		if reached, reason := c.levels[target].Emergency.anyReached(&measured); reached {
			return c.changeLevel(now, target, "emergency: "+reason)
		}
	}
	if target := c.current + 1; target < len(c.levels) {
		l := &c.levels[target]
		if reached, reason := l.Enter.anyReached(&measured); reached && now-c.reachedAt[target] >= l.After.D() {
			return c.changeLevel(now, target, reason)
		}
	}
	if c.current > 0 && now-c.enteredAt >= c.minDwell() {
		if measured.allShed {
			return c.changeLevel(now, c.current-1, "on trial: all requests are refused, so nothing can be measured")
		}
	}
	if c.current > 0 && now-c.enteredAt >= c.config.Dwell.D() {
		loadFits := measured.requestsPerSample <= c.answeredAtEntry[c.current]
		if cleared, reason := c.levels[c.current].Exit.allCleared(&measured); cleared && (loadFits || now-c.enteredAt >= c.minDwell()) {
			if loadFits {
				reason = strings.TrimPrefix(fmt.Sprintf("%s, %.1f requests per sample, %.1f were answered in time", reason, measured.requestsPerSample, c.answeredAtEntry[c.current]), ", ")
			} else {
				reason = strings.TrimPrefix(reason+", on trial", ", ")
			}
			return c.changeLevel(now, c.current-1, reason)
		}
	}
	return nil
}

// changeLevel moves to a level. Samples from before the change do not count for the new level.
func (c *Controller) changeLevel(now time.Duration, target int, reason string) *Change {
	change := Change{At: now, From: c.levels[c.current].Name, To: c.levels[target].Name, Reason: reason}
	switch {
	case target > c.current:
		// Entering the level again soon after leaving it shows that its cause had remained, and
		// that the values looked healthy only because of the level.
		if c.lastLeftAt > 0 && now-c.lastLeftAt < 2*c.minDwell() {
			c.reentries++
		} else {
			c.reentries = 0
		}
		measured := c.currentReadings()
		for i := c.current + 1; i <= target; i++ {
			if c.answeredAtEntry[i] = 0; measured.inAim != nil {
				c.answeredAtEntry[i] = measured.requestsPerSample * *measured.inAim
			}
		}
	case target < c.current:
		c.lastLeftAt = now
	}
	if target != c.current {
		c.current, c.enteredAt, c.samples = target, now, nil
		for i := range c.reachedAt {
			c.reachedAt[i] = -1
		}
	}
	if c.history = append(c.history, change); len(c.history) > MaxHistory {
		c.history = c.history[1:]
	}
	return &change
}

// Hold keeps a level for the given duration, whatever the measured values are. It returns an error
// if the level or the duration is invalid.
func (c *Controller) Hold(now time.Duration, name string, duration time.Duration, reason string) (*Change, error) {
	if duration <= 0 || duration > MaxHold {
		return nil, fmt.Errorf("a hold lasts at most %v, not %v", MaxHold, duration)
	}
	for i := range c.levels {
		if c.levels[i].Name == name {
			c.held, c.holdUntil = true, now+duration
			return c.changeLevel(now, i, fmt.Sprintf("held for %v: %s", duration, reason)), nil
		}
	}
	return nil, fmt.Errorf("there is no level %.80q", name)
}

// Release ends a hold. The level stays until the measured values change it.
func (c *Controller) Release(now time.Duration) *Change {
	if !c.held {
		return nil
	}
	c.held = false
	return c.changeLevel(now, c.current, "released by an operator")
}

// Status is the state of a Controller for display.
type Status struct {
	Level     string
	Levels    []string      // from normal service up
	Since     time.Duration // when the current level was entered
	MinDwell  time.Duration // least time in the current level, including doublings
	HeldUntil time.Duration // end of a hold; 0: there is none
	Readings  []string      // the measured values as text, including unknown ones
	Refusals  []RefusalCount
	History   []Change // oldest first
}

// Status returns the current status, which shares no memory with the Controller.
func (c *Controller) Status() Status {
	status := Status{Level: c.levels[c.current].Name, Since: c.enteredAt, MinDwell: c.minDwell()}
	if c.held {
		status.HeldUntil = c.holdUntil
	}
	for i := range c.levels {
		status.Levels = append(status.Levels, c.levels[i].Name)
	}
	measured := c.currentReadings()
	status.Readings = measured.describe()
	status.Refusals = append(status.Refusals, c.refusals...)
	status.History = append(status.History, c.history...)
	return status
}
