// Package control is the control interface of an instance: what operators and managers see of it, and how they change
// it, over HTTP on a listener of its own. What becomes of a change package change decides; this package carries out.
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

// Instance is what is shown and changed: a running agent.
type Instance interface {
	// Name is the instance's, the same after a restart.
	Name() string
	// Base are the settings that the platform has configured.
	Base() *settings.Settings
	// Look returns the present state.
	State(ctx context.Context) (*State, error)
	// Apply puts a part of a document in force.
	Apply(ctx context.Context, part string, d *document.Document) error
	// Hold keeps a backend out for so long, or lets it in again if that is 0. It says whether the backend is known.
	Hold(ctx context.Context, backend string, d time.Duration) (known bool, err error)
	// Level returns the level of service; nil where there are none.
	Level(ctx context.Context) (*Level, error)
	// HoldLevel keeps a level for so long, or lets the figures decide again if that is 0. It returns nil where there are none.
	HoldLevel(ctx context.Context, name string, d time.Duration, why string) (*Level, error)
	// Sites returns what is the matter with each site; nil where they are not watched.
	Sites(ctx context.Context) (*Sites, error)
	// TakeOut has a site taken out by hand for so long, or let in again if that is 0. It returns nil where sites are not watched.
	EvacuateSite(ctx context.Context, name string, d time.Duration, force bool, why string) (*Sites, error)
	// SetTaking says whether requests are taken.
	SetAccepting(on bool)
	// Reload reads the platform's configuration again.
	Reload(ctx context.Context) error
}

// State is what an instance looks like.
type State struct {
	Taking   bool           `json:"taking"`
	Pressure float64        `json:"pressure"` // share of the usual requests that is shed
	Own      AgentDelay     `json:"own"`
	Backends []Backend      `json:"backends"`
	Requests []Request      `json:"requests"` // open, the oldest first
	Held     int            `json:"held"`     // open, all of them
	Service  RequestCounts  `json:"service"`  // since the process began
	Causes   []FailureCause `json:"causes"`
	Classes  []Class        `json:"classes"` // as they are decided by now
	Accounts []Account      `json:"accounts"`
}

// Own is what the agent itself is late with.
type AgentDelay struct {
	Late  float64 `json:"late_s"`  // of late, on the mean
	Part  float64 `json:"part"`    // of the soonest aim
	Worst float64 `json:"worst_s"` // since the process began
	Times int64   `json:"times"`   // that it was late by more than can be told from nothing
}

// Class is a class of requests.
type Class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Aim      float64 `json:"aim_s"`
	Deadline float64 `json:"deadline_s"`
	Worth    float64 `json:"worth"`
	Open     int     `json:"open"`
}

// Account is an account that requests are counted to.
type Account struct {
	Name    string  `json:"name"`
	Portion float64 `json:"portion"`
	Open    int     `json:"open"`
}

// Backend is one backend as the decision module sees it.
type Backend struct {
	Name      string     `json:"name"`
	Addr      string     `json:"addr"`
	Phase     string     `json:"phase"`             // as discovery tells it
	Held      float64    `json:"held_s,omitempty"`  // for how long it is still held out,
	HeldBy    string     `json:"held_by,omitempty"` // and through what
	Speed     float64    `json:"speed"`
	Warmth    float64    `json:"warmth"`
	InFlight  int        `json:"in_flight"`
	Silent    int        `json:"silent"`
	Load      float64    `json:"load"`
	ReportAge *float64   `json:"report_age_s,omitempty"`
	Full      float64    `json:"full_s,omitempty"` // that it is still passed by for want of room
	Ejected   []Ejection `json:"ejected,omitempty"`
}

// Ejection is a class that a backend is ejected from.
type Ejection struct {
	Class string  `json:"class"`
	For   float64 `json:"for_s"`
	Times int     `json:"times"`
}

// Request is one that is open.
type Request struct {
	Call     string  `json:"call"`
	Class    string  `json:"class"`
	Account  string  `json:"account,omitempty"`
	Age      float64 `json:"age_s"`
	Left     float64 `json:"left_s"`
	Attempts int     `json:"attempts"`
	Out      int     `json:"out"`
}

// Service counts requests by how they ended.
type RequestCounts struct {
	Requests int64 `json:"requests"`
	InAim    int64 `json:"in_aim"`
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Left     int64 `json:"left"` // by their clients
}

// Cause is why requests were refused or failed.
type FailureCause struct {
	Answer string `json:"answer"` // refused or failed
	Class  string `json:"class"`
	Cause  string `json:"cause"`
	Count  int64  `json:"count"`
}

// Change is what an instance says of a change.
type Change struct {
	ID       string   `json:"id"`
	Epoch    string   `json:"epoch"`
	Outcome  string   `json:"outcome"` // none while it is under way
	Parts    []string `json:"parts,omitempty"`
	Revision uint64   `json:"revision"`
	Reason   string   `json:"reason,omitempty"`
	Pending  string   `json:"pending,omitempty"` // the change that is under way, perhaps another
}

// Proposal is a change that is to be prepared.
type Proposal struct {
	Base     uint64             `json:"base"`
	Fence    uint64             `json:"fence"`
	Confirm  float64            `json:"confirm_s,omitempty"`
	Document *document.Document `json:"document"`
}

// applyTimeout is how long a part may take to be applied.
const applyTimeout = 5 * time.Second

// service keeps the change machine of one process, and carries out what it wants.
type service struct {
	instance Instance
	began    time.Time

	mu        sync.Mutex
	once      change.Deduplicator // what became of changes without a document
	machine   *change.Instance
	documents map[string]*document.Document // by hash: the one in force, and the one under way
	timer     *time.Timer
	settled   chan struct{} // closed when a change has ended, and made anew
}

func newService(i Instance, epoch string) *service {
	empty := &document.Document{}
	s := &service{
		instance: i, began: time.Now(), documents: map[string]*document.Document{empty.Hash(): empty}, settled: make(chan struct{}),
	}
	s.machine = change.NewInstance(epoch, 0, change.Document{Hash: empty.Hash(), Parts: document.Parts})
	return s
}

func (s *service) now() time.Duration { return time.Since(s.began) }

// close stops what would still happen by itself.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// prepare takes a change in.
func (s *service) prepare(id string, p *Proposal) (*Change, error) {
	if err := p.Document.Check(s.instance.Base()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := change.Document{Hash: p.Document.Hash(), Parts: document.Parts}
	if err := s.machine.Prepare(s.now(), p.Fence, id, p.Base, d, time.Duration(p.Confirm*float64(time.Second))); err != nil {
		return nil, err
	}
	s.keep(p.Document)
	s.arm()
	return s.change(id), nil
}

// keep holds a document that may come in force, and drops those that can't any more. The mutex is held.
func (s *service) keep(d *document.Document) {
	current := s.documents[s.machine.Current().Hash]
	s.documents = map[string]*document.Document{current.Hash(): current, d.Hash(): d}
}

// commit applies what is prepared and waits until it has ended, or the context has.
func (s *service) commit(ctx context.Context, id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	todo, err := s.machine.Commit(s.now(), fence, id)
	if err == nil && len(todo) > 0 {
		go s.carryOut(todo)
	}
	for err == nil {
		c, ended := s.change(id), s.settled
		if r, ok := s.machine.Result(id); ok && r.Outcome != change.None || s.machine.Confirming(id) {
			s.mu.Unlock()
			return c, nil
		}
		s.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return c, nil // it goes on: the answer says that it is under way
		}
		s.mu.Lock()
	}
	s.mu.Unlock()
	return nil, err
}

// carryOut does what the machine wants, one thing after the other. What is asked of the instance is not done under
// the mutex: others may look meanwhile.
func (s *service) carryOut(todo []change.Action) {
	for len(todo) > 0 {
		a := todo[0]
		s.mu.Lock()
		d := s.documents[s.machine.DocumentFor(a).Hash]
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
		err := errors.New("its document is gone")
		if d != nil {
			err = s.instance.Apply(ctx, a.Part, d)
		}
		cancel()
		s.mu.Lock()
		todo = s.machine.ActionDone(s.now(), a, err)
		if len(todo) == 0 {
			s.wake()
		}
		s.mu.Unlock()
	}
}

// wake tells those that wait that a change has ended, or waits for its confirmation. The mutex is held.
func (s *service) wake() {
	close(s.settled)
	s.settled = make(chan struct{})
	s.arm()
}

// arm sets the timer for what the machine does by itself. The mutex is held.
func (s *service) arm() {
	at, ok := s.machine.NextDeadline()
	if !ok {
		return
	}
	wait := max(0, at-s.now())
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		todo := s.machine.Tick(s.now())
		s.arm()
		s.mu.Unlock()
		s.carryOut(todo)
	})
}

// do makes a change that has no document, once under its id, and one after the other.
func (s *service) do(id, what string, f func() (any, error)) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, known, err := s.once.Begin(id, what); known || err != nil {
		return first, err
	}
	v, err := f()
	if err != nil {
		return nil, err
	}
	s.once.End(id, v)
	return v, nil
}

func (s *service) hear(fence uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.ObserveFence(fence)
}

func (s *service) abort(id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.machine.Abort(s.now(), fence, id); err != nil {
		return nil, err
	}
	return s.change(id), nil
}

func (s *service) confirm(id string, fence uint64) (*Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.machine.Confirm(s.now(), fence, id); err != nil {
		return nil, err
	}
	return s.change(id), nil
}

// change is what is known of a change. The mutex is held.
func (s *service) change(id string) *Change {
	c := &Change{ID: id, Epoch: s.machine.Epoch(), Outcome: change.None.String(), Revision: s.machine.Revision(), Pending: s.machine.Pending()}
	if r, ok := s.machine.Result(id); ok {
		c.Outcome, c.Parts, c.Revision, c.Reason = r.Outcome.String(), r.Parts, r.Revision, r.Reason
	}
	return c
}

// inForce is the document in force and its revision.
func (s *service) inForce() (*document.Document, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents[s.machine.Current().Hash], s.machine.Revision()
}

// problem turns an error into what the client is told, and under which epoch.
func (s *service) problem(err error) *api.Problem {
	p := *problem(err)
	p.Epoch = s.machine.Epoch() // which never changes
	return &p
}

func problem(err error) *api.Problem {
	var f *document.FieldError
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &f):
		return &api.Problem{Status: 422, Title: "the document can't be used", Detail: f.Reason, Field: f.Field}
	case errors.Is(err, change.ErrStaleRevision), errors.Is(err, change.ErrBusy), errors.Is(err, change.ErrNotPrepared), errors.Is(err, change.ErrIDInUse):
		return &api.Problem{Status: 409, Title: "the change can't be made now", Detail: err.Error()}
	case errors.Is(err, change.ErrFenced):
		return &api.Problem{Status: 412, Title: "the manager has been replaced", Detail: err.Error()}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &api.Problem{Status: 503, Title: "the instance did not answer in time", Detail: err.Error()}
	}
	return &api.Problem{Status: 500, Title: "the instance failed", Detail: fmt.Sprint(err)}
}
