package quota

import "time"

// buckets are how many parts a sliding window is counted in. What was taken counts until the whole bucket that it was taken in
// has left the window, so that no window of any position ever holds more than its limit; in turn something may be refused up to
// a bucket's time, a sixteenth of the window, too early.
const buckets = 16

// meter counts what was taken of one limit of one node.
type meter struct {
	limit Limit
	used  int64
	ring  []bucket // of a sliding window, by number; nil for others
	first int64    // number of the oldest bucket that still counts
	day   int64    // of a day's window
}

type bucket struct {
	number int64
	taken  int64
}

func newMeter(l Limit) *meter {
	m := &meter{limit: l}
	if w := l.Window; w == Second || w == Minute {
		m.ring = make([]bucket, buckets+1)
	}
	return m
}

// width is a bucket's time.
func (m *meter) width() time.Duration { return m.limit.Window.length() / buckets }

// slide lets go of what has left the window.
func (m *meter) slide(t moment) {
	switch {
	case m.ring != nil:
		// The bucket that the window's start lies in counts in full.
		oldest := int64(t.now/m.width()) - buckets
		if oldest-m.first >= int64(len(m.ring)) { // all that there is has left it
			clear(m.ring)
			m.used, m.first = 0, oldest
		}
		for ; m.first < oldest; m.first++ {
			if b := m.at(m.first); b.number == m.first {
				m.used -= b.taken
				*b = bucket{}
			}
		}
	case m.limit.Window == Day && t.day > m.day: // danger: a wall clock that goes back must not give the day again
		m.day, m.used = t.day, 0
	}
}

func (m *meter) at(number int64) *bucket {
	return &m.ring[number%int64(len(m.ring))]
}

// take counts an amount, and returns the bucket or day in which it did.
func (m *meter) take(t moment, amount int64) (when int64) {
	m.used += amount
	if m.ring == nil {
		return m.day
	}
	when = int64(t.now / m.width())
	b := m.at(when)
	if b.number != when {
		*b = bucket{number: when}
	}
	b.taken += amount
	return when
}

// back gives an amount back that was taken then, unless it counts no more.
func (m *meter) back(when, amount int64) {
	switch {
	case m.ring != nil:
		if b := m.at(when); b.number == when && b.taken >= amount {
			b.taken -= amount
			m.used -= amount
		}
	case m.limit.Window != Day || when == m.day:
		m.used -= amount
	}
}

// room is how long it takes until no more than so much counts, if nothing else comes.
func (m *meter) room(t moment, most int64, within time.Duration) time.Duration {
	switch {
	case m.used <= most:
		return 0
	case m.limit.Window == Day:
		return t.left
	case m.ring == nil:
		return within
	}
	left := m.used
	for n := m.first; n < m.first+int64(len(m.ring)); n++ {
		if b := m.at(n); b.number == n {
			left -= b.taken
		}
		if left <= most {
			// It counts until the window has left its bucket, which is one more than the window's length.
			return time.Duration(n+buckets+1)*m.width() - t.now
		}
	}
	return m.limit.Window.length()
}
