package policy

// What counts against a server, and its ejection.

import "example.org/micaline/internal/outlier"

const single = 0.34 // of one that a failure counts soon after an answer: three in a row eject

// failed counts an error or a broken connection against a server, unless it answers most of what it is sent.
func (b *Balancer) failed(c *class, s *server, why string) {
	if doubt := b.doubt(c, s); doubt == 1 || s.health[c.index].Failing() {
		b.blame(c, s, doubt, why)
	}
}

// doubt is what a failure says against a server. Danger: a busy agent meets single failures all the time; if
// one were enough though answers come in between, half of the healthy would be out and the rest crowded.
func (b *Balancer) doubt(c *class, s *server) float64 {
	if s.used > 0 && b.now-s.used < c.Aim {
		return single
	}
	return 1
}

// silent counts an attempt's silence against its server, up to so much.
func (b *Balancer) silent(c *class, a *attempt, much float64) {
	if b.set.Reports == ReportsOff {
		a.server.room.Congested(a.sent, b.now)
	}
	b.blame(c, a.server, much-a.blamed, "silence")
	a.blamed = much
}

// blame counts failures of a class against a server and ejects it from the class's line when there are too
// many. Danger: a server may fail one class and serve the others well.
func (b *Balancer) blame(c *class, s *server, much float64, why string) {
	h := &s.health[c.index]
	if !h.Blame(much, b.now) || s.State != Ready {
		return
	}
	out, of := 1, 0
	for _, o := range b.ring {
		if o.State == Ready && c.eligible(o) {
			of++
			if o.health[c.index].Out(b.now) {
				out++
			}
		}
	}
	if outlier.Enough(out, of) {
		return
	}
	wait := h.Eject(b.now, c.Aim, b.rng.Float64())
	b.epoch++
	b.log("server %d ejected for class %d for %.1f s: %s", s.ID, c.index, wait, why)
}
