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

// feed is the link from one agent.
type feed struct {
	agent    string // ip
	conn     *transport.Conn
	woken    chan struct{}
	dirty    map[string]bool // stations to be told of; the owner's
	whole    bool            // nothing has been told yet
	known    bool            // it has said what it has
	have     uint64          // index of the configuration that it has, or has been told of
	want     uint64          // not 0: the whole configuration, of this index or a later one
	since    uint64          // with want, not 0: the agent has the configuration of this index
	deflate  bool            // with want: it may come compressed
	cores    []string        // told last
	proven   uint64          // to be answered; the owner's
	revision uint64          // of the stations, told last
	min      uint64          // life that the agent's must be above
	life     uint64
	beats    []waiting
	last     uint64
	replies  map[uint64]chan int

	offset atomic.Int64 // of the agent's own time from this process's, ns
	timed  atomic.Bool  // it has told its time

	work *transport.Workload // as told last; nil: not told; the owner's
}

// waiting is a backend's call that is to be told to the agent beside it.
type waiting struct {
	number uint64
	beat   transport.RelayedHeartbeat
}

func newFeed(agent string, conn *transport.Conn) *feed {
	return &feed{agent: agent, conn: conn, woken: make(chan struct{}, 1), dirty: map[string]bool{},
		whole: true, replies: map[uint64]chan int{}}
}

func (f *feed) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// serveFeed serves one agent until its connection ends.
//
// Danger: while this process stood still its kernel went on accepting, and each agent dialed again
// and again. So the connections that wait are many, all but the last of an agent are dead, and one
// that is dead must neither replace a live feed nor be sent the table. Who dialed is greeted with an
// empty message, and has a feed once it has answered that.
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
	if !c.open(f, first.Resume) {
		return
	}
	ended := make(chan struct{})
	go c.send(f, ended)
	c.receive(f, first)
	close(ended)
	c.do(func() { c.closed(f) })
}

// greet sends the first word of a feed, and returns the agent's, which answers it.
func (c *Core) greet(conn *transport.Conn) (*transport.AgentUpdate, error) {
	conn.SetWriteDeadline(time.Now().Add(feedTimeout))
	if err := conn.Send(&transport.CoreUpdate{Core: c.life}, nil); err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(feedTimeout))
	first := new(transport.AgentUpdate)
	return first, conn.Receive(first)
}

// open makes a feed the agent's feed, in place of the one before.
func (c *Core) open(f *feed, heard transport.ResumePoint) bool {
	opened := make(chan bool, 1)
	c.do(func() {
		old := c.feeds[f.agent]
		if old == nil && len(c.feeds) >= mostFeeds {
			opened <- false
			return
		}
		if old != nil {
			old.conn.Close()
		}
		c.feeds[f.agent] = f
		delete(c.unheard, f.agent)
		c.resume(f, heard)
		opened <- true
	})
	return <-opened
}

// resume has an agent told what has changed since it last heard this process, if that is known.
func (c *Core) resume(f *feed, heard transport.ResumePoint) {
	if heard.Core != c.life {
		return
	}
	changed, ok := c.revisions.ChangedSince(heard.Revision)
	if !ok {
		return
	}
	f.whole = false
	for _, agent := range changed {
		f.dirty[agent] = true
	}
}

// receive takes in what an agent says until its connection breaks or it is silent for too long.
func (c *Core) receive(f *feed, up *transport.AgentUpdate) {
	for {
		if up.Clock != 0 {
			f.offset.Store(int64(time.Duration(up.Clock) - c.clock.Local()))
			f.timed.Store(true)
		}
		if said := up; said.Station != nil || said.Want != 0 || said.Fresh != 0 || said.Handed != 0 || said.Usage != nil || said.Work != nil {
			c.do(func() { c.heard(f, said) })
		}
		f.conn.SetReadDeadline(time.Now().Add(feedTimeout))
		if up = new(transport.AgentUpdate); f.conn.Receive(up) != nil {
			return
		}
	}
}

// closed takes in that a feed has ended.
func (c *Core) closed(f *feed) {
	if c.feeds[f.agent] != f {
		return // it has come back already
	}
	delete(c.feeds, f.agent)
	delete(c.asking, f)
	if c.settling() {
		c.unheard[f.agent] = f.life
		return
	}
	c.lose(f.agent, f.life)
}

// lose takes in that an agent is not heard any more.
func (c *Core) lose(agent string, life uint64) {
	if c.registry.MarkLost("feeds", agent, life) {
		c.revisions.RecordLost(agent)
		c.count.lost.Add(1)
		c.log.WithField("agent", agent).Info("agent lost")
		c.announce(agent)
	}
}

// heard takes in what an agent says.
func (c *Core) heard(f *feed, up *transport.AgentUpdate) {
	if c.feeds[f.agent] != f {
		return
	}
	if up.Want != 0 {
		f.want, f.since, f.deflate = up.Want, up.Since, up.Deflate
		f.wake()
	}
	if s := up.Station; s != nil {
		s.Agent = f.agent
		if !f.known {
			f.known, f.have = true, up.Have
			f.wake()
		}
		if known := c.registry.Station(f.agent); known != nil && f.life == 0 && known.Life > s.Life {
			f.min = known.Life
			f.wake()
		} else {
			f.life = s.Life
			c.hear(*s)
		}
	}
	if up.Work != nil {
		f.work = up.Work
	}
	if up.Usage != nil {
		c.collector.Merge(f.agent, up.Usage)
	}
	if up.Fresh != 0 {
		c.asking[f] = up.Fresh
		c.prove()
	}
	if up.Handed != 0 {
		if reply := f.replies[up.Handed]; reply != nil {
			delete(f.replies, up.Handed)
			reply <- up.Status
		}
	}
}

// hear takes in an agent's word of itself.
func (c *Core) hear(s transport.Station) {
	before, known := c.registry.Status(c.now(), s.Agent)
	if known {
		c.former.note(&before.Station, &s)
	}
	if !c.registry.Merge(c.now(), "feeds", false, []transport.StationStatus{{Station: s}}) {
		return
	}
	if known && before.Lost {
		c.revisions.RecordRecovered(s.Agent)
	}
	if !known || s.Newer(&before.Station) {
		c.revisions.RecordUpdate(s.Agent)
	}
	c.announce(s.Agent)
}

// prove finds out what is current, and has those agents told that asked before. One read serves all who have asked when it begins:
// after a start each agent asks, and as many reads would crowd out the agreement's own messages.
func (c *Core) prove() {
	if c.proving || len(c.asking) == 0 {
		return
	}
	asked := c.asking
	c.proving, c.asking = true, map[*feed]uint64{}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := c.node.Read(ctx)
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
		c.do(func() {
			c.proving = false
			for f, number := range asked {
				switch {
				case c.feeds[f.agent] != f:
				case err == nil:
					f.proven = number
					f.wake()
				case c.asking[f] == 0:
					c.asking[f] = number
				}
			}
			c.prove()
		})
	}()
}

// announce has all agents told of one.
func (c *Core) announce(agent string) {
	c.each(func(f *feed) {
		f.dirty[agent] = true
		f.wake()
	})
}

// pass hands a backend's call to the agent beside it, and returns the agent's answer.
func (c *Core) pass(ctx context.Context, agent string, b transport.RelayedHeartbeat) int {
	reply := make(chan int, 1)
	c.do(func() {
		f := c.feeds[agent]
		if f == nil || len(f.replies) >= 64 {
			reply <- http.StatusServiceUnavailable
			return
		}
		f.last++
		f.replies[f.last] = reply
		f.beats = append(f.beats, waiting{f.last, b})
		f.wake()
	})
	select {
	case status := <-reply:
		return status
	case <-ctx.Done():
		c.do(func() { c.forget(agent, reply) })
		return http.StatusServiceUnavailable
	}
}

// forget drops a backend's call whose caller waits no longer. One that has not been sent is not sent
// any more: it would come late.
func (c *Core) forget(agent string, reply chan int) {
	f := c.feeds[agent]
	if f == nil {
		return
	}
	for number, waits := range f.replies {
		if waits == reply {
			delete(f.replies, number)
			f.beats = slices.DeleteFunc(f.beats, func(w waiting) bool { return w.number == number })
		}
	}
}
