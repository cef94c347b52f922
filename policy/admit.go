package policy

import (
	"slices"
	"time"

	"example.org/micaline/internal/ewma"
	"example.org/micaline/internal/limit"
)

const (
	retryRatio    = 0.2  // default retry budget: retries for each request,
	retryFloor    = 3.0  // plus this many,
	retryWindow   = 5.0  // in any window of this many seconds
	minAdmitShare = 0.03 // share of requests admitted under any overload, to learn when it ends
)

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.classes) || b.requests[ev.Request] != nil {
		return
	}
	c := &b.classes[ev.Class]
	r := &request{id: ev.Request, class: c, tenant: ev.Tenant, inFlightWeight: 1}
	r.deadline, r.targetTime = b.now+ev.TimeLeft, b.now+c.Aim
	if elapsed := max(0, c.Deadline-ev.TimeLeft); !ev.Retry {
		c.firstTryTime = ev.TimeLeft
	} else if (ev.TimeLeft - c.firstTryTime).Abs() > 2*b.cfg.Tick { // the last try has all the time that remains
		r.targetTime -= elapsed
	} else {
		// A retry with as much time as a first try came soon after a refusal. Deducting all the time that may have
		// passed would turn a short refusal into a lasting one; the mean is half of it.
		r.targetTime -= elapsed / 2
	}
	if c.LateWorth > 0 {
		r.targetTime = r.deadline
	}
	if ev.BodyPending {
		r.inFlightWeight, r.targetTime = 0, r.deadline
	}
	b.requests[r.id] = r
	b.retryBudget.AddRequest(b.now)
	if b.now >= r.targetTime || b.shouldShed(r) || !b.dispatch(r) {
		b.finish(r, true)
	}
}

// onBodyReceived starts the time limits of a request whose body has arrived.
func (b *Balancer) onBodyReceived(ev *Event) {
	if r := b.requests[ev.Request]; r != nil && r.inFlightWeight == 0 {
		r.inFlightWeight, r.deadline, r.targetTime = 1, b.now+ev.TimeLeft, b.now+r.class.Aim
		if r.pending > 0 { // the only attempt in flight: a request whose body is pending is not hedged
			a := &r.attempts[len(r.attempts)-1]
			a.sent, a.server.inFlight = b.now, a.server.inFlight+1
		}
	}
}

// shouldShed says whether to refuse a request under overload, first from tenants over their share or of low worth.
func (b *Balancer) shouldShed(r *request) bool {
	usageRatio := b.usageRatio(r.tenant)
	if b.cfg.Gates {
		return false // gates may have room for what each agent would shed at random
	}
	b.shedder.Decay(b.now, b.classes[0].Aim)
	shedChance := b.shedder.ShedRatio() * usageRatio * usageRatio * b.meanWorth / r.class.Worth
	return b.rng.Float64() < min(shedChance, 1-minAdmitShare)
}

// usageRatio counts a request and returns its tenant's share of the recent ones over its guaranteed share.
func (b *Balancer) usageRatio(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.cfg.Tenants) || !(b.cfg.Tenants[tenant].Portion > 0) {
		return 1
	}
	portion := b.cfg.Tenants[tenant].Portion
	return b.tenantMix.AddRequest(tenant, portion)
}

// updateShedding adjusts shedding to a load signal. If servers report, all signals count: many at once mean congestion.
func (b *Balancer) updateShedding(load float64) {
	if b.cfg.Reports == ReportsOff && load > limit.ShedSetpoint {
		b.shedder.UpdateRateLimited(load, b.now, b.serviceTime.Value)
		return
	}
	b.shedder.Update(load, 1)
}

// maySend is the only place that checks placement, effects, scopes, deduplication windows and drains before a send.
func (b *Balancer) maySend(r *request, s *server) bool {
	if r.ended || b.now >= r.deadline || s.State != Ready || !r.class.eligible(s) ||
		len(r.attempts) >= b.cfg.MaxAttempts || r.pending > 0 && !b.cfg.SecondCopies {
		return false
	}
	if b.countsAsRetry(r) && !b.retryBudget.Allows(b.now, b.cfg.ExtraWindow, b.cfg.ExtraFloor, b.cfg.ExtraRatio) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.pending && a.server == s:
			return false // it would lose the second copy as well
		case !a.mayHaveRun:
		case r.class.Effect == SideEffect:
			return false // the effect could happen twice
		case r.class.Effect == Keyed && (b.now >= a.sent+r.class.Window ||
			r.class.Scope == ScopeZone && a.server.Zone != s.Zone ||
			r.class.Scope == ScopeCell && a.server.Cell != s.Cell):
			return false // the server does not know the key, or no longer
		}
	}
	return true
}

// countsAsRetry says whether the next attempt is a retry. Attempts that a gate refused never reached a server.
func (b *Balancer) countsAsRetry(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.reachedServer || a.mayHaveRun || !b.cfg.Gates })
}

// dedupTimeLeft is how long servers still drop a repeat of a request that may have run; 0 if none has to.
func (r *request) dedupTimeLeft(now time.Duration) (timeLeft time.Duration) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayHaveRun && r.class.Effect == Keyed {
			if remaining := a.sent + r.class.Window - now; timeLeft == 0 || remaining < timeLeft {
				timeLeft = remaining
			}
		}
	}
	return timeLeft
}

func (b *Balancer) retryIsHarmless(r *request) bool {
	return r.class.Effect == Pure || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		deduplicated := r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.now < a.sent+r.class.Window
		return a.mayHaveRun && !deduplicated // after the window no server drops the client's repeat
	})
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	if p := &r.class.pool; b.warmFraction(s) < 1 && !b.cfg.Gates {
		if i := slices.Index(p.servers, s); i >= 0 && b.rng.Float64() >= p.admitChance[i] {
			return false
		}
	}
	index := uint64(len(r.attempts))
	if b.countsAsRetry(r) {
		b.retryBudget.AddRetry(b.now)
	}
	deliverWithin := r.dedupTimeLeft(b.now)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, pending: true, mayHaveRun: true})
	r.pending++
	s.sentSinceReport++
	s.inFlight += r.inFlightWeight
	timeout := r.deadline - b.now
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.ID, Wait: timeout, DeliverWithin: deliverWithin})
	token := timerSilence | index<<32 | uint64(r.id)
	b.emit(Action{Kind: ActTimer, Token: token, Wait: r.class.silenceTimeout()})
	return true
}

// retryAdvice is when a refused client should retry: clients without advice retry at once and prolong the overload.
func (b *Balancer) retryAdvice(c *class) time.Duration {
	return seconds(c.typicalLatency.Value * (1 + b.shedder.Level)) // when servers have answered, later the more is shed
}

// finish is the only place where a request ends: with the Balancer's own final answer, a harmless refusal if possible,
// or because it has an answer or no client. A request with attempts in flight is kept until they end.
func (b *Balancer) finish(r *request, answer bool) {
	if answer && r.pending > 0 {
		return // the attempt in flight may still serve it
	}
	if !r.ended {
		r.ended = true
		missed := 0.0
		if answer || b.now > r.targetTime {
			missed = 1
		}
		b.missRate += ewma.FleetGain * (missed - b.missRate)
		if answer && b.retryIsHarmless(r) {
			b.emit(Action{Kind: ActRefuse, Request: r.id, Wait: b.retryAdvice(r.class)})
		} else if answer {
			b.emit(Action{Kind: ActFail, Request: r.id})
		}
		for i := range r.attempts {
			if b.cfg.Cancel && r.attempts[i].pending {
				b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: i})
			}
		}
	}
	if r.pending == 0 {
		delete(b.requests, r.id)
	}
}

// Allow replaces settings: how many attempts a request may have, whether two may be in flight (hedging), and whether
// probes are allowed. Attempts in flight continue. The caller must not allow what the deployment forbids.
func (b *Balancer) Allow(maxAttempts int, secondCopies, probes bool) {
	b.cfg.MaxAttempts, b.cfg.SecondCopies, b.cfg.Probes = max(1, maxAttempts), secondCopies, probes
}
