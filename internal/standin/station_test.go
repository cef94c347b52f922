package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A station does as much work as its cores can, no job faster than a core, and waiting jobs in their order.
func TestStationAgainstSmallSteps(t *testing.T) {
	const step = 50 * time.Microsecond
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cores, slots := 1+rng.IntN(3), 1+rng.IntN(5)
		speed := 0.5 + rng.Float64()
		s := station{cores: float64(cores), speed: speed, slots: slots, room: 100, factor: func(time.Duration) float64 { return 1 }}
		type slow struct{ left, ended float64 }
		n := 1 + rng.IntN(20)
		plain, ended := make([]slow, n), make([]time.Duration, n)
		for i := range n {
			work := 0.001 + rng.Float64()*0.02
			plain[i] = slow{left: work}
			s.add(&job{left: work, done: func() { ended[i] = s.now }})
		}
		s.advance(time.Second)
		// The same in small steps, plainly.
		for now, left := 0.0, n; left > 0; now += step.Seconds() {
			var busy []int
			for i := range plain {
				if plain[i].left > 0 && len(busy) < slots {
					busy = append(busy, i)
				}
			}
			rate := speed * min(1, float64(cores)/float64(len(busy)))
			for _, i := range busy {
				if plain[i].left -= rate * step.Seconds(); plain[i].left <= 0 {
					plain[i].ended, left = now, left-1
				}
			}
		}
		for i := range plain {
			if diff := math.Abs(plain[i].ended - ended[i].Seconds()); diff > float64(n)*2*step.Seconds() {
				t.Errorf("seed %d: job %d ended at %v, in small steps at %.4fs", seed, i, ended[i], plain[i].ended)
			}
		}
	}
}

func TestStationRoom(t *testing.T) {
	s := station{cores: 1, speed: 1, slots: 2, room: 1, factor: func(time.Duration) float64 { return 1 }}
	var order []string
	add := func(name string, free bool) bool {
		return s.add(&job{left: 0.01, free: free, done: func() { order = append(order, name) },
			start: func() bool { order = append(order, "start "+name); return true }})
	}
	add("a", false)
	add("b", false)
	add("c", false)
	if add("d", false) {
		t.Error("more is taken than there is room for")
	}
	if !add("probe", true) || s.held() != 3 {
		t.Errorf("%d are held beside the probe", s.held())
	}
	s.advance(time.Second)
	if got, want := fmt.Sprint(order), "[start a start b start probe a start c b probe c]"; got != want {
		t.Errorf("in the order %s", got)
	}
}

// What is stuck takes all that comes, ends nothing, and goes on when it can; what needs no slot is not stuck.
func TestStationStuck(t *testing.T) {
	s := station{cores: 1, speed: 1, slots: 1, room: 1, factor: func(time.Duration) float64 { return 1 }}
	s.setStuck(true)
	ended := 0
	for range 5 {
		if !s.add(&job{left: 0.01, done: func() { ended++ }}) {
			t.Error("not taken")
		}
	}
	probed := false
	s.add(&job{left: 0.01, free: true, done: func() { probed = true }})
	s.advance(time.Second)
	if ended > 0 || !probed || s.next() != math.MaxInt64 {
		t.Errorf("%d ended while stuck, probe %v, next %v", ended, probed, s.next())
	}
	s.setStuck(false)
	s.advance(2 * time.Second)
	if ended != 5 {
		t.Errorf("%d ended afterwards", ended)
	}
}

// A job that is dropped makes room for the next.
func TestStationRemove(t *testing.T) {
	s := station{cores: 1, speed: 1, slots: 1, room: 9, factor: func(time.Duration) float64 { return 1 }}
	var ended time.Duration
	first := &job{left: 10}
	s.add(first)
	s.add(&job{left: 0.5, done: func() { ended = s.now }})
	s.advance(time.Second)
	s.remove(first)
	s.advance(3 * time.Second)
	if ended < 1500*time.Millisecond || ended > 1501*time.Millisecond {
		t.Errorf("the next ended at %v", ended)
	}
}
