package group

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/journal/disk"
	"example.org/micaline/internal/lease"
)

// testGroup is a group of nodes in this process, whose links can be cut.
type testGroup struct {
	t       testing.TB
	nodes   []*Node
	cancels []context.CancelFunc
	stopped []chan struct{}
	disks   []journal.Store

	mu       sync.Mutex
	cutLinks map[[2]int]bool
}

// testLink is the Peer through which one node reaches another.
type testLink struct {
	group    *testGroup
	from, to int
}

var errLinkCut = errors.New("cut")

func (w testLink) target() (*Node, error) {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	if w.group.cutLinks[[2]int{w.from, w.to}] || w.group.nodes[w.to] == nil {
		return nil, errLinkCut
	}
	return w.group.nodes[w.to], nil
}

func (w testLink) Deliver(ctx context.Context, b *Batch) error {
	n, err := w.target()
	if err != nil {
		return err
	}
	return n.Receive(ctx, b)
}

func (w testLink) Identity(ctx context.Context) (*Identity, error) {
	n, err := w.target()
	if err != nil {
		return nil, err
	}
	return n.Identity(ctx)
}

// newTestGroup starts nodes with journals on disk and waits until all are voters.
func newTestGroup(t testing.TB, size int) *testGroup {
	var disks []journal.Store
	for i := range size {
		d, err := disk.Open(filepath.Join(t.TempDir(), fmt.Sprint(i)), append([]string{"data"}, Buckets...)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		disks = append(disks, d)
	}
	return newTestGroupOn(t, disks)
}

func newTestGroupOn(t testing.TB, disks []journal.Store) *testGroup {
	size := len(disks)
	g := &testGroup{
		t: t, cutLinks: map[[2]int]bool{}, nodes: make([]*Node, size), cancels: make([]context.CancelFunc, size), stopped: make([]chan struct{}, size), disks: disks,
	}
	for i := range size {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			g.stop(i)
		}
	})
	for _, n := range g.nodes {
		if err := n.await(t.Context(), func(v *groupView) bool {
			voters := 0
			for _, m := range v.members {
				if m.Voter {
					voters++
				}
			}
			return v.leader != "" && voters == size
		}); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

func (g *testGroup) start(i int) {
	peers := map[string]Peer{}
	for j := range g.nodes {
		if j != i {
			peers[fmt.Sprint("m", j)] = testLink{g, i, j}
		}
	}
	n, err := NewNode(Options{Store: g.disks[i], Name: fmt.Sprint("m", i), Buckets: []string{"data"}, Bootstrap: i == 0, Peers: peers, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	g.mu.Lock()
	g.nodes[i], g.cancels[i], g.stopped[i] = n, cancel, stopped
	g.mu.Unlock()
	go func() {
		n.Run(ctx)
		close(stopped)
	}()
}

func (g *testGroup) stop(i int) {
	g.mu.Lock()
	g.nodes[i] = nil
	g.mu.Unlock()
	g.cancels[i]()
	<-g.stopped[i]
}

// The holder of a duty writes and reads a register while members are partitioned. The history must
// be linearizable, which porcupine checks. An unanswered operation may or may not have happened.
func TestLinearizable(t *testing.T) {
	g := newTestGroup(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	type input struct {
		write bool
		value string
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in input, out string, call time.Duration, answered bool) {
		returned := time.Since(start)
		if !answered {
			returned = time.Hour // it may still happen
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(returned)})
	}
	var clients sync.WaitGroup
	operations, holder := 0, 0
	for i := range g.nodes {
		n := g.nodes[i]
		clients.Go(func() {
			n.Hold(ctx, "register", time.Second, func(grant *Grant) []byte {
				for k := 0; grant.IsValid(); k++ {
					// Each operation counts as its own client, because a later one does not wait
					// for an unanswered one.
					mu.Lock()
					operations++
					client := operations
					holder = i
					mu.Unlock()
					if k%2 == 0 {
						in, call := input{true, fmt.Sprintf("%d.%d", grant.Epoch, k)}, time.Since(start)
						err := grant.Write([]journal.Record{{Bucket: "data", Key: "x", Value: []byte(in.value)}})
						record(client, in, "", call, err == nil)
						if err != nil {
							return nil
						}
						continue
					}
					call, got := time.Since(start), ""
					if err := grant.Read("data", func(_ string, v []byte) error { got = string(v); return nil }); err == nil && grant.IsValid() {
						record(client, input{}, got, call, true)
					}
					time.Sleep(5 * time.Millisecond)
				}
				return nil
			})
		})
	}
	epochs := func() uint64 {
		duties := g.nodes[0].Duties().Duties
		if len(duties) == 0 { // the duty was never granted
			return 0
		}
		return duties[0].Epoch
	}
	// On a busy machine it takes longer until another member holds the duty.
	for round := 0; round < 4 || round < 16 && epochs() < 3; round++ {
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		i := holder
		mu.Unlock()
		g.mu.Lock()
		clear(g.cutLinks)
		for j := range 3 {
			if j != i {
				// Cut in both directions, or only from i to j.
				g.cutLinks[[2]int{i, j}], g.cutLinks[[2]int{j, i}] = true, round%2 == 0
			}
		}
		g.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	cancel()
	g.mu.Lock()
	clear(g.cutLinks)
	g.mu.Unlock()
	clients.Wait()
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			if in := in.(input); in.write {
				return true, in.value
			}
			return out.(string) == state.(string), state
		},
	}
	if len(history) < 20 || epochs() < 3 {
		t.Errorf("%d operations under %d epochs are too few for this test", len(history), epochs())
	}
	if result := porcupine.CheckOperationsTimeout(model, history, 30*time.Second); result != porcupine.Ok {
		t.Errorf("%v: %d operations under %d epochs", result, len(history), epochs())
	}
}

// The journal of a single process becomes the initial state of the group that it bootstraps, and
// members that join receive its records.
func TestAloneGrowsIntoAGroup(t *testing.T) {
	g := &testGroup{t: t, cutLinks: map[[2]int]bool{}, nodes: make([]*Node, 3), cancels: make([]context.CancelFunc, 3), stopped: make([]chan struct{}, 3)}
	for range 3 {
		g.disks = append(g.disks, &journal.Memory{})
	}
	if err := g.disks[0].Write([]journal.Record{{Bucket: "data", Key: "x", Value: []byte("before")}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		g.start(i)
		defer g.stop(i)
	}
	for i, d := range g.disks {
		if err := g.nodes[i].await(t.Context(), func(v *groupView) bool { return len(v.members) == 3 && v.failure == nil }); err != nil {
			t.Fatal(err)
		}
		got := ""
		d.Read("data", func(_ string, v []byte) error { got = string(v); return nil })
		if got != "before" {
			t.Errorf("member %d has %q", i, got)
		}
	}
}

// A founder starts from its own disk, where it is the only voter, and leads once one of the two
// others has confirmed that start. It then restarts, partitioned, from a copy of that disk from
// before other members became voters. It must not elect itself, and reports a stale disk once it
// reaches the others.
func TestOnlyVoterIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstDisk := &journal.Memory{}
		core, records, err := Load(firstDisk, "m0", 2, []string{"data"}, 7, 1)
		if err != nil {
			t.Fatal(err)
		}
		bootstrapRecords, err := core.Bootstrap()
		if err != nil {
			t.Fatal(err)
		}
		firstDisk.Write(append(records, bootstrapRecords...))
		earlierCopy := copyDisk(firstDisk)
		g := newTestGroupOn(t, []journal.Store{firstDisk, &journal.Memory{}, &journal.Memory{}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		g.stop(0)
		g.disks[0] = earlierCopy
		g.mu.Lock()
		for i := 1; i < 3; i++ {
			g.cutLinks[[2]int{0, i}], g.cutLinks[[2]int{i, 0}] = true, true
		}
		g.mu.Unlock()
		g.start(0)
		time.Sleep(10 * time.Second) // of simulated time: five election timeouts
		if v := g.nodes[0].view(); !errors.Is(v.failure, errUnconfirmed) || v.isLeader || v.applied != 1 {
			t.Errorf("partitioned: %v, leads %v, applied %d", v.failure, v.isLeader, v.applied)
		}
		g.mu.Lock()
		clear(g.cutLinks)
		g.mu.Unlock()
		if err := g.nodes[0].await(ctx, func(v *groupView) bool { return errors.Is(v.failure, ErrStaleDisk) }); err != nil {
			t.Errorf("after the partition: %v, want a stale disk", g.nodes[0].view().failure)
		}
	})
}

// faultyDisk is a disk that can be made slow or full.
type faultyDisk struct {
	journal.Memory
	mu         sync.Mutex
	writeDelay time.Duration
	full       bool
}

func (s *faultyDisk) set(writeDelay time.Duration, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDelay, s.full = writeDelay, full
}

func (s *faultyDisk) Write(records []journal.Record) error {
	s.mu.Lock()
	writeDelay, full := s.writeDelay, s.full
	s.mu.Unlock()
	time.Sleep(writeDelay)
	if full {
		return errors.New("no space left on device")
	}
	return s.Memory.Write(records)
}

// A member whose disk takes two seconds per write, or is full, must not delay renewals for long,
// whether it is the leader or not. It catches up once its disk works again.
func TestSickDisks(t *testing.T) {
	for _, who := range []string{"the lead", "another"} {
		for _, writeDelay := range []time.Duration{2 * time.Second, 0} {
			fault := map[bool]string{true: "slow", false: "full"}[writeDelay > 0]
			t.Run(who+" is "+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					disks := []*faultyDisk{{}, {}, {}}
					g := newTestGroupOn(t, []journal.Store{disks[0], disks[1], disks[2]})
					faulty := slices.IndexFunc(g.nodes, func(n *Node) bool { return n.view().isLeader })
					if who != "the lead" {
						faulty = (faulty + 1) % 3
					}
					healthy := g.nodes[(faulty+1)%3]
					epoch, longest := uint64(0), time.Duration(0)
					request := func(op lease.Op) {
						op.Duty, op.Holder, op.Epoch = "x", "h", epoch
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						defer cancel()
						start := time.Now()
						answer, err := healthy.Lease(ctx, op)
						if err != nil || answer.Refused != "" {
							t.Fatalf("kind %d: %+v, %v", op.Kind, answer, err)
						}
						epoch, longest = answer.Epoch, max(longest, time.Since(start))
					}
					request(lease.Op{Kind: lease.Acquire, Term: lease.MaxTerm})
					disks[faulty].set(writeDelay, writeDelay == 0)
					for range 20 {
						request(lease.Op{Kind: lease.Renew})
						time.Sleep(500 * time.Millisecond)
					}
					if longest > 8*time.Second { // two election timeouts and two slow writes
						t.Errorf("a renewal took %v", longest)
					}
					disks[faulty].set(0, false)
					request(lease.Op{Kind: lease.Renew})
					want := healthy.view().applied
					ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
					defer cancel()
					if err := g.nodes[faulty].await(ctx, func(v *groupView) bool { return v.failure == nil && v.applied >= want }); err != nil {
						t.Errorf("the member has not caught up: %v", err)
					}
				})
			})
		}
	}
}

// BenchmarkLease measures concurrent renewals by members with journals on disk.
func BenchmarkLease(b *testing.B) {
	for _, config := range []struct{ size, holders, concurrent int }{{1, 64, 64}, {3, 64, 64}, {3, 1000, 8}, {3, 1000, 64}, {3, 1000, 1000}, {5, 64, 64}} {
		b.Run(fmt.Sprintf("members=%d/duties=%d/at-once=%d", config.size, config.holders, config.concurrent), func(b *testing.B) {
			g, holders := newTestGroup(b, config.size), config.holders
			epochs := make([]uint64, holders)
			for i := range epochs {
				answer, err := g.nodes[0].Lease(b.Context(), lease.Op{Kind: lease.Acquire, Duty: fmt.Sprint(i), Holder: "h", Term: lease.MaxTerm})
				if err != nil || answer.Refused != "" {
					b.Fatal(err, answer)
				}
				epochs[i] = answer.Epoch
			}
			next := make(chan int)
			var renewing sync.WaitGroup
			b.ResetTimer()
			for range config.concurrent {
				renewing.Go(func() {
					for i := range next {
						i %= holders
						if answer, err := g.nodes[0].Lease(b.Context(), lease.Op{Kind: lease.Renew, Duty: fmt.Sprint(i), Holder: "h", Epoch: epochs[i]}); err != nil || answer.Refused != "" {
							b.Error(err, answer)
						}
					}
				})
			}
			for i := range b.N {
				next <- i
			}
			close(next)
			renewing.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
		})
	}
}
