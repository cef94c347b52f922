package agent

import (
	"time"
)

// timer is a timer that a module requested with ActTimer.
type timer struct {
	due    time.Duration
	token  uint64
	module *module
}

// timerHeap is a heap.Interface of timers; the earliest is first.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
