package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A configuration is decoded as it was encoded. A joint configuration that is truncated anywhere is
// rejected, except between two outgoing voters, where it must at least remain joint with all
// incoming voters.
func TestMembersEncoding(t *testing.T) {
	old, next := []Member{{"a", 1}, {"b", 2}, {"c", 0}}, []Member{{"a", 1}, {"b", 2}, {"d", 4}}
	for _, members := range []Members{
		{Voters: old, Target: 3},
		{Voters: old, Target: 3, Mesh: 77},
		{Voters: next, Old: old, Target: 3},
		{Voters: next, Old: old, Target: 5, Mesh: 77},
	} {
		entry := Entry{Index: 7, Term: 3, Members: &members}
		record := encodeEntry(entry)
		decoded, err := decodeEntry(7, record)
		require.NoError(t, err)
		require.Equal(t, entry, decoded)
		if !members.isJoint() {
			continue
		}
		for cut := 9; cut < len(record); cut++ {
			truncated, err := decodeEntry(7, record[:cut])
			if err == nil { // cut between two outgoing voters
				require.NotEqual(t, entry, truncated)
				require.True(t, truncated.Members.isJoint())
				require.Equal(t, next, truncated.Members.Voters)
			}
		}
	}
}
