package main

import (
	"cmp"
	"fmt"
	"strings"

	"example.org/micaline/internal/mesh/maintenance"
)

// regionPlan tells what the loss of a region would mean.
func (c *command) regionPlan() error {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	plan, err := m.RegionPlan(ctx, c.region)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(plan)
	}
	fmt.Fprintf(c.out, "without %s (%s)\n", plan.Region, strings.Join(plan.Zones, ", "))
	fmt.Fprintf(c.out, "core machines: %s\n", cmp.Or(plan.Core, "enough would be left to agree"))
	var rows [][]string
	for i := range plan.Services {
		s := &plan.Services[i]
		rows = append(rows, []string{s.Service, fmt.Sprintf("%.1f", s.Load), fmt.Sprintf("%.1f", s.Lost), fmt.Sprint(s.Room),
			fmt.Sprintf("%.0f%%", 100*s.After), placesOf(s), fmt.Sprintf("%.0f%%", 100*s.Refused), orDash(firstOf(s))})
	}
	c.table("SERVICE LOAD MOVED ROOM USED WHERE REFUSED FIRST", rows)
	return nil
}

func placesOf(s *maintenance.ServicePlan) string {
	var places []string
	for _, to := range s.To {
		places = append(places, fmt.Sprintf("%s:%d", to.Zone, to.Room))
	}
	return orDash(strings.Join(places, ","))
}

// firstOf are the routes in the order in which they would be refused.
func firstOf(s *maintenance.ServicePlan) string {
	var order []string
	for _, route := range s.First {
		order = append(order, fmt.Sprintf("%s(%d)", route.Route, route.Rank))
	}
	return strings.Join(order, ",")
}
