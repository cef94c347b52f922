package inbound

import (
	"time"
)

// rateMeter estimates events per second over a sliding window of one second.
type rateMeter struct {
	secondStart       time.Duration
	previous, current float64 // events in the last complete second and since secondStart
}

func (m *rateMeter) increment(now time.Duration) {
	m.roll(now)
	m.current++
}

// roll moves on to the current second.
func (m *rateMeter) roll(now time.Duration) {
	if elapsed := now - m.secondStart; elapsed >= 2*time.Second {
		*m = rateMeter{secondStart: now}
	} else if elapsed >= time.Second {
		m.secondStart, m.previous, m.current = m.secondStart+time.Second, m.current, 0
	}
}

func (m *rateMeter) perSecond(now time.Duration) float64 {
	m.roll(now)
	fraction := (now - m.secondStart).Seconds()
	return m.current + m.previous*(1-fraction)
}
