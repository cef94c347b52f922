package agent

import (
	"sync"
	"time"

	"example.org/micaline/internal/lag"
	"example.org/micaline/internal/settings"
)

// ProcessorWaiter is a Network that simulates the processor of the agent, as the networks of tests
// do.
type ProcessorWaiter interface {
	// Wait blocks while the simulated processor is suspended.
	Wait()
}

// lagMonitor measures how late the agent itself processes events. It ticks only while there are
// open requests, so an idle agent causes no work.
type lagMonitor struct {
	timeSource       clock
	minTargetLatency time.Duration // lowest target latency of the classes
	waitForProcessor func()        // blocks while the agent has no processor; only in tests
	// onLateTick is called when a tick is late by more than half of minTargetLatency.
	onLateTick func(delay time.Duration)

	mu           sync.Mutex
	detector     lag.Detector
	openRequests int           // requests that have not ended
	nextTick     time.Duration // when the next tick is due
	tickTimer    *time.Timer
}

// newLagMonitor returns a lagMonitor for the lowest target latency in the settings.
func newLagMonitor(s *settings.Settings, network Network) *lagMonitor {
	minTarget := s.Module.Classes[0].Aim
	for _, c := range s.Module.Classes {
		minTarget = min(minTarget, c.Aim)
	}
	l := &lagMonitor{timeSource: clock{time.Now()}, detector: lag.New(minTarget), waitForProcessor: func() {}, minTargetLatency: minTarget, onLateTick: func(time.Duration) {}}
	if p, ok := network.(ProcessorWaiter); ok {
		l.waitForProcessor = p.Wait
	}
	return l
}

// requestStarted starts the ticks if they are not running. Each call must be followed by a call of
// requestEnded.
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

// requestEnded ends one call of requestStarted. The ticks stop once no request is open.
func (l *lagMonitor) requestEnded() {
	l.mu.Lock()
	l.openRequests--
	l.mu.Unlock()
}

// tickDue runs the tick in a new goroutine, so that it waits for its turn like a reader whose
// answer has arrived. The runtime runs the goroutine that was started last before all others, such
// as that of a timer. Starting another goroutine moves the tick to the end of the run queue.
func (l *lagMonitor) tickDue() {
	go l.tick()
	go func() {}()
}

// tick evaluates the due tick and schedules the next one while requests are open.
func (l *lagMonitor) tick() {
	l.waitForProcessor()
	l.mu.Lock()
	now := l.timeSource.now()
	delay := max(0, now-l.nextTick)
	l.nextTick = l.detector.Tick(now)
	if l.openRequests == 0 {
		l.detector.Stop()
	} else {
		l.tickTimer.Reset(l.nextTick - now)
	}
	l.mu.Unlock()
	if delay > l.minTargetLatency/2 {
		l.onLateTick(delay)
	}
}

// ownDelay returns how much of a delay that ends now may have been caused by the agent itself.
func (l *lagMonitor) ownDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.OwnDelay(l.timeSource.now())
}

// stats returns the delay statistics, and the mean delay as a share of the lowest target latency.
// The share is 0 while there are no ticks.
func (l *lagMonitor) stats() (s lag.Stats, targetShare float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s = l.detector.Stats()
	if l.detector.Running() { // without requests nothing can be delayed
		targetShare = s.MeanDelay.Seconds() / l.minTargetLatency.Seconds()
	}
	return s, targetShare
}
