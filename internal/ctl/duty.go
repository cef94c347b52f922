package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/duty"
)

// addDuty adds the commands about a group of managers and the duties that it grants.
func (o *options) addDuty(root *cobra.Command) {
	group := &cobra.Command{Use: "group", Short: "Show the group of managers, and remove members"}
	all := &cobra.Command{Use: "duty", Short: "Show who holds which duty, and have it move"}
	root.AddCommand(group, all)
	add := func(to *cobra.Command, use, short string, args int, run func(ctx context.Context, c *duty.Client, w io.Writer, words []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: exactly(args)}
		c.RunE = func(c *cobra.Command, words []string) error {
			callers, err := o.callers()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			return code(anyOf(ctx, o.timeout, callers, func(ctx context.Context, at *duty.Client) error { return run(ctx, at, c.OutOrStdout(), words) }))
		}
		to.AddCommand(c)
		return c
	}
	showGroup := func(w io.Writer, g *duty.Group, err error) error {
		if err != nil {
			return err
		}
		return o.print(w, g, func(t io.Writer) {
			fmt.Fprintln(t, "MEMBER\tDISK\tCOUNTS\tLEADS")
			for _, m := range g.Members {
				fmt.Fprintf(t, "%s\t%s\t%v\t%v\n", m.Name, m.ID, m.Voter, m.Name == g.Lead)
			}
			for _, x := range g.Others {
				fmt.Fprintf(t, "%s\tno member: %s\n", x.Name, x.Why)
			}
			if g.Why != "" {
				fmt.Fprintf(t, "%s\ttakes no part: %s\n", g.Name, g.Why)
			}
		})
	}
	showDuties := func(w io.Writer, d *duty.Duties, err error) error {
		if err != nil {
			return err
		}
		return o.print(w, d, func(t io.Writer) {
			fmt.Fprintln(t, "DUTY\tSTATE\tHOLDER\tEPOCH\tTERM\tLEFT\tOWN LEFT\tWHY")
			for _, x := range d.Duties {
				holder, _, _ := strings.Cut(x.Holder, "/")
				if x.State == "handed" {
					holder = "to " + x.To
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%v\t%v\t%s\n", x.Name, x.State, holder, x.Epoch, span(x.Term), span(x.Left), span(x.Own), x.Why)
			}
		})
	}
	add(group, "show", "Show the members, who leads, and who can't be a member", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			g, err := c.Group(ctx)
			return showGroup(w, g, err)
		})
	add(group, "remove MEMBER", "Remove a member for good; its name may come back with an empty disk", 1,
		func(ctx context.Context, c *duty.Client, w io.Writer, words []string) error {
			g, err := c.Remove(ctx, words[0])
			return showGroup(w, g, err)
		})
	add(all, "list", "Show who holds which duty, until when, and why it last moved", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			d, err := c.Duties(ctx)
			return showDuties(w, d, err)
		})
	add(all, "history", "Show how the duties have moved, the newest first", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			d, err := c.Duties(ctx)
			if err != nil {
				return err
			}
			return o.print(w, d.History, func(t io.Writer) {
				fmt.Fprintln(t, "STEP\tDUTY\tEPOCH\tHOLDER\tWHY")
				for _, x := range d.History {
					fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\n", x.Number, x.Duty, x.Epoch, x.Holder, x.Why)
				}
			})
		})
	add(all, "hand DUTY MEMBER", "Have the holder end what it does and a member go on", 2,
		func(ctx context.Context, c *duty.Client, w io.Writer, words []string) error {
			d, err := c.HandOver(ctx, words[0], words[1])
			return showDuties(w, d, err)
		})
	why := ""
	revoke := add(all, "revoke DUTY", "Have a duty renewed no more: free once its holder's time is over", 1,
		func(ctx context.Context, c *duty.Client, w io.Writer, words []string) error {
			d, err := c.Revoke(ctx, words[0], why)
			return showDuties(w, d, err)
		})
	revoke.Flags().StringVar(&why, "why", "", "the reason, which the history keeps")
	must(revoke.MarkFlagRequired("why"))
}

// anyOf asks one manager after the other until one does it or refuses it. One that can't be reached, knows no lead or sends
// elsewhere does neither.
func anyOf(ctx context.Context, timeout time.Duration, callers []*api.Caller, ask func(ctx context.Context, c *duty.Client) error) (err error) {
	for i, at := range callers {
		within, cancel := context.WithTimeout(ctx, timeout/time.Duration(len(callers)-i))
		err = ask(within, duty.NewClient(at))
		cancel()
		var p *api.Problem
		if err == nil || errors.As(err, &p) && p.Status != 421 && p.Status < 500 {
			return err
		}
	}
	return err
}
