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

// Scope is the time in which a duty is held. Its context ends with it.
type Grant struct {
	context.Context
	Epoch uint64
	Baton []byte

	cancel     context.CancelFunc
	validUntil atomic.Int64
	node       *Node
	duty       string
	seq        uint64
	pending    *writeCommand // that the group has not answered
}

// May says whether the duty is still held at this moment. What is done after it carries the epoch all the same.
func (s *Grant) IsValid() bool {
	return s.Err() == nil && s.node.now() < time.Duration(s.validUntil.Load())
}

// Hold goes for a duty until the context ends. Each time that it is granted work is called, in whose time nobody else holds it;
// it is to return soon after its context has ended, with what it leaves to the next holder. A planned end hands the duty on before
// its time is over.
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
			// Not the context that ends: a duty is let go then.
			requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
			defer cancel()
			answer, err := n.Lease(requestCtx, request.Op)
			if err != nil {
				return // in time it is asked again
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
		case <-n.done: // nothing can be renewed or handed on any more
			if grant != nil {
				grant.cancel()
				<-finished
			}
			return
		case <-shutdown:
			shutdown = nil
		case baton := <-finished:
			grant.cancel()
			if _, _, holds := holder.Holds(n.now()); holds {
				request := holder.Release(n.now(), n.successor(ctx, duty), baton)
				if ctx.Err() != nil { // before the release, which goes to the next lead then: this process may be gone by its end
					n.enqueue(func() { n.core.TransferLeadership() })
				}
				releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
				if _, err := n.Lease(releaseCtx, request.Op); err != nil && !errors.Is(err, errEnded) {
					n.opts.Log.Warn("a duty was not handed on, and rests until its time is over", "duty", duty, "error", err)
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
			grant.cancel() // and the work's end comes
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
				sendRequest(onlyRenewal(holder.Tick(now, false, 0))) // while its work ends
			}
			continue
		}
		free := view.failure == nil && (!known || state.Holder == "" && !state.Resting && !reservedForOther)
		acquireDelay := time.Duration(0)
		if !view.isLeader && state.To == "" { // whoever leads the group is nearest to it, and goes first
			acquireDelay = term/2 + time.Duration(rand.Int64N(int64(term)))
		}
		sendRequest(holder.Tick(now, free, acquireDelay))
	}
}

// successor is whom a duty goes to that is let go: whom operators named, or who leads the group, or
// is to lead it once this member has ended.
func (n *Node) successor(ctx context.Context, duty string) string {
	view := n.view()
	if to := view.duties[duty].To; to != "" {
		return to
	}
	if !view.isLeader {
		return view.leader
	}
	if ctx.Err() == nil {
		return "" // it goes on, and may have it again
	}
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	to, err := runInLoop(timeoutCtx, n, func() (string, error) { return n.core.transferTarget().Name, nil })
	if err != nil {
		return ""
	}
	return to
}

// renewal is a question if it is one for more time.
func onlyRenewal(request *lease.Request) *lease.Request {
	if request != nil && request.Op.Kind != lease.Renew {
		return nil
	}
	return request
}

// Write writes records that all members agree on, if the duty is still held. One that is not answered in time may yet be done: the
// next write waits for that first, and what it is given again is not written twice.
func (s *Grant) Write(records []journal.Record) error {
	if !s.IsValid() {
		return errors.New("the duty is not held any more")
	}
	ctx, cancel := context.WithTimeout(s, writeTimeout)
	defer cancel()
	for {
		if s.pending == nil {
			if len(records) == 0 {
				return nil
			}
			s.seq++
			s.pending = &writeCommand{s.duty, s.Epoch, s.seq, records}
		}
		result, err := s.node.execute(ctx, &command{Write: s.pending})
		if err != nil {
			return err
		}
		written := len(s.pending.Records)
		s.pending = nil
		if result.Refused != "" {
			return errors.New(result.Refused)
		}
		// Who could not write it comes again with it, and with what has been added.
		records = records[min(written, len(records)):]
	}
}

// Read calls a function with each record of a bucket.
func (s *Grant) Read(bucket string, f func(key string, value []byte) error) error {
	type record struct {
		key   string
		value []byte
	}
	all, err := runInLoop(s, s.node, func() (all []record, err error) {
		err = s.node.core.Read(bucket, func(key string, value []byte) error {
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
