package group

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"example.org/micaline/internal/journal"
)

// Bootstrap creates a group with this member as the only one. The records in its journal become the
// initial replicated records. It returns the records to write.
func (c *Core) Bootstrap() ([]journal.Record, error) {
	if c.inGroup {
		return nil, errors.New("it is in a group already")
	}
	c.confState = &raftpb.ConfState{Voters: []uint64{c.self.ID}}
	c.state.Members[c.self.ID] = &Member{c.self.Name, c.self.ID, true}
	c.state.Applied = 1
	snapshotMeta := &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: c.confState}
	c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: snapshotMeta})
	c.firstIndex, c.inGroup = 2, true
	hardState := &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	c.log.SetHardState(hardState)
	if err := c.startRaft(); err != nil {
		return nil, err
	}
	return append(c.stateRecords(), protoRecord(logBucket, snapshotKey, snapshotMeta), protoRecord(logBucket, hardStateKey, hardState)), nil
}

// memberByName returns the member with a name, or nil.
func (c *Core) memberByName(name string) *Member {
	for _, m := range c.state.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Add proposes a new member, as a learner. PromoteLearners makes it a voter once its log has caught
// up. It fails if this member is not the leader.
func (c *Core) Add(name string, id uint64) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	if m := c.memberByName(name); m != nil && m.ID == id {
		return nil
	} else if m != nil {
		return fmt.Errorf("%s is a member with another disk: remove it first", name)
	}
	switch {
	case slices.Contains(c.state.Gone, id):
		return fmt.Errorf("%s was removed, and can join again only with an empty disk", name)
	case len(c.state.Members) >= MaxMembers:
		return fmt.Errorf("there are %d members already", len(c.state.Members))
	}
	return c.proposeConfChange(raftpb.ConfChangeAddLearnerNode, &Member{Name: name, ID: id})
}

// Remove proposes to remove a member permanently. It fails if this member is not the leader.
func (c *Core) Remove(name string) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	m := c.memberByName(name)
	switch {
	case m == nil:
		return fmt.Errorf("%s is no member", name)
	case len(c.confState.Voters) == 1 && m.Voter:
		return fmt.Errorf("%s is the last voter", name)
	}
	return c.proposeConfChange(raftpb.ConfChangeRemoveNode, m)
}

// PromoteLearners proposes to make voters of the learners whose logs have caught up to within 16
// entries of the commit index.
func (c *Core) PromoteLearners() {
	if c.checkLeader() != nil {
		return
	}
	c.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && !m.Voter && p.Match > 0 && p.Match+16 >= c.raft.BasicStatus().GetCommit() {
			// On failure it is proposed again at a later tick.
			c.proposeConfChange(raftpb.ConfChangeAddNode, &Member{m.Name, m.ID, true})
		}
	})
}

// transferTarget returns the other active voter whose log is the most complete, or no member (ID 0)
// if there is none or this member is not the leader.
func (c *Core) transferTarget() (best Member) {
	if c.checkLeader() != nil {
		return best
	}
	bestMatch := uint64(0)
	c.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && m.Voter && id != c.self.ID && p.RecentActive && p.Match >= bestMatch {
			best, bestMatch = *m, p.Match
		}
	})
	return best
}

// TransferLeadership transfers the leadership to the transfer target, if there is one.
func (c *Core) TransferLeadership() {
	if to := c.transferTarget(); to.ID != 0 {
		c.recoverPanic(func() error {
			c.raft.TransferLeader(to.ID)
			return nil
		})
	}
}

// proposeConfChange proposes a change of the group's membership.
func (c *Core) proposeConfChange(kind raftpb.ConfChangeType, m *Member) error {
	encoded, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return c.raft.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &m.ID, Context: encoded})
}

// checkLeader returns an error if this member is not the leader.
func (c *Core) checkLeader() error {
	if err := c.checkParticipates(); err != nil {
		return err
	}
	if c.raft.BasicStatus().RaftState != raft.StateLeader {
		return errors.New("it is not the leader")
	}
	return nil
}

// checkParticipates returns the reason if the member does not participate in the group.
func (c *Core) checkParticipates() error {
	switch {
	case c.failure != nil:
		return c.failure
	case !c.inGroup:
		return errors.New("it is in no group yet")
	case c.needsConfirmation():
		return errUnconfirmed
	}
	return nil
}

// isOnlyVoter reports whether this member is the group's only voter.
func (c *Core) isOnlyVoter() bool {
	return len(c.confState.Voters) == 1 && c.confState.Voters[0] == c.self.ID
}

// needsConfirmation reports whether this member is the only voter according to the journal it
// started from, and not enough peers have confirmed this start yet. The journal may be a copy from
// before other members became voters. An only voter elects itself and commits entries alone, so a
// partitioned member that started from such a copy would write independently of its group.
func (c *Core) needsConfirmation() bool { return c.confirmedBy != nil && c.isOnlyVoter() }

// Confirm records that a peer has accepted this member's start as a successor of the starts it
// knows. It fails if the peer's own membership shows that this member's journal is out of date. As
// for bootstrapping, a majority of the deployment, this member included, has to confirm: one of
// them would be a member of any other group.
func (c *Core) Confirm(name string, id uint64, grouped bool) error {
	if !c.needsConfirmation() {
		return nil
	}
	known := c.memberByName(name)
	if grouped && (known == nil || known.ID != id) && !slices.Contains(c.state.Gone, id) {
		return errUnknownGroup
	}
	c.confirmedBy[name] = true
	if 2*(len(c.confirmedBy)+1) > c.peerCount+1 {
		c.confirmedBy = nil
	}
	return nil
}

// isActive reports whether this leader has recently heard from a member. It is true for the leader
// itself.
func (c *Core) isActive(id uint64) (active bool) {
	c.raft.WithProgress(func(memberID uint64, _ raft.ProgressType, p tracker.Progress) {
		active = active || memberID == id && (p.RecentActive || memberID == c.self.ID)
	})
	return active
}
