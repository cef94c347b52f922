package controlplane

import (
	"fmt"
	"net"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/sidecar"
	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
)

// A node reaches more peers than it keeps connections to. The connections that were not used for
// the longest time are closed.
func TestManyPeers(t *testing.T) {
	const others = maxPeers + 8
	settings := &bootstrap.Settings{Control: "127.0.0.1:8620"}
	received, ended := make(chan string, others), make(chan string, others)
	listen := func(i int) string {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.77.0.%d:0", i+1))
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		handlers := map[string]func(transport.Hello, *transport.Conn){transport.UsePeer: func(_ transport.Hello, conn *transport.Conn) {
			var message consensus.Message
			for conn.Receive(&message) == nil {
				received <- message.To
			}
			ended <- message.To
		}}
		go (&transport.Server{Handlers: handlers}).Serve(l)
		return l.Addr().String()
	}
	p := newPeers(settings)
	for i := range others {
		address := listen(i)
		host, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		_, err = fmt.Sscan(port, &settings.SparePorts[0]) // the previous peer has read it by now
		require.NoError(t, err)
		to := net.JoinHostPort(host, "8620")
		require.Equal(t, address, sidecar.InternalAddress(settings, to))
		p.send(consensus.Message{To: to})
		select {
		case got := <-received:
			require.Equal(t, to, got)
		case <-time.After(10 * time.Second):
			require.Fail(t, "message did not arrive", to)
		}
	}
	var oldest, closed []string // the ends of connections are seen by several goroutines, so in any order
	for i := range others - maxPeers {
		oldest = append(oldest, fmt.Sprintf("127.77.0.%d:8620", i+1))
		closed = append(closed, <-ended)
	}
	require.ElementsMatch(t, oldest, closed)
	require.Empty(t, ended, "other connections were closed, too")
}
