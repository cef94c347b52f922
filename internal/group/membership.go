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
	if c.found {
		return nil, errors.New("it is in a group already")
	}
	c.conf = &raftpb.ConfState{Voters: []uint64{c.self.ID}}
	c.state.Members[c.self.ID] = &Member{c.self.Name, c.self.ID, true}
	c.state.Applied = 1
	base := &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: c.conf}
	c.log.ApplySnapshot(&raftpb.Snapshot{Metadata: base})
	c.first, c.found = 2, true
	hard := &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	c.log.SetHardState(hard)
	if err := c.start(); err != nil {
		return nil, err
	}
	return append(c.stateRecords(), putProto(logBucket, baseKey, base), putProto(logBucket, hardKey, hard)), nil
}

// member returns who has a name.
func (c *Core) member(name string) *Member {
	for _, m := range c.state.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Add proposes a new member, which becomes a voter once it has what the others have. The lead decides.
func (c *Core) Add(name string, id uint64) error {
	if err := c.leads(); err != nil {
		return err
	}
	if m := c.member(name); m != nil && m.ID == id {
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
	return c.change(raftpb.ConfChangeAddLearnerNode, &Member{Name: name, ID: id})
}

// Remove proposes that a member goes for good.
func (c *Core) Remove(name string) error {
	if err := c.leads(); err != nil {
		return err
	}
	m := c.member(name)
	switch {
	case m == nil:
		return fmt.Errorf("%s is no member", name)
	case len(c.conf.Voters) == 1 && m.Voter:
		return fmt.Errorf("%s is the last that counts", name)
	}
	return c.change(raftpb.ConfChangeRemoveNode, m)
}

// Promote proposes to count members that have what the others have.
func (c *Core) PromoteLearners() {
	if c.leads() != nil {
		return
	}
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && !m.Voter && p.Match > 0 && p.Match+16 >= c.raw.BasicStatus().GetCommit() {
			c.change(raftpb.ConfChangeAddNode, &Member{m.Name, m.ID, true}) // else at another tick
		}
	})
}

// heir is the member that is there and has the most; none if there is no such member, or this one does not lead.
func (c *Core) heir() (best Member) {
	if c.leads() != nil {
		return best
	}
	match := uint64(0)
	c.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if m := c.state.Members[id]; m != nil && m.Voter && id != c.self.ID && p.RecentActive && p.Match >= match {
			best, match = *m, p.Match
		}
	})
	return best
}

// Abdicate hands the lead to that member.
func (c *Core) TransferLeadership() {
	if to := c.heir(); to.ID != 0 {
		c.safely(func() error {
			c.raw.TransferLeader(to.ID)
			return nil
		})
	}
}

func (c *Core) change(kind raftpb.ConfChangeType, m *Member) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return c.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &m.ID, Context: text})
}

func (c *Core) leads() error {
	if err := c.part(); err != nil {
		return err
	}
	if c.raw.BasicStatus().RaftState != raft.StateLeader {
		return errors.New("it does not lead")
	}
	return nil
}

// part says why the member takes no part, nil if it does.
func (c *Core) part() error {
	switch {
	case c.wrong != nil:
		return c.wrong
	case !c.found:
		return errors.New("it is in no group yet")
	case c.unconfirmed():
		return errUnconfirmed
	}
	return nil
}

// onlyVoter says whether no other member's vote counts.
func (c *Core) onlyVoter() bool {
	return len(c.conf.Voters) == 1 && c.conf.Voters[0] == c.self.ID
}

// unconfirmed says whether this member started from a journal by which it alone votes, and most of its peers have not confirmed
// it since. Danger: the journal may be a copy of before others became voters. Whoever alone votes elects itself and agrees with
// itself, so a member that goes on from such a copy while it is cut off would write beside the group that it has founded.
func (c *Core) unconfirmed() bool { return c.confirmed != nil && c.onlyVoter() }

// Confirm takes in that a peer has taken this member's start for one that may follow those it knows, and who the peer is. It fails
// if that peer itself shows that this member's journal is not the latest. Most of the peers have to confirm, this member counted,
// as for the founding of a group: any group of theirs has one of them.
func (c *Core) Confirm(name string, id uint64, grouped bool) error {
	if !c.unconfirmed() {
		return nil
	}
	known := c.member(name)
	if grouped && (known == nil || known.ID != id) && !slices.Contains(c.state.Gone, id) {
		return errUnknownGroup
	}
	c.confirmed[name] = true
	if 2*(len(c.confirmed)+1) > c.peers+1 {
		c.confirmed = nil
	}
	return nil
}

// reached says whether a lead hears of a member.
func (c *Core) reached(id uint64) (active bool) {
	c.raw.WithProgress(func(of uint64, _ raft.ProgressType, p tracker.Progress) {
		active = active || of == id && (p.RecentActive || of == c.self.ID)
	})
	return active
}
