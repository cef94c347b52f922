// Package inbound is the gate: admission beside a backend.
//
// A backend is reached only from its own machine, so all that reaches it passes one Gate, and what a Gate decides needs no
// agreement: it holds through every cut, stale view and restart. A Gate is a machine without I/O, clock or goroutines. It serves
// at most one life of a backend, which its calls tell (lives), and decides for each request that arrives whether it is handed
// over now, waits for a slot, or is refused. What is refused did not run and never will.
//
// What it promises:
//
//   - Life: only the life that is named by the request gets it, and only one that has been heard by this process; and only what was
//     meant for this process is handed over.
//   - Drain: once the backend has said that it leaves, here or at an earlier process, or while its zone is evacuated, nothing more is
//     handed over, whatever comes late.
//   - Warm-up: in no span of a second does a cold backend get more than the bound, counted over restarts of the gate.
//   - Room: no more is handed over at once than the backend works on at once, so that it never meets what it cannot queue.
//   - Once: one id of an unsafe request is handed over once in the life of the process, and never refused with a promise after that.
package inbound

import (
	"fmt"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/seenids"
	"example.org/micaline/internal/mesh/transport"
)

const (
	span       = 1050 * time.Millisecond // of the warm-up bound: a second, and what clocks and sockets blur
	mostTwice  = 1 << 15                 // ids of unsafe requests remembered in each of two generations
	twiceFor   = 30 * time.Second        // that a generation lasts: longer than any client waits
	gain       = 0.1                     // weight of a sample in the moving means
	queueSlots = 2                       // requests that wait at most, for each slot: more wait longer than any may
	bodyWait   = 0.6                     // part of its spare time that a long body waits for the link at most: swept, see docs/design/mesh.md
	deadAfter  = 3                       // beats missed in a row until the backend is taken to be gone
)

// Rules are what the configuration and the deployment say of the backend's service and zone.
type Rules struct {
	NoConfig          bool // the configuration is not known: nothing is handed over
	Evacuated         bool
	RefuseUploads     bool // bodies that are offered before they are sent go elsewhere
	Warmup            time.Duration
	WarmupRate        float64
	WarmupExcess      float64 // the bound in a second is WarmupPerS x Excess + Margin
	WarmupMargin      float64
	HeartbeatInterval time.Duration
	LinkBitsPerSecond float64 // of the machine's link, bits a second; 0: unknown
}

// coldLimit is how many requests a cold backend gets in a second. It bears WarmupPerS; the bound above that is for what is
// counted differently where it arrives.
func (r *Rules) coldLimit() int {
	bound := r.WarmupRate*r.WarmupExcess + r.WarmupMargin
	return int(max(1, min(r.WarmupRate*1.1+r.WarmupMargin*0.3, bound-2)))
}

// Gate is the machine. It is not safe for concurrent use.
type Gate struct {
	rules    Rules
	started  time.Duration
	now      time.Duration
	lives    lives
	heard    time.Duration // the last beat, or answer, of the life that is served
	cold     time.Duration // until then
	inFlight int
	coming   int             // requests of which the body is still on its way here,
	bytes    int64           // and how much of them there is in all
	waiting  []*Ticket       // by due
	handed   []time.Duration // to a cold backend, within the span
	peaks    [2]int          // the most that these were while it was cold, in each of two generations
	recent   float64         // seconds of work
	rate     meter
	errors   meter
	ids      *seenids.Set // of unsafe requests that were handed over, or wait
	aged     time.Duration
	names    [2]uint64       // lives of this process: the present one, and the one that it went by before
	changes  []BackendChange // that nobody has been told of yet
	// Refused counts by reason.
	Refused [32]uint64
	// Changes counts changes of the backend by cause, LateCalls its calls that came behind later ones.
	BackendChanges  [causes]uint64
	StaleHeartbeats uint64
}

// New returns a gate that knows no backend.
func NewGate(now time.Duration, r Rules) *Gate {
	return &Gate{rules: r, lives: lives{started: now}, started: now, now: now, aged: now, ids: seenids.New(now, twiceFor, mostTwice)}
}

// Named takes in by which life others know this process. It changes once the core has heard an
// earlier process by a later life; what was sent to the former name is still meant for this one.
func (g *Gate) SetLife(life uint64) {
	if g.names[0] == 0 {
		g.names[0] = life
	}
	g.names = [2]uint64{life, g.names[0]}
}

// Configure takes in new rules. Danger: a backend may have become cold while its zone was evacuated and has not said so yet,
// so it counts as cold until it says that it is not.
func (g *Gate) Configure(now time.Duration, r Rules) (news bool) {
	g.step(now)
	back := g.rules.Evacuated && !r.Evacuated
	news = g.rules.Evacuated != r.Evacuated
	g.rules = r
	if back {
		g.cold = max(g.cold, now+r.Warmup)
	}
	if f := g.shut(); f != nil {
		g.refuseWaiting(f)
	}
	return news
}

// Offer decides whether a body may come. What is refused here has not been carried for nothing: a body behind so many that it would
// be late fares better at another gate.
func (g *Gate) AdmitUpload(now time.Duration, a *transport.Request) *transport.Failure {
	g.step(now)
	if f := g.may(a); f != nil {
		return g.refuse(f)
	}
	if g.rules.RefuseUploads {
		return g.refuse(&transport.Failure{Verdict: transport.NotRun, Reason: transport.Evacuated})
	}
	if g.rules.LinkBitsPerSecond <= 0 {
		return nil
	}
	before, patience := g.transferTime(g.bytes), g.bodyPatience(a)
	if before > patience {
		return g.refuse(&transport.Failure{Verdict: transport.NotRun, Reason: transport.Full, RetryAfter: before - patience})
	}
	return nil
}

// transferTime is how long so many bytes take on the machine's link.
func (g *Gate) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) * 8 / g.rules.LinkBitsPerSecond * float64(time.Second))
}

// bodyPatience is how long a body that was offered may wait for the link. Unlike a wait for a slot, which
// may be for nothing, it ends with the request at the backend, so it may take most of what its transfer
// and the work leave of its aim; a client whose body is refused sends all of it again, over a link that
// others wait for.
func (g *Gate) bodyPatience(a *transport.Request) time.Duration {
	if g.rules.LinkBitsPerSecond <= 0 {
		return a.Patient
	}
	work := time.Duration(g.recent * float64(time.Second))
	spare := a.Aim - g.transferTime(a.Body) - work
	return max(a.Patient, time.Duration(bodyWait*float64(spare)))
}

// Coming counts a body that begins to come, and Came one that has come or never will: a link that is full of them is as good as a
// backend that is.
func (g *Gate) BodyStarted(bytes int64) { g.coming, g.bytes = g.coming+1, g.bytes+bytes }

// Came is the end of Coming.
func (g *Gate) BodyEnded(bytes int64) {
	if g.coming, g.bytes = g.coming-1, g.bytes-bytes; g.coming < 0 || g.bytes < 0 {
		panic("inbound: more bodies came than had begun to")
	}
}

// Done takes in how a request that was handed over ended: how long the backend took, and whether it answered well, and hands
// over who waits.
func (g *Gate) Complete(now, took time.Duration, answered, well bool) {
	g.step(now)
	g.freeSlot()
	if answered {
		g.heard = now
		if g.recent == 0 {
			g.recent = took.Seconds()
		}
		g.recent += gain * (took.Seconds() - g.recent)
	}
	if well {
		g.rate.add(now)
	} else {
		g.errors.add(now)
	}
	g.next()
}

// Withdraw takes in that a request's caller has gone: the request had a slot and was not handed
// over, or its run was broken off. It is nobody's fault, and nothing is learnt of the backend.
func (g *Gate) Cancel(now time.Duration, a *transport.Request, handed bool) {
	g.step(now)
	g.freeSlot()
	if a.Unsafe && !handed {
		g.ids.Remove(a.Try)
	}
	g.Refused[transport.Cancelled]++
	g.next()
}

func (g *Gate) freeSlot() {
	if g.inFlight--; g.inFlight < 0 {
		panic("inbound: more requests ended than were handed over")
	}
}

// Load is what others are told of the backend.
func (g *Gate) Load(now time.Duration) transport.Load {
	return transport.Load{
		InFlight: g.inFlight + len(g.waiting) + g.coming, Waiting: len(g.waiting),
		Recent: time.Duration(g.recent * float64(time.Second)), Rate: g.rate.perSecond(now), Errors: g.errors.perSecond(now),
	}
}

func (g *Gate) hasCapacity() bool { return g.inFlight < max(1, g.lives.serving.Capacity) }

// shut says why nothing at all is handed over.
func (g *Gate) shut() *transport.Failure {
	switch {
	case g.lives.serving == nil:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend}
	case g.lives.serving.Draining:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Draining}
	case g.rules.Evacuated:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Evacuated}
	case g.rules.NoConfig:
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.LocalShortage}
	}
	return nil
}

// may is the right to be handed over but for room and warmth. Danger: what was meant for an earlier
// process here may have run there, and this one has no memory of it.
func (g *Gate) may(a *transport.Request) *transport.Failure {
	if a.Unsafe && g.ids.Contains(a.Try) { // first: what may have run is never said to have not
		return &transport.Failure{Verdict: transport.MayHaveRun, Reason: transport.Duplicate}
	}
	if f := g.shut(); f != nil {
		return f
	}
	switch {
	case g.lives.serving.ID != a.Target || !slices.Contains(g.names[:], a.Life):
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.UnknownBackend}
	case a.Unsafe && g.ids.Full():
		return &transport.Failure{Verdict: transport.NotRun, Reason: transport.LocalShortage, RetryAfter: time.Second}
	}
	return nil
}

// dispatch counts a request that goes to the backend now; the only way there.
func (g *Gate) dispatch(t *Ticket) *transport.Failure {
	if g.cold > g.now {
		limit := g.rules.coldLimit()
		// Danger: what the process before this one handed over within the last second is not known.
		if len(g.handed) >= limit || g.now-g.started < span {
			after := g.started + span - g.now
			if len(g.handed) > 0 {
				after = max(after, g.handed[0]+span-g.now)
			}
			return &transport.Failure{Verdict: transport.NotRun, Reason: transport.Cold, RetryAfter: after}
		}
	}
	g.handed = append(g.handed, g.now)
	if g.cold > g.now {
		g.peaks[0] = max(g.peaks[0], len(g.handed))
	}
	if t.unsafe {
		g.ids.Add(t.try)
	}
	if g.inFlight++; g.inFlight > max(1, g.lives.serving.Capacity) {
		panic(fmt.Sprintf("inbound: %d handed over at once to a backend that takes %d", g.inFlight, g.lives.serving.Capacity))
	}
	return nil
}

func (g *Gate) refuse(f *transport.Failure) *transport.Failure {
	g.Refused[f.Reason]++
	return f
}

// step lets time pass.
func (g *Gate) step(now time.Duration) {
	g.now = max(g.now, now)
	i := 0
	for i < len(g.handed) && g.handed[i] <= g.now-span {
		i++
	}
	g.handed = append(g.handed[:0], g.handed[i:]...)
	g.ids.Advance(g.now)
	if g.now-g.aged >= twiceFor {
		g.aged = g.now
		g.peaks[0], g.peaks[1] = 0, g.peaks[0]
	}
}
