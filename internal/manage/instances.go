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

// InstanceReport is what the manager knows of an instance.
type InstanceReport struct {
	Name     string                `json:"name"`
	Address  string                `json:"address"`
	Labels   map[string]string     `json:"labels,omitempty"`
	State    string                `json:"state"` // as wanted, differs, refuses, silent, not seen
	Reason   string                `json:"reason,omitempty"`
	Epoch    string                `json:"epoch,omitempty"`
	Revision uint64                `json:"revision"`
	Hash     string                `json:"hash,omitempty"`
	Wanted   string                `json:"wanted,omitempty"`
	Rollout  string                `json:"rollout,omitempty"` // that has it in hand
	Seen     float64               `json:"seen_s"`            // since its last answer; -1 for never
	Taking   bool                  `json:"taking"`
	Held     int                   `json:"held"`
	Service  control.RequestCounts `json:"service"`
}

func (m *Manager) instance(p *place, t time.Duration) InstanceReport {
	r := InstanceReport{Name: p.Name, Address: cmp.Or(p.Addr, p.Unix), Labels: p.labels, Wanted: m.wanted[p.Name], Seen: -1}
	if by, busy := m.busy(p.Name); busy {
		r.Rollout = by
	}
	if p.look != nil {
		r.Seen = (t - p.looked).Seconds()
		r.Epoch, r.Revision, r.Hash, r.Taking, r.Held, r.Service = p.look.Epoch, p.look.Revision, p.look.Hash, p.look.Taking, p.look.Held, p.look.Service
	}
	switch {
	case p.look == nil && p.err == nil:
		r.State = StateNotSeen
	case p.err != nil:
		r.State, r.Reason = StateUnreachable, p.err.Error()
	case r.Wanted == "":
		r.State = StateUnmanaged
	case r.Wanted == r.Hash && len(p.look.Mixed) == 0:
		r.State = StateAsWanted
	case p.keeper.FailureReason() != "":
		r.State, r.Reason = StateRefused, p.keeper.FailureReason()
	default:
		r.State = StateDiffers
	}
	return r
}

// Instances returns what is known of those that are chosen, in the order of their names.
func (m *Manager) Instances(ctx context.Context, selector string) ([]InstanceReport, error) {
	s, err := parseSelector(selector)
	if err != nil {
		return nil, err
	}
	all := []InstanceReport{}
	err = m.look(ctx, func() {
		t := now()
		for _, p := range m.chosen(s) {
			all = append(all, m.instance(p, t))
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

func (m *Manager) chosen(s inventory.Selector) (all []*place) {
	for _, name := range slices.Sorted(maps.Keys(m.places)) {
		if p := m.places[name]; s.Match(name, p.labels) {
			all = append(all, p)
		}
	}
	return all
}

// Announced takes in where an instance says it is. One of the file stays where the file has it.
func (m *Manager) RecordAnnouncement(ctx context.Context, in inventory.Instance) error {
	if in.Unix != "" {
		return &api.Problem{Status: 422, Title: "the announcement can't be used", Detail: "a socket is on its own machine only", Field: "unix"}
	}
	if err := in.Check(); err != nil {
		var f *api.FieldError
		p := &api.Problem{Status: 422, Title: "the announcement can't be used", Detail: err.Error()}
		if errors.As(err, &f) {
			p.Detail, p.Field = f.What, f.Field
		}
		return p
	}
	return m.change(ctx, func() error {
		p := m.places[in.Name]
		switch {
		case p != nil && p.announced == 0:
			return nil
		case p == nil && len(m.places) >= inventory.MaxInstances:
			return &api.Problem{Status: 503, Title: "there are too many instances", Detail: fmt.Sprintf("%d are known", len(m.places))}
		case p == nil || p.Addr != in.Addr || !maps.Equal(p.Labels, in.Labels):
			p = m.place(in)
			p.due = 0
			m.write(announcedBucket, in.Name, in)
		}
		p.announced = now()
		return nil
	})
}
