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

// link is a connection of loopback: a sender's end and a gate's.
func link(t *testing.T) (sender, gate *transport.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	near, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	return transport.NewConn(near), transport.NewConn(far)
}

// TestSilentSender: a sender without power closes nothing, so it is probed while an exchange lasts
// long, and only then; and a body that stops coming is waited for no longer than its request.
func TestSilentSender(t *testing.T) {
	_, gate := link(t)
	h := NewHost(Rules{}, 1<<20, transport.NewByteBudget(1<<20), func() {})
	s := &session{host: h, conn: gate}
	probed := func() bool {
		raw, err := gate.Conn.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		on := 0
		raw.Control(func(fd uintptr) { on, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE) })
		require.NoError(t, err)
		return on == 1
	}
	now := time.Now()
	s.probe(now)
	long := &arrival{began: now.Add(-silentAfter)}
	for _, c := range []struct {
		current *arrival
		probed  bool
	}{{&arrival{began: now}, false}, {long, true}, {long, true}, {nil, false}} {
		s.current = c.current
		s.probe(now)
		require.Equal(t, c.probed, s.probing)
		if s.probing {
			require.True(t, probed())
		}
	}
	require.False(t, probed(), "an idle connection is not probed")

	for _, offered := range []bool{false, true} {
		sender, gate := link(t)
		ask := transport.Request{Number: 1, Life: 1, Try: "t", Target: "b", Unsafe: true, Left: 100 * time.Millisecond, Patient: time.Second,
			Body: 1000, ExpectContinue: offered}
		h.WithGate(func(now time.Duration, g *Gate) bool {
			g.SetLife(1)
			return g.ProbeSucceeded(now, 0, transport.Backend{ID: "b", Capacity: 1, Calls: 1}) && false
		})
		require.NoError(t, sender.Send(&ask, []byte("half")))
		over := make(chan struct{})
		go func() { h.Serve(gate); close(over) }()
		select {
		case <-over:
		case <-time.After(10 * time.Second):
			require.Fail(t, "it waits for ever for a body", "offered: %v", offered)
		}
		require.Eventually(t, func() bool { return h.budget.Available() == 1<<20 && h.Load().InFlight == 0 }, 10*time.Second, time.Millisecond, "its room is given back")
	}
}
