package change

import (
	"fmt"
	"time"
)

// Service is how well instances serve, summed up over some of them and some time.
type Service struct {
	Requests, InAim, Refused, Failed float64
}

// Add sums up.
func (s *Service) Add(o Service) {
	s.Requests += o.Requests
	s.InAim += o.InAim
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// Limits are the stop conditions of a rollout, and how its waves grow.
type Limits struct {
	Canaries int           // instances of the first wave
	Growth   float64       // each further wave is so many times larger
	Bake     time.Duration // that a wave is watched before the next
	// Shares that may be worse after a wave than before it, on the instances that it changed.
	MoreRefused, MoreFailed, LessInAim float64
	// Least is how many requests it takes to judge; with fewer the wave is watched on, up to Patience.
	Least    float64
	Patience time.Duration
	// MayFail is the share of a wave's instances that may end otherwise than applied.
	MayFail float64
}

// Verdict is what to do after a look at a wave.
type Verdict uint8

// The verdicts.
const (
	WatchOn  Verdict = iota
	NextWave         // or, after the last, the end
	Stop             // and roll back
)

// Waves returns how many of n instances each wave holds.
func (l *Limits) Waves(n int) (sizes []int) {
	size := float64(max(1, l.Canaries))
	for n > 0 {
		k := min(n, int(size))
		sizes = append(sizes, k)
		n -= k
		size *= max(1, l.Growth)
	}
	return sizes
}

// Judge looks at a wave: how its instances ended, what they served in the time before the change and since it, and for
// how long that is. Danger: an instance that says nothing must not hold the wave up; it counts as one that failed.
func (l *Limits) Judge(ended []State, before, since Service, watched time.Duration) (Verdict, string) {
	bad := 0
	for _, s := range ended {
		if s != Done {
			bad++
		}
	}
	if float64(bad) > l.MayFail*float64(len(ended)) {
		return Stop, fmt.Sprintf("%d of %d instances did not apply it", bad, len(ended))
	}
	if since.Requests >= l.Least && since.Requests > 0 {
		share := func(s Service, v float64) float64 { return v / max(1, s.Requests) }
		for _, c := range []struct {
			what  string
			worse float64
			may   float64
		}{
			{"refused", share(since, since.Refused) - share(before, before.Refused), l.MoreRefused},
			{"failed", share(since, since.Failed) - share(before, before.Failed), l.MoreFailed},
			{"served in aim", share(before, before.InAim) - share(since, since.InAim), l.LessInAim},
		} {
			// Where nothing was asked before there is nothing to compare with, and what is asked is judged by itself.
			if c.what == "served in aim" && before.Requests < l.Least {
				continue
			}
			if c.worse > c.may {
				return Stop, fmt.Sprintf("the share %s is worse by %.1f%%, and %.1f%% is allowed", c.what, 100*c.worse, 100*c.may)
			}
		}
	}
	switch {
	case watched < l.Bake:
		return WatchOn, ""
	case since.Requests < l.Least && watched < l.Patience:
		return WatchOn, "too few requests to judge"
	}
	return NextWave, ""
}
