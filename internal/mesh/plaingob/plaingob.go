// Package plaingob encodes values that have only plain fields, such as the commands and replies of
// the replicated log, with encoding/gob. It does no I/O.
package plaingob

import (
	"bytes"
	"encoding/gob"
)

// Encode encodes a value. The value must have only plain fields, which always encode. It panics on
// other fields, such as functions, because that is a programming error.
func Encode(value any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(value); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Decode decodes the output of Encode. Errors are those of encoding/gob.
func Decode[T any](text []byte) (*T, error) {
	value := new(T)
	return value, gob.NewDecoder(bytes.NewReader(text)).Decode(value)
}
