package manage

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/rollout"
)

// Status is what a manager says of itself.
type Status struct {
	Fence      uint64   `json:"fence"` // 0: it is asking for others' numbers
	Superseded bool     `json:"superseded"`
	Journal    string   `json:"journal,omitempty"` // why it can't be written
	Damaged    []string `json:"damaged,omitempty"` // what of it could not be read
	Instances  int      `json:"instances"`
	Reachable  int      `json:"reachable"`
	AsWanted   int      `json:"as_wanted"`
	Rollouts   int      `json:"rollouts"`
}

// Status returns what the manager says of itself.
func (m *Manager) Status(ctx context.Context) (*Status, error) {
	var s *Status
	err := m.look(ctx, func() {
		s = &Status{Fence: m.fence, Superseded: m.superseded, Damaged: m.damaged, Instances: len(m.places), Rollouts: len(m.rollouts)}
		if m.failure != nil {
			s.Journal = m.failure.Error()
		}
		for name, p := range m.places {
			if p.reachable() {
				s.Reachable++
				if w := m.wanted[name]; w != "" && w == p.look.Hash && len(p.look.Mixed) == 0 {
					s.AsWanted++
				}
			}
		}
	})
	return s, err
}

// Report is what a manager says of a rollout.
type Report struct {
	ID        string            `json:"id"`
	Status    string            `json:"status"`
	Reason    string            `json:"reason,omitempty"`
	Document  string            `json:"document"`
	Wave      int               `json:"wave"` // from 1
	Waves     int               `json:"waves"`
	Baking    bool              `json:"baking"` // the wave has ended and is watched
	Took      float64           `json:"took_s"`
	Summary   rollout.Summary   `json:"summary"`
	Instances []InstanceOutcome `json:"instances,omitempty"`
}

// Got is what an instance got.
type InstanceOutcome struct {
	Name     string   `json:"name"`
	Wave     int      `json:"wave"` // from 1
	State    string   `json:"state"`
	Epoch    string   `json:"epoch,omitempty"` // of the process that has said so
	Parts    []string `json:"parts,omitempty"`
	Revision uint64   `json:"revision"`
	Left     bool     `json:"left,omitempty"` // the rollout goes on without it
	Reason   string   `json:"reason,omitempty"`
	Back     string   `json:"back,omitempty"` // state of what takes it back, or NotNeeded
	BackWhy  string   `json:"back_reason,omitempty"`

	// As it is now, which may be another process.
	Now       string `json:"now_epoch,omitempty"`
	Has       string `json:"now_hash,omitempty"`
	Reachable bool   `json:"reachable"`
}

// NotNeeded is said of an instance of which nothing has to be taken back.
const RollbackNotNeeded = "not needed"

// Over says that nothing more happens to the rollout by itself.
func (r *Report) Stopped() bool {
	return r.Status == rollout.Completed.String() || r.Status == rollout.RolledBack.String() || r.Halted()
}

// Halted says that the rollout waits for an operator.
func (r *Report) Halted() bool {
	return r.Status == rollout.Halted.String() || r.Status == rollout.Superseded.String()
}

func (m *Manager) report(r *rollout.Rollout) *Report {
	end := r.Ended
	if end == 0 {
		end = now()
	}
	p := &Report{
		ID: r.ID, Status: r.Status.String(), Reason: r.Reason, Document: r.Document, Wave: r.Wave + 1, Waves: r.Waves,
		Baking: r.Baking > 0 && r.Status == rollout.Running, Took: (end - r.Begun).Seconds(), Summary: r.Summary(),
	}
	for _, x := range r.Members() {
		g := InstanceOutcome{Name: x.Name, Wave: x.Wave + 1, State: x.Target.State.String(), Epoch: x.Target.Epoch, Parts: x.Target.Parts, Revision: x.Target.Revision, Left: x.Left, Reason: x.Target.Reason}
		if x.Backing {
			g.Back, g.BackWhy = x.Back.State.String(), x.Back.Reason
		}
		if x.Ended {
			g.Back, g.BackWhy = RollbackNotNeeded, "the process that had it has ended"
		}
		if at := m.places[x.Name]; at != nil && at.look != nil {
			g.Now, g.Has, g.Reachable = at.look.Epoch, at.look.Hash, at.err == nil
		}
		p.Instances = append(p.Instances, g)
	}
	slices.SortFunc(p.Instances, func(a, b InstanceOutcome) int {
		return cmp.Or(cmp.Compare(a.Wave, b.Wave), strings.Compare(a.Name, b.Name))
	})
	return p
}

// Report returns what became of a rollout.
func (m *Manager) Report(ctx context.Context, id string) (*Report, error) {
	var p *Report
	if err := m.look(ctx, func() {
		if r := m.rollouts[id]; r != nil {
			p = m.report(r)
		}
	}); err != nil {
		return nil, err
	}
	if p == nil {
		return nil, &api.Problem{Status: 404, Title: "there is no such rollout", Detail: id, Field: "id"}
	}
	return p, nil
}

// Reports returns all rollouts, the newest first, without their instances.
func (m *Manager) Reports(ctx context.Context) ([]*Report, error) {
	all := []*Report{}
	err := m.look(ctx, func() {
		for _, id := range slices.Backward(m.order) {
			p := m.report(m.rollouts[id])
			p.Instances = nil
			all = append(all, p)
		}
	})
	return all, err
}
