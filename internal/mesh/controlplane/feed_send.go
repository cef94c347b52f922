package controlplane

import (
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	gap          = 50 * time.Millisecond // after a message with news until the next
	mostStations = 64                    // in a message: buffers for larger ones would stay with each connection
)

// send sends an agent what it has not heard yet, and a heartbeat where there is nothing. What comes within a gap goes out together:
// when a zone goes, each of its agents is news to all others.
func (c *Core) send(f *feed, ended chan struct{}) {
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	for {
		type message struct {
			down transport.CoreUpdate
			raw  []byte
		}
		next := make(chan message, 1)
		c.do(func() {
			d, raw := c.next(f)
			next <- message{d, raw}
		})
		m := <-next
		f.conn.SetWriteDeadline(time.Now().Add(feedTimeout))
		if f.conn.Send(&m.down, nil) != nil || f.conn.SendChunked(m.raw, feedTimeout) != nil {
			f.conn.Close()
			return
		}
		if n := len(m.down.Stations); n > 0 && n < mostStations && !m.down.Whole {
			beat.Reset(gap)
			select {
			case <-ended:
				return
			case <-beat.C:
			}
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

// next is what an agent is told next. Danger: a proof covers the configuration whose index goes out with it, so it is taken with it;
// and who is ready is asked for all services, so it waits until all stations are told.
func (c *Core) next(f *feed) (d transport.CoreUpdate, raw []byte) {
	s := c.table.now.Load()
	if c.duty != nil {
		d.Clock, d.Settled = int64(c.clock.Now()), c.table.dutiesNow.Load().Usage.Through
	}
	if f.known {
		d.Index = s.index
		switch {
		case f.want != 0 && s.index >= f.want:
			raw, d.RawSteps = s.wanted(f.since, f.deflate)
			d.Digest, d.Deflated = s.config.Digest(), f.deflate
			d.Raw, f.want = int64(len(raw)), 0
		case s.index > f.have:
			if d.Steps = s.pushed(f.have); d.Steps != nil {
				d.Digest = s.config.Digest()
			}
		}
		f.have = s.index
	}
	told := !c.settling() && c.nextStations(f, &d)
	if !slices.Equal(f.cores, c.cores) {
		d.Cores, f.cores = c.cores, c.cores
	}
	if told {
		if now := c.revisions.Current(); f.revision != now {
			d.Revision, f.revision = now, now
		}
		if f.known { // a proof without an index would prove any configuration
			d.Fresh, f.proven = f.proven, 0
		}
	}
	d.MinLife, f.min = f.min, 0
	if len(f.beats) > 0 {
		w := f.beats[0]
		f.beats = f.beats[1:]
		d.Beat, d.Number = &w.beat, w.number
		if len(f.beats) > 0 {
			f.wake()
		}
	}
	return d, raw
}

// wanted is what an agent is sent that has the configuration of an index and asks: the steps from
// there, or the whole. One goroutine alone calls it.
func (s *state) wanted(since uint64, deflate bool) (raw []byte, steps bool) {
	if deflate {
		if raw = s.compressedStepsSince(since); raw != nil {
			return raw, true
		}
		return s.compressedWhole(), false
	}
	if raw = s.stepsSince(since); raw != nil {
		return raw, true
	}
	return s.encoded(), false
}

// nextStations fills in stations that the agent has not been told of. It reports whether there are
// no more.
func (c *Core) nextStations(f *feed, d *transport.CoreUpdate) bool {
	if f.whole {
		d.Whole, f.whole = true, false
		clear(f.dirty)
		for _, agent := range c.registry.Agents() {
			f.dirty[agent] = true
		}
	}
	for agent := range f.dirty {
		if len(d.Stations) == mostStations {
			f.wake()
			return false
		}
		if h, ok := c.registry.Status(c.now(), agent); ok {
			d.Stations = append(d.Stations, h)
		}
		delete(f.dirty, agent)
	}
	return true
}
