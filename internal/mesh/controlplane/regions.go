package controlplane

import (
	"encoding/json"
	"net/http"
	"slices"

	"example.org/micaline/internal/mesh/maintenance"
)

// regionPlans is GET /api/regions/{region}/plan: what the loss of a region, or of a zone, would mean.
type regionPlans struct{ c *Core }

func (h *regionPlans) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		only(w, "GET")
		return
	}
	region := r.PathValue("region")
	zones := h.c.zonesOf(region)
	if len(zones) == 0 {
		problem(w, http.StatusNotFound, "region: "+region+" is none of the settings' regions or zones")
		return
	}
	if status := h.c.node.Status(); status.Role != "leader" {
		toLeader(w, r, status.Leader)
		return
	}
	plan := h.c.planRegion(zones)
	plan.Region = region
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(plan)
}

// zonesOf are the zones of a region, or the one of that name.
func (c *Core) zonesOf(name string) []string {
	var zones []string
	for zone, region := range c.set.Zones {
		if region == name || zone == name {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// planRegion has the owner of the state make a plan.
func (c *Core) planRegion(zones []string) (plan *maintenance.RegionPlan) {
	var routes []maintenance.Route
	for _, route := range c.table.now.Load().config.Routes() {
		one := maintenance.Route{Name: route.Name, Rank: route.Rank}
		for _, share := range route.Shares {
			one.Services = append(one.Services, share.Service)
		}
		routes = append(routes, one)
	}
	done := make(chan struct{})
	c.do(func() {
		defer close(done)
		plan = maintenance.PlanRegion(zones, c.backends(), routes)
		plan.Core = c.coreWithout(zones)
	})
	<-done
	return plan
}

// toLeader sends a caller to the core machine that leads: it alone knows all others.
func toLeader(w http.ResponseWriter, r *http.Request, leader string) {
	if leader == "" {
		problem(w, http.StatusServiceUnavailable, "no core machine is known to lead")
		return
	}
	http.Redirect(w, r, "http://"+leader+r.URL.RequestURI(), http.StatusTemporaryRedirect)
}

// coreWithout says why the core machines could not agree without those of some zones; empty: they
// could.
func (c *Core) coreWithout(zones []string) string {
	status := c.node.Status()
	return quorumWithout(&maintenance.Window{Zones: zones}, &status, c.set.Control, c.set.Zone)
}
