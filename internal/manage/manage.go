// Package manage implements the manager of a fleet. It polls the instances, rolls settings
// documents out to them in waves, restores the wanted document on instances that differ from it,
// and reports the outcome for each instance. Package rollout makes the rollout decisions. This
// package sends the requests, writes the journal and serves operators.
//
// All state belongs to the event loop in Manager.Run. A request is sent only after the state that
// it depends on has been written to the journal.
package manage

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/change"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/inventory"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/rollout"
)

const (
	tickInterval          = 100 * time.Millisecond
	pollInterval          = 2 * time.Second // time between two polls of one instance
	pollTimeout           = 2 * time.Second
	sendTimeout           = 5 * time.Second
	journalRetryInterval  = time.Second // wait after a failed write
	fenceDiscoveryTimeout = 3 * time.Second
	announcementExpiry    = 10 * time.Minute // an announced instance is removed after this time without announcement or answer
	confirmTimeout        = 20 * time.Second // an instance reverts a change that is not confirmed over a new connection
	maxRollouts           = 64               // kept in memory and in the journal
	eventQueueSize        = 1024             // capacity for results of polls and requests
	// Concurrent requests to instances that answer, and to those whose last poll failed. The limits
	// are separate so that unreachable instances do not delay requests to the others.
	maxRequests     = 128
	maxSlowRequests = 32
)

// Buckets of the journal.
const (
	metaBucket      = "meta"
	documentBucket  = "documents" // by document hash
	rolloutBucket   = "rollouts"
	memberBucket    = "members" // by rollout ID and instance name
	wantedBucket    = "wanted"  // document hash by instance name
	announcedBucket = "announced"
)

// Buckets lists the buckets that a journal must provide.
var Buckets = []string{metaBucket, documentBucket, rolloutBucket, memberBucket, wantedBucket, announcedBucket}

// InstanceClient sends requests to one instance. control.Client implements it.
type InstanceClient interface {
	Summary(ctx context.Context, fence uint64) (*control.Summary, error)
	Document(ctx context.Context) (*control.VersionedDocument, error)
	Prepare(ctx context.Context, id string, p *control.Proposal) (*control.Change, error)
	Commit(ctx context.Context, id string, fence uint64) (*control.Change, error)
	Abort(ctx context.Context, id string, fence uint64) (*control.Change, error)
	Confirm(ctx context.Context, id string, fence uint64) (*control.Change, error)
}

// Options configure a manager.
type Options struct {
	Store       journal.Store
	Instances   []inventory.Instance               // instances of the fleet file
	Client      func(a api.Address) InstanceClient // returns a client for the instance at an address
	FreshClient func(a api.Address) InstanceClient // as Client, with a new connection for each request
	Log         *slog.Logger
	// MayAct reports whether the manager still holds its lease and may send requests. Nil means
	// always.
	MayAct func() bool
}

// Manager manages a fleet of instances. Create it with New and start it with Run.
type Manager struct {
	opts             Options
	calls            chan func() // API calls, which are served even while the journal can't be written
	events           chan func() // results of requests, which wait while the journal can't be written
	done             chan struct{}
	requestSlots     chan struct{}
	slowRequestSlots chan struct{}

	// The fields below belong to the event loop.
	started        time.Duration
	fence          uint64 // fencing token of this manager; 0 until the instances have been asked for theirs
	storedFence    uint64 // the last fence loaded or chosen
	committedFence uint64 // the fence that has been written to the journal
	highestFence   uint64 // the highest fence that an instance has reported
	superseded     bool
	instances      map[string]*managedInstance
	rollouts       map[string]*rollout.Rollout
	rolloutOrder   []string // rollout IDs, oldest first
	documents      map[string]*document.Document
	wanted         map[string]string

	pendingRecords []journal.Record          // to be written to the journal
	pendingSends   []rollout.OutgoingRequest // requests to send once pendingRecords are written
	journalErr     error                     // error of the last journal write; nil if it succeeded
	journalRetryAt time.Duration
	pendingAcks    []func(error) // callers of update that wait for pendingRecords to be written
	damagedRecords []string      // errors of damaged records that were skipped on loading
}

// managedInstance is the manager's state for one instance.
type managedInstance struct {
	inventory.Instance
	labels            map[string]string // labels of the fleet file or announcement, with those that the instance reports
	acknowledgedFence uint64            // the fence that was sent with the last successful poll
	announcedAt       time.Duration     // time of the last announcement; 0 for an instance of the fleet file
	summary           *control.Summary  // answer to the last successful poll
	summaryAt         time.Duration
	pollErr           error // error of the last poll
	polling           bool
	nextPoll          time.Duration
	serviceWindow     rollout.SlidingWindow
	observation       rollout.Observation
	reconciler        rollout.Reconciler
}

// reachable reports whether the last poll succeeded.
func (instance *managedInstance) reachable() bool {
	return instance.summary != nil && instance.pollErr == nil
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// New returns a manager with the state of its journal. A damaged journal is an error, unless the
// manager can recover the damaged records.
func New(o Options) (*Manager, error) {
	m := &Manager{
		opts: o, calls: make(chan func()), events: make(chan func(), eventQueueSize), done: make(chan struct{}),
		requestSlots: make(chan struct{}, maxRequests), slowRequestSlots: make(chan struct{}, maxSlowRequests),
		instances: map[string]*managedInstance{}, rollouts: map[string]*rollout.Rollout{}, documents: map[string]*document.Document{},
		wanted: map[string]string{},
	}
	if err := m.load(); err != nil {
		return nil, err
	}
	for _, in := range o.Instances {
		m.registerInstance(in)
	}
	return m, nil
}

// registerInstance adds an instance, or updates the address and labels of a known one.
func (m *Manager) registerInstance(in inventory.Instance) *managedInstance {
	instance := m.instances[in.Name]
	if instance == nil {
		instance = &managedInstance{reconciler: rollout.Reconciler{Name: in.Name, Desired: m.wanted[in.Name]}}
		m.instances[in.Name] = instance
	}
	instance.Instance, instance.labels = in, in.Labels
	return instance
}

// Run runs the event loop until the context ends.
func (m *Manager) Run(ctx context.Context) {
	m.started = now()
	defer close(m.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		events := m.events
		if m.journalErr != nil {
			events = nil
		}
		select {
		case <-ctx.Done():
			return
		case f := <-m.calls:
			f()
		case f := <-events:
			f()
			for more := true; more; { // queued events share one journal transaction
				select {
				case f := <-events:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
		}
		m.advance(ctx)
	}
}

// advance polls instances, advances the rollouts, writes the journal and then starts requests.
func (m *Manager) advance(ctx context.Context) {
	t := now()
	m.poll(ctx, t)
	if m.journalErr != nil && t < m.journalRetryAt {
		return
	}
	if m.journalErr == nil {
		m.discoverFence(t)
		m.advanceRollouts(t)
	}
	if len(m.pendingRecords) > 0 {
		if err := m.opts.Store.Write(m.pendingRecords); err != nil {
			if m.journalErr == nil {
				m.opts.Log.Error("writing the journal failed; no requests are sent until it succeeds", "error", err)
			}
			m.journalErr, m.journalRetryAt = err, t+journalRetryInterval
			m.acknowledge(&api.Problem{Status: 503, Title: "the manager can't write its journal", Detail: err.Error() + "; the order waits until it can"})
			return
		}
		m.pendingRecords = nil
	}
	m.committedFence = m.fence
	if m.journalErr != nil {
		m.opts.Log.Info("the journal is writable again")
		m.journalErr = nil
	}
	m.acknowledge(nil)
	for _, s := range m.pendingSends {
		m.startRequest(ctx, s)
	}
	m.pendingSends = nil
}

// acknowledge passes the result of a journal write to the callers of update that wait for it.
func (m *Manager) acknowledge(err error) {
	for _, ack := range m.pendingAcks {
		ack(err)
	}
	m.pendingAcks = nil
}

// discoverFence chooses a fence once all known instances have been polled for the fences of other
// managers, or after fenceDiscoveryTimeout.
func (m *Manager) discoverFence(t time.Duration) {
	if m.fence != 0 {
		return
	}
	if t-m.started < fenceDiscoveryTimeout {
		for _, instance := range m.instances {
			if instance.summary == nil && instance.pollErr == nil {
				return
			}
		}
	}
	m.chooseFence()
}

// chooseFence chooses a fence higher than all known ones.
func (m *Manager) chooseFence() {
	m.fence = change.NextFence(max(m.highestFence, m.storedFence), rand.Uint32())
	m.storedFence, m.superseded = m.fence, false
	for _, instance := range m.instances {
		instance.nextPoll = 0 // so that it learns the new fence
	}
	m.appendRecord(metaBucket, "fence", m.fence)
	m.opts.Log.Info("managing", "fence", m.fence, "instances", len(m.instances), "rollouts", len(m.rollouts))
}

// fenceToSend returns the fence to send with polls. It is 0 if the fence is not in the journal yet,
// or if the manager is superseded or may not act.
func (m *Manager) fenceToSend() uint64 {
	if m.superseded || m.committedFence != m.fence || !m.mayAct() {
		return 0
	}
	return m.fence
}

func (m *Manager) mayAct() bool { return m.opts.MayAct == nil || m.opts.MayAct() }

// fenceAcknowledged reports whether all instances, except those whose last poll failed, have
// received this manager's fence. No change is sent before that, because an instance without the new
// fence would still accept a late request of an earlier manager.
func (m *Manager) fenceAcknowledged() bool {
	for _, instance := range m.instances {
		if instance.acknowledgedFence != m.fence && instance.pollErr == nil {
			return false
		}
	}
	return true
}

// advanceRollouts advances the rollouts, collects their requests and adds their changed state to
// pendingRecords.
func (m *Manager) advanceRollouts(t time.Duration) {
	acknowledged := m.fenceAcknowledged()
	for _, id := range m.rolloutOrder {
		r := m.rollouts[id]
		if m.superseded {
			r.Supersede(t, fmt.Sprintf("a newer manager has spoken, with fence %d", m.highestFence))
		} else if m.fence != 0 && acknowledged {
			status, baking := r.Status, r.Baking
			sends := r.Advance(t)
			if r.Status != status {
				m.updateWanted(r)
			}
			if r.Baking > baking { // poll the wave's instances now instead of at their next interval
				for _, x := range r.Members() {
					if instance := m.instances[x.Name]; instance != nil && x.Wave == r.Wave {
						instance.nextPoll = t
					}
				}
			}
			m.pendingSends = append(m.pendingSends, sends...)
		}
		header, members := r.Unsaved()
		if header != nil {
			m.appendRecord(rolloutBucket, id, header)
			m.opts.Log.Info("rollout", "id", id, "status", r.Status.String(), "wave", r.Wave+1, "of", r.Waves, "reason", r.Reason)
		}
		for _, x := range members {
			m.appendRecord(memberBucket, id+"\x00"+x.Name, x)
		}
		r.MarkSaved() // the records are queued, and requests are sent only after they are written
	}
}

// updateWanted sets the wanted documents of the instances when a rollout is completed or rolled
// back.
func (m *Manager) updateWanted(r *rollout.Rollout) {
	switch r.Status {
	case rollout.Completed:
		for _, x := range r.Members() {
			m.setWanted(x.Name, r.Document)
		}
	case rollout.RolledBack:
		for _, x := range r.Members() {
			if x.Target.Sent || x.Target.State == change.Done {
				m.setWanted(x.Name, x.Was)
			}
		}
	}
}

// setWanted sets the hash of the document that an instance should have.
func (m *Manager) setWanted(name, hash string) {
	m.wanted[name] = hash
	m.appendRecord(wantedBucket, name, hash)
	if instance := m.instances[name]; instance != nil {
		instance.reconciler.Desired = hash
	}
}

// activeRollout returns the ID of the rollout that is changing an instance, if there is one.
func (m *Manager) activeRollout(name string) (id string, active bool) {
	for _, id := range m.rolloutOrder {
		if m.rollouts[id].Busy(name) {
			return id, true
		}
	}
	return "", false
}

// update runs a function that changes state in the event loop, and waits until the change is in the
// journal.
func (m *Manager) update(ctx context.Context, f func() error) error {
	return m.call(ctx, func(done func(error)) {
		if m.journalErr != nil {
			done(&api.Problem{Status: 503, Title: "the manager can't write its journal", Detail: m.journalErr.Error()})
			return
		}
		if err := f(); err != nil {
			done(err)
			return
		}
		m.pendingAcks = append(m.pendingAcks, done)
	})
}

var errStopped = errors.New("the manager has stopped")

// call runs a function in the event loop, and waits until the function calls done. Its error is the
// one passed to done, errStopped if the manager stops first, or the context's error if the loop
// does not start the function in time.
func (m *Manager) call(ctx context.Context, f func(done func(error))) error {
	result := make(chan error, 1)
	select {
	case m.calls <- func() { f(func(err error) { result <- err }) }:
	case <-m.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-m.done:
		return errStopped
	}
}
