package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/lease"
)

// Grant is one grant of a duty to this process. Its context ends when the duty must be given up. It
// is also the journal.Store of the replicated buckets for as long as the duty is held.
type Grant struct {
	context.Context
	Epoch uint64
	Baton []byte

	cancel     context.CancelFunc
	validUntil atomic.Int64 // time.Duration on the node's clock
	node       *Node
	duty       string
	seq        uint64        // number of the last write
	pending    *writeCommand // the last write, while its result is unknown; nil: none
}

// IsValid reports whether the duty is held at this moment. Actions that follow the check carry the
// epoch all the same, because the lease may expire between both.
func (g *Grant) IsValid() bool {
	return g.Err() == nil && g.node.now() < time.Duration(g.validUntil.Load())
}

// Hold tries to acquire a duty until the context ends. It calls work for each grant, during which
// no other process holds the duty. When the grant's context ends, work has to return soon, with the
// baton: data for the next holder. If the context of Hold ends, the duty is handed over to another
// member instead of expiring.
func (n *Node) Hold(ctx context.Context, duty string, term time.Duration, work func(*Grant) (baton []byte)) {
	holder := &lease.Holder{Duty: duty, Name: fmt.Sprintf("%s/%x", n.opts.Name, rand.Uint64()), Term: term}
	var grant *Grant
	var finished chan []byte
	answers := make(chan func(), 4)
	sendRequest := func(request *lease.Request) {
		if request == nil {
			return
		}
		go func() {
			// The request is sent even if ctx has ended, because the duty is released then.
			requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
			defer cancel()
			answer, err := n.Lease(requestCtx, request.Op)
			if err != nil {
				return // the Holder retries after a timeout
			}
			select {
			case answers <- func() { holder.HandleAnswer(n.now(), request.Number, answer) }:
			case <-n.done:
			}
		}()
	}
	ticker := time.NewTicker(term / 20)
	defer ticker.Stop()
	shutdown := ctx.Done()
	for {
		select {
		case handle := <-answers:
			handle()
		case <-ticker.C:
		case <-n.done: // the node has stopped: nothing can be renewed or released any more
			if grant != nil {
				grant.cancel()
				<-finished
			}
			return
		case <-shutdown:
			shutdown = nil // the closed channel would be selected again and again
		case baton := <-finished:
			grant.cancel()
			if _, _, holds := holder.Holds(n.now()); holds {
				request := holder.Release(n.now(), n.successor(ctx, duty), baton)
				// Leadership is transferred before the release, so that the next leader commits the
				// release even if this process ends first.
				if ctx.Err() != nil {
					n.enqueue(func() { n.core.TransferLeadership() })
				}
				releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
				if _, err := n.Lease(releaseCtx, request.Op); err != nil && !errors.Is(err, errEnded) {
					n.opts.Log.Warn("a duty could not be released and is held until its lease expires", "duty", duty, "error", err)
				}
				cancel()
			}
			grant, finished = nil, nil
			n.heldUntil.Delete(duty)
		}
		now := n.now()
		epoch, until, holds := holder.Holds(now)
		ending := ctx.Err() != nil
		view := n.view()
		state, known := view.duties[duty]
		reservedForOther := state.To != "" && state.To != n.opts.Name
		switch {
		case grant != nil && (!holds || epoch != grant.Epoch || ending || reservedForOther || holder.ReleaseReason() != ""):
			grant.cancel() // finished receives the baton once work has returned
		case grant != nil:
			grant.validUntil.Store(int64(until))
			n.heldUntil.Store(duty, until)
		case holds && !ending:
			grant = &Grant{Epoch: epoch, Baton: holder.Baton(), node: n, duty: duty}
			grant.validUntil.Store(int64(until))
			grant.Context, grant.cancel = context.WithCancel(context.WithoutCancel(ctx))
			finished = make(chan []byte, 1)
			n.opts.Log.Info("holding", "duty", duty, "epoch", epoch)
			go func(g *Grant, finished chan<- []byte) {
				baton := work(g)
				n.opts.Log.Info("no longer holding", "duty", duty, "epoch", g.Epoch)
				finished <- baton
			}(grant, finished)
		case ending:
			return
		}
		if ending {
			if _, _, holds := holder.Holds(n.now()); !holds && grant == nil {
				return
			}
			if grant != nil && holds {
				sendRequest(onlyRenewal(holder.Tick(now, false, 0))) // keeps the lease while work returns
			}
			continue
		}
		free := view.failure == nil && (!known || state.Holder == "" && !state.Resting && !reservedForOther)
		acquireDelay := time.Duration(0)
		// The leader commits renewals without an extra hop, so it gets the first chance.
		if !view.isLeader && state.To == "" {
			acquireDelay = term/2 + time.Duration(rand.Int64N(int64(term)))
		}
		sendRequest(holder.Tick(now, free, acquireDelay))
	}
}

// successor returns the name of the member to which a released duty goes: the one that an operator
// named, else the leader, or its likely successor if this member leads and is stopping. It is empty
// if any member may acquire the duty.
func (n *Node) successor(ctx context.Context, duty string) string {
	view := n.view()
	if to := view.duties[duty].To; to != "" {
		return to
	}
	if !view.isLeader {
		return view.leader
	}
	if ctx.Err() == nil {
		return "" // this member continues to run and may acquire the duty again
	}
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	to, err := runInLoop(timeoutCtx, n, func() (string, error) { return n.core.transferTarget().Name, nil })
	if err != nil {
		return ""
	}
	return to
}

// onlyRenewal returns the request if it is a renewal, and nil otherwise.
func onlyRenewal(request *lease.Request) *lease.Request {
	if request != nil && request.Op.Kind != lease.Renew {
		return nil
	}
	return request
}

// Write replicates records if the duty is still held. A write that fails with a timeout may still
// be applied later. The next call first waits for its result, and its records are expected to start
// with those of the failed write, which are not written twice.
func (g *Grant) Write(records []journal.Record) error {
	if !g.IsValid() {
		return errors.New("the duty is no longer held")
	}
	ctx, cancel := context.WithTimeout(g, writeTimeout)
	defer cancel()
	for {
		if g.pending == nil {
			if len(records) == 0 {
				return nil
			}
			g.seq++
			g.pending = &writeCommand{g.duty, g.Epoch, g.seq, records}
		}
		result, err := g.node.execute(ctx, &command{Write: g.pending})
		if err != nil {
			return err
		}
		written := len(g.pending.Records)
		g.pending = nil
		if result.Refused != "" {
			return errors.New(result.Refused)
		}
		// After a failure the caller passes the same records again, followed by those added since.
		records = records[min(written, len(records)):]
	}
}

// Read calls f with each record of a replicated bucket.
func (g *Grant) Read(bucket string, f func(key string, value []byte) error) error {
	type record struct {
		key   string
		value []byte
	}
	all, err := runInLoop(g, g.node, func() (all []record, err error) {
		err = g.node.core.Read(bucket, func(key string, value []byte) error {
			all = append(all, record{key, value})
			return nil
		})
		return all, err
	})
	if err != nil {
		return err
	}
	for _, r := range all {
		if err := f(r.key, r.value); err != nil {
			return err
		}
	}
	return nil
}
