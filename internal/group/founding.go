package group

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"example.org/micaline/internal/lease"
)

// Identity identifies a process to its peers.
type Identity struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Grouped bool   `json:"grouped"` // whether it is in a group
}

// Identity returns this process's identity.
func (n *Node) Identity(ctx context.Context) (*Identity, error) {
	return runInLoop(ctx, n, func() (*Identity, error) {
		return &Identity{n.core.self.Name, n.core.self.ID, n.core.inGroup}, nil
	})
}

// expireLeases proposes the expiry of leases if this member leads. A leader that has not applied
// all earlier entries yet does not expire any: it does not know the leases of those entries.
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
		n.core.propose(&command{Lease: &op}) // on failure it is proposed again at a later tick
	}
}

// contactPeers asks the configured peers for their identities. A leader asks those that it has no
// contact with, and adds them to the group. A founder that is in no group yet, and a member that
// needs confirmation, ask all peers.
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
						n.opts.Log.Warn("a group exists already: this process does not bootstrap one and waits to be added", "member", name)
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

// handleConfirmation processes a peer's response to this member's start.
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

// bootstrap creates the group. A founder that has lost its disk would create a second group beside
// its first one. So a majority of the deployment, this process included, must have reported that
// they are in no group: one of them would be a member of any existing group.
func (n *Node) bootstrap() {
	if 2*(len(n.ungrouped)+1) <= len(n.opts.Peers)+1 {
		return
	}
	records, err := n.core.Bootstrap()
	if err == nil {
		err = n.opts.Store.Write(records)
	}
	if err != nil {
		n.core.failure = fmt.Errorf("bootstrapping the group: %w", err)
		return
	}
	n.opts.Log.Info("group bootstrapped")
}

// addPeer proposes to add a peer to the group, or records why it can't be a member.
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

// rejectPeer records why a peer can't be a member, and logs each new reason once.
func (n *Node) rejectPeer(name string, reason error) {
	if n.rejected[name] != reason.Error() {
		n.rejected[name] = reason.Error()
		n.opts.Log.Warn("peer can't be a member", "name", name, "reason", reason)
	}
}

// Remove removes a member permanently, and waits until the removal is applied here.
func (n *Node) Remove(ctx context.Context, name string) error {
	if _, err := runInLoop(ctx, n, func() (struct{}, error) { return struct{}{}, n.core.Remove(name) }); err != nil {
		return err
	}
	return n.await(ctx, func(v *groupView) bool {
		return !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == name })
	})
}
