package site

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Evacuate takes a site out of use for the given duration. Its servers are withdrawn one after
// another and requests in flight are finished. Unless it is forced, it fails with
// ErrInsufficientCapacity if the other sites could not carry the load. For a site that is already
// evacuated it sets a new end time.
func (m *Monitor) Evacuate(now time.Duration, name string, duration time.Duration, force bool, reason string) error {
	m.now = max(now, m.now)
	i := slices.Index(m.settings.Names, name)
	if i < 0 {
		return fmt.Errorf("%w: %.80q", ErrUnknownSite, name)
	}
	if s := &m.sites[i]; s.state == Evacuated {
		s.evacuatedUntil = m.now + duration
		return nil
	}
	if impact := m.lossImpact(i); !force && impact.Utilization > MaxUtilization {
		return fmt.Errorf("%w: they would run at %.0f%% of their capacity", ErrInsufficientCapacity, 100*min(impact.Utilization, 99))
	}
	s := &m.sites[i]
	m.saveLoad(i)
	s.evacuatedUntil, s.stepStart, s.probing = m.now+duration, m.now, false
	if s.switched = 0; s.state == Lost {
		s.switched = len(s.servers)
	}
	m.setState(i, Evacuated, reason)
	return nil
}

// EndEvacuation ends an evacuation and begins the recovery of the site. If the site is lost, it is
// retried at once.
func (m *Monitor) EndEvacuation(now time.Duration, name string) error {
	m.now = max(now, m.now)
	i := slices.Index(m.settings.Names, name)
	if i < 0 {
		return fmt.Errorf("%w: %.80q", ErrUnknownSite, name)
	}
	switch s := &m.sites[i]; s.state {
	case Evacuated:
		s.evacuatedUntil = m.now
	case Lost:
		s.retryAt = 0 // retry now, even if another agent paces the site
	}
	return nil
}

// continueEvacuation withdraws further servers of a site, or begins its recovery when the
// evacuation is over.
func (m *Monitor) continueEvacuation(i int) {
	s := &m.sites[i]
	if m.now < s.evacuatedUntil {
		fraction := min(1, float64(m.now-s.stepStart)/float64(evacuationTime))
		s.switched = max(s.switched, int(math.Ceil(fraction*float64(len(s.servers)))))
		m.updateAdmission(i)
		return
	}
	if len(s.servers) == 0 || s.switched == 0 {
		m.setState(i, Healthy, "its evacuation has ended")
		return
	}
	s.switched, s.stepStart = max(1, len(s.servers)-s.switched), m.now
	m.setState(i, Recovering, "its evacuation has ended")
}
