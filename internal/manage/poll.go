package manage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/change"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/journal"
	"example.org/micaline/internal/rollout"
)

// poll asks those what they show whose turn it is.
func (m *Manager) poll(ctx context.Context, t time.Duration) {
	for name, p := range m.places {
		if p.announced != 0 && t-p.announced > forgetAfter && t-p.looked > forgetAfter {
			if _, busy := m.busy(name); !busy {
				delete(m.places, name)
				m.records = append(m.records, journal.Record{Bucket: announcedBucket, Key: name})
				continue
			}
		}
		if p.polling || t < p.due {
			continue
		}
		lane := m.fast
		if p.err != nil {
			lane = m.slow
		}
		select {
		case lane <- struct{}{}:
		default:
			continue // at another step
		}
		p.polling, p.due = true, t+pollEvery
		at, fence := p.Address(), m.stated()
		client := m.opts.Client(at)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			s, err := client.Summary(ctx, fence)
			cancel()
			<-lane
			m.happened(func() { m.looked(name, at, fence, s, err) })
		}()
	}
}

// happened hands something to the loop.
func (m *Manager) happened(f func()) {
	select {
	case m.inputs <- f:
	case <-m.done:
	}
}

// looked takes in what an instance shows.
func (m *Manager) looked(name string, at api.Address, fence uint64, s *control.Summary, err error) {
	p := m.places[name]
	if p == nil {
		return
	}
	p.polling = false
	if p.Address() != at {
		p.due = 0 // it has moved meanwhile
		return
	}
	if err == nil && s.Name != name {
		err = fmt.Errorf("%q answers there", s.Name)
	}
	if p.err = err; err != nil {
		return
	}
	t := now()
	p.look, p.looked, p.heard = s, t, fence
	if len(s.Labels) > 0 {
		p.labels = maps.Clone(s.Labels)
		maps.Copy(p.labels, p.Labels) // the file goes before
	}
	m.highest = max(m.highest, s.Fence)
	if m.fence != 0 && s.Fence > m.fence && !m.superseded {
		m.superseded = true
		m.opts.Log.Error("a newer manager has spoken: this one sends nothing more", "fence", m.fence, "newer", s.Fence)
	}
	served := change.RequestCounts{Requests: float64(s.Service.Requests), InAim: float64(s.Service.InAim), Refused: float64(s.Service.Refused), Failed: float64(s.Service.Failed)}
	p.seen = rollout.Observation{Epoch: s.Epoch, Revision: s.Revision, Hash: s.Hash, Mixed: len(s.Mixed) > 0, Served: served, Recent: p.window.Add(t, s.Epoch, served)}
	if m.superseded || m.fence == 0 || fence != m.fence {
		return
	}
	for _, id := range m.order {
		m.sends = append(m.sends, m.rollouts[id].Observe(t, name, p.seen)...)
	}
	_, busy := m.busy(name)
	if next, ok := p.keeper.Observe(t, p.seen, busy); ok {
		m.sends = append(m.sends, next)
	}
}

// send asks an instance, and takes in what comes of it.
func (m *Manager) send(ctx context.Context, s rollout.OutgoingRequest) {
	p := m.places[s.Instance]
	if p == nil || p.err != nil && s.Request == change.RequestPrepare || !m.may() {
		// Nothing is sent, which is as good as silence, and holds nobody up.
		why := "the instance is not known any more"
		if !m.may() {
			why = "this manager may not act any more"
		} else if p != nil {
			why = p.err.Error()
		}
		go m.happened(func() { m.answered(s, change.Answer{}, errors.New(why)) })
		return
	}
	lane := m.fast
	if p.err != nil {
		lane = m.slow
	}
	at, fence, doc := p.Address(), m.fence, m.documents[s.Document]
	go func() {
		select {
		case lane <- struct{}{}:
		case <-m.done:
			return
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		a, err := m.ask(ctx, at, s, fence, doc)
		cancel()
		<-lane
		m.happened(func() { m.answered(s, a, err) })
	}()
}

// errGoesOn is a commit that an instance is still at.
var errGoesOn = errors.New("it is still being applied")

// ask makes the request. An error is silence.
func (m *Manager) ask(ctx context.Context, at api.Address, s rollout.OutgoingRequest, fence uint64, doc *document.Document) (change.Answer, error) {
	client := m.opts.Client(at)
	var c *control.Change
	var err error
	switch s.Request {
	case change.RequestPrepare:
		if doc == nil {
			return change.Answer{}, errors.New("the manager has lost the document")
		}
		c, err = client.Prepare(ctx, s.ID, &control.Proposal{Base: s.Base, Fence: fence, Confirm: confirmIn.Seconds(), Document: doc})
	case change.RequestCommit:
		c, err = client.Commit(ctx, s.ID, fence)
		if err == nil && c.Outcome == change.None.String() && c.Pending == s.ID {
			// In force. Whether the instance can still be reached, only a new connection shows.
			c, err = m.opts.FreshClient(at).Confirm(ctx, s.ID, fence)
		}
	case change.RequestAbort:
		c, err = client.Abort(ctx, s.ID, fence)
		var p *api.Problem
		if errors.As(err, &p) && p.Status == 409 {
			// Too late: it is being applied, or waits for the confirmation that got lost with the commit's answer.
			if late, lateErr := m.opts.FreshClient(at).Confirm(ctx, s.ID, fence); lateErr == nil {
				c, err = late, nil
			}
		}
	}
	a, err := answer(c, err)
	if err == nil && s.Request == change.RequestCommit && a.Err == nil && a.Result.Outcome == change.None {
		err = errGoesOn
	}
	return a, err
}

// answer is what an instance has said. Only what a process has said of itself counts: all else is silence.
func answer(c *control.Change, err error) (change.Answer, error) {
	var p *api.Problem
	switch {
	case errors.As(err, &p) && p.Status < 500 && p.Epoch != "":
		return change.Answer{Epoch: p.Epoch, Err: p, Fenced: p.Status == 412}, nil
	case err != nil:
		return change.Answer{}, err
	}
	o, err := change.ParseOutcome(c.Outcome)
	if err != nil {
		return change.Answer{}, err
	}
	return change.Answer{Epoch: c.Epoch, Result: change.Result{ID: c.ID, Outcome: o, Parts: c.Parts, Revision: c.Revision, Reason: c.Reason}}, nil
}

// answered takes in what came of a request.
func (m *Manager) answered(s rollout.OutgoingRequest, a change.Answer, err error) {
	t := now()
	if a.Fenced {
		m.superseded = true
	}
	if s.FromReconciler {
		if p := m.places[s.Instance]; p != nil {
			if err != nil {
				p.keeper.RecordNoAnswer(t)
				return
			}
			_, busy := m.busy(s.Instance)
			if next, ok := p.keeper.RecordAnswer(t, busy || m.superseded, a); ok {
				m.sends = append(m.sends, next)
			}
		}
		return
	}
	id, _, _ := strings.Cut(s.ID, "/")
	r := m.rollouts[id]
	if r == nil {
		return
	}
	if err != nil {
		r.RecordNoAnswer(s.Instance, err.Error())
	} else {
		r.RecordAnswer(t, s.Instance, a)
	}
}

// look has the loop call a function that changes nothing, and waits for it.
func (m *Manager) look(ctx context.Context, f func()) error {
	return m.do(ctx, func(done func(error)) { f(); done(nil) })
}
