package inbound

import (
	"net"
	"syscall"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/transport"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// connPair returns both ends of a loopback connection.
func connPair(t *testing.T) (sender, gate *transport.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return transport.NewConn(near), transport.NewConn(far)
}

// TestSilentSender covers a sender that loses power and so never closes its connection. It must be
// probed while an exchange takes long, and only then, and a body that stops arriving must not be
// waited for longer than its request allows.
func TestSilentSender(t *testing.T) {
	_, gate := connPair(t)
	h := NewHost(Rules{}, 1<<20, transport.NewByteBudget(1<<20), func() {})
	s := &session{host: h, conn: gate}
	keepAliveOn := func() bool {
		raw, err := gate.Conn.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		on := 0
		raw.Control(func(fd uintptr) { on, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE) })
		require.NoError(t, err)
		return on == 1
	}
	now := time.Now()
	s.updateProbing(now)
	longExchange := &exchange{startedAt: now.Add(-probeAfter)}
	for _, c := range []struct {
		current *exchange
		probing bool
	}{{&exchange{startedAt: now}, false}, {longExchange, true}, {longExchange, true}, {nil, false}} {
		s.current = c.current
		s.updateProbing(now)
		require.Equal(t, c.probing, s.probing)
		if s.probing {
			require.True(t, keepAliveOn())
		}
	}
	require.False(t, keepAliveOn(), "an idle connection must not be probed")

	for _, offered := range []bool{false, true} {
		sender, gate := connPair(t)
		req := transport.Request{Number: 1, Life: 1, Try: "t", Target: "b", Unsafe: true, Left: 100 * time.Millisecond, Patient: time.Second,
			Body: 1000, ExpectContinue: offered}
		h.WithGate(func(now time.Duration, g *Gate) bool {
			g.SetLife(1)
			return g.ProbeSucceeded(now, 0, transport.Backend{ID: "b", Capacity: 1, Calls: 1}) && false
		})
		require.NoError(t, sender.Send(&req, []byte("half")))
		done := make(chan struct{})
		go func() { h.Serve(gate); close(done) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			require.Fail(t, "the session still waits for the body", "offered: %v", offered)
		}
		require.Eventually(t, func() bool { return h.bodyBudget.Available() == 1<<20 && h.Load().InFlight == 0 }, 10*time.Second, time.Millisecond, "the memory and the slot of the body must be released")
	}
}
