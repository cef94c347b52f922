package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Under any load a server is out for no longer than its time allows, comes back on trial, and is
// ejected by nothing but a whole failure's worth of blame.
func TestRandomLoad(t *testing.T) {
	const aim = time.Second
	rng := rand.New(rand.NewPCG(1, 0))
	var r Record
	now, ejections := time.Duration(0), 0
	for range 100_000 {
		now += time.Duration(rng.IntN(int(aim)))
		switch rng.IntN(3) {
		case 0:
			before := r.Bad
			if r.Served(); r.Bad > before/2 || r.Times != 0 {
				t.Fatalf("an answer left %v of %v, %d ejections in a row", r.Bad, before, r.Times)
			}
		case 1:
			if r.Ended(rng.IntN(2) == 0); r.Fails < 0 || r.Fails > 1 {
				t.Fatalf("a share of %v fails", r.Fails)
			}
		case 2:
			out, much, before := r.Out(now), rng.Float64(), r.Bad
			due := r.Blame(much, now)
			if due != (!out && before+much >= 1) {
				t.Fatalf("blamed %v and %v: due %v, out %v", before, much, due, out)
			}
			if !due {
				continue
			}
			times := r.Times
			wait := r.Eject(now, aim, rng.Float64())
			want := ejectFor * float64(int(1)<<min(times, ejectDoubles))
			if left := (r.Until - now).Seconds(); wait != want || left < 0.75*want || left > 1.25*want || r.Bad >= 1 {
				t.Fatalf("ejection %d in a row: %v s of %v, blamed %v", times+1, left, want, r.Bad)
			}
			ejections++
		}
	}
	if ejections < 100 {
		t.Fatalf("only %d ejections", ejections)
	}
}

func TestEnough(t *testing.T) {
	for out, of := range map[int]int{1: 1, 4: 4, 8: 10} {
		if !Enough(out, of) || Enough(out-1, of) {
			t.Errorf("%d of %d: %v, one fewer: %v", out, of, Enough(out, of), Enough(out-1, of))
		}
	}
}

func TestSound(t *testing.T) {
	if got := Sound([]Record{{Fails: 0.5}, {Fails: 0.25}}); got != 0.75 {
		t.Errorf("%v of the class served best", got)
	}
}
