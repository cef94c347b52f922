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

// TestLongBodyTakesAsLongAsItTakes sends one body over a link that takes much longer than the chunk
// timeout in total, which must succeed, and one over a link that stalls, which must fail.
func TestLongBodyTakesAsLongAsItTakes(t *testing.T) {
	const chunkTimeout = time.Second
	for name, link := range map[string]struct {
		chunks int // that the link transfers before it stalls
		fails  bool
	}{"slow": {chunks: 20}, "silent": {chunks: 5, fails: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, slow := net.Pipe()
				fast, far := net.Pipe()
				sender, receiver := NewConn(near), NewConn(far)
				defer sender.Close()
				defer receiver.Close()
				go func() { // the link transfers each chunk in nine tenths of the timeout
					for range link.chunks {
						time.Sleep(chunkTimeout * 9 / 10)
						io.CopyN(fast, slow, chunkBytes)
					}
				}()
				body := bytes.Repeat([]byte("configuration"), 20*chunkBytes/13)
				sent := make(chan error, 1)
				go func() { sent <- sender.SendChunked(body, chunkTimeout) }()
				got, err := receiver.ReceiveChunked(int64(len(body)), int64(len(body)), chunkTimeout)
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
	_, err := NewConn(nil).ReceiveChunked(chunkBytes, chunkBytes-1, chunkTimeout)
	require.Error(t, err)
}
