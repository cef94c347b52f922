package consensus

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// A node whose disk fails is suspended. It is unknown which changes a failed sync has left on the
// disk, so the machine, which holds the unsaved state, is discarded: a suspended node does not
// vote, acknowledge or lead. Proposals and reads fail with ErrNoLeader, so that callers turn to
// another node, while the table keeps its state and stays readable. The store is closed and opened
// again with exponential backoff, and a new machine starts from what is then on the disk, as after
// a crash. The process keeps running, because after a restart it would find the same disk.

const (
	// Start waits this long for the store to open; after that the node starts suspended.
	startupOpenTimeout = time.Second
	diskCloseTimeout   = time.Second // for the disk to finish its work when the node stops
	// Delay between two attempts to open the store. It doubles each time, up to maxReopenBackoff.
	minReopenBackoff = 100 * time.Millisecond
	maxReopenBackoff = 2 * time.Second
	// The backoff starts over once the disk has worked this long.
	reopenBackoffResetTime = 10 * time.Second
)

// suspendedRole is the role of a node whose disk has failed.
const suspendedRole = "suspended"

// openResult is an opened store, or an error that retries can't fix.
type openResult struct {
	store *store
	state State
	err   error
}

// suspend discards the machine because of a disk error, and starts to reopen the store. A leader
// first asks the most up-to-date voter to campaign immediately. That message promises nothing, so
// it does not depend on the disk.
func (n *Node) suspend(reason error) {
	n.options.Log.WithError(reason).Warn("suspended")
	for _, m := range n.machine.resignationMessages() {
		n.options.Send(m)
	}
	n.failPendingCalls()
	for _, call := range n.leaveCalls {
		call.result <- callResult{}
	}
	n.leaveCalls = nil
	if time.Since(n.clockStart) >= reopenBackoffResetTime {
		n.reopenBackoff = minReopenBackoff
	}
	failedDisk := n.disk
	n.machine, n.disk = nil, nil
	n.openInProgress = true
	go n.reopenStore(failedDisk, n.reopenBackoff)
	n.reopenBackoff = min(2*n.reopenBackoff, maxReopenBackoff)
}

// resignationMessages returns the message by which a leader asks another voter to campaign, if
// there is one.
func (m *Machine) resignationMessages() []Message {
	if m.role != leader {
		return nil
	}
	target := m.transferTarget()
	if target == nil {
		return nil
	}
	return []Message{m.withSender(Message{Kind: TimeoutNow, To: target.member.Address, ToDisk: target.member.Disk})}
}

// reopenStore closes a failed store and opens it again. It retries until that succeeds, fails with
// an error that retries can't fix, or the node stops. A nil failedDisk means that the node is
// starting. It runs in its own goroutine because a disk may block for any time.
func (n *Node) reopenStore(failedDisk disk, backoff time.Duration) {
	if failedDisk == nil {
		backoff = 0
	}
	for {
		select {
		case <-n.stopping:
			n.openResults <- openResult{err: ErrClosed}
			return
		case <-time.After(backoff):
		}
		opened, err := n.closeAndOpenStore(failedDisk)
		if err == nil || isUnusable(err) || failedDisk == nil && isAccessDenied(err) {
			opened.err = err
			n.openResults <- opened
			return
		}
		backoff = min(max(2*backoff, minReopenBackoff), maxReopenBackoff)
		n.options.Log.WithError(err).WithField("again_in", backoff).Warn("the store can't be opened")
	}
}

// closeAndOpenStore closes a failed store, if there is one, and tries once to open it again.
func (n *Node) closeAndOpenStore(failedDisk disk) (openResult, error) {
	if failedDisk != nil {
		if err := failedDisk.close(); err != nil {
			return openResult{}, err
		}
	}
	o := n.options
	seeds := sortedUnique(o.Seeds)
	store, state, err := openStore(o.Dir, o.Self, o.FirstStart && slices.Contains(seeds, o.Self), seeds)
	return openResult{store: store, state: state}, err
}

// isAccessDenied reports whether an error shows that the node may not use its data folder. At
// startup that is a mistake in the settings, for the operator to correct; later it counts as a disk
// failure.
func isAccessDenied(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.ENOTDIR)
}

// resume creates a machine from a store that was opened.
func (n *Node) resume(opened openResult) error {
	n.openInProgress = false
	if opened.err != nil {
		return opened.err
	}
	if err := n.updateTable(&Output{Restore: opened.state.Snapshot}); err != nil {
		opened.store.close()
		return err
	}
	o, incarnation := n.options, randomNonzero()
	n.clockStart = time.Now()
	n.machine = New(Config{Self: o.Self, Seeds: sortedUnique(o.Seeds), Incarnation: incarnation, ReplaceAfter: o.ReplaceAfter, TargetVoters: o.TargetVoters, Zone: o.Zone,
		Rand: rand.New(rand.NewPCG(incarnation, randomNonzero())), State: opened.state, TableIndex: n.tableIndex})
	n.disk = opened.store
	if o.wrapDisk != nil {
		n.disk = o.wrapDisk(opened.store)
	}
	n.timer.Stop()
	n.timerPending = false
	return nil
}

// rejectRequest handles a request while the node is suspended: messages are dropped, calls fail
// with ErrNoLeader, and Leave completes at once.
func (n *Node) rejectRequest(r request) {
	switch r.kind {
	case proposeRequest, readRequest, backupRequest:
		r.call.result <- callResult{err: ErrNoLeader}
	case leaveRequest:
		r.call.result <- callResult{}
	}
}

// failPendingCalls fails the proposals and reads in flight, each with its unansweredErr.
func (n *Node) failPendingCalls() {
	for _, call := range n.pendingCalls {
		call.result <- callResult{err: call.unansweredErr}
	}
	clear(n.pendingCalls)
	clear(n.replies)
}

// closeDisk closes the store once the save in progress has completed. A disk that does not respond
// must not keep the process from exiting. The store is then left as after a crash.
func (n *Node) closeDisk() error {
	closed := make(chan error, 1)
	go func() {
		var err error
		if n.saveInProgress {
			err = (<-n.saveResults).err
		}
		if n.openInProgress {
			if opened := <-n.openResults; opened.store != nil {
				err = opened.store.close()
			}
		}
		if n.disk != nil {
			err = errors.Join(err, n.disk.close())
		}
		closed <- err
	}()
	select {
	case err := <-closed:
		return err
	case <-time.After(diskCloseTimeout):
		return oops.In("consensus").Errorf("the disk has not responded for %s; the node stops without closing the store", diskCloseTimeout)
	}
}

// unusableError reports a store that retries can't make usable: it is damaged, or belongs to
// another node.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

func unusable(format string, args ...any) error { return unusableError{oops.Errorf(format, args...)} }

func isUnusable(err error) bool { return errors.As(err, new(unusableError)) }
