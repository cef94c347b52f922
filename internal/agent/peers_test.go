package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"example.org/micaline/policy"
)

// udp opens a socket on loopback.
func udp(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Messages go to the address of all, and those of the other agents come to the loop; a stranger's and one that is too
// long do not.
func TestPeersTalk(t *testing.T) {
	all, allAt := udp(t)
	friend, friendAt := udp(t)
	stranger, _ := udp(t)
	c, err := openPeerLink(&Peers{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Broadcast: allAt, Sources: []netip.AddrPort{friendAt}}, TCP{})
	if err != nil {
		t.Fatal(err)
	}
	at := c.conn.(*net.UDPConn).LocalAddr().(*net.UDPAddr).AddrPort()
	c.broadcast([]byte("out"))
	buf := make([]byte, 16)
	all.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, from, err := all.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "out" || from != at {
		t.Fatalf("%q from %v, error %v", buf[:n], from, err)
	}

	inputs := make(chan input, 1)
	l := &loop{send: func(in input) { inputs <- in }}
	var hearing sync.WaitGroup
	hearing.Go(func() { c.receiveLoop(context.Background(), l) })
	stranger.WriteToUDPAddrPort([]byte("stranger"), at)
	friend.WriteToUDPAddrPort(make([]byte, 257), at)
	friend.WriteToUDPAddrPort([]byte("in"), at)
	select {
	case in := <-inputs:
		if in.event.Kind != policy.EventPeerMessage || string(in.event.Data) != "in" {
			t.Errorf("the loop was given %+v", in.event)
		}
	case <-time.After(10 * time.Second):
		t.Error("a peer's message did not come")
	}
	c.conn.Close()
	hearing.Wait()
}

// Agents of different builds name a backend alike: the hash is the published one, whose test vectors these are.
func TestBackendsKeepTheirKey(t *testing.T) {
	for id, want := range map[string]uint32{"": 0x811c9dc5, "a": 0xe40c292c, "foobar": 0xbf9cf968} {
		if got := keyOf(id); got != want {
			t.Errorf("the key of %q is %#x, want %#x", id, got, want)
		}
	}
}
