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

const damagedAdvice = "the disk is damaged; remove the file, and the node recovers from the others"

// storeContent is the complete content of a store.
type storeContent struct {
	format   uint32
	identity identity
	state    State
}

// fullSave returns a Save that writes the complete content.
func (c *storeContent) fullSave() *Save {
	s := &c.state
	return &Save{Hard: s.Hard, Snapshot: s.Snapshot, BaseIndex: s.BaseIndex, BaseTerm: s.BaseTerm, FirstIndex: s.BaseIndex + 1, Entries: s.Entries}
}

// readStore reads and validates a store file without writing to it. bbolt maps the file into memory
// and trusts its content, so truncated or corrupted pages end in a memory fault or a panic, which
// this function turns into an error. When bbolt opens a file for writing, it walks the pages in a
// separate goroutine, where such a panic could not be recovered. One kind of damage goes unnoticed:
// if the newer of the two meta pages rots after its sync, it looks like an interrupted write, and
// bbolt falls back to the older one.
func readStore(path string) (c *storeContent, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			c, err = nil, unusable("the file has corrupted or missing pages (%v): %s", r, damagedAdvice)
		}
	}()
	db, err := bbolt.Open(path, 0o644, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, unusable("another process has the file open: stop that process first")
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrVersionMismatch), errors.Is(err, bbolterrors.ErrChecksum):
		return nil, unusable("this is no bbolt file, or its header is corrupted (%v): if the file belongs to another program, configure another data folder; "+
			"otherwise %s", err, damagedAdvice)
	case errors.As(err, new(syscall.Errno)) && !errors.Is(err, syscall.EBADF):
		// An I/O error. EBADF is excluded because it comes from an empty file: bbolt tries to
		// initialize it even if it is opened for reading.
		return nil, err
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
		return oops.Errorf("this bbolt file is not a consensus store: if it belongs to another program, configure another data folder; otherwise %s", damagedAdvice)
	}
	format, err := getRecord(meta, formatKey)
	if err != nil {
		return err
	}
	if len(format) == 4 {
		c.format = binary.BigEndian.Uint32(format)
	}
	if c.format < oldestStoreFormat || c.format > storeFormat {
		return oops.Errorf("the store has format %x, but this program supports formats %d to %d: start the program that wrote it, "+
			"or remove the file, and the node recovers from the others", format, oldestStoreFormat, storeFormat)
	}
	if err := getGob(meta, identityKey, &c.identity); err != nil {
		return err
	}
	var logBase base
	if err := getGob(meta, baseKey, &logBase); err != nil {
		return err
	}
	if err := getGob(meta, hardKey, &c.state.Hard); err != nil {
		return err
	}
	c.state.Disk, c.state.Founder, c.state.BaseIndex, c.state.BaseTerm = c.identity.Disk, c.identity.Founder, logBase.Index, logBase.Term
	if meta.Get(snapshotKey) != nil {
		c.state.Snapshot = new(Snapshot)
		if err := getGob(meta, snapshotKey, c.state.Snapshot); err != nil {
			return err
		}
	}
	next := logBase.Index + 1
	if err := log.ForEach(func(k, _ []byte) error {
		if !bytes.Equal(k, indexKey(next)) {
			return oops.Errorf("the log lacks entry %d: %s", next, damagedAdvice)
		}
		value, err := getRecord(log, k)
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

// validate reports an error unless the entries follow the snapshot without gaps and with terms that
// never decrease.
func (s *State) validate() error {
	last, term := s.BaseIndex, s.BaseTerm
	for _, e := range s.Entries {
		if e.Index != last+1 || e.Term < term {
			return oops.Errorf("entry %d of term %d stands behind entry %d of term %d: %s", e.Index, e.Term, last, term, damagedAdvice)
		}
		last, term = e.Index, e.Term
	}
	if snapshot := s.Snapshot; snapshot != nil && (snapshot.Index > last || snapshot.Index < s.BaseIndex) || snapshot == nil && s.BaseIndex > 0 {
		return oops.Errorf("the log from %d to %d doesn't fit its snapshot: %s", s.BaseIndex, last, damagedAdvice)
	}
	if term > s.Hard.Term {
		return oops.Errorf("the log has an entry of term %d, but the node has promised %d alone: %s", term, s.Hard.Term, damagedAdvice)
	}
	return nil
}

// diskError adds the data folder and advice for the operator to an error of the disk.
func diskError(dir string, err error) error {
	var advice string
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		advice = "the disk is full: free some space"
	case errors.Is(err, syscall.EROFS), errors.Is(err, syscall.EACCES):
		advice = "the folder is not writable: correct its permissions or mount options"
	default:
		advice = "if the error persists, the disk is broken: replace it, and the node recovers from the others"
	}
	if absolute, absErr := filepath.Abs(dir); absErr == nil {
		dir = absolute
	}
	return fmt.Errorf("%s: %w (%s)", dir, err, advice)
}
