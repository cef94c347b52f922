package agent

import (
	"sync"
	"time"

	"example.org/micaline/internal/lag"
	"example.org/micaline/internal/settings"
)

// Processor is a Network that knows whether the agent has a processor, as those of tests do.
type ProcessorWaiter interface {
	// Wait returns once the agent has one.
	Wait()
}

// lateness tells how late the agent itself is, while it has requests. An idle agent has no beats.
type lagMonitor struct {
	timeSource       clock
	minTargetLatency time.Duration          // the soonest aim
	waitForProcessor func()                 // for a processor
	onLateTick       func(by time.Duration) // of a beat that is late by more than half of that

	mu           sync.Mutex
	detector     lag.Detector
	openRequests int           // requests that are not done
	nextTick     time.Duration // when the next beat is due
	tickTimer    *time.Timer
}

// newLateness returns that of an agent whose requests are wanted as the settings say: the soonest is what matters.
func newLagMonitor(s *settings.Settings, network Network) *lagMonitor {
	matters := s.Module.Classes[0].Aim
	for _, c := range s.Module.Classes {
		matters = min(matters, c.Aim)
	}
	l := &lagMonitor{timeSource: clock{time.Now()}, detector: lag.New(matters), waitForProcessor: func() {}, minTargetLatency: matters, onLateTick: func(time.Duration) {}}
	if p, ok := network.(ProcessorWaiter); ok {
		l.waitForProcessor = p.Wait
	}
	return l
}

// begin has beats come as long as there are requests.
func (l *lagMonitor) requestStarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openRequests++; l.detector.Running() {
		return
	}
	now := l.timeSource.now()
	l.nextTick = l.detector.Start(now)
	wait := l.nextTick - now
	if l.tickTimer == nil {
		l.tickTimer = time.AfterFunc(wait, l.tickDue)
		return
	}
	l.tickTimer.Reset(wait)
}

// end is to be called once for each begin.
func (l *lagMonitor) requestEnded() {
	l.mu.Lock()
	l.openRequests--
	l.mu.Unlock()
}

// due has a beat wait its turn as a reader does whose answer has come. The runtime runs the goroutine of a timer, as any that
// was started last, before all others; the next one that is started sends it to the end of the queue.
func (l *lagMonitor) tickDue() {
	go l.tick()
	go func() {}()
}

func (l *lagMonitor) tick() {
	l.waitForProcessor()
	l.mu.Lock()
	now := l.timeSource.now()
	by := max(0, now-l.nextTick)
	l.nextTick = l.detector.Tick(now)
	if l.openRequests == 0 {
		l.detector.Stop()
	} else {
		l.tickTimer.Reset(l.nextTick - now)
	}
	l.mu.Unlock()
	if by > l.minTargetLatency/2 {
		l.onLateTick(by)
	}
}

// own is how much of a delay that ends now may be the agent's own.
func (l *lagMonitor) ownDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.OwnDelay(l.timeSource.now())
}

// figures are what is known of the lateness, and the part of the soonest aim that is used up by it.
func (l *lagMonitor) stats() (f lag.Stats, part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f = l.detector.Stats()
	if l.detector.Running() { // else there is nothing to be late with
		part = f.MeanDelay.Seconds() / l.minTargetLatency.Seconds()
	}
	return f, part
}
