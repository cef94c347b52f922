// Package plaingob encodes values of plain fields, such as the commands and replies of the agreed log,
// with encoding/gob. It does no I/O.
package plaingob

import (
	"bytes"
	"encoding/gob"
)

// Encode gives a value's encoding. The value has plain fields alone, which always encode; one that
// has others, such as functions, is a fault of the program, and a panic.
func Encode(value any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(value); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Decode reads what Encode gave of a T. The error is of encoding/gob.
func Decode[T any](text []byte) (*T, error) {
	value := new(T)
	return value, gob.NewDecoder(bytes.NewReader(text)).Decode(value)
}
