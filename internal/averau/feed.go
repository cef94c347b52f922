package averau

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"example.org/micaline/internal/brentei"
)

// feed is the link from one agent.
type feed struct {
	agent   string // ip
	conn    *brentei.Conn
	woken   chan struct{}
	dirty   map[string]bool // stations to be told of; the owner's
	whole   bool
	fresh   uint64 // asked for and not answered; the owner's
	proven  uint64 // to be answered; the owner's
	min     uint64 // life that the agent's must be above
	life    uint64
	beats   []waiting
	last    uint64
	replies map[uint64]chan int
}

// waiting is a backend's call that is to be told to the agent beside it.
type waiting struct {
	number uint64
	beat   brentei.Beat
}

func (f *feed) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// feed serves one agent until its connection ends.
func (c *Core) feed(from string, k *brentei.Conn) {
	ip, _, err := net.SplitHostPort(from)
	if err != nil {
		return
	}
	f := &feed{agent: ip, conn: k, woken: make(chan struct{}, 1), dirty: map[string]bool{}, whole: true, replies: map[uint64]chan int{}}
	in := make(chan bool, 1)
	c.do(func() {
		if old := c.feeds[ip]; old != nil {
			old.conn.Close()
		} else if len(c.feeds) >= mostFeeds {
			in <- false
			return
		}
		c.feeds[ip] = f
		in <- true
	})
	if !<-in {
		return
	}
	ended := make(chan struct{})
	go c.tell(f, ended)
	for {
		k.SetReadDeadline(time.Now().Add(muteFor))
		var up brentei.Up
		if k.Receive(&up) != nil {
			break
		}
		if up.Station != nil || up.Fresh != 0 || up.Handed != 0 {
			c.do(func() { c.heard(f, &up) })
		}
	}
	close(ended)
	c.do(func() {
		if c.feeds[ip] != f {
			return // it has come back already
		}
		delete(c.feeds, ip)
		if c.registry.Lost("feeds", ip, f.life) {
			c.count.lost.Add(1)
			c.log.WithField("agent", ip).Info("agent lost")
			c.spread(ip)
		}
	})
}

// heard takes in what an agent says.
func (c *Core) heard(f *feed, up *brentei.Up) {
	if c.feeds[f.agent] != f {
		return
	}
	if s := up.Station; s != nil {
		s.Agent = f.agent
		if known := c.registry.Station(f.agent); known != nil && f.life == 0 && known.Life > s.Life {
			f.min = known.Life
			f.wake()
		} else {
			f.life = s.Life
			if c.registry.Hear(c.now(), "feeds", false, []brentei.Heard{{Station: *s}}) {
				c.spread(f.agent)
			}
		}
	}
	if up.Fresh != 0 {
		f.fresh = up.Fresh
		go c.prove(f, up.Fresh)
	}
	if up.Handed != 0 {
		if reply := f.replies[up.Handed]; reply != nil {
			delete(f.replies, up.Handed)
			reply <- up.Status
		}
	}
}

// prove finds out what is current, and has the agent told.
func (c *Core) prove(f *feed, number uint64) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := c.node.Read(ctx)
		cancel()
		still := make(chan bool, 1)
		c.do(func() {
			if still <- c.feeds[f.agent] == f; err == nil {
				f.proven = number
				f.wake()
			}
		})
		if !<-still || err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// spread has all agents told of one.
func (c *Core) spread(agent string) {
	c.each(func(f *feed) {
		f.dirty[agent] = true
		f.wake()
	})
}

// tell sends an agent what it has not heard yet, and a heartbeat where there is nothing.
func (c *Core) tell(f *feed, ended chan struct{}) {
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	var index uint64
	var cores []string // as told
	for {
		next := make(chan brentei.Down, 1)
		c.do(func() { next <- c.next(f, &index, &cores) })
		d := <-next
		f.conn.SetWriteDeadline(time.Now().Add(muteFor))
		if f.conn.Send(&d, nil) != nil {
			f.conn.Close()
			return
		}
		beat.Reset(heartbeat)
		select {
		case <-ended:
			return
		case <-f.woken:
		case <-beat.C:
		}
	}
}

// next is what an agent is told next. Danger: a proof covers the configuration that goes out with it, so it is taken with it.
func (c *Core) next(f *feed, index *uint64, cores *[]string) (d brentei.Down) {
	if s := c.table.now.Load(); s.index > *index {
		d.Config, d.Index, *index = s.encoded(), s.index, s.index
	}
	if f.whole {
		d.Stations, d.Whole, f.whole = c.registry.All(c.now()), true, false
		clear(f.dirty)
	}
	for agent := range f.dirty {
		if h, ok := c.registry.Of(c.now(), agent); ok {
			d.Stations = append(d.Stations, h)
		}
		delete(f.dirty, agent)
	}
	if !slices.Equal(*cores, c.cores) {
		d.Cores, *cores = c.cores, c.cores
	}
	d.Fresh, f.proven = f.proven, 0
	d.MinLife, f.min = f.min, 0
	if len(f.beats) > 0 {
		w := f.beats[0]
		f.beats = f.beats[1:]
		d.Beat, d.Number = &w.beat, w.number
		if len(f.beats) > 0 {
			f.wake()
		}
	}
	return d
}

// pass hands a backend's call to the agent beside it, and returns the agent's answer.
func (c *Core) pass(ctx context.Context, agent string, b brentei.Beat) int {
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
		return http.StatusServiceUnavailable
	}
}
