package transport

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"
)

// Compress returns raw bytes compressed, quickly rather than as far as can be: configurations are
// text that repeats itself, and come to a seventh or less.
func Compress(raw []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is one that there is
	}
	if _, err = w.Write(raw); err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err) // a buffer takes all
	}
	return b.Bytes()
}

// Decompress returns what Compress was given. More than most bytes, and bytes that are no whole
// compressed text, are an error.
func Decompress(compressed []byte, most int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), most+1))
	if err != nil {
		return nil, oops.Code("body").Wrapf(err, "decompress")
	}
	if int64(len(raw)) > most {
		return nil, oops.Code("body").Errorf("a body of over %d bytes", most)
	}
	return raw, nil
}
