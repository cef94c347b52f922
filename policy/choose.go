package policy

// Whether the servers drawn have room, and the choice among them.

import (
	"math"
	"slices"

	"example.org/micaline/internal/limit"
)

const (
	draws      = 3    // draws before a request has nowhere to go,
	homeDraws  = 2    // after so many in its own zone, where that is asked for
	crowd      = 2.2  // waiting requests over the root of those served at once: beyond, servers jam,
	crowdAlone = 3.0  // where this agent is the only one and knows all that is sent
	reportLife = 6.0  // service times that half of a report's news lasts, as queues do
	foresight  = 0.01 // of the requests is worth its probes though none are lost: after a jam they come late
	roomy      = 0.4  // what a request that found room presses there: one without outweighs five with
)

// held is what a server has in hand: our attempts and what other agents tell, or its report as far as that holds, or
// the usual.
func (b *Balancer) held(s *server) float64 {
	held, own := b.width.Mean(), float64(s.inFlight)+s.others
	if s.load.Known && s.load.InFlight >= 0 {
		// Danger: attempts that are lost stay out until they time out, and their server would look busy all the
		// while. Of those that are silent a fresh report knows better, but not of those on their way.
		news := math.Exp2(-(b.now - s.loadAt).Seconds() / (reportLife * b.each(s)))
		held += (s.load.InFlight - held + float64(s.since)) * news
		own -= news * float64(s.silent)
	}
	return max(held, own)
}

// each is how long a request of the usual size takes on a server, in seconds.
func (b *Balancer) each(s *server) float64 {
	if s.load.ServiceTime > 0 {
		return b.fleet.Kind(s.Kind).Recent.V * s.pace.Slow
	}
	return b.service.V / (1 + b.queue.V) * s.pace.Slow
}

// crowded says that a request would be late behind what the server holds, or help to jam it. Who had room is
// not crowded: where nobody sends, old figures stay for good.
func (b *Balancer) crowded(r *request, s *server) bool {
	held, width := b.held(s), b.width.Requests()
	switch {
	case s.probing || b.now < max(s.full, s.health[r.class.index].Until): // not even a probe is answered, or no room
		return true
	case b.set.Gates: // danger: a gate knows what it has, and what waits there goes by what it is worth
		return b.now < s.health[r.class.index].Full || b.home(r) && (held >= width || r.tried(s))
	case b.set.Reports == ReportsOff:
		return held >= b.limit(s)
	case !s.load.Known || held < width:
		return false
	}
	wait, left := (held+1)/width*b.each(s), (r.aim - b.now).Seconds()
	return b.tellsCrowd(s) && held >= width+b.crowd*math.Sqrt(width) || wait > left
}

// tried says whether a server has had the request: what failed it once is likelier to again.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// limit is how many attempts may be out at a server that reports nothing, those of other agents among them. Danger: an
// agent that sends little learns late; were its limit its own, it would give way to all the others. Who has not told
// of a limit yet is like the others, and before the first answer of all nothing is refused for one.
func (b *Balancer) limit(s *server) float64 {
	room, own := s.room.Limit(), float64(s.inFlight)+1
	if !s.room.Known() {
		room = max(room, b.room.V)
	}
	if s.others > 0 {
		return (own*room + s.others*s.theirs) / (own + s.others)
	}
	return room
}

// place sends the request to a server, or lets it wait for a probe, or says that there is no room.
func (b *Balancer) place(r *request) bool {
	most := draws
	if b.set.PreferLocalZone {
		most += homeDraws
	}
	for ; r.draws < most; r.draws++ {
		if r.a, r.c = b.draw(r); r.a == nil {
			return false
		}
		if r.looks = 0; b.settle(r) {
			return true
		}
	}
	return false
}

// settle decides between the pair drawn and sends. A crowded or cold server is passed by for the other.
func (b *Balancer) settle(r *request) bool {
	first, second := b.shorter(r.a, r.c)
	full := true
	for _, s := range [2]*server{first, second} {
		if s == nil || !b.probe(r, s) && b.crowded(r, s) {
			continue
		}
		full = false
		if r.asked != nil || b.send(r, s) {
			if b.set.Reports == ReportsOff {
				b.press(roomy) // danger: what found no room has pressed, and nothing else would tell that there is room
			}
			return true
		}
	}
	// Danger: a pair that has rejected something a moment ago is no crowd. It would press at every draw, and the
	// refusals make themselves lasting.
	if full && b.now >= first.full {
		part := 1.0
		if r.draws < draws-1 { // another pair may have room, which an agent alone will see and others take
			part = limit.Usual + (1-limit.Usual)*b.herd
		}
		b.press(part)
	}
	return false
}

// probe asks the server that a request is about to go to for its figures; the request waits for them. Danger: where a
// probe has its price all agents together pay more than it saves. It is worth that as far as requests are being lost.
func (b *Balancer) probe(r *request, s *server) bool {
	worth := max(b.lost, foresight, s.health[r.class.index].Bad) // danger: what has failed of late is let in on trial
	if !b.set.Probes || b.set.Reports == ReportsOff || b.now >= r.deadline || r.looks > 1 ||
		s.load.Known && s.loadAt+2*b.set.Tick >= b.now || b.set.ProbeFee*b.rng.Float64() > worth {
		return false // danger: a request that waits for probes past its deadline is lost
	}
	r.asked, r.looks = s, r.looks+1
	b.waiting = append(b.waiting, r)
	if !s.probing {
		s.probing = true
		b.act(Action{Kind: ActProbe, Server: s.ID})
	}
	b.act(Action{Kind: ActTimer, Token: tokenWait | uint64(r.id), Wait: min(6*b.set.Tick, r.deadline-b.now)})
	return true
}

func (b *Balancer) onProbed(ev *Event) {
	s := b.servers[ev.Server]
	if s == nil {
		return
	}
	if s.probing = false; ev.Outcome == OK {
		b.report(s, ev.Load, ev.AgentDelay)
	}
	b.resume(func(r *request) bool { return r.asked == s })
}

// resume goes on with the waiting requests whose probe is back or overdue.
func (b *Balancer) resume(ready func(*request) bool) {
	for _, r := range slices.Clone(b.waiting) {
		if !ready(r) {
			continue
		}
		b.waiting = slices.DeleteFunc(b.waiting, func(o *request) bool { return o == r })
		if r.a.probing && (r.c == nil || r.c.probing) {
			r.asked.probing = false // danger: where no probe is answered, each would be refused
		}
		if r.asked = nil; r.ended || b.settle(r) {
			continue
		}
		if r.draws++; !b.place(r) {
			b.end(r, true)
		}
	}
}
