package network

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// mostDatagrams is how many datagrams a socket holds that nobody has read; further ones are lost.
const mostDatagrams = 64

// Datagrams carries datagrams among agents as a network does that promises nothing: late, out of order, some not at all.
type Datagrams struct {
	delay time.Duration
	loss  float64

	mu      sync.Mutex
	rng     *rand.Rand
	sockets map[netip.AddrPort]*PacketConn
	lost    int
	carried int
}

// Everybody is the address from which a datagram goes to all sockets but the sender's.
var Everybody = netip.MustParseAddrPort("127.255.0.1:7946")

// NewDatagrams returns a network that loses a share of what it carries and takes from half of a delay to one and a half.
func NewDatagrams(delay time.Duration, loss float64, seed uint64) *Datagrams {
	return &Datagrams{delay: delay, loss: loss, rng: rand.New(rand.NewPCG(seed, 7)), sockets: map[netip.AddrPort]*PacketConn{}}
}

// Carried returns how many datagrams have come to a socket and how many were lost on the way.
func (d *Datagrams) Carried() (carried, lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.carried, d.lost
}

// Listen opens a socket. One that is still open at the address hears nothing from then on: its process has ended.
func (d *Datagrams) Listen(addr netip.AddrPort) *PacketConn {
	c := &PacketConn{of: d, addr: addr, in: make(chan datagram, mostDatagrams), closed: make(chan struct{})}
	d.mu.Lock()
	d.sockets[addr] = c
	d.mu.Unlock()
	return c
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

// PacketConn is a socket for datagrams.
type PacketConn struct {
	of     *Datagrams
	addr   netip.AddrPort
	in     chan datagram
	closed chan struct{}
	once   sync.Once
}

// ReadFromUDPAddrPort waits for a datagram, or for the socket to close.
func (c *PacketConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case g := <-c.in:
		return copy(b, g.data), g.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram. It is no error that it is lost.
func (c *PacketConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	d := c.of
	g := datagram{append([]byte(nil), b...), c.addr}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sockets[c.addr] != c {
		return 0, net.ErrClosed
	}
	for _, addr := range slices.SortedFunc(maps.Keys(d.sockets), netip.AddrPort.Compare) { // one seed, one day
		if addr == c.addr || to != Everybody && to != addr {
			continue
		}
		if d.rng.Float64() < d.loss {
			d.lost++
			continue
		}
		time.AfterFunc(time.Duration(float64(d.delay)*(0.5+d.rng.Float64())), func() { d.deliver(addr, g) })
	}
	return len(b), nil
}

func (d *Datagrams) deliver(to netip.AddrPort, g datagram) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.sockets[to]
	if c == nil {
		d.lost++
		return
	}
	select {
	case c.in <- g:
		d.carried++
	default:
		d.lost++
	}
}

// Close closes the socket.
func (c *PacketConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.of.mu.Lock()
		if c.of.sockets[c.addr] == c {
			delete(c.of.sockets, c.addr)
		}
		c.of.mu.Unlock()
	})
	return nil
}
