package sidecar

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/mesh/inbound"
	"example.org/micaline/internal/mesh/transport"
)

const (
	heartbeatInterval = 500 * time.Millisecond  // interval between messages on an idle feed
	feedTimeout       = 1700 * time.Millisecond // without a message; about three heartbeats
	// firstMessageTimeout bounds the wait for the first message of a node. The kernel accepts
	// connections even while the node's process is stopped. Waiting is cheap, whereas each abandoned
	// connection is one more that the node has to handle when it resumes.
	firstMessageTimeout = 5 * time.Second
	dialTimeout         = 600 * time.Millisecond
	minRedialDelay      = 100 * time.Millisecond // doubles with each failed attempt
	maxRedialDelay      = time.Second

	maxFeeds            = 9
	configRetryInterval = 1500 * time.Millisecond // until another node is asked
	// configTransferTimeout bounds the wait for a configuration that is being received. Requesting
	// it from a second node would add load to links that are already slow.
	configTransferTimeout = 8 * time.Second
	maxConfigBytes        = 32 << 20
)

// feed is the connection to one control-plane node. Fields marked "owner only" belong to the
// goroutine that runs Agent.runOwner.
type feed struct {
	address         string
	cancel          context.CancelFunc
	wakeup          chan struct{}
	replies         chan transport.AgentUpdate // to heartbeats that the node relayed over this feed
	lastReceived    time.Time                  // time of the last message from the node; owner only
	requestSince    atomic.Uint64              // AgentUpdate.Since of the next request
	requestIndex    atomic.Uint64              // AgentUpdate.Want of the next request; 0 if none
	receivingConfig atomic.Bool                // raw bytes of a configuration are being received
	connected       bool                       // the node has sent a message; owner only
	configIndex     uint64                     // last reported CoreUpdate.Index; owner only
	members         []string                   // last reported CoreUpdate.Cores; owner only

	clockOffset atomic.Int64 // node's mesh time minus this process's clock, in ns
	clockKnown  atomic.Bool  // clockOffset is valid

	processID uint64 // identifies the control-plane process; owner only
	// resumePoint is the point up to which all stations have been received; nil if not all have.
	resumePoint atomic.Pointer[transport.ResumePoint]
}

// wake makes sendUpdates send the next message without waiting for the heartbeat interval.
func (f *feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// updateFeeds opens feeds to the control-plane nodes that selectFeedTargets returns and closes the
// feeds to all others.
func (a *Agent) updateFeeds() {
	targets := selectFeedTargets(a.currentMemberLists(), a.settings.Seeds, maxFeeds)
	for core, f := range a.feeds {
		if !slices.Contains(targets, core) {
			f.cancel()
			delete(a.feeds, core)
			a.table.MarkSourceDown(core)
		}
	}
	for _, core := range targets {
		if a.feeds[core] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			f := &feed{address: core, cancel: cancel, wakeup: make(chan struct{}, 1), replies: make(chan transport.AgentUpdate, 16)}
			a.feeds[core] = f
			go a.maintainFeed(ctx, f)
		}
	}
}

// currentMemberLists returns the member lists of the connected control-plane nodes, or the last
// known lists if no node is connected.
func (a *Agent) currentMemberLists() [][]string {
	var lists [][]string
	for _, f := range a.feeds {
		if f.connected && len(f.members) > 0 {
			lists = append(lists, f.members)
		}
	}
	if len(lists) > 0 {
		a.memberLists = lists
	}
	return a.memberLists
}

// mergeStations merges the stations of other agents that a control-plane node sent.
func (a *Agent) mergeStations(f *feed, update *transport.CoreUpdate) {
	if update.Core != 0 {
		f.processID = update.Core
	}
	if update.Whole {
		f.resumePoint.Store(nil)
	}
	if update.Stations == nil && !update.Whole && update.Revision == 0 {
		return
	}
	if a.table.Merge(a.uptime(), f.address, update.Whole, update.Stations) {
		a.viewChanged = true
	}
	if update.Revision != 0 {
		f.resumePoint.Store(&transport.ResumePoint{Core: f.processID, Revision: update.Revision})
	}
}

// selectFeedTargets returns the control-plane nodes that an agent keeps feeds to: every node in any
// of the lists, those in most lists first, then the seeds, up to the limit.
//
// The lists are merged because a node that is partitioned from the others continues to send the
// members from before the partition. If its list replaced the others, the agent would disconnect
// from the nodes that have the newest configuration.
func selectFeedTargets(lists [][]string, seeds []string, limit int) []string {
	mentions := map[string]int{}
	for _, list := range lists {
		for _, core := range list {
			mentions[core]++
		}
	}
	selected := slices.SortedFunc(maps.Keys(mentions), func(x, y string) int {
		return cmp.Or(cmp.Compare(mentions[y], mentions[x]), cmp.Compare(x, y))
	})
	for _, seed := range seeds {
		if mentions[seed] == 0 && !slices.Contains(selected, seed) {
			selected = append(selected, seed)
		}
	}
	return selected[:min(len(selected), limit)]
}

// maintainFeed connects a feed, and reconnects it with backoff, until the context ends.
func (a *Agent) maintainFeed(ctx context.Context, f *feed) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := transport.Dial(dialCtx, transport.UseFeed, a.settings.Control, InternalAddress(a.settings, f.address))
		cancel()
		if err == nil {
			if a.serveFeed(ctx, f, conn) {
				delay = minRedialDelay
			}
			conn.Close()
			a.enqueue(func() { a.feedDisconnected(f) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// feedDisconnected updates the state after the connection of a feed has ended.
func (a *Agent) feedDisconnected(f *feed) {
	f.connected, f.configIndex = false, 0
	if a.feeds[f.address] != f {
		return
	}
	a.table.MarkSourceDown(f.address)
	a.viewChanged = true
	a.updateFeeds()
	if a.configSource == f {
		a.configSource = nil
		a.requestConfig()
	}
}

// serveFeed exchanges messages until the connection ends and reports whether it received any. The
// agent sends nothing before the node's first message, because the node's process may be stopped
// while its kernel still accepts connections.
func (a *Agent) serveFeed(ctx context.Context, f *feed, conn *transport.Conn) (received bool) {
	firstReceived, receiverDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(receiverDone)
		a.receiveUpdates(f, conn, firstReceived)
	}()
	defer func() {
		conn.Close()
		<-receiverDone
		select {
		case <-firstReceived:
			received = true
		default:
		}
	}()
	select {
	case <-ctx.Done():
	case <-receiverDone:
	case <-firstReceived:
		a.sendUpdates(ctx, f, conn, receiverDone)
	}
	return
}

// receiveUpdates handles the node's messages until the connection ends or no message arrives within
// the timeout. It closes firstReceived after the first message.
func (a *Agent) receiveUpdates(f *feed, conn *transport.Conn, firstReceived chan struct{}) {
	timeout := firstMessageTimeout
	for first := true; ; first, timeout = false, feedTimeout {
		conn.SetReadDeadline(time.Now().Add(timeout))
		var update transport.CoreUpdate
		if conn.Receive(&update) != nil {
			return
		}
		f.receivingConfig.Store(update.Raw > 0)
		payload, err := conn.ReceiveChunked(update.Raw, maxConfigBytes, feedTimeout)
		if err == nil && update.Deflated {
			payload, err = transport.Decompress(payload, maxConfigBytes)
		}
		f.receivingConfig.Store(false)
		if err != nil {
			return
		}
		if first {
			close(firstReceived)
		}
		if update.Clock != 0 {
			f.clockOffset.Store(int64(time.Duration(update.Clock) - a.clock.Local()))
			f.clockKnown.Store(true)
		}
		a.usageCounter.DiscardThrough(update.Settled)
		a.enqueue(func() { a.handleUpdate(f, &update, payload) })
	}
}

// sendUpdates sends what the node has not received yet, and a heartbeat if there is nothing new.
func (a *Agent) sendUpdates(ctx context.Context, f *feed, conn *transport.Conn, receiverDone chan struct{}) {
	sentStation := (*transport.Station)(nil)
	freshRequest := uint64(1)
	usageUpdates, workloadUpdates := &usageReporter{counter: a.usageCounter}, &workloadReporter{}
	resumePoint := f.resumePoint.Load()
	heartbeatTimer := time.NewTimer(0)
	defer heartbeatTimer.Stop()
	for {
		var update transport.AgentUpdate
		if station := a.station.Load(); station != sentStation {
			sentStation, update.Station = station, station
			update.Have = a.sharedConfigIndex.Load()
		}
		if update.Want = f.requestIndex.Swap(0); update.Want != 0 {
			update.Since, update.Deflate = f.requestSince.Load(), true
		}
		if update.Fresh = freshRequest; freshRequest != 0 {
			freshRequest = 0
			if resumePoint != nil {
				update.Resume = *resumePoint
			}
		}
		select {
		case reply := <-f.replies:
			update.Handed, update.Status = reply.Handed, reply.Status
		default:
		}
		usageUpdates.fillUpdate(a, &update)
		update.Work = workloadUpdates.nextUpdate(a, time.Now())
		conn.SetWriteDeadline(time.Now().Add(feedTimeout))
		if conn.Send(&update, nil) != nil {
			return
		}
		heartbeatTimer.Reset(heartbeatInterval)
		select {
		case <-ctx.Done():
			return
		case <-receiverDone:
			return
		case <-f.wakeup:
		case <-heartbeatTimer.C:
		}
	}
}

// handleUpdate processes one message from a control-plane node. It runs on the owner goroutine.
func (a *Agent) handleUpdate(f *feed, update *transport.CoreUpdate, payload []byte) {
	if a.feeds[f.address] != f {
		return
	}
	f.lastReceived = time.Now()
	a.lastContact = f.lastReceived
	f.connected = true
	f.configIndex = max(f.configIndex, update.Index)
	if update.MinLife >= a.life {
		// The incarnation number is taken from the wall clock, which may jump back. Peers that know an
		// earlier process with a higher number would otherwise mistake this process for it.
		a.life = update.MinLife + 1
		a.setGateLife()
		a.publishStation()
	}
	a.applyConfigUpdate(f, update, payload)
	a.mergeStations(f, update)
	if update.Fresh != 0 {
		a.lastProven = f.lastReceived
		if !a.minIndexKnown {
			a.minIndexKnown, a.minIndex = true, update.Index
		}
	}
	if a.minIndexKnown && !a.configProven && a.configIndex >= a.minIndex {
		a.configProven, a.viewChanged = true, true
	}
	if len(update.Cores) > 0 {
		f.members = slices.Clone(update.Cores)
		a.updateFeeds()
	}
	if update.Beat != nil {
		cause := inbound.RelayedHeartbeat
		if update.Beat.Leave {
			cause = inbound.RelayedDeregistration
		}
		status := a.handleHeartbeat(update.Beat.ID, cause, update.Beat.Body)
		select {
		case f.replies <- transport.AgentUpdate{Handed: update.Number, Status: status}:
			f.wake()
		default: // the node relays the heartbeat again
		}
	}
}
