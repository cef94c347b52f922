package consensus

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// mostGrowth is how many times a snapshot and the log behind it the file of a store may take. bbolt
// gives pages back to itself, never to the disk, and its file grows by doubling.
const maxFileGrowth = 8

// A store's file stays within its bound over many snapshots that grow, with entries saved in
// between.
func TestStoreStaysSmall(t *testing.T) {
	dir := t.TempDir()
	s, _, err := openStore(dir, "a", true, []string{"a", "b", "c"})
	require.NoError(t, err)
	defer func() { require.NoError(t, s.close()) }()
	r := rand.New(rand.NewPCG(1, 1))
	index, base, held := uint64(1), uint64(0), 0
	for size := 256 << 10; size < 1<<20; size += 32 << 10 {
		for range 4 {
			save := &Save{Hard: Hard{Term: 1}, BaseIndex: base, BaseTerm: 1, FirstIndex: index + 1}
			for range 1 + r.IntN(8) {
				index++
				save.Entries = append(save.Entries, Entry{Index: index, Term: 1, Origin: 1, ID: index, Command: make([]byte, 200+r.IntN(1500))})
			}
			require.NoError(t, s.save(save))
		}
		base, held = index-min(index, 30), size+30*1700
		require.NoError(t, s.save(&Save{Hard: Hard{Term: 1}, BaseIndex: base, BaseTerm: 1, FirstIndex: index + 1,
			Snapshot: &Snapshot{Index: index, Term: 1, Data: bytes.Repeat([]byte{byte(size)}, size)}}))
	}
	info, err := os.Stat(filepath.Join(dir, storeName))
	require.NoError(t, err)
	t.Logf("snapshots up to %d bytes with the log: the file has %d, %.1f times that", held, info.Size(), float64(info.Size())/float64(held))
	require.Less(t, info.Size(), int64(maxFileGrowth*held))
}
