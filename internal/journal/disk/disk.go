// Package disk stores a journal in a file, with go.etcd.io/bbolt. A transaction that Write has
// reported as written survives a kill of the process at any point.
//
// bbolt verifies its two meta pages, but not the pages that they refer to. So each record has a
// checksum of its own (CRC-32C), and Open reads an existing file whole. A file that is truncated or
// whose structure is damaged gives ErrDamaged, and a record with a wrong checksum is read as damaged.
// Neither makes the process panic.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"example.org/micaline/internal/journal"
)

// openTimeout is the longest time to wait for another process to release its lock on the file.
const openTimeout = time.Second

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is the error for a journal file that can't be read completely.
var ErrDamaged = errors.New("the journal is damaged")

// Journal is an open journal file. It implements journal.Store.
type Journal struct{ db *bbolt.DB }

// Open opens a journal file, or creates it. It creates the given buckets where they are missing.
func Open(path string, buckets ...string) (j *Journal, err error) {
	if err := verifyFile(path); err != nil {
		return nil, err
	}
	err = recoverDamage(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
		if errors.Is(err, bbolterrors.ErrTimeout) {
			return fmt.Errorf("%s: another process has it open", path)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		j = &Journal{db}
		return db.Update(func(tx *bbolt.Tx) error {
			for _, b := range buckets {
				if _, err := tx.CreateBucketIfNotExists([]byte(b)); err != nil {
					return err
				}
			}
			return nil
		})
	})
	if err != nil {
		if j != nil {
			j.db.Close()
		}
		return nil, err
	}
	return j, nil
}

// verifyFile reads an existing file whole, without changing it. bbolt maps the file into memory and
// does not notice that pages are missing from a truncated file, so the size is checked first.
func verifyFile(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	return recoverDamage(func() error {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true})
		if errors.Is(err, bbolterrors.ErrTimeout) {
			return fmt.Errorf("%s: another process has it open", path)
		}
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
		}
		defer db.Close()
		return db.View(func(tx *bbolt.Tx) error {
			if info.Size() < tx.Size() {
				return fmt.Errorf("%w: %s has %d bytes, and %d were written", ErrDamaged, path, info.Size(), tx.Size())
			}
			return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
				return b.ForEach(func(k, v []byte) error { return nil })
			})
		})
	})
}

// recoverDamage calls f and turns a panic of bbolt, or a fault on a mapped page that the file does
// not have, into ErrDamaged.
func recoverDamage(f func() error) (err error) {
	before := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(before)
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
	}()
	return f()
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }

// Write implements journal.Store.
func (j *Journal) Write(records []journal.Record) error {
	return recoverDamage(func() error {
		return j.db.Update(func(tx *bbolt.Tx) error {
			for _, r := range records {
				b := tx.Bucket([]byte(r.Bucket))
				if b == nil {
					return fmt.Errorf("there is no bucket %q", r.Bucket)
				}
				if r.Value == nil {
					if err := b.Delete([]byte(r.Key)); err != nil {
						return err
					}
					continue
				}
				if err := b.Put([]byte(r.Key), addChecksum(r.Value)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// addChecksum returns a value with its checksum before it.
func addChecksum(v []byte) []byte {
	out := binary.LittleEndian.AppendUint32(make([]byte, 0, len(v)+4), crc32.Checksum(v, castagnoli))
	return append(out, v...)
}

// verifyChecksum checks and removes the checksum of a stored value.
func verifyChecksum(v []byte) (value []byte, ok bool) {
	if len(v) < 4 || binary.LittleEndian.Uint32(v) != crc32.Checksum(v[4:], castagnoli) {
		return nil, false
	}
	return v[4:], true
}

// Read implements journal.Store. A record whose checksum does not match is damaged.
func (j *Journal) Read(bucket string, f func(key string, value []byte) error) error {
	return recoverDamage(func() error {
		return j.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(bucket))
			if b == nil {
				return nil
			}
			return b.ForEach(func(k, v []byte) error {
				value, ok := verifyChecksum(v)
				if !ok {
					return f(string(k), nil)
				}
				return f(string(k), append([]byte{}, value...))
			})
		})
	})
}
