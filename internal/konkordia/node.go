package konkordia

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

const (
	mostQueued    = 512 // messages and requests; a message that finds it full is lost
	mostProposals = 256 // in flight at one node, of proposals and of reads each
)

// request is what the node's goroutine is asked.
type request struct {
	kind    requestKind
	message *Message
	command []byte
	waiter  *waiter
}

type requestKind uint8

const (
	step requestKind = iota
	propose
	confirm
	cancel
	leave
)

// waiter is who waits for a request. Its number belongs to the node's goroutine.
type waiter struct {
	id   uint64
	late error // what an end without an answer is
	done chan outcome
}

type outcome struct {
	result Result
	err    error
}

// Node runs a Machine over a store. One goroutine owns both and the table; it works through a queue
// of requests, and what queues while it syncs goes into the next sync together.
type Node struct {
	options          Options
	requests         chan request
	proposals, reads chan struct{}
	status           atomic.Pointer[Status]
	stopping         chan struct{}
	stopped          chan struct{}
	stop             sync.Once
	closed           error

	// Of the goroutine alone.
	store    *store
	machine  *Machine
	begin    time.Time
	next     uint64
	waiters  map[uint64]*waiter
	replies  map[uint64][]byte
	leaving  []*waiter
	timer    *time.Timer
	armed    time.Duration
	ringing  bool
	syncs    uint64
	syncMost time.Duration
}

// Start opens the store in o.Dir, and runs.
func Start(o Options) (*Node, error) {
	if o.Self == "" || o.Dir == "" || o.Table == nil || o.Send == nil || o.Log == nil {
		return nil, oops.In("konkordia").Errorf("Self, Dir, Table, Send and Log have to be set")
	}
	if o.Tick == 0 {
		o.Tick = 50 * time.Millisecond
	}
	seeds := sorted(o.Seeds)
	founder := o.FirstStart && slices.Contains(seeds, o.Self)
	store, state, err := openStore(o.Dir, founder, seeds)
	if err != nil {
		return nil, err
	}
	if s := state.Snapshot; s != nil {
		if err := o.Table.Restore(s.Index, s.Data); err != nil {
			store.close()
			return nil, oops.In("konkordia").Wrapf(err, "restoring the table as of %d", s.Index)
		}
	}
	life := randomNumber()
	n := &Node{options: o, requests: make(chan request, mostQueued), proposals: make(chan struct{}, mostProposals),
		reads: make(chan struct{}, mostProposals), stopping: make(chan struct{}), stopped: make(chan struct{}),
		store: store, begin: time.Now(), waiters: map[uint64]*waiter{}, replies: map[uint64][]byte{}}
	n.machine = New(Config{Self: o.Self, Seeds: seeds, Life: life, Replace: o.Replace,
		Rand: rand.New(rand.NewPCG(life, randomNumber())), State: state})
	n.status.Store(new(Status))
	n.timer = time.NewTimer(0)
	n.ringing = true
	go n.run()
	return n, nil
}

// Receive takes a message from the transport. It is lost if too many wait.
func (n *Node) Receive(m Message) {
	select {
	case n.requests <- request{message: &m}:
	default:
	}
}

// Propose has a command appended, by the leader wherever it is, and waits until it is applied here.
func (n *Node) Propose(ctx context.Context, command []byte) (Result, error) {
	select {
	case n.proposals <- struct{}{}:
	default:
		return Result{}, ErrBusy
	}
	defer func() { <-n.proposals }()
	return n.ask(ctx, request{kind: propose, command: command}, ErrUnknown)
}

// Read returns nil when the table here has applied all that was committed before the call.
func (n *Node) Read(ctx context.Context) error {
	select {
	case n.reads <- struct{}{}:
	default:
		return ErrBusy
	}
	defer func() { <-n.reads }()
	_, err := n.ask(ctx, request{kind: confirm}, ErrNoLeader)
	return err
}

// ask queues a request and waits. An end without an answer is reported as late, by itself and with
// the context's error.
func (n *Node) ask(ctx context.Context, r request, late error) (Result, error) {
	r.waiter = &waiter{late: late, done: make(chan outcome, 1)}
	select {
	case <-n.stopping:
		return Result{}, ErrClosed
	default:
	}
	select {
	case n.requests <- r:
	default:
		return Result{}, ErrBusy
	}
	select {
	case o := <-r.waiter.done:
		return o.result, o.err
	case <-n.stopped:
		select {
		case o := <-r.waiter.done:
			return o.result, o.err
		default:
			return Result{}, ErrClosed // never taken up
		}
	case <-ctx.Done():
	}
	select {
	case n.requests <- request{kind: cancel, waiter: r.waiter}:
	case <-n.stopped:
	}
	return Result{}, fmt.Errorf("%w: %w", late, ctx.Err())
}

// Status is how the node stands.
func (n *Node) Status() Status { return *n.status.Load() }

// Leave hands leadership over if this node holds it.
func (n *Node) Leave(ctx context.Context) {
	w := &waiter{done: make(chan outcome, 1)}
	select {
	case n.requests <- request{kind: leave, waiter: w}:
	case <-ctx.Done():
		return
	case <-n.stopped:
		return
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

// Close stops the node. Proposals that are in flight end with ErrUnknown.
func (n *Node) Close() error {
	n.stop.Do(func() { close(n.stopping) })
	<-n.stopped
	return n.closed
}

func (n *Node) run() {
	defer close(n.stopped)
	for {
		n.settle()
		n.arm()
		select {
		case r := <-n.requests:
			n.machine.Clock(time.Since(n.begin))
			n.handle(r)
			for i := 0; i < mostQueued && len(n.requests) > 0; i++ {
				n.handle(<-n.requests)
			}
		case <-n.timer.C:
			n.ringing = false
		case <-n.stopping:
			n.end()
			return
		}
		n.machine.Advance(time.Since(n.begin))
	}
}

// arm sets the timer, unless it rings earlier anyway: the deadline moves on with each heartbeat,
// and to look once too often is cheaper than to move the timer with it.
func (n *Node) arm() {
	at := max(n.machine.Deadline(), time.Since(n.begin)+min(n.options.Tick, heartbeat))
	if n.ringing && n.armed <= at {
		return
	}
	n.ringing, n.armed = true, at
	n.timer.Reset(at - time.Since(n.begin))
}

func (n *Node) handle(r request) {
	switch r.kind {
	case step:
		n.machine.Step(*r.message)
	case cancel:
		n.machine.Cancel(r.waiter.id)
		delete(n.waiters, r.waiter.id)
	case leave:
		n.leaving = append(n.leaving, r.waiter)
	default:
		n.next++
		r.waiter.id = n.next
		n.waiters[n.next] = r.waiter
		if r.kind == confirm {
			n.machine.Read(n.next)
		} else {
			n.machine.Propose(n.next, r.command)
		}
	}
}

// settle carries out what the machine wants until it wants no more.
func (n *Node) settle() {
	n.leave()
	for o := n.machine.Take(); !o.Empty(); o = n.machine.Take() {
		for _, m := range o.Send {
			n.options.Send(m)
		}
		if s := o.Restore; s != nil {
			if err := n.options.Table.Restore(s.Index, s.Data); err != nil {
				panic(fmt.Sprintf("konkordia: the table can't take the leader's snapshot as of %d: %v", s.Index, err))
			}
		}
		for _, e := range o.Apply {
			if e.Origin == 0 {
				continue
			}
			reply := n.options.Table.Apply(e.Index, e.Command)
			if e.Origin == n.machine.life && n.waiters[e.ID] != nil {
				n.replies[e.ID] = reply
			}
		}
		for _, d := range o.Done {
			if w := n.waiters[d.ID]; w != nil {
				w.done <- outcome{Result{d.Index, n.replies[d.ID]}, d.Err}
				delete(n.waiters, d.ID)
			}
		}
		clear(n.replies)
		if o.Compact {
			n.machine.Compact(n.options.Table.Snapshot())
		}
		if o.Save != nil {
			began := time.Now()
			if err := n.store.save(o.Save); err != nil {
				// What a failed sync left on the disk is unknown, so nothing may be promised from
				// here on.
				panic(fmt.Sprintf("konkordia: the store can't be written: %v", err))
			}
			n.syncs++
			n.syncMost = max(n.syncMost, time.Since(began))
			n.machine.Saved()
		}
	}
	n.leave()
	n.report()
}

// leave hands leadership over while somebody wants that.
func (n *Node) leave() {
	if len(n.leaving) == 0 {
		return
	}
	if n.machine.role == leader && (n.machine.moving != nil || n.machine.HandOver()) {
		return
	}
	for _, w := range n.leaving {
		w.done <- outcome{}
	}
	n.leaving = nil
}

func (n *Node) report() {
	s := n.machine.Status()
	s.Syncs, s.SyncMax = n.syncs, n.syncMost
	old := n.status.Swap(&s)
	if s.Role == old.Role && s.Leader == old.Leader && slices.Equal(s.Members, old.Members) &&
		slices.Equal(s.Learners, old.Learners) {
		return
	}
	n.options.Log.WithFields(log.Fields{"role": s.Role, "leader": s.Leader, "term": s.Term, "members": s.Members,
		"learners": s.Learners}).Info("agreement")
	if n.options.OnChange != nil {
		n.options.OnChange(s)
	}
}

// end answers who still waits.
func (n *Node) end() {
	for _, w := range n.waiters {
		w.done <- outcome{err: w.late}
	}
	for len(n.requests) > 0 {
		if r := <-n.requests; r.kind == propose || r.kind == confirm {
			r.waiter.done <- outcome{err: ErrClosed}
		}
	}
	n.timer.Stop()
	if err := n.store.close(); err != nil {
		n.closed = oops.In("konkordia").Wrapf(err, "closing the store")
	}
}
