package site

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Evacuate takes a site out for so long: a server at a time, nothing that is under way is cut. Unless it is forced it is
// refused where the others could not carry the load.
func (m *Monitor) Evacuate(now time.Duration, name string, d time.Duration, force bool, why string) error {
	m.now = max(now, m.now)
	i := slices.Index(m.set.Names, name)
	if i < 0 {
		return fmt.Errorf("%w: %.80q", ErrUnknownSite, name)
	}
	if s := &m.sites[i]; s.state == Evacuated {
		s.until = m.now + d
		return nil
	}
	if p := m.plan(i); !force && p.Utilization > MaxUtilization {
		return fmt.Errorf("%w: they would be used to %.0f%% of their room", ErrInsufficientCapacity, 100*min(p.Utilization, 99))
	}
	s := &m.sites[i]
	m.remember(i)
	s.until, s.stage, s.asked = m.now+d, m.now, false
	if s.let = 0; s.state == Lost {
		s.let = len(s.servers)
	}
	m.turnTo(i, Evacuated, why)
	return nil
}

// Return ends what Evacuate began. A site that is lost is asked at once.
func (m *Monitor) EndEvacuation(now time.Duration, name string) error {
	m.now = max(now, m.now)
	i := slices.Index(m.set.Names, name)
	if i < 0 {
		return fmt.Errorf("%w: %.80q", ErrUnknownSite, name)
	}
	switch s := &m.sites[i]; s.state {
	case Evacuated:
		s.until = m.now
	case Lost:
		s.retry = 0 // whoever paces it
	}
	return nil
}

// leave goes on with taking a site out, or ends it.
func (m *Monitor) leave(i int) {
	s := &m.sites[i]
	if m.now < s.until {
		part := min(1, float64(m.now-s.stage)/float64(leaveOver))
		s.let = max(s.let, int(math.Ceil(part*float64(len(s.servers)))))
		m.admit(i)
		return
	}
	if len(s.servers) == 0 || s.let == 0 {
		m.turnTo(i, Healthy, "its time out is over")
		return
	}
	s.let, s.stage = max(1, len(s.servers)-s.let), m.now
	m.turnTo(i, Recovering, "its time out is over")
}
