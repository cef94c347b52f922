package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/control"
)

// addSiteCommands adds the commands for sites.
func (o *options) addSiteCommands(root *cobra.Command, addChange addChangeFunc) {
	siteCommand := &cobra.Command{Use: "site", Short: "Show sites and the impact of losing one, and evacuate a site"}
	root.AddCommand(siteCommand)
	query := func(ctx context.Context, c *control.Client) (*control.Sites, error) { return c.Sites(ctx) }
	siteCommand.AddCommand(&cobra.Command{
		Use: "list", Short: "Show the sites and the state of each", Args: exactArgs(0),
		RunE: showCommand(o, view[control.Sites]{
			query: query, jsonValue: func(s *control.Sites) any { return s.Sites },
			header: "SITE\tSTATE\tFOR\tSERVERS\tUSED\tLOAD\tROOM\tLOST\tPACER SAYS",
			rows: func(s *control.Sites) (rows []string) {
				for _, v := range s.Sites {
					rows = append(rows, fmt.Sprintf("%s\t%s\t%v\t%d\t%d\t%.1f\t%.1f\t%d\t%s", v.Name, siteState(&v), toDuration(v.For), v.Servers, v.Used, v.Load, v.Room, v.Times, v.Pacer))
				}
				return rows
			},
		}),
	}, &cobra.Command{
		Use: "show", Short: "Show the state changes of the sites, and why they happened", Args: exactArgs(0),
		RunE: showCommand(o, view[control.Sites]{
			query: query, header: "AT\tSITE\tFROM\tTO\tWHY",
			rows: func(s *control.Sites) (rows []string) {
				for _, c := range s.History {
					rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s", c.At.Format(time.RFC3339), c.Site, c.From, c.To, c.Why))
				}
				return rows
			},
		}),
	})
	lose := ""
	plan := &cobra.Command{
		Use: "plan", Short: "Show what load the loss of a site would move, where to, and what would be refused", Args: exactArgs(0),
		RunE: showCommand(o, view[control.Sites]{
			query: query, jsonValue: func(s *control.Sites) any { return selectPlans(s, lose) },
			header: "LOSE\tCARRIES\tOTHERS USED TO\tREFUSED\tMOVES",
			rows: func(s *control.Sites) (rows []string) {
				for _, p := range selectPlans(s, lose) {
					var moves []string
					for _, m := range p.Moves {
						moves = append(moves, fmt.Sprintf("%s +%.0f%%", m.To, 100*m.Share))
					}
					rows = append(rows, fmt.Sprintf("%s\t%.0f%%\t%s\t%.0f%%\t%s", p.Lose, 100*p.Share, formatPercent(p.After), 100*p.Refused, strings.Join(moves, ", ")))
				}
				return rows
			},
			printOne: func(w io.Writer, s *control.Sites) { printPlans(w, selectPlans(s, lose)) },
		}),
	}
	plan.Flags().StringVar(&lose, "lose", "", "the site that would be lost (default each)")
	siteCommand.AddCommand(plan)

	// moveToSite makes a command of root a subcommand of `site`.
	moveToSite := func(cmd *cobra.Command) *cobra.Command {
		root.RemoveCommand(cmd)
		siteCommand.AddCommand(cmd)
		return cmd
	}
	duration, reason, force := 10*time.Minute, "", false
	evacuate := moveToSite(addChange("evacuate SITE", "Evacuate a site for a while, one server at a time, without interrupting requests in flight", 1,
		func(ctx context.Context, c *control.Client, id string, args []string) (string, error) {
			_, err := c.EvacuateSite(ctx, id, args[0], duration.Seconds(), force, reason)
			return fmt.Sprintf("site %s is taken out for %v", args[0], duration), err
		}))
	evacuate.Flags().DurationVar(&duration, "for", duration, "for how long")
	evacuate.Flags().StringVar(&reason, "why", "", "the reason, which is recorded in the history")
	evacuate.Flags().BoolVar(&force, "though-the-others-cannot-carry-it", false, "evacuate even if the other sites could not carry the load")
	must(evacuate.MarkFlagRequired("why"))
	evacuate.PreRunE = func(*cobra.Command, []string) error {
		if duration <= 0 {
			return usageError("--for %v must be above 0", duration)
		}
		return nil
	}
	moveToSite(addChange("return SITE", "End a site's evacuation, in steps; a lost site is probed at once", 1,
		func(ctx context.Context, c *control.Client, id string, args []string) (string, error) {
			_, err := c.EvacuateSite(ctx, id, args[0], 0, false, "")
			return fmt.Sprintf("site %s returns", args[0]), err
		}))
}

func siteState(s *control.Site) string {
	switch {
	case s.Out > 0:
		return fmt.Sprintf("%s, for %v", s.State, toDuration(s.Out))
	case s.Retry > 0:
		return fmt.Sprintf("%s, asked in %v", s.State, toDuration(s.Retry))
	}
	return s.State
}

// selectPlans returns the plan for the loss of one site, or all plans if lose is empty.
func selectPlans(s *control.Sites, lose string) (selected []control.SitePlan) {
	for _, p := range s.Plans {
		if lose == "" || p.Lose == lose {
			selected = append(selected, p)
		}
	}
	return selected
}

func formatPercent(v *float64) string {
	if v == nil {
		return "nothing left"
	}
	return fmt.Sprintf("%.0f%%", 100**v)
}

// printPlans prints the plans of one instance in full.
func printPlans(w io.Writer, plans []control.SitePlan) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range plans {
		fmt.Fprintf(t, "without %s, which carries %.0f%% of the work\tthe others are used to %s of their room\t%.0f%% of the work is refused\n", p.Lose, 100*p.Share, formatPercent(p.After), 100*p.Refused)
		for _, m := range p.Moves {
			fmt.Fprintf(t, "  to %s\t%.0f%% of the work more\tused to %.0f%% then\n", m.To, 100*m.Share, 100*m.After)
		}
		for _, r := range p.First {
			if p.Refused > 0 {
				fmt.Fprintf(t, "  refused: %s\t%.0f%% of the work\t%.0f%% of it refused\n", r.What, 100*r.Share, 100*r.Part)
			}
		}
	}
	t.Flush()
}
