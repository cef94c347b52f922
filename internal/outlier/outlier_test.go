package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// For any sequence of outcomes a server is ejected no longer than its duration allows, returns on
// trial, and is ejected only for a failure score of at least 1.
func TestRandomLoad(t *testing.T) {
	const targetLatency = time.Second
	rng := rand.New(rand.NewPCG(1, 0))
	var r Record
	now, ejections := time.Duration(0), 0
	for range 100_000 {
		now += time.Duration(rng.IntN(int(targetLatency)))
		switch rng.IntN(3) {
		case 0:
			before := r.FailureScore
			if r.AddSuccess(); r.FailureScore > before/2 || r.Ejections != 0 {
				t.Fatalf("an answer left a failure score of %v of %v, and %d ejections in a row",
					r.FailureScore, before, r.Ejections)
			}
		case 1:
			if r.AddOutcome(rng.IntN(2) == 0); r.FailureRate < 0 || r.FailureRate > 1 {
				t.Fatalf("failure rate of %v", r.FailureRate)
			}
		case 2:
			ejected, score, before := r.IsEjected(now), rng.Float64(), r.FailureScore
			due := r.AddFailure(score, now)
			if due != (!ejected && before+score >= 1) {
				t.Fatalf("failure scores %v and %v: due %v, ejected %v", before, score, due, ejected)
			}
			if !due {
				continue
			}
			consecutive := r.Ejections
			wait := r.Eject(now, targetLatency, rng.Float64())
			want := baseEjection * float64(int(1)<<min(consecutive, maxDoublings))
			if left := (r.EjectedUntil - now).Seconds(); wait != want || left < 0.75*want || left > 1.25*want ||
				r.FailureScore >= 1 {
				t.Fatalf("ejection %d in a row: %v s of %v, failure score %v", consecutive+1, left, want, r.FailureScore)
			}
			ejections++
		}
	}
	if ejections < 100 {
		t.Fatalf("only %d ejections", ejections)
	}
}

func TestEnough(t *testing.T) {
	for ejected, total := range map[int]int{1: 1, 4: 4, 8: 10} {
		if !TooManyEjected(ejected, total) || TooManyEjected(ejected-1, total) {
			t.Errorf("%d of %d: too many %v, one fewer: %v",
				ejected, total, TooManyEjected(ejected, total), TooManyEjected(ejected-1, total))
		}
	}
}

func TestSound(t *testing.T) {
	if got := BestSuccessRate([]Record{{FailureRate: 0.5}, {FailureRate: 0.25}}); got != 0.75 {
		t.Errorf("success rate %v of the class served best", got)
	}
}
