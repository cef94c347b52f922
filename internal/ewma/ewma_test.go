package ewma

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Speeds follow the weights of the server list at first, and then the learned latencies of the
// kinds.
func TestPriorGivesWay(t *testing.T) {
	var f Fleet
	var quick, slow Server
	quick.Reset(1) // the weights of the list are the wrong way round
	slow.Reset(2)
	ratio := func() float64 { return f.Speed(f.Kind(0), &quick, 1) / f.Speed(f.Kind(1), &slow, 1) }
	if got := ratio(); got != 0.5 {
		t.Errorf("speed ratio of %v before any sample, the list gives 0.5", got)
	}
	rng := rand.New(rand.NewPCG(1, 0))
	for range 2000 {
		f.ObserveKind(f.Kind(0), &f.Kind(0).RelativeLatency, 0.5+rng.Float64()/10, 1)
		f.ObserveKind(f.Kind(1), &f.Kind(1).RelativeLatency, 2+rng.Float64()/10, 1)
	}
	if got := ratio(); math.Abs(got-2.05/0.55) > 0.1 {
		t.Errorf("speed ratio of %v, the samples give %v", got, 2.05/0.55)
	}
	if whole, half := f.Speed(f.Kind(0), &quick, 1), f.Speed(f.Kind(0), &quick, 0.5); half != whole/4 {
		t.Errorf("speed %v with half of the requests failed, %v with none", half, whole)
	}
}

// A server's slowdown stays within its bounds for any sample, and decays.
func TestSlower(t *testing.T) {
	var s Server
	s.Reset(math.NaN())
	rng := rand.New(rand.NewPCG(1, 0))
	now := time.Duration(0)
	for range 10_000 {
		now += time.Duration(rng.IntN(int(time.Second)))
		s.ObserveSlowdown([]float64{0, 1, math.Inf(1), rng.Float64() * 20}[rng.IntN(4)], rng.Float64(), 0.1, now)
		if !(s.Slowdown >= 1/MaxSlowdown && s.Slowdown <= MaxSlowdown) {
			t.Fatalf("%v times slower", s.Slowdown)
		}
	}
	if s.ObserveSlowdown(1, 0, 0.1, now+time.Hour); s.BaseSpeed != 1 || math.Abs(s.Slowdown-1) > 0.01 {
		t.Errorf("base speed %v, %v times slower after an hour without samples", s.BaseSpeed, s.Slowdown)
	}
}
