package processtest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/micaline/internal/rules"
)

// Witness keeps what the stand-ins of a day saw. Its See is a tap for package fleet.
type Witness struct {
	mu      sync.Mutex
	records []rules.Record
}

// mostRecords bounds a day's.
const mostRecords = 1 << 20

// See takes a record down.
func (w *Witness) See(r *rules.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.records) < mostRecords {
		w.records = append(w.records, *r)
	}
}

// now is when the last record was made.
func (w *Witness) now() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.records) == 0 {
		return 0
	}
	return w.records[len(w.records)-1].At
}

// Property is what must hold of a day beside the four rules. It returns what is wrong, nothing if it holds.
type Property struct {
	Name  string
	Holds func(w *Witness, length time.Duration) string
}

// tail is the end of a day, in which all must be well again.
const tail = 3 * time.Second

// Well is that in the end, long after the last fault, clients of all agents are served.
func Well(agents []string) Property {
	return Property{"well in the end", func(w *Witness, length time.Duration) string {
		asked, served := map[string]int{}, map[string]int{}
		calls := map[string]string{}
		for _, r := range w.records {
			switch {
			case r.Kind == rules.Asked && r.At > length-tail && r.At < length-tail/3:
				asked[r.Agent]++
				calls[r.Call] = r.Agent
			case r.Kind == rules.Answered && r.Status == 200 && calls[r.Call] != "":
				served[calls[r.Call]]++
			}
		}
		for _, a := range agents {
			// Generous: what is owed is that nothing stays broken, not how quick this machine is.
			if 10*served[a] < 8*asked[a] || asked[a] == 0 {
				return fmt.Sprintf("%s served %d of %d", a, served[a], asked[a])
			}
		}
		return ""
	}}
}

// AllUsed is that in the end each server that runs gets requests again. Those in except are away for good.
func AllUsed(away int) Property {
	return Property{"all servers used in the end", func(w *Witness, length time.Duration) string {
		up, used := map[string]bool{}, map[string]bool{}
		for _, r := range w.records {
			switch {
			case r.Kind == rules.Listed:
				up[r.Backend] = r.State == rules.Ready
			case r.Kind == rules.Arrived && r.At > length-2*tail:
				used[r.Backend] = true
			}
		}
		var idle []string
		for name, ready := range up {
			if ready && !used[name] {
				idle = append(idle, name)
			}
		}
		if slices.Sort(idle); len(idle) > away {
			return fmt.Sprintf("%v got nothing, and %d are away", idle, away)
		}
		return ""
	}}
}

// Standing is that something is served in every stretch of a day but in those in which nothing could be.
func Standing(stretch time.Duration, from, until time.Duration) Property {
	return Property{"something served at all times", func(w *Witness, length time.Duration) string {
		last := time.Duration(0)
		for _, r := range w.records {
			if r.Kind != rules.Answered || r.Status != 200 {
				continue
			}
			if r.At-last > stretch && !(last < until && r.At > from) {
				return fmt.Sprintf("nothing was served from %v to %v", last, r.At)
			}
			last = r.At
		}
		return ""
	}}
}

// LeftAlone is that the servers of a site that was taken out, or that answers nothing and must have been found lost, get hardly any
// requests. One that answers after all is not lost.
func LeftAlone(zone string, from, until time.Duration, lost bool) Property {
	return Property{"a lost site left alone", func(w *Witness, length time.Duration) string {
		at, there, all := map[string]string{}, 0, 0
		for _, r := range w.records {
			switch {
			case r.Kind == rules.Started:
				at[r.Backend] = r.Zone
			case lost && r.Kind == rules.Made && at[r.Backend] == zone && r.At > from && r.At < until:
				return ""
			case r.Kind == rules.Arrived && r.At > from && r.At < until:
				if all++; at[r.Backend] == zone {
					there++
				}
			}
		}
		// Each agent may try it with a request or two, at waits that double; an eighth of what comes is far above that, and far below
		// the third that comes without.
		if 8*there > all {
			return fmt.Sprintf("%d of %d requests went to site %s from %v to %v", there, all, zone, from, until)
		}
		return ""
	}}
}

// NothingCut is that no request failed before its time was over. One that failed then was late, which a busy machine can be.
func NothingCut() Property {
	return Property{"nothing cut", func(w *Witness, length time.Duration) string {
		over := map[string]time.Duration{}
		for _, r := range w.records {
			switch {
			case r.Kind == rules.Asked:
				over[r.Call] = r.At + r.Budget
			case r.Kind == rules.Broken || r.Kind == rules.Answered && r.Status != 200 && r.Status != 503 && r.At < over[r.Call]:
				return r.String()
			}
		}
		return ""
	}}
}
