package transport

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"
)

// Compress compresses raw for speed rather than size. Configurations are repetitive text and shrink
// to a seventh or less.
func Compress(raw []byte) []byte {
	var buf bytes.Buffer
	writer, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	if _, err = writer.Write(raw); err == nil {
		err = writer.Close()
	}
	if err != nil {
		panic(err) // a bytes.Buffer accepts every write
	}
	return buf.Bytes()
}

// Decompress returns the input of Compress. It fails if the result is longer than maxBytes, and if
// the compressed data is damaged or incomplete.
func Decompress(compressed []byte, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxBytes+1))
	if err != nil {
		return nil, oops.Code("body").Wrapf(err, "decompress")
	}
	if int64(len(raw)) > maxBytes {
		return nil, oops.Code("body").Errorf("decompressed body exceeds %d bytes", maxBytes)
	}
	return raw, nil
}
