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

// listenUDP opens a UDP socket on the loopback interface.
func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Messages are sent to the broadcast address, and messages of the other agents reach the loop.
// Messages of unknown senders and messages that are too long are dropped.
func TestPeersTalk(t *testing.T) {
	broadcastConn, broadcastAddr := listenUDP(t)
	peer, peerAddr := listenUDP(t)
	stranger, _ := listenUDP(t)
	link, err := openPeerLink(&Peers{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Broadcast: broadcastAddr, Sources: []netip.AddrPort{peerAddr}}, TCP{})
	if err != nil {
		t.Fatal(err)
	}
	addr := link.conn.(*net.UDPConn).LocalAddr().(*net.UDPAddr).AddrPort()
	link.broadcast([]byte("out"))
	buf := make([]byte, 16)
	broadcastConn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, from, err := broadcastConn.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "out" || from != addr {
		t.Fatalf("%q from %v, error %v", buf[:n], from, err)
	}

	inputs := make(chan input, 1)
	l := &loop{send: func(in input) { inputs <- in }}
	var receiving sync.WaitGroup
	receiving.Go(func() { link.receiveLoop(context.Background(), l) })
	stranger.WriteToUDPAddrPort([]byte("stranger"), addr)
	peer.WriteToUDPAddrPort(make([]byte, 257), addr)
	peer.WriteToUDPAddrPort([]byte("in"), addr)
	select {
	case in := <-inputs:
		if in.event.Kind != policy.EventPeerMessage || string(in.event.Data) != "in" {
			t.Errorf("the loop received %+v", in.event)
		}
	case <-time.After(10 * time.Second):
		t.Error("the message of a peer did not arrive")
	}
	link.conn.Close()
	receiving.Wait()
}

// All builds of the agent must derive the same key from a backend's name. The test vectors are
// those published for FNV-1a.
func TestBackendsKeepTheirKey(t *testing.T) {
	for id, want := range map[string]uint32{"": 0x811c9dc5, "a": 0xe40c292c, "foobar": 0xbf9cf968} {
		if got := serverKey(id); got != want {
			t.Errorf("the key of %q is %#x, want %#x", id, got, want)
		}
	}
}
