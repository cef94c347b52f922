package agent

import (
	"sync"
	"time"

	"example.org/micaline/internal/lag"
	"example.org/micaline/internal/settings"
)

// Processor is a Network that knows whether the agent has a processor, as those of tests do.
type Processor interface {
	// Wait returns once the agent has one.
	Wait()
}

// lateness tells how late the agent itself is, while it has requests. An idle agent has no beats.
type lagMonitor struct {
	timeSource clock
	matters    time.Duration          // the soonest aim
	wait       func()                 // for a processor
	tell       func(by time.Duration) // of a beat that is late by more than half of that

	mu    sync.Mutex
	clock lag.Detector
	open  int           // requests that are not done
	next  time.Duration // when the next beat is due
	timer *time.Timer
}

// newLateness returns that of an agent whose requests are wanted as the settings say: the soonest is what matters.
func newLagMonitor(s *settings.Settings, network Network) *lagMonitor {
	matters := s.Module.Classes[0].Aim
	for _, c := range s.Module.Classes {
		matters = min(matters, c.Aim)
	}
	l := &lagMonitor{timeSource: clock{time.Now()}, clock: lag.New(matters), wait: func() {}, matters: matters, tell: func(time.Duration) {}}
	if p, ok := network.(Processor); ok {
		l.wait = p.Wait
	}
	return l
}

// begin has beats come as long as there are requests.
func (l *lagMonitor) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open++; l.clock.Running() {
		return
	}
	now := l.timeSource.now()
	l.next = l.clock.Start(now)
	wait := l.next - now
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.due)
		return
	}
	l.timer.Reset(wait)
}

// end is to be called once for each begin.
func (l *lagMonitor) end() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

// due has a beat wait its turn as a reader does whose answer has come. The runtime runs the goroutine of a timer, as any that
// was started last, before all others; the next one that is started sends it to the end of the queue.
func (l *lagMonitor) due() {
	go l.beat()
	go func() {}()
}

func (l *lagMonitor) beat() {
	l.wait()
	l.mu.Lock()
	now := l.timeSource.now()
	by := max(0, now-l.next)
	l.next = l.clock.Tick(now)
	if l.open == 0 {
		l.clock.Stop()
	} else {
		l.timer.Reset(l.next - now)
	}
	l.mu.Unlock()
	if by > l.matters/2 {
		l.tell(by)
	}
}

// own is how much of a delay that ends now may be the agent's own.
func (l *lagMonitor) ownDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.OwnDelay(l.timeSource.now())
}

// figures are what is known of the lateness, and the part of the soonest aim that is used up by it.
func (l *lagMonitor) stats() (f lag.Stats, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f = l.clock.Stats()
	if l.clock.Running() { // else there is nothing to be late with
		part = f.MeanDelay.Seconds() / l.matters.Seconds()
	}
	return f, part
}
