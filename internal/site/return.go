package site

import (
	"slices"
	"time"
)

// ask has a lost site asked whether it is back.
func (m *Monitor) ask(i int) {
	s := &m.sites[i]
	due := s.retry
	if !m.anyStands() { // whatever became of it before, there is nothing else
		s.retry = min(s.retry, max(s.since, s.askedAt)+MinRetryWait)
		due = s.retry
	} else if w := m.pacer(s); w != nil && w.State == Lost {
		if s.heard = w.Loss; s.retry > 0 { // else operators have it asked
			due = max(due, max(s.since, s.askedAt)+MaxRetryWait) // somebody asks for all, but it may be the one that is cut off
		}
	} else if w != nil && w.Loss == s.heard && s.heard > 0 && len(s.servers) > 0 {
		// Danger: of a return that was before this loss, or that is none to this agent, nothing can be learnt.
		s.heard = 0
		m.goBack(i, s.servers[0], "its pacer has let some of it in")
		return
	}
	if m.now < due || len(s.servers) == 0 {
		return
	}
	s.askedAt = m.now
	s.retry = m.now + time.Duration(float64(m.wait(s))*(0.75+m.rng.Float64()/2))
	m.turn++
	at := int(m.turn % uint64(len(s.servers)))
	if !m.set.Probes {
		m.goBack(i, s.servers[at], "its time to be tried has come")
		return
	}
	s.asked = true
	for n := range min(probesAtOnce, len(s.servers)) {
		m.probes = append(m.probes, s.servers[(at+n)%len(s.servers)].ID)
	}
}

// anyStands says that a site is used that is not cut off.
func (m *Monitor) anyStands() bool {
	return slices.ContainsFunc(m.sites, func(s site) bool {
		return len(s.servers) > 0 && (s.state == Healthy || s.state == Suspect || s.state == Overloaded || s.state == Recovering)
	})
}

// goBack begins a return, with the server that has shown it.
func (m *Monitor) goBack(i int, first *server, why string) {
	s := &m.sites[i]
	at := slices.Index(s.servers, first)
	s.servers = append(append([]*server{first}, s.servers[:at]...), s.servers[at+1:]...)
	for n, o := range s.servers { // later lists keep the order
		o.order = uint64(n) << 32
	}
	s.let, s.stage = 1, m.now
	m.turnTo(i, Recovering, why)
}

// proceed passes the step of a return that has proven itself, or takes it back.
func (m *Monitor) proceed(i int) {
	s := &m.sites[i]
	good, bad := 0, 0
	for n, o := range s.servers {
		switch {
		case n >= s.let:
		case o.bad >= s.stage && o.bad > 0:
			bad++
		case o.good > s.stage:
			good++
		}
	}
	switch {
	case len(s.servers) == 0:
		m.turnTo(i, Healthy, "it has no servers")
	case bad > good && s.let == 1:
		m.lose(i, "the first server that was let in failed")
	case bad > good:
		s.let, s.stage = s.let/2, m.now
		m.admit(i)
	case s.let > m.most(s): // its pacer has taken a step back
		s.let, s.stage = m.most(s), m.now
		m.admit(i)
	case m.now-s.stage < step:
	case s.let >= m.most(s) && s.let < len(s.servers): // as far as the pacer is
	case good == 0 && !m.proven(s):
	case s.let >= len(s.servers):
		m.turnTo(i, Healthy, "all of its servers are let in")
	default:
		s.let, s.stage = min(2*s.let, m.most(s)), m.now
		m.admit(i)
	}
}

// admit brings into force which servers of a site are used.
func (m *Monitor) admit(i int) {
	s := &m.sites[i]
	for n, o := range s.servers {
		in := s.open()
		switch s.state {
		case Recovering:
			in = n < s.let
		case Evacuated:
			in = n >= s.let
		}
		if in == o.in {
			continue
		}
		if o.in = in; in {
			// What it failed before says nothing any more. It counts as started: its connections are not there, and its warmth may not be.
			o.since, o.bad, o.use = m.now, 0, Load{}
		}
		m.changed = append(m.changed, o.ID)
	}
}
