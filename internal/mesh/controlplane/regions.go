package controlplane

import (
	"encoding/json"
	"net/http"
	"slices"

	"example.org/micaline/internal/mesh/maintenance"
)

// regionPlanHandler serves GET /api/regions/{region}/plan: the effects of losing a region or a
// zone.
type regionPlanHandler struct{ core *Core }

func (h *regionPlanHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		methodNotAllowed(w, "GET")
		return
	}
	region := r.PathValue("region")
	zones := h.core.zonesInRegion(region)
	if len(zones) == 0 {
		writeProblem(w, http.StatusNotFound, "region: "+region+" is none of the settings' regions or zones")
		return
	}
	if status := h.core.node.Status(); status.Role != "leader" {
		redirectToLeader(w, r, status.Leader)
		return
	}
	plan := h.core.planRegion(zones)
	plan.Region = region
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(plan)
}

// zonesInRegion returns the zones of the named region, or the zone with that name.
func (c *Core) zonesInRegion(name string) []string {
	var zones []string
	for zone, region := range c.settings.Zones {
		if region == name || zone == name {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// planRegion makes the plan in the loop, which owns the state.
func (c *Core) planRegion(zones []string) (plan *maintenance.RegionPlan) {
	var routes []maintenance.Route
	for _, route := range c.table.published.Load().config.Routes() {
		planned := maintenance.Route{Name: route.Name, Rank: route.Rank}
		for _, share := range route.Shares {
			planned.Services = append(planned.Services, share.Service)
		}
		routes = append(routes, planned)
	}
	done := make(chan struct{})
	c.submit(func() {
		defer close(done)
		plan = maintenance.PlanRegion(zones, c.backends(), routes)
		plan.Core = c.quorumLossWithoutZones(zones)
	})
	<-done
	return plan
}

// redirectToLeader redirects to the leader, the only node that knows all control-plane nodes.
func redirectToLeader(w http.ResponseWriter, r *http.Request, leader string) {
	if leader == "" {
		writeProblem(w, http.StatusServiceUnavailable, "no leader is known")
		return
	}
	http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

// quorumLossWithoutZones returns why the control plane would lose its quorum without some zones;
// empty if it would not.
func (c *Core) quorumLossWithoutZones(zones []string) string {
	status := c.node.Status()
	return quorumLossReason(&maintenance.Window{Zones: zones}, &status, c.settings.Control, c.settings.Zone)
}
