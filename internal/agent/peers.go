package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"example.org/micaline/internal/peers"
	"example.org/micaline/policy"
)

// peerReadBackoff is the pause after a failed read, so that a persistent error does not use up the
// agent's processor time.
const peerReadBackoff = 100 * time.Millisecond

// peerLink carries messages between this agent and the others. Messages may be lost, so a message
// that can't be sent or read is treated as lost.
type peerLink struct {
	conn          PacketConn
	broadcastAddr netip.AddrPort
	peerAddrs     map[netip.AddrPort]bool
}

// openPeerLink opens the socket for messages of other agents. It returns nil if none is configured
// or the network carries no datagrams.
func openPeerLink(p *Peers, network Network) (*peerLink, error) {
	packets, ok := network.(PacketNetwork)
	if !ok || !p.Listen.IsValid() {
		return nil, nil
	}
	conn, err := packets.ListenPacket(p.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	c := &peerLink{conn: conn, broadcastAddr: p.Broadcast, peerAddrs: map[netip.AddrPort]bool{}}
	for _, addr := range p.Sources {
		c.peerAddrs[addr] = true
	}
	return c, nil
}

// broadcast sends a message to all other agents.
func (c *peerLink) broadcast(msg []byte) {
	c.conn.WriteToUDPAddrPort(msg, c.broadcastAddr)
}

// receiveLoop passes messages to the loop until the socket is closed.
func (c *peerLink) receiveLoop(ctx context.Context, l *loop) {
	buf := make([]byte, peers.MostBytes+1) // the extra byte shows that a longer message was truncated
	for {
		n, sender, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(peerReadBackoff):
				continue
			case <-ctx.Done():
				return
			}
		}
		if n > peers.MostBytes || !c.peerAddrs[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())] {
			continue
		}
		// The socket's buffer drops messages that arrive faster than the loop processes them.
		l.send(input{event: policy.Event{Kind: policy.EventPeerMessage, Data: append([]byte(nil), buf[:n]...)}})
	}
}
