package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStaleProposalIsRefused has the leader get a proposal at once, late, and from a program that
// doesn't say what it heard of the leader.
func TestStaleProposalIsRefused(t *testing.T) {
	m := newTestMachine(3)
	electLeader(t, m)
	runHeartbeats(m, map[string]uint64{"b": 2, "c": 2})
	forward := func(id uint64, leaderTime time.Duration) (taken bool, refused bool) {
		before := m.log.lastIndex()
		m.HandleMessage(Message{Kind: Forward, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: m.hardState.Term, Origin: 9, ID: id,
			Command: []byte("x"), LeaderTime: leaderTime})
		for o := m.NextOutput(); !o.Empty(); o = m.NextOutput() {
			for _, msg := range o.Messages {
				refused = refused || msg.Kind == ForwardReject && msg.ID == id
			}
			if o.Save != nil {
				m.SaveCompleted()
			}
		}
		return m.log.lastIndex() > before, refused
	}
	heard := m.ownTenure()
	taken, refused := forward(1, heard)
	require.True(t, taken && !refused)
	for range 20 {
		runHeartbeats(m, map[string]uint64{"b": 2, "c": 2})
	}
	require.Greater(t, m.ownTenure()-heard, maxProposalAge)
	taken, refused = forward(2, heard)
	require.True(t, !taken && refused, "it was given long ago")
	taken, refused = forward(2, m.ownTenure())
	require.False(t, taken || refused, "it was refused for good")
	taken, _ = forward(3, 0)
	require.True(t, taken, "an older program does not say when")
}

// TestProposalsNameTheLeaderTheyAreFor has a follower with a proposal hear a new leader: it says how long
// that one had led, and nothing of the one before.
func TestProposalsNameTheLeaderTheyAreFor(t *testing.T) {
	m := newTestMachine(3)
	hear := func(term uint64, leaderTime time.Duration) (forwarded []Message) {
		m.HandleMessage(Message{Kind: AppendEntries, From: "b", To: "a", Disk: 2, ToDisk: 1, Term: term, Index: 1, LogTerm: 1, LeaderTime: leaderTime})
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
	hear(4, time.Hour)
	m.Propose(1, []byte("x"))
	hear(4, time.Second) // an old message
	require.Equal(t, time.Hour, m.leaderTenure)
	m.becomeFollower(5)
	forwarded := hear(5, time.Minute)
	require.Empty(t, forwarded, "given to the leader before, who may have it in the log")
	m.Propose(2, []byte("y"))
	forwarded = hear(5, 2*time.Minute)
	require.Len(t, forwarded, 1)
	require.Equal(t, time.Minute, forwarded[0].LeaderTime)
}

// TestUnheardFollowerChangesNothingLater has a follower hear the leader and not be heard: what it
// gives the leader is held up for 20 s, as a network does that is cut in one direction. Who asked
// the follower was told that nothing is known, and nothing comes of it later.
func TestUnheardFollowerChangesNothingLater(t *testing.T) {
	withTrio(t, func(m *trio) {
		leading := m.leader()
		mute := map[string]string{"a": "b", "b": "c", "c": "a"}[leading]
		m.net.hold(mute)
		require.ErrorIs(t, m.propose(mute, "held up", 900*time.Millisecond), ErrUnknown)
		<-time.After(20 * time.Second)
		require.NoError(t, m.propose(leading, "meanwhile", time.Second))
		m.net.release()
		require.Equal(t, leading, m.leader())
		for _, name := range []string{mute, leading} {
			require.NoError(t, m.propose(name, "later", time.Second))
		}
		require.Equal(t, []string{"meanwhile", "later", "later"}, m.tables[leading].get())
	})
}
