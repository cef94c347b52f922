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

// peers sends messages to other control-plane nodes, over one connection each, which is opened when
// there is a message to send. If there are more than maxPeers, the least recently used connection
// is closed. Otherwise connections would accumulate, because replaced machines have new addresses.
type peers struct {
	settings  *bootstrap.Settings
	mu        sync.Mutex
	byAddress map[string]*peer
	sentCount uint64 // number of messages so far; orders the peers by last use
}

// peer is another control-plane node.
type peer struct {
	queue    chan consensus.Message // closed when the peer is evicted
	lastUsed uint64                 // value of sentCount at the latest message
}

const (
	maxPeers      = 64 // more than the expected number of control-plane nodes
	peerQueueSize = 64 // messages that wait for a peer
)

func newPeers(settings *bootstrap.Settings) *peers {
	return &peers{settings: settings, byAddress: map[string]*peer{}}
}

// send queues a message. If the queue is full the message is lost, which consensus tolerates.
func (p *peers) send(message consensus.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.byAddress[message.To]
	if target == nil {
		p.evictOldest()
		target = &peer{queue: make(chan consensus.Message, peerQueueSize)}
		p.byAddress[message.To] = target
		go p.sendLoop(message.To, target.queue)
	}
	p.sentCount++
	target.lastUsed = p.sentCount
	select {
	case target.queue <- message:
	default:
	}
}

// evictOldest evicts the least recently used peer if there are maxPeers.
func (p *peers) evictOldest() {
	if len(p.byAddress) < maxPeers {
		return
	}
	oldest := ""
	for address, candidate := range p.byAddress {
		if oldest == "" || candidate.lastUsed < p.byAddress[oldest].lastUsed {
			oldest = address
		}
	}
	close(p.byAddress[oldest].queue)
	delete(p.byAddress, oldest)
}

// sendLoop sends the queued messages to a peer until the queue is closed.
func (p *peers) sendLoop(address string, queue chan consensus.Message) {
	var conn *transport.Conn
	var failedAt time.Time
	for message := range queue {
		if conn == nil {
			if time.Since(failedAt) < 100*time.Millisecond {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			var err error
			conn, err = transport.Dial(ctx, transport.UsePeer, p.settings.Control, sidecar.InternalAddress(p.settings, address))
			cancel()
			if err != nil {
				conn, failedAt = nil, time.Now()
				for len(queue) > 0 { // messages for an unreachable address are outdated
					<-queue
				}
				continue
			}
			go func(conn *transport.Conn) { // receives nothing but the end of the connection
				var buffer [1]byte
				conn.Read(buffer[:])
				conn.Close()
			}(conn)
		}
		conn.SetWriteDeadline(time.Now().Add(sendTimeout(message)))
		if err := conn.Send(message, nil); err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

const minLinkRate = 64 << 10 // bytes per second; large commands need at least this rate

// sendTimeout returns the time limit for sending a message. It grows with the size, because a large
// message that is always cut off would be sent again from its start forever.
func sendTimeout(message consensus.Message) time.Duration {
	size := len(message.Command)
	for _, entry := range message.Entries {
		size += len(entry.Command)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	return time.Second + time.Duration(size)*time.Second/minLinkRate
}
