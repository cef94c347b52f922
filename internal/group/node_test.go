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

// ring is a group of nodes in this process, whose links can be cut.
type ring struct {
	t     testing.TB
	nodes []*Node
	stops []context.CancelFunc
	ends  []chan struct{}
	disks []journal.Store

	mu  sync.Mutex
	cut map[[2]int]bool
}

// wire is a link from a node to another.
type wire struct {
	ring     *ring
	from, to int
}

var errCut = errors.New("cut")

func (w wire) open() (*Node, error) {
	w.ring.mu.Lock()
	defer w.ring.mu.Unlock()
	if w.ring.cut[[2]int{w.from, w.to}] || w.ring.nodes[w.to] == nil {
		return nil, errCut
	}
	return w.ring.nodes[w.to], nil
}

func (w wire) Deliver(ctx context.Context, b *Batch) error {
	n, err := w.open()
	if err != nil {
		return err
	}
	return n.Receive(ctx, b)
}

func (w wire) Identity(ctx context.Context) (*Identity, error) {
	n, err := w.open()
	if err != nil {
		return nil, err
	}
	return n.Identity(ctx)
}

// newRing starts nodes with journals on disk.
func newRing(t testing.TB, size int) *ring {
	var disks []journal.Store
	for i := range size {
		d, err := disk.Open(filepath.Join(t.TempDir(), fmt.Sprint(i)), append([]string{"data"}, Buckets...)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		disks = append(disks, d)
	}
	return newRingOn(t, disks)
}

func newRingOn(t testing.TB, disks []journal.Store) *ring {
	size := len(disks)
	r := &ring{
		t: t, cut: map[[2]int]bool{}, nodes: make([]*Node, size), stops: make([]context.CancelFunc, size), ends: make([]chan struct{}, size), disks: disks,
	}
	for i := range size {
		r.start(i)
	}
	t.Cleanup(func() {
		for i := range size {
			r.stop(i)
		}
	})
	for _, n := range r.nodes {
		if err := n.await(t.Context(), func(v *view) bool {
			voters := 0
			for _, m := range v.members {
				if m.Voter {
					voters++
				}
			}
			return v.lead != "" && voters == size
		}); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *ring) start(i int) {
	peers := map[string]Peer{}
	for j := range r.nodes {
		if j != i {
			peers[fmt.Sprint("m", j)] = wire{r, i, j}
		}
	}
	n, err := NewNode(Options{Store: r.disks[i], Name: fmt.Sprint("m", i), Buckets: []string{"data"}, Bootstrap: i == 0, Peers: peers, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	r.mu.Lock()
	r.nodes[i], r.stops[i], r.ends[i] = n, stop, ended
	r.mu.Unlock()
	go func() {
		n.Run(ctx)
		close(ended)
	}()
}

func (r *ring) stop(i int) {
	r.mu.Lock()
	r.nodes[i] = nil
	r.mu.Unlock()
	r.stops[i]()
	<-r.ends[i]
}

// A register that is written and read under a duty by whoever holds it, while members are cut off and started again, behaves
// as one register (porcupine checks the history). What was not answered may or may not have happened.
func TestLinearizable(t *testing.T) {
	r := newRing(t, 3)
	ctx, over := context.WithTimeout(t.Context(), time.Minute)
	defer over()
	type input struct {
		write bool
		value string
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	note := func(client int, in input, out string, call time.Duration, answered bool) {
		ret := time.Since(began)
		if !answered {
			ret = time.Hour // it may yet happen
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(ret)})
	}
	var clients sync.WaitGroup
	number, holder := 0, 0
	for i := range r.nodes {
		n := r.nodes[i]
		clients.Go(func() {
			n.Hold(ctx, "register", time.Second, func(s *Grant) []byte {
				for k := 0; s.IsValid(); k++ {
					// Each grant is a client of its own: what one has not been answered, no other waits for.
					mu.Lock()
					number++
					client := number
					holder = i
					mu.Unlock()
					if k%2 == 0 {
						in, call := input{true, fmt.Sprintf("%d.%d", s.Epoch, k)}, time.Since(began)
						err := s.Write([]journal.Record{{Bucket: "data", Key: "x", Value: []byte(in.value)}})
						note(client, in, "", call, err == nil)
						if err != nil {
							return nil
						}
						continue
					}
					call, got := time.Since(began), ""
					if err := s.Read("data", func(_ string, v []byte) error { got = string(v); return nil }); err == nil && s.IsValid() {
						note(client, input{}, got, call, true)
					}
					time.Sleep(5 * time.Millisecond)
				}
				return nil
			})
		})
	}
	epochs := func() uint64 {
		duties := r.nodes[0].Duties().Duties
		if len(duties) == 0 { // nobody has held it yet
			return 0
		}
		return duties[0].Epoch
	}
	// On a busy machine it takes longer until another holds.
	for turn := 0; turn < 4 || turn < 16 && epochs() < 3; turn++ {
		time.Sleep(2500 * time.Millisecond)
		mu.Lock()
		i := holder
		mu.Unlock()
		r.mu.Lock()
		clear(r.cut)
		for j := range 3 {
			if j != i {
				r.cut[[2]int{i, j}], r.cut[[2]int{j, i}] = true, turn%2 == 0 // both ways, or one
			}
		}
		r.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	over()
	r.mu.Lock()
	clear(r.cut)
	r.mu.Unlock()
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
		t.Errorf("%d operations under %d epochs show nothing", len(history), epochs())
	}
	if res := porcupine.CheckOperationsTimeout(model, history, 30*time.Second); res != porcupine.Ok {
		t.Errorf("%v: %d operations under %d epochs", res, len(history), epochs())
	}
}

// One process's journal is the beginning of a group, and what it had comes to members that join.
func TestAloneGrowsIntoAGroup(t *testing.T) {
	r := &ring{t: t, cut: map[[2]int]bool{}, nodes: make([]*Node, 3), stops: make([]context.CancelFunc, 3), ends: make([]chan struct{}, 3)}
	for range 3 {
		r.disks = append(r.disks, &journal.Memory{})
	}
	if err := r.disks[0].Write([]journal.Record{{Bucket: "data", Key: "x", Value: []byte("before")}}); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		r.start(i)
		defer r.stop(i)
	}
	for i, d := range r.disks {
		if err := r.nodes[i].await(t.Context(), func(v *view) bool { return len(v.members) == 3 && v.wrong == nil }); err != nil {
			t.Fatal(err)
		}
		got := ""
		d.Read("data", func(_ string, v []byte) error { got = string(v); return nil })
		if got != "before" {
			t.Errorf("member %d has %q", i, got)
		}
	}
}

// A founder that goes on from a copy of its disk of before others voted, and is cut off, leads nobody, not even itself; once it
// is heard it says that its disk is old. With the disk that is its own it leads as soon as one of two others has confirmed it.
func TestOnlyVoterIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &journal.Memory{}
		core, records, err := Load(first, "m0", 2, []string{"data"}, 7, 1)
		if err != nil {
			t.Fatal(err)
		}
		founding, err := core.Bootstrap()
		if err != nil {
			t.Fatal(err)
		}
		first.Write(append(records, founding...))
		before := copyOf(first)
		r := newRingOn(t, []journal.Store{first, &journal.Memory{}, &journal.Memory{}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		r.stop(0)
		r.disks[0] = before
		r.mu.Lock()
		for i := 1; i < 3; i++ {
			r.cut[[2]int{0, i}], r.cut[[2]int{i, 0}] = true, true
		}
		r.mu.Unlock()
		r.start(0)
		time.Sleep(10 * time.Second) // of the test's own clock: five elections' time
		if v := r.nodes[0].view(); !errors.Is(v.wrong, errUnconfirmed) || v.leads || v.applied != 1 {
			t.Errorf("cut off: %v, leads %v, applied %d", v.wrong, v.leads, v.applied)
		}
		r.mu.Lock()
		clear(r.cut)
		r.mu.Unlock()
		if err := r.nodes[0].await(ctx, func(v *view) bool { return errors.Is(v.wrong, ErrStaleDisk) }); err != nil {
			t.Errorf("heard: %v, and its disk is old", r.nodes[0].view().wrong)
		}
	})
}

// sick is a disk that is slow, or full.
type sick struct {
	journal.Memory
	mu   sync.Mutex
	slow time.Duration
	full bool
}

func (s *sick) set(slow time.Duration, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow, s.full = slow, full
}

func (s *sick) Write(records []journal.Record) error {
	s.mu.Lock()
	slow, full := s.slow, s.full
	s.mu.Unlock()
	time.Sleep(slow)
	if full {
		return errors.New("no space left on device")
	}
	return s.Memory.Write(records)
}

// A member whose disk takes two seconds a write, or takes nothing, keeps the others from nothing for long, be it the lead or not; and has what
// they have once its disk is well.
func TestSickDisks(t *testing.T) {
	for _, who := range []string{"the lead", "another"} {
		for _, slow := range []time.Duration{2 * time.Second, 0} {
			what := map[bool]string{true: "slow", false: "full"}[slow > 0]
			t.Run(who+" is "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					disks := []*sick{{}, {}, {}}
					r := newRingOn(t, []journal.Store{disks[0], disks[1], disks[2]})
					bad := slices.IndexFunc(r.nodes, func(n *Node) bool { return n.view().leads })
					if who != "the lead" {
						bad = (bad + 1) % 3
					}
					well := r.nodes[(bad+1)%3]
					epoch, longest := uint64(0), time.Duration(0)
					ask := func(op lease.Op) {
						op.Duty, op.Holder, op.Epoch = "x", "h", epoch
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						defer cancel()
						asked := time.Now()
						a, err := well.Lease(ctx, op)
						if err != nil || a.Refused != "" {
							t.Fatalf("kind %d: %+v, %v", op.Kind, a, err)
						}
						epoch, longest = a.Epoch, max(longest, time.Since(asked))
					}
					ask(lease.Op{Kind: lease.Acquire, Term: lease.MaxTerm})
					disks[bad].set(slow, slow == 0)
					for range 20 {
						ask(lease.Op{Kind: lease.Renew})
						time.Sleep(500 * time.Millisecond)
					}
					if longest > 8*time.Second { // the silence that ends a lead, twice, and two writes
						t.Errorf("a renewal took %v", longest)
					}
					disks[bad].set(0, false)
					ask(lease.Op{Kind: lease.Renew})
					want := well.view().applied
					ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
					defer cancel()
					if err := r.nodes[bad].await(ctx, func(v *view) bool { return v.wrong == nil && v.applied >= want }); err != nil {
						t.Errorf("it has not what the others have: %v", err)
					}
				})
			})
		}
	}
}

// BenchmarkLease is a renewal agreed on by members with journals on disk, many at a time.
func BenchmarkLease(b *testing.B) {
	for _, of := range []struct{ size, holders, at int }{{1, 64, 64}, {3, 64, 64}, {3, 1000, 8}, {3, 1000, 64}, {3, 1000, 1000}, {5, 64, 64}} {
		b.Run(fmt.Sprintf("members=%d/duties=%d/at-once=%d", of.size, of.holders, of.at), func(b *testing.B) {
			r, holders := newRing(b, of.size), of.holders
			epochs := make([]uint64, holders)
			for i := range epochs {
				a, err := r.nodes[0].Lease(b.Context(), lease.Op{Kind: lease.Acquire, Duty: fmt.Sprint(i), Holder: "h", Term: lease.MaxTerm})
				if err != nil || a.Refused != "" {
					b.Fatal(err, a)
				}
				epochs[i] = a.Epoch
			}
			next := make(chan int)
			var renewing sync.WaitGroup
			b.ResetTimer()
			for range of.at {
				renewing.Go(func() {
					for i := range next {
						i %= holders
						if a, err := r.nodes[0].Lease(b.Context(), lease.Op{Kind: lease.Renew, Duty: fmt.Sprint(i), Holder: "h", Epoch: epochs[i]}); err != nil || a.Refused != "" {
							b.Error(err, a)
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
