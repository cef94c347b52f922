package site

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// pacerStatusTimeout is how long a pacer is followed during a recovery while its status does not
// change. A pacer advances a step every half second, and one that has no requests for the site
// can't show that the site works.
const pacerStatusTimeout = 5 * time.Second

// PacerStatus is what the agent that paces the recovery of a site reports to the other agents.
type PacerStatus struct {
	Loss  uint64  `json:"loss"` // identifies the loss; unique across the pacer's losses and epochs
	State State   `json:"state"`
	Part  float64 `json:"part"` // fraction of the site's servers that are admitted, from 0 to 1
}

// Validate checks a status that was received from another agent.
func (s *PacerStatus) Validate() error {
	if s.State > Recovering || !(s.Part >= 0 && s.Part <= 1) {
		return fmt.Errorf("state %d, part %v: the state must be at most %d and the part between 0 and 1", s.State, s.Part, Recovering)
	}
	return nil
}

// PacerStatus returns what this agent reports as the pacer of a site. ok is false if it has never
// lost the site.
func (m *Monitor) PacerStatus(name string) (status PacerStatus, ok bool) {
	i := slices.Index(m.settings.Names, name)
	if i < 0 || m.sites[i].lossCount == 0 {
		return PacerStatus{}, false
	}
	s := &m.sites[i]
	status = PacerStatus{Loss: s.lossCount, State: s.state, Part: 1}
	if n := len(s.servers); !s.fullyAdmitted() && n > 0 {
		admitted := 0
		for _, srv := range s.servers {
			if srv.admitted {
				admitted++
			}
		}
		status.Part = float64(admitted) / float64(n)
	}
	return status, true
}

// FollowPacer records the status that a site's pacer reports under its epoch. A nil status means
// that there is no pacer.
func (m *Monitor) FollowPacer(now time.Duration, name string, epoch uint64, status *PacerStatus) {
	m.now = max(now, m.now)
	i := slices.Index(m.settings.Names, name)
	if i < 0 {
		return
	}
	s := &m.sites[i]
	if status == nil {
		s.pacerStatus = nil
		return
	}
	current := *status
	current.Loss += epoch << 32 // loss numbers of different pacers must differ
	if s.pacerStatus == nil || *s.pacerStatus != current {
		s.pacerStatusAt = m.now
	}
	s.pacerStatus = &current
}

// PacerWeight rates how well this agent could pace a site, by its requests in flight, since an
// agent that sends more requests detects failures sooner. It is 0 if this agent has not found the
// site lost or can't use any site, because it then has no evidence about the site.
func (m *Monitor) PacerWeight(name string) float64 {
	i := slices.Index(m.settings.Names, name)
	if i < 0 || m.sites[i].state != Lost && m.sites[i].state != Recovering || !m.anySiteUsable() {
		return 0
	}
	inFlight := 0.0
	for j := range m.sites {
		siteInFlight, _ := m.currentLoad(j)
		inFlight += siteInFlight
	}
	return 1 + min(inFlight, 63)
}

// currentPacerStatus returns the status that is in force, or nil. A report that the site is lost
// stays in force as long as there is a pacer. Any other status expires after pacerStatusTimeout.
func (m *Monitor) currentPacerStatus(s *site) *PacerStatus {
	if status := s.pacerStatus; status != nil && (status.State == Lost || m.now-s.pacerStatusAt < pacerStatusTimeout) {
		return status
	}
	return nil
}

// provenByPacer reports whether the pacer has already completed the next step of the recovery.
func (m *Monitor) provenByPacer(s *site) bool {
	status := m.currentPacerStatus(s)
	return status != nil && status.State != Lost && s.switched < m.maxAdmitted(s)
}

// maxAdmitted returns how many servers of a recovering site may be admitted.
func (m *Monitor) maxAdmitted(s *site) int {
	status := m.currentPacerStatus(s)
	switch {
	// The pacer itself may be isolated.
	case status == nil, status.State == Lost && m.now-s.pacerStatusAt >= pacerStatusTimeout:
		return len(s.servers)
	// The pacer has lost the site again: keep what works here, but admit no more.
	case status.State == Lost:
		return s.switched
	}
	return min(len(s.servers), max(1, int(math.Ceil(status.Part*float64(len(s.servers))))))
}
