package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The leader accepts a proposal that was just forwarded, rejects one that is too old, and accepts
// one from an older program version that does not include the tenure of the leader.
func TestStaleProposalIsRefused(t *testing.T) {
	m := newTestMachine(3)
	electLeader(t, m)
	runHeartbeats(m, map[string]uint64{"b": 2, "c": 2})
	forward := func(id uint64, tenure time.Duration) (accepted bool, rejected bool) {
		lastBefore := m.log.lastIndex()
		m.HandleMessage(Message{Kind: Forward, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: m.hardState.Term, Origin: 9, ID: id,
			Command: []byte("x"), LeaderTime: tenure})
		for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
			for _, msg := range o.Messages {
				rejected = rejected || msg.Kind == ForwardReject && msg.ID == id
			}
			if o.Save != nil {
				m.SaveCompleted()
			}
		}
		return m.log.lastIndex() > lastBefore, rejected
	}
	heardTenure := m.ownTenure()
	accepted, rejected := forward(1, heardTenure)
	require.True(t, accepted && !rejected)
	for range 20 {
		runHeartbeats(m, map[string]uint64{"b": 2, "c": 2})
	}
	require.Greater(t, m.ownTenure()-heardTenure, maxProposalAge)
	accepted, rejected = forward(2, heardTenure)
	require.True(t, !accepted && rejected, "it is too old")
	accepted, rejected = forward(2, m.ownTenure())
	require.False(t, accepted || rejected, "its ID was rejected before and stays rejected")
	accepted, _ = forward(3, 0)
	require.True(t, accepted, "an older program version does not send the tenure")
}

// A follower forwards proposals with the tenure of the current leader, and never with that of the
// previous one. A proposal that was given to the previous leader is not forwarded again.
func TestProposalsNameTheLeaderTheyAreFor(t *testing.T) {
	m := newTestMachine(3)
	receive := func(term uint64, tenure time.Duration) (forwarded []Message) {
		m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: term, Index: 1, LogTerm: 1, LeaderTime: tenure})
		for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
			for _, msg := range o.Messages {
				if msg.Kind == Forward {
					forwarded = append(forwarded, msg)
				}
			}
			if o.Save != nil {
				m.SaveCompleted()
			}
		}
		return forwarded
	}
	receive(4, time.Hour)
	m.Propose(1, []byte("x"))
	receive(4, time.Second) // delivered out of order
	require.Equal(t, time.Hour, m.leaderTenure)
	m.becomeFollower(5)
	forwarded := receive(5, time.Minute)
	require.Empty(t, forwarded, "it was given to the previous leader, which may have appended it")
	m.Propose(2, []byte("y"))
	forwarded = receive(5, 2*time.Minute)
	require.Len(t, forwarded, 1)
	require.Equal(t, time.Minute, forwarded[0].LeaderTime)
}

// A follower hears the leader, but what it sends is held up for 20 s, as in a network that is cut
// in one direction. The caller at the follower was told that the outcome is unknown, so the delayed
// proposal must have no effect when it arrives.
func TestUnheardFollowerChangesNothingLater(t *testing.T) {
	withTestCluster(t, func(m *testCluster) {
		leaderName := m.waitForLeader()
		muted := map[string]string{"a": "b", "b": "c", "c": "a"}[leaderName]
		m.net.holdMessagesFrom(muted)
		require.ErrorIs(t, m.propose(muted, "held up", 900*time.Millisecond), ErrUnknown)
		<-time.After(20 * time.Second)
		require.NoError(t, m.propose(leaderName, "meanwhile", time.Second))
		m.net.releaseMessages()
		require.Equal(t, leaderName, m.waitForLeader())
		for _, name := range []string{muted, leaderName} {
			require.NoError(t, m.propose(name, "later", time.Second))
		}
		require.Equal(t, []string{"meanwhile", "later", "later"}, m.tables[leaderName].appliedLines())
	})
}
