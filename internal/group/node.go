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
	// tickInterval is the unit of raft's timeouts: a leader that is silent for 1 to 2 s is
	// replaced.
	tickInterval     = 100 * time.Millisecond
	contactInterval  = time.Second // between requests for the identities of peers
	peerTimeout      = 2 * time.Second
	outboxSize       = 256                    // messages queued for one peer
	maxBatchMessages = 64                     // messages in one Batch
	proposalInterval = 500 * time.Millisecond // between proposals of a command without a result
	inputQueueSize   = 1024
	// writeTimeout limits how long Grant.Write waits until a write is committed.
	writeTimeout = 3 * time.Second
)

// Peer is another process of the deployment, which may be a member.
type Peer interface {
	Deliver(ctx context.Context, b *Batch) error
	Identity(ctx context.Context) (*Identity, error)
}

// Batch is a set of messages from one member to another.
type Batch struct {
	Name     string   `json:"name"`
	From     uint64   `json:"from"`
	Boot     Boot     `json:"boot"`
	Messages [][]byte `json:"messages"` // raftpb.Message, encoded as protobuf
}

// Options configure a Node.
type Options struct {
	Store     journal.Store
	Name      string
	Buckets   []string        // the replicated buckets of Store
	Bootstrap bool            // create the group, once a majority of the deployment has reported that it is in none
	Peers     map[string]Peer // the other processes of the deployment, by name
	Log       *slog.Logger
}

// Node runs a Core with a journal, a clock and connections to the peers. The journal of a process
// that was in no group becomes the group's initial state if that process bootstraps the group.
type Node struct {
	opts      Options
	inputs    chan func()
	done      chan struct{}
	startedAt time.Time

	// The fields of this block belong to the goroutine of Run.
	core     *Core
	outboxes map[string]chan *raftpb.Message
	// senderNames holds the names of the peers that have sent a batch, by ID. A member that was
	// just added needs it to respond, because it does not know the other members yet.
	senderNames   map[uint64]string
	waiters       map[string]chan Result
	writeError    error             // error of the last write to the journal; nil: it succeeded
	rejected      map[string]string // reasons why peers can't be members, by name
	contacting    map[string]bool   // peers with an identity request in flight
	lastContactAt time.Duration
	ungrouped     map[string]bool // peers that are in no group; nil once a peer in a group is known
	wasLeader     bool

	mu        sync.Mutex // guards published
	published groupView
	heldUntil sync.Map // by duty: until when this process holds it, a time.Duration on the clock of now
}

// groupView is a snapshot of the member's state that other goroutines may read.
type groupView struct {
	leader    string
	isLeader  bool
	duties    map[string]lease.Duty
	members   []Member
	failure   error
	remaining map[string]time.Duration // by duty: see lease.ExpiryTracker.Remaining
	history   []lease.Change
	rejected  map[string]string
	applied   uint64
	changed   chan struct{} // closed when a newer view is published
}

// NewNode loads a node from its journal. Run starts it.
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

// now returns the time on a monotonic clock that starts with the node. It is never 0.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) + 1 }

// Run participates in the group until the context ends.
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
	var output *Output // not written yet
	for {
		input := n.inputs
		if output != nil {
			input = nil // no inputs are processed while their effects can't be written
		}
		select {
		case <-ctx.Done():
			return
		case f := <-input:
			f()
			for more := true; more; { // all queued inputs share one transaction
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

// writeRecords writes the records that must be in the journal before messages are sent, and reports
// whether that succeeded.
func (n *Node) writeRecords(output *Output) bool {
	var err error
	if len(output.Records) > 0 {
		err = n.opts.Store.Write(output.Records)
	}
	if err != nil && n.writeError == nil {
		n.opts.Log.Error("the journal can't be written: this member sends no messages until it can", "error", err)
	} else if err == nil && n.writeError != nil {
		n.opts.Log.Info("the journal can be written again")
	}
	n.writeError = err
	return err == nil
}

// queueMessages puts messages into the outboxes of their receivers. A message to a full outbox is
// dropped, as a network may do.
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

// sendMessages sends the messages of an outbox to its peer, in batches.
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

// enqueue passes a function to the loop of Run. It returns false if the loop has ended.
func (n *Node) enqueue(f func()) bool {
	select {
	case n.inputs <- f:
		return true
	case <-n.done:
		return false
	}
}

// runInLoop runs a function in the loop of Run and returns its result. If the context ends first,
// the function may still run later.
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

var errEnded = errors.New("this member has stopped")

// Receive processes a batch of another member.
func (n *Node) Receive(ctx context.Context, batch *Batch) error {
	if len(batch.Messages) > maxBatchMessages {
		return fmt.Errorf("%d messages, and at most %d are allowed", len(batch.Messages), maxBatchMessages)
	}
	var messages []*raftpb.Message
	for _, encoded := range batch.Messages {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(encoded, m); err != nil {
			return fmt.Errorf("a message that can't be read: %w", err)
		}
		if m.GetFrom() != batch.From && m.GetType() != raftpb.MsgProp { // followers forward proposals of others
			return errors.New("a message is not from the sender of its batch")
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
				// The error is not wrapped: an ErrStaleDisk here is about this member's disk, and
				// the sender would take it for its own.
				stepErr = fmt.Errorf("message not accepted: %v", err)
			}
		}
		return struct{}{}, stepErr
	})
	return err
}

// await waits until the published view satisfies a condition.
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

// execute proposes a command, repeatedly if necessary, until it is applied, and returns its result.
func (n *Node) execute(ctx context.Context, cmd *command) (Result, error) {
	var id [12]byte
	rand.Read(id[:]) // never fails
	cmd.ID = hex.EncodeToString(id[:])
	result := make(chan Result, 1)
	defer func() {
		select {
		case n.inputs <- func() { n.forgetCommand(cmd.ID) }:
		default: // while the journal can't be written no inputs are processed, and the caller must not block on that
		}
	}()
	for {
		_, proposeErr := runInLoop(ctx, n, func() (struct{}, error) {
			if ctx.Err() != nil {
				return struct{}{}, ctx.Err() // the caller has given up
			}
			n.waiters[cmd.ID] = result
			return struct{}{}, n.core.propose(cmd)
		})
		select {
		case r := <-result:
			return r, nil
		case <-time.After(proposalInterval):
		case <-ctx.Done():
			return Result{}, fmt.Errorf("the group has not committed the command: %w", errors.Join(ctx.Err(), proposeErr))
		case <-n.done:
			return Result{}, errEnded
		}
	}
}

// maxWaiters limits the number of waiting callers. Beyond it some are dropped, and register again
// with their next proposal.
const maxWaiters = 4096

// forgetCommand ends the wait for a command's result.
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

// Lease executes an operation on the replicated lease table.
func (n *Node) Lease(ctx context.Context, op lease.Op) (lease.Answer, error) {
	r, err := n.execute(ctx, &command{Lease: &op})
	return r.Lease, err
}

// publishView publishes the current state for other goroutines.
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
