package consensus

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
)

func TestStoreComesBack(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	s, first, err := openStore(dir, "a", true, []string{"a", "b"})
	require.NoError(t, err)
	require.Equal(t, BootstrapEntries([]string{"a", "b"}), first.Entries)
	require.NotZero(t, first.Disk)
	command := func(index, term uint64) Entry {
		return Entry{Index: index, Term: term, Origin: 3, ID: index, Command: []byte{byte(index)}}
	}
	members := Members{Target: 3, Voters: []Member{{"a", 7}, {"b", 1 << 63}}}
	hard := Hard{Term: 4, Vote: Member{"a", 7}}
	require.NoError(t, s.save(&Save{Hard: hard, FirstIndex: 2,
		Entries: []Entry{{Index: 2, Term: 2}, command(3, 2), command(4, 2), {Index: 5, Term: 2, Members: &members}}}))
	snapshot := &Snapshot{Index: 3, Term: 2, Members: members, MembersAt: Place{1, 1}, Data: []byte("state")}
	require.NoError(t, s.save(&Save{Hard: hard, BaseIndex: 2, BaseTerm: 2, Snapshot: snapshot, FirstIndex: 5,
		Entries: []Entry{command(5, 4)}}))
	require.NoError(t, s.close())

	s, state, err := openStore(dir, "a", true, nil)
	require.NoError(t, err)
	require.Equal(t, State{Disk: first.Disk, Founder: true, Hard: hard, BaseIndex: 2, BaseTerm: 2, Snapshot: snapshot,
		Entries: []Entry{command(3, 2), command(4, 2), command(5, 4)}}, state)
	require.NoError(t, s.close())
}

func TestStoreRefusesDamage(t *testing.T) {
	for name, c := range map[string]struct {
		harm func(meta, log *bbolt.Bucket) error
		want string
	}{
		"an entry is changed": {func(_, log *bbolt.Bucket) error {
			record := append([]byte{}, log.Get(indexKey(1))...)
			record[len(record)-1] ^= 1
			return log.Put(indexKey(1), record)
		}, "checksum"},
		"an entry is elsewhere": {func(_, log *bbolt.Bucket) error {
			return log.Put(indexKey(2), append([]byte{}, log.Get(indexKey(1))...))
		}, "checksum"},
		"an entry lacks":    {func(_, log *bbolt.Bucket) error { return putRecord(log, indexKey(3), encodeEntry(Entry{Term: 2})) }, "lacks"},
		"the vote is gone":  {func(meta, _ *bbolt.Bucket) error { return meta.Delete(hardKey) }, "missing"},
		"the format is new": {func(meta, _ *bbolt.Bucket) error { return putRecord(meta, formatKey, []byte{0, 0, 0, 3}) }, "start the program that wrote it"},
		"it is another's": {func(meta, _ *bbolt.Bucket) error { return putGob(meta, identityKey, identity{7, true, "b"}) },
			"is the store of b, and this node is a"},
		"terms go back": {func(_, log *bbolt.Bucket) error {
			return errors.Join(putRecord(log, indexKey(2), encodeEntry(Entry{Term: 2})), putRecord(log, indexKey(3), encodeEntry(Entry{Term: 1})))
		}, "stands behind"},
		"the vote is older than the log": {func(_, log *bbolt.Bucket) error {
			return putRecord(log, indexKey(2), encodeEntry(Entry{Term: 2}))
		}, "promised 1 alone"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, err := openStore(dir, "a", true, []string{"a"})
			require.NoError(t, err)
			require.NoError(t, s.db.Update(func(tx *bbolt.Tx) error {
				return c.harm(tx.Bucket(metaBucket), tx.Bucket(logBucket))
			}))
			require.NoError(t, s.close())
			_, _, err = openStore(dir, "a", true, []string{"a"})
			require.ErrorContains(t, err, c.want)
		})
	}
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"zeros": {make([]byte, 1<<15), "no bbolt file"}, "text": {bytes.Repeat([]byte("x=y\n"), 1<<13), "no bbolt file"},
		"nothing": {nil, "empty or cut off"}, "little": {[]byte("x"), "no bbolt file"},
	} {
		t.Run("the file is "+name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(dir, storeName), c.text, 0o644))
			_, _, err := openStore(dir, "a", true, []string{"a"})
			require.ErrorContains(t, err, c.want)
		})
	}
	t.Run("the folder is a file", func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "file")
		require.NoError(t, os.WriteFile(dir, nil, 0o644))
		_, _, err := openStore(dir, "a", true, []string{"a"})
		require.ErrorContains(t, err, "making the data folder")
	})
	t.Run("it is open already", func(t *testing.T) {
		dir := t.TempDir()
		s, _, err := openStore(dir, "a", true, []string{"a"})
		require.NoError(t, err)
		_, _, err = openStore(dir, "a", true, []string{"a"})
		require.ErrorContains(t, err, "another process has the file open")
		require.NoError(t, s.close())
	})
	t.Run("a half-made store is made anew", func(t *testing.T) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, storeName+".new"), make([]byte, 100), 0o644))
		s, _, err := openStore(dir, "a", true, []string{"a"})
		require.NoError(t, err)
		require.NoError(t, s.close())
	})
}

// filled is the folder of a store with some hundred entries, and what it holds.
func newFilledStore(t *testing.T) (string, State) {
	dir := t.TempDir()
	s, _, err := openStore(dir, "a", true, []string{"a", "b"})
	require.NoError(t, err)
	for i := uint64(2); i < 300; i += 6 {
		entry := func(index uint64) Entry {
			return Entry{Index: index, Term: 2, Origin: 3, ID: index, Command: bytes.Repeat([]byte{byte(index)}, int(index))}
		}
		require.NoError(t, s.save(&Save{Hard: Hard{Term: 2}, FirstIndex: i, Entries: []Entry{entry(i), entry(i + 1), entry(i + 2),
			entry(i + 3), entry(i + 4), entry(i + 5)}}))
	}
	require.NoError(t, s.close())
	s, state, err := openStore(dir, "a", true, nil)
	require.NoError(t, err)
	require.NoError(t, s.close())
	return dir, state
}

// Whatever is torn, cut off or overwritten: the store holds the same as before, or says that it is
// damaged. It never holds something else, and never takes the process down.
func TestStoreTorn(t *testing.T) {
	dir, want := newFilledStore(t)
	path := filepath.Join(dir, storeName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	r := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for range 150 {
		torn := bytes.Clone(whole)
		switch at := r.IntN(len(torn)); r.IntN(4) {
		case 0:
			torn = torn[:at]
		case 1: // a sector of something else
			at -= at % 512
			copy(torn[at:], whole[r.IntN(len(whole)):][:min(512, len(whole)-at)/2])
		case 2:
			torn[at] ^= 1 << r.IntN(8)
		case 3: // one of the two heads
			clear(torn[r.IntN(2)*os.Getpagesize():][:1+r.IntN(80)])
		}
		require.NoError(t, os.WriteFile(path, torn, 0o644))
		s, got, err := openStore(dir, "a", true, nil)
		if err != nil {
			require.ErrorContains(t, err, "the node recovers from the others")
			refused++
			continue
		}
		require.NoError(t, s.close())
		if got.Entries == nil || got.Entries[len(got.Entries)-1].Index != 301 { // the last write taken back
			require.Equal(t, want.Entries[:295], got.Entries)
			got.Entries = want.Entries
		}
		require.Equal(t, want, got)
	}
	t.Logf("%d of 150 refused", refused)
	require.Greater(t, refused, 25)
}

// A store of the format before has no address; it gets its node's.
func TestStoreOfOldFormat(t *testing.T) {
	dir, want := newFilledStore(t)
	for _, format := range []byte{1, 2} {
		db, err := openDatabase(filepath.Join(dir, storeName))
		require.NoError(t, err)
		require.NoError(t, db.Update(func(tx *bbolt.Tx) error {
			if format != 1 {
				return nil
			}
			meta := tx.Bucket(metaBucket)
			type identity struct { // as it was
				Disk    uint64
				Founder bool
			}
			return errors.Join(putRecord(meta, formatKey, []byte{0, 0, 0, 1}), putGob(meta, identityKey, identity{want.Disk, true}))
		}))
		require.NoError(t, db.Close())
		s, got, err := openStore(dir, "a", true, nil)
		require.NoError(t, err)
		require.NoError(t, s.close())
		require.Equal(t, want, got)
		_, _, err = openStore(dir, "b", true, nil)
		require.ErrorContains(t, err, "store of a")
	}
}
