package rules

import (
	"time"
)

// link is what a party's network has been through.
type link struct {
	troubles int           // that are on
	from     time.Duration // when the first of them began
	mended   time.Duration // when the last of them ended; -1: never
}

// note takes in that a trouble begins or ends. One that begins while what another held up may still be arriving
// counts as its continuation.
func (l *link) note(r *Record, arriving time.Duration) {
	if r.Kind == Mended {
		l.troubles, l.mended = max(0, l.troubles-1), r.At
		return
	}
	if l.troubles == 0 && (l.mended < 0 || r.At > l.mended+arriving) {
		l.from = r.At
	}
	l.troubles++
}

// heldUp says whether what arrived at a time may have been on its way since the trouble began.
func (l *link) heldUp(at, arriving time.Duration) bool {
	return l.troubles > 0 || l.mended >= 0 && at <= l.mended+arriving
}
