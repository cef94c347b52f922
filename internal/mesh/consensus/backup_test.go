package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A new mesh that is founded from a backup contains everything that was acknowledged before the
// backup. The nodes of the previous mesh continue on their own, and the two meshes exchange
// nothing. Nodes of the previous mesh can join the new one with empty disks.
func TestNewMesh(t *testing.T) {
	withTestCluster(t, func(c *testCluster) {
		c.waitForLeader()
		var want []string
		for i := range 3 {
			want = append(want, fmt.Sprint("before ", i))
			require.NoError(t, c.propose("b", want[i], time.Second))
		}
		b, err := c.nodes["a"].Backup(c.Context())
		require.NoError(t, err)
		file, err := b.Encode()
		require.NoError(t, err)
		require.NoError(t, c.propose("b", "after", time.Second))
		stop := func(name string) {
			c.net.setNode(name, nil)
			require.NoError(t, c.nodes[name].Close())
		}
		stop("a")
		fromFolder, err := BackupFromDir(c.dirs["a"])
		require.NoError(t, err)
		require.NotEmpty(t, fromFolder.Entries)
		folderTable := &lineTable{}
		require.NoError(t, fromFolder.Replay(folderTable))
		require.Subset(t, folderTable.appliedLines(), want)

		b, err = DecodeBackup(file)
		require.NoError(t, err)
		table := &lineTable{}
		require.NoError(t, b.Replay(table))
		_, err = b.NewMesh(c.dirs["a"], "a", 3, table)
		require.ErrorContains(t, err, "empty folder alone")
		c.dirs["a"] = t.TempDir()
		_, err = b.NewMesh(c.dirs["a"], "a", 3, table)
		require.NoError(t, err)
		c.start("a")
		<-time.After(5 * time.Second)
		require.NoError(t, c.propose("a", "new", time.Second))
		require.NoError(t, c.propose("b", "old", time.Second))
		require.Equal(t, append(want, "new"), c.tables["a"].appliedLines())
		require.Equal(t, append(want, "after", "old"), c.tables["b"].appliedLines())
		require.NotZero(t, c.nodes["a"].Status().ForeignMessages)
		stop("b")
		stop("c")
		for _, name := range []string{"b", "c"} {
			c.dirs[name] = t.TempDir()
			c.start(name)
		}
		require.NoError(t, c.propose("a", "all", time.Second))
		<-time.After(5 * time.Second)
		require.Equal(t, "a", c.waitForLeader())
		require.Len(t, c.nodes["c"].Status().Members, 3)
		require.Equal(t, append(want, "new", "all"), c.tables["c"].appliedLines())
		stop("a") // the number of the mesh must survive the stop of its first node and a restart
		stop("b")
		c.start("b")
		<-time.After(5 * time.Second)
		require.NoError(t, c.propose("c", "two", time.Second))
		c.start("a")
		c.waitForLeader()
		require.NoError(t, c.propose("a", "three", time.Second))
	})
}

// Backups that are corrupted, truncated or inconsistent are rejected.
func TestBackupRefusesDamage(t *testing.T) {
	members := &Members{Target: 1, Voters: []Member{{"a", 1}}}
	valid := Backup{By: "a", Snapshot: &Snapshot{Index: 4, Term: 2, Members: *members, Data: []byte("x")}, Entries: []Entry{{Index: 5, Term: 2}}}
	file, err := valid.Encode()
	require.NoError(t, err)
	_, err = DecodeBackup(file)
	require.NoError(t, err)
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		damaged := bytes.Clone(file)
		damaged[r.IntN(len(damaged))] ^= 1 << r.IntN(8)
		_, err = DecodeBackup(damaged)
		require.Error(t, err)
		_, err = DecodeBackup(file[:r.IntN(len(file))])
		require.Error(t, err)
	}
	for want, b := range map[string]Backup{
		"holds nothing": {By: "a"},
		"stands behind": {Snapshot: valid.Snapshot, Entries: []Entry{{Index: 6, Term: 2}}},
		"of term 1":     {Snapshot: valid.Snapshot, Entries: []Entry{{Index: 5, Term: 1}}},
	} {
		file, err := b.Encode()
		require.NoError(t, err)
		_, err = DecodeBackup(file)
		require.ErrorContains(t, err, want)
	}
}
