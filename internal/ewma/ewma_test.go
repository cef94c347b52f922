package ewma

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Speeds follow the list's weights while nothing is known, and how long kinds take as that is
// learnt.
func TestPriorGivesWay(t *testing.T) {
	var f Fleet
	var quick, slow Server
	quick.Restart(1) // the list has it the wrong way round
	slow.Restart(2)
	ratio := func() float64 { return f.Speed(f.Kind(0), &quick, 1) / f.Speed(f.Kind(1), &slow, 1) }
	if got := ratio(); got != 0.5 {
		t.Errorf("speeds of %v before anything is known, the list says 0.5", got)
	}
	rng := rand.New(rand.NewPCG(1, 0))
	for range 2000 {
		f.Learn(f.Kind(0), &f.Kind(0).Ratio, 0.5+rng.Float64()/10, 1)
		f.Learn(f.Kind(1), &f.Kind(1).Ratio, 2+rng.Float64()/10, 1)
	}
	if got := ratio(); math.Abs(got-2.05/0.55) > 0.1 {
		t.Errorf("speeds of %v, learnt were %v", got, 2.05/0.55)
	}
	if whole, half := f.Speed(f.Kind(0), &quick, 1), f.Speed(f.Kind(0), &quick, 0.5); half != whole/4 {
		t.Errorf("%v with half of the requests failed, %v with none", half, whole)
	}
}

// One server's slowness stays within its bounds under any sample, and is forgotten.
func TestSlower(t *testing.T) {
	var s Server
	s.Restart(math.NaN())
	rng := rand.New(rand.NewPCG(1, 0))
	now := time.Duration(0)
	for range 10_000 {
		now += time.Duration(rng.IntN(int(time.Second)))
		s.Slower([]float64{0, 1, math.Inf(1), rng.Float64() * 20}[rng.IntN(4)], rng.Float64(), 0.1, now)
		if !(s.Slow >= 1/MaxSlow && s.Slow <= MaxSlow) {
			t.Fatalf("%v times slower", s.Slow)
		}
	}
	if s.Slower(1, 0, 0.1, now+time.Hour); s.Base != 1 || math.Abs(s.Slow-1) > 0.01 {
		t.Errorf("base %v, %v times slower after an hour without news", s.Base, s.Slow)
	}
}
