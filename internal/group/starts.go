package group

import (
	"maps"
	"slices"
)

// Boot is a start of a member: a number at random, and those of its starts before. Danger: a member that goes on from a copy of its
// disk has said things that it does not know. Its later starts are not among those that the copy names, however often it is
// started again.
type Boot struct {
	Life uint64   `json:"life"`
	Past []uint64 `json:"past,omitempty"` // the latest last
}

// after says whether a start may follow another: it is the same, or names it among those before.
func (b *Boot) after(o *Boot) bool {
	return o.Life == 0 || b.Life == o.Life || slices.Contains(b.Past, o.Life)
}

// mostPast starts are remembered: who was started more often since it was last heard is taken for a copy.
const mostPast = 64

// started is a start of a member that somebody has heard.
type started struct {
	Member uint64 `json:"member"`
	Boot
}

// Meet takes in who speaks for a member. One whose disk is a copy is told so.
func (c *Core) CheckBoot(id uint64, boot Boot) error {
	known := c.self.Known[id]
	if c.state.Old[id] || !boot.after(&known) {
		return ErrStaleDisk
	}
	if known.Life != boot.Life && c.state.Members[id] != nil {
		if c.self.Known == nil {
			c.self.Known = map[uint64]Boot{}
		}
		c.self.Known[id], c.met = boot, true
		for id := range c.self.Known {
			if c.state.Members[id] == nil {
				delete(c.self.Known, id)
			}
		}
	}
	return nil
}

// spread has the others know of the starts that this member has heard.
func (c *Core) spread() {
	for _, id := range slices.Sorted(maps.Keys(c.self.Known)) { // in one order, so that a run can be played again
		boot, known := c.self.Known[id], c.state.Starts[id]
		if c.state.Members[id] != nil && !c.state.Old[id] && (known == nil || !known.after(&boot)) {
			c.propose(&command{Start: &started{id, boot}}) // else at another tick
		}
	}
}

// heard takes in that somebody has heard of a start.
func (c *Core) heard(s *started) {
	known := c.state.Starts[s.Member]
	switch {
	case c.state.Members[s.Member] == nil || known != nil && known.after(&s.Boot):
	case known == nil || s.Boot.after(known):
		if c.state.Starts == nil {
			c.state.Starts = map[uint64]*Boot{}
		}
		c.state.Starts[s.Member] = &s.Boot
	default:
		if c.state.Old == nil {
			c.state.Old = map[uint64]bool{}
		}
		if c.state.Old[s.Member] = true; s.Member == c.self.ID {
			c.wrong = ErrStaleDisk
		}
	}
}
