package consensus

import (
	"context"
	"fmt"
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

	slowSync  = time.Second            // a sync that takes longer is told of,
	quickSync = 200 * time.Millisecond // and once more when one takes less
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
	backup
)

// waiter is who waits for a request. Its number belongs to the node's goroutine.
type waiter struct {
	id   uint64
	late error // what an end without an answer is
	done chan outcome
}

type outcome struct {
	result   Result
	err      error
	snapshot *Snapshot // of a backup
}

// Node runs a Machine over a store. One goroutine owns the machine and the table, and works through
// a queue of requests. Another one writes, so that a slow disk holds up promises and nothing else;
// what queues while it syncs goes into the next sync together. A disk that fails suspends the node
// until it works again: see reopen.go. A store that can't be used, because it is damaged or another
// node's, ends the node: Done is closed, and Close tells why.
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
	disk       disk     // nil while the node is suspended
	machine    *Machine // nil while the node is suspended
	tableAt    uint64   // what the table holds, which stays when the machine is made anew
	backlogEnd uint64   // up to where the table is applied before it is shown; 0: nothing is behind
	began      time.Time
	next       uint64
	waiters    map[uint64]*waiter
	replies    map[uint64][]byte
	leaving    []*waiter
	timer      *time.Timer
	armed      time.Duration
	ringing    bool
	syncs      uint64
	syncMost   time.Duration
	slow       bool
	saving     bool
	saves      chan saveJob // to the goroutine that writes; one is under way at most
	saved      chan syncing
	opened     chan opening  // from the goroutine that opens the store,
	opening    bool          // which is under way
	pause      time.Duration // before the store is opened again
}

// saveJob is a save and where it goes.
type saveJob struct {
	disk disk
	save *Save
}

// syncing is how a save went.
type syncing struct {
	took time.Duration
	err  error
}

// Start opens the store in o.Dir, and runs.
func Start(o Options) (*Node, error) {
	if o.Self == "" || o.Dir == "" || o.Table == nil || o.Send == nil || o.Log == nil {
		return nil, oops.In("consensus").Errorf("Self, Dir, Table, Send and Log have to be set")
	}
	if o.Tick == 0 {
		o.Tick = 50 * time.Millisecond
	}
	n := &Node{options: o, requests: make(chan request, mostQueued), proposals: make(chan struct{}, mostProposals),
		reads: make(chan struct{}, mostProposals), stopping: make(chan struct{}), stopped: make(chan struct{}),
		saves: make(chan saveJob, 1), saved: make(chan syncing, 1), opened: make(chan opening, 1),
		waiters: map[uint64]*waiter{}, replies: map[uint64][]byte{}, pause: firstPause}
	n.status.Store(new(Status))
	n.timer = time.NewTimer(0)
	n.ringing, n.opening = true, true
	go n.reopen(nil, n.pause)
	select {
	case opened := <-n.opened:
		if err := n.resume(opened); err != nil {
			return nil, err
		}
	case <-time.After(openWait): // the disk is full or stalled
	}
	go n.run()
	go n.write()
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

// Backup is the table as of now. It holds all that was committed before the call.
func (n *Node) Backup(ctx context.Context) (*Backup, error) {
	if err := n.Read(ctx); err != nil {
		return nil, err
	}
	w := &waiter{done: make(chan outcome, 1)}
	select {
	case n.requests <- request{kind: backup, waiter: w}:
	default:
		return nil, ErrBusy
	}
	select {
	case o := <-w.done:
		if o.err != nil {
			return nil, o.err
		}
		return &Backup{Format: backupFormat, By: n.options.Self, Current: true, Snapshot: o.snapshot}, nil
	case <-n.stopped:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoLeader, ctx.Err())
	}
}

// Status is how the node stands.
func (n *Node) Status() Status { return *n.status.Load() }

// Leave has a learner take this node's vote where one stands by, hands over leadership, and returns
// when the node may end: after three seconds at most.
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

// Done is closed when the node has ended, by Close or because its store can't be used.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Close stops the node, and tells what ended it if it had ended by itself. Proposals that are in
// flight end with ErrUnknown.
func (n *Node) Close() error {
	n.stop.Do(func() { close(n.stopping) })
	<-n.stopped
	return n.closed
}

func (n *Node) run() {
	defer close(n.stopped)
	for behind, err := n.settle(); ; behind, err = n.settle() {
		if err != nil {
			n.end(err)
			return
		}
		n.arm()
		var next <-chan struct{}
		if behind {
			next = atOnce
		}
		select {
		case <-next:
		case r := <-n.requests:
			n.clock()
			n.handle(r)
		case s := <-n.saved:
			n.saving = false
			if s.err != nil {
				n.suspend(s.err)
				break
			}
			n.noteSync(s.took)
			n.machine.SaveCompleted()
		case opened := <-n.opened:
			if err := n.resume(opened); err != nil {
				n.end(err)
				return
			}
		case <-n.timer.C:
			n.ringing = false
		case <-n.stopping:
			n.end(nil)
			return
		}
		// Before the timers: what has come tells that the leader is there.
		n.clock()
		for i := 0; i < mostQueued && len(n.requests) > 0; i++ {
			n.handle(<-n.requests)
		}
		if n.machine != nil {
			n.machine.Advance(time.Since(n.began))
		}
	}
}

// atOnce never blocks.
var atOnce = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (n *Node) clock() {
	if n.machine != nil {
		n.machine.SetClock(time.Since(n.began))
	}
}

// write is the goroutine that writes.
func (n *Node) write() {
	for job := range n.saves {
		began := time.Now()
		err := job.disk.save(job.save)
		n.saved <- syncing{time.Since(began), err}
	}
}

func (n *Node) noteSync(took time.Duration) {
	n.syncs++
	n.syncMost = max(n.syncMost, took)
	if !n.slow && took >= slowSync || n.slow && took < quickSync {
		n.slow = !n.slow
		n.options.Log.WithFields(log.Fields{"slow": n.slow, "took": took}).Warn("disk")
	}
}

// arm sets the timer, unless it rings earlier anyway: the deadline moves on with each heartbeat,
// and to look once too often is cheaper than to move the timer with it.
func (n *Node) arm() {
	if n.machine == nil {
		return
	}
	at := max(n.machine.Deadline(), time.Since(n.began)+min(n.options.Tick, heartbeatInterval))
	if n.ringing && n.armed <= at {
		return
	}
	n.ringing, n.armed = true, at
	n.timer.Reset(at - time.Since(n.began))
}

func (n *Node) handle(r request) {
	if n.machine == nil {
		n.turnAway(r)
		return
	}
	switch r.kind {
	case step:
		n.machine.HandleMessage(*r.message)
	case cancel:
		n.machine.Cancel(r.waiter.id)
		delete(n.waiters, r.waiter.id)
	case backup:
		if n.machine.appliedIndex < n.tableAt {
			r.waiter.done <- outcome{err: ErrNoLeader}
			break
		}
		r.waiter.done <- outcome{snapshot: n.machine.snapshotAtApplied(n.options.Table.Snapshot())}
	case leave:
		n.leaving = append(n.leaving, r.waiter)
		n.machine.Leave()
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

// leave answers those who wait until this node may end.
func (n *Node) leave() {
	if len(n.leaving) == 0 || !n.machine.HasLeft() {
		return
	}
	for _, w := range n.leaving {
		w.done <- outcome{}
	}
	n.leaving = nil
}

func (n *Node) report() {
	old := n.status.Load()
	s := Status{Role: suspended, Applied: n.tableAt, Members: old.Members, LeaderChanges: old.LeaderChanges}
	if n.machine != nil {
		s = n.machine.Status()
	}
	s.Syncs, s.SyncMax = n.syncs, n.syncMost
	n.status.Store(&s)
	if s.Foreign > 0 && old.Foreign == 0 {
		n.options.Log.Warn("another mesh speaks to this one: where one was founded from a backup, a node of before runs on")
	}
	if s.Role == old.Role && s.Leader == old.Leader && slices.Equal(s.Members, old.Members) &&
		slices.Equal(s.Learners, old.Learners) && slices.Equal(s.Outgoing, old.Outgoing) {
		return
	}
	n.options.Log.WithFields(log.Fields{"role": s.Role, "leader": s.Leader, "term": s.Term, "members": s.Members,
		"learners": s.Learners, "outgoing": s.Outgoing}).Info("agreement")
	if n.options.OnChange != nil {
		n.options.OnChange(s)
	}
}

// end answers who still waits, and says why the node ends if nobody asked for it.
func (n *Node) end(why error) {
	n.stop.Do(func() { close(n.stopping) })
	n.failWaiters()
	for len(n.requests) > 0 {
		if r := <-n.requests; r.kind == propose || r.kind == confirm {
			r.waiter.done <- outcome{err: ErrClosed}
		}
	}
	n.timer.Stop()
	close(n.saves)
	if err := n.closeDisk(); err != nil { // the next start reads what is there, and writes it anew
		n.options.Log.WithError(err).Warn("disk")
	}
	if why != nil {
		n.closed = oops.In("consensus").Wrapf(why, "the node can't go on as a member")
	}
}
