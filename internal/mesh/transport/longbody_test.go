package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLongBodyTakesAsLongAsItTakes sends a body over a link that is slower than the patience with
// silence, and one over a link on which nothing passes any more.
func TestLongBodyTakesAsLongAsItTakes(t *testing.T) {
	const patience = time.Second
	for name, link := range map[string]struct {
		parts int // that pass
		fails bool
	}{"slow": {parts: 20}, "silent": {parts: 5, fails: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, slow := net.Pipe()
				fast, far := net.Pipe()
				sender, receiver := NewConn(near), NewConn(far)
				defer sender.Close()
				defer receiver.Close()
				go func() { // the link: a chunk in nine tenths of the patience
					for range link.parts {
						time.Sleep(patience * 9 / 10)
						io.CopyN(fast, slow, chunk)
					}
				}()
				body := bytes.Repeat([]byte("configuration"), 20*chunk/13)
				sent := make(chan error, 1)
				go func() { sent <- sender.SendChunked(body, patience) }()
				got, err := receiver.ReceiveChunked(int64(len(body)), int64(len(body)), patience)
				if link.fails {
					require.Error(t, err)
					require.Error(t, <-sent)
					return
				}
				require.NoError(t, err)
				require.NoError(t, <-sent)
				require.Equal(t, body, got)
			})
		})
	}
	_, err := NewConn(nil).ReceiveChunked(chunk, chunk-1, patience)
	require.Error(t, err)
}
