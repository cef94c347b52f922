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

// poll starts polls of the instances that are due, and removes announced instances that have
// expired.
func (m *Manager) poll(ctx context.Context, t time.Duration) {
	for name, instance := range m.instances {
		if instance.announcedAt != 0 && t-instance.announcedAt > announcementExpiry && t-instance.summaryAt > announcementExpiry {
			if _, active := m.activeRollout(name); !active {
				delete(m.instances, name)
				m.pendingRecords = append(m.pendingRecords, journal.Record{Bucket: announcedBucket, Key: name})
				continue
			}
		}
		if instance.polling || t < instance.nextPoll {
			continue
		}
		slots := m.requestSlots
		if instance.pollErr != nil {
			slots = m.slowRequestSlots
		}
		select {
		case slots <- struct{}{}:
		default:
			continue // no free slot: try again at the next tick
		}
		instance.polling, instance.nextPoll = true, t+pollInterval
		address, fence := instance.Address(), m.fenceToSend()
		client := m.opts.Client(address)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			s, err := client.Summary(ctx, fence)
			cancel()
			<-slots
			m.enqueue(func() { m.handleSummary(name, address, fence, s, err) })
		}()
	}
}

// enqueue queues a function for the event loop.
func (m *Manager) enqueue(f func()) {
	select {
	case m.events <- f:
	case <-m.done:
	}
}

// handleSummary processes the result of a poll.
func (m *Manager) handleSummary(name string, address api.Address, fence uint64, s *control.Summary, err error) {
	instance := m.instances[name]
	if instance == nil {
		return
	}
	instance.polling = false
	if instance.Address() != address {
		instance.nextPoll = 0 // the instance's address has changed during the poll
		return
	}
	if err == nil && s.Name != name {
		err = fmt.Errorf("%q answers there", s.Name)
	}
	if instance.pollErr = err; err != nil {
		return
	}
	t := now()
	instance.summary, instance.summaryAt, instance.acknowledgedFence = s, t, fence
	if len(s.Labels) > 0 {
		instance.labels = maps.Clone(s.Labels)
		maps.Copy(instance.labels, instance.Labels) // labels of the fleet file or announcement take precedence
	}
	m.highestFence = max(m.highestFence, s.Fence)
	if m.fence != 0 && s.Fence > m.fence && !m.superseded {
		m.superseded = true
		m.opts.Log.Error("a newer manager has spoken; this manager sends no more changes", "fence", m.fence, "newer", s.Fence)
	}
	served := change.RequestCounts{Requests: float64(s.Service.Requests), InAim: float64(s.Service.InAim), Refused: float64(s.Service.Refused), Failed: float64(s.Service.Failed)}
	instance.observation = rollout.Observation{Epoch: s.Epoch, Revision: s.Revision, Hash: s.Hash, Mixed: len(s.Mixed) > 0, Served: served, Recent: instance.serviceWindow.Add(t, s.Epoch, served)}
	if m.superseded || m.fence == 0 || fence != m.fence {
		return
	}
	for _, id := range m.rolloutOrder {
		m.pendingSends = append(m.pendingSends, m.rollouts[id].Observe(t, name, instance.observation)...)
	}
	_, active := m.activeRollout(name)
	if next, ok := instance.reconciler.Observe(t, instance.observation, active); ok {
		m.pendingSends = append(m.pendingSends, next)
	}
}

// startRequest starts a request of a rollout or reconciler to an instance. Its outcome is queued for
// handleAnswer.
func (m *Manager) startRequest(ctx context.Context, s rollout.OutgoingRequest) {
	instance := m.instances[s.Instance]
	if instance == nil || instance.pollErr != nil && s.Request == change.RequestPrepare || !m.mayAct() {
		// Nothing is sent. The sender handles this like an unanswered request, and an unreachable
		// instance delays no other requests.
		reason := "the instance is no longer known"
		if !m.mayAct() {
			reason = "this manager may no longer act"
		} else if instance != nil {
			reason = instance.pollErr.Error()
		}
		go m.enqueue(func() { m.handleAnswer(s, change.Answer{}, errors.New(reason)) })
		return
	}
	slots := m.requestSlots
	if instance.pollErr != nil {
		slots = m.slowRequestSlots
	}
	address, fence, doc := instance.Address(), m.fence, m.documents[s.Document]
	go func() {
		select {
		case slots <- struct{}{}:
		case <-m.done:
			return
		}
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		a, err := m.request(ctx, address, s, fence, doc)
		cancel()
		<-slots
		m.enqueue(func() { m.handleAnswer(s, a, err) })
	}()
}

// errStillApplying reports that an instance has not finished a commit.
var errStillApplying = errors.New("it is still being applied")

// request sends a request to an instance. An error means that its outcome is unknown.
func (m *Manager) request(ctx context.Context, address api.Address, s rollout.OutgoingRequest, fence uint64, doc *document.Document) (change.Answer, error) {
	client := m.opts.Client(address)
	var changed *control.Change
	var err error
	switch s.Request {
	case change.RequestPrepare:
		if doc == nil {
			return change.Answer{}, errors.New("the manager does not have the document")
		}
		changed, err = client.Prepare(ctx, s.ID, &control.Proposal{Base: s.Base, Fence: fence, Confirm: confirmTimeout.Seconds(), Document: doc})
	case change.RequestCommit:
		changed, err = client.Commit(ctx, s.ID, fence)
		if err == nil && changed.Outcome == change.None.String() && changed.Pending == s.ID {
			// The change is applied. Confirming over a new connection shows that the instance is
			// still reachable.
			changed, err = m.opts.FreshClient(address).Confirm(ctx, s.ID, fence)
		}
	case change.RequestAbort:
		changed, err = client.Abort(ctx, s.ID, fence)
		var problem *api.Problem
		if errors.As(err, &problem) && problem.Status == 409 {
			// It is too late to abort: the change is being applied, or it waits for a confirmation
			// because the answer to the commit was lost.
			if late, lateErr := m.opts.FreshClient(address).Confirm(ctx, s.ID, fence); lateErr == nil {
				changed, err = late, nil
			}
		}
	}
	a, err := parseAnswer(changed, err)
	if err == nil && s.Request == change.RequestCommit && a.Err == nil && a.Result.Outcome == change.None {
		err = errStillApplying
	}
	return a, err
}

// parseAnswer converts the response of an instance. Among errors, only a refusal with a status below
// 500 that carries the epoch of the instance's process counts as an answer. Other errors are
// returned, and the outcome stays unknown.
func parseAnswer(c *control.Change, err error) (change.Answer, error) {
	var problem *api.Problem
	switch {
	case errors.As(err, &problem) && problem.Status < 500 && problem.Epoch != "":
		return change.Answer{Epoch: problem.Epoch, Err: problem, Fenced: problem.Status == 412}, nil
	case err != nil:
		return change.Answer{}, err
	}
	outcome, err := change.ParseOutcome(c.Outcome)
	if err != nil {
		return change.Answer{}, err
	}
	return change.Answer{Epoch: c.Epoch, Result: change.Result{ID: c.ID, Outcome: outcome, Parts: c.Parts, Revision: c.Revision, Reason: c.Reason}}, nil
}

// handleAnswer passes the outcome of a request to the rollout or reconciler that sent it.
func (m *Manager) handleAnswer(s rollout.OutgoingRequest, a change.Answer, err error) {
	t := now()
	if a.Fenced {
		m.superseded = true
	}
	if s.FromReconciler {
		if instance := m.instances[s.Instance]; instance != nil {
			if err != nil {
				instance.reconciler.RecordNoAnswer(t)
				return
			}
			_, active := m.activeRollout(s.Instance)
			if next, ok := instance.reconciler.RecordAnswer(t, active || m.superseded, a); ok {
				m.pendingSends = append(m.pendingSends, next)
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

// read runs a function in the event loop and waits for it, but not for the journal.
func (m *Manager) read(ctx context.Context, f func()) error {
	return m.call(ctx, func(done func(error)) { f(); done(nil) })
}
