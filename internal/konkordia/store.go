package konkordia

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
	storeName   = "konkordia.db"
	storeFormat = 1
)

var (
	metaBucket, logBucket = []byte("meta"), []byte("log")

	formatKey, identityKey, hardKey = []byte("format"), []byte("identity"), []byte("hard")
	baseKey, snapshotKey            = []byte("base"), []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// identity is what a store is told apart by.
type identity struct {
	Disk    uint64
	Founder bool
}

// base is where the log begins.
type base struct{ Index, Term uint64 }

// store keeps a machine's state in a bbolt file. Each record carries a checksum over its key and
// value; one that doesn't fit ends the start with an error, since to go on without it would be to
// forget a promise.
type store struct {
	db   *bbolt.DB
	hard Hard // as written last
	base base
}

// openStore opens the store in a folder, or makes one. A new file is made under another name and
// gets its own when it is whole: a loss of power then leaves a store, or none that has promised
// anything.
func openStore(dir string, founder bool, seeds []string) (*store, State, error) {
	errs := oops.In("konkordia").With("folder", dir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, State{}, errs.Wrapf(err, "making the data folder")
	}
	path := filepath.Join(dir, storeName)
	if _, err := os.Stat(path); os.IsNotExist(err) {
		if err := makeStore(dir, founder, seeds); err != nil {
			return nil, State{}, errs.Wrapf(err, "making the store")
		}
	} else if err != nil {
		return nil, State{}, errs.Wrapf(err, "looking for the store")
	}
	db, err := openFile(path)
	if err != nil {
		return nil, State{}, errs.Wrapf(err, "opening %s", path)
	}
	s := &store{db: db}
	state, err := s.load()
	if err != nil {
		db.Close()
		return nil, State{}, errs.Wrapf(err, "reading %s", path)
	}
	return s, state, nil
}

func openFile(path string) (*bbolt.DB, error) {
	return bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType})
}

func makeStore(dir string, founder bool, seeds []string) error {
	path := filepath.Join(dir, storeName)
	if err := os.Remove(path + ".new"); err != nil && !os.IsNotExist(err) {
		return err
	}
	db, err := openFile(path + ".new")
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
		if err := put(meta, formatKey, binary.BigEndian.AppendUint32(nil, storeFormat)); err != nil {
			return err
		}
		if err := putGob(meta, identityKey, identity{randomNumber(), founder}); err != nil {
			return err
		}
		save := &Save{First: 1}
		if founder {
			save.Hard.Term, save.Entries = 1, Found(seeds)
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
	if err := syncFolder(dir); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(filepath.Clean(dir))) // in case the folder is new as well
}

func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// randomNumber is never 0, which stands for an unknown one.
func randomNumber() uint64 {
	var b [8]byte
	cryptorand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// save writes in one transaction, which is synced when it returns.
func (s *store) save(save *Save) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return s.write(tx, save) }); err != nil {
		return err
	}
	s.hard, s.base = save.Hard, base{save.Base, save.BaseTerm}
	return nil
}

func (s *store) write(tx *bbolt.Tx, save *Save) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if save.Hard != s.hard || meta.Get(hardKey) == nil {
		if err := putGob(meta, hardKey, save.Hard); err != nil {
			return err
		}
	}
	at := base{save.Base, save.BaseTerm}
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
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= save.Base; k, _ = c.Next() {
		drop = append(drop, k)
	}
	for k, _ := c.Seek(indexKey(save.First)); k != nil; k, _ = c.Next() {
		drop = append(drop, k)
	}
	for _, k := range drop {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	for _, e := range save.Entries {
		if err := put(log, indexKey(e.Index), encodeEntry(e)); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) load() (State, error) {
	var state State
	err := s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil {
			return oops.Errorf("this is no store of the agreement")
		}
		format, err := get(meta, formatKey)
		if err != nil {
			return err
		}
		if len(format) != 4 || binary.BigEndian.Uint32(format) != storeFormat {
			return oops.Errorf("the store has format %x, and this program knows %d alone: start the program that wrote it",
				format, storeFormat)
		}
		var id identity
		if err := getGob(meta, identityKey, &id); err != nil {
			return err
		}
		var at base
		if err := getGob(meta, baseKey, &at); err != nil {
			return err
		}
		if err := getGob(meta, hardKey, &state.Hard); err != nil {
			return err
		}
		s.hard, s.base = state.Hard, at
		state.Disk, state.Founder, state.Base, state.BaseTerm = id.Disk, id.Founder, at.Index, at.Term
		if meta.Get(snapshotKey) != nil {
			state.Snapshot = new(Snapshot)
			if err := getGob(meta, snapshotKey, state.Snapshot); err != nil {
				return err
			}
		}
		next := at.Index + 1
		if err := log.ForEach(func(k, _ []byte) error {
			if !bytes.Equal(k, indexKey(next)) {
				return oops.Errorf("the log lacks entry %d", next)
			}
			value, err := get(log, k)
			if err != nil {
				return err
			}
			e, err := decodeEntry(next, value)
			if err != nil {
				return err
			}
			state.Entries = append(state.Entries, e)
			next++
			return nil
		}); err != nil {
			return err
		}
		if s := state.Snapshot; s != nil && s.Index >= next || s == nil && at.Index > 0 {
			return oops.Errorf("the log from %d to %d doesn't fit its snapshot", at.Index, next-1)
		}
		return nil
	})
	return state, err
}

func (s *store) close() error { return s.db.Close() }

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

func put(b *bbolt.Bucket, key, value []byte) error {
	record := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), checksum(key, value))
	return b.Put(key, append(record, value...))
}

// get returns a value that is only good within the transaction.
func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	record := b.Get(key)
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(key, record[4:]) {
		return nil, oops.Errorf("record %q is missing, or its checksum doesn't fit: the disk is damaged; take the file away, "+
			"and the node recovers from the others", key)
	}
	return record[4:], nil
}

func putGob(b *bbolt.Bucket, key []byte, value any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		return err
	}
	return put(b, key, buffer.Bytes())
}

func getGob(b *bbolt.Bucket, key []byte, value any) error {
	data, err := get(b, key)
	if err != nil {
		return err
	}
	return gob.NewDecoder(bytes.NewReader(data)).Decode(value)
}

// Entries have an encoding of their own, since gob repeats the types in each record.
const (
	opensTerm byte = iota
	holdsCommand
	holdsMembers
)

func encodeEntry(e Entry) []byte {
	b := binary.BigEndian.AppendUint64(make([]byte, 0, 32+len(e.Command)), e.Term)
	switch {
	case e.Members != nil:
		b = binary.AppendUvarint(append(b, holdsMembers), uint64(e.Members.Target))
		for _, v := range e.Members.Voters {
			b = binary.BigEndian.AppendUint64(b, v.Disk)
			b = append(binary.AppendUvarint(b, uint64(len(v.Address))), v.Address...)
		}
	case e.Origin != 0:
		b = binary.BigEndian.AppendUint64(append(b, holdsCommand), e.Origin)
		b = append(binary.BigEndian.AppendUint64(b, e.ID), e.Command...)
	default:
		b = append(b, opensTerm)
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
	case opensTerm:
	case holdsCommand:
		if len(b) < 16 {
			return Entry{}, bad
		}
		e.Origin, e.ID = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
		e.Command = bytes.Clone(b[16:])
	case holdsMembers:
		target, n := binary.Uvarint(b)
		if n <= 0 {
			return Entry{}, bad
		}
		e.Members = &Members{Target: int(target)}
		for b = b[n:]; len(b) > 0; {
			if len(b) < 9 {
				return Entry{}, bad
			}
			v := Member{Disk: binary.BigEndian.Uint64(b)}
			length, n := binary.Uvarint(b[8:])
			if b = b[8+max(n, 0):]; n <= 0 || uint64(len(b)) < length {
				return Entry{}, bad
			}
			v.Address, b = string(b[:length]), b[length:]
			e.Members.Voters = append(e.Members.Voters, v)
		}
	default:
		return Entry{}, oops.Errorf("entry %d is of a kind that this program doesn't know", index)
	}
	return e, nil
}
