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
	suspectStoreName  = storeName + ".suspect" // after a failed save: see rewriteOrCreateStore
	storeFormat       = 2                      // format 1 has no address in the identity
	oldestStoreFormat = 1                      // openStore converts older formats to storeFormat
)

var (
	metaBucket, logBucket = []byte("meta"), []byte("log")

	formatKey, identityKey, hardKey = []byte("format"), []byte("identity"), []byte("hard")
	baseKey, snapshotKey            = []byte("base"), []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// identity identifies a store. Votes and acknowledgements of this disk were made at this address.
type identity struct {
	Disk    uint64
	Founder bool
	Address string
}

// disk is the part of a store that a Node uses. After save fails, it is unknown which changes are
// on the disk.
type disk interface {
	save(*Save) error
	close() error
}

// base identifies the last entry that was compacted away.
type base struct{ Index, Term uint64 }

// store keeps a machine's state in a bbolt file. Each record has a checksum of its key and value.
// The store can't be opened if a checksum is wrong: to continue without the record would be to
// forget a vote or an acknowledgement. After a power failure during a write, bbolt rolls back the
// incomplete transaction.
type store struct {
	db         *bbolt.DB
	dir        string
	saveFailed bool
	hard       Hard // as last written, like base
	base       base
}

// openStore opens the store in a folder, or creates one. A new file is written under a temporary
// name and renamed when it is complete. A power failure thus leaves either a complete store or
// none, and no vote or acknowledgement was given without a store.
func openStore(dir, self string, founder bool, seeds []string) (*store, State, error) {
	errs := oops.In("consensus").With("folder", dir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, State{}, errs.Wrapf(err, "making the data folder")
	}
	path := filepath.Join(dir, storeName)
	found, err := exists(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(err, "checking for the store file")
	}
	if !found {
		if err := rewriteOrCreateStore(dir, self, founder, seeds); err != nil {
			return nil, State{}, errs.Wrapf(diskError(dir, err), "creating the store")
		}
	}
	// readStore copes with a damaged file, which bbolt does not when it opens a file for writing.
	content, err := readStore(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(err, "reading %s", path)
	}
	if content.identity.Address != "" && content.identity.Address != self {
		return nil, State{}, errs.Wrap(unusable("%s is the store of %s, and this node is %s, which must not inherit its votes and acknowledgements: "+
			"correct the node's address or data folder in the settings, or remove the file, and the node recovers from the others",
			path, content.identity.Address, self))
	}
	if content.format != storeFormat {
		if err := createStore(dir, identity{content.identity.Disk, content.identity.Founder, self}, content.fullSave()); err != nil {
			return nil, State{}, errs.Wrapf(diskError(dir, err), "converting %s from format %d to %d", path, content.format, storeFormat)
		}
	}
	if err := os.Remove(filepath.Join(dir, suspectStoreName)); err != nil && !os.IsNotExist(err) {
		return nil, State{}, errs.Wrapf(err, "removing the file that was rewritten")
	}
	db, err := openDatabase(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(diskError(dir, err), "opening %s", path)
	}
	return &store{db: db, dir: dir, hard: content.state.Hard, base: base{content.state.BaseIndex, content.state.BaseTerm}}, content.state, nil
}

func exists(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, err
}

// rewriteOrCreateStore creates the store from the file that a failed save left, or an empty one.
// After a failed sync the operating system may return data from its cache that is not on the disk,
// and may never write it. Therefore the complete content is written to a new file.
func rewriteOrCreateStore(dir, self string, founder bool, seeds []string) error {
	suspect := filepath.Join(dir, suspectStoreName)
	found, err := exists(suspect)
	if err != nil {
		return err
	}
	if found {
		content, err := readStore(suspect)
		if err != nil {
			return oops.Wrapf(err, "reading %s", suspect)
		}
		return createStore(dir, content.identity, content.fullSave())
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

// createStore writes a complete store, and replaces an existing one by it.
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
	if closeErr := db.Close(); err == nil {
		err = closeErr
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
	return syncDir(filepath.Dir(filepath.Clean(dir))) // the folder may be new as well
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// randomNonzero returns a random number that is not 0, because 0 stands for an unknown number.
func randomNonzero() uint64 {
	var b [8]byte
	cryptorand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// save writes the changes in one transaction. They are synced when it returns.
func (s *store) save(save *Save) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return s.write(tx, save) }); err != nil {
		s.saveFailed = true
		return diskError(s.dir, err)
	}
	s.hard, s.base = save.Hard, base{save.BaseIndex, save.BaseTerm}
	return nil
}

// close closes the file. It may be called again if it fails. After a failed save it renames the
// file, so that the next openStore rewrites it. The rename needs no sync: after a power failure
// nothing is left in the cache, so the original file can be trusted again.
func (s *store) close() error {
	err := s.db.Close()
	if s.saveFailed {
		path := filepath.Join(s.dir, storeName)
		renameErr := os.Rename(path, filepath.Join(s.dir, suspectStoreName))
		s.saveFailed = renameErr != nil
		if err == nil && renameErr != nil {
			err = oops.Wrapf(renameErr, "remove %s, and the node recovers from the others", path)
		}
	}
	return err
}

// write writes a save as part of a transaction. Records that have not changed are not written
// again.
func (s *store) write(tx *bbolt.Tx, save *Save) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if save.Hard != s.hard || meta.Get(hardKey) == nil {
		if err := putGob(meta, hardKey, save.Hard); err != nil {
			return err
		}
	}
	newBase := base{save.BaseIndex, save.BaseTerm}
	if newBase != s.base || meta.Get(baseKey) == nil {
		if err := putGob(meta, baseKey, newBase); err != nil {
			return err
		}
	}
	if save.Snapshot != nil {
		if err := putGob(meta, snapshotKey, save.Snapshot); err != nil {
			return err
		}
	}
	var obsoleteKeys [][]byte
	cursor := log.Cursor()
	for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) <= save.BaseIndex; k, _ = cursor.Next() {
		obsoleteKeys = append(obsoleteKeys, k)
	}
	for k, _ := cursor.Seek(indexKey(save.FirstIndex)); k != nil; k, _ = cursor.Next() {
		obsoleteKeys = append(obsoleteKeys, k)
	}
	for _, k := range obsoleteKeys {
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

// putRecord stores a value under a key, with a checksum of both.
func putRecord(b *bbolt.Bucket, key, value []byte) error {
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value))
	return b.Put(key, append(record, value...))
}

// getRecord returns the value of a key. It is valid only within the transaction.
func getRecord(b *bbolt.Bucket, key []byte) ([]byte, error) {
	record := b.Get(key)
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(key, record[4:]) {
		return nil, oops.Errorf("record %q is missing or its checksum is wrong: %s", key, damagedAdvice)
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

// Kinds of entries. Entries are not encoded with gob because it repeats the type information in
// each record.
const (
	termStartEntry byte = iota
	commandEntry
	membersEntry
	membersOfMeshEntry // with a mesh number, for a mesh that was founded from a backup
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
	decodeErr := oops.Errorf("entry %d can't be decoded", index)
	if len(b) < 9 {
		return Entry{}, decodeErr
	}
	e := Entry{Index: index, Term: binary.BigEndian.Uint64(b)}
	kind, b := b[8], b[9:]
	switch kind {
	case termStartEntry:
	case commandEntry:
		if len(b) < 16 {
			return Entry{}, decodeErr
		}
		e.Origin, e.ID = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
		e.Command = bytes.Clone(b[16:])
	case membersEntry, membersOfMeshEntry:
		e.Members = &Members{}
		if kind == membersOfMeshEntry {
			if len(b) < 8 {
				return Entry{}, decodeErr
			}
			e.Members.Mesh, b = binary.BigEndian.Uint64(b), b[8:]
		}
		target, n := binary.Uvarint(b)
		if n <= 0 {
			return Entry{}, decodeErr
		}
		e.Members.Target = int(target)
		for b = b[n:]; len(b) > 0; {
			v, rest, ok := decodeMember(b)
			if !ok {
				return Entry{}, decodeErr
			}
			e.Members.Voters, b = append(e.Members.Voters, v), rest
		}
	case jointMembersEntry:
		members, ok := decodeJointMembers(b)
		if !ok {
			return Entry{}, decodeErr
		}
		e.Members = members
	default:
		return Entry{}, oops.Errorf("entry %d has a kind that this program does not support", index)
	}
	return e, nil
}
