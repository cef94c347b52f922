package lease

import (
	"fmt"
	"testing"
	"time"
)

// A thousand duties, fifty agents that start in one second, ten of which die in another, and one that takes and drops what it gets.
// All is held again soon after, nobody has far more than the others but one of four times the weight, and few ask for what they don't
// get. Each agent knows the table as it was up to a quarter of a second ago.
func TestThousandDuties(t *testing.T) {
	const agents, duties, dead = 50, 1000, 10
	const long, beat, knows = 3 * time.Second, 50 * time.Millisecond, 250 * time.Millisecond
	var table Table
	var watch ExpiryTracker
	type agent struct {
		name    string
		holders []*Holder
		free    []bool
		weight  float64
	}
	names := make([]string, duties)
	for i := range names {
		names[i] = fmt.Sprint("d", i)
	}
	all := make([]*agent, agents)
	for i := range all {
		a := &agent{name: fmt.Sprint("a", i), free: make([]bool, duties), weight: 1}
		for _, name := range names {
			a.holders = append(a.holders, &Holder{Duty: name, Name: a.name + "/1", Term: long})
		}
		all[i] = a
	}
	all[agents-1].weight = 4
	asks, refused := 0, 0
	holds := func() (held int, most map[string]int) {
		most = map[string]int{}
		for _, d := range table.Duties {
			if d.Holder != "" {
				held++
				most[d.Holder]++
			}
		}
		return held, most
	}
	ask := func(now time.Duration, h *Holder, q *Request) {
		if q == nil {
			return
		}
		a := table.Apply(&q.Op)
		if q.Op.Kind == Acquire {
			if asks++; a.Refused != "" {
				refused++
			}
		}
		h.HandleAnswer(now, q.Number, a)
	}
	run := func(from, until time.Duration) {
		for now := from; now < until; now += beat {
			for _, op := range watch.Expired(now, &table) {
				table.Apply(&op)
			}
			for i, a := range all {
				look := (now+time.Duration(i)*beat)%knows < beat
				for k, h := range a.holders {
					if look {
						d := table.Duties[names[k]]
						a.free[k] = d == nil || d.Holder == "" && !d.Resting
					}
					if _, _, held := h.Holds(now); held && i == 0 && h.looked > 0 {
						ask(now, h, h.Release(now, "", nil)) // it takes and drops
						continue
					}
					ask(now, h, h.Tick(now, a.free[k], AcquireDelay(names[k], a.name, a.weight, long)))
				}
			}
		}
	}
	run(beat, 2*long)
	held, _ := holds()
	if held < duties*97/100 {
		t.Errorf("%d of %d duties are held two terms after the start", held, duties)
	}
	if refused > 6*duties {
		t.Errorf("%d questions in vain for %d duties as the fleet started", refused, duties)
	}
	all = append(all[:1], all[1+dead:]...)
	was := refused
	run(2*long, 5*long) // the time of the dead is over after one, and the patience of the last after another
	held, most := holds()
	if held < duties*97/100 {
		t.Errorf("%d of %d duties are held three terms after ten agents have died", held, duties)
	}
	if refused-was > 6*duties {
		t.Errorf("%d questions in vain after that", refused-was)
	}
	heavy := all[len(all)-1].name + "/1"
	for name, n := range most {
		if name == heavy && n < 2*duties/agents || name != heavy && n > 4*duties/agents {
			t.Errorf("%s holds %d of %d duties", name, n, duties)
		}
	}
	t.Logf("%d questions, %d in vain", asks, refused)
}
