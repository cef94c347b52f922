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
	maxQueuedRequests  = 512 // messages and calls; messages beyond this are dropped
	maxConcurrentCalls = 256 // proposals, and as many reads, in flight at one node

	// A sync that takes slowSyncThreshold or longer is logged, and so is the first one after it
	// that takes less than normalSyncThreshold.
	slowSyncThreshold   = time.Second
	normalSyncThreshold = 200 * time.Millisecond
)

// request is a message or a call that is queued for the node's goroutine.
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

// pendingCall is a call that waits for its result.
type pendingCall struct {
	id            uint64          // used only by the node's goroutine
	unansweredErr error           // returned if the call is abandoned before it has a result
	result        chan callResult // buffered, so that the node's goroutine never blocks on it
}

// callResult is the result of a pendingCall.
type callResult struct {
	result   Result
	err      error
	snapshot *Snapshot // of a backupRequest
}

// Node runs a Machine on top of a store. One goroutine owns the machine and the table, and
// processes a queue of requests. Another goroutine writes to the store, so that a slow disk delays
// only the messages that depend on a sync. Changes that accumulate during a sync are written
// together by the next one.
//
// If the disk fails, the node is suspended until the disk works again: see reopen.go. If the store
// is unusable, because it is damaged or belongs to another node, the node stops: Done is closed,
// and Close returns the reason.
type Node struct {
	options                  Options
	requests                 chan request
	proposalSlots, readSlots chan struct{} // semaphores of maxConcurrentCalls
	status                   atomic.Pointer[Status]
	stopping                 chan struct{} // closed to stop the node
	stopped                  chan struct{} // closed once the node has stopped
	stopOnce                 sync.Once
	closeErr                 error // why the node stopped on its own; set before stopped is closed

	// The fields below are used only by the node's goroutine.
	disk           disk      // nil while the node is suspended
	machine        *Machine  // nil while the node is suspended
	tableIndex     uint64    // last index in the table, also while suspended
	backlogEnd     uint64    // publish the table after this index; 0: no backlog
	clockStart     time.Time // the machine's clock counts from here
	lastCallID     uint64
	pendingCalls   map[uint64]*pendingCall // proposals and reads, by their ID
	replies        map[uint64][]byte       // of the table, by the ID of the proposal
	leaveCalls     []*pendingCall
	timer          *time.Timer
	timerDeadline  time.Duration // when the timer fires, by the machine's clock
	timerPending   bool          // the timer is set and has not fired
	syncCount      uint64
	longestSync    time.Duration
	diskIsSlow     bool // the last sync that was logged was slow
	saveInProgress bool
	saveJobs       chan saveJob // to the goroutine that writes; at most one is in progress
	saveResults    chan saveResult
	openResults    chan openResult // from the goroutine that opens the store
	openInProgress bool
	reopenBackoff  time.Duration // delay before the store is opened again
}

// saveJob is a save and the disk it goes to.
type saveJob struct {
	disk disk
	save *Save
}

// saveResult is the result of a save.
type saveResult struct {
	duration time.Duration
	err      error
}

// Start opens or creates the store in o.Dir and starts the node. It fails if the store is unusable
// or may not be accessed. If the disk is full or does not respond in time, the node starts
// suspended.
func Start(o Options) (*Node, error) {
	if o.Self == "" || o.Dir == "" || o.Table == nil || o.Send == nil || o.Log == nil {
		return nil, oops.In("consensus").Errorf("options Self, Dir, Table, Send and Log are required")
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
	case <-time.After(startupOpenTimeout): // the disk is full or does not respond
	}
	go n.run()
	go n.runWriter()
	return n, nil
}

// Receive processes a message from another node. It does not block, and drops the message if the
// queue is full.
func (n *Node) Receive(m Message) {
	select {
	case n.requests <- request{message: &m}:
	default:
	}
}

// Propose appends a command to the log through the leader, and waits until it is applied at this
// node.
func (n *Node) Propose(ctx context.Context, command []byte) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrAbandoned, err)
	}
	select {
	case n.proposalSlots <- struct{}{}:
	default:
		return Result{}, ErrBusy
	}
	defer func() { <-n.proposalSlots }()
	return n.submit(ctx, request{kind: proposeRequest, command: command}, ErrUnknown)
}

// Read waits until the local table has applied everything that was committed before the call.
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

// submit queues a request and waits for its result. If the context ends first, the error wraps
// unansweredErr and the context's error. If the node is suspended or stopped while the call is in
// flight, the error is unansweredErr.
func (n *Node) submit(ctx context.Context, r request, unansweredErr error) (Result, error) {
	r.call = &pendingCall{unansweredErr: unansweredErr, result: make(chan callResult, 1)}
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
			return Result{}, ErrClosed // it was never processed
		}
	case <-ctx.Done():
	}
	select {
	case n.requests <- request{kind: cancelRequest, call: r.call}:
	case <-n.stopped:
	}
	return Result{}, fmt.Errorf("%w: %w", unansweredErr, ctx.Err())
}

// Backup returns a backup of the current table. It contains everything that was committed before
// the call.
func (n *Node) Backup(ctx context.Context) (*Backup, error) {
	if err := n.Read(ctx); err != nil {
		return nil, err
	}
	call := &pendingCall{result: make(chan callResult, 1)}
	select {
	case n.requests <- request{kind: backupRequest, call: call}:
	default:
		return nil, ErrBusy
	}
	select {
	case o := <-call.result:
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

// Status returns the current state of the node.
func (n *Node) Status() Status { return *n.status.Load() }

// Leave hands over this node's vote, if a learner can take it, and its leadership. It returns when
// the node may be closed, which takes up to leaveTimeout, or when the context ends.
func (n *Node) Leave(ctx context.Context) {
	call := &pendingCall{result: make(chan callResult, 1)}
	select {
	case n.requests <- request{kind: leaveRequest, call: call}:
	case <-ctx.Done():
		return
	case <-n.stopped:
		return
	}
	select {
	case <-call.result:
	case <-ctx.Done():
	case <-n.stopped:
	}
}

// Done returns a channel that is closed when the node has stopped, by Close or because its store is
// unusable.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Close stops the node. If the node had stopped on its own, it returns the reason. Proposals in
// flight fail with ErrUnknown.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stopping) })
	<-n.stopped
	return n.closeErr
}

// run is the main loop of the node's goroutine.
func (n *Node) run() {
	defer close(n.stopped)
	for moreToApply, err := n.processOutput(); ; moreToApply, err = n.processOutput() {
		if err != nil {
			n.shutDown(err)
			return
		}
		n.scheduleTimer()
		var applyNext <-chan struct{}
		if moreToApply {
			applyNext = closedChannel
		}
		select {
		case <-applyNext:
		case r := <-n.requests:
			n.updateClock()
			n.handleRequest(r)
		case saved := <-n.saveResults:
			n.saveInProgress = false
			if saved.err != nil {
				n.suspend(saved.err)
				break
			}
			n.recordSync(saved.duration)
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
		// Queued requests are processed before timers, because they may contain a message that
		// shows that the leader is alive.
		n.updateClock()
		for i := 0; i < maxQueuedRequests && len(n.requests) > 0; i++ {
			n.handleRequest(<-n.requests)
		}
		if n.machine != nil {
			n.machine.Advance(time.Since(n.clockStart))
		}
	}
}

// closedChannel is always ready to receive from.
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

// runWriter writes the saves that the node's goroutine requests, until saveJobs is closed.
func (n *Node) runWriter() {
	for job := range n.saveJobs {
		startedAt := time.Now()
		err := job.disk.save(job.save)
		n.saveResults <- saveResult{time.Since(startedAt), err}
	}
}

// recordSync records the duration of a sync, and logs when the disk becomes slow or normal again.
func (n *Node) recordSync(duration time.Duration) {
	n.syncCount++
	n.longestSync = max(n.longestSync, duration)
	if !n.diskIsSlow && duration >= slowSyncThreshold || n.diskIsSlow && duration < normalSyncThreshold {
		n.diskIsSlow = !n.diskIsSlow
		n.options.Log.WithFields(log.Fields{"slow": n.diskIsSlow, "took": duration}).Warn("disk")
	}
}

// scheduleTimer sets the timer to the machine's deadline, unless it fires earlier anyway. Each
// heartbeat postpones the deadline, and an unnecessary wakeup is cheaper than resetting the timer
// each time.
func (n *Node) scheduleTimer() {
	if n.machine == nil {
		return
	}
	deadline := max(n.machine.Deadline(), time.Since(n.clockStart)+min(n.options.MinTimerInterval, heartbeatInterval))
	if n.timerPending && n.timerDeadline <= deadline {
		return
	}
	n.timerPending, n.timerDeadline = true, deadline
	n.timer.Reset(deadline - time.Since(n.clockStart))
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

// completeLeaveCalls completes the calls of Leave once this node may be closed.
func (n *Node) completeLeaveCalls() {
	if len(n.leaveCalls) == 0 || !n.machine.HasLeft() {
		return
	}
	for _, call := range n.leaveCalls {
		call.result <- callResult{}
	}
	n.leaveCalls = nil
}

// publishStatus updates the status. If the role, the leader or the members have changed, it logs
// that and calls OnChange.
func (n *Node) publishStatus() {
	previous := n.status.Load()
	current := Status{Role: suspendedRole, Applied: n.tableIndex, Members: previous.Members, LeaderChanges: previous.LeaderChanges}
	if n.machine != nil {
		current = n.machine.Status()
	}
	current.Syncs, current.LongestSync = n.syncCount, n.longestSync
	n.status.Store(&current)
	if current.ForeignMessages > 0 && previous.ForeignMessages == 0 {
		n.options.Log.Warn("received messages of another mesh: after a mesh was founded from a backup, a node of the previous mesh is still running")
	}
	if current.Role == previous.Role && current.Leader == previous.Leader && slices.Equal(current.Members, previous.Members) &&
		slices.Equal(current.Learners, previous.Learners) && slices.Equal(current.Outgoing, previous.Outgoing) {
		return
	}
	n.options.Log.WithFields(log.Fields{"role": current.Role, "leader": current.Leader, "term": current.Term, "members": current.Members,
		"learners": current.Learners, "outgoing": current.Outgoing}).Info("agreement")
	if n.options.OnChange != nil {
		n.options.OnChange(current)
	}
}

// shutDown fails all calls in flight and closes the store. The reason is nil if Close was called.
func (n *Node) shutDown(reason error) {
	n.stopOnce.Do(func() { close(n.stopping) })
	n.failPendingCalls()
	for len(n.requests) > 0 {
		if r := <-n.requests; r.kind == proposeRequest || r.kind == readRequest {
			r.call.result <- callResult{err: ErrClosed}
		}
	}
	n.timer.Stop()
	close(n.saveJobs)
	if err := n.closeDisk(); err != nil { // the next start checks the whole store, as after a crash
		n.options.Log.WithError(err).Warn("disk")
	}
	if reason != nil {
		n.closeErr = oops.In("consensus").Wrapf(reason, "the node has stopped")
	}
}
