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
	openWait   = time.Second            // for the store at the start, before the node starts suspended
	closeWait  = time.Second            // for a save under way when the node ends
	firstPause = 100 * time.Millisecond // between two attempts to open the store; twice as long each
	mostPause  = 2 * time.Second        // time, up to this
	steady     = 10 * time.Second       // a disk that worked for so long is sound again
)

// suspended is the role of a node without a disk.
const suspended = "suspended"

// opening is how the store was opened. An error is one that no further attempt can mend.
type opening struct {
	store *store
	state State
	err   error
}

// suspend gives the machine up because of an error of the disk, and has the store opened again. A
// leader has the voter that has most campaign at once: that promises nothing.
func (n *Node) suspend(why error) {
	n.options.Log.WithError(why).Warn("suspended")
	for _, m := range n.machine.resign() {
		n.options.Send(m)
	}
	n.failWaiters()
	for _, w := range n.leaving {
		w.done <- outcome{}
	}
	n.leaving = nil
	if time.Since(n.began) >= steady {
		n.pause = firstPause
	}
	failed := n.disk
	n.machine, n.disk = nil, nil
	n.opening = true
	go n.reopen(failed, n.pause)
	n.pause = min(2*n.pause, mostPause)
}

// resign returns the message by which a leader has another one campaign.
func (m *Machine) resign() []Message {
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
func (n *Node) reopen(failed disk, pause time.Duration) {
	if failed == nil {
		pause = 0
	}
	for {
		select {
		case <-n.stopping:
			n.opened <- opening{err: ErrClosed}
			return
		case <-time.After(pause):
		}
		opened, err := n.open(failed)
		if err == nil || isUnusable(err) || failed == nil && isForbidden(err) {
			opened.err = err
			n.opened <- opened
			return
		}
		pause = min(max(2*pause, firstPause), mostPause)
		n.options.Log.WithError(err).WithField("again_in", pause).Warn("the store can't be opened")
	}
}

func (n *Node) open(failed disk) (opening, error) {
	if failed != nil {
		if err := failed.close(); err != nil {
			return opening{}, err
		}
	}
	o := n.options
	seeds := sortedUnique(o.Seeds)
	store, state, err := openStore(o.Dir, o.Self, o.FirstStart && slices.Contains(seeds, o.Self), seeds)
	return opening{store: store, state: state}, err
}

// isForbidden tells whether the settings name a folder that the node may not use. That is the
// operator's to mend at a start; later it is taken for a fault of the disk.
func isForbidden(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.ENOTDIR)
}

// resume makes a machine of a store that was opened.
func (n *Node) resume(opened opening) error {
	n.opening = false
	if opened.err != nil {
		return opened.err
	}
	if err := n.bring(&Output{Restore: opened.state.Snapshot}); err != nil {
		opened.store.close()
		return err
	}
	o, life := n.options, randomNumber()
	n.began = time.Now()
	n.machine = New(Config{Self: o.Self, Seeds: sortedUnique(o.Seeds), Incarnation: life, ReplaceAfter: o.Replace, TargetVoters: o.Voters, Zone: o.Zone,
		Rand: rand.New(rand.NewPCG(life, randomNumber())), State: opened.state, TableIndex: n.tableAt})
	n.disk = opened.store
	if o.disk != nil {
		n.disk = o.disk(opened.store)
	}
	n.timer.Stop()
	n.ringing = false
	return nil
}

// turnAway answers a request while there is no machine: nothing that comes is taken up.
func (n *Node) turnAway(r request) {
	switch r.kind {
	case propose, confirm, backup:
		r.waiter.done <- outcome{err: ErrNoLeader}
	case leave:
		r.waiter.done <- outcome{}
	}
}

// failWaiters ends what waits without an answer.
func (n *Node) failWaiters() {
	for _, w := range n.waiters {
		w.done <- outcome{err: w.late}
	}
	clear(n.waiters)
	clear(n.replies)
}

// closeDisk closes the store once the save under way is done. A disk that doesn't answer must not
// keep the process: it is left as a crash would leave it.
func (n *Node) closeDisk() error {
	ended := make(chan error, 1)
	go func() {
		var err error
		if n.saving {
			err = (<-n.saved).err
		}
		if n.opening {
			if opened := <-n.opened; opened.store != nil {
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
	case <-time.After(closeWait):
		return oops.In("consensus").Errorf("the disk has not answered for %s: the node ends without it", closeWait)
	}
}

// unusableError is a store that no further attempt makes usable: it is damaged, or not this node's.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

func unusable(format string, args ...any) error { return unusableError{oops.Errorf(format, args...)} }

func isUnusable(err error) bool { return errors.As(err, new(unusableError)) }
