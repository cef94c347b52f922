// Package control is the control interface of an instance: an HTTP API on a separate listener through
// which operators and managers read its state and change its settings. Package change holds the state
// machine of a change (prepare, commit, confirm or abort). This package serves the requests and carries
// out the actions that the state machine returns. Client is the client side.
package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/change"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/settings"
)

// Instance is the running agent that the interface shows and changes.
type Instance interface {
	// Name returns the instance's name, which is the same after a restart.
	Name() string
	// Base returns the settings that the platform has configured.
	Base() *settings.Settings
	// State returns the current state.
	State(ctx context.Context) (*State, error)
	// Apply puts a part of a document in force.
	Apply(ctx context.Context, part string, d *document.Document) error
	// Hold excludes a backend from traffic for d, or ends the hold if d is 0. It reports whether the
	// backend is known.
	Hold(ctx context.Context, backend string, d time.Duration) (known bool, err error)
	// Level returns the status of the levels of reduced service, or nil if none are configured.
	Level(ctx context.Context) (*Level, error)
	// HoldLevel pins a level for d, or returns to automatic selection if d is 0. It returns nil if no
	// levels are configured.
	HoldLevel(ctx context.Context, name string, d time.Duration, reason string) (*Level, error)
	// Sites returns the state of the sites, or nil if they are not monitored.
	Sites(ctx context.Context) (*Sites, error)
	// EvacuateSite evacuates a site for d, or ends its evacuation if d is 0. It returns nil if sites are
	// not monitored.
	EvacuateSite(ctx context.Context, name string, d time.Duration, force bool, reason string) (*Sites, error)
	// SetAccepting sets whether requests are accepted.
	SetAccepting(on bool)
	// Reload rereads the platform configuration.
	Reload(ctx context.Context) error
}

// State is the state of an instance.
type State struct {
	Taking   bool           `json:"taking"`
	Pressure float64        `json:"pressure"` // share of ordinary requests that is shed; may be above 1
	Own      AgentDelay     `json:"own"`
	Backends []Backend      `json:"backends"`
	Requests []Request      `json:"requests"` // in flight, oldest first; may be truncated
	Held     int            `json:"held"`     // number of all requests in flight
	Service  RequestCounts  `json:"service"`  // since the process started
	Causes   []FailureCause `json:"causes"`
	Classes  []Class        `json:"classes"` // with the settings in force
	Accounts []Account      `json:"accounts"`
}

// AgentDelay measures the delay that the agent itself causes.
type AgentDelay struct {
	Late  float64 `json:"late_s"`  // recent mean, in seconds
	Part  float64 `json:"part"`    // recent mean as a fraction of the lowest target latency
	Worst float64 `json:"worst_s"` // since the process started
	Times int64   `json:"times"`   // number of delays above the measurement noise
}

// Class is a request class, with its settings in force (times in seconds).
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Aim      float64 `json:"aim_s"`
	Deadline float64 `json:"deadline_s"`
	Worth    float64 `json:"worth"` // value of an answer
	Open     int     `json:"open"`  // requests in flight
}

// Account is a tenant whose requests are counted.
type Account struct {
	Name    string  `json:"name"`
	Portion float64 `json:"portion"` // its guaranteed share of the capacity
	Open    int     `json:"open"`    // requests in flight
}

// Backend is the state of one backend in the decision module.
type Backend struct {
	Name      string     `json:"name"`
	Addr      string     `json:"addr"`
	Phase     string     `json:"phase"`             // state that discovery reports
	Held      float64    `json:"held_s,omitempty"`  // remaining seconds of a hold
	HeldBy    string     `json:"held_by,omitempty"` // what holds it
	Speed     float64    `json:"speed"`             // learned, relative to the other backends
	Warmth    float64    `json:"warmth"`            // share of its capacity that it has by now while it warms up, from 0 to 1
	InFlight  int        `json:"in_flight"`
	Silent    int        `json:"silent"` // overdue attempts
	Load      float64    `json:"load"`   // estimated number of requests at the backend
	ReportAge *float64   `json:"report_age_s,omitempty"`
	Full      float64    `json:"full_s,omitempty"` // remaining seconds in which it is avoided because it is full
	Ejected   []Ejection `json:"ejected,omitempty"`
}

// Ejection is the ejection of a backend for one class.
type Ejection struct {
	Class string  `json:"class"`
	For   float64 `json:"for_s"` // remaining seconds
	Times int     `json:"times"` // consecutive ejections
}

// Request is a request in flight.
type Request struct {
	Call     string  `json:"call"`
	Class    string  `json:"class"`
	Account  string  `json:"account,omitempty"`
	Age      float64 `json:"age_s"`
	Left     float64 `json:"left_s"` // until its deadline
	Attempts int     `json:"attempts"`
	Out      int     `json:"out"` // attempts in flight
}

// RequestCounts counts requests by their outcome.
type RequestCounts struct {
	Requests int64 `json:"requests"`
	InAim    int64 `json:"in_aim"` // served within the target latency
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Left     int64 `json:"left"` // abandoned by their clients
}

// FailureCause counts the requests of a class that were refused or failed for one reason.
type FailureCause struct {
	Answer string `json:"answer"` // "refused" or "failed"
	Class  string `json:"class"`
	Cause  string `json:"cause"`
	Count  int64  `json:"count"`
}

// Change is the status of a change on an instance.
type Change struct {
	ID       string   `json:"id"`
	Epoch    string   `json:"epoch"`
	Outcome  string   `json:"outcome"`         // "none" while the change is in progress
	Parts    []string `json:"parts,omitempty"` // that are applied
	Revision uint64   `json:"revision"`        // of the document in force afterwards
	Reason   string   `json:"reason,omitempty"`
	Pending  string   `json:"pending,omitempty"` // id of the change in progress, which may be another one
}

// Proposal is a change to prepare.
type Proposal struct {
	Base     uint64             `json:"base"`                // revision that the change is based on
	Fence    uint64             `json:"fence"`               // fencing token of the manager
	Confirm  float64            `json:"confirm_s,omitempty"` // seconds to confirm it before it is reverted; 0: no confirmation
	Document *document.Document `json:"document"`
}

// applyTimeout is the timeout for applying one part.
const applyTimeout = 5 * time.Second

// service owns the change state machine of one process and carries out its actions.
type service struct {
	instance Instance
	started  time.Time

	mu           sync.Mutex
	results      change.Deduplicator // results of changes without a document, by idempotency key
	stateMachine *change.Instance
	documents    map[string]*document.Document // by hash: the one in force and the one of the change in progress
	timer        *time.Timer
	changeEnded  chan struct{} // closed and replaced when a change ends or awaits confirmation
}

func newService(instance Instance, epoch string) *service {
	empty := &document.Document{}
	s := &service{
		instance: instance, started: time.Now(), documents: map[string]*document.Document{empty.Hash(): empty}, changeEnded: make(chan struct{}),
	}
	s.stateMachine = change.NewInstance(epoch, 0, change.Document{Hash: empty.Hash(), Parts: document.Parts})
	return s
}

func (s *service) now() time.Duration { return time.Since(s.started) }

// close stops the timer of the state machine.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// prepare validates a change and stores it for its commit.
func (s *service) prepare(id string, p *Proposal) (*Change, error) {
	if err := p.Document.Check(s.instance.Base()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := change.Document{Hash: p.Document.Hash(), Parts: document.Parts}
	if err := s.stateMachine.Prepare(s.now(), p.Fence, id, p.Base, d, time.Duration(p.Confirm*float64(time.Second))); err != nil {
		return nil, err
	}
	s.retainDocument(p.Document)
	s.armTimer()
	return s.changeStatus(id), nil
}

// retainDocument stores a document that may come into force, and drops those that no longer can. The
// caller holds the mutex.
func (s *service) retainDocument(d *document.Document) {
	current := s.documents[s.stateMachine.Current().Hash]
	s.documents = map[string]*document.Document{current.Hash(): current, d.Hash(): d}
}

// commit applies a prepared change and waits until the change has ended or awaits its confirmation, or
// until the context ends.
func (s *service) commit(ctx context.Context, id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	actions, err := s.stateMachine.Commit(s.now(), fence, id)
	if err == nil && len(actions) > 0 {
		go s.runActions(actions)
	}
	for err == nil {
		status, ended := s.changeStatus(id), s.changeEnded
		if r, ok := s.stateMachine.Result(id); ok && r.Outcome != change.None || s.stateMachine.Confirming(id) {
			s.mu.Unlock()
			return status, nil
		}
		s.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return status, nil // the change continues, and the status reports it as in progress
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	return nil, err
}

// runActions carries out the actions of the state machine one at a time. It calls the instance without
// the mutex, so that other requests are served meanwhile.
func (s *service) runActions(actions []change.Action) {
	for len(actions) > 0 {
		action := actions[0]
		s.mu.Lock()
		d := s.documents[s.stateMachine.DocumentFor(action).Hash]
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
		err := errors.New("the document of the change is missing")
		if d != nil {
			err = s.instance.Apply(ctx, action.Part, d)
		}
		cancel()
		s.mu.Lock()
		actions = s.stateMachine.ActionDone(s.now(), action, err)
		if len(actions) == 0 {
			s.notifyWaiters()
		}
		s.mu.Unlock()
	}
}

// notifyWaiters wakes the waiting commits when a change has ended or awaits its confirmation. The caller
// holds the mutex.
func (s *service) notifyWaiters() {
	close(s.changeEnded)
	s.changeEnded = make(chan struct{})
	s.armTimer()
}

// armTimer sets the timer for the next timeout of the state machine. The caller holds the mutex.
func (s *service) armTimer() {
	due, ok := s.stateMachine.NextDeadline()
	if !ok {
		return
	}
	wait := max(0, due-s.now())
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		actions := s.stateMachine.Tick(s.now())
		s.armTimer()
		s.mu.Unlock()
		s.runActions(actions)
	})
}

// runOnce applies a change that has no document. It applies each id once, and one change at a time; a
// retry gets the first result.
func (s *service) runOnce(id, description string, apply func() (any, error)) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if firstResult, known, err := s.results.Begin(id, description); known || err != nil {
		return firstResult, err
	}
	v, err := apply()
	if err != nil {
		return nil, err
	}
	s.results.End(id, v)
	return v, nil
}

func (s *service) observeFence(fence uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateMachine.ObserveFence(fence)
}

func (s *service) abort(id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.stateMachine.Abort(s.now(), fence, id); err != nil {
		return nil, err
	}
	return s.changeStatus(id), nil
}

func (s *service) confirm(id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stateMachine.Confirm(s.now(), fence, id); err != nil {
		return nil, err
	}
	return s.changeStatus(id), nil
}

// changeStatus returns the status of a change. The caller holds the mutex.
func (s *service) changeStatus(id string) *Change {
	c := &Change{ID: id, Epoch: s.stateMachine.Epoch(), Outcome: change.None.String(), Revision: s.stateMachine.Revision(), Pending: s.stateMachine.Pending()}
	if r, ok := s.stateMachine.Result(id); ok {
		c.Outcome, c.Parts, c.Revision, c.Reason = r.Outcome.String(), r.Parts, r.Revision, r.Reason
	}
	return c
}

// current returns the document in force and its revision.
func (s *service) current() (*document.Document, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents[s.stateMachine.Current().Hash], s.stateMachine.Revision()
}

// problem converts an error to the answer for the client, with the epoch of the process.
func (s *service) problem(err error) *api.Problem {
	p := *problemFor(err)
	p.Epoch = s.stateMachine.Epoch() // needs no mutex, since the epoch never changes
	return &p
}

// problemFor maps an error to an HTTP status and problem text.
func problemFor(err error) *api.Problem {
	var f *document.FieldError
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &f):
		return &api.Problem{Status: 422, Title: "invalid document", Detail: f.Reason, Field: f.Field}
	case errors.Is(err, change.ErrStaleRevision), errors.Is(err, change.ErrBusy), errors.Is(err, change.ErrNotPrepared), errors.Is(err, change.ErrIDInUse):
		return &api.Problem{Status: 409, Title: "the change can't be made now", Detail: err.Error()}
	case errors.Is(err, change.ErrFenced):
		return &api.Problem{Status: 412, Title: "the manager has been replaced", Detail: err.Error()}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &api.Problem{Status: 503, Title: "the instance did not answer in time", Detail: err.Error()}
	}
	return &api.Problem{Status: 500, Title: "the instance failed", Detail: fmt.Sprint(err)}
}
