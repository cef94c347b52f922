package controlplane

import (
	"slices"
	"time"

	"example.org/micaline/internal/mesh/transport"
)

const (
	// batchInterval is the minimum time between messages with stations, and between notifications of
	// configuration changes.
	batchInterval         = 50 * time.Millisecond
	maxStationsPerMessage = 64 // limits the buffers, which stay with each connection
)

// sendUpdates sends an agent all changes, and heartbeats while there are none. Changes within
// batchInterval are combined: when a zone fails, the loss of each of its agents has to be sent to
// all other agents.
func (c *Core) sendUpdates(f *feed, ended chan struct{}) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		type message struct {
			update transport.CoreUpdate
			raw    []byte
		}
		next := make(chan message, 1)
		c.submit(func() {
			update, raw := c.nextUpdate(f)
			next <- message{update, raw}
		})
		m := <-next
		f.conn.SetWriteDeadline(time.Now().Add(feedTimeout))
		if f.conn.Send(&m.update, nil) != nil || f.conn.SendChunked(m.raw, feedTimeout) != nil {
			f.conn.Close()
			return
		}
		if sent := len(m.update.Stations); sent > 0 && sent < maxStationsPerMessage && !m.update.Whole {
			timer.Reset(batchInterval)
			select {
			case <-ended:
				return
			case <-timer.C:
			}
		}
		timer.Reset(heartbeatInterval)
		select {
		case <-ended:
			return
		case <-f.wakeup:
		case <-timer.C:
		}
	}
}

// nextUpdate returns the next message to an agent. A proof covers the configuration whose index is
// sent in the same message, so both are taken at the same time. A proof makes an agent ready to
// serve requests to all services, so it is not sent before all stations have been sent.
func (c *Core) nextUpdate(f *feed) (update transport.CoreUpdate, raw []byte) {
	state := c.table.published.Load()
	if c.dutyHolder != nil {
		update.Clock, update.Settled = int64(c.clock.Now()), c.table.publishedDuties.Load().Usage.Through
	}
	if f.announced {
		update.Index = state.index
		switch {
		case f.wantedIndex != 0 && state.index >= f.wantedIndex:
			raw, update.RawSteps = state.requestedConfig(f.wantedSince, f.acceptsDeflate)
			update.Digest, update.Deflated = state.config.Digest(), f.acceptsDeflate
			update.Raw, f.wantedIndex = int64(len(raw)), 0
		case state.index > f.configIndex:
			if update.Steps = state.pushedSteps(f.configIndex); update.Steps != nil {
				update.Digest = state.config.Digest()
			}
		}
		f.configIndex = state.index
	}
	complete := !c.settling() && c.addStations(f, &update)
	if !slices.Equal(f.sentMembers, c.members) {
		update.Cores, f.sentMembers = c.members, c.members
	}
	if complete {
		if revision := c.revisions.Current(); f.sentRevision != revision {
			update.Revision, f.sentRevision = revision, revision
		}
		if f.announced { // without an index the proof would cover any configuration
			update.Fresh, f.proofNumber = f.proofNumber, 0
		}
	}
	update.MinLife, f.minLife = f.minLife, 0
	if len(f.pendingHeartbeats) > 0 {
		pending := f.pendingHeartbeats[0]
		f.pendingHeartbeats = f.pendingHeartbeats[1:]
		update.Beat, update.Number = &pending.heartbeat, pending.number
		if len(f.pendingHeartbeats) > 0 {
			f.wake()
		}
	}
	return update, raw
}

// requestedConfig returns the answer to an agent's request for the configuration: the steps from
// the given index, or else the complete configuration. It must be called from one goroutine only.
func (s *configState) requestedConfig(since uint64, deflate bool) (raw []byte, steps bool) {
	if deflate {
		if raw = s.compressedStepsFrom(since); raw != nil {
			return raw, true
		}
		return s.compressedConfig(), false
	}
	if raw = s.encodedStepsFrom(since); raw != nil {
		return raw, true
	}
	return s.encodedConfig(), false
}

// addStations adds stations that are still to be sent. It reports whether that was all of them.
func (c *Core) addStations(f *feed, update *transport.CoreUpdate) bool {
	if f.sendAll {
		update.Whole, f.sendAll = true, false
		clear(f.pendingStations)
		for _, agent := range c.registry.Agents() {
			f.pendingStations[agent] = true
		}
	}
	for agent := range f.pendingStations {
		if len(update.Stations) == maxStationsPerMessage {
			f.wake()
			return false
		}
		if status, ok := c.registry.Status(c.now(), agent); ok {
			update.Stations = append(update.Stations, status)
		}
		delete(f.pendingStations, agent)
	}
	return true
}
