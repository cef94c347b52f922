package agent

import (
	"net"
	"net/netip"

	"example.org/micaline/internal/connpool"
)

// Network is what the agent reaches backends and discovery through.
type Network = connpool.Network

// PacketNetwork is a Network that carries datagrams between agents.
type PacketNetwork interface {
	// ListenPacket opens a socket for datagrams at an address.
	ListenPacket(addr netip.AddrPort) (PacketConn, error)
}

// PacketConn is a socket for datagrams.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// TCP is the Network of the machine, and its PacketNetwork.
type TCP struct{ connpool.TCP }

// ListenPacket opens a UDP socket.
func (TCP) ListenPacket(addr netip.AddrPort) (PacketConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return c, nil
}
