package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/control"
	"example.org/micaline/internal/document"
	"example.org/micaline/internal/exit"
)

// addChangeCommands adds the commands that change instances.
func (o *options) addChangeCommands(root *cobra.Command) {
	var id string
	// addChange adds a command that makes an immediate change on the selected instances.
	addChange := func(use, short string, argCount int, run func(ctx context.Context, c *control.Client, id string, args []string) (string, error)) *cobra.Command {
		cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(argCount), RunE: func(c *cobra.Command, args []string) error {
			targets, single, err := o.targets()
			if err != nil {
				return err
			}
			if id == "" {
				id = rand.Text()
			}
			results := callAll(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*string, error) {
				text, err := run(ctx, c, id, args)
				return &text, err
			})
			return printResults(o, c.OutOrStdout(), results, single, view[string]{
				header: "NOW", rows: func(v *string) []string { return []string{*v} }, printOne: func(w io.Writer, v *string) { fmt.Fprintln(w, *v) },
			})
		}}
		cmd.Flags().StringVar(&id, "id", "", "id of the change; a repeat with the same id gets the first result (default a new one)")
		root.AddCommand(cmd)
		return cmd
	}
	duration := 10 * time.Minute
	hold := addChange("hold BACKEND", "Keep a backend out for a while", 1,
		func(ctx context.Context, c *control.Client, id string, args []string) (string, error) {
			h, err := c.Hold(ctx, id, args[0], duration.Seconds())
			return fmt.Sprintf("%s is held out for %v", h.Backend, time.Duration(h.For*float64(time.Second))), err
		})
	hold.Flags().DurationVar(&duration, "for", duration, "for how long")
	hold.PreRunE = func(*cobra.Command, []string) error {
		if duration <= 0 {
			return usageError("--for %v must be above 0", duration)
		}
		return nil
	}
	hold.ValidArgsFunction = o.completeBackends
	release := addChange("release BACKEND", "End the hold of a backend; a draining backend still gets no requests", 1,
		func(ctx context.Context, c *control.Client, id string, args []string) (string, error) {
			h, err := c.Hold(ctx, id, args[0], 0)
			return fmt.Sprintf("%s is not held out", h.Backend), err
		})
	release.ValidArgsFunction = o.completeBackends
	setAccepting := func(accept bool) func(context.Context, *control.Client, string, []string) (string, error) {
		return func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			v, err := c.SetAccepting(ctx, id, accept)
			if v.Taking {
				return "requests are taken", err
			}
			return "requests are refused", err
		}
	}
	addChange("drain", "Stop accepting requests: they are refused with a time to retry after", 0, setAccepting(false))
	addChange("undrain", "Accept requests again", 0, setAccepting(true))
	addChange("reload", "Read the platform's configuration again, as SIGHUP does", 0,
		func(ctx context.Context, c *control.Client, id string, _ []string) (string, error) {
			v, err := c.Reload(ctx, id)
			return "configuration " + v.Configuration, err
		})
	o.addLevelCommands(root, addChange)
	o.addSiteCommands(root, addChange)
	o.addSetCommand(root)
}

// completeBackends completes backend names, as the first selected instance knows them.
func (o *options) completeBackends(c *cobra.Command, _ []string, _ string) (names []string, _ cobra.ShellCompDirective) {
	targets, _, err := o.targets()
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	if s, err := targets[0].client.State(ctx); err == nil {
		for _, b := range s.Backends {
			names = append(names, b.Name)
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// addSetCommand adds the command that puts a settings document in force.
func (o *options) addSetCommand(root *cobra.Command) {
	var dryRun bool
	var id string
	var confirm time.Duration
	command := &cobra.Command{
		Use: "set FILE", Short: "Put a settings document in force, - for standard input", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			targets, single, err := o.targets()
			if err != nil {
				return err
			}
			d, err := readDocument(c.InOrStdin(), args[0])
			if err != nil {
				return &exit.Error{Code: ExitUsage, Err: err}
			}
			if dryRun {
				results := callAll(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*[]document.Difference, error) {
					current, err := c.Document(ctx)
					if err != nil {
						return nil, err
					}
					diff := current.Document.Diff(d)
					return &diff, nil
				})
				return printResults(o, c.OutOrStdout(), results, single, view[[]document.Difference]{header: "FIELD\tNOW\tTHEN", rows: differenceRows})
			}
			if id == "" {
				id = rand.Text()
			}
			results := callAll(c.Context(), o, targets, func(ctx context.Context, c *control.Client) (*control.Change, error) {
				return applyDocument(ctx, c, d, id, confirm)
			})
			return printResults(o, c.OutOrStdout(), results, single, view[control.Change]{
				header: "OUTCOME\tREVISION\tEPOCH\tCHANGE",
				rows: func(r *control.Change) []string {
					return []string{fmt.Sprintf("%s\trevision %d\tepoch %s\tchange %s", r.Outcome, r.Revision, r.Epoch, r.ID)}
				},
			})
		},
	}
	command.Flags().BoolVar(&dryRun, "dry-run", false, "show the differences, and change nothing")
	command.Flags().StringVar(&id, "id", "", "id of the change; a repeat with the same id gets the first result (default a new one)")
	command.Flags().DurationVar(&confirm, "confirm", 0, "have the instance revert the change unless it is confirmed within this time")
	root.AddCommand(command)
}

// differenceRows returns table rows for the differences of two documents.
func differenceRows(diff *[]document.Difference) (rows []string) {
	for _, f := range *diff {
		rows = append(rows, fmt.Sprintf("%s\t%s\t-> %s", f.Field, orConfigured(f.From), orConfigured(f.To)))
	}
	return rows
}

func orConfigured(v string) string {
	if v == "" {
		return "(as configured)"
	}
	return v
}

// readDocument reads a settings document from a file, or from in if the name is "-".
func readDocument(in io.Reader, name string) (*document.Document, error) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, document.MaxSize+1))
	if err != nil {
		return nil, err
	}
	return document.Parse(text)
}

// applyDocument puts a document in force on one instance: it prepares, commits and, if confirm is above
// 0, confirms the change.
func applyDocument(ctx context.Context, c *control.Client, d *document.Document, id string, confirm time.Duration) (*control.Change, error) {
	identity, err := c.Identity(ctx)
	if err != nil {
		return nil, err
	}
	proposal := &control.Proposal{Base: identity.Revision, Fence: identity.Fence, Confirm: confirm.Seconds(), Document: d}
	if _, err := c.Prepare(ctx, id, proposal); err != nil {
		return nil, err
	}
	r, err := c.Commit(ctx, id, proposal.Fence)
	var refusal *api.Problem
	if err != nil && !errors.As(err, &refusal) {
		return nil, &exit.Error{Code: ExitUnknown, Err: fmt.Errorf("the commit of %s was sent to epoch %s and not answered: %w", id, identity.Epoch, err)}
	}
	if err == nil && confirm > 0 && r.Outcome == "none" {
		r, err = c.Confirm(ctx, id, proposal.Fence)
	}
	if err != nil {
		return nil, err
	}
	switch r.Outcome {
	case "applied":
		return r, nil
	case "partly":
		return nil, &exit.Error{Code: ExitPartial, Err: fmt.Errorf("only the parts %v are applied: %s", r.Parts, r.Reason)}
	case "none":
		return nil, &exit.Error{Code: ExitUnknown, Err: errors.New("the change is still being applied")}
	}
	return nil, &exit.Error{Code: ExitRefused, Err: errors.New(r.Reason)}
}
