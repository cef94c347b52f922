package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/lease"
)

const (
	// tick is how often time passes for raft: a lead that is silent for 1 to 2 s is replaced.
	tickInterval     = 100 * time.Millisecond
	contactInterval  = time.Second // that those of the file who are no members are asked
	peerTimeout      = 2 * time.Second
	outboxSize       = 256 // messages that wait for one member
	maxBatchMessages = 64  // messages that are sent together
	proposalInterval = 500 * time.Millisecond
	inputQueueSize   = 1024
	// writeIn is how long a write waits until the group agrees.
	writeTimeout = 3 * time.Second
)

// Peer is another process that may be a member.
type Peer interface {
	Deliver(ctx context.Context, b *Batch) error
	Identity(ctx context.Context) (*Identity, error)
}

// Batch is what one member sends another.
type Batch struct {
	Name     string   `json:"name"`
	From     uint64   `json:"from"`
	Boot     Boot     `json:"boot"`
	Messages [][]byte `json:"messages"` // raft's, in protobuf
}

// Options say what a node has to do with.
type Options struct {
	Store     journal.Store
	Name      string
	Buckets   []string        // that are agreed on
	Bootstrap bool            // begin a group of this node alone, once most of those of the file have said that they are in none
	Peers     map[string]Peer // who else may be a member, by name
	Log       *slog.Logger
}

// Node is a member with its journal, its clock and its links. A journal of a process that was in no group is the beginning
// of what the group knows, if that process founds it.
type Node struct {
	opts      Options
	inputs    chan func()
	done      chan struct{}
	startedAt time.Time

	// Of the loop.
	core          *Core
	outboxes      map[string]chan *raftpb.Message
	senderNames   map[uint64]string // of those who have spoken: who has just been added knows no members yet, and must answer
	waiters       map[string]chan Result
	writeError    error             // why the journal can't be written
	rejected      map[string]string // peers that can't be members, and why
	contacting    map[string]bool
	lastContactAt time.Duration
	ungrouped     map[string]bool // peers that are in no group; nil once one is
	wasLeader     bool

	mu        sync.Mutex // guards what others look at
	published groupView
	heldUntil sync.Map // duty: until when it is held here, by this clock
}

// view is what is known of the group between two steps.
type groupView struct {
	leader    string
	isLeader  bool
	duties    map[string]lease.Duty
	members   []Member
	failure   error
	remaining map[string]time.Duration
	history   []lease.Change
	rejected  map[string]string
	applied   uint64
	changed   chan struct{} // closed when there is a new one
}

// NewNode returns a node that is not running yet.
func NewNode(o Options) (*Node, error) {
	var id [16]byte
	rand.Read(id[:]) // never fails
	core, records, err := Load(o.Store, o.Name, len(o.Peers), o.Buckets, max(1, binary.BigEndian.Uint64(id[:])>>1), binary.BigEndian.Uint64(id[8:]))
	if err != nil {
		return nil, err
	}
	if err := o.Store.Write(records); err != nil {
		return nil, err
	}
	n := &Node{
		opts: o, inputs: make(chan func(), inputQueueSize), done: make(chan struct{}), core: core, outboxes: map[string]chan *raftpb.Message{}, senderNames: map[uint64]string{},
		waiters: map[string]chan Result{}, rejected: map[string]string{}, contacting: map[string]bool{}, ungrouped: map[string]bool{}, startedAt: time.Now(),
	}
	n.published.changed = make(chan struct{})
	n.publishView()
	return n, nil
}

// now is a monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 }

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	var senders sync.WaitGroup
	for name, p := range n.opts.Peers {
		outbox := make(chan *raftpb.Message, outboxSize)
		n.outboxes[name] = outbox
		senders.Go(func() { n.sendMessages(ctx, p, outbox) })
	}
	defer senders.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var output *Output // that could not be written yet
	for {
		input := n.inputs
		if output != nil {
			input = nil // nothing is taken in that could not be answered for
		}
		select {
		case <-ctx.Done():
			return
		case f := <-input:
			f()
			for more := true; more; { // what has come meanwhile shares the transaction
				select {
				case f := <-input:
					f()
				default:
					more = false
				}
			}
		case <-ticker.C:
			if output == nil {
				n.core.Tick()
				n.expireLeases()
				n.contactPeers(ctx)
			}
		}
		for {
			if output == nil {
				if output = n.core.Ready(); output == nil {
					break
				}
			}
			if !n.writeRecords(output) {
				break
			}
			n.queueMessages(output.Messages)
			for _, r := range output.Results {
				if waiter := n.waiters[r.ID]; waiter != nil {
					delete(n.waiters, r.ID)
					waiter <- r
				}
			}
			n.core.Advance()
			output = nil
		}
		n.publishView()
	}
}

// written writes what must be in the journal before anything is sent.
func (n *Node) writeRecords(output *Output) bool {
	var err error
	if len(output.Records) > 0 {
		err = n.opts.Store.Write(output.Records)
	}
	if err != nil && n.writeError == nil {
		n.opts.Log.Error("the journal can't be written: this member says nothing until it can", "error", err)
	} else if err == nil && n.writeError != nil {
		n.opts.Log.Info("the journal can be written again")
	}
	n.writeError = err
	return err == nil
}

// post hands messages to those who carry them. One for which there is no room is lost, as on any network.
func (n *Node) queueMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		name := n.senderNames[m.GetTo()]
		if to := n.core.state.Members[m.GetTo()]; to != nil {
			name = to.Name
		}
		if n.outboxes[name] == nil {
			continue
		}
		select {
		case n.outboxes[name] <- m:
		default:
			n.core.ReportUnreachable(m)
		}
	}
}

// carry sends what is in a box.
func (n *Node) sendMessages(ctx context.Context, peer Peer, outbox chan *raftpb.Message) {
	for {
		var messages []*raftpb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-outbox:
			messages = append(messages, m)
		}
		for more := true; more && len(messages) < maxBatchMessages; {
			select {
			case m := <-outbox:
				messages = append(messages, m)
			default:
				more = false
			}
		}
		batch := &Batch{Name: n.opts.Name, From: n.core.self.ID, Boot: n.core.self.Boot}
		for _, m := range messages {
			encoded, err := proto.Marshal(m)
			if err == nil {
				batch.Messages = append(batch.Messages, encoded)
			}
		}
		sendCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := peer.Deliver(sendCtx, batch)
		cancel()
		n.enqueue(func() {
			if errors.Is(err, ErrStaleDisk) && n.core.failure == nil {
				n.core.failure = ErrStaleDisk
			}
			for _, m := range messages {
				if err != nil {
					n.core.ReportUnreachable(m)
				} else {
					n.core.ReportSent(m)
				}
			}
		})
	}
}

// happened hands something to the loop.
func (n *Node) enqueue(f func()) bool {
	select {
	case n.inputs <- f:
		return true
	case <-n.done:
		return false
	}
}

// within has the loop do something, and waits for what that returns. Who waits no longer gets nothing of it, though it may yet
// be done.
func runInLoop[T any](ctx context.Context, n *Node, f func() (T, error)) (v T, err error) {
	type outcome struct {
		v   T
		err error
	}
	done := make(chan outcome, 1)
	select {
	case n.inputs <- func() {
		v, err := f()
		done <- outcome{v, err}
	}:
	case <-n.done:
		return v, errEnded
	case <-ctx.Done():
		return v, ctx.Err()
	}
	select {
	case o := <-done:
		return o.v, o.err
	case <-n.done:
		return v, errEnded
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

var errEnded = errors.New("this member has ended")

// Take takes in what another member sends.
func (n *Node) Receive(ctx context.Context, batch *Batch) error {
	if len(batch.Messages) > maxBatchMessages {
		return fmt.Errorf("%d messages, and %d are allowed", len(batch.Messages), maxBatchMessages)
	}
	var messages []*raftpb.Message
	for _, encoded := range batch.Messages {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(encoded, m); err != nil {
			return fmt.Errorf("a message that can't be read: %w", err)
		}
		if m.GetFrom() != batch.From && m.GetType() != raftpb.MsgProp { // which whoever led passes on
			return errors.New("a message of somebody else")
		}
		messages = append(messages, m)
	}
	_, err := runInLoop(ctx, n, func() (struct{}, error) {
		if err := n.core.CheckBoot(batch.From, batch.Boot); err != nil {
			return struct{}{}, err
		}
		if n.outboxes[batch.Name] != nil {
			maps.DeleteFunc(n.senderNames, func(_ uint64, name string) bool { return name == batch.Name })
			n.senderNames[batch.From] = batch.Name
		}
		var stepErr error
		for _, m := range messages {
			if err := n.core.Step(m); err != nil {
				stepErr = fmt.Errorf("not taken: %v", err) // danger: whose disk is old is this member's own matter, not who sends
			}
		}
		return struct{}{}, stepErr
	})
	return err
}

// await waits until what is seen of the group is as wanted.
func (n *Node) await(ctx context.Context, condition func(v *groupView) bool) error {
	for {
		n.mu.Lock()
		ok, changed := condition(&n.published), n.published.changed
		n.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return errEnded
		}
	}
}

// do has a command agreed on and carried out, however often it takes to propose it.
func (n *Node) execute(ctx context.Context, cmd *command) (Result, error) {
	var id [12]byte
	rand.Read(id[:]) // never fails
	cmd.ID = hex.EncodeToString(id[:])
	result := make(chan Result, 1)
	defer func() {
		select {
		case n.inputs <- func() { n.forgetCommand(cmd.ID) }:
		default: // danger: where the journal stands still nothing is taken in, and who asks must not wait for that
		}
	}()
	for {
		_, proposeErr := runInLoop(ctx, n, func() (struct{}, error) {
			if ctx.Err() != nil {
				return struct{}{}, ctx.Err() // nobody waits any more
			}
			n.waiters[cmd.ID] = result
			return struct{}{}, n.core.propose(cmd)
		})
		select {
		case r := <-result:
			return r, nil
		case <-time.After(proposalInterval):
		case <-ctx.Done():
			return Result{}, fmt.Errorf("the group has not agreed: %w", errors.Join(ctx.Err(), proposeErr))
		case <-n.done:
			return Result{}, errEnded
		}
	}
}

// mostWaiters bounds those who wait: beyond, some are forgotten, and ask again.
const maxWaiters = 4096

func (n *Node) forgetCommand(id string) {
	delete(n.waiters, id)
	n.core.forgetCommand(id)
	for id := range n.waiters {
		if len(n.waiters) <= maxWaiters {
			break
		}
		delete(n.waiters, id)
		n.core.forgetCommand(id)
	}
}

// Lease has an operation on the duties agreed on.
func (n *Node) Lease(ctx context.Context, op lease.Op) (lease.Answer, error) {
	r, err := n.execute(ctx, &command{Lease: &op})
	return r.Lease, err
}

// look publishes what others may see.
func (n *Node) publishView() {
	core := n.core
	view := groupView{
		failure: core.checkParticipates(), duties: map[string]lease.Duty{}, remaining: map[string]time.Duration{}, history: slices.Clone(core.state.Leases.History),
		rejected: maps.Clone(n.rejected), applied: core.state.Applied, changed: make(chan struct{}),
	}
	if n.writeError != nil {
		view.failure = fmt.Errorf("its journal can't be written: %w", n.writeError)
	}
	if m := core.state.Members[core.LeaderID()]; m != nil {
		view.leader, view.isLeader = m.Name, m.ID == core.self.ID
	}
	for _, m := range core.state.Members {
		view.members = append(view.members, *m)
	}
	slices.SortFunc(view.members, func(a, b Member) int { return int(int64(a.ID) - int64(b.ID)) })
	for name, d := range core.state.Leases.Duties {
		view.duties[name] = *d
		view.remaining[name] = core.leaseExpiry.Remaining(n.now(), name, d)
	}
	n.mu.Lock()
	changed := n.published.changed
	n.published = view
	n.mu.Unlock()
	close(changed)
}

func (n *Node) view() groupView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published
}
