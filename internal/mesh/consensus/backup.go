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

	// newMeshIndexGap is the number of indexes that a new mesh skips: more than the previous mesh
	// can have used after the backup was taken.
	newMeshIndexGap = 1_000_000
)

// Backup is the state of a table at an index. A backup of a running node contains everything that
// was committed before it was requested. A backup of the folder of a stopped node contains the
// node's last snapshot and the log after it. The last of these entries may never have been
// committed, which only the other nodes know.
type Backup struct {
	Format   uint32 // format of the file that it was read from, a backup or a store
	By       string // address of the node that it was taken from
	Current  bool   // it was taken from a running node
	Snapshot *Snapshot
	Entries  []Entry // the entries after the snapshot
}

// Encode returns the content of a backup file: a header, a checksum of the body, and the body.
func (b *Backup) Encode() ([]byte, error) {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(b); err != nil {
		return nil, oops.In("consensus").Wrapf(err, "encoding a backup")
	}
	file := binary.BigEndian.AppendUint32([]byte(backupMagic), backupFormat)
	file = binary.BigEndian.AppendUint32(file, crc32.Checksum(body.Bytes(), castagnoli))
	return append(file, body.Bytes()...), nil
}

// DecodeBackup decodes and validates the content of a backup file.
func DecodeBackup(file []byte) (*Backup, error) {
	headerSize := len(backupMagic) + 8
	if len(file) < headerSize || string(file[:len(backupMagic)]) != backupMagic {
		return nil, oops.Errorf("this is no backup, or its header is truncated")
	}
	format, sum := binary.BigEndian.Uint32(file[headerSize-8:]), binary.BigEndian.Uint32(file[headerSize-4:])
	if format != backupFormat {
		return nil, oops.Errorf("the backup has format %d, but this program supports format %d: read it with the program that wrote it", format, backupFormat)
	}
	if sum != crc32.Checksum(file[headerSize:], castagnoli) {
		return nil, oops.Errorf("checksum mismatch: the backup is corrupted or truncated: take another one")
	}
	b := &Backup{}
	if err := gob.NewDecoder(bytes.NewReader(file[headerSize:])).Decode(b); err != nil {
		return nil, oops.Wrapf(err, "the backup can't be decoded")
	}
	b.Format = format
	return b, b.validate()
}

// BackupFromDir reads a backup from the data folder of a stopped node.
func BackupFromDir(dir string) (*Backup, error) {
	path := filepath.Join(dir, storeName)
	found, err := exists(path)
	if err == nil && !found { // after a failed save, the store has this name
		path = filepath.Join(dir, suspectStoreName)
		found, err = exists(path)
	}
	if err == nil && !found {
		err = oops.Errorf("the folder has no %s", storeName)
	}
	if err != nil {
		return nil, oops.Wrapf(err, "%s", dir)
	}
	content, err := readStore(path)
	if err != nil {
		return nil, oops.Wrapf(err, "%s", path)
	}
	b := &Backup{Format: content.format, By: content.identity.Address, Snapshot: content.state.Snapshot, Entries: content.state.Entries}
	if s := b.Snapshot; s != nil {
		b.Entries = b.Entries[s.Index-content.state.BaseIndex:]
	}
	return b, b.validate()
}

// lastConfiguration returns the place of the last entry in the backup, and the members as of there.
func (b *Backup) lastConfiguration() (last Place, members Members) {
	if s := b.Snapshot; s != nil {
		last, members = Place{s.Term, s.Index}, s.Members
	}
	for _, e := range b.Entries {
		last = Place{e.Term, e.Index}
		if e.Members != nil {
			members = *e.Members
		}
	}
	return last, members
}

// Index returns the index of the last entry in the backup.
func (b *Backup) Index() uint64 { last, _ := b.lastConfiguration(); return last.Index }

// Members returns the latest configuration in the backup.
func (b *Backup) Members() Members { _, members := b.lastConfiguration(); return members }

// validate reports an error if the backup is empty, or if its entries do not follow its snapshot.
func (b *Backup) validate() error {
	state := State{Snapshot: b.Snapshot, Entries: b.Entries}
	if b.Snapshot != nil {
		state.BaseIndex, state.BaseTerm = b.Snapshot.Index, b.Snapshot.Term
	}
	last, members := b.lastConfiguration()
	if last.Index == 0 || len(members.Voters) == 0 {
		return oops.Errorf("the backup holds nothing: its node had not yet heard from any other node")
	}
	state.Hard.Term = last.Term
	return state.validate()
}

// Replay applies the backup to an empty table.
func (b *Backup) Replay(t Table) error {
	if s := b.Snapshot; s != nil {
		if err := t.Restore(s.Index, s.Data); err != nil {
			return oops.Wrapf(err, "restoring the table from the snapshot at index %d", s.Index)
		}
	}
	for _, e := range b.Entries {
		if e.Origin != 0 {
			t.Apply(e.Index, e.Command)
		}
	}
	return nil
}

// NewMesh founds a new mesh from the backup. In an empty folder it creates the store of the first
// and only member, with the content of a table to which the backup was replayed. It returns the
// number of the new mesh. The store has a new disk number, so it is not a member of the previous
// mesh. Nodes of the previous mesh may hold newer entries at the same indexes. The two meshes
// ignore each other's messages, because their numbers differ.
func (b *Backup) NewMesh(dir, self string, target int, t Table) (mesh uint64, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, diskError(dir, err)
	}
	existing, err := os.ReadDir(dir)
	if err != nil {
		return 0, diskError(dir, err)
	}
	if len(existing) > 0 {
		return 0, oops.Errorf("%s contains %s: a backup can be restored into an empty folder alone, since a node must not lose its votes and acknowledgements",
			dir, existing[0].Name())
	}
	last, _ := b.lastConfiguration()
	last.Index += newMeshIndexGap // a node that heard the previous mesh then accepts this state as newer
	id, mesh := identity{Disk: randomNonzero(), Address: self}, randomNonzero()
	members := Members{Voters: []Member{{self, id.Disk}}, Target: target, Mesh: mesh}
	snapshot := &Snapshot{Index: last.Index, Term: last.Term, Members: members, MembersAt: last, Data: t.Snapshot()}
	return mesh, diskError(dir, createStore(dir, id, &Save{Hard: Hard{Term: last.Term}, Snapshot: snapshot,
		BaseIndex: last.Index, BaseTerm: last.Term, FirstIndex: last.Index + 1}))
}
