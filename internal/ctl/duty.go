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

// addDutyCommands adds the commands for a group of managers and the duties (leases) that it grants.
func (o *options) addDutyCommands(root *cobra.Command) {
	groupCommand := &cobra.Command{Use: "group", Short: "Show the group of managers, and remove members"}
	dutyCommand := &cobra.Command{Use: "duty", Short: "Show which manager holds each duty, and move duties"}
	root.AddCommand(groupCommand, dutyCommand)
	add := func(parent *cobra.Command, use, short string, argCount int, run func(ctx context.Context, c *duty.Client, w io.Writer, args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: exactArgs(argCount)}
		c.RunE = func(c *cobra.Command, args []string) error {
			callers, err := o.managerCallers()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
			defer cancel()
			return withExitCode(tryManagers(ctx, o.timeout, callers, func(ctx context.Context, client *duty.Client) error { return run(ctx, client, c.OutOrStdout(), args) }))
		}
		parent.AddCommand(c)
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
			for _, other := range g.Others {
				fmt.Fprintf(t, "%s\tno member: %s\n", other.Name, other.Why)
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
			for _, entry := range d.Duties {
				holder, _, _ := strings.Cut(entry.Holder, "/")
				if entry.State == "handed" {
					holder = "to " + entry.To
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\t%v\t%v\t%s\n", entry.Name, entry.State, holder, entry.Epoch, toDuration(entry.Term), toDuration(entry.Left), toDuration(entry.Own), entry.Why)
			}
		})
	}
	add(groupCommand, "show", "Show the members, the leader, and managers that can't be members", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			g, err := c.Group(ctx)
			return showGroup(w, g, err)
		})
	add(groupCommand, "remove MEMBER", "Remove a member for good; its name may come back with an empty disk", 1,
		func(ctx context.Context, c *duty.Client, w io.Writer, args []string) error {
			g, err := c.Remove(ctx, args[0])
			return showGroup(w, g, err)
		})
	add(dutyCommand, "list", "Show the holder of each duty, until when it holds it, and why the duty last moved", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			d, err := c.Duties(ctx)
			return showDuties(w, d, err)
		})
	add(dutyCommand, "history", "Show how the duties have moved, newest first", 0,
		func(ctx context.Context, c *duty.Client, w io.Writer, _ []string) error {
			d, err := c.Duties(ctx)
			if err != nil {
				return err
			}
			return o.print(w, d.History, func(t io.Writer) {
				fmt.Fprintln(t, "STEP\tDUTY\tEPOCH\tHOLDER\tWHY")
				for _, entry := range d.History {
					fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\n", entry.Number, entry.Duty, entry.Epoch, entry.Holder, entry.Why)
				}
			})
		})
	add(dutyCommand, "hand DUTY MEMBER", "Move a duty to a member once the holder has finished its work", 2,
		func(ctx context.Context, c *duty.Client, w io.Writer, args []string) error {
			d, err := c.HandOver(ctx, args[0], args[1])
			return showDuties(w, d, err)
		})
	reason := ""
	revoke := add(dutyCommand, "revoke DUTY", "Stop renewing a duty's lease: the duty is free once the lease has expired", 1,
		func(ctx context.Context, c *duty.Client, w io.Writer, args []string) error {
			d, err := c.Revoke(ctx, args[0], reason)
			return showDuties(w, d, err)
		})
	revoke.Flags().StringVar(&reason, "why", "", "the reason, which is recorded in the history")
	must(revoke.MarkFlagRequired("why"))
}

// tryManagers calls one manager after the other until one succeeds or refuses. It moves on from a manager
// that can't be reached, knows no leader or redirects to another one (421). The timeout is spread
// over the remaining managers.
func tryManagers(ctx context.Context, timeout time.Duration, callers []*api.Caller, call func(ctx context.Context, c *duty.Client) error) (err error) {
	for i, caller := range callers {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout/time.Duration(len(callers)-i))
		err = call(attemptCtx, duty.NewClient(caller))
		cancel()
		var p *api.Problem
		if err == nil || errors.As(err, &p) && p.Status != 421 && p.Status < 500 {
			return err
		}
	}
	return err
}
