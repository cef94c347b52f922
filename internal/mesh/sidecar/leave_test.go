package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClientsAreAwayAfterTwoCalls checks that only two readiness checks with enough time between
// them count as proof that clients are routed elsewhere.
func TestClientsAreAwayAfterTwoCalls(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	var r refusalTracker
	require.False(t, r.clientsAway(at(0)))
	for ms := range 400 { // another client checks continuously
		r.record(at(300 + ms))
	}
	require.False(t, r.clientsAway(at(900)), "only one of these may be a check of the platform")
	r.record(at(1300))
	require.False(t, r.clientsAway(at(1400)))
	require.True(t, r.clientsAway(at(1500)))
	r.record(at(2300))
	require.True(t, r.clientsAway(at(2300)), "a third check changes nothing")
}
