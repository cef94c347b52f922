package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An operator's order about a grant comes twice, or after the duty has moved on: it moves the duty once.
func TestOrdersNameTheirGrant(t *testing.T) {
	var table Table
	apply := func(op Op) Answer {
		op.Duty, op.Term = "x", time.Second
		return table.Apply(&op)
	}
	duty := func() Duty { return *table.Duties["x"] }
	require.Equal(t, uint64(1), apply(Op{Kind: Acquire, Holder: "a/1"}).Epoch)
	hand := Op{Kind: HandOver, Epoch: 1, To: "b", Why: "by hand"}
	require.Empty(t, apply(hand).Refused)
	before := duty()
	require.Empty(t, apply(hand).Refused)
	require.Equal(t, before, duty(), "its time does not begin anew")
	require.True(t, apply(Op{Kind: Renew, Holder: "a/1", Epoch: 1}).Release)
	require.Empty(t, apply(Op{Kind: Release, Holder: "a/1", Epoch: 1}).Refused)
	require.NotEmpty(t, apply(Op{Kind: Acquire, Holder: "c/1"}).Refused)
	require.Equal(t, uint64(2), apply(Op{Kind: Acquire, Holder: "b/1"}).Epoch)

	before = duty()
	require.Empty(t, apply(hand).Refused, "it has come about")
	require.NotEmpty(t, apply(Op{Kind: HandOver, Epoch: 1, To: "c"}).Refused)
	require.Empty(t, apply(Op{Kind: Revoke, Epoch: 1, Why: "late"}).Refused, "nobody holds it under 1")
	require.NotEmpty(t, apply(Op{Kind: Revoke, Epoch: 3, Why: "early"}).Refused)
	require.Equal(t, before, duty())

	revoke := Op{Kind: Revoke, Epoch: 2, Why: "by hand"}
	require.Empty(t, apply(revoke).Refused)
	before = duty()
	require.True(t, before.Revoked)
	require.Empty(t, apply(revoke).Refused)
	require.Equal(t, before, duty(), "its time does not begin anew")
	require.NotEmpty(t, apply(Op{Kind: Renew, Holder: "b/1", Epoch: 2}).Refused)
}
