package meshtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"example.org/micaline/internal/mesh/maintenance"
)

// windowEvery is how often the operator looks how a window stands.
const windowEvery = 100 * time.Millisecond

// PlanWindow plans a window of maintenance for zones.
func (o *Operator) PlanWindow(ctx context.Context, plan *maintenance.PlanDocument) error {
	body, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	return o.windowCall(ctx, "/api/windows", body)
}

// MoveWindow brings an order about a window: cancel, begin or end.
func (o *Operator) MoveWindow(ctx context.Context, name, order string) error {
	return o.windowCall(ctx, "/api/windows/"+name+"/"+order, nil)
}

func (o *Operator) windowCall(ctx context.Context, path string, body []byte) error {
	status, answer, err := o.order(ctx, nil, http.MethodPost, path, body)
	if err == nil && status != http.StatusOK {
		err = &Refused{status, string(answer)}
	}
	return err
}

// Window tells how a window stands.
func (o *Operator) Window(ctx context.Context, name string) (*maintenance.StateDocument, error) {
	status, answer, err := o.order(ctx, nil, http.MethodGet, "/api/windows", nil)
	if err != nil {
		return nil, err
	}
	var list []maintenance.StateDocument
	if err := json.Unmarshal(answer, &list); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the windows can't be read: %d %s", status, answer)
	}
	i := slices.IndexFunc(list, func(w maintenance.StateDocument) bool { return w.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("there is no window %s", name)
	}
	return &list[i], nil
}

// Follow has a window looked at until it is over, and takes down from when to when its zones must get
// nothing: from the moment at which it was seen to be closed until its end. See is told what is seen.
func (o *Operator) Follow(ctx context.Context, plan *maintenance.PlanDocument, see func(*maintenance.StateDocument)) error {
	closed := false
	for {
		w, err := o.Window(ctx, plan.Name)
		if err != nil {
			return err
		}
		see(w)
		o.g.record.note(func(now time.Duration, s *Story) {
			if w.Phase == maintenance.PhaseClosed && !closed {
				closed = true
				for _, zone := range plan.Zones {
					s.Evacuations = append(s.Evacuations, &Evacuation{zone, Span{From: now, Until: plan.End.Sub(s.Began)}})
				}
			}
		})
		if w.Phase == maintenance.PhaseOver {
			return nil
		}
		select {
		case <-time.After(windowEvery):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// StopWindow ends a window before its time; from now on its zones may get requests.
func (o *Operator) StopWindow(ctx context.Context, plan *maintenance.PlanDocument, order string) error {
	o.g.record.note(func(now time.Duration, s *Story) {
		plan.End = s.Began.Add(now)
		for _, e := range s.Evacuations {
			if slices.Contains(plan.Zones, e.Zone) {
				e.Until = min(e.Until, now)
			}
		}
	})
	return o.MoveWindow(ctx, plan.Name, order)
}
