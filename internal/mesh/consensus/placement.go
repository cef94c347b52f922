package consensus

import (
	"maps"
	"slices"
)

// VotersToBear is how many voters bear the loss of so many machines at once, disks and all: what was
// agreed on is on a majority of them, and a majority is left. At least three, as one loss is always
// to be borne.
func VotersToTolerate(losses int) int { return 2*max(losses, 1) + 1 }

// mostZones bounds the nodes whose zones are remembered.
const maxKnownZones = 256

// learnZone remembers in which zone a node stands.
func (m *Machine) recordZone(msg Message) {
	if msg.Zone == "" || m.zones[msg.From] == "" && len(m.zones) >= maxKnownZones {
		return
	}
	if m.zones[msg.From] == msg.Zone {
		return
	}
	zones := maps.Clone(m.zones) // a Status may hold the one of before
	zones[msg.From] = msg.Zone
	m.zones = zones
}

// zoneOf is the zone in which a node stands; empty if it isn't known, as of one that has not been
// heard since the start of the process.
func (m *Machine) zoneOf(v Member) string {
	if v.Address == m.self {
		return m.zone
	}
	return m.zones[v.Address]
}

// inZoneOf is how many voters stand in the zone of a node. Where a zone isn't known none is taken to
// share it: nobody is moved for want of knowledge.
func (m *Machine) countInZoneOf(voters []Member, of Member) (count int) {
	zone := m.zoneOf(of)
	for _, v := range voters {
		if zone != "" && m.zoneOf(v) == zone {
			count++
		}
	}
	return count
}

// leastCrowded is the index of the candidate whose zone has the fewest voters, the first of several;
// -1 if there is none.
func (m *Machine) indexInLeastCrowdedZone(candidates, voters []Member) int {
	best := -1
	for i, candidate := range candidates {
		if best < 0 || m.countInZoneOf(voters, candidate) < m.countInZoneOf(voters, candidates[best]) {
			best = i
		}
	}
	return best
}

// spread moves one vote from the most crowded zone to a learner in a zone that has at least two
// fewer. The loss of a zone must leave a majority, and the voters that a mesh begins with, or that
// replaced others in a hurry, may stand anywhere. This node's own vote stays, since to give it away
// is to give leadership away.
func (m *Machine) rebalanceZones(voters, ready []Member) []Member {
	to := m.indexInLeastCrowdedZone(ready, voters)
	if to < 0 || m.zoneOf(ready[to]) == "" {
		return voters
	}
	from := -1
	for i, v := range voters {
		if !m.isSelf(v) && (from < 0 || m.countInZoneOf(voters, v) > m.countInZoneOf(voters, voters[from])) {
			from = i
		}
	}
	if from < 0 || m.countInZoneOf(voters, voters[from]) < m.countInZoneOf(voters, ready[to])+2 {
		return voters
	}
	next := slices.Clone(voters)
	next[from] = ready[to]
	return next
}
