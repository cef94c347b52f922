package consensus

import "time"

// A proposal that a follower gives the leader may be held up on its way: by a link that is cut in one
// direction, or in the buffers of a process that stood still. Its caller was told that nothing is
// known of it, long ago, and has gone on; appended now, it would come true when nobody expects it.
//
// So a leader says in each heartbeat how long it has led, a follower repeats what it heard last when
// it gives a proposal, and the leader refuses one that was given too long ago. Both times are of the
// leader's own clock. It is no matter of safety: one that is taken late is an entry as any other.

// staleAfter is the age at which a proposal is refused: its caller waits for less than a second, and
// the follower that passed it on heard the leader at most so long before.
const maxProposalAge = 2 * peerTimeout

// leadingFor is how long this node has led, and never 0: that is what an older program says.
func (m *Machine) ownTenure() time.Duration { return m.now - m.leaderSince + 1 }

// hearLeader notes how long the leader says that it has led. Messages may come out of order.
func (m *Machine) recordLeaderTenure(leadingFor time.Duration) {
	m.leaderTenure = max(m.leaderTenure, leadingFor)
}

// isStale tells whether a proposal was given to this leader, in this term, too long ago.
func (m *Machine) isStale(msg Message) bool {
	return msg.LeaderTime != 0 && m.ownTenure()-msg.LeaderTime > maxProposalAge
}
