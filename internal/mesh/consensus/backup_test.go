package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A backup brings back what was acknowledged before it, as another mesh: nodes of the mesh that was
// go on among themselves, and nothing passes from one to the other. With empty disks they join.
func TestNewMesh(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		m.waitForLeader()
		var want []string
		for i := range 3 {
			want = append(want, fmt.Sprint("before ", i))
			require.NoError(t, m.propose("b", want[i], time.Second))
		}
		b, err := m.nodes["a"].Backup(m.Context())
		require.NoError(t, err)
		file, err := b.Encode()
		require.NoError(t, err)
		require.NoError(t, m.propose("b", "after", time.Second))
		stop := func(name string) {
			m.net.setNode(name, nil)
			require.NoError(t, m.nodes[name].Close())
		}
		stop("a")
		folder, err := BackupFromDir(m.dirs["a"])
		require.NoError(t, err)
		require.NotEmpty(t, folder.Entries)
		old := &lineTable{}
		require.NoError(t, folder.Replay(old))
		require.Subset(t, old.appliedLines(), want)

		b, err = DecodeBackup(file)
		require.NoError(t, err)
		table := &lineTable{}
		require.NoError(t, b.Replay(table))
		_, err = b.NewMesh(m.dirs["a"], "a", 3, table)
		require.ErrorContains(t, err, "empty folder alone")
		m.dirs["a"] = t.TempDir()
		_, err = b.NewMesh(m.dirs["a"], "a", 3, table)
		require.NoError(t, err)
		m.start("a")
		<-time.After(5 * time.Second)
		require.NoError(t, m.propose("a", "new", time.Second))
		require.NoError(t, m.propose("b", "old", time.Second))
		require.Equal(t, append(want, "new"), m.tables["a"].appliedLines())
		require.Equal(t, append(want, "after", "old"), m.tables["b"].appliedLines())
		require.NotZero(t, m.nodes["a"].Status().ForeignMessages)
		stop("b")
		stop("c")
		for _, name := range []string{"b", "c"} {
			m.dirs[name] = t.TempDir()
			m.start(name)
		}
		require.NoError(t, m.propose("a", "all", time.Second))
		<-time.After(5 * time.Second)
		require.Equal(t, "a", m.waitForLeader())
		require.Len(t, m.nodes["c"].Status().Members, 3)
		require.Equal(t, append(want, "new", "all"), m.tables["c"].appliedLines())
		stop("a") // and its number outlives the first one and a restart
		stop("b")
		m.start("b")
		<-time.After(5 * time.Second)
		require.NoError(t, m.propose("c", "two", time.Second))
		m.start("a")
		m.waitForLeader()
		require.NoError(t, m.propose("a", "three", time.Second))
	})
}

func TestBackupRefusesDamage(t *testing.T) {
	members := &Members{Target: 1, Voters: []Member{{"a", 1}}}
	good := Backup{By: "a", Snapshot: &Snapshot{Index: 4, Term: 2, Members: *members, Data: []byte("x")}, Entries: []Entry{{Index: 5, Term: 2}}}
	file, err := good.Encode()
	require.NoError(t, err)
	_, err = DecodeBackup(file)
	require.NoError(t, err)
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		bad := bytes.Clone(file)
		bad[r.IntN(len(bad))] ^= 1 << r.IntN(8)
		_, err = DecodeBackup(bad)
		require.Error(t, err)
		_, err = DecodeBackup(file[:r.IntN(len(file))])
		require.Error(t, err)
	}
	for want, b := range map[string]Backup{
		"holds nothing": {By: "a"},
		"stands behind": {Snapshot: good.Snapshot, Entries: []Entry{{Index: 6, Term: 2}}},
		"of term 1":     {Snapshot: good.Snapshot, Entries: []Entry{{Index: 5, Term: 1}}},
	} {
		file, err := b.Encode()
		require.NoError(t, err)
		_, err = DecodeBackup(file)
		require.ErrorContains(t, err, want)
	}
}
