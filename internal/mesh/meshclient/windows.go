package meshclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"example.org/micaline/internal/mesh/maintenance"
)

// PlanWindow plans a window of maintenance. The same plan may be brought again.
func (m *Mesh) PlanWindow(ctx context.Context, plan *maintenance.PlanDocument) error {
	body, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	_, err = m.call(ctx, http.MethodPost, "/api/windows", body)
	return err
}

// Windows lists the windows of maintenance, those that are over too, as far as they are kept.
func (m *Mesh) Windows(ctx context.Context) ([]maintenance.StateDocument, error) {
	answer, err := m.call(ctx, http.MethodGet, "/api/windows", nil)
	if err != nil {
		return nil, err
	}
	var list []maintenance.StateDocument
	if err := json.Unmarshal(answer, &list); err != nil {
		return nil, fmt.Errorf("the list of windows: %w", err)
	}
	return list, nil
}

// CancelWindow ends a window before its time, as EndWindow does; it tells apart why.
func (m *Mesh) CancelWindow(ctx context.Context, name string) error {
	return m.windowCall(ctx, name, "cancel")
}

// BeginWindow has a window's machines taken out of use before it is time.
func (m *Mesh) BeginWindow(ctx context.Context, name string) error {
	return m.windowCall(ctx, name, "begin")
}

// EndWindow has a window's machines put back before it is time.
func (m *Mesh) EndWindow(ctx context.Context, name string) error {
	return m.windowCall(ctx, name, "end")
}

// RegionPlan tells what the loss of a region, or of a zone, would mean as things stand.
func (m *Mesh) RegionPlan(ctx context.Context, region string) (*maintenance.RegionPlan, error) {
	answer, err := m.call(ctx, http.MethodGet, "/api/regions/"+url.PathEscape(region)+"/plan", nil)
	if err != nil {
		return nil, err
	}
	plan := new(maintenance.RegionPlan)
	if err := json.Unmarshal(answer, plan); err != nil {
		return nil, fmt.Errorf("the plan of a region: %w", err)
	}
	return plan, nil
}

func (m *Mesh) windowCall(ctx context.Context, name, what string) error {
	_, err := m.call(ctx, http.MethodPost, "/api/windows/"+url.PathEscape(name)+"/"+what, nil)
	return err
}
