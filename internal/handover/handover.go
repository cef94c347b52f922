// Package handover lets two processes of one agent, of which the new is to replace the old, know the same things that
// operators have said. Each tells the other all that it knows whenever that changes, as frames over a stream.
//
// What is known is a Register: for each key the last thing that was said and when. Of two sayings the later counts, so
// the order of frames, repeats of them and calls to either process all end in the same. Either may die at any byte:
// a frame counts whole or not at all, and what was told before stays.
package handover

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"time"
)

const (
	version  = 1
	headSize = 12
	// mostFrame bounds a frame: some thousand entries.
	mostFrame = 4 << 20
)

// magic begins each frame.
var magic = [3]byte{'m', 'l', 'h'}

var checksums = crc32.MakeTable(crc32.Castagnoli)

// errLook is a frame of somebody who only looks whether a process is there.
var errLook = errors.New("handover: somebody looks")

// look is such a frame: a head of version 0.
var look = append(magic[:], make([]byte, headSize-len(magic))...)

// ErrFrame is what is no frame of this version.
var ErrFrame = errors.New("handover: no frame that is understood")

// Entry is the last that was said of a backend.
type Entry struct {
	Out   bool          `json:"out"`   // it is held out; else it was, and is back
	Since time.Duration `json:"since"` // when that was said: time since 1970
	Until time.Duration `json:"until"` // when it is in again by itself
	From  time.Duration `json:"from"`  // since when it is, or was, out
	By    string        `json:"by"`    // through what it was said
}

// Register is what was said last, by backend.
type Register map[string]Entry

// later says whether an entry counts more than another. At the same moment being out does, and then the order of what
// else differs: both processes must choose alike.
func (e *Entry) later(than *Entry) bool {
	switch {
	case e.Since != than.Since:
		return e.Since > than.Since
	case e.Out != than.Out:
		return e.Out
	case e.Until != than.Until:
		return e.Until > than.Until
	case e.From != than.From:
		return e.From < than.From
	}
	return e.By > than.By
}

// Merge takes in what another register says, up to so many entries, and returns the keys that changed.
func (r Register) Merge(from Register, most int) (changed []string) {
	for key, e := range from {
		old, known := r[key]
		if known && !e.later(&old) || !known && len(r) >= most {
			continue
		}
		r[key] = e
		changed = append(changed, key)
	}
	return changed
}

// Forget drops what was back before a moment.
func (r Register) Forget(before time.Duration) {
	maps.DeleteFunc(r, func(_ string, e Entry) bool { return !e.Out && e.Since < before })
}

// Write writes a register as one frame: the magic, the version, the length of the text, its CRC-32C (both big-endian),
// and the text, which is JSON.
func Write(w io.Writer, r Register) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(text) > mostFrame {
		return fmt.Errorf("handover: %d bytes are too many for a frame", len(text))
	}
	frame := make([]byte, headSize, headSize+len(text))
	copy(frame, magic[:])
	frame[3] = version
	binary.BigEndian.PutUint32(frame[4:], uint32(len(text)))
	binary.BigEndian.PutUint32(frame[8:], crc32.Checksum(text, checksums))
	_, err = w.Write(append(frame, text...))
	return err
}

// Read reads one frame. Its error is io.EOF between two frames; it wraps ErrFrame for what is none.
func Read(r io.Reader) (Register, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[4:])
	switch {
	case [3]byte(head[:]) != magic:
		return nil, fmt.Errorf("%w: it begins with %q", ErrFrame, head[:3])
	case bytes.Equal(head[:], look):
		return nil, errLook
	case head[3] != version:
		return nil, fmt.Errorf("%w: version %d", ErrFrame, head[3])
	case size > mostFrame:
		return nil, fmt.Errorf("%w: %d bytes", ErrFrame, size)
	}
	// Danger: a length alone must not take the memory that it names.
	text, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(text) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(text, checksums) != binary.BigEndian.Uint32(head[8:]) {
		return nil, fmt.Errorf("%w: the checksum does not fit", ErrFrame)
	}
	var reg Register
	if err := json.Unmarshal(text, &reg); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return reg, nil
}
