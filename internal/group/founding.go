package group

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"example.org/micaline/internal/lease"
)

// Identity is who a process is.
type Identity struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Grouped bool   `json:"grouped"` // it is in a group already
}

// Identity says who this is.
func (n *Node) Identity(ctx context.Context) (*Identity, error) {
	return within(ctx, n, func() (*Identity, error) {
		return &Identity{n.core.self.Name, n.core.self.ID, n.core.found}, nil
	})
}

// rule does what a lead does: it says which times are over. Danger: one that has not yet carried out what was agreed on before it led
// does not know them.
func (n *Node) rule() {
	if !n.core.IsCaughtUpLeader() {
		n.core.clock, n.ruled = lease.ExpiryTracker{}, false
		return
	}
	if !n.ruled {
		n.ruled = true
		n.opts.Log.Info("this member leads the group", "members", len(n.core.state.Members))
	}
	for _, op := range n.core.clock.Expired(n.now(), &n.core.state.Leases) {
		n.core.propose(&command{Lease: &op}) // else at another tick
	}
}

// invite asks those of the file who are no members who they are, and has them added; one that is in no group yet and is to found one
// asks all, and so does one that has to be confirmed.
func (n *Node) invite(ctx context.Context) {
	t := n.now()
	founds, unconfirmed := n.opts.Bootstrap && !n.core.found && n.single != nil, n.core.unconfirmed()
	if !founds && !unconfirmed && n.core.leads() != nil || t-n.invited < inviteIn {
		return
	}
	n.invited = t
	if founds {
		n.found()
	}
	for name, p := range n.opts.Peers {
		if m := n.core.member(name); n.asking[name] || m != nil && n.core.reached(m.ID) {
			continue
		}
		n.asking[name] = true
		go func() {
			within, cancel := context.WithTimeout(ctx, sendIn)
			defer cancel()
			id, err := p.Identity(within)
			var objection error
			if err == nil && unconfirmed {
				objection = p.Deliver(within, &Batch{Name: n.opts.Name, From: n.core.self.ID, Boot: n.core.self.Boot})
			}
			n.happened(func() {
				delete(n.asking, name)
				if err != nil {
					return
				}
				if unconfirmed {
					n.confirm(name, id, objection)
				}
				if !n.core.found && id.Grouped {
					if n.single != nil && n.opts.Bootstrap {
						n.opts.Log.Warn("there is a group already: this process founds none, and waits to be added", "member", name)
					}
					n.single = nil
				} else if !n.core.found && n.single != nil {
					n.single[name] = true
				}
				n.welcome(name, id)
			})
		}()
	}
}

// confirm takes in what a peer says to this member's start.
func (n *Node) confirm(name string, id *Identity, objection error) {
	switch {
	case errors.Is(objection, ErrStaleDisk) && n.core.wrong == nil:
		n.core.wrong = ErrStaleDisk
	case objection == nil && id.Name == name:
		if err := n.core.Confirm(name, id.ID, id.Grouped); err != nil {
			n.refuse(name, err)
		}
	}
}

// found begins a group. Danger: a founder that has lost its disk would begin another one beside that which it has founded, so
// most of those of the file must have said that they are in none: any group has one of them.
func (n *Node) found() {
	if 2*(len(n.single)+1) <= len(n.opts.Peers)+1 {
		return
	}
	records, err := n.core.Bootstrap()
	if err == nil {
		err = n.opts.Store.Write(records)
	}
	if err != nil {
		n.core.wrong = fmt.Errorf("founding the group: %w", err)
		return
	}
	n.opts.Log.Info("a group is founded")
}

func (n *Node) welcome(name string, id *Identity) {
	var err error
	m := n.core.member(name)
	switch {
	case n.core.leads() != nil || m != nil && m.ID == id.ID:
		return
	case id.Name != name:
		err = fmt.Errorf("%q answers there", id.Name)
	case id.Grouped && m == nil && !slices.Contains(n.core.state.Gone, id.ID):
		err = errors.New("it is in another group")
	default:
		err = n.core.Add(name, id.ID)
	}
	if err == nil {
		delete(n.refused, name)
		return
	}
	n.refuse(name, err)
}

// refuse notes why a peer can't be a member, and tells it once.
func (n *Node) refuse(name string, why error) {
	if n.refused[name] != why.Error() {
		n.refused[name] = why.Error()
		n.opts.Log.Warn("not a member", "name", name, "reason", why)
	}
}

// Remove has a member go for good. It waits until the group agrees.
func (n *Node) Remove(ctx context.Context, name string) error {
	if _, err := within(ctx, n, func() (struct{}, error) { return struct{}{}, n.core.Remove(name) }); err != nil {
		return err
	}
	return n.await(ctx, func(v *view) bool {
		return !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == name })
	})
}
