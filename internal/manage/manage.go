// Package manage is the managing agent: it knows the instances of a fleet, brings documents to them in waves, keeps them at
// what is wanted, and says who got what. What it decides, package rollout decides; this package asks the instances, keeps
// the journal, and serves operators.
//
// All state belongs to one goroutine. Nothing is sent before what it hangs on is in the journal.
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
	stepEvery    = 100 * time.Millisecond
	pollEvery    = 2 * time.Second // each instance is asked so often what it shows
	pollTimeout  = 2 * time.Second
	sendTimeout  = 5 * time.Second
	againEvery   = time.Second // that a journal which can't be written is tried again
	firstHearing = 3 * time.Second
	forgetAfter  = 10 * time.Minute // an instance that had announced itself, and is silent
	confirmIn    = 20 * time.Second // an instance takes a change back that isn't confirmed over a new connection
	mostRollouts = 64               // that are remembered
	queue        = 1024             // of what has happened
	// Requests that are out at once: to instances that answer, and to those that have fallen silent, which must not hold
	// the others up.
	lanes     = 128
	slowLanes = 32
)

// The buckets of the journal.
const (
	metaBucket      = "meta"
	documentBucket  = "documents" // by hash
	rolloutBucket   = "rollouts"
	memberBucket    = "members" // by rollout and name
	wantedBucket    = "wanted"  // hash, by name
	announcedBucket = "announced"
)

// Buckets are those that a journal must have.
var Buckets = []string{metaBucket, documentBucket, rolloutBucket, memberBucket, wantedBucket, announcedBucket}

// Instance is how the manager talks to an instance: a control.Client.
type InstanceClient interface {
	Summary(ctx context.Context, fence uint64) (*control.Summary, error)
	Document(ctx context.Context) (*control.VersionedDocument, error)
	Prepare(ctx context.Context, id string, p *control.Proposal) (*control.Change, error)
	Commit(ctx context.Context, id string, fence uint64) (*control.Change, error)
	Abort(ctx context.Context, id string, fence uint64) (*control.Change, error)
	Confirm(ctx context.Context, id string, fence uint64) (*control.Change, error)
}

// Options say what a manager has to do with.
type Options struct {
	Store       journal.Store
	Instances   []inventory.Instance               // known beforehand
	Client      func(a api.Address) InstanceClient // a client of the instance there
	FreshClient func(a api.Address) InstanceClient // the same, over a new connection each time
	Log         *slog.Logger
	// May says whether the manager may still act, where another could have taken its place. nil: always.
	MayAct func() bool
}

// Manager is the managing agent.
type Manager struct {
	opts   Options
	asks   chan func() // are answered whatever else is wrong
	inputs chan func() // wait while the journal can't be written
	done   chan struct{}
	fast   chan struct{}
	slow   chan struct{}

	// Of the loop.
	began      time.Duration
	fence      uint64 // 0 until the instances have been heard
	stored     uint64 // the last one of this journal
	written    uint64 // the one that is in it
	highest    uint64 // that was heard
	superseded bool
	places     map[string]*place
	rollouts   map[string]*rollout.Rollout
	order      []string // of rollouts, the oldest first
	documents  map[string]*document.Document
	wanted     map[string]string

	records []journal.Record          // to be written
	sends   []rollout.OutgoingRequest // and then sent
	failure error                     // why the journal can't be written
	retry   time.Duration
	acks    []func(error) // to those who have given orders, once the records are written
	damaged []string      // what of the journal could not be read
}

// place is an instance as the manager knows it.
type place struct {
	inventory.Instance
	labels    map[string]string // with those that it has itself
	heard     uint64            // fence of this manager that it has heard
	announced time.Duration     // last; 0 if it is of the file
	look      *control.Summary  // the last
	looked    time.Duration
	err       error // of the last poll
	polling   bool
	due       time.Duration
	window    rollout.SlidingWindow
	seen      rollout.Observation
	keeper    rollout.Reconciler
}

// reachable says whether the last poll was answered.
func (p *place) reachable() bool { return p.look != nil && p.err == nil }

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// New returns a manager that goes on from its journal.
func New(o Options) (*Manager, error) {
	m := &Manager{
		opts: o, asks: make(chan func()), inputs: make(chan func(), queue), done: make(chan struct{}),
		fast: make(chan struct{}, lanes), slow: make(chan struct{}, slowLanes),
		places: map[string]*place{}, rollouts: map[string]*rollout.Rollout{}, documents: map[string]*document.Document{},
		wanted: map[string]string{},
	}
	if err := m.load(); err != nil {
		return nil, err
	}
	for _, in := range o.Instances {
		m.place(in)
	}
	return m, nil
}

// place makes an instance known, at a place that may be new.
func (m *Manager) place(in inventory.Instance) *place {
	p := m.places[in.Name]
	if p == nil {
		p = &place{keeper: rollout.Reconciler{Name: in.Name, Desired: m.wanted[in.Name]}}
		m.places[in.Name] = p
	}
	p.Instance, p.labels = in, in.Labels
	return p
}

// Run manages until the context ends.
func (m *Manager) Run(ctx context.Context) {
	m.began = now()
	defer close(m.done)
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for {
		in := m.inputs
		if m.failure != nil {
			in = nil
		}
		select {
		case <-ctx.Done():
			return
		case f := <-m.asks:
			f()
		case f := <-in:
			f()
			for more := true; more; { // those that have come meanwhile share the transaction
				select {
				case f := <-in:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
		}
		m.step(ctx)
	}
}

// step goes on with all that can go on.
func (m *Manager) step(ctx context.Context) {
	t := now()
	m.poll(ctx, t)
	if m.failure != nil && t < m.retry {
		return
	}
	if m.failure == nil {
		m.hear(t)
		m.proceed(t)
	}
	if len(m.records) > 0 {
		if err := m.opts.Store.Write(m.records); err != nil {
			if m.failure == nil {
				m.opts.Log.Error("the journal can't be written: nothing is sent until it can", "error", err)
			}
			m.failure, m.retry = err, t+againEvery
			m.acknowledge(&api.Problem{Status: 503, Title: "the manager can't write its journal", Detail: err.Error() + "; the order waits until it can"})
			return
		}
		m.records = nil
	}
	m.written = m.fence
	if m.failure != nil {
		m.opts.Log.Info("the journal can be written again")
		m.failure = nil
	}
	m.acknowledge(nil)
	for _, s := range m.sends {
		m.send(ctx, s)
	}
	m.sends = nil
}

func (m *Manager) acknowledge(err error) {
	for _, ack := range m.acks {
		ack(err)
	}
	m.acks = nil
}

// hear takes a number, once the instances that are known were asked for those of other managers.
func (m *Manager) hear(t time.Duration) {
	if m.fence != 0 {
		return
	}
	if t-m.began < firstHearing {
		for _, p := range m.places {
			if p.look == nil && p.err == nil {
				return
			}
		}
	}
	m.take()
}

// take takes a number that is higher than all that were heard.
func (m *Manager) take() {
	m.fence = change.NextFence(max(m.highest, m.stored), rand.Uint32())
	m.stored, m.superseded = m.fence, false
	for _, p := range m.places {
		p.due = 0 // to be told
	}
	m.write(metaBucket, "fence", m.fence)
	m.opts.Log.Info("managing", "fence", m.fence, "instances", len(m.places), "rollouts", len(m.rollouts))
}

// stated is the fence that instances are to hear of: one that is in the journal, and of a manager that may act.
func (m *Manager) stated() uint64 {
	if m.superseded || m.written != m.fence || !m.may() {
		return 0
	}
	return m.fence
}

func (m *Manager) may() bool { return m.opts.MayAct == nil || m.opts.MayAct() }

// introduced says whether all instances that answer have heard of this manager. Nothing is sent before: what a manager before
// this one sends late would still be taken where this one has not spoken.
func (m *Manager) introduced() bool {
	for _, p := range m.places {
		if p.heard != m.fence && p.err == nil {
			return false
		}
	}
	return true
}

// proceed has the rollouts go on, and notes what has changed of them.
func (m *Manager) proceed(t time.Duration) {
	introduced := m.introduced()
	for _, id := range m.order {
		r := m.rollouts[id]
		if m.superseded {
			r.Supersede(t, fmt.Sprintf("a newer manager has spoken, with number %d", m.highest))
		} else if m.fence != 0 && introduced {
			status, baking := r.Status, r.Baking
			sends := r.Advance(t)
			if r.Status != status {
				m.ended(r)
			}
			if r.Baking > baking { // the wave is to be looked at, and need not wait for its instances' turns
				for _, x := range r.Members() {
					if p := m.places[x.Name]; p != nil && x.Wave == r.Wave {
						p.due = t
					}
				}
			}
			m.sends = append(m.sends, sends...)
		}
		h, members := r.Unsaved()
		if h != nil {
			m.write(rolloutBucket, id, h)
			m.opts.Log.Info("rollout", "id", id, "status", r.Status.String(), "wave", r.Wave+1, "of", r.Waves, "reason", r.Reason)
		}
		for _, x := range members {
			m.write(memberBucket, id+"\x00"+x.Name, x)
		}
		r.MarkSaved() // it is on its way, and nothing is sent before
	}
}

// ended notes what is wanted of the instances once a rollout is over.
func (m *Manager) ended(r *rollout.Rollout) {
	switch r.Status {
	case rollout.Completed:
		for _, x := range r.Members() {
			m.want(x.Name, r.Document)
		}
	case rollout.RolledBack:
		for _, x := range r.Members() {
			if x.Target.Sent || x.Target.State == change.Done {
				m.want(x.Name, x.Was)
			}
		}
	}
}

// want notes which document an instance is to have.
func (m *Manager) want(name, hash string) {
	m.wanted[name] = hash
	m.write(wantedBucket, name, hash)
	if p := m.places[name]; p != nil {
		p.keeper.Desired = hash
	}
}

// busy says whether a rollout has an instance in hand, and which.
func (m *Manager) busy(name string) (by string, busy bool) {
	for _, id := range m.order {
		if m.rollouts[id].Busy(name) {
			return id, true
		}
	}
	return "", false
}

// change has the loop call a function that changes something, and waits until that is written down.
func (m *Manager) change(ctx context.Context, f func() error) error {
	return m.do(ctx, func(done func(error)) {
		if m.failure != nil {
			done(&api.Problem{Status: 503, Title: "the manager can't write its journal", Detail: m.failure.Error()})
			return
		}
		if err := f(); err != nil {
			done(err)
			return
		}
		m.acks = append(m.acks, done)
	})
}

var errEnded = errors.New("the manager has ended")

// do has the loop call a function, and waits until that says that it is done.
func (m *Manager) do(ctx context.Context, f func(done func(error))) error {
	called := make(chan error, 1)
	select {
	case m.asks <- func() { f(func(err error) { called <- err }) }:
	case <-m.done:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-called:
		return err
	case <-m.done:
		return errEnded
	}
}
