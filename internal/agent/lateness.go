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
type lateness struct {
	time clock
	wait func() // for a processor

	mu    sync.Mutex
	clock lag.Clock
	open  int // requests that are not done
	timer *time.Timer
}

// newLateness returns that of an agent whose requests are wanted as the settings say: the soonest is what matters.
func newLateness(s *settings.Settings, network Network) *lateness {
	matters := s.Module.Classes[0].Aim
	for _, c := range s.Module.Classes {
		matters = min(matters, c.Aim)
	}
	l := &lateness{time: clock{time.Now()}, clock: lag.New(matters), wait: func() {}}
	if p, ok := network.(Processor); ok {
		l.wait = p.Wait
	}
	return l
}

// begin has beats come as long as there are requests.
func (l *lateness) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open++; l.clock.On() {
		return
	}
	now := l.time.now()
	wait := l.clock.Start(now) - now
	if l.timer == nil {
		// A beat has a goroutine of its own: one that is ready waits its turn as a reader does whose answer has come.
		l.timer = time.AfterFunc(wait, l.beat)
		return
	}
	l.timer.Reset(wait)
}

// end is to be called once for each begin.
func (l *lateness) end() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
}

func (l *lateness) beat() {
	l.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.time.now()
	due := l.clock.Beat(now)
	if l.open == 0 {
		l.clock.Stop()
		return
	}
	l.timer.Reset(due - now)
}

// own is how much of a delay that ends now may be the agent's own.
func (l *lateness) own() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Own(l.time.now())
}

func (l *lateness) figures() lag.Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Figures()
}
