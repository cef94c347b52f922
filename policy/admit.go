package policy

// A request's beginning and end, and the right to send it.

import (
	"slices"
	"time"

	"example.org/micaline/internal/ewma"
	"example.org/micaline/internal/limit"
)

const (
	retryRatio = 0.2  // retry budget where none is stated: further attempts for each request, as usual
	retryFloor = 3.0  // and so many besides,
	retrySpan  = 5.0  // in any so many seconds
	trickle    = 0.03 // let through under any pressure, to learn when it is over
)

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.classes) || b.open[ev.Request] != nil {
		return
	}
	c := &b.classes[ev.Class]
	r := &request{id: ev.Request, class: c, tenant: ev.Tenant, held: 1}
	r.deadline, r.aim = b.now+ev.TimeLeft, b.now+c.Aim
	if passed := max(0, c.Deadline-ev.TimeLeft); !ev.Retry {
		c.first = ev.TimeLeft
	} else if (ev.TimeLeft - c.first).Abs() > 2*b.set.Tick { // it has all that remains
		r.aim -= passed
	} else {
		// Danger: a repeat with a first try's share came soon, after a refusal. Were all that may have passed taken
		// off its aim, a short refusal would be a lasting one. Half of it is the mean.
		r.aim -= passed / 2
	}
	if c.LateWorth > 0 {
		r.aim = r.deadline
	}
	if ev.BodyPending {
		r.held, r.aim = 0, r.deadline
	}
	b.open[r.id] = r
	b.budget.Take(b.now)
	if b.now >= r.aim || b.shed(r) || !b.place(r) {
		b.end(r, true)
	}
}

// onArrived has what a request's last byte begins run from now.
func (b *Balancer) onArrived(ev *Event) {
	if r := b.open[ev.Request]; r != nil && r.held == 0 {
		r.held, r.deadline, r.aim = 1, b.now+ev.TimeLeft, b.now+r.class.Aim
		if r.out > 0 { // the last: it has no second copies
			a := &r.attempts[len(r.attempts)-1]
			a.sent, a.server.inFlight = b.now, a.server.inFlight+1
		}
	}
}

// shed says whether there is no room for the request: tenants over their share and low worth go first.
func (b *Balancer) shed(r *request) bool {
	over := b.over(r.tenant)
	if b.set.Gates {
		return false // danger: what each agent sheds by chance the gates would have had room for
	}
	b.pressure.Ease(b.now, b.classes[0].Aim)
	chance := b.pressure.Shed() * over * over * b.worth / r.class.Worth
	return b.rng.Float64() < min(chance, 1-trickle)
}

// over counts a request and returns its tenant's part of the recent ones over its share.
func (b *Balancer) over(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.set.Tenants) || !(b.set.Tenants[tenant].Portion > 0) {
		return 1
	}
	portion := b.set.Tenants[tenant].Portion
	return b.mix.AddRequest(tenant, portion)
}

// press sheds by a part of the aim that a request has met. Where servers report, what comes together says more than one
// does: a jam is near.
func (b *Balancer) press(part float64) {
	if b.set.Reports == ReportsOff && part > limit.Usual {
		b.pressure.Meet(part, b.now, b.service.V)
		return
	}
	b.pressure.Move(part, 1)
}

// may is the right to send: the one place that knows placement, effects, groups, windows and drains.
func (b *Balancer) may(r *request, s *server) bool {
	if r.ended || b.now >= r.deadline || s.State != Ready || !r.class.eligible(s) ||
		len(r.attempts) >= b.set.MaxAttempts || r.out > 0 && !b.set.SecondCopies {
		return false
	}
	if b.extra(r) && !b.budget.Allows(b.now, b.set.ExtraWindow, b.set.ExtraFloor, b.set.ExtraRatio) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.out && a.server == s:
			return false // danger: what swallows one copy swallows the other
		case !a.ran:
		case r.class.Effect == SideEffect:
			return false // danger: the effect would happen twice
		case r.class.Effect == Keyed && (b.now >= a.sent+r.class.Window ||
			r.class.Scope == ScopeZone && a.server.Zone != s.Zone ||
			r.class.Scope == ScopeCell && a.server.Cell != s.Cell):
			return false // danger: this server does not, or no longer, know the key
		}
	}
	return true
}

// extra says whether the next attempt is one beyond the request's first. What a gate refuses has not arrived.
func (b *Balancer) extra(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.spent || a.ran || !b.set.Gates })
}

// remembered is how long the servers go on to drop a repeat of the request, 0 if they need not.
func (r *request) remembered(now time.Duration) (within time.Duration) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.ran && r.class.Effect == Keyed {
			if left := a.sent + r.class.Window - now; within == 0 || left < within {
				within = left
			}
		}
	}
	return within
}

// mayRefuse answers whether the client may be told that a further try is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Pure || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		known := r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.now < a.sent+r.class.Window
		return a.ran && !known // danger: past the window nobody drops the client's repeat
	})
}

// send is the only way to a server.
func (b *Balancer) send(r *request, s *server) bool {
	if !b.may(r, s) {
		return false
	}
	if l := &r.class.line; b.warmth(s) < 1 && !b.set.Gates {
		if i := slices.Index(l.servers, s); i >= 0 && b.rng.Float64() >= l.pass[i] {
			return false
		}
	}
	n := uint64(len(r.attempts))
	if b.extra(r) {
		b.budget.Spend(b.now)
	}
	within := r.remembered(b.now)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, out: true, ran: true})
	r.out++
	s.since++
	s.inFlight += r.held
	wait := r.deadline - b.now
	b.act(Action{Kind: ActSend, Request: r.id, Server: s.ID, Wait: wait, DeliverWithin: within})
	token := tokenCheck | n<<32 | uint64(r.id)
	b.act(Action{Kind: ActTimer, Token: token, Wait: r.class.patient()})
	return true
}

// advice is when a refused client may come again: when the servers have answered what they hold, later the
// more is shed. Danger: clients left to themselves come again at once and keep the overload up.
func (b *Balancer) advice(c *class) time.Duration { return seconds(c.usual.V * (1 + b.pressure.Raw)) }

// end is the only place where a request ends: by the answer of ours that promises most, or as it has one or
// is gone. A request with attempts out stays known until they are back.
func (b *Balancer) end(r *request, ours bool) {
	if ours && r.out > 0 {
		return // an attempt is still out and may yet serve it
	}
	if !r.ended {
		r.ended = true
		missed := 0.0
		if ours || b.now > r.aim {
			missed = 1
		}
		b.lost += ewma.FleetGain * (missed - b.lost)
		if ours && b.mayRefuse(r) {
			b.act(Action{Kind: ActRefuse, Request: r.id, Wait: b.advice(r.class)})
		} else if ours {
			b.act(Action{Kind: ActFail, Request: r.id})
		}
		for i := range r.attempts {
			if b.set.Cancel && r.attempts[i].out {
				b.act(Action{Kind: ActCancel, Request: r.id, Attempt: i})
			}
		}
	}
	if r.out == 0 {
		delete(b.open, r.id)
	}
}

// Allow says from now on how many attempts a request may have, whether two may be out at once, and whether probes are
// allowed, in place of what the settings say. Nothing that is under way is taken back. It must not allow what the
// deployment forbids.
func (b *Balancer) Allow(maxAttempts int, secondCopies, probes bool) {
	b.set.MaxAttempts, b.set.SecondCopies, b.set.Probes = max(1, maxAttempts), secondCopies, probes
}
