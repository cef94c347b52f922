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
	tick      = 100 * time.Millisecond
	inviteIn  = time.Second // that those of the file who are no members are asked
	sendIn    = 2 * time.Second
	mailbox   = 256 // messages that wait for one member
	mostBatch = 64  // messages that are sent together
	again     = 500 * time.Millisecond
	inputs    = 1024
	// writeIn is how long a write waits until the group agrees.
	writeIn = 3 * time.Second
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
	opts   Options
	inputs chan func()
	done   chan struct{}
	began  time.Time

	// Of the loop.
	core    *Core
	boxes   map[string]chan *raftpb.Message
	names   map[uint64]string // of those who have spoken: who has just been added knows no members yet, and must answer
	waiters map[string]chan Result
	broken  error             // why the journal can't be written
	refused map[string]string // peers that can't be members, and why
	asking  map[string]bool
	invited time.Duration
	single  map[string]bool // peers that are in no group; nil once one is
	ruled   bool

	mu   sync.Mutex // guards what others look at
	seen view
	own  sync.Map // duty: until when it is held here, by this clock
}

// view is what is known of the group between two steps.
type view struct {
	lead    string
	leads   bool
	duties  map[string]lease.Duty
	members []Member
	wrong   error
	left    map[string]time.Duration
	history []lease.Change
	refused map[string]string
	applied uint64
	changed chan struct{} // closed when there is a new one
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
		opts: o, inputs: make(chan func(), inputs), done: make(chan struct{}), core: core, boxes: map[string]chan *raftpb.Message{}, names: map[uint64]string{},
		waiters: map[string]chan Result{}, refused: map[string]string{}, asking: map[string]bool{}, single: map[string]bool{}, began: time.Now(),
	}
	n.seen.changed = make(chan struct{})
	n.look()
	return n, nil
}

// now is a monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.began) + 1 }

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) {
	defer close(n.done)
	var mail sync.WaitGroup
	for name, p := range n.opts.Peers {
		box := make(chan *raftpb.Message, mailbox)
		n.boxes[name] = box
		mail.Go(func() { n.carry(ctx, p, box) })
	}
	defer mail.Wait()
	clock := time.NewTicker(tick)
	defer clock.Stop()
	var work *Output // that could not be written yet
	for {
		in := n.inputs
		if work != nil {
			in = nil // nothing is taken in that could not be answered for
		}
		select {
		case <-ctx.Done():
			return
		case f := <-in:
			f()
			for more := true; more; { // what has come meanwhile shares the transaction
				select {
				case f := <-in:
					f()
				default:
					more = false
				}
			}
		case <-clock.C:
			if work == nil {
				n.core.Tick()
				n.rule()
				n.invite(ctx)
			}
		}
		for {
			if work == nil {
				if work = n.core.Ready(); work == nil {
					break
				}
			}
			if !n.written(work) {
				break
			}
			n.post(work.Messages)
			for _, r := range work.Results {
				if w := n.waiters[r.ID]; w != nil {
					delete(n.waiters, r.ID)
					w <- r
				}
			}
			n.core.Advance()
			work = nil
		}
		n.look()
	}
}

// written writes what must be in the journal before anything is sent.
func (n *Node) written(w *Output) bool {
	var err error
	if len(w.Records) > 0 {
		err = n.opts.Store.Write(w.Records)
	}
	if err != nil && n.broken == nil {
		n.opts.Log.Error("the journal can't be written: this member says nothing until it can", "error", err)
	} else if err == nil && n.broken != nil {
		n.opts.Log.Info("the journal can be written again")
	}
	n.broken = err
	return err == nil
}

// post hands messages to those who carry them. One for which there is no room is lost, as on any network.
func (n *Node) post(messages []*raftpb.Message) {
	for _, m := range messages {
		name := n.names[m.GetTo()]
		if to := n.core.state.Members[m.GetTo()]; to != nil {
			name = to.Name
		}
		if n.boxes[name] == nil {
			continue
		}
		select {
		case n.boxes[name] <- m:
		default:
			n.core.ReportUnreachable(m)
		}
	}
}

// carry sends what is in a box.
func (n *Node) carry(ctx context.Context, p Peer, box chan *raftpb.Message) {
	for {
		var all []*raftpb.Message
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			all = append(all, m)
		}
		for more := true; more && len(all) < mostBatch; {
			select {
			case m := <-box:
				all = append(all, m)
			default:
				more = false
			}
		}
		b := &Batch{Name: n.opts.Name, From: n.core.self.ID, Boot: n.core.self.Boot}
		for _, m := range all {
			text, err := proto.Marshal(m)
			if err == nil {
				b.Messages = append(b.Messages, text)
			}
		}
		within, cancel := context.WithTimeout(ctx, sendIn)
		err := p.Deliver(within, b)
		cancel()
		n.happened(func() {
			if errors.Is(err, ErrStaleDisk) && n.core.wrong == nil {
				n.core.wrong = ErrStaleDisk
			}
			for _, m := range all {
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
func (n *Node) happened(f func()) bool {
	select {
	case n.inputs <- f:
		return true
	case <-n.done:
		return false
	}
}

// within has the loop do something, and waits for what that returns. Who waits no longer gets nothing of it, though it may yet
// be done.
func within[T any](ctx context.Context, n *Node, f func() (T, error)) (v T, err error) {
	type outcome struct {
		v   T
		err error
	}
	did := make(chan outcome, 1)
	select {
	case n.inputs <- func() {
		v, err := f()
		did <- outcome{v, err}
	}:
	case <-n.done:
		return v, errEnded
	case <-ctx.Done():
		return v, ctx.Err()
	}
	select {
	case o := <-did:
		return o.v, o.err
	case <-n.done:
		return v, errEnded
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

var errEnded = errors.New("this member has ended")

// Take takes in what another member sends.
func (n *Node) Receive(ctx context.Context, b *Batch) error {
	if len(b.Messages) > mostBatch {
		return fmt.Errorf("%d messages, and %d are allowed", len(b.Messages), mostBatch)
	}
	var all []*raftpb.Message
	for _, text := range b.Messages {
		m := &raftpb.Message{}
		if err := proto.Unmarshal(text, m); err != nil {
			return fmt.Errorf("a message that can't be read: %w", err)
		}
		if m.GetFrom() != b.From && m.GetType() != raftpb.MsgProp { // which whoever led passes on
			return errors.New("a message of somebody else")
		}
		all = append(all, m)
	}
	_, err := within(ctx, n, func() (struct{}, error) {
		if err := n.core.CheckBoot(b.From, b.Boot); err != nil {
			return struct{}{}, err
		}
		if n.boxes[b.Name] != nil {
			maps.DeleteFunc(n.names, func(_ uint64, name string) bool { return name == b.Name })
			n.names[b.From] = b.Name
		}
		var wrong error
		for _, m := range all {
			if err := n.core.Step(m); err != nil {
				wrong = fmt.Errorf("not taken: %v", err) // danger: whose disk is old is this member's own matter, not who sends
			}
		}
		return struct{}{}, wrong
	})
	return err
}

// await waits until what is seen of the group is as wanted.
func (n *Node) await(ctx context.Context, as func(v *view) bool) error {
	for {
		n.mu.Lock()
		ok, changed := as(&n.seen), n.seen.changed
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
func (n *Node) do(ctx context.Context, cmd *command) (Result, error) {
	var id [12]byte
	rand.Read(id[:]) // never fails
	cmd.ID = hex.EncodeToString(id[:])
	got := make(chan Result, 1)
	defer func() {
		select {
		case n.inputs <- func() { n.forget(cmd.ID) }:
		default: // danger: where the journal stands still nothing is taken in, and who asks must not wait for that
		}
	}()
	for {
		_, why := within(ctx, n, func() (struct{}, error) {
			if ctx.Err() != nil {
				return struct{}{}, ctx.Err() // nobody waits any more
			}
			n.waiters[cmd.ID] = got
			return struct{}{}, n.core.propose(cmd)
		})
		select {
		case r := <-got:
			return r, nil
		case <-time.After(again):
		case <-ctx.Done():
			return Result{}, fmt.Errorf("the group has not agreed: %w", errors.Join(ctx.Err(), why))
		case <-n.done:
			return Result{}, errEnded
		}
	}
}

// mostWaiters bounds those who wait: beyond, some are forgotten, and ask again.
const mostWaiters = 4096

func (n *Node) forget(id string) {
	delete(n.waiters, id)
	n.core.forget(id)
	for id := range n.waiters {
		if len(n.waiters) <= mostWaiters {
			break
		}
		delete(n.waiters, id)
		n.core.forget(id)
	}
}

// Lease has an operation on the duties agreed on.
func (n *Node) Lease(ctx context.Context, op lease.Op) (lease.Answer, error) {
	r, err := n.do(ctx, &command{Lease: &op})
	return r.Lease, err
}

// look publishes what others may see.
func (n *Node) look() {
	c := n.core
	v := view{
		wrong: c.part(), duties: map[string]lease.Duty{}, left: map[string]time.Duration{}, history: slices.Clone(c.state.Leases.History),
		refused: maps.Clone(n.refused), applied: c.state.Applied, changed: make(chan struct{}),
	}
	if n.broken != nil {
		v.wrong = fmt.Errorf("its journal can't be written: %w", n.broken)
	}
	if m := c.state.Members[c.LeaderID()]; m != nil {
		v.lead, v.leads = m.Name, m.ID == c.self.ID
	}
	for _, m := range c.state.Members {
		v.members = append(v.members, *m)
	}
	slices.SortFunc(v.members, func(a, b Member) int { return int(int64(a.ID) - int64(b.ID)) })
	for name, d := range c.state.Leases.Duties {
		v.duties[name] = *d
		v.left[name] = c.clock.Remaining(n.now(), name, d)
	}
	n.mu.Lock()
	old := n.seen.changed
	n.seen = v
	n.mu.Unlock()
	close(old)
}

func (n *Node) view() view {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen
}
