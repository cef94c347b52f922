package consensus

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxFileGrowth bounds the size of a store's file, in multiples of the snapshot and the log it
// holds. bbolt reuses freed pages but never returns them to the file system, and its file grows by
// doubling.
const maxFileGrowth = 8

// The file of a store stays within its size bound while many snapshots of growing size and entries
// in between are saved.
func TestStoreStaysSmall(t *testing.T) {
	dir := t.TempDir()
	s, _, err := openStore(dir, "a", true, []string{"a", "b", "c"})
	require.NoError(t, err)
	defer func() { require.NoError(t, s.close()) }()
	r := rand.New(rand.NewPCG(1, 1))
	index, base, contentBytes := uint64(1), uint64(0), 0
	for size := 256 << 10; size < 1<<20; size += 32 << 10 {
		for range 4 {
			save := &Save{Hard: Hard{Term: 1}, BaseIndex: base, BaseTerm: 1, FirstIndex: index + 1}
			for range 1 + r.IntN(8) {
				index++
				save.Entries = append(save.Entries, Entry{Index: index, Term: 1, Origin: 1, ID: index, Command: make([]byte, 200+r.IntN(1500))})
			}
			require.NoError(t, s.save(save))
		}
		base, contentBytes = index-min(index, 30), size+30*1700
		require.NoError(t, s.save(&Save{Hard: Hard{Term: 1}, BaseIndex: base, BaseTerm: 1, FirstIndex: index + 1,
			Snapshot: &Snapshot{Index: index, Term: 1, Data: bytes.Repeat([]byte{byte(size)}, size)}}))
	}
	info, err := os.Stat(filepath.Join(dir, storeName))
	require.NoError(t, err)
	t.Logf("snapshot and log have up to %d bytes: the file has %d, %.1f times as many", contentBytes, info.Size(), float64(info.Size())/float64(contentBytes))
	require.Less(t, info.Size(), int64(maxFileGrowth*contentBytes))
}
