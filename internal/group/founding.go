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
	return runInLoop(ctx, n, func() (*Identity, error) {
		return &Identity{n.core.self.Name, n.core.self.ID, n.core.inGroup}, nil
	})
}

// rule does what a lead does: it says which times are over. Danger: one that has not yet carried out what was agreed on before it led
// does not know them.
func (n *Node) expireLeases() {
	if !n.core.IsCaughtUpLeader() {
		n.core.leaseExpiry, n.wasLeader = lease.ExpiryTracker{}, false
		return
	}
	if !n.wasLeader {
		n.wasLeader = true
		n.opts.Log.Info("this member leads the group", "members", len(n.core.state.Members))
	}
	for _, op := range n.core.leaseExpiry.Expired(n.now(), &n.core.state.Leases) {
		n.core.propose(&command{Lease: &op}) // else at another tick
	}
}

// invite asks those of the file who are no members who they are, and has them added; one that is in no group yet and is to found one
// asks all, and so does one that has to be confirmed.
func (n *Node) contactPeers(ctx context.Context) {
	now := n.now()
	bootstrapping, unconfirmed := n.opts.Bootstrap && !n.core.inGroup && n.ungrouped != nil, n.core.needsConfirmation()
	if !bootstrapping && !unconfirmed && n.core.checkLeader() != nil || now-n.lastContactAt < contactInterval {
		return
	}
	n.lastContactAt = now
	if bootstrapping {
		n.bootstrap()
	}
	for name, peer := range n.opts.Peers {
		if m := n.core.memberByName(name); n.contacting[name] || m != nil && n.core.isActive(m.ID) {
			continue
		}
		n.contacting[name] = true
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			identity, err := peer.Identity(callCtx)
			var objection error
			if err == nil && unconfirmed {
				objection = peer.Deliver(callCtx, &Batch{Name: n.opts.Name, From: n.core.self.ID, Boot: n.core.self.Boot})
			}
			n.enqueue(func() {
				delete(n.contacting, name)
				if err != nil {
					return
				}
				if unconfirmed {
					n.handleConfirmation(name, identity, objection)
				}
				if !n.core.inGroup && identity.Grouped {
					if n.ungrouped != nil && n.opts.Bootstrap {
						n.opts.Log.Warn("there is a group already: this process founds none, and waits to be added", "member", name)
					}
					n.ungrouped = nil
				} else if !n.core.inGroup && n.ungrouped != nil {
					n.ungrouped[name] = true
				}
				n.addPeer(name, identity)
			})
		}()
	}
}

// confirm takes in what a peer says to this member's start.
func (n *Node) handleConfirmation(name string, identity *Identity, objection error) {
	switch {
	case errors.Is(objection, ErrStaleDisk) && n.core.failure == nil:
		n.core.failure = ErrStaleDisk
	case objection == nil && identity.Name == name:
		if err := n.core.Confirm(name, identity.ID, identity.Grouped); err != nil {
			n.rejectPeer(name, err)
		}
	}
}

// found begins a group. Danger: a founder that has lost its disk would begin another one beside that which it has founded, so
// most of those of the file must have said that they are in none: any group has one of them.
func (n *Node) bootstrap() {
	if 2*(len(n.ungrouped)+1) <= len(n.opts.Peers)+1 {
		return
	}
	records, err := n.core.Bootstrap()
	if err == nil {
		err = n.opts.Store.Write(records)
	}
	if err != nil {
		n.core.failure = fmt.Errorf("founding the group: %w", err)
		return
	}
	n.opts.Log.Info("a group is founded")
}

func (n *Node) addPeer(name string, identity *Identity) {
	var err error
	m := n.core.memberByName(name)
	switch {
	case n.core.checkLeader() != nil || m != nil && m.ID == identity.ID:
		return
	case identity.Name != name:
		err = fmt.Errorf("%q answers there", identity.Name)
	case identity.Grouped && m == nil && !slices.Contains(n.core.state.Gone, identity.ID):
		err = errors.New("it is in another group")
	default:
		err = n.core.Add(name, identity.ID)
	}
	if err == nil {
		delete(n.rejected, name)
		return
	}
	n.rejectPeer(name, err)
}

// refuse notes why a peer can't be a member, and tells it once.
func (n *Node) rejectPeer(name string, reason error) {
	if n.rejected[name] != reason.Error() {
		n.rejected[name] = reason.Error()
		n.opts.Log.Warn("not a member", "name", name, "reason", reason)
	}
}

// Remove has a member go for good. It waits until the group agrees.
func (n *Node) Remove(ctx context.Context, name string) error {
	if _, err := runInLoop(ctx, n, func() (struct{}, error) { return struct{}{}, n.core.Remove(name) }); err != nil {
		return err
	}
	return n.await(ctx, func(v *groupView) bool {
		return !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == name })
	})
}
