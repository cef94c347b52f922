package lease

import (
	"fmt"
	"testing"
	"time"
)

// Fifty agents start together and compete for a thousand duties. One of them releases each duty at
// once, and ten are killed. Nearly all duties are held again soon, no agent holds far more than the
// others except the one with four times their weight, and few requests are refused. Each agent's
// view of the table is up to 250 ms old.
func TestThousandDuties(t *testing.T) {
	const agents, duties, killed = 50, 1000, 10
	const term, interval, refreshInterval = 3 * time.Second, 50 * time.Millisecond, 250 * time.Millisecond
	var table Table
	var expiry ExpiryTracker
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
		process := &agent{name: fmt.Sprint("a", i), free: make([]bool, duties), weight: 1}
		for _, name := range names {
			process.holders = append(process.holders, &Holder{Duty: name, Name: process.name + "/1", Term: term})
		}
		all[i] = process
	}
	all[agents-1].weight = 4
	requests, refused := 0, 0
	countHeld := func() (held int, heldBy map[string]int) {
		heldBy = map[string]int{}
		for _, d := range table.Duties {
			if d.Holder != "" {
				held++
				heldBy[d.Holder]++
			}
		}
		return held, heldBy
	}
	send := func(now time.Duration, h *Holder, request *Request) {
		if request == nil {
			return
		}
		answer := table.Apply(&request.Op)
		if request.Op.Kind == Acquire {
			if requests++; answer.Refused != "" {
				refused++
			}
		}
		h.HandleAnswer(now, request.Number, answer)
	}
	run := func(from, until time.Duration) {
		for now := from; now < until; now += interval {
			for _, op := range expiry.Expired(now, &table) {
				table.Apply(&op)
			}
			for i, process := range all {
				refresh := (now+time.Duration(i)*interval)%refreshInterval < interval
				for k, h := range process.holders {
					if refresh {
						d := table.Duties[names[k]]
						process.free[k] = d == nil || d.Holder == "" && !d.Resting
					}
					if _, _, held := h.Holds(now); held && i == 0 && h.lastTick > 0 {
						send(now, h, h.Release(now, "", nil)) // the first agent releases each duty at once
						continue
					}
					send(now, h, h.Tick(now, process.free[k], AcquireDelay(names[k], process.name, process.weight, term)))
				}
			}
		}
	}
	run(interval, 2*term)
	held, _ := countHeld()
	if held < duties*97/100 {
		t.Errorf("%d of %d duties are held two terms after the start", held, duties)
	}
	if refused > 6*duties {
		t.Errorf("%d refused requests for %d duties as the fleet started", refused, duties)
	}
	all = append(all[:1], all[1+killed:]...)
	refusedBefore := refused
	// The leases of the killed agents expire after one term, and the last acquire delays end after
	// another.
	run(2*term, 5*term)
	held, heldBy := countHeld()
	if held < duties*97/100 {
		t.Errorf("%d of %d duties are held three terms after ten agents were killed", held, duties)
	}
	if refused-refusedBefore > 6*duties {
		t.Errorf("%d refused requests after ten agents were killed", refused-refusedBefore)
	}
	heavy := all[len(all)-1].name + "/1"
	for name, n := range heldBy {
		if name == heavy && n < 2*duties/agents || name != heavy && n > 4*duties/agents {
			t.Errorf("%s holds %d of %d duties", name, n, duties)
		}
	}
	t.Logf("%d requests, %d refused", requests, refused)
}
