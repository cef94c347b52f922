package consensus

import "time"

// A proposal that a follower forwards to the leader may be delayed for a long time, for example by
// a link that is cut in one direction or in the buffers of a paused process. By then its caller was
// told that the outcome is unknown and has moved on, so appending it would change the state when
// nobody expects that.
//
// Therefore a leader sends in each heartbeat how long it has led, a follower includes the last
// value it heard in the proposals it forwards, and the leader rejects a proposal whose value is too
// old. Both values come from the leader's own clock. This is no matter of safety: a late proposal
// that is accepted is a regular entry.

// maxProposalAge is the age beyond which a forwarded proposal is rejected. A caller waits for less
// than a second, and the follower that forwarded the proposal had heard from the leader at most a
// second before.
const maxProposalAge = 2 * peerTimeout

// ownTenure returns how long this node has led. It is never 0, because 0 means that the tenure is
// unknown, as in messages of an older program version.
func (m *Machine) ownTenure() time.Duration { return m.now - m.leaderSince + 1 }

// recordLeaderTenure records how long the leader says it has led. Messages may arrive out of order,
// so the value only grows.
func (m *Machine) recordLeaderTenure(tenure time.Duration) {
	m.leaderTenure = max(m.leaderTenure, tenure)
}

// isStale reports whether a proposal was forwarded to this leader, in this term, too long ago.
func (m *Machine) isStale(msg Message) bool {
	return msg.LeaderTime != 0 && m.ownTenure()-msg.LeaderTime > maxProposalAge
}
