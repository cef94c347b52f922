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

// Found begins a group of this member alone, with the records that its journal has. It returns what is to be written.
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

// member returns who has a name.
func (c *Core) memberByName(name string) *Member {
	for _, m := range c.state.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Add proposes a new member, which becomes a voter once it has what the others have. The lead decides.
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
		return fmt.Errorf("%s was removed, and comes back with an empty disk only", name)
	case len(c.state.Members) >= MaxMembers:
		return fmt.Errorf("there are %d members already", len(c.state.Members))
	}
	return c.proposeConfChange(raftpb.ConfChangeAddLearnerNode, &Member{Name: name, ID: id})
}

// Remove proposes that a member goes for good.
func (c *Core) Remove(name string) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	m := c.memberByName(name)
	switch {
	case m == nil:
		return fmt.Errorf("%s is no member", name)
	case len(c.confState.Voters) == 1 && m.Voter:
		return fmt.Errorf("%s is the last that counts", name)
	}
	return c.proposeConfChange(raftpb.ConfChangeRemoveNode, m)
}

// Promote proposes to count members that have what the others have.
func (c *Core) PromoteLearners() {
	if c.checkLeader() != nil {
		return
	}
	c.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && !m.Voter && p.Match > 0 && p.Match+16 >= c.raft.BasicStatus().GetCommit() {
			c.proposeConfChange(raftpb.ConfChangeAddNode, &Member{m.Name, m.ID, true}) // else at another tick
		}
	})
}

// heir is the member that is there and has the most; none if there is no such member, or this one does not lead.
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

// Abdicate hands the lead to that member.
func (c *Core) TransferLeadership() {
	if to := c.transferTarget(); to.ID != 0 {
		c.recoverPanic(func() error {
			c.raft.TransferLeader(to.ID)
			return nil
		})
	}
}

func (c *Core) proposeConfChange(kind raftpb.ConfChangeType, m *Member) error {
	encoded, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return c.raft.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &m.ID, Context: encoded})
}

func (c *Core) checkLeader() error {
	if err := c.checkParticipates(); err != nil {
		return err
	}
	if c.raft.BasicStatus().RaftState != raft.StateLeader {
		return errors.New("it does not lead")
	}
	return nil
}

// part says why the member takes no part, nil if it does.
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

// onlyVoter says whether no other member's vote counts.
func (c *Core) isOnlyVoter() bool {
	return len(c.confState.Voters) == 1 && c.confState.Voters[0] == c.self.ID
}

// unconfirmed says whether this member started from a journal by which it alone votes, and most of its peers have not confirmed
// it since. Danger: the journal may be a copy of before others became voters. Whoever alone votes elects itself and agrees with
// itself, so a member that goes on from such a copy while it is cut off would write beside the group that it has founded.
func (c *Core) needsConfirmation() bool { return c.confirmedBy != nil && c.isOnlyVoter() }

// Confirm takes in that a peer has taken this member's start for one that may follow those it knows, and who the peer is. It fails
// if that peer itself shows that this member's journal is not the latest. Most of the peers have to confirm, this member counted,
// as for the founding of a group: any group of theirs has one of them.
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

// reached says whether a lead hears of a member.
func (c *Core) isActive(id uint64) (active bool) {
	c.raft.WithProgress(func(memberID uint64, _ raft.ProgressType, p tracker.Progress) {
		active = active || memberID == id && (p.RecentActive || memberID == c.self.ID)
	})
	return active
}
