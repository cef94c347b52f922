// Package inbound is the receiving side of the service mesh: admission control in front of a
// backend.
//
// A backend is reachable only from its own machine, so every request to it passes the one Gate
// beside it. A Gate therefore decides without consensus, and its decisions hold during network
// partitions, with stale membership views and across restarts. A Gate is a state machine without
// I/O, clock or goroutines; a Host runs it and talks to the network. The Gate serves at most one
// backend instance at a time, which it learns from the backend's heartbeats (see instanceTracker).
// For each request it decides whether the request is dispatched to the backend now, waits in the
// queue for a slot, or is refused. There are as many slots as the backend processes requests at
// once. A refused request has not run and never will.
//
// A Gate guarantees:
//
//   - Identity: a request reaches only the backend instance that it names, only after this process
//     has confirmed that instance, and only if the request was addressed to this sidecar process.
//   - Drain: nothing is dispatched once the backend has announced that it shuts down, whether to
//     this process or to an earlier one, nor while its zone is evacuated. Heartbeats that arrive
//     late do not change this.
//   - Warm-up: in any span of one second, a cold backend, which is still warming up, gets no more
//     requests than the bound (see Rules.WarmupExcess), even if the gate restarts.
//   - Concurrency: no more requests are in flight than the backend processes at once, so the
//     backend never has to queue any.
//   - At most once: an unsafe request, identified by its id, is dispatched only once by a process.
//     After that the gate never refuses a request with this id as not run.
package inbound

import (
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/seenids"
	"example.org/micaline/internal/mesh/transport"
)

const (
	warmupWindow        = 1050 * time.Millisecond // a second, and tolerance for clocks and socket buffers
	maxSeenIDs          = 1 << 15                 // ids of unsafe requests kept in each of two generations
	seenIDLifetime      = 30 * time.Second        // of a generation; longer than any client waits
	averageWeight       = 0.1                     // weight of a new sample in the moving averages
	queuePerSlot        = 2                       // more queued requests per slot would wait too long in any case
	uploadWaitShare     = 0.6                     // longest wait of a body for the link, as a share of its slack; see docs/design/mesh.md
	maxMissedHeartbeats = 3                       // in a row, before the backend counts as lost
)

// Rules is the configuration that applies to the backend's service and zone.
type Rules struct {
	NoConfig          bool          // the configuration is not known, so nothing is dispatched
	Evacuated         bool          // the backend's zone is evacuated
	RefuseUploads     bool          // uploads are refused when they are offered, and go to other gates
	Warmup            time.Duration // for which a backend counts as cold after its zone was evacuated
	WarmupRate        float64       // requests per second that a cold backend is meant to get
	WarmupExcess      float64       // the bound in any second is WarmupRate x WarmupExcess + WarmupMargin
	WarmupMargin      float64
	HeartbeatInterval time.Duration
	LinkBitsPerSecond float64 // bandwidth of the machine's network link; 0 if unknown
}

// coldLimit is the number of requests dispatched to a cold backend per second. It is a little above
// WarmupRate, but stays below the bound: the backend counts requests on arrival, and may attribute
// more of them to one second than the gate does.
func (r *Rules) coldLimit() int {
	bound := r.WarmupRate*r.WarmupExcess + r.WarmupMargin
	return int(max(1, min(r.WarmupRate*1.1+r.WarmupMargin*0.3, bound-2)))
}

// Gate is the admission state machine. It is not safe for concurrent use. Methods with the result
// announce report whether the backend's state changed in a way that other agents have to learn.
type Gate struct {
	rules            Rules
	startedAt        time.Duration
	now              time.Duration
	instances        instanceTracker
	lastContact      time.Duration // last heartbeat or response of the backend that is served
	coldUntil        time.Duration // the backend is warming up until then
	inFlight         int
	incomingBodies   int             // requests whose body is still being received
	incomingBytes    int64           // total size of these bodies
	queue            []*Ticket       // sorted by Ticket.compare
	recentDispatches []time.Duration // dispatch times within the last warmupWindow
	coldPeaks        [2]int          // highest number of recentDispatches while cold, in this and the previous generation
	meanLatency      float64         // moving average of the backend's response time, in seconds
	successes        rateMeter
	failures         rateMeter
	unsafeIDs        *seenids.Set    // of unsafe requests that were dispatched or are queued
	peaksRotatedAt   time.Duration   // when coldPeaks was last rotated
	ownLives         [2]uint64       // incarnation numbers of this process: current and previous
	pendingChanges   []BackendChange // not yet collected with popChanges
	// Refused counts refused requests by transport.Reason.
	Refused [32]uint64
	// BackendChanges counts changes of the backend by cause. StaleHeartbeats counts heartbeats that
	// arrived after newer ones and were ignored.
	BackendChanges  [causeCount]uint64
	StaleHeartbeats uint64
}

// NewGate returns a gate that knows no backend yet.
func NewGate(now time.Duration, rules Rules) *Gate {
	return &Gate{rules: rules, instances: instanceTracker{startedAt: now}, startedAt: now, now: now, peaksRotatedAt: now, unsafeIDs: seenids.New(now, seenIDLifetime, maxSeenIDs)}
}

// SetLife sets the incarnation number under which others know this process. The number changes when
// the control plane has seen an earlier process with a higher one. Requests that were sent under
// the previous number are still accepted.
func (g *Gate) SetLife(life uint64) {
	if g.ownLives[0] == 0 {
		g.ownLives[0] = life
	}
	g.ownLives = [2]uint64{life, g.ownLives[0]}
}

// Configure replaces the rules and reports whether to announce the backend. A backend may have
// become cold while its zone was evacuated without having reported it yet, so after an evacuation
// it counts as cold until its next heartbeat says otherwise.
func (g *Gate) Configure(now time.Duration, rules Rules) (announce bool) {
	g.advance(now)
	returned := g.rules.Evacuated && !rules.Evacuated
	announce = g.rules.Evacuated != rules.Evacuated
	g.rules = rules
	if returned {
		g.coldUntil = max(g.coldUntil, now+rules.Warmup)
	}
	if failure := g.closedFailure(); failure != nil {
		g.refuseQueued(failure)
	}
	return announce
}

// AdmitUpload decides whether the sender may transmit the body of a request. Refusing it here
// avoids a useless transfer: if the bodies already on their way would make it late, another gate is
// the better choice.
func (g *Gate) AdmitUpload(now time.Duration, req *transport.Request) *transport.Failure {
	g.advance(now)
	if failure := g.checkAdmissible(req); failure != nil {
		return g.countRefusal(failure)
	}
	if g.rules.RefuseUploads {
		return g.countRefusal(&transport.Failure{Verdict: transport.NotRun, Reason: transport.Evacuated})
	}
	if g.rules.LinkBitsPerSecond <= 0 {
		return nil
	}
	transferBefore, maxWait := g.transferTime(g.incomingBytes), g.maxUploadWait(req)
	if transferBefore > maxWait {
		return g.countRefusal(&transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: transferBefore - maxWait})
	}
	return nil
}

// transferTime is how long a number of bytes takes on the machine's network link.
func (g *Gate) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) * 8 / g.rules.LinkBitsPerSecond * float64(time.Second))
}

// maxUploadWait is how long an offered body may wait for the link. A wait for a slot may turn out
// to be useless, but this wait ends with the request at the backend. It may therefore take most of
// the slack that transfer and processing leave until the target latency. A client whose body is
// refused has to send all of it again, over a link that others are waiting for.
func (g *Gate) maxUploadWait(req *transport.Request) time.Duration {
	if g.rules.LinkBitsPerSecond <= 0 {
		return req.Patient
	}
	serviceTime := time.Duration(g.meanLatency * float64(time.Second))
	slack := req.Aim - g.transferTime(req.Body) - serviceTime
	return max(req.Patient, time.Duration(uploadWaitShare*float64(slack)))
}

// BodyStarted counts a body that is being received. BodyEnded must be called once it has arrived or
// will never arrive. Bodies count as load, because a link that is full of them delays requests as
// much as a busy backend does.
func (g *Gate) BodyStarted(bytes int64) {
	g.incomingBodies, g.incomingBytes = g.incomingBodies+1, g.incomingBytes+bytes
}

// BodyEnded must be called once for each BodyStarted, with the same size.
func (g *Gate) BodyEnded(bytes int64) {
	if g.incomingBodies, g.incomingBytes = g.incomingBodies-1, g.incomingBytes-bytes; g.incomingBodies < 0 || g.incomingBytes < 0 {
		panic("inbound: more bodies ended than started")
	}
}

// Complete records how a dispatched request ended: how long the backend took, whether it responded
// and whether it succeeded. It then dispatches queued requests.
func (g *Gate) Complete(now, took time.Duration, answered, succeeded bool) {
	g.advance(now)
	g.freeSlot()
	if answered {
		g.lastContact = now
		if g.meanLatency == 0 {
			g.meanLatency = took.Seconds()
		}
		g.meanLatency += averageWeight * (took.Seconds() - g.meanLatency)
	}
	if succeeded {
		g.successes.increment(now)
	} else {
		g.failures.increment(now)
	}
	g.dispatchQueued()
}

// Cancel records that the caller of a request with a slot is gone, before the request was
// dispatched or while it ran. The outcome counts neither as success nor as failure of the backend.
func (g *Gate) Cancel(now time.Duration, req *transport.Request, dispatched bool) {
	g.advance(now)
	g.freeSlot()
	if req.Unsafe && !dispatched {
		g.unsafeIDs.Remove(req.Try)
	}
	g.Refused[transport.Cancelled]++
	g.dispatchQueued()
}

func (g *Gate) freeSlot() {
	if g.inFlight--; g.inFlight < 0 {
		panic("inbound: more requests ended than were dispatched")
	}
}

// Load returns the load that is reported to senders.
func (g *Gate) Load(now time.Duration) transport.Load {
	return transport.Load{
		InFlight: g.inFlight + len(g.queue) + g.incomingBodies, Waiting: len(g.queue),
		Recent: time.Duration(g.meanLatency * float64(time.Second)), Rate: g.successes.perSecond(now), Errors: g.failures.perSecond(now),
	}
}

func (g *Gate) hasCapacity() bool { return g.inFlight < max(1, g.instances.serving.Capacity) }

// closedFailure returns why the gate refuses all requests, or nil if it is open.
func (g *Gate) closedFailure() *transport.Failure {
	switch {
	case g.instances.serving == nil:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend}
	case g.instances.serving.Draining:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Draining}
	case g.rules.Evacuated:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Evacuated}
	case g.rules.NoConfig:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.LocalShortage}
	}
	return nil
}

// checkAdmissible returns why a request may not be dispatched, apart from capacity and warm-up. A
// request addressed to an earlier process is refused, because it may have run there and this
// process has no record of it.
func (g *Gate) checkAdmissible(req *transport.Request) *transport.Failure {
	// This is checked first, because a request that may have run must never be reported as not run.
	if req.Unsafe && g.unsafeIDs.Contains(req.Try) {
		return &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Duplicate}
	}
	if failure := g.closedFailure(); failure != nil {
		return failure
	}
	switch {
	case g.instances.serving.ID != req.Target || !slices.Contains(g.ownLives[:], req.Life):
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend}
	case req.Unsafe && g.unsafeIDs.Full():
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.LocalShortage, RetryAfter: time.Second}
	}
	return nil
}

// dispatch counts a request as in flight, or refuses it because the backend is warming up. All
// requests to the backend pass through here.
func (g *Gate) dispatch(ticket *Ticket) *transport.Failure {
	if g.coldUntil > g.now {
		limit := g.rules.coldLimit()
		// The dispatches of an earlier process within the last second are not known, so nothing is
		// dispatched to a cold backend until they have left the window.
		if len(g.recentDispatches) >= limit || g.now-g.startedAt < warmupWindow {
			retryAfter := g.startedAt + warmupWindow - g.now
			if len(g.recentDispatches) > 0 {
				retryAfter = max(retryAfter, g.recentDispatches[0]+warmupWindow-g.now)
			}
			return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cold, RetryAfter: retryAfter}
		}
	}
	g.recentDispatches = append(g.recentDispatches, g.now)
	if g.coldUntil > g.now {
		g.coldPeaks[0] = max(g.coldPeaks[0], len(g.recentDispatches))
	}
	if ticket.unsafe {
		g.unsafeIDs.Add(ticket.tryID)
	}
	if g.inFlight++; g.inFlight > max(1, g.instances.serving.Capacity) {
		panic(fmt.Sprintf("inbound: %d requests in flight exceed the backend's capacity of %d", g.inFlight, g.instances.serving.Capacity))
	}
	return nil
}

func (g *Gate) countRefusal(failure *transport.Failure) *transport.Failure {
	g.Refused[failure.Reason]++
	return failure
}

// advance moves the clock of the gate forward and drops expired records.
func (g *Gate) advance(now time.Duration) {
	g.now = max(g.now, now)
	i := 0
	for i < len(g.recentDispatches) && g.recentDispatches[i] <= g.now-warmupWindow {
		i++
	}
	g.recentDispatches = append(g.recentDispatches[:0], g.recentDispatches[i:]...)
	g.unsafeIDs.Advance(g.now)
	if g.now-g.peaksRotatedAt >= seenIDLifetime {
		g.peaksRotatedAt = g.now
		g.coldPeaks[0], g.coldPeaks[1] = 0, g.coldPeaks[0]
	}
}
