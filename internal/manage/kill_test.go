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

// testFleet is a fleet in memory with simulated time. Its instances have real control servers and
// only record the applied documents. The manager reaches them over a simulated network that can be
// partitioned.
type testFleet struct {
	t     *testing.T
	net   *network.Network
	store *failingStore
	base  *settings.Settings

	mu          sync.Mutex
	instances   map[string]*testInstance
	manager     *Manager
	stopManager context.CancelFunc
	dialer      *network.Dialer
	managerDone chan struct{}

	// killPoints records the points of a change at which the manager or an instance can be killed.
	killPoints  []string
	killIndex   int // index of the kill point at which onKillPoint is called; -1 for none
	onKillPoint func(at string, instance string)
	refusing    map[string]bool          // instances that can't apply a document
	stuck       map[string]bool          // instances that can neither apply the second part nor revert the first
	applyDelay  map[string]time.Duration // duration of each apply, by instance
}

// testInstance is an instance with its current process.
type testInstance struct {
	fleet         *testFleet
	name          string
	addr          string
	processCount  int
	server        *control.Server
	process       *process
	applied       map[string]map[string]string // hash of the applied document, by epoch and part
	serviceCounts func(time.Duration) control.RequestCounts
}

// process is one process of an instance.
type process struct {
	control.Instance // the manager calls only the methods below

	instance  *testInstance
	epoch     string
	startedAt time.Time

	mu   sync.Mutex
	dead bool
}

func (p *process) Name() string             { return p.instance.name }
func (p *process) Base() *settings.Settings { return p.instance.fleet.base }

func (p *process) State(context.Context) (*control.State, error) {
	s := &control.State{Taking: true, Backends: []control.Backend{}, Requests: []control.Request{}, Causes: []control.FailureCause{}, Classes: []control.Class{}, Accounts: []control.Account{}}
	p.instance.fleet.mu.Lock()
	f := p.instance.serviceCounts
	p.instance.fleet.mu.Unlock()
	if f != nil {
		s.Service = f(time.Since(p.startedAt))
	}
	return s, nil
}

func (p *process) Apply(ctx context.Context, part string, d *document.Document) error {
	fleet := p.instance.fleet
	fleet.reachKillPoint("before "+part+" is applied", p.instance.name)
	fleet.mu.Lock()
	slow, refuse, stuck := fleet.applyDelay[p.instance.name], fleet.refusing[p.instance.name], fleet.stuck[p.instance.name]
	fleet.mu.Unlock()
	time.Sleep(slow)
	p.mu.Lock()
	if p.dead {
		p.mu.Unlock()
		return errors.New("dead")
	}
	if stuck && (part == document.PartDecisions || d.Hash() == emptyHash) {
		p.mu.Unlock()
		return errors.New("stuck")
	}
	if refuse && d.Hash() != emptyHash {
		p.mu.Unlock()
		return errors.New("can't")
	}
	fleet.mu.Lock()
	p.instance.applied[p.epoch][part] = d.Hash()
	fleet.mu.Unlock()
	p.mu.Unlock()
	fleet.reachKillPoint("after "+part+" is applied", p.instance.name)
	return nil
}

func (p *process) Hold(context.Context, string, time.Duration) (bool, error) { return true, nil }
func (p *process) SetAccepting(bool)                                         {}
func (p *process) Reload(context.Context) error                              { return nil }

var emptyHash = (&document.Document{}).Hash()

// start starts a new process of the instance at its address.
func (instance *testInstance) start() {
	fleet := instance.fleet
	l, err := fleet.net.ListenAt(instance.addr)
	if err != nil {
		fleet.t.Error(err)
		return
	}
	fleet.mu.Lock()
	instance.processCount++
	instance.process = &process{instance: instance, epoch: fmt.Sprintf("%s-e%d", instance.name, instance.processCount), startedAt: time.Now()}
	instance.applied[instance.process.epoch] = map[string]string{}
	instance.server = control.NewServer(instance.process, control.Options{Epoch: instance.process.epoch, Labels: map[string]string{"zone": "a"}})
	server := instance.server
	fleet.mu.Unlock()
	go server.Serve(l)
}

// crash ends the process at once. Changes in progress are not applied.
func (instance *testInstance) crash() {
	instance.fleet.mu.Lock()
	p, s := instance.process, instance.server
	instance.fleet.mu.Unlock()
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	s.Close()
}

// failingStore is a journal in memory whose writes can be made to fail.
type failingStore struct {
	journal.Memory
	fleet *testFleet

	mu     sync.Mutex
	err    error
	frozen bool // the manager's process is killed
}

func (s *failingStore) setFailure(err error, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.frozen = err, frozen
}

func (s *failingStore) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen {
		return errors.New("dead")
	}
	return s.err
}

func (s *failingStore) Write(records []journal.Record) error {
	s.fleet.reachKillPoint("before the journal is written", "")
	if err := s.failure(); err != nil {
		return err
	}
	if err := s.Memory.Write(records); err != nil {
		return err
	}
	s.fleet.reachKillPoint("after the journal is written", "")
	return s.failure()
}

// reachKillPoint records a kill point, and calls onKillPoint if it is the selected one.
func (fleet *testFleet) reachKillPoint(event, instance string) {
	fleet.mu.Lock()
	n := len(fleet.killPoints)
	fleet.killPoints = append(fleet.killPoints, strings.TrimSpace(event+" "+instance))
	onKillPoint := fleet.onKillPoint
	fleet.mu.Unlock()
	if n == fleet.killIndex && onKillPoint != nil {
		onKillPoint(event, instance)
	}
}

// recordingClient is a client that records a kill point before and after each call.
type recordingClient struct {
	InstanceClient
	fleet *testFleet
	name  string
}

func (client recordingClient) recordCall(request string, f func() (*control.Change, error)) (*control.Change, error) {
	client.fleet.reachKillPoint("before "+request, client.name)
	c, err := f()
	client.fleet.reachKillPoint("after "+request, client.name)
	return c, err
}

func (client recordingClient) Prepare(ctx context.Context, id string, proposal *control.Proposal) (*control.Change, error) {
	return client.recordCall("prepare", func() (*control.Change, error) { return client.InstanceClient.Prepare(ctx, id, proposal) })
}

func (client recordingClient) Commit(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return client.recordCall("commit", func() (*control.Change, error) { return client.InstanceClient.Commit(ctx, id, fence) })
}

func (client recordingClient) Abort(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return client.recordCall("abort", func() (*control.Change, error) { return client.InstanceClient.Abort(ctx, id, fence) })
}

func (client recordingClient) Confirm(ctx context.Context, id string, fence uint64) (*control.Change, error) {
	return client.recordCall("confirm", func() (*control.Change, error) { return client.InstanceClient.Confirm(ctx, id, fence) })
}

// newTestFleet starts n instances and a manager for them.
func newTestFleet(t *testing.T, n int, seed uint64) *testFleet {
	t.Helper()
	base, err := settings.Parse([]byte(`{"categories":[{"name":"close","aim":600,"deadline":2500,"credit":2,"effect":"side_effect"}],
		"replicasOfMe":1,"limits":{"maxAttempts":3,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}`))
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{t: t, net: network.NewMemory(seed), base: &base, instances: map[string]*testInstance{}, killIndex: -1, refusing: map[string]bool{}, stuck: map[string]bool{}, applyDelay: map[string]time.Duration{}}
	fleet.store = &failingStore{fleet: fleet}
	fleet.net.Apply(network.Rule{
		Match:  func(string, string) bool { return true },
		Change: func(c *network.Conditions) { c.Delay += time.Millisecond },
	})
	for i := range n {
		addr, err := fleet.net.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		instance := &testInstance{fleet: fleet, name: fmt.Sprintf("i%02d", i), addr: addr, applied: map[string]map[string]string{}}
		fleet.instances[instance.name] = instance
		instance.start()
	}
	fleet.startManager()
	return fleet
}

// startManager starts a new manager process with the existing journal.
func (fleet *testFleet) startManager() {
	fleet.store.setFailure(nil, false)
	m, stop, dialer, ended := fleet.newManager(fleet.store, "manager")
	fleet.mu.Lock()
	fleet.manager, fleet.stopManager, fleet.dialer, fleet.managerDone = m, stop, dialer, ended
	fleet.mu.Unlock()
}

func (fleet *testFleet) newManager(s journal.Store, from string) (*Manager, context.CancelFunc, *network.Dialer, chan struct{}) {
	dialer := fleet.net.From(from)
	callers := api.NewDialerOver(nil, "", func(ctx context.Context, _, addr string) (net.Conn, error) { return dialer.Dial(ctx, addr[1:]) })
	newClient := func(a api.Address) InstanceClient {
		return recordingClient{control.NewClient(callers.At(a)), fleet, a.Name}
	}
	o := Options{Store: s, Client: newClient, FreshClient: newClient, Log: slog.New(slog.DiscardHandler)}
	for _, name := range slices.Sorted(maps.Keys(fleet.instances)) {
		o.Instances = append(o.Instances, inventory.Instance{Name: name, Unix: "/" + fleet.instances[name].addr})
	}
	m, err := New(o)
	if err != nil {
		fleet.t.Fatal(err)
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

// update calls a function that changes the behaviour of instances, with the lock held.
func (fleet *testFleet) update(change func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	change()
}

// killManager kills the manager's process. It writes and sends nothing after that.
func (fleet *testFleet) killManager() {
	fleet.mu.Lock()
	stop, dialer := fleet.stopManager, fleet.dialer
	fleet.mu.Unlock()
	fleet.store.setFailure(nil, true)
	stop()
	dialer.Kill()
}

func (fleet *testFleet) close() {
	fleet.mu.Lock()
	stop, ended, dialer := fleet.stopManager, fleet.managerDone, fleet.dialer
	fleet.mu.Unlock()
	stop()
	<-ended
	dialer.Kill()
	for _, instance := range fleet.instances {
		instance.crash()
	}
	time.Sleep(time.Minute) // for connections that are still being opened
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

const worthDocument = `{"decisions":{"classes":{"close":{"worth":9}}}}`

var quickLimits = &Limits{Canaries: 1, Growth: 3, Bake: 1, MayFail: 0.3}

// startRollout starts a rollout, and retries until a manager accepts it.
func (fleet *testFleet) startRollout(id string, o *Order) {
	fleet.t.Helper()
	for range 100 {
		if _, err := fleet.currentManager().StartRollout(context.Background(), id, o); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, err := fleet.currentManager().StartRollout(context.Background(), id, o)
	fleet.t.Fatalf("%s does not start: %v", id, err)
}

func (fleet *testFleet) currentManager() *Manager {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.manager
}

// waitSettled waits until a rollout has stopped and no instance's outcome is unknown. It checks
// each report against the documents that are applied. If resume is true, it resumes a halted
// rollout.
func (fleet *testFleet) waitSettled(id string, resume bool) *Report {
	fleet.t.Helper()
	settledPolls := 0
	for range 600 {
		time.Sleep(500 * time.Millisecond)
		r, err := fleet.currentManager().Report(context.Background(), id)
		if err != nil {
			continue // the manager is being replaced
		}
		fleet.checkReport(r)
		if r.Status == "halted" && resume {
			fleet.currentManager().ControlRollout(context.Background(), id, ResumeAction, false)
			continue
		}
		if r.Stopped() && r.Summary.Unknown == 0 {
			if settledPolls++; settledPolls > 20 {
				return r
			}
		} else {
			settledPolls = 0
		}
	}
	r, err := fleet.currentManager().Report(context.Background(), id)
	fleet.t.Fatalf("%s does not end: %+v, error %v", id, r, err)
	return nil
}

// checkReport compares a report with the documents that the processes have applied.
func (fleet *testFleet) checkReport(r *Report) {
	fleet.t.Helper()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, outcome := range r.Instances {
		applied := fleet.instances[outcome.Name].applied[outcome.Epoch]
		var parts []string
		for _, part := range document.Parts {
			if applied[part] == r.Document {
				parts = append(parts, part)
			}
		}
		complete := len(parts) == len(document.Parts)
		switch {
		case outcome.Back == "applied" && len(parts) > 0:
			fleet.t.Errorf("%s: %s is reported as rolled back, but has %v", r.ID, outcome.Name, parts)
		case outcome.State == "applied" && outcome.Back == "" && !complete:
			fleet.t.Errorf("%s: %s is reported as applied in %s, but has %v", r.ID, outcome.Name, outcome.Epoch, applied)
		case outcome.State == "unchanged" && outcome.Epoch != "" && complete && r.Status != "completed": // reconcilers apply it after completion
			fleet.t.Errorf("%s: %s is reported as unchanged in %s, but has %v", r.ID, outcome.Name, outcome.Epoch, applied)
		case outcome.State == "partly changed" && outcome.Back == "" && !slices.Equal(outcome.Parts, parts):
			fleet.t.Errorf("%s: %s is reported to have %v in %s, but has %v", r.ID, outcome.Name, outcome.Parts, outcome.Epoch, parts)
		}
	}
}

// checkApplied returns an error if a current process does not have all parts of a document.
func (fleet *testFleet) checkApplied(hash string) error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, instance := range fleet.instances {
		for _, part := range document.Parts {
			if has := instance.applied[instance.process.epoch][part]; has != hash && (has != "" || hash != emptyHash) {
				return fmt.Errorf("%s has %q of %s in %s", instance.name, has, part, instance.process.epoch)
			}
		}
	}
	return nil
}

// TestKilledAtEachPoint kills the manager, or the instance that is being changed, at each point of
// a change. The report must be true for each instance and its epoch, the rollout must end, and all
// instances must have the same document in the end. The points are counted during the change, so
// that none is left out.
func TestKilledAtEachPoint(t *testing.T) {
	for _, victim := range []string{"manager", "instance"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			for killIndex := 0; ; killIndex++ {
				done := false
				var lastPoint string
				synctest.Test(t, func(t *testing.T) {
					fleet := newTestFleet(t, 4, uint64(killIndex))
					defer fleet.close()
					fleet.killIndex = killIndex
					fleet.onKillPoint = func(event, name string) {
						lastPoint = event + " " + name
						switch {
						case victim == "manager":
							fleet.killManager()
							go func() {
								time.Sleep(time.Second)
								fleet.startManager()
							}()
						case name != "":
							instance := fleet.instances[name]
							instance.crash()
							go func() {
								time.Sleep(time.Second)
								instance.start()
							}()
						}
					}
					d := doc(t, worthDocument)
					fleet.startRollout("r", &Order{Document: d, Limits: quickLimits})
					r := fleet.waitSettled("r", true)
					want := d.Hash()
					switch {
					case r.Status == "completed":
					case victim == "instance" && r.Status == "rolled back" && strings.Contains(r.Reason, "refuse"):
						want = emptyHash // the instance died during the bake time, so the change may have caused it
						rolledBack++
					default:
						t.Errorf("%s, %s", r.Status, r.Reason)
					}
					time.Sleep(30 * time.Second) // for the reconcilers to restore the wanted document
					if err := fleet.checkApplied(want); err != nil {
						t.Error(err)
					}
					done = len(fleet.killPoints) <= killIndex
				})
				if t.Failed() {
					t.Fatalf("killed at point %d, %s", killIndex, lastPoint)
				}
				if done {
					t.Logf("%d points, rolled back after %d", killIndex, rolledBack)
					if killIndex < 40 || rolledBack > killIndex/2 {
						t.Errorf("%d points, rolled back after %d", killIndex, rolledBack)
					}
					return
				}
			}
		})
	}
}
