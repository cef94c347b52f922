package manage

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/rollout"
)

// Status describes the state of a manager.
type Status struct {
	Fence      uint64   `json:"fence"` // 0 while the manager is polling the instances for other managers' fences
	Superseded bool     `json:"superseded"`
	Journal    string   `json:"journal,omitempty"` // error of the last write; empty if it succeeded
	Damaged    []string `json:"damaged,omitempty"` // errors of journal records that could not be read
	Instances  int      `json:"instances"`
	Reachable  int      `json:"reachable"`
	AsWanted   int      `json:"as_wanted"`
	Rollouts   int      `json:"rollouts"`
}

// Status returns the state of the manager.
func (m *Manager) Status(ctx context.Context) (*Status, error) {
	var s *Status
	err := m.read(ctx, func() {
		s = &Status{Fence: m.fence, Superseded: m.superseded, Damaged: m.damagedRecords, Instances: len(m.instances), Rollouts: len(m.rollouts)}
		if m.journalErr != nil {
			s.Journal = m.journalErr.Error()
		}
		for name, instance := range m.instances {
			if instance.reachable() {
				s.Reachable++
				if w := m.wanted[name]; w != "" && w == instance.summary.Hash && len(instance.summary.Mixed) == 0 {
					s.AsWanted++
				}
			}
		}
	})
	return s, err
}

// Report describes the state of a rollout.
type Report struct {
	ID        string            `json:"id"`
	Status    string            `json:"status"`
	Reason    string            `json:"reason,omitempty"`
	Document  string            `json:"document"` // hash
	Wave      int               `json:"wave"`     // from 1
	Waves     int               `json:"waves"`
	Baking    bool              `json:"baking"` // the wave is applied and is being watched
	Took      float64           `json:"took_s"` // seconds since it began, until its end
	Summary   rollout.Summary   `json:"summary"`
	Instances []InstanceOutcome `json:"instances,omitempty"`
}

// InstanceOutcome is the outcome of a rollout on one instance.
type InstanceOutcome struct {
	Name     string   `json:"name"`
	Wave     int      `json:"wave"` // from 1
	State    string   `json:"state"`
	Epoch    string   `json:"epoch,omitempty"` // of the process that reported the state
	Parts    []string `json:"parts,omitempty"`
	Revision uint64   `json:"revision"`
	Left     bool     `json:"left,omitempty"` // the rollout continues without this instance
	Reason   string   `json:"reason,omitempty"`
	Back     string   `json:"back,omitempty"` // state of the rollback on this instance, or RollbackNotNeeded
	BackWhy  string   `json:"back_reason,omitempty"`

	// From the last successful poll, which another process may have answered.
	Now       string `json:"now_epoch,omitempty"`
	Has       string `json:"now_hash,omitempty"`
	Reachable bool   `json:"reachable"`
}

// RollbackNotNeeded is the rollback state of an instance that has nothing to roll back.
const RollbackNotNeeded = "not needed"

// Stopped reports whether the rollout makes no further progress without an operator.
func (r *Report) Stopped() bool {
	return r.Status == rollout.Completed.String() || r.Status == rollout.RolledBack.String() || r.Halted()
}

// Halted reports whether the rollout waits for an operator.
func (r *Report) Halted() bool {
	return r.Status == rollout.Halted.String() || r.Status == rollout.Superseded.String()
}

func (m *Manager) report(r *rollout.Rollout) *Report {
	ended := r.Ended
	if ended == 0 {
		ended = now()
	}
	report := &Report{
		ID: r.ID, Status: r.Status.String(), Reason: r.Reason, Document: r.Document, Wave: r.Wave + 1, Waves: r.Waves,
		Baking: r.Baking > 0 && r.Status == rollout.Running, Took: (ended - r.Begun).Seconds(), Summary: r.Summary(),
	}
	for _, x := range r.Members() {
		outcome := InstanceOutcome{Name: x.Name, Wave: x.Wave + 1, State: x.Target.State.String(), Epoch: x.Target.Epoch, Parts: x.Target.Parts, Revision: x.Target.Revision, Left: x.Left, Reason: x.Target.Reason}
		if x.Backing {
			outcome.Back, outcome.BackWhy = x.Back.State.String(), x.Back.Reason
		}
		if x.Ended {
			outcome.Back, outcome.BackWhy = RollbackNotNeeded, "the process that had applied the change has ended"
		}
		if instance := m.instances[x.Name]; instance != nil && instance.summary != nil {
			outcome.Now, outcome.Has, outcome.Reachable = instance.summary.Epoch, instance.summary.Hash, instance.pollErr == nil
		}
		report.Instances = append(report.Instances, outcome)
	}
	slices.SortFunc(report.Instances, func(a, b InstanceOutcome) int {
		return cmp.Or(cmp.Compare(a.Wave, b.Wave), strings.Compare(a.Name, b.Name))
	})
	return report
}

// Report returns the state of a rollout. An unknown ID gives a 404 problem.
func (m *Manager) Report(ctx context.Context, id string) (*Report, error) {
	var report *Report
	if err := m.read(ctx, func() {
		if r := m.rollouts[id]; r != nil {
			report = m.report(r)
		}
	}); err != nil {
		return nil, err
	}
	if report == nil {
		return nil, &api.Problem{Status: 404, Title: "there is no such rollout", Detail: id, Field: "id"}
	}
	return report, nil
}

// Reports returns the states of all rollouts, newest first, without their instances.
func (m *Manager) Reports(ctx context.Context) ([]*Report, error) {
	all := []*Report{}
	err := m.read(ctx, func() {
		for _, id := range slices.Backward(m.rolloutOrder) {
			report := m.report(m.rollouts[id])
			report.Instances = nil
			all = append(all, report)
		}
	})
	return all, err
}
