package consensus

import (
	"maps"
	"slices"
)

// VotersToTolerate returns how many voters are needed to tolerate the simultaneous loss of the
// given number of machines including their disks: committed entries are on a majority of the
// voters, and a majority has to survive. It is at least three, since one loss always has to be
// tolerated.
func VotersToTolerate(losses int) int { return 2*max(losses, 1) + 1 }

// maxKnownZones bounds the number of nodes whose zones are remembered.
const maxKnownZones = 256

// recordZone records the zone of the node that sent a message.
func (m *Machine) recordZone(msg Message) {
	if msg.Zone == "" || m.zones[msg.From] == "" && len(m.zones) >= maxKnownZones {
		return
	}
	if m.zones[msg.From] == msg.Zone {
		return
	}
	zones := maps.Clone(m.zones) // a Status may hold the previous map
	zones[msg.From] = msg.Zone
	m.zones = zones
}

// zoneOf returns the zone of a node. It is empty if unknown, as for a node that was not heard since
// this process started.
func (m *Machine) zoneOf(v Member) string {
	if v.Address == m.self {
		return m.zone
	}
	return m.zones[v.Address]
}

// countInZoneOf returns how many voters are in the same zone as a node. A node of unknown zone
// shares it with nobody, so that no vote is moved because of missing information.
func (m *Machine) countInZoneOf(voters []Member, member Member) (count int) {
	zone := m.zoneOf(member)
	for _, v := range voters {
		if zone != "" && m.zoneOf(v) == zone {
			count++
		}
	}
	return count
}

// indexInLeastCrowdedZone returns the index of the candidate whose zone has the fewest voters, the
// first one if several are equal, or -1 if there are no candidates.
func (m *Machine) indexInLeastCrowdedZone(candidates, voters []Member) int {
	best := -1
	for i, candidate := range candidates {
		if best < 0 || m.countInZoneOf(voters, candidate) < m.countInZoneOf(voters, candidates[best]) {
			best = i
		}
	}
	return best
}

// rebalanceZones moves one vote from the most crowded zone to a learner in a zone that has at least
// two voters fewer. The loss of a zone must leave a majority, but the first voters of a mesh, and
// those that replaced others in an emergency, may be in any zone. The vote of this node stays,
// because giving it away would give away leadership.
func (m *Machine) rebalanceZones(voters, ready []Member) []Member {
	target := m.indexInLeastCrowdedZone(ready, voters)
	if target < 0 || m.zoneOf(ready[target]) == "" {
		return voters
	}
	source := -1
	for i, v := range voters {
		if !m.isSelf(v) && (source < 0 || m.countInZoneOf(voters, v) > m.countInZoneOf(voters, voters[source])) {
			source = i
		}
	}
	if source < 0 || m.countInZoneOf(voters, voters[source]) < m.countInZoneOf(voters, ready[target])+2 {
		return voters
	}
	next := slices.Clone(voters)
	next[source] = ready[target]
	return next
}
