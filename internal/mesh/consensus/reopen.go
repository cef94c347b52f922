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

// A node whose disk fails is suspended. What a failed sync left on the disk is unknown, so the
// machine, which holds what it meant to save, is given up: it votes for nobody, acknowledges
// nothing and leads nobody. Those who ask the node are told that there is no leader, and go to
// another; its table stays as it is, and is shown. The store is closed and opened again, with
// pauses that grow, and a machine is made of what is then really on the disk, as after a crash. The
// process goes on all the while: were it to end, it would only start into the same disk.

const (
	startupOpenTimeout     = time.Second            // for the store at the start, before the node starts suspended
	diskCloseTimeout       = time.Second            // for a save under way when the node ends
	minReopenBackoff       = 100 * time.Millisecond // between two attempts to open the store; twice as long each
	maxReopenBackoff       = 2 * time.Second        // time, up to this
	reopenBackoffResetTime = 10 * time.Second       // a disk that worked for so long is sound again
)

// suspended is the role of a node without a disk.
const suspendedRole = "suspended"

// opening is how the store was opened. An error is one that no further attempt can mend.
type openResult struct {
	store *store
	state State
	err   error
}

// suspend gives the machine up because of an error of the disk, and has the store opened again. A
// leader has the voter that has most campaign at once: that promises nothing.
func (n *Node) suspend(why error) {
	n.options.Log.WithError(why).Warn("suspended")
	for _, m := range n.machine.resignationMessages() {
		n.options.Send(m)
	}
	n.failPendingCalls()
	for _, w := range n.leaveCalls {
		w.result <- callResult{}
	}
	n.leaveCalls = nil
	if time.Since(n.clockStart) >= reopenBackoffResetTime {
		n.reopenBackoff = minReopenBackoff
	}
	failed := n.disk
	n.machine, n.disk = nil, nil
	n.openInProgress = true
	go n.reopenStore(failed, n.reopenBackoff)
	n.reopenBackoff = min(2*n.reopenBackoff, maxReopenBackoff)
}

// resign returns the message by which a leader has another one campaign.
func (m *Machine) resignationMessages() []Message {
	if m.role != leader {
		return nil
	}
	to := m.transferTarget()
	if to == nil {
		return nil
	}
	return []Message{m.withSender(Message{Kind: TimeoutNow, To: to.member.Address})}
}

// reopen closes a store that failed and opens it again, until that works, can't work, or the node
// ends. It runs beside the node's goroutine: a disk may take any time.
func (n *Node) reopenStore(failed disk, pause time.Duration) {
	if failed == nil {
		pause = 0
	}
	for {
		select {
		case <-n.stopping:
			n.openResults <- openResult{err: ErrClosed}
			return
		case <-time.After(pause):
		}
		opened, err := n.closeAndOpenStore(failed)
		if err == nil || isUnusable(err) || failed == nil && isAccessDenied(err) {
			opened.err = err
			n.openResults <- opened
			return
		}
		pause = min(max(2*pause, minReopenBackoff), maxReopenBackoff)
		n.options.Log.WithError(err).WithField("again_in", pause).Warn("the store can't be opened")
	}
}

func (n *Node) closeAndOpenStore(failed disk) (openResult, error) {
	if failed != nil {
		if err := failed.close(); err != nil {
			return openResult{}, err
		}
	}
	o := n.options
	seeds := sortedUnique(o.Seeds)
	store, state, err := openStore(o.Dir, o.Self, o.FirstStart && slices.Contains(seeds, o.Self), seeds)
	return openResult{store: store, state: state}, err
}

// isForbidden tells whether the settings name a folder that the node may not use. That is the
// operator's to mend at a start; later it is taken for a fault of the disk.
func isAccessDenied(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.ENOTDIR)
}

// resume makes a machine of a store that was opened.
func (n *Node) resume(opened openResult) error {
	n.openInProgress = false
	if opened.err != nil {
		return opened.err
	}
	if err := n.updateTable(&Output{Restore: opened.state.Snapshot}); err != nil {
		opened.store.close()
		return err
	}
	o, life := n.options, randomNonzero()
	n.clockStart = time.Now()
	n.machine = New(Config{Self: o.Self, Seeds: sortedUnique(o.Seeds), Incarnation: life, ReplaceAfter: o.ReplaceAfter, TargetVoters: o.TargetVoters, Zone: o.Zone,
		Rand: rand.New(rand.NewPCG(life, randomNonzero())), State: opened.state, TableIndex: n.tableIndex})
	n.disk = opened.store
	if o.wrapDisk != nil {
		n.disk = o.wrapDisk(opened.store)
	}
	n.timer.Stop()
	n.timerPending = false
	return nil
}

// turnAway answers a request while there is no machine: nothing that comes is taken up.
func (n *Node) rejectRequest(r request) {
	switch r.kind {
	case proposeRequest, readRequest, backupRequest:
		r.call.result <- callResult{err: ErrNoLeader}
	case leaveRequest:
		r.call.result <- callResult{}
	}
}

// failWaiters ends what waits without an answer.
func (n *Node) failPendingCalls() {
	for _, w := range n.pendingCalls {
		w.result <- callResult{err: w.unansweredErr}
	}
	clear(n.pendingCalls)
	clear(n.replies)
}

// closeDisk closes the store once the save under way is done. A disk that doesn't answer must not
// keep the process: it is left as a crash would leave it.
func (n *Node) closeDisk() error {
	ended := make(chan error, 1)
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
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(diskCloseTimeout):
		return oops.In("consensus").Errorf("the disk has not answered for %s: the node ends without it", diskCloseTimeout)
	}
}

// unusableError is a store that no further attempt makes usable: it is damaged, or not this node's.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

func unusable(format string, args ...any) error { return unusableError{oops.Errorf(format, args...)} }

func isUnusable(err error) bool { return errors.As(err, new(unusableError)) }
