package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A configuration comes back from a store as it went in; a joint one that is cut short anywhere is
// refused, as is any record of a kind that the program doesn't know.
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
		back, err := decodeEntry(7, record)
		require.NoError(t, err)
		require.Equal(t, entry, back)
		if !members.isJoint() {
			continue
		}
		for cut := 9; cut < len(record); cut++ {
			short, err := decodeEntry(7, record[:cut])
			if err == nil { // between two members of the outgoing set
				require.NotEqual(t, entry, short)
				require.True(t, short.Members.isJoint())
				require.Equal(t, next, short.Members.Voters)
			}
		}
	}
}
