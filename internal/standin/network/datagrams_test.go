package network

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A datagram to everybody comes to all but its sender, late, and a share is lost.
func TestDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDatagrams(100*time.Millisecond, 0.2, 1)
		at := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 255, 1, i}), 7946) }
		var conns []*PacketConn
		var heard [3]int
		var soonest [3]time.Duration
		var reading sync.WaitGroup
		began := time.Now()
		for i := range 3 {
			c := d.Listen(at(byte(i)))
			conns = append(conns, c)
			reading.Go(func() {
				buf := make([]byte, 16)
				for {
					n, from, err := c.ReadFromUDPAddrPort(buf)
					if errors.Is(err, net.ErrClosed) {
						return
					}
					if string(buf[:n]) != "hello" || from != at(0) {
						t.Errorf("%q from %v", buf[:n], from)
					}
					if heard[i]++; soonest[i] == 0 {
						soonest[i] = time.Since(began)
					}
				}
			})
		}
		for range 1000 {
			conns[0].WriteToUDPAddrPort([]byte("hello"), Everybody)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, c := range conns {
			c.Close()
			c.Close() // twice is once
		}
		reading.Wait()
		if heard[0] != 0 || heard[1] < 750 || heard[1] > 850 || heard[2] < 750 || heard[2] > 850 {
			t.Errorf("1000 sent, a fifth to be lost, heard %v", heard)
		}
		for _, first := range soonest[1:] {
			if first < 50*time.Millisecond {
				t.Errorf("the first came after %v", first)
			}
		}
		if carried, lost := d.Carried(); carried != heard[1]+heard[2] || carried+lost != 2000 {
			t.Errorf("%d carried and %d lost of 2000, %v heard", carried, lost, heard)
		}
		if _, err := conns[0].WriteToUDPAddrPort([]byte("hello"), Everybody); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed socket sends: %v", err)
		}
	})
}

// A socket that nobody reads holds so many and loses the rest; a new one at its address takes its place.
func TestUnreadDatagramsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDatagrams(time.Millisecond, 0, 1)
		a, b := netip.MustParseAddrPort("127.255.1.1:7946"), netip.MustParseAddrPort("127.255.1.2:7946")
		from, old := d.Listen(a), d.Listen(b)
		for range 2 * mostDatagrams {
			from.WriteToUDPAddrPort([]byte("x"), b)
		}
		time.Sleep(time.Second)
		if carried, lost := d.Carried(); carried != mostDatagrams || lost != mostDatagrams {
			t.Errorf("%d carried, %d lost", carried, lost)
		}
		next := d.Listen(b)
		old.Close() // danger: it must not take its successor along
		from.WriteToUDPAddrPort([]byte("y"), b)
		buf := make([]byte, 4)
		if n, _, err := next.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "y" {
			t.Errorf("%q, error %v", buf[:n], err)
		}
		next.Close()
		from.Close()
	})
}
