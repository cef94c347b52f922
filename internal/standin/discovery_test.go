package standin

import (
	"testing"
	"testing/synctest"
	"time"
)

// A discovery that has promised half a second of work turns calls away, at once, until it has done some of it.
func TestDiscoveryTurnsCallsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDiscovery(nil, nil, 800)
		defer d.Close()
		taken := 0
		for range 80 { // all agents ask for a list of sixty lines
			if d.takes(60) {
				taken++
			}
		}
		if taken != 6 {
			t.Errorf("%d calls are taken at once, want 6: half a second's lines, and the one that begins before", taken)
		}
		time.Sleep(250 * time.Millisecond)
		if !d.takes(0) {
			t.Error("a call is turned away though the work of a quarter of a second is done")
		}
		free := NewDiscovery(nil, nil, 0)
		defer free.Close()
		for range 1000 {
			if !free.takes(60) {
				t.Fatal("a discovery without a limit turns a call away")
			}
		}
	})
}
