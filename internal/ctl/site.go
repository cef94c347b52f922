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

// addSite adds the commands about sites.
func (o *options) addSite(root *cobra.Command, change changer) {
	all := &cobra.Command{Use: "site", Short: "Show sites, ask what the loss of one would mean, and take one out by hand"}
	root.AddCommand(all)
	ask := func(ctx context.Context, c *control.Client) (*control.Sites, error) { return c.Sites(ctx) }
	all.AddCommand(&cobra.Command{
		Use: "list", Short: "Show the sites and what is the matter with each", Args: exactly(0),
		RunE: show(o, view[control.Sites]{
			ask: ask, json: func(s *control.Sites) any { return s.Sites },
			head: "SITE\tSTATE\tFOR\tSERVERS\tUSED\tLOAD\tROOM\tLOST\tPACER SAYS",
			rows: func(s *control.Sites) (rows []string) {
				for _, v := range s.Sites {
					rows = append(rows, fmt.Sprintf("%s\t%s\t%v\t%d\t%d\t%.1f\t%.1f\t%d\t%s", v.Name, siteState(&v), span(v.For), v.Servers, v.Used, v.Load, v.Room, v.Times, v.Pacer))
				}
				return rows
			},
		}),
	}, &cobra.Command{
		Use: "show", Short: "Show what has become of the sites, and why", Args: exactly(0),
		RunE: show(o, view[control.Sites]{
			ask: ask, head: "AT\tSITE\tFROM\tTO\tWHY",
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
		Use: "plan", Short: "Show what the loss of a site would move, where to, and what would be refused", Args: exactly(0),
		RunE: show(o, view[control.Sites]{
			ask: ask, json: func(s *control.Sites) any { return plans(s, lose) },
			head: "LOSE\tCARRIES\tOTHERS USED TO\tREFUSED\tMOVES",
			rows: func(s *control.Sites) (rows []string) {
				for _, p := range plans(s, lose) {
					var moves []string
					for _, m := range p.Moves {
						moves = append(moves, fmt.Sprintf("%s +%.0f%%", m.To, 100*m.Share))
					}
					rows = append(rows, fmt.Sprintf("%s\t%.0f%%\t%s\t%.0f%%\t%s", p.Lose, 100*p.Share, percent(p.After), 100*p.Refused, strings.Join(moves, ", ")))
				}
				return rows
			},
			one: func(w io.Writer, s *control.Sites) { onePlan(w, plans(s, lose)) },
		}),
	}
	plan.Flags().StringVar(&lose, "lose", "", "the site that would be lost (default each)")
	all.AddCommand(plan)

	under := func(cmd *cobra.Command) *cobra.Command {
		root.RemoveCommand(cmd)
		all.AddCommand(cmd)
		return cmd
	}
	length, why, force := 10*time.Minute, "", false
	out := under(change("evacuate SITE", "Take a site out for a while, a server at a time; nothing that is under way is cut", 1,
		func(ctx context.Context, c *control.Client, id string, words []string) (string, error) {
			_, err := c.EvacuateSite(ctx, id, words[0], length.Seconds(), force, why)
			return fmt.Sprintf("site %s is taken out for %v", words[0], length), err
		}))
	out.Flags().DurationVar(&length, "for", length, "for how long")
	out.Flags().StringVar(&why, "why", "", "the reason, which the history keeps")
	out.Flags().BoolVar(&force, "though-the-others-cannot-carry-it", false, "also where the others could not carry the load")
	must(out.MarkFlagRequired("why"))
	out.PreRunE = func(*cobra.Command, []string) error {
		if length <= 0 {
			return usage("--for %v is not above 0", length)
		}
		return nil
	}
	under(change("return SITE", "Let a site in again that is taken out, in steps; one that is lost is asked at once", 1,
		func(ctx context.Context, c *control.Client, id string, words []string) (string, error) {
			_, err := c.EvacuateSite(ctx, id, words[0], 0, false, "")
			return fmt.Sprintf("site %s returns", words[0]), err
		}))
}

func siteState(s *control.Site) string {
	switch {
	case s.Out > 0:
		return fmt.Sprintf("%s, for %v", s.State, span(s.Out))
	case s.Retry > 0:
		return fmt.Sprintf("%s, asked in %v", s.State, span(s.Retry))
	}
	return s.State
}

// plans are those that are asked for.
func plans(s *control.Sites, lose string) (asked []control.SitePlan) {
	for _, p := range s.Plans {
		if lose == "" || p.Lose == lose {
			asked = append(asked, p)
		}
	}
	return asked
}

func percent(v *float64) string {
	if v == nil {
		return "nothing left"
	}
	return fmt.Sprintf("%.0f%%", 100**v)
}

// onePlan shows one instance's plans in full.
func onePlan(w io.Writer, plans []control.SitePlan) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range plans {
		fmt.Fprintf(t, "without %s, which carries %.0f%% of the work\tthe others are used to %s of their room\t%.0f%% of the work is refused\n", p.Lose, 100*p.Share, percent(p.After), 100*p.Refused)
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
