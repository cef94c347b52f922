package leave

import (
	"testing"
	"time"
)

// All sequences of up to five calls, with pauses of 0, 0.3 and 1.2 s, are checked against what
// operators are promised at each moment.
func TestAllOrders(t *testing.T) {
	const step = 300 * time.Millisecond
	states := 0
	var explore func(c Controller, now time.Duration, drainedAt, shutdownAt time.Duration, depth int)
	explore = func(c Controller, now, drainedAt, shutdownAt time.Duration, depth int) {
		states++
		mode := c.ModeAt(now)
		leaving := drainedAt >= 0 || shutdownAt >= 0
		switch {
		case mode.Ready == leaving, mode.CloseAfterAnswer != leaving:
			t.Fatalf("at %v, drained at %v, shut down at %v: %+v", now, drainedAt, shutdownAt, mode)
		case !mode.Accept && shutdownAt < 0:
			t.Fatalf("accepts no connections without a shutdown: %+v", mode)
		case c.SharedSocket && shutdownAt >= 0 && mode.Accept:
			t.Fatal("accepts connections that the other process should get")
		case mode.CloseIdle && !leaving:
			t.Fatal("closes idle connections while it serves")
		case drainedAt >= 0 && now < drainedAt+200*time.Millisecond && shutdownAt < 0 && mode.CloseIdle:
			t.Fatal("closes idle connections while the load balancer still sends")
		case (drainedAt >= 0 && now >= drainedAt+2*time.Second || shutdownAt >= 0 && now >= shutdownAt+time.Second) && !mode.CloseIdle:
			t.Fatal("keeps idle connections open for too long")
		}
		if depth == 0 {
			return
		}
		for _, elapsed := range []time.Duration{0, step, 4 * step} {
			at := now + elapsed
			explore(c, at, drainedAt, shutdownAt, depth-1)
			drained, resumed, shutDown := c, c, c
			drained.Drain(at)
			firstDrainAt := drainedAt
			if firstDrainAt < 0 {
				firstDrainAt = at
			}
			explore(drained, at, firstDrainAt, shutdownAt, depth-1)
			resumed.Resume()
			explore(resumed, at, -1, shutdownAt, depth-1)
			shutDown.Shutdown(at)
			firstShutdownAt := shutdownAt
			if firstShutdownAt < 0 {
				firstShutdownAt = at
			}
			explore(shutDown, at, drainedAt, firstShutdownAt, depth-1)
		}
	}
	for _, shared := range []bool{false, true} {
		explore(Controller{SharedSocket: shared}, 0, -1, -1, 5)
	}
	if states < 100_000 {
		t.Errorf("only %d states explored", states)
	}
}
