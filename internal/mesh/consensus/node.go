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
	maxQueuedRequests  = 512 // messages and requests; a message that finds it full is lost
	maxConcurrentCalls = 256 // in flight at one node, of proposals and of reads each

	slowSyncThreshold   = time.Second            // a sync that takes longer is told of,
	normalSyncThreshold = 200 * time.Millisecond // and once more when one takes less
)

// request is what the node's goroutine is asked.
type request struct {
	kind    requestKind
	message *Message
	command []byte
	call    *pendingCall
}

type requestKind uint8

const (
	receiveRequest requestKind = iota
	proposeRequest
	readRequest
	cancelRequest
	leaveRequest
	backupRequest
)

// waiter is who waits for a request. Its number belongs to the node's goroutine.
type pendingCall struct {
	id            uint64
	unansweredErr error // what an end without an answer is
	result        chan callResult
}

type callResult struct {
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
	options                  Options
	requests                 chan request
	proposalSlots, readSlots chan struct{}
	status                   atomic.Pointer[Status]
	stopping                 chan struct{}
	stopped                  chan struct{}
	stopOnce                 sync.Once
	closeErr                 error

	// Of the goroutine alone.
	disk           disk     // nil while the node is suspended
	machine        *Machine // nil while the node is suspended
	tableIndex     uint64   // what the table holds, which stays when the machine is made anew
	backlogEnd     uint64   // up to where the table is applied before it is shown; 0: nothing is behind
	clockStart     time.Time
	lastCallID     uint64
	pendingCalls   map[uint64]*pendingCall
	replies        map[uint64][]byte
	leaveCalls     []*pendingCall
	timer          *time.Timer
	timerDeadline  time.Duration
	timerPending   bool
	syncCount      uint64
	longestSync    time.Duration
	diskIsSlow     bool
	saveInProgress bool
	saveJobs       chan saveJob // to the goroutine that writes; one is under way at most
	saveResults    chan saveResult
	openResults    chan openResult // from the goroutine that opens the store,
	openInProgress bool            // which is under way
	reopenBackoff  time.Duration   // before the store is opened again
}

// saveJob is a save and where it goes.
type saveJob struct {
	disk disk
	save *Save
}

// syncing is how a save went.
type saveResult struct {
	duration time.Duration
	err      error
}

// Start opens the store in o.Dir, and runs.
func Start(o Options) (*Node, error) {
	if o.Self == "" || o.Dir == "" || o.Table == nil || o.Send == nil || o.Log == nil {
		return nil, oops.In("consensus").Errorf("Self, Dir, Table, Send and Log have to be set")
	}
	if o.MinTimerInterval == 0 {
		o.MinTimerInterval = 50 * time.Millisecond
	}
	n := &Node{options: o, requests: make(chan request, maxQueuedRequests), proposalSlots: make(chan struct{}, maxConcurrentCalls),
		readSlots: make(chan struct{}, maxConcurrentCalls), stopping: make(chan struct{}), stopped: make(chan struct{}),
		saveJobs: make(chan saveJob, 1), saveResults: make(chan saveResult, 1), openResults: make(chan openResult, 1),
		pendingCalls: map[uint64]*pendingCall{}, replies: map[uint64][]byte{}, reopenBackoff: minReopenBackoff}
	n.status.Store(new(Status))
	n.timer = time.NewTimer(0)
	n.timerPending, n.openInProgress = true, true
	go n.reopenStore(nil, n.reopenBackoff)
	select {
	case opened := <-n.openResults:
		if err := n.resume(opened); err != nil {
			return nil, err
		}
	case <-time.After(startupOpenTimeout): // the disk is full or stalled
	}
	go n.run()
	go n.runWriter()
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
	case n.proposalSlots <- struct{}{}:
	default:
		return Result{}, ErrBusy
	}
	defer func() { <-n.proposalSlots }()
	return n.submit(ctx, request{kind: proposeRequest, command: command}, ErrUnknown)
}

// Read returns nil when the table here has applied all that was committed before the call.
func (n *Node) Read(ctx context.Context) error {
	select {
	case n.readSlots <- struct{}{}:
	default:
		return ErrBusy
	}
	defer func() { <-n.readSlots }()
	_, err := n.submit(ctx, request{kind: readRequest}, ErrNoLeader)
	return err
}

// ask queues a request and waits. An end without an answer is reported as late, by itself and with
// the context's error.
func (n *Node) submit(ctx context.Context, r request, late error) (Result, error) {
	r.call = &pendingCall{unansweredErr: late, result: make(chan callResult, 1)}
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
	case o := <-r.call.result:
		return o.result, o.err
	case <-n.stopped:
		select {
		case o := <-r.call.result:
			return o.result, o.err
		default:
			return Result{}, ErrClosed // never taken up
		}
	case <-ctx.Done():
	}
	select {
	case n.requests <- request{kind: cancelRequest, call: r.call}:
	case <-n.stopped:
	}
	return Result{}, fmt.Errorf("%w: %w", late, ctx.Err())
}

// Backup is the table as of now. It holds all that was committed before the call.
func (n *Node) Backup(ctx context.Context) (*Backup, error) {
	if err := n.Read(ctx); err != nil {
		return nil, err
	}
	w := &pendingCall{result: make(chan callResult, 1)}
	select {
	case n.requests <- request{kind: backupRequest, call: w}:
	default:
		return nil, ErrBusy
	}
	select {
	case o := <-w.result:
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
	w := &pendingCall{result: make(chan callResult, 1)}
	select {
	case n.requests <- request{kind: leaveRequest, call: w}:
	case <-ctx.Done():
		return
	case <-n.stopped:
		return
	}
	select {
	case <-w.result:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

// Done is closed when the node has ended, by Close or because its store can't be used.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Close stops the node, and tells what ended it if it had ended by itself. Proposals that are in
// flight end with ErrUnknown.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stopping) })
	<-n.stopped
	return n.closeErr
}

func (n *Node) run() {
	defer close(n.stopped)
	for behind, err := n.processOutput(); ; behind, err = n.processOutput() {
		if err != nil {
			n.shutDown(err)
			return
		}
		n.scheduleTimer()
		var next <-chan struct{}
		if behind {
			next = closedChannel
		}
		select {
		case <-next:
		case r := <-n.requests:
			n.updateClock()
			n.handleRequest(r)
		case s := <-n.saveResults:
			n.saveInProgress = false
			if s.err != nil {
				n.suspend(s.err)
				break
			}
			n.recordSync(s.duration)
			n.machine.SaveCompleted()
		case opened := <-n.openResults:
			if err := n.resume(opened); err != nil {
				n.shutDown(err)
				return
			}
		case <-n.timer.C:
			n.timerPending = false
		case <-n.stopping:
			n.shutDown(nil)
			return
		}
		// Before the timers: what has come tells that the leader is there.
		n.updateClock()
		for i := 0; i < maxQueuedRequests && len(n.requests) > 0; i++ {
			n.handleRequest(<-n.requests)
		}
		if n.machine != nil {
			n.machine.Advance(time.Since(n.clockStart))
		}
	}
}

// atOnce never blocks.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (n *Node) updateClock() {
	if n.machine != nil {
		n.machine.SetClock(time.Since(n.clockStart))
	}
}

// write is the goroutine that writes.
func (n *Node) runWriter() {
	for job := range n.saveJobs {
		began := time.Now()
		err := job.disk.save(job.save)
		n.saveResults <- saveResult{time.Since(began), err}
	}
}

func (n *Node) recordSync(took time.Duration) {
	n.syncCount++
	n.longestSync = max(n.longestSync, took)
	if !n.diskIsSlow && took >= slowSyncThreshold || n.diskIsSlow && took < normalSyncThreshold {
		n.diskIsSlow = !n.diskIsSlow
		n.options.Log.WithFields(log.Fields{"slow": n.diskIsSlow, "took": took}).Warn("disk")
	}
}

// arm sets the timer, unless it rings earlier anyway: the deadline moves on with each heartbeat,
// and to look once too often is cheaper than to move the timer with it.
func (n *Node) scheduleTimer() {
	if n.machine == nil {
		return
	}
	at := max(n.machine.Deadline(), time.Since(n.clockStart)+min(n.options.MinTimerInterval, heartbeatInterval))
	if n.timerPending && n.timerDeadline <= at {
		return
	}
	n.timerPending, n.timerDeadline = true, at
	n.timer.Reset(at - time.Since(n.clockStart))
}

func (n *Node) handleRequest(r request) {
	if n.machine == nil {
		n.rejectRequest(r)
		return
	}
	switch r.kind {
	case receiveRequest:
		n.machine.HandleMessage(*r.message)
	case cancelRequest:
		n.machine.Cancel(r.call.id)
		delete(n.pendingCalls, r.call.id)
	case backupRequest:
		if n.machine.appliedIndex < n.tableIndex {
			r.call.result <- callResult{err: ErrNoLeader}
			break
		}
		r.call.result <- callResult{snapshot: n.machine.snapshotAtApplied(n.options.Table.Snapshot())}
	case leaveRequest:
		n.leaveCalls = append(n.leaveCalls, r.call)
		n.machine.Leave()
	default:
		n.lastCallID++
		r.call.id = n.lastCallID
		n.pendingCalls[n.lastCallID] = r.call
		if r.kind == readRequest {
			n.machine.Read(n.lastCallID)
		} else {
			n.machine.Propose(n.lastCallID, r.command)
		}
	}
}

// leave answers those who wait until this node may end.
func (n *Node) completeLeaveCalls() {
	if len(n.leaveCalls) == 0 || !n.machine.HasLeft() {
		return
	}
	for _, w := range n.leaveCalls {
		w.result <- callResult{}
	}
	n.leaveCalls = nil
}

func (n *Node) publishStatus() {
	old := n.status.Load()
	s := Status{Role: suspendedRole, Applied: n.tableIndex, Members: old.Members, LeaderChanges: old.LeaderChanges}
	if n.machine != nil {
		s = n.machine.Status()
	}
	s.Syncs, s.LongestSync = n.syncCount, n.longestSync
	n.status.Store(&s)
	if s.ForeignMessages > 0 && old.ForeignMessages == 0 {
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
func (n *Node) shutDown(why error) {
	n.stopOnce.Do(func() { close(n.stopping) })
	n.failPendingCalls()
	for len(n.requests) > 0 {
		if r := <-n.requests; r.kind == proposeRequest || r.kind == readRequest {
			r.call.result <- callResult{err: ErrClosed}
		}
	}
	n.timer.Stop()
	close(n.saveJobs)
	if err := n.closeDisk(); err != nil { // the next start reads what is there, and writes it anew
		n.options.Log.WithError(err).Warn("disk")
	}
	if why != nil {
		n.closeErr = oops.In("consensus").Wrapf(why, "the node can't go on as a member")
	}
}
