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
	Name     string                `json:"name"`
	Address  string                `json:"address"`
	Labels   map[string]string     `json:"labels,omitempty"`
	State    string                `json:"state"` // one of the State constants
	Reason   string                `json:"reason,omitempty"`
	Epoch    string                `json:"epoch,omitempty"`
	Revision uint64                `json:"revision"`
	Hash     string                `json:"hash,omitempty"`    // of the document that it has
	Wanted   string                `json:"wanted,omitempty"`  // hash of the document that it should have
	Rollout  string                `json:"rollout,omitempty"` // ID of the rollout that is changing the instance
	Seen     float64               `json:"seen_s"`            // seconds since its last answer; -1 if there was none
	Taking   bool                  `json:"taking"`            // it accepts requests
	Held     int                   `json:"held"`              // number of its requests in flight
	Service  control.RequestCounts `json:"service"`
}

func (m *Manager) instanceReport(instance *managedInstance, t time.Duration) InstanceReport {
	r := InstanceReport{Name: instance.Name, Address: cmp.Or(instance.Addr, instance.Unix), Labels: instance.labels, Wanted: m.wanted[instance.Name], Seen: -1}
	if rolloutID, active := m.activeRollout(instance.Name); active {
		r.Rollout = rolloutID
	}
	if instance.summary != nil {
		r.Seen = (t - instance.summaryAt).Seconds()
		r.Epoch, r.Revision, r.Hash, r.Taking, r.Held, r.Service = instance.summary.Epoch, instance.summary.Revision, instance.summary.Hash, instance.summary.Taking, instance.summary.Held, instance.summary.Service
	}
	switch {
	case instance.summary == nil && instance.pollErr == nil:
		r.State = StateNotSeen
	case instance.pollErr != nil:
		r.State, r.Reason = StateUnreachable, instance.pollErr.Error()
	case r.Wanted == "":
		r.State = StateUnmanaged
	case r.Wanted == r.Hash && len(instance.summary.Mixed) == 0:
		r.State = StateAsWanted
	case instance.reconciler.FailureReason() != "":
		r.State, r.Reason = StateRefused, instance.reconciler.FailureReason()
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
		for _, instance := range m.selectInstances(s) {
			all = append(all, m.instanceReport(instance, t))
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
		if instance := m.instances[name]; s.Match(name, instance.labels) {
			all = append(all, instance)
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
		instance := m.instances[in.Name]
		switch {
		case instance != nil && instance.announcedAt == 0:
			return nil
		case instance == nil && len(m.instances) >= inventory.MaxInstances:
			return &api.Problem{Status: 503, Title: "there are too many instances", Detail: fmt.Sprintf("%d are known", len(m.instances))}
		case instance == nil || instance.Addr != in.Addr || !maps.Equal(instance.Labels, in.Labels):
			instance = m.registerInstance(in)
			instance.nextPoll = 0
			m.appendRecord(announcedBucket, in.Name, in)
		}
		instance.announcedAt = now()
		return nil
	})
}
