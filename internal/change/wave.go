package change

import (
	"fmt"
	"time"
)

// RequestCounts counts the requests of some instances over some time by their result. InAim counts
// those that were answered within their target latency.
type RequestCounts struct {
	Requests, InAim, Refused, Failed float64
}

// Add adds o to s.
func (s *RequestCounts) Add(o RequestCounts) {
	s.Requests += o.Requests
	s.InAim += o.InAim
	s.Refused += o.Refused
	s.Failed += o.Failed
}

// Sub returns the difference s - o. With an earlier count o, it is what was counted since then.
func (s RequestCounts) Sub(o RequestCounts) RequestCounts {
	return RequestCounts{s.Requests - o.Requests, s.InAim - o.InAim, s.Refused - o.Refused, s.Failed - o.Failed}
}

// Limits holds the stop conditions of a rollout and the growth of its waves. Shares are between 0
// and 1.
type Limits struct {
	Canaries int           `json:"canaries"` // number of instances in the first wave
	Growth   float64       `json:"growth"`   // size of each further wave as a multiple of the one before
	Bake     time.Duration `json:"bake"`     // time in ns for which a wave is observed before the next one starts
	// The largest allowed changes of the shares of requests on the changed instances, compared with
	// the time before the change: more refused, more failed, fewer answered within their target
	// latency.
	MoreRefused float64 `json:"more_refused"`
	MoreFailed  float64 `json:"more_failed"`
	LessInAim   float64 `json:"less_in_aim"`
	// Least is the number of requests needed for an evaluation. With fewer, the wave is observed
	// for up to Patience (ns).
	Least    float64       `json:"least"`
	Patience time.Duration `json:"patience"`
	// MayFail is the share of the instances of a wave on which the change may end without being
	// applied.
	MayFail float64 `json:"may_fail"`
}

// Verdict is the result of the evaluation of a wave.
type Verdict uint8

// The verdicts.
const (
	KeepWatching Verdict = iota // observe the wave for longer
	NextWave                    // start the next wave, or complete the rollout after the last one
	RollBack                    // roll back: the change makes service worse, or too many instances refuse it
	Halt                        // stop and keep what is applied: too many instances cannot be reached
)

// WaveSizes divides n instances into waves and returns the number of instances of each.
func (l *Limits) WaveSizes(n int) (sizes []int) {
	size := float64(max(1, l.Canaries))
	for n > 0 {
		waveSize := min(n, int(size))
		sizes = append(sizes, waveSize)
		n -= waveSize
		size *= max(1, l.Growth)
	}
	return sizes
}

// WaveOutcome counts the instances of a wave by how the change ended on them.
type WaveOutcome struct {
	Total   int
	Refused int // rejected the change, applied it only partly, or their process ended after applying it
	Lost    int // not applied for another reason: no answer, no connection, or or a restart before the instance reported the change as applied
}

// Evaluate decides how to go on after a wave. It gets the outcome on the instances of the wave,
// their request counts before and since the change, and how long the wave has been observed. The
// returned text is the reason for the verdict. Callers must count an instance that does not answer
// as lost, because it would otherwise block the wave.
func (l *Limits) Evaluate(outcome WaveOutcome, before, since RequestCounts, observedFor time.Duration) (Verdict, string) {
	allowedFailures := l.MayFail * float64(outcome.Total)
	switch {
	case outcome.Total == 0:
		return NextWave, "" // all instances of the wave were excluded
	case float64(outcome.Refused) > allowedFailures:
		return RollBack, fmt.Sprintf("%d of %d instances refuse the change", outcome.Refused, outcome.Total)
	case float64(outcome.Refused+outcome.Lost) > allowedFailures:
		return Halt, fmt.Sprintf("%d of %d instances are lost", outcome.Refused+outcome.Lost, outcome.Total)
	}
	if since.Requests >= l.Least && since.Requests > 0 {
		// Requests are counted on arrival and results when they are sent, so a short time may have
		// more results than requests. The share is therefore limited to 1.
		share := func(s RequestCounts, count float64) float64 { return min(1, max(0, count/max(1, s.Requests))) }
		for _, c := range []struct {
			category string
			increase float64
			allowed  float64
		}{
			{"refused", share(since, since.Refused) - share(before, before.Refused), l.MoreRefused},
			{"failed", share(since, since.Failed) - share(before, before.Failed), l.MoreFailed},
			{"answered within the target latency", share(before, before.InAim) - share(since, since.InAim), l.LessInAim},
		} {
			// With too few requests before the change there is no share of timely answers to
			// compare with. Refusals and failures are still compared.
			if c.category == "answered within the target latency" && before.Requests < l.Least {
				continue
			}
			if c.increase > c.allowed {
				return RollBack, fmt.Sprintf("the share of requests %s is worse by %.1f%%, and %.1f%% is allowed", c.category, 100*c.increase, 100*c.allowed)
			}
		}
	}
	switch {
	case observedFor < l.Bake:
		return KeepWatching, ""
	case since.Requests < l.Least && observedFor < l.Patience:
		return KeepWatching, "too few requests to evaluate"
	}
	return NextWave, ""
}
