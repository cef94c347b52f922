package agent

import (
	"net"
	"net/netip"

	"example.org/micaline/internal/connpool"
)

// Network connects the agent to backends and discovery.
type Network = connpool.Network

// PacketNetwork is a Network that also carries datagrams between agents.
type PacketNetwork interface {
	// ListenPacket opens a datagram socket bound to an address.
	ListenPacket(addr netip.AddrPort) (PacketConn, error)
}

// PacketConn is a datagram socket.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// TCP is the Network and PacketNetwork of the operating system.
type TCP struct{ connpool.TCP }

// ListenPacket opens a UDP socket.
func (TCP) ListenPacket(addr netip.AddrPort) (PacketConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return c, nil
}
