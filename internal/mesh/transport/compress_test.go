package transport

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompress(t *testing.T) {
	for _, raw := range [][]byte{nil, []byte("x"), bytes.Repeat([]byte(`{"name":"r-1","service":"s"}`), 1000)} {
		compressed := Compress(raw)
		got, err := Decompress(compressed, int64(len(raw)))
		require.NoError(t, err)
		require.True(t, bytes.Equal(raw, got))
		if len(raw) > 0 {
			_, err = Decompress(compressed, int64(len(raw))-1)
			require.Error(t, err, "more than may be")
		}
		_, err = Decompress(compressed[:len(compressed)-1], 1<<20)
		require.Error(t, err, "cut short")
	}
}
