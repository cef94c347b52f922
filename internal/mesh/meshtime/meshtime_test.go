package meshtime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that starts with a wrong time is corrected by the others, even if a minority of those
// is wrong as well.
func TestCorrect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := New()
		start := clock.Now()
		time.Sleep(time.Minute)
		require.Equal(t, start+time.Minute, clock.Now())
		clock.Correct([]time.Duration{2 * time.Second, 2*time.Second + time.Millisecond, 0, -time.Hour, 2 * time.Second})
		require.Equal(t, start+time.Minute+2*time.Second, clock.Now())
		clock.Correct(nil)
		require.Equal(t, clock.Local()+2*time.Second, clock.Now(), "the previous correction stays in effect")
		require.Equal(t, int64(12), WindowAt(62*time.Second, 5*time.Second))
		require.Equal(t, 65*time.Second, WindowEnd(12, 5*time.Second))
	})
}
