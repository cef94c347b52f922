package leave

import (
	"testing"
	"time"
)

// All orders of six calls at steps of 300 ms, against what the operators' page asks at each moment.
func TestAllOrders(t *testing.T) {
	const step = 300 * time.Millisecond
	worlds := 0
	var explore func(m Controller, now time.Duration, drained, ended time.Duration, left int)
	explore = func(m Controller, now, drained, ended time.Duration, left int) {
		worlds++
		s := m.ModeAt(now)
		leaving := drained >= 0 || ended >= 0
		switch {
		case s.Ready == leaving, s.CloseAfterAnswer != leaving:
			t.Fatalf("at %v, drained at %v, ended at %v: %+v", now, drained, ended, s)
		case !s.Accept && ended < 0:
			t.Fatalf("takes no connections though it does not end: %+v", s)
		case m.SharedSocket && ended >= 0 && s.Accept:
			t.Fatal("accepts what the other process is there for")
		case s.CloseIdle && !leaving:
			t.Fatal("ends idle connections while it serves")
		case drained >= 0 && now < drained+200*time.Millisecond && ended < 0 && s.CloseIdle:
			t.Fatal("ends idle connections while the front still sends")
		case (drained >= 0 && now >= drained+2*time.Second || ended >= 0 && now >= ended+time.Second) && !s.CloseIdle:
			t.Fatal("holds idle connections for too long")
		}
		if left == 0 {
			return
		}
		for _, pass := range []time.Duration{0, step, 4 * step} {
			at := now + pass
			explore(m, at, drained, ended, left-1)
			d, r, e := m, m, m
			d.Drain(at)
			since := drained
			if since < 0 {
				since = at
			}
			explore(d, at, since, ended, left-1)
			r.Resume()
			explore(r, at, -1, ended, left-1)
			e.Shutdown(at)
			end := ended
			if end < 0 {
				end = at
			}
			explore(e, at, drained, end, left-1)
		}
	}
	for _, shared := range []bool{false, true} {
		explore(Controller{SharedSocket: shared}, 0, -1, -1, 5)
	}
	if worlds < 100_000 {
		t.Errorf("only %d worlds", worlds)
	}
}
