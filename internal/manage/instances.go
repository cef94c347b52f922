package manage

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/inventory"
)

// InstanceReport describes an instance as the manager knows it.
type InstanceReport struct {
	Name     string            `json:"name"`
	Address  string            `json:"address"`
	Labels   map[string]string `json:"labels,omitempty"`
	State    string            `json:"state"` // one of the State constants
	Reason   string            `json:"reason,omitempty"`
	Epoch    string            `json:"epoch,omitempty"`
	Revision uint64            `json:"revision"`
	Hash     string            `json:"hash,omitempty"`
	Wanted   string            `json:"wanted,omitempty"`
	Rollout  string            `json:"rollout,omitempty"` // ID of the rollout that is changing the instance
	Seen     float64           `json:"seen_s"`            // seconds since its last answer; -1 if there was none
	Taking   bool              `json:"taking"`
	Held     int               `json:"held"`
	Service  control.Service   `json:"service"`
}

func (m *Manager) instanceReport(p *managedInstance, t time.Duration) InstanceReport {
	r := InstanceReport{Name: p.Name, Address: cmp.Or(p.Addr, p.Unix), Labels: p.labels, Wanted: m.wanted[p.Name], Seen: -1}
	if rolloutID, active := m.activeRollout(p.Name); active {
		r.Rollout = rolloutID
	}
	if p.summary != nil {
		r.Seen = (t - p.summaryAt).Seconds()
		r.Epoch, r.Revision, r.Hash, r.Taking, r.Held, r.Service = p.summary.Epoch, p.summary.Revision, p.summary.Hash, p.summary.Taking, p.summary.Held, p.summary.Service
	}
	switch {
	case p.summary == nil && p.pollErr == nil:
		r.State = StateNotSeen
	case p.pollErr != nil:
		r.State, r.Reason = StateUnreachable, p.pollErr.Error()
	case r.Wanted == "":
		r.State = StateUnmanaged
	case r.Wanted == r.Hash && len(p.summary.Mixed) == 0:
		r.State = StateAsWanted
	case p.keeper.Refusal() != "":
		r.State, r.Reason = StateRefused, p.keeper.Refusal()
	default:
		r.State = StateDiffers
	}
	return r
}

// Instances returns reports of the instances that match a selector, in the order of their names.
func (m *Manager) Instances(ctx context.Context, selector string) ([]InstanceReport, error) {
	s, err := parseSelector(selector)
	if err != nil {
		return nil, err
	}
	all := []InstanceReport{}
	err = m.read(ctx, func() {
		t := now()
		for _, p := range m.selectInstances(s) {
			all = append(all, m.instanceReport(p, t))
		}
	})
	return all, err
}

func parseSelector(text string) (inventory.Selector, error) {
	s, err := inventory.ParseSelector(text)
	if err != nil {
		return s, &api.Problem{Status: 422, Title: "the order can't be used", Detail: err.Error(), Field: "select"}
	}
	return s, nil
}

func (m *Manager) selectInstances(s inventory.Selector) (all []*managedInstance) {
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		if p := m.instances[name]; s.Match(name, p.labels) {
			all = append(all, p)
		}
	}
	return all
}

// RecordAnnouncement records the announced address and labels of an instance. An instance of the
// fleet file keeps the address and labels of the file.
func (m *Manager) RecordAnnouncement(ctx context.Context, in inventory.Instance) error {
	if in.Unix != "" {
		return &api.Problem{Status: 422, Title: "the announcement can't be used", Detail: "a Unix socket can be reached on its own machine only", Field: "unix"}
	}
	if err := in.Check(); err != nil {
		var fieldErr *api.FieldError
		problem := &api.Problem{Status: 422, Title: "the announcement can't be used", Detail: err.Error()}
		if errors.As(err, &fieldErr) {
			problem.Detail, problem.Field = fieldErr.What, fieldErr.Field
		}
		return problem
	}
	return m.update(ctx, func() error {
		p := m.instances[in.Name]
		switch {
		case p != nil && p.announcedAt == 0:
			return nil
		case p == nil && len(m.instances) >= inventory.MaxInstances:
			return &api.Problem{Status: 503, Title: "there are too many instances", Detail: fmt.Sprintf("%d are known", len(m.instances))}
		case p == nil || p.Addr != in.Addr || !maps.Equal(p.Labels, in.Labels):
			p = m.registerInstance(in)
			p.nextPoll = 0
			m.appendRecord(announcedBucket, in.Name, in)
		}
		p.announcedAt = now()
		return nil
	})
}
