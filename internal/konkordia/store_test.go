package konkordia

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
)

func TestStoreComesBack(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "folder")
	s, first, err := openStore(dir, true, []string{"a", "b"})
	require.NoError(t, err)
	require.Equal(t, Found([]string{"a", "b"}), first.Entries)
	require.NotZero(t, first.Disk)
	command := func(index, term uint64) Entry {
		return Entry{Index: index, Term: term, Origin: 3, ID: index, Command: []byte{byte(index)}}
	}
	members := Members{Target: 3, Voters: []Member{{"a", 7}, {"b", 1 << 63}}}
	hard := Hard{Term: 4, Vote: Member{"a", 7}}
	require.NoError(t, s.save(&Save{Hard: hard, First: 2,
		Entries: []Entry{{Index: 2, Term: 2}, command(3, 2), command(4, 2), {Index: 5, Term: 2, Members: &members}}}))
	snapshot := &Snapshot{Index: 3, Term: 2, Members: members, MembersAt: Place{1, 1}, Data: []byte("state")}
	require.NoError(t, s.save(&Save{Hard: hard, Base: 2, BaseTerm: 2, Snapshot: snapshot, First: 5,
		Entries: []Entry{command(5, 4)}}))
	require.NoError(t, s.close())

	s, state, err := openStore(dir, true, nil)
	require.NoError(t, err)
	require.Equal(t, State{Disk: first.Disk, Founder: true, Hard: hard, Base: 2, BaseTerm: 2, Snapshot: snapshot,
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
		"an entry lacks":    {func(_, log *bbolt.Bucket) error { return put(log, indexKey(3), encodeEntry(Entry{Term: 2})) }, "lacks"},
		"the vote is gone":  {func(meta, _ *bbolt.Bucket) error { return meta.Delete(hardKey) }, "missing"},
		"the format is new": {func(meta, _ *bbolt.Bucket) error { return put(meta, formatKey, []byte{0, 0, 0, 2}) }, "format"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, err := openStore(dir, true, []string{"a"})
			require.NoError(t, err)
			require.NoError(t, s.db.Update(func(tx *bbolt.Tx) error {
				return c.harm(tx.Bucket(metaBucket), tx.Bucket(logBucket))
			}))
			require.NoError(t, s.close())
			_, _, err = openStore(dir, true, []string{"a"})
			require.ErrorContains(t, err, c.want)
		})
	}
	t.Run("the file is no store", func(t *testing.T) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, storeName), make([]byte, 1<<15), 0o644))
		_, _, err := openStore(dir, true, []string{"a"})
		require.Error(t, err)
	})
	t.Run("a half-made store is made anew", func(t *testing.T) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, storeName+".new"), make([]byte, 100), 0o644))
		s, _, err := openStore(dir, true, []string{"a"})
		require.NoError(t, err)
		require.NoError(t, s.close())
	})
}
