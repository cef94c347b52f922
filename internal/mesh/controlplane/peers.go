package controlplane

import (
	"context"
	"sync"
	"time"

	"example.org/micaline/internal/mesh/bootstrap"
	"example.org/micaline/internal/mesh/consensus"
	"example.org/micaline/internal/mesh/sidecar"
	"example.org/micaline/internal/mesh/transport"
)

// peers carries messages to other core machines, each over a connection of its own that is opened when there is something to send.
// Of more than mostPeers the one gives way that has been sent nothing for longest: machines are replaced at other addresses.
type peers struct {
	set  *bootstrap.Settings
	mu   sync.Mutex
	to   map[string]*peer
	sent uint64 // messages so far
}

// peer is another core machine.
type peer struct {
	queue chan consensus.Message // closed once the peer gives way
	used  uint64                 // number of the last message to it
}

const (
	mostPeers = 64 // at once: above the core machines that there are
	peerQueue = 64 // messages that wait for a peer
)

func newPeers(set *bootstrap.Settings) *peers {
	return &peers{set: set, to: map[string]*peer{}}
}

// send queues a message; where the queue is full it is lost, which the agreement bears.
func (p *peers) send(m consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.to[m.To]
	if to == nil {
		p.makeRoom()
		to = &peer{queue: make(chan consensus.Message, peerQueue)}
		p.to[m.To] = to
		go p.carry(m.To, to.queue)
	}
	p.sent++
	to.used = p.sent
	select {
	case to.queue <- m:
	default:
	}
}

// makeRoom has the peer that was used least recently give way if there are as many as there may be.
func (p *peers) makeRoom() {
	if len(p.to) < mostPeers {
		return
	}
	oldest := ""
	for address, to := range p.to {
		if oldest == "" || to.used < p.to[oldest].used {
			oldest = address
		}
	}
	close(p.to[oldest].queue)
	delete(p.to, oldest)
}

func (p *peers) carry(to string, q chan consensus.Message) {
	var c *transport.Conn
	var failed time.Time
	for m := range q {
		if c == nil {
			if time.Since(failed) < 100*time.Millisecond {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			var err error
			c, err = transport.Dial(ctx, transport.UsePeer, p.set.Control, sidecar.InternalAddress(p.set, to))
			cancel()
			if err != nil {
				c, failed = nil, time.Now()
				for len(q) > 0 { // what has waited behind a dead address is old
					<-q
				}
				continue
			}
			go func(c *transport.Conn) { // nothing comes on it but its end
				var b [1]byte
				c.Read(b[:])
				c.Close()
			}(c)
		}
		c.SetWriteDeadline(time.Now().Add(sendWithin(m)))
		if err := c.Send(m, nil); err != nil {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

const slowestLink = 64 << 10 // bytes a second: over a slower one large commands don't go

// sendWithin is how long a message may take to go out: one with a large command needs its time, or
// it would be cut and sent again from its start for ever.
func sendWithin(m consensus.Message) time.Duration {
	size := len(m.Command)
	for _, e := range m.Entries {
		size += len(e.Command)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return time.Second + time.Duration(size)*time.Second/slowestLink
}
