package consensus

import (
	"bytes"
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"go.etcd.io/bbolt"
)

const (
	storeName         = "consensus.db"
	suspectStoreName  = storeName + ".suspect" // what a failed save left: see rewrite
	storeFormat       = 2                      // 1 had no address in the identity
	oldestStoreFormat = 1                      // the oldest that is read, and rewritten
)

var (
	metaBucket, logBucket = []byte("meta"), []byte("log")

	formatKey, identityKey, hardKey = []byte("format"), []byte("identity"), []byte("hard")
	baseKey, snapshotKey            = []byte("base"), []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// identity is what a store is told apart by. The address is where its promises were made.
type identity struct {
	Disk    uint64
	Founder bool
	Address string
}

// disk is what a Node needs of its store. Nothing is known of what a failed save left.
type disk interface {
	save(*Save) error
	close() error
}

// base is where the log begins.
type base struct{ Index, Term uint64 }

// store keeps a machine's state in a bbolt file. Each record carries a checksum over its key and
// value; one that doesn't fit ends the start with an error, since to go on without it would be to
// forget a promise. Of a write that power cut short, bbolt takes back what isn't whole.
type store struct {
	db         *bbolt.DB
	dir        string
	saveFailed bool
	hard       Hard // as written last
	base       base
}

// openStore opens the store in a folder, or makes one. A new file is made under another name and
// gets its own when it is whole: a loss of power then leaves a store, or none that has promised
// anything.
func openStore(dir, self string, founder bool, seeds []string) (*store, State, error) {
	errs := oops.In("consensus").With("folder", dir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, State{}, errs.Wrapf(err, "making the data folder")
	}
	path := filepath.Join(dir, storeName)
	there, err := exists(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(err, "looking for the store")
	}
	if !there {
		if err := rewriteOrCreateStore(dir, self, founder, seeds); err != nil {
			return nil, State{}, errs.Wrapf(diskError(dir, err), "making the store")
		}
	}
	// The file is read whole before anything is written to it, by who can bear damage.
	c, err := readStore(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(err, "reading %s", path)
	}
	if c.identity.Address != "" && c.identity.Address != self {
		return nil, State{}, errs.Wrap(unusable("%s is the store of %s, and this node is %s, which must not take over its promises: "+
			"mend the node's address or data folder in the settings, or take the file away, and the node recovers from the others",
			path, c.identity.Address, self))
	}
	if c.format != storeFormat {
		if err := createStore(dir, identity{c.identity.Disk, c.identity.Founder, self}, c.fullSave()); err != nil {
			return nil, State{}, errs.Wrapf(diskError(dir, err), "bringing %s from format %d to %d", path, c.format, storeFormat)
		}
	}
	if err := os.Remove(filepath.Join(dir, suspectStoreName)); err != nil && !os.IsNotExist(err) {
		return nil, State{}, errs.Wrapf(err, "removing what was rewritten")
	}
	db, err := openDatabase(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(diskError(dir, err), "opening %s", path)
	}
	return &store{db: db, dir: dir, hard: c.state.Hard, base: base{c.state.BaseIndex, c.state.BaseTerm}}, c.state, nil
}

func exists(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, err
}

// rewriteOrMake makes the store of what a failed save left, or an empty one. After a failed sync
// the system may show what is not on the disk, and never write it: so all of it is written anew.
func rewriteOrCreateStore(dir, self string, founder bool, seeds []string) error {
	suspect := filepath.Join(dir, suspectStoreName)
	there, err := exists(suspect)
	if err != nil {
		return err
	}
	if there {
		c, err := readStore(suspect)
		if err != nil {
			return oops.Wrapf(err, "reading %s", suspect)
		}
		return createStore(dir, c.identity, c.fullSave())
	}
	save := &Save{FirstIndex: 1}
	if founder {
		save.Hard.Term, save.Entries = 1, BootstrapEntries(seeds)
	}
	return createStore(dir, identity{randomNonzero(), founder, self}, save)
}

func openDatabase(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType})
}

// makeStore makes a whole store, in place of one that is there.
func createStore(dir string, id identity, save *Save) error {
	path := filepath.Join(dir, storeName)
	if err := os.Remove(path + ".new"); err != nil && !os.IsNotExist(err) {
		return err
	}
	db, err := openDatabase(path + ".new")
	if err != nil {
		return err
	}
	s := &store{db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(logBucket); err != nil {
			return err
		}
		if err := putRecord(meta, formatKey, binary.BigEndian.AppendUint32(nil, storeFormat)); err != nil {
			return err
		}
		if err := putGob(meta, identityKey, id); err != nil {
			return err
		}
		return s.write(tx, save)
	})
	if closing := db.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	return syncDir(filepath.Dir(filepath.Clean(dir))) // in case the folder is new as well
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// randomNumber is never 0, which stands for an unknown one.
func randomNonzero() uint64 {
	var b [8]byte
	cryptorand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// save writes in one transaction, which is synced when it returns.
func (s *store) save(save *Save) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return s.write(tx, save) }); err != nil {
		s.saveFailed = true
		return diskError(s.dir, err)
	}
	s.hard, s.base = save.Hard, base{save.BaseIndex, save.BaseTerm}
	return nil
}

// close closes the file, and may be called again if it fails. After a failed save the file gets a
// name that has the next start rewrite it;
// that needs no sync, since what a loss of power leaves can be trusted again.
func (s *store) close() error {
	err := s.db.Close()
	if s.saveFailed {
		path := filepath.Join(s.dir, storeName)
		renaming := os.Rename(path, filepath.Join(s.dir, suspectStoreName))
		s.saveFailed = renaming != nil
		if err == nil && renaming != nil {
			err = oops.Wrapf(renaming, "take %s away, and the node recovers from the others", path)
		}
	}
	return err
}

func (s *store) write(tx *bbolt.Tx, save *Save) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if save.Hard != s.hard || meta.Get(hardKey) == nil {
		if err := putGob(meta, hardKey, save.Hard); err != nil {
			return err
		}
	}
	at := base{save.BaseIndex, save.BaseTerm}
	if at != s.base || meta.Get(baseKey) == nil {
		if err := putGob(meta, baseKey, at); err != nil {
			return err
		}
	}
	if save.Snapshot != nil {
		if err := putGob(meta, snapshotKey, save.Snapshot); err != nil {
			return err
		}
	}
	var drop [][]byte
	c := log.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= save.BaseIndex; k, _ = c.Next() {
		drop = append(drop, k)
	}
	for k, _ := c.Seek(indexKey(save.FirstIndex)); k != nil; k, _ = c.Next() {
		drop = append(drop, k)
	}
	for _, k := range drop {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	for _, e := range save.Entries {
		if err := putRecord(log, indexKey(e.Index), encodeEntry(e)); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

func putRecord(b *bbolt.Bucket, key, value []byte) error {
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value))
	return b.Put(key, append(record, value...))
}

// get returns a value that is only good within the transaction.
func getRecord(b *bbolt.Bucket, key []byte) ([]byte, error) {
	record := b.Get(key)
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(key, record[4:]) {
		return nil, oops.Errorf("record %q is missing, or its checksum doesn't fit: %s", key, damagedAdvice)
	}
	return record[4:], nil
}

func putGob(b *bbolt.Bucket, key []byte, value any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return err
	}
	return putRecord(b, key, buffer.Bytes())
}

func getGob(b *bbolt.Bucket, key []byte, value any) error {
	data, err := getRecord(b, key)
	if err != nil {
		return err
	}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(value); err != nil {
		return oops.Wrapf(err, "record %q can't be decoded", key)
	}
	return nil
}

// Entries have an encoding of their own, since gob repeats the types in each record.
const (
	termStartEntry byte = iota
	commandEntry
	membersEntry
	membersOfMeshEntry // a mesh that was founded from a backup
	jointMembersEntry
)

func encodeEntry(e Entry) []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 32+len(e.Command)), e.Term)
	switch {
	case e.Members != nil:
		switch {
		case e.Members.isJoint():
			b = appendJointMembers(append(b, jointMembersEntry), e.Members)
			return b
		case e.Members.Mesh == 0:
			b = append(b, membersEntry)
		default:
			b = binary.BigEndian.AppendUint64(append(b, membersOfMeshEntry), e.Members.Mesh)
		}
		b = binary.AppendUvarint(b, uint64(e.Members.Target))
		for _, v := range e.Members.Voters {
			b = appendMember(b, v)
		}
	case e.Origin != 0:
		b = binary.BigEndian.AppendUint64(append(b, commandEntry), e.Origin)
		b = append(binary.BigEndian.AppendUint64(b, e.ID), e.Command...)
	default:
		b = append(b, termStartEntry)
	}
	return b
}

func decodeEntry(index uint64, b []byte) (Entry, error) {
	bad := oops.Errorf("entry %d can't be decoded", index)
	if len(b) < 9 {
		return Entry{}, bad
	}
	e := Entry{Index: index, Term: binary.BigEndian.Uint64(b)}
	kind, b := b[8], b[9:]
	switch kind {
	case termStartEntry:
	case commandEntry:
		if len(b) < 16 {
			return Entry{}, bad
		}
		e.Origin, e.ID = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
		e.Command = bytes.Clone(b[16:])
	case membersEntry, membersOfMeshEntry:
		e.Members = &Members{}
		if kind == membersOfMeshEntry {
			if len(b) < 8 {
				return Entry{}, bad
			}
			e.Members.Mesh, b = binary.BigEndian.Uint64(b), b[8:]
		}
		target, n := binary.Uvarint(b)
		if n <= 0 {
			return Entry{}, bad
		}
		e.Members.Target = int(target)
		for b = b[n:]; len(b) > 0; {
			v, rest, ok := decodeMember(b)
			if !ok {
				return Entry{}, bad
			}
			e.Members.Voters, b = append(e.Members.Voters, v), rest
		}
	case jointMembersEntry:
		members, ok := decodeJointMembers(b)
		if !ok {
			return Entry{}, bad
		}
		e.Members = members
	default:
		return Entry{}, oops.Errorf("entry %d is of a kind that this program doesn't know", index)
	}
	return e, nil
}
