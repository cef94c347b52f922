package change

import (
	"fmt"
	"time"
)

// Service is how well instances serve, summed up over some of them and some time.
type RequestCounts struct {
	Requests, InAim, Refused, Failed float64
}

// Add sums up.
func (s *RequestCounts) Add(o RequestCounts) {
	s.Requests += o.Requests
	s.InAim += o.InAim
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// Less returns what was counted since an earlier count.
func (s RequestCounts) Sub(o RequestCounts) RequestCounts {
	return RequestCounts{s.Requests - o.Requests, s.InAim - o.InAim, s.Refused - o.Refused, s.Failed - o.Failed}
}

// Limits are the stop conditions of a rollout, and how its waves grow.
type Limits struct {
	Canaries int           `json:"canaries"` // instances of the first wave
	Growth   float64       `json:"growth"`   // each further wave is so many times larger
	Bake     time.Duration `json:"bake"`     // ns that a wave is watched before the next
	// Shares that may be worse after a wave than before it, on the instances that it changed.
	MoreRefused float64 `json:"more_refused"`
	MoreFailed  float64 `json:"more_failed"`
	LessInAim   float64 `json:"less_in_aim"`
	// Least is how many requests it takes to judge; with fewer the wave is watched on, up to Patience (ns).
	Least    float64       `json:"least"`
	Patience time.Duration `json:"patience"`
	// MayFail is the share of a wave's instances that may end otherwise than applied.
	MayFail float64 `json:"may_fail"`
}

// Verdict is what to do after a look at a wave.
type Verdict uint8

// The verdicts.
const (
	KeepWatching Verdict = iota
	NextWave             // or, after the last, the end
	RollBack             // and roll back: the change is bad, or instances refuse it
	Halt                 // and leave what is applied: too many instances can't be reached
)

// Waves returns how many of n instances each wave holds.
func (l *Limits) WaveSizes(n int) (sizes []int) {
	size := float64(max(1, l.Canaries))
	for n > 0 {
		k := min(n, int(size))
		sizes = append(sizes, k)
		n -= k
		size *= max(1, l.Growth)
	}
	return sizes
}

// Counted is how the instances of a wave ended.
type WaveOutcome struct {
	Total   int
	Refused int // they can't use the change, have it in part only, or have died of it
	Lost    int // else not applied: silent, cut off, restarted meanwhile
}

// Judge looks at a wave: how its instances ended, what they served in the time before the change and since it, and for
// how long that is. Danger: an instance that says nothing must not hold the wave up; it counts as one that is lost.
func (l *Limits) Evaluate(ended WaveOutcome, before, since RequestCounts, watched time.Duration) (Verdict, string) {
	may := l.MayFail * float64(ended.Total)
	switch {
	case ended.Total == 0:
		return NextWave, "" // all of it was left out
	case float64(ended.Refused) > may:
		return RollBack, fmt.Sprintf("%d of %d instances refuse it", ended.Refused, ended.Total)
	case float64(ended.Refused+ended.Lost) > may:
		return Halt, fmt.Sprintf("%d of %d instances are lost", ended.Refused+ended.Lost, ended.Total)
	}
	if since.Requests >= l.Least && since.Requests > 0 {
		// A request counts when it comes and its answer when that goes, so that a short time may have more answers than requests.
		share := func(s RequestCounts, v float64) float64 { return min(1, max(0, v/max(1, s.Requests))) }
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
				return RollBack, fmt.Sprintf("the share %s is worse by %.1f%%, and %.1f%% is allowed", c.what, 100*c.worse, 100*c.may)
			}
		}
	}
	switch {
	case watched < l.Bake:
		return KeepWatching, ""
	case since.Requests < l.Least && watched < l.Patience:
		return KeepWatching, "too few requests to judge"
	}
	return NextWave, ""
}
