package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClientsAreAwayAfterTwoCalls(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var r refusals
	require.False(t, r.away(at(0)))
	for ms := range 400 { // somebody else asks all the time
		r.note(at(300 + ms))
	}
	require.False(t, r.away(at(900)), "one call of the platform may be among these")
	r.note(at(1300))
	require.False(t, r.away(at(1400)))
	require.True(t, r.away(at(1500)))
	r.note(at(2300))
	require.True(t, r.away(at(2300)), "a third call changes nothing")
}
