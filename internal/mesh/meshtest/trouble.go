package meshtest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/maintenance"
)

// Troubles lists what Play plays.
var Troubles = []string{"kill-core", "kill-agent", "drain", "evacuate", "window", "none"}

// Play makes a trouble that lasts for a while, and returns once all is well again. It tells of each
// step.
func (g *Cluster) Play(ctx context.Context, trouble string, lasts time.Duration, tell func(format string, args ...any)) error {
	wait := func() error {
		timer := time.NewTimer(lasts)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	var err error
	step := func(f func() error, format string, args ...any) {
		if err == nil {
			tell(format, args...)
			err = f()
		}
	}
	switch trouble {
	case "kill-core":
		victim := g.Leader()
		if victim == nil {
			return fmt.Errorf("no core machine leads")
		}
		last := g.services[len(g.services)-1]
		step(func() error { return g.Operator.Change(ctx, g.Route(2, g.services[0], 2)) }, "the operator moves a route to %s", g.services[0])
		step(func() error { victim.Kill(); return nil }, "%s, which leads, is killed", victim.Name)
		step(func() error { return g.Operator.Change(ctx, g.Route(0, last, 2)) }, "the operator moves another to %s", last)
		step(wait, "that was acknowledged")
		step(victim.Start, "%s is started", victim.Name)
	case "kill-agent":
		victim := g.Agents[len(g.Agents)-1] // beside a backend of what must not run twice
		step(func() error { victim.Kill(); return wait() }, "%s is killed", victim.Name)
		step(victim.Start, "%s is started", victim.Name)
	case "drain":
		for _, m := range g.Agents {
			if m.Service != g.services[0] {
				continue
			}
			step(func() error { return m.Backend.Leave(ctx, nil) }, "the backend of %s drains and ends", m.Name)
			step(func() error {
				if err := m.Backend.Start(); err != nil {
					return err
				}
				return g.Await(ctx, "a backend is listed", m.Backend.heard.Load)
			}, "the next one starts there")
		}
	case "evacuate":
		step(func() error { return g.Operator.Evacuate(ctx, zones[0]) }, "%s is evacuated", zones[0])
		step(wait, "that was acknowledged")
		step(func() error { return g.Operator.Return(ctx, zones[0]) }, "%s is taken back", zones[0])
	case "window":
		plan := &maintenance.PlanDocument{Name: "try", Zones: zones[:1], Start: time.Now().Add(lasts + 2*time.Second),
			End: time.Now().Add(2*lasts + 2*time.Second), Lead: max(lasts, maintenance.MinLead).String()}
		phase := ""
		step(func() error { return g.Operator.PlanWindow(ctx, plan) }, "a window is planned: work in %s begins in %v", plan.Zones[0], lasts+2*time.Second)
		step(func() error {
			return g.Operator.Follow(ctx, plan, func(w *maintenance.StateDocument) {
				if now := string(w.Phase) + map[bool]string{true: ", clear"}[w.Clear]; now != phase {
					phase = now
					tell("the window is %s", now)
				}
			})
		}, "it goes by")
	case "none":
	default:
		return fmt.Errorf("trouble %q is none of %s", trouble, strings.Join(Troubles, ", "))
	}
	if err != nil {
		return err
	}
	return g.Settle(ctx)
}

// Known says whether there is such a trouble.
func Known(trouble string) bool { return slices.Contains(Troubles, trouble) }
