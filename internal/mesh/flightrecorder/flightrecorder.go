// Package flightrecorder is the flight recorder: the traces of the last requests that
// did not simply succeed.
//
// There is a Ring at each side of a request, the sender and the gate. What succeeded at its first
// attempt is only counted. All else leaves a RequestTrace, which takes the place of the oldest. Promised: a
// Ring never holds more than Most traces of MostSteps steps each, its strings are short and its own,
// and it keeps nobody waiting but for another that adds or reads at the same moment.
package flightrecorder

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	// Most is how many traces a Ring holds.
	Most = 512
	// MostSteps is how many steps of a way it holds.
	MostSteps = 6

	mostText = 64 // bytes of what others name: a client may send an id of kilobytes
)

// Ring holds the last traces. The zero value is ready.
type Ring struct {
	plain atomic.Uint64

	mu   sync.Mutex
	list []entry
	next int // place of the oldest, once the ring is full
}

type entry struct {
	at  time.Time
	way transport.RequestTrace
}

// Plain counts a request that succeeded at its first attempt.
func (r *Ring) Plain() { r.plain.Add(1) }

// Plains is how many there were.
func (r *Ring) Plains() uint64 { return r.plain.Load() }

// Add takes a way in. Its steps are copied.
func (r *Ring) Add(now time.Time, w transport.RequestTrace) {
	w.Try, w.Caller = short(w.Try), short(w.Caller)
	if len(w.Steps) > MostSteps {
		// The first tell how it began, the last why it ended.
		w.Steps = append(slices.Clone(w.Steps[:MostSteps-1]), w.Steps[len(w.Steps)-1])
	} else {
		w.Steps = slices.Clone(w.Steps)
	}
	for i := range w.Steps {
		w.Steps[i].Backend = short(w.Steps[i].Backend)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) < Most {
		r.list = append(r.list, entry{now, w})
		return
	}
	r.list[r.next] = entry{now, w}
	r.next = (r.next + 1) % Most
}

// short bounds a string. It never shares memory with a longer one.
func short(s string) string { return strings.Clone(s[:min(len(s), mostText)]) }

// Ask returns the traces that a question is about, the newest first.
func (r *Ring) Ask(now time.Time, q *transport.TraceQuery) []transport.RequestTrace {
	most, try := min(max(q.Most, 1), Most), short(q.Try)
	var found []transport.RequestTrace
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.list {
		e := &r.list[(r.next+2*len(r.list)-1-i)%len(r.list)]
		if len(found) == most {
			break
		}
		if about(&e.way, try, q.Reason) {
			w := e.way // its steps never change
			w.Age = now.Sub(e.at)
			found = append(found, w)
		}
	}
	return found
}

// about says whether a way is of a request or of what its runs called, and has a reason.
func about(w *transport.RequestTrace, try, reason string) bool {
	if try != "" && w.Try != try && !(strings.HasPrefix(w.Try, try) && w.Try[len(try)] == '.') {
		return false
	}
	return reason == "" || w.Result == reason ||
		slices.ContainsFunc(w.Steps, func(s transport.Attempt) bool { return s.Verdict != transport.Ran && s.Reason.String() == reason })
}
