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

	stop  context.CancelFunc
	until atomic.Int64
	node  *Node
	duty  string
	seq   uint64
	open  *write // that the group has not answered
}

// May says whether the duty is still held at this moment. What is done after it carries the epoch all the same.
func (s *Grant) IsValid() bool { return s.Err() == nil && s.node.now() < time.Duration(s.until.Load()) }

// Hold goes for a duty until the context ends. Each time that it is granted work is called, in whose time nobody else holds it;
// it is to return soon after its context has ended, with what it leaves to the next holder. A planned end hands the duty on before
// its time is over.
func (n *Node) Hold(ctx context.Context, duty string, term time.Duration, work func(*Grant) (baton []byte)) {
	h := &lease.Holder{Duty: duty, Name: fmt.Sprintf("%s/%x", n.opts.Name, rand.Uint64()), Term: term}
	var scope *Grant
	var ended chan []byte
	answers := make(chan func(), 4)
	ask := func(q *lease.Request) {
		if q == nil {
			return
		}
		go func() {
			// Not the context that ends: a duty is let go then.
			within, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
			defer cancel()
			a, err := n.Lease(within, q.Op)
			if err != nil {
				return // in time it is asked again
			}
			select {
			case answers <- func() { h.HandleAnswer(n.now(), q.Number, a) }:
			case <-n.done:
			}
		}()
	}
	clock := time.NewTicker(term / 20)
	defer clock.Stop()
	leaving := ctx.Done()
	for {
		select {
		case f := <-answers:
			f()
		case <-clock.C:
		case <-n.done: // nothing can be renewed or handed on any more
			if scope != nil {
				scope.stop()
				<-ended
			}
			return
		case <-leaving:
			leaving = nil
		case baton := <-ended:
			scope.stop()
			if _, _, holds := h.Holds(n.now()); holds {
				q := h.Release(n.now(), n.successor(ctx, duty), baton)
				if ctx.Err() != nil { // before the release, which goes to the next lead then: this process may be gone by its end
					n.happened(func() { n.core.TransferLeadership() })
				}
				within, cancel := context.WithTimeout(context.WithoutCancel(ctx), term)
				if _, err := n.Lease(within, q.Op); err != nil && !errors.Is(err, errEnded) {
					n.opts.Log.Warn("a duty was not handed on, and rests until its time is over", "duty", duty, "error", err)
				}
				cancel()
			}
			scope, ended = nil, nil
			n.own.Delete(duty)
		}
		t := n.now()
		epoch, until, holds := h.Holds(t)
		over := ctx.Err() != nil
		v := n.view()
		d, known := v.duties[duty]
		elsewhere := d.To != "" && d.To != n.opts.Name
		switch {
		case scope != nil && (!holds || epoch != scope.Epoch || over || elsewhere || h.ReleaseReason() != ""):
			scope.stop() // and the work's end comes
		case scope != nil:
			scope.until.Store(int64(until))
			n.own.Store(duty, until)
		case holds && !over:
			scope = &Grant{Epoch: epoch, Baton: h.Baton(), node: n, duty: duty}
			scope.until.Store(int64(until))
			scope.Context, scope.stop = context.WithCancel(context.WithoutCancel(ctx))
			ended = make(chan []byte, 1)
			n.opts.Log.Info("holding", "duty", duty, "epoch", epoch)
			go func(s *Grant, ended chan<- []byte) {
				baton := work(s)
				n.opts.Log.Info("no longer holding", "duty", duty, "epoch", s.Epoch)
				ended <- baton
			}(scope, ended)
		case over:
			return
		}
		if over {
			if _, _, holds := h.Holds(n.now()); !holds && scope == nil {
				return
			}
			if scope != nil && holds {
				ask(renewal(h.Tick(t, false, 0))) // while its work ends
			}
			continue
		}
		free := v.wrong == nil && (!known || d.Holder == "" && !d.Resting && !elsewhere)
		patience := time.Duration(0)
		if !v.leads && d.To == "" { // whoever leads the group is nearest to it, and goes first
			patience = term/2 + time.Duration(rand.Int64N(int64(term)))
		}
		ask(h.Tick(t, free, patience))
	}
}

// successor is whom a duty goes to that is let go: whom operators named, or who leads the group, or
// is to lead it once this member has ended.
func (n *Node) successor(ctx context.Context, duty string) string {
	v := n.view()
	if to := v.duties[duty].To; to != "" {
		return to
	}
	if !v.leads {
		return v.lead
	}
	if ctx.Err() == nil {
		return "" // it goes on, and may have it again
	}
	soon, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	to, err := within(soon, n, func() (string, error) { return n.core.heir().Name, nil })
	if err != nil {
		return ""
	}
	return to
}

// renewal is a question if it is one for more time.
func renewal(q *lease.Request) *lease.Request {
	if q != nil && q.Op.Kind != lease.Renew {
		return nil
	}
	return q
}

// Write writes records that all members agree on, if the duty is still held. One that is not answered in time may yet be done: the
// next write waits for that first, and what it is given again is not written twice.
func (s *Grant) Write(records []journal.Record) error {
	if !s.IsValid() {
		return errors.New("the duty is not held any more")
	}
	ctx, cancel := context.WithTimeout(s, writeIn)
	defer cancel()
	for {
		if s.open == nil {
			if len(records) == 0 {
				return nil
			}
			s.seq++
			s.open = &write{s.duty, s.Epoch, s.seq, records}
		}
		r, err := s.node.do(ctx, &command{Write: s.open})
		if err != nil {
			return err
		}
		done := len(s.open.Records)
		s.open = nil
		if r.Refused != "" {
			return errors.New(r.Refused)
		}
		// Who could not write it comes again with it, and with what has been added.
		records = records[min(done, len(records)):]
	}
}

// Read calls a function with each record of a bucket.
func (s *Grant) Read(bucket string, f func(key string, value []byte) error) error {
	type record struct {
		key   string
		value []byte
	}
	all, err := within(s, s.node, func() (all []record, err error) {
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
