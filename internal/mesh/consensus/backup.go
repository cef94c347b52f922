package consensus

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

const (
	backupMagic  = "micaline-mesh backup\n"
	backupFormat = 1

	newMeshIndexGap = 1_000_000 // indexes, more than the mesh of before can have used after the backup
)

// Backup is a table at an index. One of a running node holds all that was committed before it was
// asked for. One of a stopped node's folder holds the log behind the node's last snapshot as well,
// whose end may never have been committed: only the others know.
type Backup struct {
	Format   uint32 // of the file that it was read from, backup or store
	By       string // the node
	Current  bool   // of a running node
	Snapshot *Snapshot
	Entries  []Entry // behind the snapshot
}

// Encode is the backup as a file: a head, a checksum over the rest, and the rest.
func (b *Backup) Encode() ([]byte, error) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(b); err != nil {
		return nil, oops.In("consensus").Wrapf(err, "encoding a backup")
	}
	file := binary.BigEndian.AppendUint32([]byte(backupMagic), backupFormat)
	file = binary.BigEndian.AppendUint32(file, crc32.Checksum(body.Bytes(), castagnoli))
	return append(file, body.Bytes()...), nil
}

// DecodeBackup reads a file and checks it.
func DecodeBackup(file []byte) (*Backup, error) {
	head := len(backupMagic) + 8
	if len(file) < head || string(file[:len(backupMagic)]) != backupMagic {
		return nil, oops.Errorf("this is no backup, or its head is cut off")
	}
	format, sum := binary.BigEndian.Uint32(file[head-8:]), binary.BigEndian.Uint32(file[head-4:])
	if format != backupFormat {
		return nil, oops.Errorf("format: the backup has %d, and this program knows %d: read it with the program that wrote it", format, backupFormat)
	}
	if sum != crc32.Checksum(file[head:], castagnoli) {
		return nil, oops.Errorf("checksum: the backup is damaged or cut off: take another one")
	}
	b := &Backup{}
	if err := gob.NewDecoder(bytes.NewReader(file[head:])).Decode(b); err != nil {
		return nil, oops.Wrapf(err, "the backup can't be decoded")
	}
	b.Format = format
	return b, b.validate()
}

// BackupOf reads the folder of a node that is stopped.
func BackupFromDir(dir string) (*Backup, error) {
	path := filepath.Join(dir, storeName)
	there, err := exists(path)
	if err == nil && !there { // a failed save left only this
		path = filepath.Join(dir, suspectStoreName)
		there, err = exists(path)
	}
	if err == nil && !there {
		err = oops.Errorf("the folder has no %s", storeName)
	}
	if err != nil {
		return nil, oops.Wrapf(err, "%s", dir)
	}
	c, err := readStore(path)
	if err != nil {
		return nil, oops.Wrapf(err, "%s", path)
	}
	b := &Backup{Format: c.format, By: c.identity.Address, Snapshot: c.state.Snapshot, Entries: c.state.Entries}
	if s := b.Snapshot; s != nil {
		b.Entries = b.Entries[s.Index-c.state.BaseIndex:]
	}
	return b, b.validate()
}

// end is the last place that the backup holds, and the members there.
func (b *Backup) lastConfiguration() (at Place, members Members) {
	if s := b.Snapshot; s != nil {
		at, members = Place{s.Term, s.Index}, s.Members
	}
	for _, e := range b.Entries {
		at = Place{e.Term, e.Index}
		if e.Members != nil {
			members = *e.Members
		}
	}
	return at, members
}

// Index is the last index that the backup holds.
func (b *Backup) Index() uint64 { at, _ := b.lastConfiguration(); return at.Index }

// Members are the members at that index.
func (b *Backup) Members() Members { _, members := b.lastConfiguration(); return members }

// check tells whether the entries lead from the snapshot on.
func (b *Backup) validate() error {
	s := State{Snapshot: b.Snapshot, Entries: b.Entries}
	if b.Snapshot != nil {
		s.BaseIndex, s.BaseTerm = b.Snapshot.Index, b.Snapshot.Term
	}
	at, members := b.lastConfiguration()
	if at.Index == 0 || len(members.Voters) == 0 {
		return oops.Errorf("it holds nothing: its node had not yet heard of any other")
	}
	s.Hard.Term = at.Term
	return s.validate()
}

// Replay brings an empty table to where the backup ends.
func (b *Backup) Replay(t Table) error {
	if s := b.Snapshot; s != nil {
		if err := t.Restore(s.Index, s.Data); err != nil {
			return oops.Wrapf(err, "the table as of %d", s.Index)
		}
	}
	for _, e := range b.Entries {
		if e.Origin != 0 {
			t.Apply(e.Index, e.Command)
		}
	}
	return nil
}

// NewMesh founds a mesh: it makes the store of a first and only member in an empty folder, with a
// table that the backup was replayed to. It returns the mesh's number. The disk is a new one, so to
// the mesh of before it is nobody; and since the mesh is another, nodes of the one before, which
// may hold newer entries at the same indexes, are not heard by it, nor it by them.
func (b *Backup) NewMesh(dir, self string, target int, t Table) (mesh uint64, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, diskError(dir, err)
	}
	there, err := os.ReadDir(dir)
	if err != nil {
		return 0, diskError(dir, err)
	}
	if len(there) > 0 {
		return 0, oops.Errorf("%s holds %s: a backup goes into an empty folder alone, since a node must not lose what it has promised",
			dir, there[0].Name())
	}
	at, _ := b.lastConfiguration()
	at.Index += newMeshIndexGap // whoever heard the mesh of before takes what comes now for newer
	id, mesh := identity{Disk: randomNonzero(), Address: self}, randomNonzero()
	members := Members{Voters: []Member{{self, id.Disk}}, Target: target, Mesh: mesh}
	snapshot := &Snapshot{Index: at.Index, Term: at.Term, Members: members, MembersAt: at, Data: t.Snapshot()}
	return mesh, diskError(dir, createStore(dir, id, &Save{Hard: Hard{Term: at.Term}, Snapshot: snapshot,
		BaseIndex: at.Index, BaseTerm: at.Term, FirstIndex: at.Index + 1}))
}
