package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// scarce is a listener that has no descriptors at first.
type scarce struct {
	failures int
	next     chan net.Conn
}

func (l *scarce) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, errors.New("too many open files")
	}
	c, ok := <-l.next
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *scarce) Close() error   { close(l.next); return nil }
func (l *scarce) Addr() net.Addr { return nil }

// TestServerOutlivesFailedAccepts has a server go on after descriptors ran out, serve each
// connection by its use, and close those of no use or without a Hello.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &scarce{failures: 3, next: make(chan net.Conn)}
		served := make(chan string, 1)
		s := &Server{Handlers: map[string]func(Hello, *Conn){UsePeer: func(h Hello, _ *Conn) { served <- h.From }}}
		done := make(chan struct{})
		go func() { s.Serve(l); close(done) }()
		dial := func(h *Hello) net.Conn {
			near, far := net.Pipe()
			l.next <- far
			if h != nil {
				require.NoError(t, NewConn(near).Send(h, nil))
			}
			return near
		}
		requireClosed := func(c net.Conn) {
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		}
		requireClosed(dial(&Hello{Version: ProtocolVersion, Use: UsePeer, From: "a"}))
		require.Equal(t, "a", <-served)
		requireClosed(dial(&Hello{Version: ProtocolVersion, Use: "unknown"}))
		requireClosed(dial(&Hello{Version: ProtocolVersion + 1, Use: UsePeer}))
		began := time.Now()
		requireClosed(dial(nil))
		require.Equal(t, helloTimeout, time.Since(began))
		l.Close()
		<-done
	})
}
