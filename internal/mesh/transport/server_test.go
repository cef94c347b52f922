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

// failingListener fails to accept the first connections, as if no file descriptors were left.
type failingListener struct {
	failures int
	conns    chan net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, errors.New("too many open files")
	}
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *failingListener) Close() error   { close(l.conns); return nil }
func (l *failingListener) Addr() net.Addr { return nil }

// TestServerOutlivesFailedAccepts checks that a server continues after failed accepts, passes each
// connection to the handler of its use, and closes connections with an unknown use or without a
// Hello.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &failingListener{failures: 3, conns: make(chan net.Conn)}
		served := make(chan string, 1)
		server := &Server{Handlers: map[string]func(Hello, *Conn){UsePeer: func(h Hello, _ *Conn) { served <- h.From }}}
		done := make(chan struct{})
		go func() { server.Serve(listener); close(done) }()
		dial := func(hello *Hello) net.Conn {
			near, far := net.Pipe()
			listener.conns <- far
			if hello != nil {
				require.NoError(t, NewConn(near).Send(hello, nil))
			}
			return near
		}
		requireClosed := func(conn net.Conn) {
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		}
		requireClosed(dial(&Hello{Version: ProtocolVersion, Use: UsePeer, From: "a"}))
		require.Equal(t, "a", <-served)
		requireClosed(dial(&Hello{Version: ProtocolVersion, Use: "unknown"}))
		requireClosed(dial(&Hello{Version: ProtocolVersion + 1, Use: UsePeer}))
		began := time.Now()
		requireClosed(dial(nil))
		require.Equal(t, helloTimeout, time.Since(began))
		listener.Close()
		<-done
	})
}
