package group

import (
	"maps"
	"slices"
)

// Boot is one start of a member: a random number, and the numbers of its earlier starts. It detects
// a member that runs on an older copy of its disk, and so has lost state that it has sent to
// others. The copy lacks the starts that followed it, so no start from the copy names them, however
// often the member is restarted.
type Boot struct {
	Life uint64   `json:"life"`
	Past []uint64 `json:"past,omitempty"` // earlier starts, the latest last
}

// canFollow reports whether a start is the other one or can be a later one, which names the other
// among its earlier starts.
func (b *Boot) canFollow(other *Boot) bool {
	return other.Life == 0 || b.Life == other.Life || slices.Contains(b.Past, other.Life)
}

// maxPastBoots limits Boot.Past. A member that was restarted more often than this since a peer last
// received a message from it is taken for a copy.
const maxPastBoots = 64

// bootReport reports a member's start, which another member has learned from its messages.
type bootReport struct {
	Member uint64 `json:"member"`
	Boot
}

// CheckBoot checks and records the start of the sender of a batch. It returns ErrStaleDisk if the
// sender runs on an older copy of its disk.
func (c *Core) CheckBoot(id uint64, boot Boot) error {
	known := c.self.Known[id]
	if c.state.Old[id] || !boot.canFollow(&known) {
		return ErrStaleDisk
	}
	if known.Life != boot.Life && c.state.Members[id] != nil {
		if c.self.Known == nil {
			c.self.Known = map[uint64]Boot{}
		}
		c.self.Known[id], c.selfChanged = boot, true
		for id := range c.self.Known {
			if c.state.Members[id] == nil {
				delete(c.self.Known, id)
			}
		}
	}
	return nil
}

// proposeBoots proposes to record the starts that this member has learned from messages and that
// the replicated state does not cover yet.
func (c *Core) proposeBoots() {
	// In a fixed order, so that simulations are reproducible.
	for _, id := range slices.Sorted(maps.Keys(c.self.Known)) {
		boot, known := c.self.Known[id], c.state.Starts[id]
		if c.state.Members[id] != nil && !c.state.Old[id] && (known == nil || !known.canFollow(&boot)) {
			c.propose(&command{Start: &bootReport{id, boot}}) // on failure it is proposed again later
		}
	}
}

// applyBoot applies a report of a member's start. If neither that start nor the known one can
// follow the other, the member is marked as running on an old disk.
func (c *Core) applyBoot(report *bootReport) {
	known := c.state.Starts[report.Member]
	switch {
	case c.state.Members[report.Member] == nil || known != nil && known.canFollow(&report.Boot):
	case known == nil || report.Boot.canFollow(known):
		if c.state.Starts == nil {
			c.state.Starts = map[uint64]*Boot{}
		}
		c.state.Starts[report.Member] = &report.Boot
	default:
		if c.state.Old == nil {
			c.state.Old = map[uint64]bool{}
		}
		if c.state.Old[report.Member] = true; report.Member == c.self.ID {
			c.failure = ErrStaleDisk
		}
	}
}
