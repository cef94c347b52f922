package inbound

import (
	"time"
)

// meter counts what happens in a second, over the last two.
type meter struct {
	from       time.Duration
	last, this float64
}

func (m *meter) add(now time.Duration) {
	m.roll(now)
	m.this++
}

func (m *meter) roll(now time.Duration) {
	if d := now - m.from; d >= 2*time.Second {
		*m = meter{from: now}
	} else if d >= time.Second {
		m.from, m.last, m.this = m.from+time.Second, m.this, 0
	}
}

func (m *meter) perSecond(now time.Duration) float64 {
	m.roll(now)
	part := (now - m.from).Seconds()
	return m.this + m.last*(1-part)
}
