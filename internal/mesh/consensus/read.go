package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const damagedAdvice = "the disk is damaged; take the file away, and the node recovers from the others"

// content is all that a store holds.
type storeContent struct {
	format   uint32
	identity identity
	state    State
}

// whole is a Save of all of it.
func (c *storeContent) fullSave() *Save {
	s := &c.state
	return &Save{Hard: s.Hard, Snapshot: s.Snapshot, BaseIndex: s.BaseIndex, BaseTerm: s.BaseTerm, FirstIndex: s.BaseIndex + 1, Entries: s.Entries}
}

// readStore reads and checks a file without writing to it. bbolt maps the file and believes what it
// reads, so pages that are cut off or hold something else end in a fault or a panic; here that
// comes to an error. Opened to be written, it would walk the pages in a goroutine of its own, where
// nobody can catch that. What is not found out: the newer of the file's two heads rots after its
// sync. That looks like a write cut short, and bbolt takes the write back.
func readStore(path string) (c *storeContent, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			c, err = nil, unusable("its pages are torn or cut off (%v): %s", r, damagedAdvice)
		}
	}()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, unusable("another process has the file open: end it first")
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrVersionMismatch), errors.Is(err, bbolterrors.ErrChecksum):
		return nil, unusable("this is no bbolt file, or its head is torn (%v): if it is somebody else's, name another data folder; "+
			"otherwise %s", err, damagedAdvice)
	case errors.As(err, new(syscall.Errno)) && !errors.Is(err, syscall.EBADF):
		return nil, err // of the disk; but bbolt tries to write to an empty file that is open to be read
	case err != nil:
		return nil, unusable("%w: if the file is empty or cut off, %s", err, damagedAdvice)
	}
	defer db.Close()
	c = &storeContent{}
	if err := db.View(c.load); err != nil {
		return nil, unusableError{err}
	}
	return c, nil
}

func (c *storeContent) load(tx *bbolt.Tx) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta == nil || log == nil {
		return oops.Errorf("this bbolt file is no store of the agreement: if it is somebody else's, name another data folder; otherwise %s", damagedAdvice)
	}
	format, err := get(meta, formatKey)
	if err != nil {
		return err
	}
	if len(format) == 4 {
		c.format = binary.BigEndian.Uint32(format)
	}
	if c.format < oldFormat || c.format > storeFormat {
		return oops.Errorf("the store has format %x, and this program knows %d to %d: start the program that wrote it, "+
			"or take the file away, and the node recovers from the others", format, oldFormat, storeFormat)
	}
	if err := getGob(meta, identityKey, &c.identity); err != nil {
		return err
	}
	var at base
	if err := getGob(meta, baseKey, &at); err != nil {
		return err
	}
	if err := getGob(meta, hardKey, &c.state.Hard); err != nil {
		return err
	}
	c.state.Disk, c.state.Founder, c.state.BaseIndex, c.state.BaseTerm = c.identity.Disk, c.identity.Founder, at.Index, at.Term
	if meta.Get(snapshotKey) != nil {
		c.state.Snapshot = new(Snapshot)
		if err := getGob(meta, snapshotKey, c.state.Snapshot); err != nil {
			return err
		}
	}
	next := at.Index + 1
	if err := log.ForEach(func(k, _ []byte) error {
		if !bytes.Equal(k, indexKey(next)) {
			return oops.Errorf("the log lacks entry %d: %s", next, damagedAdvice)
		}
		value, err := get(log, k)
		if err != nil {
			return err
		}
		e, err := decodeEntry(next, value)
		if err != nil {
			return err
		}
		c.state.Entries = append(c.state.Entries, e)
		next++
		return nil
	}); err != nil {
		return err
	}
	return c.state.validate()
}

// check tells whether the log leads from the snapshot on, with terms that never go back.
func (s *State) validate() error {
	last, term := s.BaseIndex, s.BaseTerm
	for _, e := range s.Entries {
		if e.Index != last+1 || e.Term < term {
			return oops.Errorf("entry %d of term %d stands behind entry %d of term %d: %s", e.Index, e.Term, last, term, damagedAdvice)
		}
		last, term = e.Index, e.Term
	}
	if at := s.Snapshot; at != nil && (at.Index > last || at.Index < s.BaseIndex) || at == nil && s.BaseIndex > 0 {
		return oops.Errorf("the log from %d to %d doesn't fit its snapshot: %s", s.BaseIndex, last, damagedAdvice)
	}
	if term > s.Hard.Term {
		return oops.Errorf("the log has term %d, and the node has promised %d alone: %s", term, s.Hard.Term, damagedAdvice)
	}
	return nil
}

// diskError says what to do about an error of the disk.
func diskError(dir string, err error) error {
	var advice string
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		advice = "the disk is full: make room for it"
	case errors.Is(err, syscall.EROFS), errors.Is(err, syscall.EACCES):
		advice = "the folder can't be written: mend that"
	default:
		advice = "if it stays so, the disk is broken: put another in, and the node recovers from the others"
	}
	if at, failing := filepath.Abs(dir); failing == nil {
		dir = at
	}
	return fmt.Errorf("%s: %w (%s)", dir, err, advice)
}
