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

// peerPause is how long reading messages rests after an error: one that lasts must not take the agent's core.
const peerPause = 100 * time.Millisecond

// chatter carries messages between this agent and the others. They may be lost on the way, so whatever goes wrong with
// one is as if it were.
type peerLink struct {
	conn PacketConn
	all  netip.AddrPort
	from map[netip.AddrPort]bool
}

// openPeers opens the socket for other agents' messages; nil is none.
func openPeerLink(p *Peers, network Network) (*peerLink, error) {
	packets, ok := network.(PacketNetwork)
	if !ok || !p.Listen.IsValid() {
		return nil, nil
	}
	conn, err := packets.ListenPacket(p.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	c := &peerLink{conn: conn, all: p.Broadcast, from: map[netip.AddrPort]bool{}}
	for _, addr := range p.Sources {
		c.from[addr] = true
	}
	return c, nil
}

// tell sends a message to all other agents.
func (c *peerLink) broadcast(msg []byte) {
	c.conn.WriteToUDPAddrPort(msg, c.all)
}

// hear hands messages to the loop until the socket is closed.
func (c *peerLink) receiveLoop(ctx context.Context, l *loop) {
	buf := make([]byte, peers.MostBytes+1) // what is longer is cut, and told by its length
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(peerPause):
				continue
			case <-ctx.Done():
				return
			}
		}
		if n > peers.MostBytes || !c.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			continue
		}
		// What comes faster than this is lost in the socket's buffer.
		l.send(input{event: policy.Event{Kind: policy.EventPeerMessage, Data: append([]byte(nil), buf[:n]...)}})
	}
}
