package manage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/settings"
	"example.org/micaline/internal/standin/network"
)

// town is a fleet in memory, in a time of its own: real control interfaces before instances that only note what is
// applied, and a manager over a network that can be cut.
type town struct {
	t     *testing.T
	net   *network.Network
	store *store
	base  *settings.Settings

	mu      sync.Mutex
	houses  map[string]*house
	manager *Manager
	stop    context.CancelFunc
	dialer  *network.Dialer
	ended   chan struct{}

	// Points are what can be survived: each is a moment of the change at which somebody may be killed.
	points []string
	kill   int // the one at which it happens, from 0; -1 for never
	strike func(at string, instance string)
	refuse map[string]bool          // instances that can't apply
	stuck  map[string]bool          // instances that can't apply the second part, nor go back in the first
	slow   map[string]time.Duration // that apply takes
}

// house is an instance's place, with its present process.
type house struct {
	town   *town
	name   string
	addr   string
	epochs int
	server *control.Server
	proc   *process
	truth  map[string]map[string]string // document by part that is applied, by epoch
	served func(time.Duration) control.RequestCounts
}

// process is one process of an instance.
type process struct {
	control.Instance // of which the manager calls no more than what follows

	house *house
	epoch string
	born  time.Time

	mu   sync.Mutex
	dead bool
}

func (p *process) Name() string             { return p.house.name }
func (p *process) Base() *settings.Settings { return p.house.town.base }

func (p *process) State(context.Context) (*control.State, error) {
	s := &control.State{Taking: true, Backends: []control.Backend{}, Requests: []control.Request{}, Causes: []control.FailureCause{}, Classes: []control.Class{}, Accounts: []control.Account{}}
	p.house.town.mu.Lock()
	f := p.house.served
	p.house.town.mu.Unlock()
	if f != nil {
		s.Service = f(time.Since(p.born))
	}
	return s, nil
}

func (p *process) Apply(ctx context.Context, part string, d *document.Document) error {
	w := p.house.town
	w.point("before "+part+" is applied", p.house.name)
	w.mu.Lock()
	slow, refuse, stuck := w.slow[p.house.name], w.refuse[p.house.name], w.stuck[p.house.name]
	w.mu.Unlock()
	time.Sleep(slow)
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return errors.New("dead")
	}
	if stuck && (part == document.PartDecisions || d.Hash() == empty) {
		p.mu.Unlock()
		return errors.New("stuck")
	}
	if refuse && d.Hash() != empty {
		p.mu.Unlock()
		return errors.New("can't")
	}
	w.mu.Lock()
	p.house.truth[p.epoch][part] = d.Hash()
	w.mu.Unlock()
	p.mu.Unlock()
	w.point("after "+part+" is applied", p.house.name)
	return nil
}

func (p *process) Hold(context.Context, string, time.Duration) (bool, error) { return true, nil }
func (p *process) SetAccepting(bool)                                         {}
func (p *process) Reload(context.Context) error                              { return nil }

var empty = (&document.Document{}).Hash()

// start starts a process at the place.
func (h *house) start() {
	w := h.town
	l, err := w.net.ListenAt(h.addr)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.mu.Lock()
	h.epochs++
	h.proc = &process{house: h, epoch: fmt.Sprintf("%s-e%d", h.name, h.epochs), born: time.Now()}
	h.truth[h.proc.epoch] = map[string]string{}
	h.server = control.NewServer(h.proc, control.Options{Epoch: h.proc.epoch, Labels: map[string]string{"zone": "a"}})
	server := h.server
	w.mu.Unlock()
	go server.Serve(l)
}

// die ends the process at once. What it was at is not done.
func (h *house) die() {
	h.town.mu.Lock()
	p, s := h.proc, h.server
	h.town.mu.Unlock()
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	s.Close()
}

// store is a journal that can fail.
type store struct {
	journal.Memory
	town *town

	mu     sync.Mutex
	fails  error
	frozen bool // its manager is dead
}

func (s *store) set(fails error, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails, s.frozen = fails, frozen
}

func (s *store) failing() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		return errors.New("dead")
	}
	return s.fails
}

func (s *store) Write(records []journal.Record) error {
	s.town.point("before the journal is written", "")
	if err := s.failing(); err != nil {
		return err
	}
	if err := s.Memory.Write(records); err != nil {
		return err
	}
	s.town.point("after the journal is written", "")
	return s.failing()
}

// point is a moment at which somebody may be killed.
func (w *town) point(what, instance string) {
	w.mu.Lock()
	n := len(w.points)
	w.points = append(w.points, strings.TrimSpace(what+" "+instance))
	strike := w.strike
	w.mu.Unlock()
	if n == w.kill && strike != nil {
		strike(what, instance)
	}
}

// probe is a client whose calls are points.
type probe struct {
	InstanceClient
	town *town
	name string
}

func (p probe) around(what string, f func() (*control.Change, error)) (*control.Change, error) {
	p.town.point("before "+what, p.name)
	c, err := f()
	p.town.point("after "+what, p.name)
	return c, err
}

func (p probe) Prepare(ctx context.Context, id string, x *control.Proposal) (*control.Change, error) {
	return p.around("prepare", func() (*control.Change, error) { return p.InstanceClient.Prepare(ctx, id, x) })
}

func (p probe) Commit(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return p.around("commit", func() (*control.Change, error) { return p.InstanceClient.Commit(ctx, id, fence) })
}

func (p probe) Abort(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return p.around("abort", func() (*control.Change, error) { return p.InstanceClient.Abort(ctx, id, fence) })
}

func (p probe) Confirm(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return p.around("confirm", func() (*control.Change, error) { return p.InstanceClient.Confirm(ctx, id, fence) })
}

// newTown starts so many instances, and a manager of them.
func newTown(t *testing.T, n int, seed uint64) *town {
	t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	w := &town{t: t, net: network.NewMemory(seed), base: &base, houses: map[string]*house{}, kill: -1, refuse: map[string]bool{}, stuck: map[string]bool{}, slow: map[string]time.Duration{}}
	w.store = &store{town: w}
	w.net.Apply(network.Rule{
		Match:  func(string, string) bool { return true },
		Change: func(c *network.Conditions) { c.Delay += time.Millisecond },
	})
	for i := range n {
		addr, err := w.net.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		h := &house{town: w, name: fmt.Sprintf("i%02d", i), addr: addr, truth: map[string]map[string]string{}}
		w.houses[h.name] = h
		h.start()
	}
	w.startManager()
	return w
}

// startManager starts a process of the manager on the journal that there is.
func (w *town) startManager() {
	w.store.set(nil, false)
	m, stop, dialer, ended := w.newManager(w.store, "manager")
	w.mu.Lock()
	w.manager, w.stop, w.dialer, w.ended = m, stop, dialer, ended
	w.mu.Unlock()
}

func (w *town) newManager(s journal.Store, from string) (*Manager, context.CancelFunc, *network.Dialer, chan struct{}) {
	dialer := w.net.From(from)
	callers := api.NewDialerOver(nil, "", func(ctx context.Context, _, addr string) (net.Conn, error) { return dialer.Dial(ctx, addr[1:]) })
	at := func(a api.Address) InstanceClient { return probe{control.NewClient(callers.At(a)), w, a.Name} }
	o := Options{Store: s, Client: at, FreshClient: at, Log: slog.New(slog.DiscardHandler)}
	for _, name := range slices.Sorted(maps.Keys(w.houses)) {
		o.Instances = append(o.Instances, inventory.Instance{Name: name, Unix: "/" + w.houses[name].addr})
	}
	m, err := New(o)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx)
		callers.Close()
	}()
	return m, stop, dialer, ended
}

// set changes how instances behave.
func (w *town) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// killManager ends the manager's process at once: it writes and sends nothing more.
func (w *town) killManager() {
	w.mu.Lock()
	stop, dialer := w.stop, w.dialer
	w.mu.Unlock()
	w.store.set(nil, true)
	stop()
	dialer.Kill()
}

func (w *town) close() {
	w.mu.Lock()
	stop, ended, dialer := w.stop, w.ended, w.dialer
	w.mu.Unlock()
	stop()
	<-ended
	dialer.Kill()
	for _, h := range w.houses {
		h.die()
	}
	time.Sleep(time.Minute) // for connections that are still being made
	synctest.Wait()
}

func doc(t *testing.T, text string) *document.Document {
	t.Helper()
	d, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

const someWorth = `{"decisions":{"classes":{"close":{"worth":9}}}}`

var quick = &Limits{Canaries: 1, Growth: 3, Bake: 1, MayFail: 0.3}

// begin has a rollout begin, as soon as there is a manager that takes it.
func (w *town) begin(id string, o *Order) {
	w.t.Helper()
	for range 100 {
		if _, err := w.now().StartRollout(context.Background(), id, o); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, err := w.now().StartRollout(context.Background(), id, o)
	w.t.Fatalf("%s does not begin: %v", id, err)
}

func (w *town) now() *Manager {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manager
}

// settle waits until a rollout is over and nothing about it is unknown. Whatever the report says of an instance is
// held against the truth all the time; a halted rollout is resumed.
func (w *town) settle(id string, resume bool) *Report {
	w.t.Helper()
	quiet := 0
	for range 600 {
		time.Sleep(500 * time.Millisecond)
		r, err := w.now().Report(context.Background(), id)
		if err != nil {
			continue // the manager is being replaced
		}
		w.hold(r)
		if r.Status == "halted" && resume {
			w.now().ControlRollout(context.Background(), id, ResumeAction, false)
			continue
		}
		if r.Stopped() && r.Summary.Unknown == 0 {
			if quiet++; quiet > 20 {
				return r
			}
		} else {
			quiet = 0
		}
	}
	r, err := w.now().Report(context.Background(), id)
	w.t.Fatalf("%s does not end: %+v, error %v", id, r, err)
	return nil
}

// hold holds a report against what the processes have really applied.
func (w *town) hold(r *Report) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range r.Instances {
		has := w.houses[g.Name].truth[g.Epoch]
		var parts []string
		for _, part := range document.Parts {
			if has[part] == r.Document {
				parts = append(parts, part)
			}
		}
		whole := len(parts) == len(document.Parts)
		switch {
		case g.Back == "applied" && len(parts) > 0:
			w.t.Errorf("%s: %s is told as taken back, and has %v", r.ID, g.Name, parts)
		case g.State == "applied" && g.Back == "" && !whole:
			w.t.Errorf("%s: %s is told as applied in %s, and has %v", r.ID, g.Name, g.Epoch, has)
		case g.State == "unchanged" && g.Epoch != "" && whole && r.Status != "completed": // when it is, keepers may bring it there
			w.t.Errorf("%s: %s is told as unchanged in %s, and has %v", r.ID, g.Name, g.Epoch, has)
		case g.State == "partly changed" && g.Back == "" && !slices.Equal(g.Parts, parts):
			w.t.Errorf("%s: %s is told as having %v in %s, and has %v", r.ID, g.Name, g.Parts, g.Epoch, parts)
		}
	}
}

// all says whether the present processes have a document, whole.
func (w *town) all(hash string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.houses {
		for _, part := range document.Parts {
			if has := h.truth[h.proc.epoch][part]; has != hash && (has != "" || hash != empty) {
				return fmt.Errorf("%s has %q of %s in %s", h.name, has, part, h.proc.epoch)
			}
		}
	}
	return nil
}

// Whoever is killed at whichever point of a change, the manager or the instance that it is about: the report says of each
// instance what is so, under the epoch that said so, the rollout ends, and all instances have the document in the end. The points are
// counted as the change runs, so that none is left out.
func TestKilledAtEachPoint(t *testing.T) {
	for _, victim := range []string{"manager", "instance"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			rolled := 0
			for kill := 0; ; kill++ {
				done := false
				var at string
				synctest.Test(t, func(t *testing.T) {
					w := newTown(t, 4, uint64(kill))
					defer w.close()
					w.kill = kill
					w.strike = func(what, instance string) {
						at = what + " " + instance
						switch {
						case victim == "manager":
							w.killManager()
							go func() {
								time.Sleep(time.Second)
								w.startManager()
							}()
						case instance != "":
							h := w.houses[instance]
							h.die()
							go func() {
								time.Sleep(time.Second)
								h.start()
							}()
						}
					}
					d := doc(t, someWorth)
					w.begin("r", &Order{Document: d, Limits: quick})
					r := w.settle("r", true)
					want := d.Hash()
					switch {
					case r.Status == "completed":
					case victim == "instance" && r.Status == "rolled back" && strings.Contains(r.Reason, "refuse"):
						want = empty // it has died while the change was watched, of which it may have been the cause
						rolled++
					default:
						t.Errorf("%s, %s", r.Status, r.Reason)
					}
					time.Sleep(30 * time.Second) // for keepers
					if err := w.all(want); err != nil {
						t.Error(err)
					}
					done = len(w.points) <= kill
				})
				if t.Failed() {
					t.Fatalf("killed at point %d, %s", kill, at)
				}
				if done {
					t.Logf("%d points, rolled back after %d", kill, rolled)
					if kill < 40 || rolled > kill/2 {
						t.Errorf("%d points, rolled back after %d", kill, rolled)
					}
					return
				}
			}
		})
	}
}
