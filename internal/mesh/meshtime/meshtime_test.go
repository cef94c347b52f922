package meshtime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that started while its time was wrong goes by the others, of which a minority is wrong too.
func TestCorrect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		began := c.Now()
		time.Sleep(time.Minute)
		require.Equal(t, began+time.Minute, c.Now())
		c.Correct([]time.Duration{2 * time.Second, 2*time.Second + time.Millisecond, 0, -time.Hour, 2 * time.Second})
		require.Equal(t, began+time.Minute+2*time.Second, c.Now())
		c.Correct(nil)
		require.Equal(t, c.Local()+2*time.Second, c.Now(), "what was heard holds")
		require.Equal(t, int64(12), WindowAt(62*time.Second, 5*time.Second))
		require.Equal(t, 65*time.Second, WindowEnd(12, 5*time.Second))
	})
}
