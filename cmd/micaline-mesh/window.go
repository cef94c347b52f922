package main

import (
	"context"
	"fmt"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshclient"
	"github.com/integrii/flaggy"
)

// windowFlags are what a window is planned with.
type windowFlags struct {
	name, zones, nodes, start, end, why string
	lead                                time.Duration
	force                               bool
}

// windowVerbs declares the verbs about windows of maintenance.
func (c *command) windowVerbs(top *flaggy.Subcommand, add func(*flaggy.Subcommand, string, string, func() error) *flaggy.Subcommand) verb {
	w := &c.window
	w.lead = time.Minute
	under := add(top, "window", "plan maintenance: machines are taken out of use before it begins", nil)
	plan := add(under, "plan", "plan a window", c.windowPlan)
	plan.String(&w.zones, "z", "zone", "whose machines are worked on; several joined by commas")
	plan.String(&w.nodes, "", "nodes", "or: the ips of the machines, joined by commas")
	plan.String(&w.start, "", "start", "when work begins: a time as 2026-12-24T02:00:00Z, or a duration from now as 90m")
	plan.String(&w.end, "", "end", "when it ends: a time, or a duration after start")
	plan.Duration(&w.lead, "l", "lead", "before start, in which the machines are taken out of use")
	plan.String(&w.why, "w", "why", "for others")
	plan.Bool(&w.force, "", "though-the-rest-cannot-bear-it", "plan it, and go on, whatever the forecast says")
	add(under, "list", "list the windows", c.windowList)
	show := add(under, "show", "tell how a window stands: clear, or what is left on its machines", c.windowShow)
	subs := []*flaggy.Subcommand{plan, show}
	for _, v := range []struct {
		name, what, told string
		call             func(*meshclient.Mesh, context.Context, string) error
	}{
		{"cancel", "give a window up, and put back what was taken out of use", "cancelled", (*meshclient.Mesh).CancelWindow},
		{"begin", "take the machines out of use now", "begun", (*meshclient.Mesh).BeginWindow},
		{"end", "put the machines back now", "ended", (*meshclient.Mesh).EndWindow},
	} {
		subs = append(subs, add(under, v.name, v.what, func() error { return c.windowOrder(v.call, v.told) }))
	}
	for _, sub := range subs {
		sub.AddPositionalValue(&w.name, "NAME", 1, true, "of the window")
	}
	return verb{under, func() error { return misused("window: plan, list, show, cancel, begin or end?") }}
}

func (c *command) windowPlan() error {
	w := &c.window
	now := time.Now()
	start, err := moment("--start", w.start, now)
	if err != nil {
		return err
	}
	end, err := moment("--end", w.end, start)
	if err != nil {
		return err
	}
	plan := &maintenance.PlanDocument{Name: w.name, Start: start, End: end, Lead: w.lead.String(), Why: w.why, Force: w.force}
	plan.Zones, plan.Nodes = list(w.zones), list(w.nodes)
	if u, err := user.Current(); err == nil {
		plan.By = u.Username
	}
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	if err := m.PlanWindow(ctx, plan); err != nil {
		return err
	}
	return c.say(plan, "%s: planned from %s to %s; machines are taken out of use from %s on", plan.Name, start.Format(time.RFC3339),
		end.Format(time.RFC3339), start.Add(-w.lead).Format(time.RFC3339))
}

// list reads what is joined by commas; nothing is an empty list.
func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// moment reads a time, or a duration after another time.
func moment(flag, text string, after time.Time) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339, text); err == nil {
		return at.UTC(), nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return after.Add(d).UTC(), nil
	}
	return time.Time{}, misused("window plan: %s: %q is neither a time as 2026-12-24T02:00:00Z nor a duration as 90m", flag, text)
}

func (c *command) windows() ([]maintenance.StateDocument, error) {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return m.Windows(ctx)
}

func (c *command) windowList() error {
	found, err := c.windows()
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(found)
	}
	var rows [][]string
	for i := range found {
		w := &found[i]
		rows = append(rows, []string{w.Name, machinesOf(w), w.Start.Format(time.RFC3339), w.End.Format(time.RFC3339), string(w.Phase),
			strconv.Itoa(w.Step) + "/" + strconv.Itoa(w.Steps), clearWord(w), orDash(w.Waits + w.Ended)})
	}
	c.table("NAME MACHINES START END PHASE STEP CLEAR WHY", rows)
	return nil
}

func machinesOf(w *maintenance.StateDocument) string {
	return strings.Join(slices.Concat(w.Zones, w.Nodes), ",")
}

// clearWord says whether operators may begin.
func clearWord(w *maintenance.StateDocument) string {
	switch {
	case w.Phase != maintenance.PhaseClosed:
		return "-"
	case w.Clear:
		return "clear"
	}
	return "not clear"
}

func (c *command) windowShow() error {
	found, err := c.windows()
	if err != nil {
		return err
	}
	for i := range found {
		w := &found[i]
		if w.Name != c.window.name {
			continue
		}
		if c.json {
			return c.printJSON(w)
		}
		fmt.Fprintf(c.out, "%s, %s, step %d of %d: %s\n", w.Name, w.Phase, w.Step, w.Steps, clearWord(w))
		for _, line := range []struct{ what, text string }{{"waits", w.Waits}, {"ended", w.Ended}, {"by", w.By}, {"why", w.Why}} {
			if line.text != "" {
				fmt.Fprintf(c.out, "  %s: %s\n", line.what, line.text)
			}
		}
		for _, left := range w.Left {
			fmt.Fprintf(c.out, "  left on %s\n", left)
		}
		for _, share := range w.Forecast {
			fmt.Fprintf(c.out, "  without them, %s\n", share.String())
		}
		return nil
	}
	return fmt.Errorf("name: there is no window %s", c.window.name)
}

// windowOrder brings an order about a window.
func (c *command) windowOrder(call func(*meshclient.Mesh, context.Context, string) error, told string) error {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	if err := call(m, ctx, c.window.name); err != nil {
		return err
	}
	return c.say(map[string]string{"window": c.window.name, "order": told}, "%s: %s", c.window.name, told)
}
