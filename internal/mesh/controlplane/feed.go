package controlplane

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

// feed is the connection with one agent. The fields from pendingStations to replies, and workload,
// belong to the goroutine of Core.runLoop.
type feed struct {
	agent             string // its IP
	conn              *transport.Conn
	wakeup            chan struct{}
	pendingStations   map[string]bool // agents whose stations are still to be sent
	sendAll           bool            // no stations were sent yet, so all have to be
	announced         bool            // the agent has sent its station and configuration index
	configIndex       uint64          // index of the configuration that the agent has or was notified of
	wantedIndex       uint64          // if not 0: a configuration of this or a later index is requested
	wantedSince       uint64          // with wantedIndex: the steps from this index are sufficient; 0 if not
	acceptsDeflate    bool            // with wantedIndex: the response may be compressed
	sentMembers       []string        // members sent last
	proofNumber       uint64          // number of the proof request to answer next; 0 if none
	sentRevision      uint64          // station revision sent last
	minLife           uint64          // if not 0: the agent has to use a higher life
	life              uint64          // identifies the agent's process; 0 until it is known
	pendingHeartbeats []pendingHeartbeat
	lastNumber        uint64              // number of the latest heartbeat
	replies           map[uint64]chan int // by number: receives the HTTP status of the answer

	clockOffset atomic.Int64 // difference of the agent's clock from this process's, in ns
	hasClock    atomic.Bool  // the agent has sent its clock

	workload *transport.Workload // sent last by the agent; nil if none
}

// pendingHeartbeat is a heartbeat of a backend that is to be relayed to the backend's agent.
type pendingHeartbeat struct {
	number    uint64
	heartbeat transport.RelayedHeartbeat
}

func newFeed(agent string, conn *transport.Conn) *feed {
	return &feed{agent: agent, conn: conn, wakeup: make(chan struct{}, 1), pendingStations: map[string]bool{},
		sendAll: true, replies: map[uint64]chan int{}}
}

func (f *feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// serveFeed serves one agent until its connection ends.
//
// While this process is paused, its kernel still accepts connections, and each agent dials again
// and again. After the pause many connections wait, of which all but the last of each agent are
// dead. A dead connection must neither replace a live feed nor be sent the stations. Therefore the
// process first sends an empty message, and opens the feed only after the agent has answered it.
func (c *Core) serveFeed(from string, conn *transport.Conn) {
	ip, _, err := net.SplitHostPort(from)
	if err != nil {
		return
	}
	first, err := c.greet(conn)
	if err != nil {
		return
	}
	f := newFeed(ip, conn)
	if !c.openFeed(f, first.Resume) {
		return
	}
	ended := make(chan struct{})
	go c.sendUpdates(f, ended)
	c.receiveUpdates(f, first)
	close(ended)
	c.submit(func() { c.feedEnded(f) })
}

// greet sends the first message on a new connection and returns the agent's answer.
func (c *Core) greet(conn *transport.Conn) (*transport.AgentUpdate, error) {
	conn.SetWriteDeadline(time.Now().Add(feedTimeout))
	if err := conn.Send(&transport.CoreUpdate{Core: c.processID}, nil); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(feedTimeout))
	first := new(transport.AgentUpdate)
	return first, conn.Receive(first)
}

// openFeed makes a feed the current feed of its agent. It returns false if there are too many
// feeds.
func (c *Core) openFeed(f *feed, resume transport.ResumePoint) bool {
	opened := make(chan bool, 1)
	c.submit(func() {
		previous := c.feeds[f.agent]
		if previous == nil && len(c.feeds) >= maxFeeds {
			opened <- false
			return
		}
		if previous != nil {
			previous.conn.Close()
		}
		c.feeds[f.agent] = f
		delete(c.lostInStall, f.agent)
		c.resumeFeed(f, resume)
		opened <- true
	})
	return <-opened
}

// resumeFeed limits the stations to send to those that changed since the agent's previous feed from
// this process, if these are known.
func (c *Core) resumeFeed(f *feed, resume transport.ResumePoint) {
	if resume.Core != c.processID {
		return
	}
	changed, ok := c.revisions.ChangedSince(resume.Revision)
	if !ok {
		return
	}
	f.sendAll = false
	for _, agent := range changed {
		f.pendingStations[agent] = true
	}
}

// receiveUpdates handles the agent's messages until the connection fails or the agent is silent for
// feedTimeout.
func (c *Core) receiveUpdates(f *feed, received *transport.AgentUpdate) {
	for {
		if received.Clock != 0 {
			f.clockOffset.Store(int64(time.Duration(received.Clock) - c.clock.Local()))
			f.hasClock.Store(true)
		}
		if update := received; update.Station != nil || update.Want != 0 || update.Fresh != 0 || update.Handed != 0 || update.Usage != nil || update.Work != nil {
			c.submit(func() { c.handleUpdate(f, update) })
		}
		f.conn.SetReadDeadline(time.Now().Add(feedTimeout))
		if received = new(transport.AgentUpdate); f.conn.Receive(received) != nil {
			return
		}
	}
}

// feedEnded handles the end of a feed.
func (c *Core) feedEnded(f *feed) {
	if c.feeds[f.agent] != f {
		return // the agent has a new feed already
	}
	delete(c.feeds, f.agent)
	delete(c.proofRequests, f)
	if c.settling() {
		c.lostInStall[f.agent] = f.life
		return
	}
	c.markLost(f.agent, f.life)
}

// markLost records that contact with an agent is lost.
func (c *Core) markLost(agent string, life uint64) {
	if c.registry.MarkLost("feeds", agent, life) {
		c.revisions.RecordLost(agent)
		c.counters.lostAgents.Add(1)
		c.log.WithField("agent", agent).Info("agent lost")
		c.announceStation(agent)
	}
}

// handleUpdate handles a message of an agent.
func (c *Core) handleUpdate(f *feed, update *transport.AgentUpdate) {
	if c.feeds[f.agent] != f {
		return
	}
	if update.Want != 0 {
		f.wantedIndex, f.wantedSince, f.acceptsDeflate = update.Want, update.Since, update.Deflate
		f.wake()
	}
	if station := update.Station; station != nil {
		station.Agent = f.agent
		if !f.announced {
			f.announced, f.configIndex = true, update.Have
			f.wake()
		}
		if known := c.registry.Station(f.agent); known != nil && f.life == 0 && known.Life > station.Life {
			f.minLife = known.Life
			f.wake()
		} else {
			f.life = station.Life
			c.updateStation(*station)
		}
	}
	if update.Work != nil {
		f.workload = update.Work
	}
	if update.Usage != nil {
		c.collector.Merge(f.agent, update.Usage)
	}
	if update.Fresh != 0 {
		c.proofRequests[f] = update.Fresh
		c.answerProofRequests()
	}
	if update.Handed != 0 {
		if reply := f.replies[update.Handed]; reply != nil {
			delete(f.replies, update.Handed)
			reply <- update.Status
		}
	}
}

// updateStation merges a new version of an agent's station.
func (c *Core) updateStation(station transport.Station) {
	previous, known := c.registry.Status(c.now(), station.Agent)
	if known {
		c.formerBackends.recordChange(&previous.Station, &station)
	}
	if !c.registry.Merge(c.now(), "feeds", false, []transport.StationStatus{{Station: station}}) {
		return
	}
	if known && previous.Lost {
		c.revisions.RecordRecovered(station.Agent)
	}
	if !known || station.Newer(&previous.Station) {
		c.revisions.RecordUpdate(station.Agent)
	}
	c.announceStation(station.Agent)
}

// answerProofRequests confirms to agents that their data is current. A single consensus read serves
// all requests that were made before it starts: after a start all agents ask for a proof, and one
// read for each would displace the messages of consensus itself.
func (c *Core) answerProofRequests() {
	if c.readInProgress || len(c.proofRequests) == 0 {
		return
	}
	requests := c.proofRequests
	c.readInProgress, c.proofRequests = true, map[*feed]uint64{}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := c.node.Read(ctx)
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
		c.submit(func() {
			c.readInProgress = false
			for f, number := range requests {
				switch {
				case c.feeds[f.agent] != f:
				case err == nil:
					f.proofNumber = number
					f.wake()
				case c.proofRequests[f] == 0:
					c.proofRequests[f] = number
				}
			}
			c.answerProofRequests()
		})
	}()
}

// announceStation schedules sending an agent's station to all agents.
func (c *Core) announceStation(agent string) {
	c.forEachFeed(func(f *feed) {
		f.pendingStations[agent] = true
		f.wake()
	})
}

// relayHeartbeat relays a backend's heartbeat to its agent and returns the HTTP status of the
// answer.
func (c *Core) relayHeartbeat(ctx context.Context, agent string, heartbeat transport.RelayedHeartbeat) int {
	reply := make(chan int, 1)
	c.submit(func() {
		f := c.feeds[agent]
		if f == nil || len(f.replies) >= 64 {
			reply <- http.StatusServiceUnavailable
			return
		}
		f.lastNumber++
		f.replies[f.lastNumber] = reply
		f.pendingHeartbeats = append(f.pendingHeartbeats, pendingHeartbeat{f.lastNumber, heartbeat})
		f.wake()
	})
	select {
	case status := <-reply:
		return status
	case <-ctx.Done():
		c.submit(func() { c.cancelRelay(agent, reply) })
		return http.StatusServiceUnavailable
	}
}

// cancelRelay drops a heartbeat whose caller has given up. If it was not sent yet, it is not sent
// any more, because it would arrive late.
func (c *Core) cancelRelay(agent string, reply chan int) {
	f := c.feeds[agent]
	if f == nil {
		return
	}
	for number, pending := range f.replies {
		if pending == reply {
			delete(f.replies, number)
			f.pendingHeartbeats = slices.DeleteFunc(f.pendingHeartbeats, func(pending pendingHeartbeat) bool { return pending.number == number })
		}
	}
}
