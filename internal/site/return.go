package site

import (
	"slices"
	"time"
)

// retryLostSite probes a lost site, or begins its recovery, when its retry is due.
func (m *Monitor) retryLostSite(i int) {
	s := &m.sites[i]
	due := s.retryAt
	if !m.anySiteUsable() { // no other site is usable: retry soon, whatever happened before
		s.retryAt = min(s.retryAt, max(s.since, s.lastRetry)+MinRetryWait)
		due = s.retryAt
	} else if status := m.currentPacerStatus(s); status != nil && status.State == Lost {
		if s.pacerLoss = status.Loss; s.retryAt > 0 { // retryAt is 0 if operators asked for a retry
			// The pacer probes for all agents, but it may itself be isolated.
			due = max(due, max(s.since, s.lastRetry)+MaxRetryWait)
		}
	} else if status != nil && status.Loss == s.pacerLoss && s.pacerLoss > 0 && len(s.servers) > 0 {
		// Only a recovery from a loss that the pacer reported while the site was lost here counts.
		// A recovery from an earlier loss, or one that this agent knows nothing of, says nothing
		// about this loss.
		s.pacerLoss = 0
		m.beginRecovery(i, s.servers[0], "its pacer has let some of it in")
		return
	}
	if m.now < due || len(s.servers) == 0 {
		return
	}
	s.lastRetry = m.now
	s.retryAt = m.now + time.Duration(float64(m.retryWait(s))*(0.75+m.rng.Float64()/2))
	m.retries++
	start := int(m.retries % uint64(len(s.servers)))
	if !m.settings.Probes {
		m.beginRecovery(i, s.servers[start], "the wait before its next retry is over")
		return
	}
	s.probing = true
	for n := range min(concurrentProbes, len(s.servers)) {
		m.pendingProbes = append(m.pendingProbes, s.servers[(start+n)%len(s.servers)].ID)
	}
}

// anySiteUsable reports whether there is a site in use from which the agent is not isolated.
func (m *Monitor) anySiteUsable() bool {
	return slices.ContainsFunc(m.sites, func(s site) bool {
		return len(s.servers) > 0 && (s.state == Healthy || s.state == Suspect || s.state == Overloaded || s.state == Recovering)
	})
}

// beginRecovery starts a recovery with the given server, which is moved to the front of the order.
func (m *Monitor) beginRecovery(i int, first *server, reason string) {
	s := &m.sites[i]
	position := slices.Index(s.servers, first)
	s.servers = append(append([]*server{first}, s.servers[:position]...), s.servers[position+1:]...)
	for n, srv := range s.servers { // keeps the order for later server lists
		srv.admissionOrder = uint64(n) << 32
	}
	s.switched, s.stepStart = 1, m.now
	m.setState(i, Recovering, reason)
}

// continueRecovery advances a recovery whose current step has succeeded, or reverts a step that
// failed.
func (m *Monitor) continueRecovery(i int) {
	s := &m.sites[i]
	answering, failing := 0, 0
	for n, srv := range s.servers {
		switch {
		case n >= s.switched:
		case srv.failingSince >= s.stepStart && srv.failingSince > 0:
			failing++
		case srv.lastAnswer > s.stepStart:
			answering++
		}
	}
	switch {
	case len(s.servers) == 0:
		m.setState(i, Healthy, "it has no servers")
	case failing > answering && s.switched == 1:
		m.markLost(i, "the first admitted server failed")
	case failing > answering:
		s.switched, s.stepStart = s.switched/2, m.now
		m.updateAdmission(i)
	case s.switched > m.maxAdmitted(s): // the pacer has reverted a step
		s.switched, s.stepStart = m.maxAdmitted(s), m.now
		m.updateAdmission(i)
	case m.now-s.stepStart < minStepTime:
	// The pacer has not advanced yet.
	case s.switched >= m.maxAdmitted(s) && s.switched < len(s.servers):
	case answering == 0 && !m.provenByPacer(s):
	case s.switched >= len(s.servers):
		m.setState(i, Healthy, "all of its servers are admitted")
	default:
		s.switched, s.stepStart = min(2*s.switched, m.maxAdmitted(s)), m.now
		m.updateAdmission(i)
	}
}

// updateAdmission applies the state of a site to its servers.
func (m *Monitor) updateAdmission(i int) {
	s := &m.sites[i]
	for n, srv := range s.servers {
		admitted := s.fullyAdmitted()
		switch s.state {
		case Recovering:
			admitted = n < s.switched
		case Evacuated:
			admitted = n >= s.switched
		}
		if admitted == srv.admitted {
			continue
		}
		if srv.admitted = admitted; admitted {
			// Earlier failures no longer count. The server counts as just started because it has no
			// open connections and its caches may be cold.
			srv.admittedAt, srv.failingSince, srv.load = m.now, 0, Load{}
		}
		m.changedServers = append(m.changedServers, srv.ID)
	}
}
