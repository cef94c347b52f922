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

// TestManyPeers: a core machine reaches each of more others than it keeps connections to, and those
// that it has not spoken to for longest give theirs up.
func TestManyPeers(t *testing.T) {
	const others = mostPeers + 8
	set := &bootstrap.Settings{Control: "127.0.0.1:8620"}
	heard, ended := make(chan string, others), make(chan string, others)
	listen := func(i int) string {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.77.0.%d:0", i+1))
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		uses := map[string]func(transport.Hello, *transport.Conn){transport.UsePeer: func(_ transport.Hello, c *transport.Conn) {
			var m consensus.Message
			for c.Receive(&m) == nil {
				heard <- m.To
			}
			ended <- m.To
		}}
		go (&transport.Server{Handlers: uses}).Serve(l)
		return l.Addr().String()
	}
	p := newPeers(set)
	for i := range others {
		at := listen(i)
		host, port, err := net.SplitHostPort(at)
		require.NoError(t, err)
		_, err = fmt.Sscan(port, &set.SparePorts[0]) // read by the peer's goroutine before it is set again
		require.NoError(t, err)
		to := net.JoinHostPort(host, "8620")
		require.Equal(t, at, sidecar.InternalAddress(set, to))
		p.send(consensus.Message{To: to})
		select {
		case got := <-heard:
			require.Equal(t, to, got)
		case <-time.After(10 * time.Second):
			require.Fail(t, "never heard", to)
		}
	}
	var oldest, gaveWay []string // each connection's end is heard by a goroutine of its own, so in any order
	for i := range others - mostPeers {
		oldest = append(oldest, fmt.Sprintf("127.77.0.%d:8620", i+1))
		gaveWay = append(gaveWay, <-ended)
	}
	require.ElementsMatch(t, oldest, gaveWay)
	require.Empty(t, ended, "others gave way too")
}
