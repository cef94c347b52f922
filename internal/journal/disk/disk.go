// Package disk is a journal in a file: records in transactions, with go.etcd.io/bbolt. What it returns as written
// is there after a kill at any point.
//
// bbolt checks its own two heads, and not the pages that they lead to. So each record has a sum of its own (CRC-32C), and
// a file is gone through whole when it is opened: one that was cut or damaged is told as such, and never makes the
// process panic.
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

// openTimeout is how long another process may hold the file.
const openTimeout = time.Second

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is a file that can't be read whole.
var ErrDamaged = errors.New("the journal is damaged")

// Journal is an open file.
type Journal struct{ db *bbolt.DB }

// Open opens a journal, or makes a new one with the buckets named.
func Open(path string, buckets ...string) (j *Journal, err error) {
	if err := whole(path); err != nil {
		return nil, err
	}
	err = guarded(func() error {
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

// whole goes through an existing file without changing it. Danger: bbolt maps the file, and takes a page for there that
// was cut off.
func whole(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	return guarded(func() error {
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

// guarded turns what bbolt panics with, and a page that is not there, into an error.
func guarded(f func() error) (err error) {
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

// Write writes records in one transaction: all of them or none.
func (j *Journal) Write(records []journal.Record) error {
	return guarded(func() error {
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
				if err := b.Put([]byte(r.Key), sealed(r.Value)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// sealed is a value with its sum before it.
func sealed(v []byte) []byte {
	out := binary.LittleEndian.AppendUint32(make([]byte, 0, len(v)+4), crc32.Checksum(v, castagnoli))
	return append(out, v...)
}

// unsealed checks a value's sum.
func unsealed(v []byte) (value []byte, ok bool) {
	if len(v) < 4 || binary.LittleEndian.Uint32(v) != crc32.Checksum(v[4:], castagnoli) {
		return nil, false
	}
	return v[4:], true
}

// Read calls a function with each record of a bucket, in the order of their keys; with a nil value for one that is
// damaged. Values are the function's to keep.
func (j *Journal) Read(bucket string, f func(key string, value []byte) error) error {
	return guarded(func() error {
		return j.db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket([]byte(bucket))
			if b == nil {
				return nil
			}
			return b.ForEach(func(k, v []byte) error {
				value, ok := unsealed(v)
				if !ok {
					return f(string(k), nil)
				}
				return f(string(k), append([]byte{}, value...))
			})
		})
	})
}
